package serve

import (
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge/core/pick"
	"magnolialedge/io/event"
	"magnolialedge/io/front"
	"magnolialedge/io/link"
)

// responseStream passes on the remainder of a long response. Until it ends, the
// request counts as in flight at its upstream. It implements front.BodyStream.
type responseStream struct {
	*link.BodyStream
	x *exchange
	p *placement
	// duration is the time until the response began.
	duration time.Duration
	response *front.Response
}

// Close ends the request and logs it.
func (s *responseStream) Close() error {
	err := s.end()
	if err != nil {
		s.x.truncated = true
	}
	s.x.report(s.response)
	return err
}

// discard ends an attempt whose response is not used.
func (s *responseStream) discard() {
	_ = s.end()
}

func (s *responseStream) end() error {
	f := s.x.f
	err := s.BodyStream.Close()
	switch {
	case err == nil:
		f.endAttempt(s.p, s.x.pickReq, s.duration, pick.AttemptSucceeded)
	case errors.Is(err, link.ErrStreamClosed):
		f.endAttempt(s.p, s.x.pickReq, s.duration, pick.AttemptCanceled)
	default:
		f.endAttempt(s.p, s.x.pickReq, s.duration, pick.AttemptFailed)
		f.cfg.Log.Log(event.UpstreamLost, "service", s.x.pickReq.Service, "upstream", s.p.ID, "requestId", s.x.id, "err", err)
	}
	f.cfg.Pool.Put(s.p.conn)
	return err
}
