package call

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"magnolialedge"
	"magnolialedge/core/proc"
)

// maxStoredResponseBytes is the largest response body that is stored for callers
// that resend the same key.
const maxStoredResponseBytes = 16 << 10

// relayIdleTimeout is how long a streamed body may make no progress. The request's
// deadline applies only until the response header has arrived.
const relayIdleTimeout = 30 * time.Second

// copyBufferBytes is the size of the buffer for streamed bodies.
const copyBufferBytes = 32 << 10

// relay writes an upstream's response to the caller. If the body is interrupted, it
// aborts the caller's connection, so that a truncated body is not taken for a
// complete one.
func (x *exchange) relay(w http.ResponseWriter, a *attempt) {
	defer a.discard()
	h := w.Header()
	copyHeaders(h, a.resp.Header, entryResponseHeaders)
	h.Set(HeaderOutcome, string(a.result.Outcome))
	if a.isComplete {
		x.relayBuffered(w, a)
		return
	}
	announceTrailers(h, a.resp.Trailer)
	w.WriteHeader(a.resp.StatusCode)
	if _, err := w.Write(a.buffered); err != nil {
		return
	}
	idleTimer := time.AfterFunc(relayIdleTimeout, a.cancel)
	defer idleTimer.Stop()
	if !copyAndFlush(w, a.resp.Body, func() { idleTimer.Reset(relayIdleTimeout) }) {
		panic(http.ErrAbortHandler)
	}
	copyTrailers(h, a.resp.Trailer)
}

func (x *exchange) relayBuffered(w http.ResponseWriter, a *attempt) {
	h := w.Header()
	if len(a.resp.Trailer) > 0 {
		announceTrailers(h, a.resp.Trailer)
		h.Del("Content-Length")
	} else if allowsBody(a.resp.StatusCode) {
		h.Set("Content-Length", strconv.Itoa(len(a.buffered)))
	}
	w.WriteHeader(a.resp.StatusCode)
	_, _ = w.Write(a.buffered)
	copyTrailers(h, a.resp.Trailer)
}

func allowsBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

func announceTrailers(h, trailer http.Header) {
	for k := range trailer {
		h.Add("Trailer", k)
	}
}

func copyTrailers(h, trailer http.Header) {
	for k, vs := range trailer {
		h[k] = vs
	}
}

// copyAndFlush copies a body to the caller as it arrives and calls onProgress after
// each chunk. It reports whether the body was copied to its end.
func copyAndFlush(w http.ResponseWriter, body io.Reader, onProgress func()) bool {
	c := http.NewResponseController(w)
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return false
			}
			_ = c.Flush()
			onProgress()
		}
		if err == io.EOF {
			return true
		}
		if err != nil {
			return false
		}
	}
}

// replay writes the stored response of an earlier request with the same key, or an
// error response if none was stored.
func replay(w http.ResponseWriter, requestID string, outcome magnolialedge.Outcome, stored *proc.StoredResponse) {
	if stored == nil && outcome == magnolialedge.OutcomeRan {
		newErrorResponse(magnolialedge.KindAnswerTooLarge, outcome, "the request was run; its answer was too large to keep").write(w, requestID)
		return
	}
	if stored == nil {
		newErrorResponse(magnolialedge.KindEarlierUnknown, outcome, "an earlier attempt with this key ended without an answer").write(w, requestID)
		return
	}
	h := w.Header()
	copyHeaders(h, stored.Header, entryResponseHeaders)
	h.Set(HeaderOutcome, string(outcome))
	if allowsBody(stored.Status) {
		h.Set("Content-Length", strconv.Itoa(len(stored.Body)))
	}
	w.WriteHeader(stored.Status)
	_, _ = w.Write(stored.Body)
}
