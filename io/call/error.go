package call

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"magnolialedge"
)

// errorBody is the JSON body of a response that the entry generates itself.
type errorBody struct {
	Kind       magnolialedge.ErrorKind `json:"kind"`
	Outcome    magnolialedge.Outcome   `json:"outcome"`
	RetryAfter float64                 `json:"retryAfter"`
	Detail     string                  `json:"detail,omitempty"`
	RequestID  string                  `json:"requestId,omitempty"`
}

// retryJitter is the largest fraction that is added at random to RetryAfter, so
// that callers do not retry all at once.
const retryJitter = 0.5

// errorResponse is a response that the entry generates instead of an upstream.
type errorResponse struct {
	kind       magnolialedge.ErrorKind
	outcome    magnolialedge.Outcome
	detail     string
	retryAfter time.Duration
}

// errorResponseFor returns the response for err, with the outcome and retry delay
// of its kind.
func errorResponseFor(err error) errorResponse {
	kind := magnolialedge.KindOf(err)
	resp := magnolialedge.ErrorResponseFor(kind)
	return errorResponse{kind: kind, outcome: resp.Outcome, detail: err.Error(), retryAfter: resp.RetryAfter}
}

func newErrorResponse(kind magnolialedge.ErrorKind, outcome magnolialedge.Outcome, detail string) errorResponse {
	return errorResponse{kind: kind, outcome: outcome, detail: detail, retryAfter: magnolialedge.ErrorResponseFor(kind).RetryAfter}
}

func (r errorResponse) write(w http.ResponseWriter, requestID string) {
	retrySeconds := r.retryAfter.Seconds() * (1 + retryJitter*rand.Float64())
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderKind, string(r.kind))
	h.Set(HeaderOutcome, string(r.outcome))
	if retrySeconds > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(retrySeconds))))
	}
	body, err := json.Marshal(errorBody{
		Kind:       r.kind,
		Outcome:    r.outcome,
		RetryAfter: math.Ceil(retrySeconds),
		Detail:     r.detail,
		RequestID:  requestID,
	})
	if err != nil {
		body = []byte("{}")
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(magnolialedge.ErrorResponseFor(r.kind).Status)
	_, _ = w.Write(body)
}
