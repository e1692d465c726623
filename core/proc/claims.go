package proc

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"magnolialedge/core/call"
)

const (
	// claimShards is the number of records over which the keys of one service
	// and second are spread, so that entries seldom write the same one.
	claimShards = 8
	// mostClaimsInRecord keeps a record below the store's limit of a megabyte.
	mostClaimsInRecord = 6000
)

// ClaimLife is how long the store keeps a claim record.
const ClaimLife = call.KeyLife + 2*call.ClockSkew

// Claims is the content of one claim record: who has which key. It is
// immutable.
type Claims struct {
	owners map[uuid.UUID]Owner
}

// ClaimRecordName returns the name of the record that holds the claim of key.
// It depends on the key alone, so every entry looks in the same place.
func ClaimRecordName(service string, key call.Key) string {
	shard := xxhash.Sum64(key.ID[:]) % claimShards
	return fmt.Sprintf("claims/%s/%d/%d", service, key.Issued.Unix(), shard)
}

// SingleClaimRecordName returns the name of a record that holds one key only.
// It is the naive version.
func SingleClaimRecordName(service string, key call.Key) string {
	return fmt.Sprintf("claims/%s/%s", service, key.ID)
}

// ParseClaims reads a claim record; no data is an empty record.
func ParseClaims(data []byte) (Claims, error) {
	c := Claims{}
	if len(data) == 0 {
		return c, nil
	}
	if err := json.Unmarshal(data, &c.owners); err != nil {
		return Claims{}, errors.Wrap(err, "claim record")
	}
	return c, nil
}

// Encode returns the record's content.
func (c Claims) Encode() ([]byte, error) {
	return json.Marshal(c.owners)
}

// Owner returns the owner of a key.
func (c Claims) Owner(id uuid.UUID) (Owner, bool) {
	o, ok := c.owners[id]
	return o, ok
}

// Full reports whether the record takes no further key.
func (c Claims) Full() bool {
	return len(c.owners) >= mostClaimsInRecord
}

// WithOwner returns a copy of c in which o owns the key.
func (c Claims) WithOwner(id uuid.UUID, o Owner) Claims {
	owners := maps.Clone(c.owners)
	if owners == nil {
		owners = map[uuid.UUID]Owner{}
	}
	owners[id] = o
	return Claims{owners: owners}
}

// ClaimRequest asks to write one claim.
type ClaimRequest struct {
	Key   call.Key
	Owner Owner
	// Replaces is the owner that granted the key, or the zero Owner when the
	// key must be absent.
	Replaces Owner
}

// Settled reports whether the record already decides r: it was granted, or the
// key has an owner that r doesn't replace.
func (c Claims) Settled(r ClaimRequest) (found Owner, granted, settled bool) {
	have, ok := c.owners[r.Key.ID]
	switch {
	case ok && have == r.Owner:
		return have, true, true
	case ok && have != r.Replaces:
		return have, false, true
	}
	return Owner{}, false, false
}

// Retain reports whether a claim may still matter at now.
func Retain(key call.Key, now time.Time) bool {
	return key.Issued.Add(ClaimLife).After(now)
}
