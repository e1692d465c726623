package vers

import (
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"

	"magnolialedge"
	"magnolialedge/core/vers"
)

// mostVersionBytes bounds a version after decompression: a document and the
// changes it names.
const mostVersionBytes = vers.MaxDocumentBytes + 64<<10

var (
	encoder = sync.OnceValues(func() (*zstd.Encoder, error) { return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1)) })
	decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(mostVersionBytes))
	})
)

// Encode returns a version as compressed JSON.
func Encode(v magnolialedge.DocumentVersion) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	enc, err := encoder()
	if err != nil {
		return nil, err
	}
	return enc.EncodeAll(data, nil), nil
}

// Decode reads a version and checks its document. No data is the version 0.
func Decode(data []byte) (magnolialedge.DocumentVersion, error) {
	var v magnolialedge.DocumentVersion
	if len(data) == 0 {
		return v, nil
	}
	dec, err := decoder()
	if err != nil {
		return v, err
	}
	plain, err := dec.DecodeAll(data, nil)
	if err != nil {
		return v, errors.Wrap(err, "version")
	}
	if err := json.Unmarshal(plain, &v); err != nil {
		return v, errors.Wrap(err, "version")
	}
	if faults := vers.Validate(v.Document); len(faults) > 0 {
		return v, faults
	}
	return v, nil
}
