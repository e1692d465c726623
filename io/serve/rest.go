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
type rest struct {
	*link.BodyStream
	x *exchange
	p *placement
	// took is the time until the answer began.
	took   time.Duration
	answer *front.Response
}

// Close ends the request.
func (r *rest) Close() error {
	err := r.end()
	if err != nil {
		r.x.cut = true
	}
	r.x.report(r.answer)
	return err
}

// discard ends an attempt of which the answer isn't used.
func (r *rest) discard() {
	_ = r.end()
}

func (r *rest) end() error {
	f := r.x.f
	err := r.BodyStream.Close()
	switch {
	case err == nil:
		f.end(r.p, r.x.need, r.took, pick.AttemptSucceeded)
	case errors.Is(err, link.ErrStreamClosed):
		f.end(r.p, r.x.need, r.took, pick.AttemptCanceled)
	default:
		f.end(r.p, r.x.need, r.took, pick.AttemptFailed)
		f.cfg.Log.Log(event.UpstreamLost, "service", r.x.need.Service, "upstream", r.p.ID, "requestId", r.x.id, "err", err)
	}
	f.cfg.Pool.Put(r.p.conn)
	return err
}
