package node

import (
	"encoding/json"
	"io"
	"math/rand/v2"
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
	// endCheckInterval is the time between two checks of an entry that does not
	// respond.
	endCheckInterval = time.Second
	// endRecheckInterval is the average time between two checks of an entry that has
	// ended. Half of it is random, because all entries check.
	endRecheckInterval = 2 * time.Second
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
	if in, ok := n.findEntry(name); ok {
		n.checkUntilResolved(in)
	}
}

// sourceLost checks an entry whose stream to this one has ended.
func (n *Node) sourceLost(address string) {
	in, ok := n.members.find(func(in magnolialedge.Instance) bool { return in.PeerAddress == address })
	if ok {
		go n.checkUntilResolved(in)
	}
}

// checkUntilResolved checks an entry until it accepts a connection, has ended or is no longer
// listed. Only a refused connection means that it has ended: an entry that does not respond may
// be paused or partitioned, which others hear.
func (n *Node) checkUntilResolved(in magnolialedge.Instance) {
	time.Sleep(endCheckDelay)
	for !n.isLeaving.Load() && n.members.isCurrent(in) {
		if n.confirmEnd(in) {
			return
		}
		time.Sleep(endCheckInterval)
	}
}

// confirmEnd checks an entry once, and reports whether it is known now whether it has ended.
func (n *Node) confirmEnd(in magnolialedge.Instance) bool {
	err := dialPeer(in)
	if errors.Is(err, syscall.ECONNREFUSED) {
		n.reportEnd(in)
		return true
	}
	return err == nil
}

// dialPeer returns an error unless an entry accepts a connection from its peers.
func dialPeer(in magnolialedge.Instance) error {
	c, err := net.DialTimeout("tcp", in.PeerAddress, endCheckTimeout)
	if err != nil {
		return err
	}
	return c.Close()
}

// reportEnd records that a run of an entry has ended and reports it to the others.
func (n *Node) reportEnd(in magnolialedge.Instance) {
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
	go n.recheckEnd(report)
	return true
}

// verifyEnd records an ended entry that a peer reports if this entry finds the same. The
// peer's own links may be at fault.
func (n *Node) verifyEnd(report endReport, from string) {
	in, ok := n.members.find(func(in magnolialedge.Instance) bool { return in.Name == report.Name })
	if !ok {
		return
	}
	err := dialPeer(in)
	if errors.Is(err, syscall.ECONNREFUSED) {
		n.recordEnd(report, from)
		return
	}
	n.log.Log(event.EndUnconfirmed, "member", report.Name, "startedAt", report.StartedAt, "from", from, "err", err)
}

// recheckEnd tries an ended entry until the store no longer lists it, and corrects the
// belief if it accepts connections after all.
func (n *Node) recheckEnd(report endReport) {
	for !n.isLeaving.Load() {
		time.Sleep(endRecheckInterval/2 + rand.N(endRecheckInterval))
		in, ok := n.members.findEnded(report)
		if !ok {
			return
		}
		if dialPeer(in) == nil {
			n.members.unmarkEnded(report)
			n.log.Log(event.MemberReachable, "member", report.Name)
			return
		}
	}
}

// handleEndReport checks an entry of which a peer reports that it has ended.
func (n *Node) handleEndReport(c echo.Context) error {
	var report endReport
	if err := json.NewDecoder(io.LimitReader(c.Request().Body, maxPeerMessageBytes)).Decode(&report); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	go n.verifyEnd(report, c.RealIP())
	return c.NoContent(http.StatusNoContent)
}
