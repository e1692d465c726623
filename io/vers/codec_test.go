package vers

import (
	"testing"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

func FuzzDecode(f *testing.F) {
	whole, err := Encode(magnolialedge.DocumentVersion{Revision: 3, ChangeID: "c"})
	require.NoError(f, err)
	f.Add(whole)
	f.Add([]byte{0x28, 0xb5, 0x2f, 0xfd})
	f.Fuzz(func(t *testing.T, data []byte) {
		v, err := Decode(data)
		if err != nil || len(data) == 0 {
			return
		}
		again, err := Encode(v)
		require.NoError(t, err)
		back, err := Decode(again)
		require.NoError(t, err)
		require.Equal(t, v.Revision, back.Revision)
	})
}

func TestVersionThatUnpacksTooFarIsRefused(t *testing.T) {
	enc, err := encoder()
	require.NoError(t, err)
	_, err = Decode(enc.EncodeAll(make([]byte, 64<<20), nil))
	require.Error(t, err)
}
