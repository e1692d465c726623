package node

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"magnolialedge"
	"magnolialedge/core/proc"
	"magnolialedge/io/event"
	"magnolialedge/io/mirror"
	"magnolialedge/io/serve"
)

// Paths for peers and operators.
const (
	crashReportPath = "/v1/lost"
	memberPath      = "/v1/member"
	dumpPath        = "/v1/dump"
	metricsPath     = "/metrics"
)

// resolve returns the addresses of the entries that the callers of a host should
// use.
func (n *Node) resolve(q magnolialedge.ResolveQuery) magnolialedge.Resolution {
	region := q.Region
	if region == "" {
		region = n.settings.Regions[q.Zone]
	}
	place := proc.Place{Region: region, Zone: q.Zone}
	steered := n.members.steered(q.Host, place, n.forwarder.AllowedRegions(q.Host))
	n.hearing.observeNamed(steered)
	return magnolialedge.Resolution{Addresses: callerAddresses(steered), TTL: min(defaultResolveTTL, max(minResolveTTL, n.settings.MaxResolveTTL))}
}

// crashReport is the message to peers that a request crashed upstreams.
type crashReport struct {
	Fingerprint uint64 `json:"fingerprint"`
	Losses      int    `json:"losses"`
}

// peerHandler serves change streams to other entries and receives their messages.
func (n *Node) peerHandler() http.Handler {
	e := echo.New()
	e.GET(mirror.StreamPath, echo.WrapHandler(n.follower))
	e.POST(crashReportPath, func(c echo.Context) error {
		var report crashReport
		if err := json.NewDecoder(io.LimitReader(c.Request().Body, maxPeerMessageBytes)).Decode(&report); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		n.forwarder.RecordCrashReport(report.Fingerprint, report.Losses)
		return c.NoContent(http.StatusNoContent)
	})
	e.GET(crashReportPath, n.handleQuarantined)
	e.POST(peerCheckPath, n.handlePeerCheck)
	e.GET(hearingPath, n.handleHearing)
	e.GET(handoverPath, n.acceptHandovers)
	e.POST(endReportPath, n.handleEndReport)
	e.POST(limitReportPath, n.handleLimitReport)
	quotas := &creditHandler{credits: n.credits, log: n.log}
	e.POST(creditPath, quotas.handleDraw)
	e.POST(votePath, quotas.handleVote)
	e.POST(memberPath, func(c echo.Context) error {
		var in magnolialedge.Instance
		if err := json.NewDecoder(io.LimitReader(c.Request().Body, maxPeerMessageBytes)).Decode(&in); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		n.members.recordSelfReport(in)
		n.log.Log(event.MemberHeard, "member", in.Name, "startedAt", in.StartedAt, "leaving", in.Leaving)
		return c.NoContent(http.StatusNoContent)
	})
	return e
}

// maxPeerMessageBytes limits the size of a message from a peer.
const maxPeerMessageBytes = 4 << 10

// dump is the JSON document that describes the state of the process.
type dump struct {
	Name     string `json:"name"`
	Version  int64  `json:"routingVersion"`
	Revision int64  `json:"revision"`
	AgeMs    int64  `json:"ageMs"`
	InFlight int64  `json:"inFlight"`
	Leaving  bool   `json:"leaving"`
	// HeldBytes holds the bytes that are held on behalf of requests, by holder.
	HeldBytes map[string]int64 `json:"heldBytes"`
	// Isolated is set while the entry reaches no upstream.
	Isolated bool `json:"isolated"`
	// Evacuated lists the evacuated availability zones.
	Evacuated []evacuatedZone `json:"evacuated"`
	// Cold holds the upstreams that are cold, with this entry's share of their limits.
	Cold []coldUpstream `json:"cold,omitempty"`
	// Accounts holds the client accounts, or is missing if there are none.
	Accounts []serve.AccountState `json:"accounts,omitempty"`
	// AccountLimits holds the client accounts with a limit, and their credits.
	AccountLimits []accountLimitDump `json:"accountLimits,omitempty"`
	// Admission holds what is refused because of its priority, by service.
	Admission any `json:"admission"`
	Members   any `json:"members"`
	// LeftOut holds the listed entries that resolve responses leave out, with the reason.
	LeftOut map[string]string `json:"leftOut,omitempty"`
	// Hearing holds when each other entry was last heard.
	Hearing []hearingDump `json:"hearing"`
}

// metricsHandler serves metrics and the state dump to operators.
func (n *Node) metricsHandler() http.Handler {
	e := echo.New()
	e.GET(metricsPath, echo.WrapHandler(promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{})))
	e.GET(dumpPath, func(c echo.Context) error {
		return c.JSON(http.StatusOK, dump{
			Name:          n.settings.Name,
			Version:       n.forwarder.Version(),
			Revision:      n.follower.Revision(),
			AgeMs:         n.follower.Staleness(time.Now()).Milliseconds(),
			InFlight:      n.inFlight(),
			HeldBytes:     n.memory.heldBytes(),
			Leaving:       n.isLeaving.Load(),
			Isolated:      n.forwarder.IsIsolated(),
			Evacuated:     n.evacuations.list(),
			Members:       n.members.list(),
			LeftOut:       n.hearing.leftOut(),
			Hearing:       n.hearing.dump(n.members.list()),
			Cold:          n.coldUpstreams(),
			Accounts:      n.forwarder.AccountStates(),
			AccountLimits: n.credits.dump(time.Now()),
			Admission:     n.forwarder.AdmissionLevels(),
		})
	})
	return e
}

// peerTimeout limits sending a message to a peer.
const peerTimeout = time.Second

// broadcastCrash notifies all other entries of a request that crashed upstreams.
func (n *Node) broadcastCrash(fingerprint uint64, losses int) {
	n.broadcast(crashReportPath, crashReport{Fingerprint: fingerprint, Losses: losses})
}

// broadcastSelf notifies all other entries that this one has started or is
// leaving. They also learn this from the store, unless it is unreachable.
func (n *Node) broadcastSelf() {
	n.broadcast(memberPath, n.members.current())
}

// broadcast sends a message to all other entries without waiting for the result.
func (n *Node) broadcast(path string, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		n.log.Log(event.PeerUnreachable, "err", err)
		return
	}
	for _, in := range n.members.list() {
		if in.Name != n.settings.Name {
			go n.post(in.PeerAddress, path, body)
		}
	}
}

// peerDialer opens change streams of other entries.
type peerDialer struct {
	client *http.Client
}

// Open implements mirror.PeerDialer.
func (d peerDialer) Open(ctx context.Context, address, path string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "open peer stream")
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "open peer stream")
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, errors.Newf("open peer stream: unexpected status %d", resp.StatusCode)
	}
	return resp.Body, nil
}

func (n *Node) post(address, path string, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	resp, err := postMessage(ctx, n.peerClient, address, path, body)
	if err != nil {
		n.log.Log(event.PeerUnreachable, "peer", address, "err", err)
		return
	}
	_ = resp.Body.Close()
}

// postMessage posts a message to another entry. The caller closes the body of the response.
func postMessage(ctx context.Context, client *http.Client, address, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return client.Do(req)
}
