// Package snapshot exports all records of the key-value store to a file, verifies such a file, and
// imports it into an empty key-value store.
//
// Take writes the records as of one revision. Controllers may run at the same time. A file consists of a
// header, blocks of entries and a trailer, each with a checksum. Reader.Next returns the entries of a
// block only if the block is intact. Reader.All returns entries only if the whole file is intact. Verify
// checks the invariants of the records and changes nothing. Restore writes only into an empty key-value
// store, and can resume an interrupted import of the same file.
//
// The package keeps no state. The commands "state export", "state verify" and "state import" call it.
// docs/jobstore.md describes the format.
package snapshot

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umberdeal/umberdeal/wire"
)

// magic is the beginning of a file. Its last byte is the version of the format.
var magic = []byte("umberdeal snapshot\x01")

// ErrCorrupt means that a file is truncated or altered. The error that wraps it names the damaged block.
var ErrCorrupt = errors.New("snapshot damaged")

// Kinds of blocks.
const (
	kindHeader  = 'h'
	kindEntries = 'p'
	kindTrailer = 'e'
)

// Layout of a block: one byte for the kind, the length of the compressed body, the checksum of kind and
// body, and the body.
const (
	lengthOffset    = 1
	checksumOffset  = 5
	blockHeaderSize = 13

	// A block of entries is written once it has blockEntries entries or blockBytes bytes.
	blockEntries = 512
	blockBytes   = 256 << 10
	// maxBlockBytes bounds the memory that a reader allocates for a damaged length. It is far larger
	// than any block: blockBytes and one more value of at most 64 KiB.
	maxBlockBytes = 4 << 20
)

// Header is the content of a snapshot's first block.
type Header struct {
	Revision uint64 `msgpack:"r"`  // revision of the key-value store that the entries are from
	AtMs     int64  `msgpack:"at"` // time of the snapshot in Unix milliseconds
	By       string `msgpack:"by"` // version of the program that wrote the snapshot
}

// TakenAt returns the time when the snapshot was taken.
func (h Header) TakenAt() time.Time { return time.UnixMilli(h.AtMs) }

// KeyValue is a key and its value. It is encoded as an array, so the order of its fields is part of the
// format.
type KeyValue struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by package msgpack
	Key      string
	Value    wire.Raw
}

// trailer is the content of the last block.
type trailer struct {
	Keys uint64 `msgpack:"n"` // number of entries
	Sum  uint64 `msgpack:"x"` // checksum over the headers of all earlier blocks, in order
}

// checksum returns the checksum of a block's kind and compressed body.
func checksum(kind byte, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.Write([]byte{kind}) // Write of a hash never fails
	_, _ = d.Write(body)
	return d.Sum64()
}
