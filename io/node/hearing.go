package node

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"

	"magnolialedge"
	"magnolialedge/core/alive"
	core "magnolialedge/core/mirror"
	"magnolialedge/io/conn"
	"magnolialedge/io/event"
	"magnolialedge/io/pause"
)

const (
	// hearingPath is the path where an entry tells others whom it has heard, and when.
	hearingPath = "/v1/heard"
	// fromParam names the entry that asks, and aboutParam one that does not respond to it.
	// scopeParam tells whose evidence the response has.
	fromParam  = "from"
	aboutParam = "about"
	scopeParam = "scope"
	// maxDigestBytes limits the size of a response.
	maxDigestBytes = 64 << 10
	// hearingIdleTimeout is longer than the time after which the same neighbor is asked again.
	hearingIdleTimeout = 3 * time.Second
	hearingBufferBytes = 1 << 10
	// hearingJitter is the fraction of an interval by which a round may begin earlier or later.
	hearingJitter = 0.1
	// hearingStartPoll is the time between two checks until entries are listed.
	hearingStartPoll = 20 * time.Millisecond
	// aboutTimeoutShare is the fraction of a request's timeout for which a receiver asks another
	// entry before it responds.
	aboutTimeoutShare = 0.5
)

// errNoDigest is returned for a response of an earlier release, which has no digest.
var errNoDigest = errors.New("the response has no digest")

// hearing asks other entries whom they have heard, and keeps what is known. Its times are those
// of bootTime.
type hearing struct {
	self   string
	timing alive.Timing
	client *http.Client
	mu     sync.Mutex
	table  *alive.Table
	// evidenceAge observes the age of the evidence behind the entries that are named to callers.
	evidenceAge prometheus.Histogram
}

// hearingTransport returns the transport for requests to other entries. Few entries are asked
// often, and the messages are small.
func hearingTransport(dialer *conn.Dialer) *conn.Transport {
	transport := dialer.Transport("")
	transport.MaxIdleConnsPerHost = 1
	transport.IdleConnTimeout = hearingIdleTimeout
	transport.ReadBufferSize, transport.WriteBufferSize = hearingBufferBytes, hearingBufferBytes
	return transport
}

// newHearing returns a hearing with a bound on the time for which a silent entry is named. It is that
// on changes, but no longer than the default one: a slow spread of changes does not make an entry
// respond that is off.
func newHearing(self magnolialedge.Instance, bound time.Duration, client *http.Client) *hearing {
	timing := alive.TimingFor(min(bound, core.DefaultPropagation))
	return &hearing{
		self:   self.Name,
		timing: timing,
		client: client,
		table:  alive.NewTable(alive.Config{Self: self, Timing: timing, Random: rand.IntN}),
		evidenceAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "magnolialedge", Name: "resolve_evidence_age_seconds",
			Help:    "Time since an entry that a resolve response names was last heard by any entry.",
			Buckets: []float64{.1, .25, .5, 1, 1.5, 2, 2.5, 4, 6, 10},
		}),
	}
}

// silent returns the listed entries that are silent.
func (h *hearing) silent() map[string]alive.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Silent(bootTime())
}

// nameable returns those of the entries that resolve responses may name.
func (h *hearing) nameable(entries []magnolialedge.Instance) []magnolialedge.Instance {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := bootTime()
	return slices.DeleteFunc(entries, func(in magnolialedge.Instance) bool { return in.Name != h.self && !h.table.MayName(now, in.Name) })
}

// silentNames returns the names of the silent entries in order.
func (h *hearing) silentNames() []string {
	return slices.Sorted(maps.Keys(h.silent()))
}

// states returns what is known of the given entries.
func (h *hearing) states(entries []magnolialedge.Instance) []alive.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []alive.State
	for _, in := range entries {
		if s, ok := h.table.Entry(bootTime(), in.Name); ok {
			out = append(out, s)
		}
	}
	return out
}

// observeNamed records the age of the evidence of entries that a resolve response names.
func (h *hearing) observeNamed(entries []magnolialedge.Instance) {
	for _, s := range h.states(entries) {
		h.evidenceAge.Observe(s.Age.Seconds())
	}
}

// setEntries sets the live entries.
func (h *hearing) setEntries(entries []magnolialedge.Instance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.SetEntries(bootTime(), entries)
}

// next returns the requests of a new round.
func (h *hearing) next() []alive.Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := bootTime()
	h.table.Judge(now)
	return h.table.Next(now)
}

// interval returns the time until the next round.
func (h *hearing) interval() time.Duration {
	return time.Duration(float64(h.timing.Interval) * (1 - hearingJitter + 2*hearingJitter*rand.Float64()))
}

// ask sends a request and records its result. It returns an error if the entry does not respond.
func (h *hearing) ask(ctx context.Context, request alive.Request, timeout time.Duration) error {
	sent := bootTime()
	digest, err := h.fetch(ctx, request, timeout)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil:
		h.table.Merge(bootTime(), sent, request.To.Name, digest)
	case errors.Is(err, errNoDigest):
		h.table.Heard(bootTime(), sent, request.To.Name)
		return nil
	case ctx.Err() == nil:
		h.table.Failed(bootTime(), sent, request.To.Name)
	}
	return err
}

