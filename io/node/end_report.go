package node

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"magnolialedge"
	"magnolialedge/io/event"
)

const (
	// endCheckTimeout limits the connection attempt that checks whether an entry
	// has ended.
	endCheckTimeout = 300 * time.Millisecond
	// endCheckDelay gives a terminating process time to close its listeners
	// before the check.
	endCheckDelay = 20 * time.Millisecond
	// endReportPath is the path where entries report ended entries to each other.
	endReportPath = "/v1/gone"
)

// endReport reports that the run of the entry Name that started at StartedAt, in
// Unix milliseconds, has ended.
type endReport struct {
	Name      string `json:"name"`
	StartedAt int64  `json:"startedAt"`
}

// subscriberLost checks an entry whose stream from this one has ended.
func (n *Node) subscriberLost(name string) {
	n.reportIfEnded(func(in magnolialedge.Instance) bool { return in.Name == name })
}

// sourceLost checks an entry whose stream to this one has ended.
func (n *Node) sourceLost(address string) {
	go n.reportIfEnded(func(in magnolialedge.Instance) bool { return in.PeerAddress == address })
}

// reportIfEnded checks whether the entry that match selects has ended, and
// records and reports it if so. Only a refused connection counts: an entry that
// does not respond may be paused or partitioned, and its lease decides.
func (n *Node) reportIfEnded(match func(magnolialedge.Instance) bool) {
	in, ok := n.members.find(match)
	if !ok || n.isLeaving.Load() {
		return
	}
	time.Sleep(endCheckDelay)
	c, err := net.DialTimeout("tcp", in.PeerAddress, endCheckTimeout)
	if err == nil {
		_ = c.Close()
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	report := endReport{Name: in.Name, StartedAt: in.StartedAt}
	if n.recordEnd(report, "own check") && n.isEndReporter(in) {
		n.broadcast(endReportPath, report)
	}
}

// isEndReporter reports whether this entry broadcasts the end of another one. Only
// the sources of the region do; the ended entry does not count as one.
func (n *Node) isEndReporter(ended magnolialedge.Instance) bool {
	sources := n.members.ranked()
	sources = slices.DeleteFunc(sources, func(in magnolialedge.Instance) bool { return in.Name == ended.Name })
	reporters := min(sourcesPerRegion, len(sources))
	return slices.ContainsFunc(sources[:reporters], func(in magnolialedge.Instance) bool { return in.Name == n.settings.Name })
}

// recordEnd records an ended entry and reports whether this was not known before.
func (n *Node) recordEnd(report endReport, from string) bool {
	if !n.members.markEnded(report) {
		return false
	}
	n.log.Log(event.MemberGone, "member", report.Name, "startedAt", report.StartedAt, "from", from)
	return true
}

// handleEndReport records an ended entry that a peer reports.
func (n *Node) handleEndReport(c echo.Context) error {
	var report endReport
	if err := json.NewDecoder(io.LimitReader(c.Request().Body, maxPeerMessageBytes)).Decode(&report); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	n.recordEnd(report, c.RealIP())
	return c.NoContent(http.StatusNoContent)
}
