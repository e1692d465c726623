package node

import (
	"context"
	"time"

	"magnolialedge/io/event"
	"magnolialedge/io/pause"
)

const (
	// idleCloseAfter is the time from the signal to stop until the unused
	// connections of callers are closed.
	idleCloseAfter = 1200 * time.Millisecond
	// leastStay is the least time for which a stopping entry goes on to serve
	// callers that don't know yet that it leaves.
	leastStay = 3500 * time.Millisecond
	// stopMargin is kept to the end by force.
	stopMargin = 400 * time.Millisecond
	// stopPoll is the time between two looks at what is in flight.
	stopPoll = 50 * time.Millisecond
)

// stop leaves the resolve answers, lets all requests in flight end and returns.
func (n *Node) stop(ctx context.Context) {
	begun := time.Now()
	n.leaving.Store(true)
	n.members.setLeaving()
	n.tellMember()
	n.callers.DisableKeepAlives()
	n.log.Log(event.Draining, "inFlight", n.callers.InFlight(), "connections", n.callers.Connections())
	limit := begun.Add(n.settings.StopTimeout - stopMargin)
	for time.Now().Before(limit) {
		since := time.Since(begun)
		if since >= idleCloseAfter {
			n.callers.CloseIdle()
		}
		if since >= leastStay {
			_ = n.listeners[0].Close()
			if n.callers.InFlight() == 0 && n.callers.Connections() == 0 {
				return
			}
		}
		pause.Sleep(ctx, stopPoll)
	}
	if n.callers.InFlight() > 0 {
		n.log.Log(event.StopForced, "inFlight", n.callers.InFlight())
	}
}
