package vers

import (
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"

	"magnolialedge"
	"magnolialedge/core/vers"
)

// maxVersionBytes limits the size of a decompressed version, which is a document and
// the list of recent changes.
const maxVersionBytes = vers.MaxDocumentBytes + 64<<10

var (
	encoder = sync.OnceValues(func() (*zstd.Encoder, error) { return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1)) })
	decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxVersionBytes))
	})
)

// Encode returns a version as JSON, compressed with zstd.
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

// Decode parses an encoded version and validates its document. It returns the zero
// version for empty data.
func Decode(data []byte) (magnolialedge.DocumentVersion, error) {
	var v magnolialedge.DocumentVersion
	if len(data) == 0 {
		return v, nil
	}
	dec, err := decoder()
	if err != nil {
		return v, err
	}
	text, err := dec.DecodeAll(data, nil)
	if err != nil {
		return v, errors.Wrap(err, "version")
	}
	if err := json.Unmarshal(text, &v); err != nil {
		return v, errors.Wrap(err, "version")
	}
	if faults := vers.Validate(v.Document); len(faults) > 0 {
		return v, faults
	}
	return v, nil
}
