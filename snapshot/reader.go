// Reading of snapshot files.

package snapshot

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"

	"github.com/umberdeal/umberdeal/wire"
)

// Reader reads a snapshot and checks its integrity. It is not safe for concurrent use.
type Reader struct {
	Header Header

	r       *bufio.Reader
	decoder *zstd.Decoder
	sum     *xxhash.Digest // checksum over the headers of the blocks read
	offset  int64          // offset of the next block in the file, in bytes
	block   int            // number of the next block
	keys    uint64         // number of entries read
	lastKey string
	ended   bool // the trailer has been read and matches
}

// maxDecoderMemory bounds the memory for decompressing a block, in bytes.
const maxDecoderMemory = 16 << 20

// NewReader reads the header of the snapshot in r and returns a Reader for its entries. The error wraps
// ErrCorrupt if r does not begin with an intact header. A different format version is another error.
func NewReader(r io.Reader) (*Reader, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecoderMemory))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	s := &Reader{r: bufio.NewReader(r), decoder: decoder, sum: xxhash.New(), offset: int64(len(magic))}
	got := make([]byte, len(magic))
	versionOffset := len(magic) - 1
	if _, err := io.ReadFull(s.r, got); err != nil || string(got[:versionOffset]) != string(magic[:versionOffset]) {
		return nil, fmt.Errorf("%w: not a snapshot file", ErrCorrupt)
	}
	if got[versionOffset] != magic[versionOffset] {
		return nil, fmt.Errorf("snapshot: the file has format version %d, this program reads version %d", got[versionOffset], magic[versionOffset])
	}
	return s, s.readBlock(kindHeader, &s.Header)
}

// All reads the remaining entries. It returns them only if the whole file is intact, and an error that
// wraps ErrCorrupt otherwise.
func (s *Reader) All() (map[string]wire.Raw, error) {
	out := map[string]wire.Raw{}
	for {
		entries, err := s.Next()
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
		for _, kv := range entries {
			out[kv.Key] = kv.Value
		}
	}
}

// Next returns the entries of the next block. After the last block it returns io.EOF if the whole file is
// intact, and an error that wraps ErrCorrupt otherwise. Entries returned before such an error are intact
// but incomplete.
func (s *Reader) Next() ([]KeyValue, error) {
	if s.ended {
		return nil, io.EOF
	}
	var entries []KeyValue
	err := s.readBlock(kindEntries, &entries)
	if errors.Is(err, errOtherKind) {
		return nil, s.readTrailer()
	}
	if err != nil {
		return nil, err
	}
	for i := range entries {
		if entries[i].Key <= s.lastKey {
			return nil, s.corrupt(fmt.Sprintf("key %q is out of order", entries[i].Key))
		}
		s.lastKey = entries[i].Key
	}
	s.keys += uint64(len(entries))
	return entries, nil
}

// readTrailer reads the trailer. It returns io.EOF if the file is intact.
func (s *Reader) readTrailer() error {
	var t trailer
	sum := s.sum.Sum64()
	err := s.readBlock(kindTrailer, &t)
	if errors.Is(err, errOtherKind) {
		return s.corrupt("a block of no known kind")
	}
	if err != nil {
		return err
	}
	if t.Keys != s.keys || t.Sum != sum {
		return s.corrupt(fmt.Sprintf("%d keys, %d were written", s.keys, t.Keys))
	}
	if _, err := s.r.ReadByte(); !errors.Is(err, io.EOF) {
		return s.corrupt("something follows the end")
	}
	s.ended = true
	return io.EOF
}

// errOtherKind means that the next block is of a different kind than requested.
var errOtherKind = errors.New("unexpected kind of block")

// readBlock reads a block of the given kind into v. If the next block is of a different kind, it returns
// errOtherKind and leaves the block unread.
func (s *Reader) readBlock(kind byte, v any) error {
	header, err := s.r.Peek(blockHeaderSize)
	if err != nil {
		return s.corrupt("the file is cut off")
	}
	if header[0] != kind {
		return errOtherKind
	}
	length := binary.BigEndian.Uint32(header[lengthOffset:])
	if length > maxBlockBytes {
		return s.corrupt("its length can't be")
	}
	want := binary.BigEndian.Uint64(header[checksumOffset:])
	block := make([]byte, blockHeaderSize+int(length))
	if _, err := io.ReadFull(s.r, block); err != nil {
		return s.corrupt("the file is cut off")
	}
	body := block[blockHeaderSize:]
	if checksum(kind, body) != want {
		return s.corrupt("its checksum is wrong")
	}
	if kind != kindTrailer {
		_, _ = s.sum.Write(block[:blockHeaderSize]) // Write of a hash never fails
	}
	plain, err := s.decoder.DecodeAll(body, nil)
	if err != nil {
		return s.corrupt(err.Error())
	}
	if err := wire.Unmarshal(plain, v); err != nil {
		return s.corrupt(err.Error())
	}
	s.offset += int64(len(block))
	s.block++
	return nil
}

// corrupt returns an error that wraps ErrCorrupt and names the next block and the problem.
func (s *Reader) corrupt(why string) error {
	return fmt.Errorf("%w: block %d, at byte %d: %s", ErrCorrupt, s.block, s.offset, why)
}
