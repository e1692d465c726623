package acct

import (
	"encoding/hex"
	"hash"
	"strings"
	"unicode"

	"golang.org/x/crypto/blake2b"
)

const (
	// MaxKeyBytes limits the length of a key.
	MaxKeyBytes = 256
	// HashKeyBytes is the length of the key of the hashes.
	HashKeyBytes = 32
	// shownDigits is the number of hexadecimal digits that identify a hash to operators.
	shownDigits = 8
)

// HashKey is the secret of a process from which its hashes are computed.
type HashKey [HashKeyBytes]byte

// Hash is the keyed BLAKE2b hash of a key. It does not reveal the key, and differs from
// process to process.
type Hash [blake2b.Size256]byte

// String returns the first digits of the hash.
func (h Hash) String() string {
	return hex.EncodeToString(h[:])[:shownDigits]
}

// HashOf returns the hash of an API key.
func (k HashKey) HashOf(apiKey string) Hash {
	d := k.newDigest()
	_, _ = d.Write([]byte(apiKey))
	var h Hash
	d.Sum(h[:0])
	return h
}

func (k HashKey) newDigest() hash.Hash {
	d, err := blake2b.New256(k[:])
	if err != nil {
		// New256 fails only for a key of more than 64 bytes.
		panic(err)
	}
	return d
}

// IsKey reports whether a value has the form of a key: it is not empty or too long, and has
// no blanks and no control characters.
func IsKey(value string) bool {
	return value != "" && len(value) <= MaxKeyBytes && !strings.ContainsFunc(value, isBlank)
}

// isName reports whether a value can be the name of an account in a header.
func isName(value string) bool {
	return value != "" && !strings.ContainsFunc(value, unicode.IsControl)
}

func isBlank(r rune) bool {
	return unicode.IsSpace(r) || unicode.IsControl(r)
}
