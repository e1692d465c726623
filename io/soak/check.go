package soak

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	platform "magnolialedge/platform/stand"
)

const (
	// maxDrainDelay and maxConfigDelay limit the time until an entry stops using a
	// draining upstream and applies an accepted configuration.
	maxDrainDelay  = 3 * time.Second
	maxConfigDelay = 3 * time.Second
	// settleTime is the time after a disturbance of an entry during which time
	// limits are not checked for it.
	settleTime = 4 * time.Second
	// responseGrace is how long after a request's timeout its response may arrive.
	responseGrace = 300 * time.Millisecond

	// From limitGrace after an upstream began to announce a limit, the entries may send it
	// limitSlack times what that allows, plus limitExtra, in any limitWindow.
	limitGrace  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitSlack  = 1.5
	limitExtra  = 5

	// From noticeDelay after a response with a notice, an entry may send the upstream
	// maxNoticeRequests further requests until the notice ends.
	noticeDelay       = 500 * time.Millisecond
	maxNoticeRequests = 2

	// Entries may send retryRatio retries per request, plus retryExtra. Both are
	// set in the entries' settings and checked in windows of retryWindow.
	retryRatio  = 0.2
	retryExtra  = 40
	retryWindow = 10 * time.Second
)

// deliveries holds the arrivals of requests at upstreams, by request ID.
type deliveries map[string][]delivery

// delivery is one arrival of a request at an upstream.
type delivery struct {
	platform.Arrival
	upstream *upstream
}

func deliveriesByRequest(upstreams []*upstream) deliveries {
	out := deliveries{}
	for _, u := range upstreams {
		for _, a := range u.arrivals() {
			out[a.ID] = append(out[a.ID], delivery{a, u})
		}
	}
	return out
}

// executions returns how often upstreams executed a request.
func (d deliveries) executions(id string) int {
	n := 0
	for _, x := range d[id] {
		if x.Ran {
			n++
		}
	}
	return n
}

// checkOutcomes checks each response against the executions that the upstreams
// recorded, and that no non-idempotent request was executed twice.
func (cl *cluster) checkOutcomes(all []outcome, d deliveries) {
	for _, o := range all {
		executions := d.executions(o.request.ID)
		if !o.idempotent && executions > 1 {
			cl.breach("%s was executed %d times", o.request.ID, executions)
		}
		switch {
		case o.err != nil:
			cl.checkNoResponse(o)
		case o.response.Status == http.StatusOK:
			cl.checkSuccess(o, executions)
		case o.response.Status == http.StatusServiceUnavailable:
			cl.checkRejection(o, executions)
		}
	}
}

// checkSuccess checks that a successful response is the signed response of an
// upstream to this request.
func (cl *cluster) checkSuccess(o outcome, executions int) {
	suffix := fmt.Sprintf(" %s %s %d", o.request.Method, o.request.Path, len(o.request.Body))
	if !o.response.IsSigned || o.response.ID != o.request.ID || !strings.HasSuffix(o.response.Body, suffix) {
		cl.breach("%s got the response to another request: signed %t, id %q, body %q", o.request.ID, o.response.IsSigned, o.response.ID, o.response.Body)
	}
	if executions == 0 {
		cl.breach("%s succeeded without being executed", o.request.ID)
	}
}

// checkRejection checks that a rejected non-idempotent request was not executed,
// and that the response has a Retry-After header.
func (cl *cluster) checkRejection(o outcome, executions int) {
	if !o.idempotent && executions > 0 {
		cl.breach("%s was rejected but executed %d times", o.request.ID, executions)
	}
	if o.response.RetryAfter == "" {
		cl.breach("%s was rejected without Retry-After", o.request.ID)
	}
}

// checkNoResponse records a breach for a request without a response, unless its
// entry was disturbed or the caller disconnected.
func (cl *cluster) checkNoResponse(o outcome) {
	if o.canceled || !cl.disturbances.isUndisturbed(o.entry, o.start.Add(-settleTime), o.end) {
		return
	}
	if o.end.Sub(o.start) >= requestTimeout+responseGrace {
		cl.breach("%s got no response from %s within its timeout, sent at %s", o.request.ID, o.entry, o.start.Format(time.StampMilli))
		return
	}
	cl.breach("%s lost its connection to %s, sent at %s: %v", o.request.ID, o.entry, o.start.Format(time.StampMilli), o.err)
}

