package vers

import (
	"testing"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

func FuzzDecode(f *testing.F) {
	valid, err := Encode(magnolialedge.DocumentVersion{Revision: 3, ChangeID: "c"})
	require.NoError(f, err)
	f.Add(valid)
	f.Add([]byte{0x28, 0xb5, 0x2f, 0xfd})
	f.Fuzz(func(t *testing.T, data []byte) {
		v, err := Decode(data)
		if err != nil || len(data) == 0 {
			return
		}
		encoded, err := Encode(v)
		require.NoError(t, err)
		decoded, err := Decode(encoded)
		require.NoError(t, err)
		require.Equal(t, v.Revision, decoded.Revision)
	})
}

// A version of few compressed bytes must not fill the memory when it is decompressed.
func TestDecodeRejectsOversizedVersion(t *testing.T) {
	enc, err := encoder()
	require.NoError(t, err)
	_, err = Decode(enc.EncodeAll(make([]byte, 64<<20), nil))
	require.Error(t, err)
}
