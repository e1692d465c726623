package serve

import (
	"context"
	"net/http"
	"strings"
	"time"

	"magnolialedge"
	"magnolialedge/io/front"
)

// fail returns the response to a request whose attempts are over: the fallback if
// there is one, else an error. An error for a request that certainly did not run
// says when to retry.
func (x *exchange) fail(ctx context.Context, kind magnolialedge.ErrorKind) *front.Response {
	if x.fallback != nil {
		return x.callerResponse(attemptResult{response: x.fallback})
	}
	if kind == magnolialedge.KindUnauthorized && !x.mayHaveRun {
		return x.reject(kind, 0)
	}
	if kind == magnolialedge.KindLeaving {
		return x.rejectLeaving(ctx)
	}
	if ctx.Err() != nil {
		kind = magnolialedge.KindDeadlineExceeded
	}
	if x.mayHaveRun {
		if kind != magnolialedge.KindDeadlineExceeded {
			kind = magnolialedge.KindUpstreamLost
		}
		return x.reject(kind, 0)
	}
	if kind == magnolialedge.KindDeadlineExceeded {
		kind = magnolialedge.KindOverloaded
	}
	return x.rejectForShortage(kind)
}

// rejectForShortage returns the response to a request for which there is no
// capacity, and records the capacity for the log.
func (x *exchange) rejectForShortage(kind magnolialedge.ErrorKind) *front.Response {
	f := x.f
	f.mu.Lock()
	now := time.Now()
	x.queued = f.queueFor(x.pickReq.Service).Len()
	shortage := f.fleet.ShortageFor(now, x.pickReq, x.queued)
	retryAfter := f.planReturn(now, x.pickReq, x.queued)
	f.mu.Unlock()
	x.shortage = &shortage
	return x.reject(kind, retryAfter)
}

func (x *exchange) reject(kind magnolialedge.ErrorKind, retryAfter time.Duration) *front.Response {
	x.errorKind = kind
	resp := errorResponse(kind, retryAfter)
	if x.id != "" {
		resp.Header.Set(x.f.cfg.Headers.RequestID, x.id)
	}
	return resp
}

// hopByHopHeaders are the headers that apply to a single connection and are not
// forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEndHeaders returns a copy of h without hop-by-hop headers, the headers
// that Connection lists, and those in exclude.
func endToEndHeaders(h http.Header, exclude ...string) http.Header {
	out := h.Clone()
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	for _, name := range exclude {
		out.Del(name)
	}
	return out
}

// callerResponse converts an upstream's response to the one that the caller
// receives.
func (x *exchange) callerResponse(r attemptResult) *front.Response {
	headers := x.f.cfg.Headers
	resp := &front.Response{
		Status: r.response.Status,
		Header: endToEndHeaders(r.response.Header, headers.Load, headers.Instance, headers.NotRun),
		Body:   r.response.Body,
		Length: r.response.Length,
	}
	if r.stream != nil {
		r.stream.response = resp
		resp.Stream = r.stream
	}
	return resp
}
