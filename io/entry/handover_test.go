package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	core "magnolialedge/core/proc"
)

// FuzzDecodeHandover checks that decodeHandover returns an error instead of panicking on a
// malformed message from a peer, and that every decoded table can be encoded again.
func FuzzDecodeHandover(f *testing.F) {
	valid, err := encodeHandover(core.Handover{Peer: "p", Generations: []int64{1}, Records: []core.KeyRecord{{Fingerprint: 2}}})
	require.NoError(f, err)
	f.Add(valid)
	f.Add([]byte{0x1f, 0x8b})
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := decodeHandover(data)
		if err != nil {
			return
		}
		again, err := encodeHandover(h)
		require.NoError(t, err)
		_, err = decodeHandover(again)
		require.NoError(t, err)
	})
}
