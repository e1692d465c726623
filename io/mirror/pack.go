package mirror

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/gzip"

	"magnolialedge"
	"magnolialedge/io/event"
)

// pack is a packed snapshot, which many readers ask for at the same time when
// all entries start.
type pack struct {
	bytes    []byte
	revision int64
	items    int
}

// packed returns the items packed; f.mu is held.
func (f *Follower) packed() []byte {
	items := f.mirror.Confirmed()
	if f.pack.bytes != nil && f.pack.revision == f.mirror.Revision() && f.pack.items == len(items) {
		return f.pack.bytes
	}
	packed, err := packItems(items)
	if err != nil {
		f.cfg.Log.Log(event.SourceLost, "err", err)
		return nil
	}
	f.pack = pack{bytes: packed, revision: f.mirror.Revision(), items: len(items)}
	return packed
}

func packItems(items []magnolialedge.Item) ([]byte, error) {
	text, err := json.Marshal(items)
	if err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(text); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	return b.Bytes(), nil
}

// unpack fills Items from Packed.
func (m *message) unpack() error {
	if len(m.Packed) == 0 {
		return nil
	}
	r, err := gzip.NewReader(bytes.NewReader(m.Packed))
	if err != nil {
		return errors.Wrap(err, "unpack")
	}
	text, err := io.ReadAll(io.LimitReader(r, mostLine))
	if err != nil {
		return errors.Wrap(err, "unpack")
	}
	return errors.Wrap(json.Unmarshal(text, &m.Items), "unpack")
}
