package call

import (
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"magnolialedge"
)

// Headers between callers, entries and upstreams.
const (
	// HeaderService names the service when the path doesn't.
	HeaderService = "Request-Service"
	// HeaderTimeout is the remaining time in milliseconds, in both directions.
	HeaderTimeout = "Request-Timeout-Ms"
	// HeaderRequestID is the request's id, chosen by the caller or the entry.
	HeaderRequestID = "Request-Id"
	// HeaderIdempotencyKey carries the idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttempt is "first" on a caller's first attempt.
	HeaderAttempt = "Request-Attempt"
	// HeaderTriedEntries names the addresses of the entries that a caller tried before.
	HeaderTriedEntries = "Request-Tried"
	// HeaderEntry is the address of the entry that answered.
	HeaderEntry = "Request-Entry"
	// HeaderOutcome tells whether the request was run.
	HeaderOutcome = "Request-Outcome"
	// HeaderKind tells why the system itself answered.
	HeaderKind = "Request-Kind"
	// HeaderLoadRequest asks an upstream to report its load.
	HeaderLoadRequest = "Load-Report"
	// HeaderLoad is an upstream's report: "inFlight=2 queued=0 draining".
	HeaderLoad = "Upstream-Load"
)

// reportBytes is what asking for a report and the report add to a request.
const reportBytes = len(HeaderLoadRequest) + len(": 1\r\n") + len(HeaderLoad) + len(": inFlight=00 queued=00 draining\r\n")

var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownRequestHeaders are meant for the entry and aren't passed on.
var ownRequestHeaders = []string{HeaderService, HeaderAttempt, HeaderTriedEntries, HeaderLoadRequest, HeaderTimeout, "Expect"}

// ownAnswerHeaders are set by the entry itself.
var ownAnswerHeaders = []string{HeaderLoad, HeaderOutcome, HeaderKind, HeaderEntry, HeaderRequestID}

// copyHeader copies what an intermediary passes on.
func copyHeader(to, from http.Header, except []string) {
	named := connectionOptions(from)
	for k, vs := range from {
		if slices.Contains(hopByHop, k) || slices.Contains(except, k) || slices.Contains(named, k) {
			continue
		}
		to[k] = append(to[k], vs...)
	}
}

// connectionOptions returns the headers that Connection names as hop by hop.
func connectionOptions(h http.Header) []string {
	var out []string
	for _, v := range h["Connection"] {
		for f := range strings.SplitSeq(v, ",") {
			out = append(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(f)))
		}
	}
	return out
}

// timeoutOf reads a caller's timeout; a missing one is the service's.
func timeoutOf(h http.Header, service time.Duration) (time.Duration, error) {
	text := h.Get(HeaderTimeout)
	if text == "" {
		return service, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, magnolialedge.NewError(magnolialedge.KindBadRequest, HeaderTimeout+" must be a whole number of milliseconds above 0")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// parseLoad reads an upstream's report; anything odd counts as no report.
func parseLoad(text string) *magnolialedge.LoadReport {
	if text == "" || len(text) > 100 {
		return nil
	}
	var out magnolialedge.LoadReport
	for f := range strings.FieldsSeq(text) {
		name, value, _ := strings.Cut(f, "=")
		n, err := strconv.ParseUint(value, 10, 16)
		switch {
		case name == "draining" && value == "":
			out.Draining = true
		case err != nil:
			return nil
		case name == "inFlight":
			out.InFlight = int(n)
		case name == "queued":
			out.Queued = int(n)
		}
	}
	return &out
}
