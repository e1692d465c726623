package serve

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"
	"unicode"

	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/core/route"
	"magnolialedge/io/event"
	"magnolialedge/io/front"
)

const (
	// maxHandoverAttempts limits MaxAttempts and Tried of a handover.
	maxHandoverAttempts = 100
	// maxHandoverBytes limits the header of a handover.
	maxHandoverBytes = 8 << 10
	// invalidHandoverLogInterval is the shortest time between two log lines about invalid
	// handovers of one peer.
	invalidHandoverLogInterval = time.Minute
	// maxLoggedPeers limits the peers whose last log line is remembered.
	maxLoggedPeers = 1024
)

var errInvalidHandover = errors.New("the request was not handed over correctly")

// HandedRequests returns the handler of the requests that other entries hand to this one.
func (f *Forwarder) HandedRequests() front.Handler {
	return &handedRequests{Forwarder: f, loggedAt: map[string]time.Time{}}
}

// handedRequests handles the requests that other entries hand over. It implements
// front.Handler.
type handedRequests struct {
	*Forwarder
	// loggedAt holds the time of the last log line about each peer; it is guarded by
	// Forwarder.mu.
	loggedAt map[string]time.Time
}

// Limits implements front.Handler. The entry that received the request has applied the
// limit on headers, and adds the handover.
func (h *handedRequests) Limits() magnolialedge.RequestLimits {
	l := h.Forwarder.Limits()
	if l.MaxHeaderBytes > 0 {
		l.MaxHeaderBytes += maxHandoverBytes
	}
	return l
}

// IsIdempotent implements front.Handler. It is always false, since entries do not
// pipeline requests.
func (h *handedRequests) IsIdempotent(*front.Request) bool {
	return false
}

// RejectEarly implements front.Handler. The response to a request that was handed over says
// whether another entry may serve it, which Handle decides.
func (h *handedRequests) RejectEarly(*front.Request) *front.Response {
	return nil
}

// Handle implements front.Handler.
func (h *handedRequests) Handle(ctx context.Context, r *front.Request) *front.Response {
	mark, err := parseHandover(r.Header)
	x := h.newHandedExchange(r, mark)
	if err != nil {
		h.logInvalid(r, err)
		return x.decline(magnolialedge.KindBadRequest)
	}
	return x.serve(func() *front.Response {
		// The connection may be older than the client accounts.
		if h.cfg.AcceptsHandoversFrom != nil && !h.cfg.AcceptsHandoversFrom(r.RemoteAddr) {
			return x.decline(magnolialedge.KindForbidden)
		}
		if !h.beginHanded() {
			return x.decline(magnolialedge.KindOverloaded)
		}
		defer h.endHanded()
		return x.runHanded(ctx)
	})
}

// runHanded runs a request that was handed over. A refusal says that the request was not
// run, and whether another entry may serve it.
func (x *exchange) runHanded(ctx context.Context) *front.Response {
	if x.f.isLost(x.pickReq.Service) {
		return x.decline(magnolialedge.KindNoUpstream)
	}
	resp := x.run(ctx)
	if magnolialedge.ErrorResponseFor(x.errorKind).Outcome != magnolialedge.OutcomeNotRun || x.errorKind == "" {
		return resp
	}
	resp.Header.Set(x.f.cfg.Headers.NotRun, "1")
	if x.errorKind == magnolialedge.KindNoUpstream || x.errorKind == magnolialedge.KindLeaving {
		resp.Header.Set(declinedHeader, string(x.errorKind))
	}
	return resp
}

// decline returns the response that passes a request back to the entry that handed it
// over.
func (x *exchange) decline(kind magnolialedge.ErrorKind) *front.Response {
	resp := x.reject(kind, 0)
	resp.Header.Set(x.f.cfg.Headers.NotRun, "1")
	resp.Header.Set(declinedHeader, string(kind))
	return resp
}

