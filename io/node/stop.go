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
	idleCloseDelay = 1200 * time.Millisecond
	// leastStay is the least time for which a stopping entry goes on to serve
	// callers that don't know yet that it leaves.
	minDrainTime = 3500 * time.Millisecond
	// stopMargin is kept to the end by force.
	stopMargin = 400 * time.Millisecond
	// stopPoll is the time between two looks at what is in flight.
	stopPollInterval = 50 * time.Millisecond
)

// stop leaves the resolve answers, lets all requests in flight end and returns.
func (n *Node) stop(ctx context.Context) {
	begun := time.Now()
	n.isLeaving.Store(true)
	n.members.setLeaving()
	n.broadcastSelf()
	n.callerServer.DisableKeepAlives()
	n.log.Log(event.Draining, "inFlight", n.callerServer.InFlight(), "connections", n.callerServer.Connections())
	limit := begun.Add(n.settings.StopTimeout - stopMargin)
	for time.Now().Before(limit) {
		since := time.Since(begun)
		if since >= idleCloseDelay {
			n.callerServer.CloseIdle()
		}
		if since >= minDrainTime {
			_ = n.listeners[0].Close()
			if n.callerServer.InFlight() == 0 && n.callerServer.Connections() == 0 {
				return
			}
		}
		pause.Sleep(ctx, stopPollInterval)
	}
	if n.callerServer.InFlight() > 0 {
		n.log.Log(event.StopForced, "inFlight", n.callerServer.InFlight())
	}
}
