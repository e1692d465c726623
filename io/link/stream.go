package link

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// heldAnswer is the greatest part of an answer's body that is held before it is
// passed on, in bytes. Up to there a broken answer is seen before its caller has
// got any of it.
const maxBufferedBodyBytes = 256 << 10

// ErrStreamClosed tells that a BodyStream was closed before its end.
var ErrStreamClosed = errors.New("the rest of the answer was closed")

// BodyStream is the part of a long answer's body that is still to come. The connection
// is in use until Close.
type BodyStream struct {
	conn *Conn
	resp *http.Response
	// err is what ended the reading.
	err error
}

// newRest bounds the rest by the request's deadline.
func newBodyStream(c *Conn, resp *http.Response) *BodyStream {
	_ = c.netConn.SetReadDeadline(c.deadline)
	return &BodyStream{conn: c, resp: resp}
}

// Read implements io.Reader. It may be called by one goroutine only.
func (r *BodyStream) Read(b []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.resp.Body.Read(b)
	r.err = err
	return n, err
}

// Abort makes a Read in progress fail. It may be called beside Read and Close.
func (r *BodyStream) Abort() {
	_ = r.conn.netConn.SetReadDeadline(time.Unix(1, 0))
}

// Close ends the use of the connection. It returns nil if the body has been read
// to its end.
func (r *BodyStream) Close() error {
	if errors.Is(r.err, io.EOF) {
		r.conn.responseEnded(r.resp)
		_ = r.conn.netConn.SetReadDeadline(time.Time{})
		return nil
	}
	if r.err == nil {
		r.err = ErrStreamClosed
	}
	r.conn.broken = true
	return r.err
}
