package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	platform "magnolialedge/platform/stand"
)

// residentMB returns the resident memory of the process.
func (p *process) residentMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var total, resident float64
	if _, err := fmt.Sscan(string(text), &total, &resident); err != nil {
		return 0
	}
	return resident * float64(os.Getpagesize()) / (1 << 20)
}

// memoryCase is a load on an entry beside which callers send requests.
type memoryCase struct {
	name  string
	begin func(ctx context.Context, group *sync.WaitGroup)
}

const (
	// memoryMB is the memory of the entry's instance.
	memoryMB = 284
	// memoryCallers is the number of callers beside each load.
	memoryCallers = 72
)

// newMemoryCluster starts an entry and its upstreams.
func newMemoryCluster(t *testing.T) *cluster {
	const upstreams = 20
	if testing.Short() {
		t.Skip("starts processes")
	}
	cl, err := newCluster(Config{Binary: buildBinary(t), Dir: t.TempDir(), Entries: 1, Upstreams: upstreams, Seed: 4, MemoryMB: memoryMB})
	t.Cleanup(cl.close)
	require.NoError(t, err)
	require.NoError(t, cl.waitReady(context.Background()))
	time.Sleep(settleTime)
	return cl
}

// setTroubled sets how three of the upstreams respond.
func (cl *cluster) setTroubled(mode platform.ResponseMode) {
	const troubled = 3
	for _, u := range cl.upstreams[:troubled] {
		u.latest().SetResponseMode(mode)
	}
}

// requireWithinMemory requires that under each load the entry stays within its memory and serves more
// than half of its callers.
func (cl *cluster) requireWithinMemory(t *testing.T, cases []memoryCase) {
	e := cl.entries[0]
	peak := 0.0
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
			defer cancel()
			var group sync.WaitGroup
			c.begin(ctx, &group)
			var sent, served atomic.Int64
			for i := range memoryCallers {
				group.Go(func() {
					client := &http.Client{Transport: &http.Transport{}}
					for n := 0; ctx.Err() == nil; n++ {
						id := fmt.Sprintf("%s-%d-%d", strings.ReplaceAll(c.name, " ", ""), i, n)
						resp, err := platform.Send(ctx, client, e.settings.CallerAddress, platform.Request{ID: id, Method: http.MethodPost, Path: "/writes/" + id, Body: []byte(id), Timeout: requestTimeout})
						if ctx.Err() != nil {
							return
						}
						sent.Add(1)
						if err == nil && resp.Status == http.StatusOK {
							served.Add(1)
						}
					}
				})
			}
			for ctx.Err() == nil {
				peak = max(peak, e.process().residentMB())
				time.Sleep(10 * time.Millisecond)
			}
			group.Wait()
			for _, u := range cl.upstreams {
				u.latest().SetResponseMode(platform.RespondNormally)
			}
			t.Logf("at most %.0f MB, %d of %d requests served", peak, served.Load(), sent.Load())
			require.False(t, e.process().hasExited())
			require.Less(t, peak, 0.8*memoryMB)
			require.Greater(t, float64(served.Load()), 0.5*float64(sent.Load()))
		})
	}
}

// TestEntryStaysWithinItsMemory guards against an entry that is killed for its memory, with the
// requests of all callers: upstreams whose server errors have no end, uploads of the largest size,
// and callers that read nothing, one after the other and together.
func TestEntryStaysWithinItsMemory(t *testing.T) {
	cl := newMemoryCluster(t)
	e := cl.entries[0]
	cl.requireWithinMemory(t, []memoryCase{
		{"endless errors", func(context.Context, *sync.WaitGroup) { cl.setTroubled(platform.EndlessError) }},
		{"uploads", func(ctx context.Context, group *sync.WaitGroup) { sendUploads(ctx, group, e, memoryCallers) }},
		{"callers that do not read", func(ctx context.Context, group *sync.WaitGroup) { holdConnections(ctx, group, e, 2*memoryCallers) }},
		{"together", func(ctx context.Context, group *sync.WaitGroup) {
			cl.setTroubled(platform.EndlessError)
			sendUploads(ctx, group, e, memoryCallers)
			holdConnections(ctx, group, e, 2*memoryCallers)
		}},
	})
}

// TestEndlessBytesStayWithinTheMemory guards against an entry that keeps what upstreams send without
// end, in a head or in a body, and that is killed for its memory with the requests of all callers.
func TestEndlessBytesStayWithinTheMemory(t *testing.T) {
	cl := newMemoryCluster(t)
	cl.requireWithinMemory(t, []memoryCase{
		{"endless heads", func(context.Context, *sync.WaitGroup) { cl.setTroubled(platform.EndlessHead) }},
		{"endless bodies", func(context.Context, *sync.WaitGroup) { cl.setTroubled(platform.EndlessBody) }},
	})
}

// sendUploads uploads the largest bodies until ctx is done.
func sendUploads(ctx context.Context, group *sync.WaitGroup, e *entry, callers int) {
	body := make([]byte, 1<<20)
	for i := range callers {
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("upload-%d-%d", i, n)
				_, _ = platform.Send(ctx, client, e.settings.CallerAddress, platform.Request{ID: id, Method: http.MethodPost, Path: "/writes/" + id, Body: body, Timeout: requestTimeout})
			}
		})
	}
}

// holdConnections pipelines requests on connections and does not read the responses until ctx is
// done.
func holdConnections(ctx context.Context, group *sync.WaitGroup, e *entry, callers int) {
	for i := range callers {
		group.Go(func() {
			c, err := net.Dial("tcp", e.settings.CallerAddress)
			if err != nil {
				return
			}
			defer c.Close()
			w := bufio.NewWriter(c)
			for n := range 16 {
				_, _ = io.WriteString(w, fmt.Sprintf("GET /reads/%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: held-%d-%d\r\nX-Deadline-Ms: 5000\r\n\r\n", n, platform.Host, i, n))
			}
			_ = w.Flush()
			<-ctx.Done()
		})
	}
}
