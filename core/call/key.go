package call

import (
	"time"

	"github.com/google/uuid"

	"magnolialedge"
)

const (
	// KeyTTL is how long a key is remembered after it was issued. A request
	// with an older key is never executed.
	KeyTTL = 10 * time.Minute
	// MaxClockSkew is the tolerated difference between the clocks of a
	// caller and an entry.
	MaxClockSkew = 2 * time.Second
)

// Key is an idempotency key and the time at which the caller issued it.
type Key struct {
	ID       uuid.UUID
	IssuedAt time.Time
}

// ParseKey parses an idempotency key, which must be a UUIDv7 in the
// 36-character form, and checks its age with CheckAge. The error kind states
// whether the key is missing, malformed, expired or from the future.
func ParseKey(text string, now time.Time) (Key, error) {
	if text == "" {
		return Key{}, magnolialedge.NewError(magnolialedge.KindKeyMissing, "the request is non-idempotent and carries no Idempotency-Key")
	}
	id, err := uuid.Parse(text)
	if err != nil || len(text) != 36 || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return Key{}, magnolialedge.NewError(magnolialedge.KindKeyMalformed, "Idempotency-Key must be a UUIDv7 of 36 characters")
	}
	k := Key{ID: id, IssuedAt: time.UnixMilli(issuedMs(id))}
	return k, k.CheckAge(now)
}

// CheckAge returns an error if the key was issued more than MaxClockSkew after
// now, or at least KeyTTL before it.
func (k Key) CheckAge(now time.Time) error {
	if k.IssuedAt.After(now.Add(MaxClockSkew)) {
		return magnolialedge.NewError(magnolialedge.KindKeyFromFuture, "the key's time is ahead of this instance's clock")
	}
	if !k.IssuedAt.Add(KeyTTL).After(now) {
		return magnolialedge.NewError(magnolialedge.KindKeyExpired, "the key is older than 10 minutes, so earlier runs can't be ruled out")
	}
	return nil
}

// issuedMs returns the timestamp of a UUIDv7 in Unix milliseconds.
func issuedMs(id uuid.UUID) int64 {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}
