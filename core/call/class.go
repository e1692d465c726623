package call

import (
	"net/url"
	"strings"

	"magnolialedge"
)

// Class tells how often a request may be run.
type Class int

const (
	// Idempotent requests may be run more than once.
	Idempotent Class = iota
	// AtMostOnce requests are sent at most once by this system. Methods that aren't
	// idempotent by themselves and stand in no rule are of this class.
	AtMostOnce
	// Keyed requests run at most once also when the caller sends them again,
	// and must carry an idempotency key.
	Keyed
)

// ClassOf returns the class of a request by the rules of its service.
func ClassOf(rules []magnolialedge.Rule, method, path string) Class {
	for _, r := range rules {
		if r.Method == method && MatchPath(r.Path, path) {
			return Keyed
		}
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return Idempotent
	}
	return AtMostOnce
}

// MatchPath reports whether the escaped path is matched by pattern. A segment
// "*" matches one segment; a last segment "**" matches any number. Segments are
// compared unescaped and without their "." and empty parts, so that another
// spelling of the same path doesn't pass by a rule.
func MatchPath(pattern, path string) bool {
	want := segments(pattern)
	have := segments(path)
	for i, w := range want {
		if w == "**" && i == len(want)-1 {
			return true
		}
		if i >= len(have) {
			return false
		}
		if w != "*" && w != have[i] {
			return false
		}
	}
	return len(want) == len(have)
}

func segments(path string) []string {
	var out []string
	for s := range strings.SplitSeq(path, "/") {
		if u, err := url.PathUnescape(s); err == nil {
			s = u
		}
		switch s {
		case "", ".":
		case "..":
			out = out[:max(0, len(out)-1)]
		default:
			out = append(out, s)
		}
	}
	return out
}
