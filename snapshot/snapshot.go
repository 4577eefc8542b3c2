// Package snapshot writes the whole ledger to a file, as of one revision and while
// the service runs, says whether what such a file holds is sound, and fills an
// empty state service from it. docs/jobstore.md has the format.
package snapshot

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"

	"github.com/umberdeal/umberdeal/wire"
)

// magic begins a file; its last byte is the version of the format.
var magic = []byte("umberdeal snapshot\x01")

// ErrCorrupt says that a file is cut off or was changed; the error names where.
var ErrCorrupt = errors.New("snapshot damaged")

const (
	blockEntries = 512
	blockBytes   = 256 << 10
	// maxBlockBytes bounds what a damaged length can make a reader ask for: a value is
	// at most a transaction's 64 KiB, which a block may begin with and pass.
	maxBlockBytes = 4 << 20
)

// Header is the first block.
type Header struct {
	Revision uint64 `msgpack:"r"`  // of the state service
	AtMs     int64  `msgpack:"at"` // Unix milliseconds
	By       string `msgpack:"by"` // the program's version
}

// KeyValue is a key and its value.
type KeyValue struct {
	_msgpack struct{} `msgpack:",as_array"`
	Key      string
	Value    wire.Raw
}

// trailer is the last block.
type trailer struct {
	Keys uint64 `msgpack:"n"`
	Sum  uint64 `msgpack:"x"` // of all blocks' checksums, in order
}

// Writer writes a snapshot. Each block is its kind, its length, the checksum of
// what follows, and that, compressed.
type Writer struct {
	w     io.Writer
	enc   *zstd.Encoder
	sum   *xxhash.Digest
	pairs []KeyValue
	bytes int
	keys  uint64
}

const (
	kindHeader  = 'h'
	kindEntries = 'p'
	kindTrailer = 'e'
)

// NewWriter begins a snapshot.
func NewWriter(w io.Writer, h Header) (*Writer, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	s := &Writer{w: w, enc: enc, sum: xxhash.New()}
	if _, err := w.Write(magic); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return s, s.writeBlock(kindHeader, h)
}

func (s *Writer) writeBlock(kind byte, v any) error {
	plain, err := wire.Marshal(v)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	body := s.enc.EncodeAll(plain, nil)
	head := make([]byte, 13)
	head[0] = kind
	binary.BigEndian.PutUint32(head[1:], uint32(len(body)))
	binary.BigEndian.PutUint64(head[5:], checksum(kind, body))
	_, _ = s.sum.Write(head) // a digest takes everything
	if _, err := s.w.Write(append(head, body...)); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}

func checksum(kind byte, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.Write([]byte{kind})
	_, _ = d.Write(body)
	return d.Sum64()
}

// Add writes a pair; they come in the order of their keys.
func (s *Writer) Add(p KeyValue) error {
	s.pairs = append(s.pairs, p)
	s.bytes += len(p.Key) + len(p.Value)
	s.keys++
	if len(s.pairs) < blockEntries && s.bytes < blockBytes {
		return nil
	}
	return s.flush()
}

func (s *Writer) flush() error {
	if len(s.pairs) == 0 {
		return nil
	}
	err := s.writeBlock(kindEntries, s.pairs)
	s.pairs, s.bytes = s.pairs[:0], 0
	return err
}

// Close ends the snapshot; without it the file counts as cut off.
func (s *Writer) Close() error {
	if err := s.flush(); err != nil {
		return err
	}
	return s.writeBlock(kindTrailer, trailer{Keys: s.keys, Sum: s.sum.Sum64()})
}

// Reader reads a snapshot.
type Reader struct {
	Header Header

	r       *bufio.Reader
	dec     *zstd.Decoder
	sum     *xxhash.Digest
	at      int64 // where the next block begins
	block   int
	keys    uint64
	lastKey string
	ended   bool
}

