package magnolialedge

import (
	"fmt"
	"io"
)

// redacted is what a Secret shows of itself.
const redacted = "[redacted]"

// Secret is a value that must not appear in logs, dumps, metrics or errors. Each way of
// formatting or encoding it shows a placeholder; only a conversion to string reveals it.
type Secret string

// String implements fmt.Stringer.
func (Secret) String() string {
	return redacted
}

// Format implements fmt.Formatter, so that no verb shows the value.
func (Secret) Format(s fmt.State, _ rune) {
	_, _ = io.WriteString(s, redacted)
}

// MarshalText implements encoding.TextMarshaler, which encoding/json and log encoders use.
func (Secret) MarshalText() ([]byte, error) {
	return []byte(redacted), nil
}

// ClientAccount is the account of a client: its keys, its rank and its limits.
type ClientAccount struct {
	Name string `json:"name"`
	// Keys holds the keys with which clients show that they belong to the account.
	Keys []Secret `json:"keys"`
	// Priority ranks the requests of the account before the priority of their route; 0 is
	// the highest.
	Priority int `json:"priority"`
	// RatePerSecond limits the requests of the account at all entries together; 0 sets no
	// limit. Burst is the number of requests that may exceed the rate at a time.
	RatePerSecond float64 `json:"ratePerSecond"`
	Burst         float64 `json:"burst"`
	// AllowedRegions lists the only regions whose upstreams may serve the account; if it
	// is empty, all may.
	AllowedRegions []string `json:"allowedRegions,omitempty"`
}

// HasLimit reports whether the requests of the account are limited.
func (a ClientAccount) HasLimit() bool {
	return a.RatePerSecond > 0
}
