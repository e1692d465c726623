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
}

// reportLimit notifies all other entries of a limit.
func (n *Node) reportLimit(r magnolialedge.Registration, limit magnolialedge.RateLimit) {
	n.broadcast(limitReportPath, limitReport{Upstream: r.ID, StartedAt: r.StartedAtUnixMs, PerSecond: limit.PerSecond, Ended: !limit.IsSet})
}

// handleLimitReport applies a limit that a peer reports.
func (n *Node) handleLimitReport(c echo.Context) error {
	var report limitReport
	if err := json.NewDecoder(io.LimitReader(c.Request().Body, maxPeerMessageBytes)).Decode(&report); err != nil || report.PerSecond < 0 {
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
	q.mu.Lock()
	hosts := q.hosts[r.Service]
	q.mu.Unlock()
	place := proc.Place{Region: q.regions[r.Zone], Zone: r.Zone}
	share := proc.ShareQuota(q.members.reachable(now), q.members.self.Name, r, place, hosts)
	if now.Sub(q.start) < proc.MemberSettleTime {
		share.Fraction = 0
	}
	return share
}
