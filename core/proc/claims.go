package proc

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"magnolialedge/core/call"
)

// ClaimTTL is how long the store keeps a claim. It covers the time within which
// any entry accepts the key, including clock skew.
const ClaimTTL = call.KeyTTL + 2*call.MaxClockSkew

// ClaimStoreKey returns the store key of the claim for key. It depends only on
// the service and the key, so every entry uses the same one.
func ClaimStoreKey(service string, key call.Key) string {
	return fmt.Sprintf("claims/%s/%s", service, key.ID)
}

// Claim is the value that the store holds for an idempotency key.
type Claim struct {
	Owner Owner `json:"owner"`
}

// ParseClaim decodes a claim. Empty data is a claim without an owner.
func ParseClaim(data []byte) (Claim, error) {
	var c Claim
	if len(data) == 0 {
		return c, nil
	}
	return c, errors.Wrap(json.Unmarshal(data, &c), "claim")
}

// Encode returns the claim as JSON.
func (c Claim) Encode() ([]byte, error) {
	return json.Marshal(c)
}

// ClaimRequest is a request to write the claim of a key.
type ClaimRequest struct {
	Key   call.Key
	Owner Owner
	// Replaces is the previous owner, which granted the key, or the zero
	// Owner if no claim may exist yet.
	Replaces Owner
}

// Evaluate compares the stored claim with r. It reports whether the claim
// already decides r, and if so whether r is granted: r is granted if it is the
// stored owner, and denied if the stored owner is one that r does not replace.
func (c Claim) Evaluate(r ClaimRequest) (granted, decided bool) {
	switch {
	case c.Owner == r.Owner:
		return true, true
	case c.Owner != r.Replaces && c.Owner != Owner{}:
		return false, true
	}
	return false, false
}
