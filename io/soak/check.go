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
	// drainLimit and configLimit are the times within which a draining upstream
	// and a version of the configuration are heeded.
	drainLimit  = 3 * time.Second
	configLimit = 3 * time.Second
	// settled is how long an entry must have been undisturbed before bounds of
	// time hold for it.
	settled = 4 * time.Second
	// lateMargin is how long after a call's timeout its answer may come.
	lateMargin = 300 * time.Millisecond

	retryShare  = 0.2
	retryExtra  = 40
	retryWindow = 10 * time.Second
)

// deliveries is what upstreams were given, by request.
type deliveries map[string][]delivery

type delivery struct {
	platform.Arrival
	up *upstream
}

func deliveriesOf(ups []*upstream) deliveries {
	out := deliveries{}
	for _, u := range ups {
		for _, a := range u.arrivals() {
			out[a.ID] = append(out[a.ID], delivery{a, u})
		}
	}
	return out
}

func (d deliveries) runs(id string) int {
	n := 0
	for _, x := range d[id] {
		if x.Ran {
			n++
		}
	}
	return n
}

// checkOutcomes checks each call's answer against what the upstreams recorded.
func (w *world) checkOutcomes(all []outcome, d deliveries) {
	for _, o := range all {
		runs := d.runs(o.call.ID)
		if !o.repeatable && runs > 1 {
			w.breach("%s ran %d times", o.call.ID, runs)
		}
		switch {
		case o.err != nil:
			w.checkUnanswered(o)
		case o.reply.Status == http.StatusOK:
			w.checkSuccess(o, runs)
		case o.reply.Status == http.StatusServiceUnavailable:
			w.checkRefusal(o, runs)
		}
	}
}

func (w *world) checkSuccess(o outcome, runs int) {
	tail := fmt.Sprintf(" %s %s %d", o.call.Method, o.call.Path, len(o.call.Body))
	if !o.reply.IsSigned || o.reply.ID != o.call.ID || !strings.HasSuffix(o.reply.Body, tail) {
		w.breach("%s got another answer: signed %t, id %q, body %q", o.call.ID, o.reply.IsSigned, o.reply.ID, o.reply.Body)
	}
	if runs == 0 {
		w.breach("%s has a success and was never run", o.call.ID)
	}
}

func (w *world) checkRefusal(o outcome, runs int) {
	if !o.repeatable && runs > 0 {
		w.breach("%s was refused and ran %d times", o.call.ID, runs)
	}
	if o.reply.RetryAfter == "" {
		w.breach("%s was refused without a time to come back", o.call.ID)
	}
}

// checkUnanswered allows a call without an answer only at an entry that was
// disturbed, or for a caller that left.
func (w *world) checkUnanswered(o outcome) {
	if o.left || !w.calm.isCalm(o.entry, o.from.Add(-settled), o.to) {
		return
	}
	if o.to.Sub(o.from) >= callTimeout+lateMargin {
		w.breach("%s had no answer from %s within its timeout, begun %s", o.call.ID, o.entry, o.from.Format(time.StampMilli))
		return
	}
	w.breach("%s was cut at %s, begun %s: %v", o.call.ID, o.entry, o.from.Format(time.StampMilli), o.err)
}

// checkDrains looks for work that undisturbed entries gave to upstreams that had
// been leaving for some time.
func (w *world) checkDrains(all []outcome, d deliveries) {
	entries := map[string]string{}
	for _, o := range all {
		entries[o.call.ID] = o.entry
	}
	for id, list := range d {
		for _, x := range list {
			for _, s := range x.up.drainSpans() {
				late := x.At.Sub(s.from)
				if late > drainLimit && x.At.Before(s.to) && w.calm.isCalm(entries[id], s.from.Add(-settled), x.At) {
					w.breach("%s was given to %s by %s %s after its drain began", id, x.up.id, entries[id], late)
				}
			}
		}
	}
}

// checkRetries counts arrivals beyond the first of each request in each window.
func (w *world) checkRetries(all []outcome, d deliveries) {
	var again, first []time.Time
	for _, list := range d {
		sort.Slice(list, func(i, j int) bool { return list[i].At.Before(list[j].At) })
		for _, x := range list[1:] {
			again = append(again, x.At)
		}
	}
	for _, o := range all {
		first = append(first, o.from)
	}
	for _, at := range again {
		n := within(again, at, retryWindow)
		base := max(within(first, at, retryWindow), within(first, at.Add(-retryWindow), retryWindow))
		if float64(n) > retryShare*float64(base)+retryExtra {
			w.breach("%d retries in the %s from %s, for %d requests", n, retryWindow, at.Format(time.StampMilli), base)
			return
		}
	}
}

func within(times []time.Time, from time.Time, length time.Duration) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(from.Add(length)) {
			n++
		}
	}
	return n
}
