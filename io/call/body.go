package call

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"magnolialedge"
)

// maxBufferedBodyBytes is the largest request body that is buffered so that it can
// be sent again.
const maxBufferedBodyBytes = 64 << 10

// body is the body of a caller's request.
type body struct {
	// data is the body, or its beginning if rest is not nil.
	data []byte
	rest io.Reader
	// length is the length in bytes, or -1 if it is unknown.
	length int64
	// restRead is true once rest has been read, after which the body cannot be sent
	// again.
	restRead atomic.Bool
	// trailer is filled in once rest has been read to its end.
	trailer http.Header
}

// readBody buffers a body of up to maxBufferedBodyBytes. A longer body is left to
// be streamed from rest; if its length was not declared, its beginning is in data.
func readBody(r *http.Request) (*body, error) {
	b := &body{length: r.ContentLength, trailer: r.Trailer}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return b, nil
	}
	if r.ContentLength > maxBufferedBodyBytes {
		b.rest = r.Body
		return b, nil
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBodyBytes+1))
	if err != nil {
		return nil, magnolialedge.NewError(magnolialedge.KindBodyInterrupted, "the request's body ended early").WithOutcome(magnolialedge.OutcomeNotRun)
	}
	b.data = data
	if len(data) > maxBufferedBodyBytes {
		b.rest = r.Body
		return b, nil
	}
	if len(r.Trailer) == 0 {
		b.length = int64(len(data))
	}
	return b, nil
}

// replayable reports whether the body can be sent more than once.
func (b *body) replayable() bool {
	return b.rest == nil
}

// newReader returns a reader of the body for one attempt.
func (b *body) newReader() io.ReadCloser {
	if b.rest == nil && len(b.data) == 0 {
		return http.NoBody
	}
	if b.rest == nil {
		return io.NopCloser(bytes.NewReader(b.data))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.data), &restReader{b: b}))
}

// restReader reads the part of a body that is not buffered, and sets restRead.
type restReader struct {
	b *body
}

func (r *restReader) Read(p []byte) (int, error) {
	r.b.restRead.Store(true)
	return r.b.rest.Read(p)
}

// fingerprint returns a hash of a request's service, method, path, query and
// buffered body, and of the body's length if it is streamed. It never returns 0,
// which means no fingerprint.
func fingerprint(service string, r *http.Request, path string, b *body) uint64 {
	h := xxhash.New()
	for _, s := range []string{service, r.Method, path, r.URL.RawQuery} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(b.data)
	if b.rest != nil {
		_, _ = h.Write([]byte{byte(b.length >> 16), byte(b.length >> 8), byte(b.length), 1})
	}
	return max(1, h.Sum64())
}
