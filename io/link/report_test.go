package link

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestParseRetryAfter(t *testing.T) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	for value, expected := range map[string]time.Duration{
		"2":                             2 * time.Second,
		"0.25":                          250 * time.Millisecond,
		"0":                             0,
		"1e300":                         maxRetryAfter,
		"Inf":                           maxRetryAfter,
		"Fri, 04 Dec 2026 12:00:07 GMT": 7 * time.Second,
		"Fri, 04 Dec 2026 11:00:00 GMT": 0,
		"Fri, 04 Dec 2099 11:00:00 GMT": maxRetryAfter,
	} {
		d, err := parseRetryAfter([]string{value}, now)
		require.NoError(t, err, value)
		require.Equal(t, expected, d, value)
	}
	for _, values := range [][]string{{""}, {"-1"}, {"NaN"}, {"soon"}, {"1", "2"}} {
		d, err := parseRetryAfter(values, now)
		require.Error(t, err, "%v", values)
		require.Zero(t, d)
	}
}

func TestParseColdRemaining(t *testing.T) {
	for value, expected := range map[string]time.Duration{
		"0":       0,
		"2750":    2750 * time.Millisecond,
		" 0.5 ":   500 * time.Microsecond,
		"3600000": time.Hour,
	} {
		d, err := parseColdRemaining([]string{value})
		require.NoError(t, err, value)
		require.Equal(t, expected, d, value)
	}
	for _, values := range [][]string{{""}, {"-1"}, {"NaN"}, {"Inf"}, {"1e300"}, {"3600001"}, {"cold"}, {"1", "1"}} {
		d, err := parseColdRemaining(values)
		require.ErrorIs(t, err, errInvalidCold, "%v", values)
		require.Zero(t, d)
	}
}
