package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"magnolialedge"
	"magnolialedge/core/vers"
	"magnolialedge/io/entry"
	"magnolialedge/io/stand"
)

// singleServiceDocument returns a document with one region and one service "echo", whose
// targets are at addresses.
func singleServiceDocument(keyLookup magnolialedge.KeyLookup, addresses ...string) magnolialedge.Document {
	s := magnolialedge.Service{
		Name:          "echo",
		KeyLookup:     keyLookup,
		DeadlineMs:    3000,
		RetryPercent:  20,
		HedgePercent:  0,
		NonIdempotent: []magnolialedge.Rule{{Method: "POST", Path: "/pay"}},
	}
	for _, a := range addresses {
		s.Targets = append(s.Targets, magnolialedge.Target{Address: a, Zone: "z", Slots: 4, MaxConnections: 200})
	}
	return magnolialedge.Document{
		Schema:            1,
		Regions:           []magnolialedge.Region{{Name: "r", MaxEntries: 4}},
		Zones:             []magnolialedge.Zone{{Name: "z", Region: "r"}},
		MeasurementBudget: magnolialedge.MeasurementBudget{BytesPerSecond: 10000, OperationsPerSecond: 100},
		Services:          []magnolialedge.Service{s},
	}
}

// startSystem starts n entries and one upstream for each handler.
func startSystem(t *testing.T, n int, keyLookup magnolialedge.KeyLookup, handlers ...http.Handler) *stand.System {
	t.Helper()
	return startSystemWith(t, stand.SystemConfig{EntriesPerRegion: n}, keyLookup, handlers...)
}

// startSystemWith starts a system with a single service whose upstreams have the handlers.
func startSystemWith(t *testing.T, cfg stand.SystemConfig, keyLookup magnolialedge.KeyLookup, handlers ...http.Handler) *stand.System {
	t.Helper()
	var addresses []string
	for _, h := range handlers {
		u := httptest.NewServer(h)
		t.Cleanup(u.Close)
		addresses = append(addresses, u.Listener.Addr().String())
	}
	cfg.Document = singleServiceDocument(keyLookup, addresses...)
	cfg.KeepTargets, cfg.Seed = true, 1
	s, err := stand.StartSystem(cfg)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func serviceURL(s *stand.System, entry int, path string) string {
	return "http://" + s.Entries[entry].Self().CallerAddress + "/s/echo" + path
}

func newUUID() string {
	return uuid.Must(uuid.NewV7()).String()
}

func send(t *testing.T, method, url, body string, header ...string) (*http.Response, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Add(header[i], header[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(got)
}

// sendRaw writes text as it is to a new connection to an entry and returns the response.
func sendRaw(t *testing.T, address, text string) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	return resp
}

// submitDocument submits doc to the first entry.
func submitDocument(t *testing.T, s *stand.System, doc magnolialedge.Document) {
	t.Helper()
	data, err := vers.Format(doc)
	require.NoError(t, err)
	dump, err := stand.FetchDump(s.Entries[0].OperatorAddress(), stand.Token)
	require.NoError(t, err)
	body, err := json.Marshal(entry.ChangeRequest{BaseRevision: dump.Revision, ChangeID: newUUID(), Author: "test", Document: data})
	require.NoError(t, err)
	resp, got := send(t, "POST", "http://"+s.Entries[0].OperatorAddress()+"/v1/config", string(body), "Authorization", "Bearer "+stand.Token)
	require.Equal(t, http.StatusOK, resp.StatusCode, got)
}
