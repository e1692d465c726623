package proc

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"magnolialedge/core/call"
)

// ClaimTTL is how long the store keeps a claim.
const ClaimTTL = call.KeyTTL + 2*call.MaxClockSkew

// ClaimStoreKey returns the name under which the store holds the claim of key. It
// depends on the key alone, so every entry looks in the same place.
func ClaimStoreKey(service string, key call.Key) string {
	return fmt.Sprintf("claims/%s/%s", service, key.ID)
}

// Claim is the content of the store's record of a key: who has it.
type Claim struct {
	Owner Owner `json:"owner"`
}

// ParseClaim reads a claim; no data is a claim without an owner.
func ParseClaim(data []byte) (Claim, error) {
	var c Claim
	if len(data) == 0 {
		return c, nil
	}
	return c, errors.Wrap(json.Unmarshal(data, &c), "claim")
}

// Encode returns the claim's content in the store.
func (c Claim) Encode() ([]byte, error) {
	return json.Marshal(c)
}

// ClaimRequest asks to write one claim.
type ClaimRequest struct {
	Key   call.Key
	Owner Owner
	// Replaces is the owner that granted the key, or the zero Owner when the
	// key must be absent.
	Replaces Owner
}

// Evaluate reports whether the claim in the store already decides r: it was
// granted, or the key has an owner that r doesn't replace.
func (c Claim) Evaluate(r ClaimRequest) (granted, settled bool) {
	switch {
	case c.Owner == r.Owner:
		return true, true
	case c.Owner != r.Replaces && c.Owner != Owner{}:
		return false, true
	}
	return false, false
}
