package conn

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// errMalformedTrailer means that a field behind a chunked body has no valid name.
var errMalformedTrailer = errors.New("malformed trailer")

// CheckTrailer makes the reading of a response from c fail at its end if the trailer is malformed. The
// connection is then closed.
func (c *CheckedConn) CheckTrailer(resp *http.Response) {
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &checkedBody{ReadCloser: resp.Body, resp: resp, conn: c}
	}
}

// checkedBody is a chunked body.
type checkedBody struct {
	io.ReadCloser
	resp *http.Response
	conn *CheckedConn
}

// Read implements io.Reader. net/http has read the trailer when it returns io.EOF.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	for name, values := range b.resp.Trailer {
		// Names without values were only announced.
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			_ = b.conn.Close()
			return n, errors.Wrapf(errMalformedTrailer, "name %.40q", name)
		}
	}
	return n, err
}
