package call

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"time"

	"magnolialedge"
	"magnolialedge/core/call"
	"magnolialedge/core/proc"
	"magnolialedge/io/conn"
	"magnolialedge/io/event"
)

const (
	// maxBufferedResponseBytes is the largest response body that is read completely
	// before any of it is relayed to the caller.
	maxBufferedResponseBytes = 64 << 10
)

// attempt is one dispatch of a request to one upstream.
type attempt struct {
	exchange *exchange
	address  string
	isHedge  bool
	start    time.Time
	cancel   context.CancelFunc
	trace    *conn.RequestTrace
	// resp is the response and buffered the beginning of its body. resp.Body holds
	// the rest unless isComplete is true.
	resp       *http.Response
	buffered   []byte
	isComplete bool
	result     call.Result
	// err is the error of an attempt without a response.
	err error
	// isReceived is true once the exchange has received the attempt's end.
	isReceived bool
}

// startAttempt starts an attempt at address, which reports its end on x.ended.
func (x *exchange) startAttempt(address string, isHedge bool) {
	ctx, cancel := context.WithCancel(x.baseCtx)
	a := &attempt{exchange: x, address: address, isHedge: isHedge, start: time.Now(), cancel: cancel, trace: &conn.RequestTrace{}}
	x.tried = append(x.tried, address)
	x.attempts = append(x.attempts, a)
	go a.run(ctx)
}

func (a *attempt) run(ctx context.Context) {
	dest, ok := a.exchange.svc.Destination(a.address)
	switch {
	case !a.exchange.maySend():
		// The upstream is not to blame; a canceled attempt does not count against it.
		a.cancel()
		a.result = call.Result{Outcome: magnolialedge.OutcomeNotRun, Leaving: true}
	case !ok:
		a.result = call.Result{Outcome: magnolialedge.OutcomeNotRun}
	default:
		a.roundTrip(ctx, dest)
	}
	a.release(ctx)
	a.exchange.ended <- a
}

func (a *attempt) roundTrip(ctx context.Context, dest conn.Destination) {
	opts := conn.SendOptions{
		Destination:     dest,
		FreshConnection: a.exchange.class != call.Idempotent || !a.exchange.body.replayable(),
		OnInterim:       a.exchange.relayInterim,
	}
	resp, trace, err := a.exchange.server.cfg.Pool.Send(a.newRequest(ctx, dest), opts)
	a.trace = trace
	if err != nil {
		a.err = err
		a.result = a.failureResult(ctx)
		return
	}
	a.resp = resp
	a.result = call.Result{Outcome: responseOutcome(resp), Status: resp.StatusCode, BodyConsumed: a.exchange.body.restRead.Load()}
	if err := a.bufferBody(); err != nil {
		a.err = err
		a.result = a.failureResult(ctx)
		a.resp = nil
	}
}

// responseOutcome returns the outcome that a response shows. It is notRun only if
// the upstream says so in the Request-Outcome header of a 503 or 429.
func responseOutcome(resp *http.Response) magnolialedge.Outcome {
	isRefused := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	if isRefused && resp.Header.Get(HeaderOutcome) == string(magnolialedge.OutcomeNotRun) {
		return magnolialedge.OutcomeNotRun
	}
	return magnolialedge.OutcomeRan
}

// failureResult returns the result of an attempt without a response. The outcome
// is unknown once any byte of the request was written.
func (a *attempt) failureResult(ctx context.Context) call.Result {
	r := call.Result{Outcome: magnolialedge.OutcomeNotRun, BodyConsumed: a.exchange.body.restRead.Load()}
	if a.trace.HasWritten() {
		r.Outcome = magnolialedge.OutcomeUnknown
		r.UpstreamLost = ctx.Err() == nil
	}
	return r
}

// bufferBody reads a body of up to maxBufferedResponseBytes. A body of unknown
// length is buffered only for keyed requests, whose responses are stored, and for
// 5xx responses, which may be replaced by another attempt's.
func (a *attempt) bufferBody() error {
	if a.resp.ContentLength > maxBufferedResponseBytes || a.exchange.method == http.MethodHead {
		return nil
	}
	if a.resp.ContentLength < 0 && a.exchange.class != call.Keyed && a.result.Status < 500 {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(a.resp.Body, maxBufferedResponseBytes))
	if err != nil {
		return err
	}
	a.buffered = data
	a.isComplete = len(data) < maxBufferedResponseBytes || a.resp.ContentLength == maxBufferedResponseBytes
	return nil
}

