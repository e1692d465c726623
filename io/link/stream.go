package link

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// maxBufferedBodyBytes is the part of a response body that is buffered, if there is memory for
// it, before any of it is passed on. A response that fails within this part is detected before
// its caller has received any of it.
const maxBufferedBodyBytes = 256 << 10

// ErrStreamClosed is returned when a BodyStream is closed before its end.
var ErrStreamClosed = errors.New("response body was closed before its end")

// BodyStream is the unread remainder of a long response body. The connection is
// in use until Close.
type BodyStream struct {
	conn *Conn
	resp *http.Response
	// err is the first error of a Read; it is io.EOF after a complete body.
	err error
}

// newBodyStream returns a BodyStream whose reads fail after the request's deadline.
func newBodyStream(c *Conn, resp *http.Response) *BodyStream {
	_ = c.netConn.SetReadDeadline(c.deadline)
	return &BodyStream{conn: c, resp: resp}
}

// Read implements io.Reader. It must not be called concurrently with itself.
func (s *BodyStream) Read(b []byte) (int, error) {
	if s.err != nil {
		return 0, s.err
	}
	n, err := s.resp.Body.Read(b)
	s.err = err
	return n, err
}

// Abort makes a Read in progress fail. It may be called concurrently with Read
// and Close.
func (s *BodyStream) Abort() {
	_ = s.conn.netConn.SetReadDeadline(time.Unix(1, 0))
}

// Close ends the use of the connection. It returns nil if the body was read to its
// end, and otherwise the error of the failed Read or ErrStreamClosed.
func (s *BodyStream) Close() error {
	if errors.Is(s.err, io.EOF) {
		s.conn.responseEnded(s.resp)
		_ = s.conn.netConn.SetReadDeadline(time.Time{})
		return nil
	}
	if s.err == nil {
		s.err = ErrStreamClosed
	}
	s.conn.broken = true
	return s.err
}
