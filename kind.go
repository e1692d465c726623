package magnolialedge

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrorKind classifies the responses that the load balancer generates itself.
type ErrorKind string

// All error kinds. Each has an entry in errorResponses.
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
	KindRoutesOutdated   ErrorKind = "routesOutdated"
	KindRequestTimeout   ErrorKind = "requestTimeout"
	KindBodyTooLarge     ErrorKind = "bodyTooLarge"
	KindHeaderTooLarge   ErrorKind = "headerTooLarge"
	KindBadAnswer        ErrorKind = "badAnswer"
	KindLeaving          ErrorKind = "leaving"
	KindUnauthorized     ErrorKind = "unauthorized"
	KindOverQuota        ErrorKind = "overQuota"
	KindNoAllowedRegion  ErrorKind = "noAllowedRegion"
)

// ErrorResponse holds the status, outcome and retry time that are sent for an
// error kind.
type ErrorResponse struct {
	// Status is the HTTP status code.
	Status int
	// Outcome applies unless the request's own outcome is known.
	Outcome Outcome
	// RetryAfter is the minimum time before a retry; zero means that the same
	// request cannot succeed later.
	RetryAfter time.Duration
}

var errorResponses = map[ErrorKind]ErrorResponse{
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
	KindRoutesOutdated:   {http.StatusServiceUnavailable, OutcomeNotRun, time.Second},
	KindRequestTimeout:   {http.StatusRequestTimeout, OutcomeNotRun, 0},
	KindBodyTooLarge:     {http.StatusRequestEntityTooLarge, OutcomeNotRun, 0},
	KindHeaderTooLarge:   {http.StatusRequestHeaderFieldsTooLarge, OutcomeNotRun, 0},
	KindBadAnswer:        {http.StatusBadGateway, OutcomeUnknown, time.Second},
	KindLeaving:          {http.StatusServiceUnavailable, OutcomeNotRun, 10 * time.Millisecond},
	KindUnauthorized:     {http.StatusUnauthorized, OutcomeNotRun, 0},
	KindOverQuota:        {http.StatusTooManyRequests, OutcomeNotRun, time.Second},
	KindNoAllowedRegion:  {http.StatusServiceUnavailable, OutcomeNotRun, time.Second},
}

// ErrorKinds returns all error kinds, in no particular order.
func ErrorKinds() []ErrorKind {
	kinds := make([]ErrorKind, 0, len(errorResponses))
	for k := range errorResponses {
		kinds = append(kinds, k)
	}
	return kinds
}

// ErrorResponseFor returns the response for kind, or that for KindInternal if
// kind is not listed.
func ErrorResponseFor(kind ErrorKind) ErrorResponse {
	if r, ok := errorResponses[kind]; ok {
		return r
	}
	return errorResponses[KindInternal]
}

// Error is an error of one of the kinds above. Outcome is the request outcome
// that is reported with it.
type Error struct {
	Kind    ErrorKind
	Outcome Outcome
	Detail  string
}

// Error returns the kind and the detail.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Detail
}

// NewError returns an Error with the default outcome of its kind.
func NewError(kind ErrorKind, detail string) *Error {
	return &Error{Kind: kind, Outcome: ErrorResponseFor(kind).Outcome, Detail: detail}
}

// WithOutcome returns a copy of e with the given outcome.
func (e Error) WithOutcome(outcome Outcome) *Error {
	e.Outcome = outcome
	return &e
}

// KindOf returns the kind of err, or KindInternal if err wraps no Error.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindInternal
}
