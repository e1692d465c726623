package link

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/core/pick"
)

// Report is what an upstream says about itself in a response.
type Report struct {
	// Reading is the load of the upstream; it is valid if HasLoad is set.
	Reading magnolialedge.LoadReading
	HasLoad bool
	// Limit is the limit that the response announces; LimitErr is set instead if it announces
	// none that is valid.
	Limit    magnolialedge.RateLimit
	LimitErr error
	// IsLeaving is set if the upstream is leaving.
	IsLeaving bool
	// RetryAfter is the time for which an upstream that is unavailable asks this entry to
	// back off, or 0.
	RetryAfter time.Duration
	// ColdRemaining is how long the upstream stays cold; it is valid if HasCold is set. Only
	// health responses carry it.
	ColdRemaining time.Duration
	HasCold       bool
	// NoticeErr is set if the response has an invalid header for one of the fields
	// above, except Limit.
	NoticeErr error
}

func (c *Conn) newReport(resp *http.Response) Report {
	var r Report
	r.Reading, r.HasLoad = c.headers.ParseLoad(resp.Header.Get(c.headers.Load))
	r.Limit, r.LimitErr = c.headers.ParseLimit(resp.Header.Values(c.headers.Limit))
	r.IsLeaving, r.NoticeErr = c.headers.ParseLeaving(resp.Header.Values(c.headers.Leaving))
	if resp.StatusCode == http.StatusServiceUnavailable {
		var err error
		r.RetryAfter, err = parseRetryAfter(resp.Header.Values("Retry-After"), time.Now())
		r.NoticeErr = errors.CombineErrors(r.NoticeErr, err)
	}
	return r
}

// newHealthReport returns the report of a health response.
func (c *Conn) newHealthReport(resp *http.Response) Report {
	r := c.newReport(resp)
	values := resp.Header.Values(c.headers.ColdRemaining)
	if len(values) == 0 {
		return r
	}
	remaining, err := parseColdRemaining(values)
	if err != nil {
		r.NoticeErr = errors.CombineErrors(r.NoticeErr, err)
		return r
	}
	r.ColdRemaining, r.HasCold = remaining, true
	return r
}

var errInvalidCold = errors.New("the response does not name one valid cold time")

// parseColdRemaining parses the values of the header for the cold time: milliseconds, which
// may have a fraction.
func parseColdRemaining(values []string) (time.Duration, error) {
	if len(values) != 1 {
		return 0, errors.Wrapf(errInvalidCold, "%d values", len(values))
	}
	ms, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil || math.IsNaN(ms) || ms < 0 || ms > float64(pick.MaxColdTime.Milliseconds()) {
		return 0, errors.Wrapf(errInvalidCold, "value %.40q", values[0])
	}
	return time.Duration(ms * float64(time.Millisecond)), nil
}

// maxRetryAfter limits the time for which an upstream is left alone, so that a mistake
// of the upstream does not exclude it for good.
const maxRetryAfter = time.Hour

var errInvalidRetryAfter = errors.New("the response does not name one valid time to retry")

// parseRetryAfter parses the values of a Retry-After header: seconds, which may have a
// fraction, or a date. It returns 0 if there are none, and at most maxRetryAfter.
func parseRetryAfter(values []string, now time.Time) (time.Duration, error) {
	if len(values) == 0 {
		return 0, nil
	}
	if len(values) > 1 {
		return 0, errors.Wrapf(errInvalidRetryAfter, "%d values", len(values))
	}
	value := strings.TrimSpace(values[0])
	if at, err := http.ParseTime(value); err == nil {
		return min(max(0, at.Sub(now)), maxRetryAfter), nil
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0, errors.Wrapf(errInvalidRetryAfter, "value %.40q", value)
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second)), nil
}
