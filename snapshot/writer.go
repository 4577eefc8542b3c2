// Writing of snapshot files.

package snapshot

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"

	"github.com/umberdeal/umberdeal/wire"
)

// Writer writes a snapshot. After an error, the file is incomplete and the Writer must not be used any
// more. It is not safe for concurrent use.
type Writer struct {
	w       io.Writer
	encoder *zstd.Encoder
	sum     *xxhash.Digest // checksum over the headers of the blocks written
	pending []KeyValue     // entries of the next block
	bytes   int            // size of the pending keys and values
	keys    uint64         // number of entries added
}

// NewWriter writes a snapshot's header to w and returns a Writer for its entries.
func NewWriter(w io.Writer, h Header) (*Writer, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	s := &Writer{w: w, encoder: encoder, sum: xxhash.New()}
	if _, err := w.Write(magic); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return s, s.writeBlock(kindHeader, h)
}

// Add adds an entry. The caller must add entries in ascending order of their keys. Add does not check the
// order.
func (s *Writer) Add(kv KeyValue) error {
	s.pending = append(s.pending, kv)
	s.bytes += len(kv.Key) + len(kv.Value)
	s.keys++
	if len(s.pending) < blockEntries && s.bytes < blockBytes {
		return nil
	}
	return s.flush()
}

// Close writes the remaining entries and the trailer. Readers report a file that has no trailer as
// truncated. Close does not close the underlying writer.
func (s *Writer) Close() error {
	if err := s.flush(); err != nil {
		return err
	}
	return s.writeBlock(kindTrailer, trailer{Keys: s.keys, Sum: s.sum.Sum64()})
}

// flush writes the pending entries as a block.
func (s *Writer) flush() error {
	if len(s.pending) == 0 {
		return nil
	}
	err := s.writeBlock(kindEntries, s.pending)
	s.pending, s.bytes = s.pending[:0], 0
	return err
}

// writeBlock writes the compressed encoding of v as a block.
func (s *Writer) writeBlock(kind byte, v any) error {
	plain, err := wire.Marshal(v)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	body := s.encoder.EncodeAll(plain, nil)
	header := make([]byte, blockHeaderSize)
	header[0] = kind
	binary.BigEndian.PutUint32(header[lengthOffset:], uint32(len(body)))
	binary.BigEndian.PutUint64(header[checksumOffset:], checksum(kind, body))
	_, _ = s.sum.Write(header) // Write of a hash never fails
	if _, err := s.w.Write(append(header, body...)); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}
