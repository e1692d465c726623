package mirror

import (
	"bytes"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/gzip"

	"magnolialedge"
	"magnolialedge/io/event"
)

// snapshotCache holds the compressed snapshot of one position, because many
// subscribers request it at the same time when all entries start.
type snapshotCache struct {
	compressed []byte
	position   magnolialedge.Position
	itemCount  int
}

// compressedSnapshot returns the compressed items, or nil on failure; f.mu must
// be held.
func (f *Follower) compressedSnapshot() []byte {
	items := f.mirror.Confirmed()
	if f.snapshots.compressed != nil && f.snapshots.position == f.mirror.Position() && f.snapshots.itemCount == len(items) {
		return f.snapshots.compressed
	}
	compressed, err := compressItems(items)
	if err != nil {
		f.cfg.Log.Log(event.SourceLost, "err", err)
		return nil
	}
	f.snapshots = snapshotCache{compressed: compressed, position: f.mirror.Position(), itemCount: len(items)}
	return compressed
}

// minCompressedBytes is the size of the values from which changes are compressed: many
// entries receive them, also from other zones.
const minCompressedBytes = 1 << 10

// changesMessage returns the message with changes that led to the present position; f.mu must
// be held.
func (f *Follower) changesMessage(changes []magnolialedge.Item) message {
	m := message{Position: f.mirror.Position()}
	size := 0
	for _, it := range changes {
		size += len(it.Value)
	}
	if size < minCompressedBytes {
		m.Items = changes
		return m
	}
	compressed, err := compressItems(changes)
	if err != nil {
		f.cfg.Log.Log(event.SourceLost, "err", err)
		m.Items = changes
		return m
	}
	m.Compressed = compressed
	return m
}

// gzipWriters and gzipReaders keep the tables of a compression, which take more memory than
// most messages.
var (
	gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}
	gzipReaders = sync.Pool{New: func() any { return new(gzip.Reader) }}
)

// compressItems returns the items as gzip-compressed JSON.
func compressItems(items []magnolialedge.Item) ([]byte, error) {
	encoded, err := json.Marshal(items)
	if err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	var b bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&b)
	if _, err := w.Write(encoded); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	return b.Bytes(), nil
}

// decompress fills Items from Compressed.
func (m *message) decompress() error {
	if len(m.Compressed) == 0 {
		return nil
	}
	r := gzipReaders.Get().(*gzip.Reader)
	defer gzipReaders.Put(r)
	if err := r.Reset(bytes.NewReader(m.Compressed)); err != nil {
		return errors.Wrap(err, "decompress snapshot")
	}
	encoded, err := io.ReadAll(io.LimitReader(r, maxMessageBytes))
	if err != nil {
		return errors.Wrap(err, "decompress snapshot")
	}
	return errors.Wrap(json.Unmarshal(encoded, &m.Items), "decompress snapshot")
}
