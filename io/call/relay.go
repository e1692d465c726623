package call

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"magnolialedge"
	"magnolialedge/core/proc"
)

// storedAnswer is the greatest answer, in bytes, that is kept for callers that
// ask again with the same key.
const storedAnswer = 16 << 10

// relayQuiet is how long a streamed answer may make no progress. The deadline
// holds until its head has come.
const relayQuiet = 30 * time.Second

// copyBytes is the size of the buffer through which long answers pass.
const copyBytes = 32 << 10

// relay writes an upstream's answer to the caller. A body that breaks off ends
// the caller's connection, so that a part is never taken for the whole.
func (x *exchange) relay(w http.ResponseWriter, a *attempt) {
	defer a.discard()
	h := w.Header()
	copyHeader(h, a.resp.Header, ownAnswerHeaders)
	h.Set(HeaderOutcome, string(a.result.Outcome))
	if a.whole {
		x.relayWhole(w, a)
		return
	}
	announceTrailers(h, a.resp.Trailer)
	w.WriteHeader(a.resp.StatusCode)
	if _, err := w.Write(a.held); err != nil {
		return
	}
	quiet := time.AfterFunc(relayQuiet, a.cancel)
	defer quiet.Stop()
	if !copyFlushed(w, a.resp.Body, func() { quiet.Reset(relayQuiet) }) {
		panic(http.ErrAbortHandler)
	}
	copyTrailers(h, a.resp.Trailer)
}

func (x *exchange) relayWhole(w http.ResponseWriter, a *attempt) {
	h := w.Header()
	if len(a.resp.Trailer) > 0 {
		announceTrailers(h, a.resp.Trailer)
		h.Del("Content-Length")
	} else if bodyAllowed(a.resp.StatusCode) {
		h.Set("Content-Length", strconv.Itoa(len(a.held)))
	}
	w.WriteHeader(a.resp.StatusCode)
	_, _ = w.Write(a.held)
	copyTrailers(h, a.resp.Trailer)
}

func bodyAllowed(status int) bool {
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

// copyFlushed copies a body to the caller as it comes, calls progress after each
// part, and reports whether the body was whole.
func copyFlushed(w http.ResponseWriter, body io.Reader, progress func()) bool {
	c := http.NewResponseController(w)
	buf := make([]byte, copyBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return false
			}
			_ = c.Flush()
			progress()
		}
		if err == io.EOF {
			return true
		}
		if err != nil {
			return false
		}
	}
}

// replay writes the stored answer of a key that has been run.
func replay(w http.ResponseWriter, id string, outcome magnolialedge.Outcome, answer *proc.StoredResponse) {
	if answer == nil && outcome == magnolialedge.OutcomeRan {
		newRefusal(magnolialedge.KindAnswerTooLarge, outcome, "the request was run; its answer was too large to keep").write(w, id)
		return
	}
	if answer == nil {
		newRefusal(magnolialedge.KindEarlierUnknown, outcome, "an earlier attempt with this key ended without an answer").write(w, id)
		return
	}
	h := w.Header()
	copyHeader(h, answer.Header, ownAnswerHeaders)
	h.Set(HeaderOutcome, string(outcome))
	if bodyAllowed(answer.Status) {
		h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
