// Package limit bounds the number of bytes that a message header may occupy, and those that a
// process holds on behalf of requests.
package limit

import "io"

// Reader reads from another reader and fails with a given error once a limit is
// exceeded. It is not safe for concurrent use.
type Reader struct {
	r        io.Reader
	exceeded error
	// remainingBytes is negative while there is no limit.
	remainingBytes int64
}

// NewReader returns a Reader without a limit. Reads beyond a later limit return
// exceeded.
func NewReader(r io.Reader, exceeded error) *Reader {
	return &Reader{r: r, exceeded: exceeded, remainingBytes: -1}
}

// SetLimit sets the number of bytes that may still be read.
func (l *Reader) SetLimit(n int64) { l.remainingBytes = n }

// ClearLimit removes the limit.
func (l *Reader) ClearLimit() { l.remainingBytes = -1 }

// Read implements io.Reader.
func (l *Reader) Read(b []byte) (int, error) {
	if l.remainingBytes < 0 {
		return l.r.Read(b)
	}
	if l.remainingBytes == 0 {
		return 0, l.exceeded
	}
	if int64(len(b)) > l.remainingBytes {
		b = b[:l.remainingBytes]
	}
	n, err := l.r.Read(b)
	l.remainingBytes -= int64(n)
	return n, err
}
