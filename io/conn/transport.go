package conn

import (
	"cmp"
	"net/http"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"
)

// errUnexpectedResponse means that bytes arrived before the request to which they seem to respond.
var errUnexpectedResponse = errors.New("the response began before its request")

// Transport is an http.Transport that rejects responses with a head that is malformed or too large, or
// a malformed trailer. Its connections must be CheckedConns, or embed one.
type Transport struct {
	*http.Transport
}

// checkedConn is implemented by connections that embed a CheckedConn.
type checkedConn interface {
	checked() *CheckedConn
}

func (c *CheckedConn) checked() *CheckedConn { return c }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var c *CheckedConn
	hooks := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c = info.Conn.(checkedConn).checked()
		_ = c.ExpectResponse(nil)
	}}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), hooks)))
	switch {
	case err != nil && c != nil:
		return nil, cmp.Or(c.HeadErr(), err)
	case err != nil:
		return nil, err
	case !c.hasHead():
		_ = resp.Body.Close()
		_ = c.Close()
		return nil, errUnexpectedResponse
	}
	c.CheckTrailer(resp)
	return resp, nil
}
