package node

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"magnolialedge"
	"magnolialedge/core/pick"
	"magnolialedge/core/proc"
)

// limitReportPath is the path where entries report the limits of upstreams to each
// other.
const limitReportPath = "/v1/limit"

// limitReport reports that the run of an upstream that started at StartedAt, in Unix
// milliseconds, begins to announce a limit, or ceases to.
type limitReport struct {
	Upstream  string  `json:"upstream"`
	StartedAt int64   `json:"startedAt"`
	PerSecond float64 `json:"perSecond"`
	Ended     bool    `json:"ended,omitempty"`
	// ColdMs is set in a report that the upstream is cold for this time, or no longer if it
	// is 0. It says nothing about an announced limit; PerSecond is then coldReportPerSecond.
	ColdMs *int64 `json:"coldMs,omitempty"`
}

// coldReportPerSecond is invalid, so that an entry of a release that does not know ColdMs
// refuses the report. Any valid value, or Ended, would change an announced limit there.
const coldReportPerSecond = -1

// reportCold notifies all other entries that an upstream is cold for the remaining time, or
// no longer if it is 0.
func (n *Node) reportCold(r magnolialedge.Registration, remaining time.Duration) {
	ms := remaining.Milliseconds()
	n.broadcast(limitReportPath, limitReport{Upstream: r.ID, StartedAt: r.StartedAtUnixMs, PerSecond: coldReportPerSecond, ColdMs: &ms})
}

// reportLimit notifies all other entries of a limit.
func (n *Node) reportLimit(r magnolialedge.Registration, limit magnolialedge.RateLimit) {
	n.broadcast(limitReportPath, limitReport{Upstream: r.ID, StartedAt: r.StartedAtUnixMs, PerSecond: limit.PerSecond, Ended: !limit.IsSet})
}

// handleLimitReport applies a limit that a peer reports.
func (n *Node) handleLimitReport(c echo.Context) error {
	var report limitReport
	err := json.NewDecoder(io.LimitReader(c.Request().Body, maxPeerMessageBytes)).Decode(&report)
	if err == nil && report.ColdMs != nil && *report.ColdMs >= 0 && *report.ColdMs <= pick.MaxColdTime.Milliseconds() {
		n.forwarder.RecordPeerCold(report.Upstream, report.StartedAt, time.Duration(*report.ColdMs)*time.Millisecond)
		return c.NoContent(http.StatusNoContent)
	}
	if err != nil || report.PerSecond < 0 {
		return c.NoContent(http.StatusBadRequest)
	}
	n.forwarder.RecordPeerLimit(report.Upstream, report.StartedAt, magnolialedge.RateLimit{IsSet: !report.Ended, PerSecond: report.PerSecond})
	return c.NoContent(http.StatusNoContent)
}

// quotaSharer divides the limits of upstreams among the entries to which callers are
// steered. It implements magnolialedge.QuotaSharer.
type quotaSharer struct {
	members *members
	regions map[string]string
	// start is when the entry started.
	start time.Time

	mu sync.Mutex
	// hosts holds the hosts with a route to each service.
	hosts map[string][]string
}

// setRouting replaces the hosts by those of a configuration.
func (q *quotaSharer) setRouting(c magnolialedge.RoutingConfig) {
	hosts := map[string][]string{}
	for _, r := range c.Routes {
		for _, part := range r.Split {
			if !slices.Contains(hosts[part.Service], r.Host) {
				hosts[part.Service] = append(hosts[part.Service], r.Host)
			}
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.hosts = hosts
}

// QuotaShare implements magnolialedge.QuotaSharer.
func (q *quotaSharer) QuotaShare(now time.Time, r magnolialedge.Registration) magnolialedge.QuotaShare {
	share := proc.ShareQuota(q.members.responding(), q.members.self.Name, r, q.placeOf(r), q.hostsOf(r.Service))
	if now.Sub(q.start) < proc.MemberSettleTime {
		share.Fraction = 0
	}
	return share
}

func (q *quotaSharer) placeOf(r magnolialedge.Registration) proc.Place {
	return proc.Place{Region: q.regions[r.Zone], Zone: r.Zone}
}

// hostsOf returns the hosts with a route to a service.
func (q *quotaSharer) hostsOf(service string) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.hosts[service]
}

// steeredTTL is how long coldSharer caches the entries for the upstreams of a service and zone,
// because the shares of many cold upstreams are updated together.
const steeredTTL = 50 * time.Millisecond

// coldSharer divides the limits of cold upstreams among the listed entries, unless one of them
// ignores these limits. An entry that cannot be reached keeps its share, since it may still
// reach the upstream. It is not safe for concurrent use.
type coldSharer struct {
	*quotaSharer
	steered map[coldGroup]steeredEntries
}

// coldGroup identifies the upstreams whose callers use the same entries.
type coldGroup struct {
	service, zone string
}

// steeredEntries is a cached list of entries.
type steeredEntries struct {
	entries []magnolialedge.Instance
	at      time.Time
}

func newColdSharer(q *quotaSharer) *coldSharer {
	return &coldSharer{quotaSharer: q, steered: map[coldGroup]steeredEntries{}}
}

// QuotaShare implements magnolialedge.QuotaSharer.
func (s *coldSharer) QuotaShare(now time.Time, r magnolialedge.Registration) magnolialedge.QuotaShare {
	if now.Sub(s.start) < proc.MemberSettleTime {
		return magnolialedge.QuotaShare{}
	}
	group := coldGroup{service: r.Service, zone: r.Zone}
	steered, ok := s.steered[group]
	if !ok || now.Sub(steered.at) >= steeredTTL {
		steered = steeredEntries{entries: s.steeredTo(r), at: now}
		s.steered[group] = steered
	}
	return proc.ShareAmong(steered.entries, s.members.self.Name, r)
}

func (s *coldSharer) steeredTo(r magnolialedge.Registration) []magnolialedge.Instance {
	return proc.ColdLimitSharers(s.members.list(), r.Service, s.placeOf(r), s.hostsOf(r.Service))
}

// coldUpstream describes an upstream that is cold, in the dump.
type coldUpstream struct {
	Upstream    string `json:"upstream"`
	Service     string `json:"service"`
	RemainingMs int64  `json:"remainingMs"`
	// OwnRate is the number of requests per second that this entry may send.
	OwnRate float64 `json:"ownRate"`
}

func (n *Node) coldUpstreams() []coldUpstream {
	var out []coldUpstream
	for _, c := range n.forwarder.ColdUpstreams() {
		out = append(out, coldUpstream{Upstream: c.ID, Service: c.Service, RemainingMs: c.Remaining.Milliseconds(), OwnRate: c.Rate})
	}
	return out
}