// checkDrains records a breach for each request that an undisturbed entry sent to a
// draining upstream more than maxDrainDelay after the start of the drain.
func (cl *cluster) checkDrains(entries map[string]string, d deliveries) {
	for id, list := range d {
		for _, x := range list {
			for _, s := range x.upstream.drainSpans() {
				delay := x.At.Sub(s.from)
				if delay > maxDrainDelay && x.At.Before(s.to) && cl.disturbances.isUndisturbed(entries[id], s.from.Add(-settleTime), x.At) {
					cl.breach("%s was sent to %s by %s %s after the upstream started to drain", id, x.upstream.id, entries[id], delay)
				}
			}
		}
	}
}

// checkLimits records a breach for each time in which undisturbed entries together sent
// an upstream more requests than the limit that it named allows.
func (cl *cluster) checkLimits(entries map[string]string) {
	for _, u := range cl.upstreams {
		arrivals := u.arrivals()
		for _, s := range u.limitSpans() {
			var times []time.Time
			for _, a := range arrivals {
				inSpan := a.At.After(s.from.Add(limitGrace)) && a.At.Before(s.to)
				if inSpan && cl.disturbances.isUndisturbed(entries[a.ID], s.from.Add(-settleTime), a.At) {
					times = append(times, a.At)
				}
			}
			cl.checkLimit(u, s, times)
		}
	}
}

func (cl *cluster) checkLimit(u *upstream, s limitSpan, times []time.Time) {
	allowed := limitSlack*s.perSecond*limitWindow.Seconds() + limitExtra
	for _, from := range times {
		if n := countWithin(times, from, limitWindow); float64(n) > allowed {
			cl.breach("%s got %d requests in %s from %s with a limit of %.2f a second", u.id, n, limitWindow, from.Format(time.StampMilli), s.perSecond)
			return
		}
	}
}

// checkNotices records a breach for each entry that sent an upstream requests although a
// response had asked it to back off.
func (cl *cluster) checkNotices(entries map[string]string) {
	for _, u := range cl.upstreams {
		arrivals := u.arrivals()
		for _, s := range u.noticeSpans() {
			byEntry := map[string][]platform.Arrival{}
			for _, a := range arrivals {
				if name := entries[a.ID]; name != "" && a.At.After(s.from) && a.At.Before(s.to) {
					byEntry[name] = append(byEntry[name], a)
				}
			}
			for name, list := range byEntry {
				cl.checkNotice(u, s, name, list)
			}
		}
	}
}

// checkNotice checks the requests that one entry sent during a notice, in order. A request tells
// the entry only if its response has the notice: it may have begun before, or another fault may have
// changed the responses meanwhile.
func (cl *cluster) checkNotice(u *upstream, s noticeSpan, entry string, sent []platform.Arrival) {
	for i, told := range sent {
		if !told.IsNotified {
			continue
		}
		n := 0
		for _, a := range sent[i+1:] {
			if since := a.At.Sub(told.At); since > noticeDelay && since < s.wait {
				n++
			}
		}
		if n > maxNoticeRequests && cl.disturbances.isUndisturbed(entry, told.At.Add(-settleTime), s.to) {
			cl.breach("%s sent %d requests to %s, which had asked it at %s to back off for %s", entry, n, u.id, told.At.Format(time.StampMilli), s.wait)
			return
		}
	}
}

// sendersByRequest returns the entry that sent each request to upstreams, by request ID:
// the one that its caller used, or the one to which that one handed it.
func (cl *cluster) sendersByRequest(all []outcome) map[string]string {
	out := map[string]string{}
	for _, o := range all {
		out[o.request.ID] = o.entry
	}
	cl.addHelpers(out)
	return out
}

// checkRetries records a breach for the first window with more retries than the
// retry budget allows. A retry is an arrival of a request at an upstream after its first. The
// budget follows from the requests in the same window or the one before,
// whichever has more.
func (cl *cluster) checkRetries(all []outcome, d deliveries) {
	var retries, starts []time.Time
	for _, list := range d {
		sort.Slice(list, func(i, j int) bool { return list[i].At.Before(list[j].At) })
		for _, x := range list[1:] {
			retries = append(retries, x.At)
		}
	}
	for _, o := range all {
		starts = append(starts, o.start)
	}
	for _, at := range retries {
		n := countWithin(retries, at, retryWindow)
		requests := max(countWithin(starts, at, retryWindow), countWithin(starts, at.Add(-retryWindow), retryWindow))
		if float64(n) > retryRatio*float64(requests)+retryExtra {
			cl.breach("%d retries in the %s from %s, for %d requests", n, retryWindow, at.Format(time.StampMilli), requests)
			return
		}
	}
}

// countWithin returns the number of times in the period that starts at from.
func countWithin(times []time.Time, from time.Time, length time.Duration) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(from.Add(length)) {
			n++
		}
	}
	return n
}
