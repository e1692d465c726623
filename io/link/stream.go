package link

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// maxBufferedBodyBytes is the part of a response body that is buffered before any
// of it is passed on. A response that fails within this part is detected before
// its caller has received any of it.
const maxBufferedBodyBytes = 256 << 10

// ErrStreamClosed is returned when a BodyStream is closed before its end.
var ErrStreamClosed = errors.New("response body was closed before its end")

// BodyStream is the unread remainder of a long response body. The connection is
// in use until Close.
type BodyStream struct {
	conn *Conn
	resp *http.Response
	// err is the error that ended reading; io.EOF after a complete body.
	err error
}

// newBodyStream limits reading by the request's deadline.
func newBodyStream(c *Conn, resp *http.Response) *BodyStream {
	_ = c.netConn.SetReadDeadline(c.deadline)
	return &BodyStream{conn: c, resp: resp}
}

// Read implements io.Reader. It must not be called concurrently with itself.
func (r *BodyStream) Read(b []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.resp.Body.Read(b)
	r.err = err
	return n, err
}

// Abort makes a Read in progress fail. It may be called concurrently with Read
// and Close.
func (r *BodyStream) Abort() {
	_ = r.conn.netConn.SetReadDeadline(time.Unix(1, 0))
}

// Close releases the connection. It returns nil if the body was read to its end.
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