// newHandedExchange returns the exchange of a request that was handed over.
func (f *Forwarder) newHandedExchange(r *front.Request, h handover) *exchange {
	x := &exchange{f: f, req: r, id: r.Header.Get(f.cfg.Headers.RequestID), handover: &h, hasRouting: true, hasRoute: true, memory: f.cfg.ResponseMemory.NewShare()}
	x.match = route.Match{
		Route:   magnolialedge.Route{Name: h.Route, Host: r.Host, Kind: h.Kind, Priority: h.Priority, LatencyTargetMs: h.LatencyTargetMs, MaxAttempts: h.MaxAttempts, AllowedRegions: h.AllowedRegions},
		Service: magnolialedge.RoutedService{Name: h.Service, HealthPath: f.healthPathOf(h.Service, "/")},
	}
	// refresh then also applies the allowed regions of the routes here, unless they are older,
	// because an entry of protocol 0 hands over no regions.
	x.version = h.Version - 1
	x.sentAttempts = h.Attempts
	x.isCounted = h.IsCounted
	x.setTimes(r.Arrived.Add(-time.Duration(h.AgeMs) * time.Millisecond))
	x.pickReq.Tried = h.Tried
	x.fingerprint = fingerprintOf(r)
	return x
}

// parseHandover returns the handover of a request.
func parseHandover(header http.Header) (handover, error) {
	var h handover
	values := header.Values(handoverHeader)
	if len(values) != 1 || len(values[0]) > maxHandoverBytes {
		return h, errors.Wrapf(errInvalidHandover, "%d headers", len(values))
	}
	if err := json.Unmarshal([]byte(values[0]), &h); err != nil {
		return handover{}, errors.Wrap(err, "parse handover")
	}
	return h, h.check()
}

// check returns an error if a field has no value that an entry sends.
func (h handover) check() error {
	switch {
	case h.From == "" || h.Service == "":
		return errors.Wrap(errInvalidHandover, "a name is missing")
	case h.Kind != magnolialedge.RouteSafe && h.Kind != magnolialedge.RouteNonIdempotent && h.Kind != magnolialedge.RouteUpload:
		return errors.Wrapf(errInvalidHandover, "kind %.40q", h.Kind)
	case h.MaxAttempts < 0 || h.MaxAttempts > maxHandoverAttempts || h.Attempts < 0 || len(h.Tried) > maxHandoverAttempts:
		return errors.Wrap(errInvalidHandover, "a number of attempts is out of range")
	case h.Attempts > 0 && !h.Kind.IsIdempotent():
		return errors.Wrap(errInvalidHandover, "a request that may run once was sent before")
	case h.AgeMs < 0 || h.AgeMs > defaultTimeout.Milliseconds() || h.LatencyTargetMs < 0:
		return errors.Wrap(errInvalidHandover, "a time is out of range")
	case h.Protocol < 0 || strings.ContainsFunc(h.Account, unicode.IsControl):
		return errors.Wrap(errInvalidHandover, "the protocol or the account is invalid")
	}
	return nil
}

// logInvalid logs an invalid handover at most once per invalidHandoverLogInterval and
// peer.
func (h *handedRequests) logInvalid(r *front.Request, err error) {
	peer, _, splitErr := net.SplitHostPort(r.RemoteAddr)
	if splitErr != nil {
		peer = r.RemoteAddr
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.loggedAt[peer]) < invalidHandoverLogInterval {
		return
	}
	if len(h.loggedAt) >= maxLoggedPeers {
		clear(h.loggedAt)
	}
	h.loggedAt[peer] = now
	h.cfg.Log.Log(event.HandoverInvalid, "peer", peer, "err", err)
}

// beginHanded counts a request that was handed over as in progress, unless as many are as
// this entry accepts.
func (f *Forwarder) beginHanded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cfg.MaxHanded > 0 && f.handedCount >= f.cfg.MaxHanded {
		return false
	}
	f.handedCount++
	return true
}

func (f *Forwarder) endHanded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handedCount--
}