func (a *attempt) newRequest(ctx context.Context, dest conn.Destination) *http.Request {
	x := a.exchange
	req := &http.Request{
		Method:        x.method,
		URL:           &url.URL{Scheme: "http", Host: dest.Address, Path: x.url.Path, RawPath: x.url.RawPath, RawQuery: x.url.RawQuery},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Host:          x.host,
		Header:        make(http.Header, len(x.header)+4),
		Body:          x.body.newReader(),
		ContentLength: x.body.length,
		Trailer:       x.body.trailer,
	}
	copyHeaders(req.Header, x.header, entryRequestHeaders)
	if _, ok := x.header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil
	}
	req.Header.Set(HeaderRequestID, x.requestID)
	remainingMs := max(1, time.Until(x.deadline).Milliseconds())
	req.Header.Set(HeaderTimeout, strconv.FormatInt(remainingMs, 10))
	if x.server.cfg.Fleet.SpendLowPriority(x.service, dest.Region, proc.Cost{Bytes: float64(loadReportBytes)}) {
		req.Header.Set(HeaderLoadRequest, "1")
	}
	return req.WithContext(ctx)
}

// release reports the attempt's result to the service and frees its slot.
func (a *attempt) release(ctx context.Context) {
	out := magnolialedge.AttemptResult{
		Address:  a.address,
		Duration: time.Since(a.start),
		Outcome:  a.result.Outcome,
		Failed:   a.result.Status == 0 || a.result.Status >= 500,
	}
	if a.result.Status == 0 && ctx.Err() != nil {
		out.Canceled = true
	}
	if a.resp != nil && a.result.Outcome == magnolialedge.OutcomeNotRun {
		out.Failed = false
		out.Shed = true
	}
	a.exchange.svc.Release(out, a.loadReport())
}

// loadReport returns the upstream's load report, or nil without one, and notifies
// peers if it reports that the upstream is draining.
func (a *attempt) loadReport() *magnolialedge.LoadReport {
	if a.resp == nil {
		return nil
	}
	load := parseLoad(a.resp.Header.Get(HeaderLoad))
	if load != nil && load.Draining {
		a.exchange.server.notifyDraining(a.exchange.service, a.address)
	}
	return load
}

// relayInterim relays a 1xx response to the caller.
func (x *exchange) relayInterim(status int, header textproto.MIMEHeader) error {
	if status == http.StatusContinue || status == http.StatusSwitchingProtocols {
		return nil
	}
	x.interimMu.Lock()
	defer x.interimMu.Unlock()
	if x.interimStopped || x.w == nil {
		return nil
	}
	relayed := http.Header{}
	copyHeaders(relayed, http.Header(header), entryResponseHeaders)
	h := x.w.Header()
	maps.Copy(h, relayed)
	x.w.WriteHeader(status)
	for k := range relayed {
		h.Del(k)
	}
	return nil
}

// recordUpstreamLost records that the connection broke while the upstream ran the
// request, or that the response was broken, which does not show that the upstream
// crashed. Peers are notified only once the request is quarantined, so that requests
// that merely shared the upstream do not use up the measurement budget.
func (a *attempt) recordUpstreamLost() {
	s := a.exchange.server
	isBroken, losses := conn.IsBroken(a.err), 0
	if !isBroken {
		losses = s.cfg.Quarantine.RecordLoss(a.exchange.fingerprint)
	}
	s.cfg.Log.Log(event.UpstreamLost, "service", a.exchange.service, "upstream", a.address, "requestId", a.exchange.requestID, "losses", losses, "err", a.err)
	s.cfg.Metrics.UpstreamsLost.WithLabelValues(a.exchange.service).Inc()
	if isBroken {
		return
	}
	if _, quarantined := s.cfg.Quarantine.Remaining(a.exchange.fingerprint); !quarantined {
		return
	}
	a.result.Quarantined = true
	s.cfg.NotifyPeers(PeerUpdate{Service: a.exchange.service, Fingerprint: a.exchange.fingerprint, Losses: losses})
}

// storedResponse returns the response to replay to callers that resend the same
// key, or nil if it exceeds maxStoredResponseBytes.
func (a *attempt) storedResponse() *proc.StoredResponse {
	if !a.isComplete || len(a.buffered) > maxStoredResponseBytes {
		return nil
	}
	h := http.Header{}
	copyHeaders(h, a.resp.Header, entryResponseHeaders)
	return &proc.StoredResponse{Status: a.resp.StatusCode, Header: h, Body: bytes.Clone(a.buffered)}
}