func (h *hearing) fetch(ctx context.Context, request alive.Request, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	query := url.Values{fromParam: {h.self}}
	if request.About != "" {
		query.Set(aboutParam, request.About)
	}
	if request.Scope != alive.ScopeAll {
		query.Set(scopeParam, string(request.Scope))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+request.To.PeerAddress+hearingPath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	// Empty and missing headers save bytes between zones.
	req.Header.Set("User-Agent", "")
	resp, err := h.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	digest, err := io.ReadAll(io.LimitReader(resp.Body, maxDigestBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errNoDigest
	}
	return digest, nil
}

// digest returns the response to another entry, and whether that one counts as silent here.
func (h *hearing) digest(from string, request alive.Request) (digest []byte, isSilent bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Digest(bootTime(), from, request), h.table.IsSilent(from)
}

// runHearing asks other entries whom they have heard until ctx is done.
func (n *Node) runHearing(ctx context.Context) {
	var known uint64
	for ctx.Err() == nil {
		if version := n.members.listVersion(); version != known {
			n.hearing.setEntries(n.members.list())
			known = version
		}
		if known == 0 {
			pause.Sleep(ctx, hearingStartPoll)
			continue
		}
		for _, request := range n.hearing.next() {
			go n.askEntry(ctx, request, n.hearing.timing.Timeout)
		}
		pause.Sleep(ctx, n.hearing.interval())
	}
}

// askEntry sends one request. A refused connection means that the run has ended.
func (n *Node) askEntry(ctx context.Context, request alive.Request, timeout time.Duration) {
	err := n.hearing.ask(ctx, request, timeout)
	if errors.Is(err, syscall.ECONNREFUSED) && !n.isLeaving.Load() {
		pause.Sleep(ctx, endCheckDelay)
		n.confirmEnd(request.To)
	}
}

// handleHearing tells another entry whom this one has heard. An entry that is silent but asks is asked
// at once, because its request alone does not show when it was written.
func (n *Node) handleHearing(c echo.Context) error {
	timeout := time.Duration(aboutTimeoutShare * float64(n.hearing.timing.Timeout))
	request := alive.Request{About: c.QueryParam(aboutParam), Scope: alive.Scope(c.QueryParam(scopeParam))}
	if in, ok := n.findEntry(request.About); ok {
		n.askEntry(c.Request().Context(), alive.Request{To: in}, timeout)
	}
	from := c.QueryParam(fromParam)
	digest, isSilent := n.hearing.digest(from, request)
	if isSilent {
		n.askBack(context.WithoutCancel(c.Request().Context()), from)
	}
	header := c.Response().Header()
	header["Date"], header["Content-Type"] = nil, nil
	_, err := c.Response().Write(digest)
	return err
}

// askBack asks an entry by its name without waiting for the result.
func (n *Node) askBack(ctx context.Context, name string) {
	if in, ok := n.findEntry(name); ok {
		go n.askEntry(ctx, alive.Request{To: in}, n.hearing.timing.Timeout)
	}
}

// findEntry returns a live entry by its name, or false.
func (n *Node) findEntry(name string) (magnolialedge.Instance, bool) {
	if name == "" {
		return magnolialedge.Instance{}, false
	}
	return n.members.find(func(in magnolialedge.Instance) bool { return in.Name == name })
}

// reportSteering logs each change of the entries that are listed and that resolve responses
// leave out, until ctx is done.
func (n *Node) reportSteering(ctx context.Context) {
	known := map[string]alive.State{}
	for ctx.Err() == nil {
		pause.Sleep(ctx, steeringPollInterval)
		silent := n.hearing.silent()
		for name, s := range silent {
			if _, ok := known[name]; !ok {
				n.log.Log(event.SteeringChanged, "member", name, "named", false, "ageMs", s.Age.Milliseconds(), "neverHeard", s.IsAssumed, "reason", "silent")
			}
		}
		for name := range known {
			if _, ok := silent[name]; !ok {
				n.logNamed(name)
			}
		}
		known = silent
	}
}

// steeringPollInterval is the time between two comparisons of the entries that resolve
// responses leave out.
const steeringPollInterval = 100 * time.Millisecond

// logNamed logs that an entry is no longer left out.
func (n *Node) logNamed(name string) {
	in, ok := n.findEntry(name)
	if !ok {
		n.log.Log(event.SteeringChanged, "member", name, "named", false, "reason", "no longer listed")
		return
	}
	for _, s := range n.hearing.states([]magnolialedge.Instance{in}) {
		n.log.Log(event.SteeringChanged, "member", name, "named", !in.Leaving, "ageMs", s.Age.Milliseconds(), "neverHeard", s.IsAssumed, "reason", "heard")
	}
}

// hearingDump is what a dump tells of another entry.
type hearingDump struct {
	Name string `json:"name"`
	// AgeMs is the time since any entry heard it, as far as this one knows, or since it was listed if
	// NeverHeard is set.
	AgeMs      int64 `json:"ageMs"`
	NeverHeard bool  `json:"neverHeard,omitempty"`
	Silent     bool  `json:"silent,omitempty"`
}

func (h *hearing) dump(entries []magnolialedge.Instance) []hearingDump {
	var out []hearingDump
	for _, s := range h.states(entries) {
		out = append(out, hearingDump{Name: s.Name, AgeMs: s.Age.Milliseconds(), NeverHeard: s.IsAssumed, Silent: s.IsSilent})
	}
	return out
}

// leftOut returns the listed entries that resolve responses leave out, and for how long each
// was not heard.
func (h *hearing) leftOut() map[string]string {
	out := map[string]string{}
	for name, s := range h.silent() {
		out[name] = "not heard for " + s.Age.Round(time.Millisecond).String()
	}
	return out
}
