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
	// checkTimeout bounds the check whether an entry has ended.
	endCheckTimeout = 300 * time.Millisecond
	// checkDelay leaves an ending process the time to close its listeners.
	endCheckDelay = 20 * time.Millisecond
	// gonePath is where entries tell each other of ended ones.
	endReportPath = "/v1/gone"
)

// loss tells that the run of an entry that began at StartedAt has ended.
type endReport struct {
	Name      string `json:"name"`
	StartedAt int64  `json:"startedAt"`
}

// readerLost looks after an entry whose stream from here has ended.
func (n *Node) subscriberLost(name string) {
	n.reportIfEnded(func(in magnolialedge.Instance) bool { return in.Name == name })
}

// sourceLost looks after an entry whose stream to here has ended.
func (n *Node) sourceLost(address string) {
	go n.reportIfEnded(func(in magnolialedge.Instance) bool { return in.PeerAddress == address })
}

// checkEnded finds out whether an entry has ended. Only a machine that refuses the
// connection counts: one that is silent may be paused or cut off, and is left to
// its lease.
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
	l := endReport{Name: in.Name, StartedAt: in.StartedAt}
	if n.recordEnd(l, "own check") && n.isEndReporter(in) {
		n.broadcast(endReportPath, l)
	}
}

// tells reports whether this entry is one that tells all others of an ended one:
// a source of the region that isn't the ended one.
func (n *Node) isEndReporter(ended magnolialedge.Instance) bool {
	sources := n.members.ranked()
	sources = slices.DeleteFunc(sources, func(in magnolialedge.Instance) bool { return in.Name == ended.Name })
	first := min(sourcesPerRegion, len(sources))
	return slices.ContainsFunc(sources[:first], func(in magnolialedge.Instance) bool { return in.Name == n.settings.Name })
}

func (n *Node) recordEnd(l endReport, from string) bool {
	if !n.members.markEnded(l) {
		return false
	}
	n.log.Log(event.MemberGone, "member", l.Name, "startedAt", l.StartedAt, "from", from)
	return true
}

// handleLoss takes another entry's word on an ended one.
func (n *Node) handleEndReport(c echo.Context) error {
	var l endReport
	if err := json.NewDecoder(io.LimitReader(c.Request().Body, maxPeerMessageBytes)).Decode(&l); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	n.recordEnd(l, c.RealIP())
	return c.NoContent(http.StatusNoContent)
}
