package call

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"magnolialedge"
)

// bufferedBody is the greatest body, in bytes, that is kept to be sent again.
const bufferedBody = 64 << 10

// body is the body of a caller's request.
type body struct {
	// data is the body, or its beginning when rest isn't nil.
	data   []byte
	rest   io.Reader
	length int64
	used   atomic.Bool
	// trailer is filled in once the rest has been read.
	trailer http.Header
}

// readBody reads a body that fits the buffer, and the beginning of one that
// doesn't.
func readBody(r *http.Request) (*body, error) {
	b := &body{length: r.ContentLength, trailer: r.Trailer}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return b, nil
	}
	if r.ContentLength > bufferedBody {
		b.rest = r.Body
		return b, nil
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, bufferedBody+1))
	if err != nil {
		return nil, magnolialedge.NewError(magnolialedge.KindBodyInterrupted, "the request's body ended early").WithOutcome(magnolialedge.OutcomeNotRun)
	}
	b.data = data
	if len(data) > bufferedBody {
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

// reader returns a reader of the body for one attempt.
func (b *body) reader() io.ReadCloser {
	if b.rest == nil && len(b.data) == 0 {
		return http.NoBody
	}
	if b.rest == nil {
		return io.NopCloser(bytes.NewReader(b.data))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.data), &usedReader{b: b}))
}

// usedReader notes that a body that can't be sent again has been read.
type usedReader struct {
	b *body
}

func (u *usedReader) Read(p []byte) (int, error) {
	u.b.used.Store(true)
	return u.b.rest.Read(p)
}

// fingerprint identifies a request by method, path, query and what is held of
// its body. Zero stands for no fingerprint and is never returned.
func fingerprint(service string, r *http.Request, path string, b *body) uint64 {
	d := xxhash.New()
	for _, s := range []string{service, r.Method, path, r.URL.RawQuery} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(b.data)
	if b.rest != nil {
		_, _ = d.Write([]byte{byte(b.length >> 16), byte(b.length >> 8), byte(b.length), 1})
	}
	return max(1, d.Sum64())
}
