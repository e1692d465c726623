package node

import (
	"context"
	"time"

	"magnolialedge/core/stop"
	"magnolialedge/io/event"
	"magnolialedge/io/front"
	"magnolialedge/io/pause"
)

const (
	// idleCloseDelay is the time from the stop signal until idle caller
	// connections are closed. By then the resolve responses that name this entry
	// have expired.
	idleCloseDelay = defaultResolveTTL + 300*time.Millisecond
	// minDrainTime is the shortest time for which a stopping entry keeps serving
	// callers that do not know yet that it is leaving. Connections with pending requests
	// are ended in equal parts until then, so that their callers do not all connect to other
	// entries at once.
	minDrainTime = 3500 * time.Millisecond
	// stopMargin is the time reserved between the end of draining and the forced
	// end of the process.
	stopMargin = 400 * time.Millisecond
	// responseMargin is the time reserved for writing the last responses before the forced
	// end.
	responseMargin = 100 * time.Millisecond
	// stopPollInterval is the time between two checks of the requests in flight.
	stopPollInterval = 50 * time.Millisecond
)

// stop removes this entry from resolve responses, waits until all requests in
// flight have ended or the stop timeout is near, and returns. Work that may last
// longer is refused meanwhile.
func (n *Node) stop(ctx context.Context) {
	start := time.Now()
	n.isLeaving.Store(true)
	deadline := start.Add(n.settings.StopTimeout - stopMargin)
	n.forwarder.BeginStop(stop.NewSchedule(stop.Config{
		Open: idleCloseDelay,
		Work: deadline.Sub(start) - responseMargin,
	}, start))
	n.credits.leave()
	n.members.setLeaving()
	n.broadcastSelf()
	n.callerServer.DisableKeepAlives()
	n.handedServer.DisableKeepAlives()
	n.log.Log(event.Draining, "inFlight", n.inFlight(), "connections", n.callerServer.Connections())
	for time.Now().Before(deadline) {
		elapsed := time.Since(start)
		if elapsed >= idleCloseDelay {
			n.endConnections(minDrainTime - elapsed)
		}
		if elapsed >= minDrainTime {
			_ = n.listeners[0].Close()
			<-n.acceptEnded
			if n.inFlight() == 0 && n.callerServer.Connections() == 0 && n.handedServer.Connections() == 0 {
				return
			}
		}
		pause.Sleep(ctx, stopPollInterval)
	}
	if n.inFlight() > 0 {
		n.log.Log(event.StopForced, "inFlight", n.inFlight())
	}
}

// endConnections closes the idle connections, and ends as many of the others as are due now if
// all are to be ended within the given time.
func (n *Node) endConnections(within time.Duration) {
	polls := max(1, int(within/stopPollInterval))
	for _, s := range []*front.Server{n.callerServer, n.handedServer} {
		s.CloseIdle()
		s.EndBusy((s.Connections() + polls - 1) / polls)
	}
}

// inFlight returns the number of requests in progress, from callers and other entries.
func (n *Node) inFlight() int64 {
	return n.callerServer.InFlight() + n.handedServer.InFlight()
}
