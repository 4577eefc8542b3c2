// Package snapshot exports all records of the key-value store to a file, verifies such a file, and
// imports it into an empty key-value store.
//
// Take writes the records as of one revision while the controllers run. A file is a header, blocks of
// entries and a trailer, each with checksums: a Reader returns entries only as long as they are intact,
// and All returns none unless the whole file is. Verify checks the invariants of what a file holds and
// changes nothing. Restore writes into an empty key-value store only, and resumes an import of the same
// file that was interrupted.
//
// The package owns no state. The commands "state export", "state verify" and "state import" are its
// callers. docs/jobstore.md has the format.
package snapshot

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umberdeal/umberdeal/wire"
)

// magic begins a file; its last byte is the version of the format.
var magic = []byte("umberdeal snapshot\x01")

// ErrCorrupt means that a file is truncated or was changed; the error that wraps it names the block.
var ErrCorrupt = errors.New("snapshot damaged")

// Kinds of blocks.
const (
	kindHeader  = 'h'
	kindEntries = 'p'
	kindTrailer = 'e'
)

// A block is its kind, the length of its body, the body's checksum, and the body, compressed.
const (
	lengthOffset    = 1
	checksumOffset  = 5
	blockHeaderSize = 13

	// A block of entries is written once it has so many, or so many bytes.
	blockEntries = 512
	blockBytes   = 256 << 10
	// maxBlockBytes bounds what a changed length can make a reader allocate: a value is at most a
	// transaction's 64 KiB, which a block may begin with and pass.
	maxBlockBytes = 4 << 20
)

// Header is the first block.
type Header struct {
	Revision uint64 `msgpack:"r"`  // of the key-value store
	AtMs     int64  `msgpack:"at"` // Unix milliseconds
	By       string `msgpack:"by"` // the program's version
}

// TakenAt is when the snapshot was taken.
func (h Header) TakenAt() time.Time { return time.UnixMilli(h.AtMs) }

// KeyValue is a key and its value. It is stored as an array: the order of the fields is part of the
// format.
type KeyValue struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by package msgpack
	Key      string
	Value    wire.Raw
}

// trailer is the last block.
type trailer struct {
	Keys uint64 `msgpack:"n"`
	Sum  uint64 `msgpack:"x"` // of all blocks' headers, in order
}

func checksum(kind byte, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.Write([]byte{kind}) // a digest takes everything
	_, _ = d.Write(body)
	return d.Sum64()
}
