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
	// heldAnswer is the greatest answer, in bytes, that is read whole before
	// any of it is given to the caller.
	heldAnswer = 64 << 10
)

// attempt is one try of a request at one upstream.
type attempt struct {
	x       *exchange
	address string
	hedge   bool
	begun   time.Time
	cancel  context.CancelFunc
	use     *conn.RequestTrace
	// resp and held are the answer; the rest of it is in resp.Body unless
	// whole is true.
	resp   *http.Response
	held   []byte
	whole  bool
	result call.Result
	// seen tells that the exchange has received the end.
	seen bool
}

// launch starts an attempt at address and sends its end to the exchange.
func (x *exchange) launch(address string, hedge bool) {
	ctx, cancel := context.WithCancel(x.base)
	a := &attempt{x: x, address: address, hedge: hedge, begun: time.Now(), cancel: cancel, use: &conn.RequestTrace{}}
	x.tried = append(x.tried, address)
	x.attempts = append(x.attempts, a)
	go a.run(ctx)
}

func (a *attempt) run(ctx context.Context) {
	dest, ok := a.x.svc.Destination(a.address)
	if !ok {
		a.result = call.Result{Outcome: magnolialedge.OutcomeNotRun}
	} else {
		a.roundTrip(ctx, dest)
	}
	a.release(ctx)
	a.x.ended <- a
}

func (a *attempt) roundTrip(ctx context.Context, dest conn.Destination) {
	sending := conn.SendOptions{
		Destination:     dest,
		FreshConnection: a.x.class != call.Idempotent || !a.x.body.replayable(),
		OnInterim:       a.x.interim,
	}
	resp, use, err := a.x.server.cfg.Pool.Send(a.request(ctx, dest), sending)
	a.use = use
	if err != nil {
		a.result = a.failure(ctx)
		return
	}
	a.resp = resp
	a.result = call.Result{Outcome: outcomeOf(resp), Status: resp.StatusCode, BodyConsumed: a.x.body.used.Load()}
	if err := a.hold(); err != nil {
		a.result = a.failure(ctx)
		a.resp = nil
	}
}

// outcomeOf reads the outcome from an answer. Only an explicit word of the
// upstream makes it notRun.
func outcomeOf(resp *http.Response) magnolialedge.Outcome {
	refused := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	if refused && resp.Header.Get(HeaderOutcome) == string(magnolialedge.OutcomeNotRun) {
		return magnolialedge.OutcomeNotRun
	}
	return magnolialedge.OutcomeRan
}

func (a *attempt) failure(ctx context.Context) call.Result {
	r := call.Result{Outcome: magnolialedge.OutcomeNotRun, BodyConsumed: a.x.body.used.Load()}
	if a.use.HasWritten() {
		r.Outcome = magnolialedge.OutcomeUnknown
		r.UpstreamLost = ctx.Err() == nil
	}
	return r
}

// hold reads a small answer whole. A streamed answer is held only when its
// class needs the whole answer.
func (a *attempt) hold() error {
	if a.resp.ContentLength > heldAnswer || a.x.method == http.MethodHead {
		return nil
	}
	if a.resp.ContentLength < 0 && a.x.class != call.Keyed && a.result.Status < 500 {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(a.resp.Body, heldAnswer))
	if err != nil {
		return err
	}
	a.held = data
	a.whole = len(data) < heldAnswer || a.resp.ContentLength == heldAnswer
	return nil
}

func (a *attempt) request(ctx context.Context, dest conn.Destination) *http.Request {
	x := a.x
	req := &http.Request{
		Method:        x.method,
		URL:           &url.URL{Scheme: "http", Host: dest.Address, Path: x.url.Path, RawPath: x.url.RawPath, RawQuery: x.url.RawQuery},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Host:          x.host,
		Header:        make(http.Header, len(x.header)+4),
		Body:          x.body.reader(),
		ContentLength: x.body.length,
		Trailer:       x.body.trailer,
	}
	copyHeader(req.Header, x.header, ownRequestHeaders)
	if _, ok := x.header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil
	}
	req.Header.Set(HeaderRequestID, x.id)
	left := max(1, time.Until(x.deadline).Milliseconds())
	req.Header.Set(HeaderTimeout, strconv.FormatInt(left, 10))
	if x.server.cfg.Fleet.SpendLowPriority(x.service, dest.Region, proc.Cost{Bytes: float64(reportBytes)}) {
		req.Header.Set(HeaderLoadRequest, "1")
	}
	return req.WithContext(ctx)
}

// release tells the decisions how the attempt ended and frees its room.
func (a *attempt) release(ctx context.Context) {
	out := magnolialedge.AttemptResult{
		Address:  a.address,
		Duration: time.Since(a.begun),
		Outcome:  a.result.Outcome,
		Failed:   a.result.Status == 0 || a.result.Status >= 500,
	}
	if a.result.Status == 0 && ctx.Err() != nil {
		out.Cancelled = true
	}
	if a.resp != nil && a.result.Outcome == magnolialedge.OutcomeNotRun {
		out.Failed = false
		out.Shed = true
	}
	a.x.svc.Release(out, a.report())
}

func (a *attempt) report() *magnolialedge.LoadReport {
	if a.resp == nil {
		return nil
	}
	load := parseLoad(a.resp.Header.Get(HeaderLoad))
	if load != nil && load.Draining {
		a.x.server.drainSeen(a.x.service, a.address)
	}
	return load
}

// interim passes a 1xx answer on to the caller.
func (x *exchange) interim(status int, header textproto.MIMEHeader) error {
	if status == http.StatusContinue || status == http.StatusSwitchingProtocols {
		return nil
	}
	x.interimMu.Lock()
	defer x.interimMu.Unlock()
	if x.headSent || x.w == nil {
		return nil
	}
	passed := http.Header{}
	copyHeader(passed, http.Header(header), ownAnswerHeaders)
	h := x.w.Header()
	maps.Copy(h, passed)
	x.w.WriteHeader(status)
	for k := range passed {
		h.Del(k)
	}
	return nil
}

// lost records that the attempt's upstream went away with the request. Peers
// are told once the request is refused, so that requests that merely shared the
// upstream don't use up the budget.
func (a *attempt) lost() {
	s := a.x.server
	losses := s.cfg.Quarantine.RecordLoss(a.x.fingerprint)
	s.cfg.Log.Log(event.UpstreamLost, "service", a.x.service, "upstream", a.address, "requestId", a.x.id, "losses", losses)
	s.cfg.Metrics.UpstreamsLost.WithLabelValues(a.x.service).Inc()
	if _, refused := s.cfg.Quarantine.RefusedFor(a.x.fingerprint); !refused {
		return
	}
	a.result.Quarantined = true
	s.cfg.NotifyPeers(PeerUpdate{Service: a.x.service, Fingerprint: a.x.fingerprint, Losses: losses})
}

// stored returns the answer for callers that ask again with the same key, or
// nil when it is too large to keep.
func (a *attempt) stored() *proc.StoredResponse {
	if !a.whole || len(a.held) > storedAnswer {
		return nil
	}
	h := http.Header{}
	copyHeader(h, a.resp.Header, ownAnswerHeaders)
	return &proc.StoredResponse{Status: a.resp.StatusCode, Header: h, Body: bytes.Clone(a.held)}
}
