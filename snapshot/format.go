// Package snapshot exports all records of the key-value store to a file, verifies such a file, and
// imports it into an empty key-value store.
//
// Take writes the records as of one revision, also while the controllers are running. A file consists of
// a header, blocks of entries and a trailer, each with a checksum: Reader.Next returns a block's entries
// only if the block is intact, and Reader.All returns none unless the whole file is. Verify checks the
// invariants of the records and changes nothing. Restore writes only into an empty key-value store, and
// can resume an interrupted import of the same file.
//
// The package owns no state. It is called by the commands "state export", "state verify" and "state
// import". docs/jobstore.md describes the format.
package snapshot

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umberdeal/umberdeal/wire"
)

// magic is the start of a file; its last byte is the version of the format.
var magic = []byte("umberdeal snapshot\x01")

// ErrCorrupt means that a file is truncated or altered. The error that wraps it names the block.
var ErrCorrupt = errors.New("snapshot damaged")

// Kinds of blocks.
const (
	kindHeader  = 'h'
	kindEntries = 'p'
	kindTrailer = 'e'
)

// Layout of a block: its kind, the length of the compressed body, a checksum of kind and body, the body.
const (
	lengthOffset    = 1
	checksumOffset  = 5
	blockHeaderSize = 13

	// A block of entries is written once it has blockEntries entries or blockBytes bytes.
	blockEntries = 512
	blockBytes   = 256 << 10
	// maxBlockBytes bounds what a damaged length can make a reader allocate. It is far more than a
	// block can have: blockBytes and one more value, which is at most 64 KiB.
	maxBlockBytes = 4 << 20
)

// Header is the first block.
type Header struct {
	Revision uint64 `msgpack:"r"`  // revision of the key-value store
	AtMs     int64  `msgpack:"at"` // Unix milliseconds
	By       string `msgpack:"by"` // version of the program that wrote it
}

// TakenAt returns when the snapshot was taken.
func (h Header) TakenAt() time.Time { return time.UnixMilli(h.AtMs) }

// KeyValue is a key and its value. It is encoded as an array, so the order of the fields is part of the
// format.
type KeyValue struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by package msgpack
	Key      string
	Value    wire.Raw
}

// trailer is the last block.
type trailer struct {
	Keys uint64 `msgpack:"n"`
	Sum  uint64 `msgpack:"x"` // checksum over the headers of all blocks, in order
}

func checksum(kind byte, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.Write([]byte{kind}) // Write of a hash never fails
	_, _ = d.Write(body)
	return d.Sum64()
}
