package magnolialedge

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrorKind names one reason for an answer that the system makes itself.
type ErrorKind string

// The closed list of error kinds. Each has one row in the answer table.
const (
	KindBadRequest       ErrorKind = "badRequest"
	KindUnknownService   ErrorKind = "unknownService"
	KindKeyMissing       ErrorKind = "keyMissing"
	KindKeyMalformed     ErrorKind = "keyMalformed"
	KindKeyFromFuture    ErrorKind = "keyFromFuture"
	KindKeyExpired       ErrorKind = "keyExpired"
	KindKeyReused        ErrorKind = "keyReused"
	KindKeyTableFull     ErrorKind = "keyTableFull"
	KindAttemptMissing   ErrorKind = "attemptMissing"
	KindSuperseded       ErrorKind = "superseded"
	KindEarlierUnknown   ErrorKind = "earlierUnknown"
	KindAnswerTooLarge   ErrorKind = "answerTooLarge"
	KindQuarantined      ErrorKind = "quarantined"
	KindOverloaded       ErrorKind = "overloaded"
	KindNoUpstream       ErrorKind = "noUpstream"
	KindDeadlineExceeded ErrorKind = "deadlineExceeded"
	KindUpstreamLost     ErrorKind = "upstreamLost"
	KindBodyInterrupted  ErrorKind = "bodyInterrupted"
	KindStoreUnavailable ErrorKind = "storeUnavailable"
	KindNotReady         ErrorKind = "notReady"
	KindForbidden        ErrorKind = "forbidden"
	KindConflict         ErrorKind = "conflict"
	KindInvalidDocument  ErrorKind = "invalidDocument"
	KindPending          ErrorKind = "pending"
	KindInternal         ErrorKind = "internal"
	KindNoRoute          ErrorKind = "noRoute"
	KindRequestTimeout   ErrorKind = "requestTimeout"
	KindBodyTooLarge     ErrorKind = "bodyTooLarge"
	KindHeaderTooLarge   ErrorKind = "headerTooLarge"
	KindBadAnswer        ErrorKind = "badAnswer"
	KindLeaving          ErrorKind = "leaving"
)

// ErrorResponse is the row of the answer table for one kind.
type ErrorResponse struct {
	// Status is the HTTP status code.
	Status int
	// Outcome is the outcome when the request itself gives no other.
	Outcome Outcome
	// RetryAfter is the least time after which asking again makes sense; zero
	// means that the same request can't succeed later.
	RetryAfter time.Duration
}

var answers = map[ErrorKind]ErrorResponse{
	KindBadRequest:       {http.StatusBadRequest, OutcomeNotRun, 0},
	KindUnknownService:   {http.StatusNotFound, OutcomeNotRun, 0},
	KindKeyMissing:       {http.StatusBadRequest, OutcomeNotRun, 0},
	KindKeyMalformed:     {http.StatusBadRequest, OutcomeNotRun, 0},
	KindKeyFromFuture:    {http.StatusBadRequest, OutcomeNotRun, 0},
	KindKeyExpired:       {http.StatusConflict, OutcomeUnknown, 0},
	KindKeyReused:        {http.StatusUnprocessableEntity, OutcomeNotRun, 0},
	KindKeyTableFull:     {http.StatusServiceUnavailable, OutcomeNotRun, 5 * time.Second},
	KindAttemptMissing:   {http.StatusBadRequest, OutcomeNotRun, 0},
	KindSuperseded:       {http.StatusConflict, OutcomeUnknown, time.Second},
	KindEarlierUnknown:   {http.StatusConflict, OutcomeUnknown, 2 * time.Second},
	KindAnswerTooLarge:   {http.StatusConflict, OutcomeRan, 0},
	KindQuarantined:      {http.StatusServiceUnavailable, OutcomeNotRun, 30 * time.Second},
	KindOverloaded:       {http.StatusServiceUnavailable, OutcomeNotRun, time.Second},
	KindNoUpstream:       {http.StatusServiceUnavailable, OutcomeNotRun, time.Second},
	KindDeadlineExceeded: {http.StatusGatewayTimeout, OutcomeUnknown, time.Second},
	KindUpstreamLost:     {http.StatusBadGateway, OutcomeUnknown, time.Second},
	KindBodyInterrupted:  {http.StatusBadRequest, OutcomeUnknown, 0},
	KindStoreUnavailable: {http.StatusServiceUnavailable, OutcomeNotRun, 2 * time.Second},
	KindNotReady:         {http.StatusServiceUnavailable, OutcomeNotRun, time.Second},
	KindForbidden:        {http.StatusForbidden, OutcomeNotRun, 0},
	KindConflict:         {http.StatusConflict, OutcomeNotRun, 0},
	KindInvalidDocument:  {http.StatusUnprocessableEntity, OutcomeNotRun, 0},
	KindPending:          {http.StatusAccepted, OutcomeUnknown, 2 * time.Second},
	KindInternal:         {http.StatusInternalServerError, OutcomeUnknown, time.Second},
	KindNoRoute:          {http.StatusNotFound, OutcomeNotRun, 0},
	KindRequestTimeout:   {http.StatusRequestTimeout, OutcomeNotRun, 0},
	KindBodyTooLarge:     {http.StatusRequestEntityTooLarge, OutcomeNotRun, 0},
	KindHeaderTooLarge:   {http.StatusRequestHeaderFieldsTooLarge, OutcomeNotRun, 0},
	KindBadAnswer:        {http.StatusBadGateway, OutcomeUnknown, time.Second},
	KindLeaving:          {http.StatusServiceUnavailable, OutcomeNotRun, 100 * time.Millisecond},
}

// ErrorKinds returns every kind of the closed list, in no order.
func ErrorKinds() []ErrorKind {
	kinds := make([]ErrorKind, 0, len(answers))
	for k := range answers {
		kinds = append(kinds, k)
	}
	return kinds
}

// ErrorResponseFor returns the answer of kind; an unlisted kind answers as KindInternal.
func ErrorResponseFor(kind ErrorKind) ErrorResponse {
	if a, ok := answers[kind]; ok {
		return a
	}
	return answers[KindInternal]
}

// Error is a failure of a listed kind.
type Error struct {
	Kind    ErrorKind
	Outcome Outcome
	Detail  string
}

// Error returns the kind and the detail.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Detail
}

// NewError returns an Error of kind with the outcome of the answer table.
func NewError(kind ErrorKind, detail string) *Error {
	return &Error{Kind: kind, Outcome: ErrorResponseFor(kind).Outcome, Detail: detail}
}

// WithOutcome returns a copy of e that carries outcome.
func (e Error) WithOutcome(outcome Outcome) *Error {
	e.Outcome = outcome
	return &e
}

// KindOf returns the kind of err, or KindInternal when err is of no listed kind.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindInternal
}
