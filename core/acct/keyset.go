package acct

import (
	"encoding/binary"
	"hash"

	"magnolialedge"
)

// keySet holds the hashes of the keys that one account lists.
type keySet struct {
	// digest is the hash of the whole list. It shows that a list is unchanged without
	// hashing each of its keys.
	digest Hash
	hashes []Hash
}

// newKeySet returns the key set of a list of keys, which is the previous one if the list is
// unchanged. d is a digest with the hash key.
func newKeySet(d hash.Hash, keys []magnolialedge.Secret, previous *keySet) *keySet {
	s := &keySet{digest: digestOf(d, keys)}
	if previous != nil && previous.digest == s.digest {
		return previous
	}
	s.hashes = make([]Hash, 0, len(keys))
	for _, key := range keys {
		if !IsKey(string(key)) {
			continue
		}
		d.Reset()
		_, _ = d.Write([]byte(key))
		var h Hash
		d.Sum(h[:0])
		s.hashes = append(s.hashes, h)
	}
	return s
}

// digestOf returns the hash of a list of keys with their lengths.
func digestOf(d hash.Hash, keys []magnolialedge.Secret) Hash {
	d.Reset()
	var buf []byte
	for _, key := range keys {
		buf = binary.AppendUvarint(buf[:0], uint64(len(key)))
		buf = append(buf, key...)
		_, _ = d.Write(buf)
	}
	var h Hash
	d.Sum(h[:0])
	return h
}
