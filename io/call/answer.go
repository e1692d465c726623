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

// answerBody is an answer that the system makes itself.
type answerBody struct {
	Kind       magnolialedge.ErrorKind `json:"kind"`
	Outcome    magnolialedge.Outcome   `json:"outcome"`
	RetryAfter float64                 `json:"retryAfter"`
	Detail     string                  `json:"detail,omitempty"`
	RequestID  string                  `json:"requestId,omitempty"`
}

// retryJitter is the part of RetryAfter by which answers are spread.
const retryJitter = 0.5

// refusal is an answer of the system before it is written.
type refusal struct {
	kind       magnolialedge.ErrorKind
	outcome    magnolialedge.Outcome
	detail     string
	retryAfter time.Duration
}

func refusalOf(err error) refusal {
	kind := magnolialedge.KindOf(err)
	a := magnolialedge.ErrorResponseFor(kind)
	return refusal{kind: kind, outcome: a.Outcome, detail: err.Error(), retryAfter: a.RetryAfter}
}

func newRefusal(kind magnolialedge.ErrorKind, outcome magnolialedge.Outcome, detail string) refusal {
	return refusal{kind: kind, outcome: outcome, detail: detail, retryAfter: magnolialedge.ErrorResponseFor(kind).RetryAfter}
}

func (f refusal) write(w http.ResponseWriter, id string) {
	retry := f.retryAfter.Seconds() * (1 + retryJitter*rand.Float64())
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderKind, string(f.kind))
	h.Set(HeaderOutcome, string(f.outcome))
	if retry > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(retry))))
	}
	body, err := json.Marshal(answerBody{
		Kind:       f.kind,
		Outcome:    f.outcome,
		RetryAfter: math.Ceil(retry),
		Detail:     f.detail,
		RequestID:  id,
	})
	if err != nil {
		body = []byte("{}")
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(magnolialedge.ErrorResponseFor(f.kind).Status)
	_, _ = w.Write(body)
}
