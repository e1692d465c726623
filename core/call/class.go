package call

import (
	"net/url"
	"strings"

	"magnolialedge"
)

// Class states how often a request may be executed.
type Class int

const (
	// Idempotent requests may be executed more than once.
	Idempotent Class = iota
	// AtMostOnce requests are sent to an upstream at most once by this
	// system. Requests with a non-idempotent method that no rule matches
	// have this class.
	AtMostOnce
	// Keyed requests must carry an idempotency key and are executed at most
	// once, even when the caller sends them again.
	Keyed
)

// ClassOf returns the class of a request with the given method and escaped
// path. rules are the non-idempotent rules of its service.
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

// MatchPath reports whether pattern matches the escaped path. A segment "*"
// matches one segment; a final segment "**" matches any number. Paths are
// unescaped and normalized before the comparison, so that a different spelling
// of the same path cannot bypass a rule.
func MatchPath(pattern, path string) bool {
	patternSegments := segments(pattern)
	pathSegments := segments(path)
	for i, want := range patternSegments {
		if want == "**" && i == len(patternSegments)-1 {
			return true
		}
		if i >= len(pathSegments) {
			return false
		}
		if want != "*" && want != pathSegments[i] {
			return false
		}
	}
	return len(patternSegments) == len(pathSegments)
}

// segments splits path into unescaped segments. It drops empty and "." segments
// and resolves "..".
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
