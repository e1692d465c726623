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

// Header names used between callers, entries and upstreams.
const (
	// HeaderService names the service if the path does not.
	HeaderService = "Request-Service"
	// HeaderTimeout is the remaining time in milliseconds, from a caller and to an
	// upstream.
	HeaderTimeout = "Request-Timeout-Ms"
	// HeaderRequestID is the request id, chosen by the caller or the entry.
	HeaderRequestID = "Request-Id"
	// HeaderIdempotencyKey carries the idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttempt is "first" on a caller's first attempt.
	HeaderAttempt = "Request-Attempt"
	// HeaderTriedEntries lists the addresses of the entries that the caller tried
	// before.
	HeaderTriedEntries = "Request-Tried"
	// HeaderEntry is the caller address of the entry that responded.
	HeaderEntry = "Request-Entry"
	// HeaderOutcome is the outcome: whether the request was run.
	HeaderOutcome = "Request-Outcome"
	// HeaderKind is the error kind of a response that the entry generated itself.
	HeaderKind = "Request-Kind"
	// HeaderLoadRequest asks an upstream to report its load.
	HeaderLoadRequest = "Load-Report"
	// HeaderLoad is an upstream's load report: "inFlight=2 queued=0 draining".
	HeaderLoad = "Upstream-Load"
)

// loadReportBytes is the number of bytes that a load report and the request for it
// add to an attempt.
const loadReportBytes = len(HeaderLoadRequest) + len(": 1\r\n") + len(HeaderLoad) + len(": inFlight=00 queued=00 draining\r\n")

var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// entryRequestHeaders are addressed to the entry and are not forwarded.
var entryRequestHeaders = []string{HeaderService, HeaderAttempt, HeaderTriedEntries, HeaderLoadRequest, HeaderTimeout, "Expect"}

// entryResponseHeaders are set by the entry and are not copied from an upstream.
var entryResponseHeaders = []string{HeaderLoad, HeaderOutcome, HeaderKind, HeaderEntry, HeaderRequestID}

// copyHeaders copies the headers that a proxy forwards: all but the hop-by-hop
// headers, those that Connection names, and except.
func copyHeaders(to, from http.Header, except []string) {
	options := connectionOptions(from)
	for k, vs := range from {
		if slices.Contains(hopByHopHeaders, k) || slices.Contains(except, k) || slices.Contains(options, k) {
			continue
		}
		to[k] = append(to[k], vs...)
	}
}

// connectionOptions returns the headers that Connection names as hop-by-hop.
func connectionOptions(h http.Header) []string {
	var out []string
	for _, v := range h["Connection"] {
		for f := range strings.SplitSeq(v, ",") {
			out = append(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(f)))
		}
	}
	return out
}

// parseTimeout returns the caller's timeout, or defaultTimeout without one.
func parseTimeout(h http.Header, defaultTimeout time.Duration) (time.Duration, error) {
	text := h.Get(HeaderTimeout)
	if text == "" {
		return defaultTimeout, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, magnolialedge.NewError(magnolialedge.KindBadRequest, HeaderTimeout+" must be a whole number of milliseconds above 0")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// parseLoad parses an upstream's load report. It returns nil for a malformed one or
// one of more than 100 bytes.
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
