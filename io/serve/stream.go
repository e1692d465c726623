package serve

import (
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge/core/pick"
	"magnolialedge/io/event"
	"magnolialedge/io/front"
	"magnolialedge/io/link"
)

// rest passes on the part of a long answer that is still to come. The request
// counts as in flight at its upstream until then. It implements front.BodyStream.
type responseStream struct {
	*link.BodyStream
	x *exchange
	p *placement
	// took is the time until the answer began.
	duration time.Duration
	response *front.Response
}

// Close ends the request.
func (r *responseStream) Close() error {
	err := r.end()
	if err != nil {
		r.x.truncated = true
	}
	r.x.report(r.response)
	return err
}

// discard ends an attempt of which the answer isn't used.
func (r *responseStream) discard() {
	_ = r.end()
}

func (r *responseStream) end() error {
	f := r.x.f
	err := r.BodyStream.Close()
	switch {
	case err == nil:
		f.endAttempt(r.p, r.x.pickReq, r.duration, pick.AttemptSucceeded)
	case errors.Is(err, link.ErrStreamClosed):
		f.endAttempt(r.p, r.x.pickReq, r.duration, pick.AttemptCanceled)
	default:
		f.endAttempt(r.p, r.x.pickReq, r.duration, pick.AttemptFailed)
		f.cfg.Log.Log(event.UpstreamLost, "service", r.x.pickReq.Service, "upstream", r.p.ID, "requestId", r.x.id, "err", err)
	}
	f.cfg.Pool.Put(r.p.conn)
	return err
}
