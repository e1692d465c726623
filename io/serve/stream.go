package serve

import (
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
	// upstreamID is the ID of the upstream, or of the entry, that sends the response.
	upstreamID string
	// release records the end of the attempt and releases its connection.
	release  func(pick.AttemptStatus)
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
	err := s.BodyStream.Close()
	switch {
	case err == nil:
		s.release(pick.AttemptSucceeded)
	case errors.Is(err, link.ErrStreamClosed):
		s.release(pick.AttemptCanceled)
	default:
		s.release(pick.AttemptFailed)
		s.x.f.cfg.Log.Log(event.UpstreamLost, "service", s.x.pickReq.Service, "upstream", s.upstreamID, "requestId", s.x.id, "err", err)
	}
	return err
}