// NewReader reads a snapshot's header.
func NewReader(r io.Reader) (*Reader, error) {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(16<<20))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	s := &Reader{r: bufio.NewReader(r), dec: dec, sum: xxhash.New(), at: int64(len(magic))}
	got := make([]byte, len(magic))
	if _, err := io.ReadFull(s.r, got); err != nil || string(got[:len(got)-1]) != string(magic[:len(magic)-1]) {
		return nil, fmt.Errorf("%w: this is no snapshot", ErrCorrupt)
	}
	if got[len(got)-1] != magic[len(magic)-1] {
		return nil, fmt.Errorf("snapshot: its format has version %d, this program reads %d", got[len(got)-1], magic[len(magic)-1])
	}
	return s, s.nextBlock(kindHeader, &s.Header)
}

func (s *Reader) corrupt(why string) error {
	return fmt.Errorf("%w: block %d, at byte %d: %s", ErrCorrupt, s.block, s.at, why)
}

// nextBlock reads a block of that kind, or returns errOther with the block unread.
func (s *Reader) nextBlock(kind byte, v any) error {
	head, err := s.r.Peek(13)
	if err != nil {
		return s.corrupt("the file is cut off")
	}
	if head[0] != kind {
		return errOtherKind
	}
	length := binary.BigEndian.Uint32(head[1:])
	if length > maxBlockBytes {
		return s.corrupt("its length can't be")
	}
	want := binary.BigEndian.Uint64(head[5:])
	whole := make([]byte, 13+int(length))
	if _, err := io.ReadFull(s.r, whole); err != nil {
		return s.corrupt("the file is cut off")
	}
	body := whole[13:]
	if checksum(kind, body) != want {
		return s.corrupt("its checksum is wrong")
	}
	if kind != kindTrailer {
		_, _ = s.sum.Write(whole[:13])
	}
	plain, err := s.dec.DecodeAll(body, nil)
	if err != nil {
		return s.corrupt(err.Error())
	}
	if err := wire.Unmarshal(plain, v); err != nil {
		return s.corrupt(err.Error())
	}
	s.at += int64(len(whole))
	s.block++
	return nil
}

var errOtherKind = errors.New("another kind of block")

// Next reads the next pairs; io.EOF after the last, once the whole file has been
// found sound.
func (s *Reader) Next() ([]KeyValue, error) {
	if s.ended {
		return nil, io.EOF
	}
	var pairs []KeyValue
	err := s.nextBlock(kindEntries, &pairs)
	if err == nil {
		for i := range pairs {
			if pairs[i].Key <= s.lastKey {
				return nil, s.corrupt(fmt.Sprintf("key %q is out of order", pairs[i].Key))
			}
			s.lastKey = pairs[i].Key
		}
		s.keys += uint64(len(pairs))
		return pairs, nil
	}
	if !errors.Is(err, errOtherKind) {
		return nil, err
	}
	var e trailer
	sum := s.sum.Sum64()
	if err := s.nextBlock(kindTrailer, &e); errors.Is(err, errOtherKind) {
		return nil, s.corrupt("a block of no known kind")
	} else if err != nil {
		return nil, err
	}
	if e.Keys != s.keys || e.Sum != sum {
		return nil, s.corrupt(fmt.Sprintf("%d keys, %d were written", s.keys, e.Keys))
	}
	if _, err := s.r.ReadByte(); err != io.EOF {
		return nil, s.corrupt("something follows the end")
	}
	s.ended = true
	return nil, io.EOF
}

// All reads what is left, and only if all of it is sound.
func (s *Reader) All() (map[string]wire.Raw, error) {
	out := map[string]wire.Raw{}
	for {
		pairs, err := s.Next()
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
		for _, p := range pairs {
			out[p.Key] = p.Value
		}
	}
}

// TakenAt is when the snapshot was taken.
func (h Header) TakenAt() time.Time { return time.UnixMilli(h.AtMs) }
