package call

import (
	"time"

	"github.com/google/uuid"

	"magnolialedge"
)

const (
	// KeyTTL is how long a key is remembered after it was issued. An older
	// key is never run.
	KeyTTL = 10 * time.Minute
	// MaxClockSkew is the greatest difference between a caller's clock and an
	// entry's that is put up with.
	MaxClockSkew = 2 * time.Second
)

// Key is an idempotency key with the time when the caller issued it.
type Key struct {
	ID       uuid.UUID
	IssuedAt time.Time
}

// ParseKey reads an idempotency key from its text, which must be a UUIDv7 of
// the usual 36 characters, and checks its age.
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

// CheckAge reports a key that is from the future or too old.
func (k Key) CheckAge(now time.Time) error {
	if k.IssuedAt.After(now.Add(MaxClockSkew)) {
		return magnolialedge.NewError(magnolialedge.KindKeyFromFuture, "the key's time is ahead of this instance's clock")
	}
	if !k.IssuedAt.Add(KeyTTL).After(now) {
		return magnolialedge.NewError(magnolialedge.KindKeyExpired, "the key is older than 10 minutes, so earlier runs can't be ruled out")
	}
	return nil
}

func issuedMs(id uuid.UUID) int64 {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}
