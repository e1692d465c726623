package serve

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"magnolialedge/core/admit"
	"magnolialedge/core/pick"
	"magnolialedge/io/event"
)

// gate decides which requests of a service are refused while its capacity is short.
// loggedLevel is the last level that was logged.
type gate struct {
	admit.Gate
	returns     *admit.ReturnSchedule
	loggedLevel admit.Level
}

// gateOf returns the gate of a service. The caller holds f.mu.
func (f *Forwarder) gateOf(service string) *gate {
	g, ok := f.gates[service]
	if !ok {
		g = &gate{returns: admit.NewReturnSchedule(xxhash.Sum64String(f.cfg.Name + "\x00" + service))}
		f.gates[service] = g
	}
	return g
}

func rankOf(req pick.Request) admit.Rank {
	return admit.Rank{Account: req.AccountPriority, Route: req.Priority}
}

// hasAdmission reports whether scarce capacity is divided by priority. Without, requests
// wait, are retried and are told to return as if all had the same rank. The caller holds
// f.mu.
func (f *Forwarder) hasAdmission() bool {
	return f.cfg.Admission || f.accounts != nil
}

// admits reports whether a waiter may enter the queue. The caller holds f.mu.
func (f *Forwarder) admits(now time.Time, q *queue, w *pick.Waiter) bool {
	if !f.hasAdmission() {
		return true
	}
	g := f.gateOf(w.Request.Service)
	if !g.MayRefuse(now, rankOf(w.Request)) {
		return true
	}
	ok := g.Admits(now, q.AdmissionRequest(now, w, f.fleet))
	f.logLevel(now, w.Request.Service)
	return ok
}

// recordStart counts a request that is sent to an upstream. The caller holds f.mu.
func (f *Forwarder) recordStart(now time.Time, service string) {
	f.gateOf(service).RecordStart(now)
	f.logLevel(now, service)
}

// recordWaiting updates the gate of a service with the length of its queue. The caller
// holds f.mu.
func (f *Forwarder) recordWaiting(now time.Time, service string, q *queue) {
	f.gateOf(service).RecordWaiting(now, q.Len())
	f.logLevel(now, service)
}

// logLevel logs a change of what the gate of a service refuses. The caller holds f.mu.
func (f *Forwarder) logLevel(now time.Time, service string) {
	g := f.gateOf(service)
	level := g.Level(now)
	if level.IsRefusing == g.loggedLevel.IsRefusing && level.Rank == g.loggedLevel.Rank {
		return
	}
	g.loggedLevel = level
	if !level.IsRefusing {
		f.cfg.Log.Log(event.AdmissionEnded, "service", service)
		return
	}
	f.cfg.Log.Log(event.AdmissionLevel, "service", service, "accountPriority", level.Rank.Account, "priority", level.Rank.Route, "capacityPerS", int(level.Capacity), "moreUrgentPerS", int(level.MoreUrgent))
}

// planReturn returns the time after which the caller of a refused request is told to come
// back. The caller holds f.mu.
func (f *Forwarder) planReturn(now time.Time, req pick.Request, waiting int) time.Duration {
	earliest := f.fleet.RetryAfter(now, req, waiting)
	if !f.hasAdmission() {
		return earliest
	}
	g, rank := f.gateOf(req.Service), rankOf(req)
	return g.returns.Plan(now, rank, earliest, g.ReturnRate(now, rank))
}

// AdmissionLevels returns what the gates refuse, by service. Services that refuse nothing
// are left out.
func (f *Forwarder) AdmissionLevels() map[string]admit.Level {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, out := time.Now(), map[string]admit.Level{}
	for service, g := range f.gates {
		if level := g.Level(now); level.IsRefusing {
			out[service] = level
		}
	}
	return out
}
