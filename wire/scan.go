package wire

import (
	"encoding/binary"
	"errors"
	"math"
	"strconv"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// This file scans a message without decoding it.

// errIncomplete says that a message ends before what it claims to hold.
var errIncomplete = errors.New("decode: the message is cut off or claims more than it has")

// maxNesting is how deep lists and maps may be nested.
const maxNesting = 64

// Lengths of values as JSON, in bytes. Where a value's own length isn't known, it is the
// longest that there can be.
const (
	jsonQuotes    = 3  // around a text, and the comma or colon after it
	jsonBrackets  = 3  // around a list or map, and the comma after it
	jsonEscape    = 5  // what an escaped character is longer by
	jsonLiteral   = 6  // null, true or false
	jsonSmallInt  = 5  // a number of one byte
	jsonFloat     = 4  // besides its digits
	jsonBinary    = 8  // besides two for each byte
	jsonExtension = 40 // besides two for each byte
	jsonLongest   = 21 // the longest number
)

// JSONSize is how long a message is as JSON, at most: sizes are counted in that form
// (PROTOCOL). What can't be read counts as if every byte were a long number.
func JSONSize(b []byte) int {
	s := scanner{measure: true}
	size, rest, ok := s.value(b, 0)
	if !ok || len(rest) > 0 {
		return jsonLongest * len(b)
	}
	return size
}

// isComplete says whether a message begins with a complete value: lists, maps, texts and
// binary values have as much as their lengths announce. The decoder allocates memory for as
// many elements as a list announces, so that without this check a message of five bytes
// could make it allocate 86 GB, and the process would run out of memory.
func isComplete(b []byte) bool {
	var s scanner
	_, _, ok := s.value(b, 0)
	return ok
}

// valueKind tells how a value is encoded, and so how the scan skips it.
type valueKind uint8

const (
	kindInvalid valueKind = iota
	kindFixed             // a fixed number of bytes
	kindFloat
	kindText
	kindBinary
	kindExtension
	kindList
	kindMap
)

// format is what a value's first byte says of it.
type format struct {
	kind     valueKind
	bytes    uint8 // after the first, for kindFixed and kindFloat
	width    uint8 // of the length that comes after the first byte, for other kinds
	length   uint8 // for other kinds with no such length: elements, or bytes of a text
	jsonSize uint8 // for kindFixed
}

// formats are what each first byte says. Small, so that a scan costs little: every
// message that comes is scanned.
var formats = formatTable(map[byte]format{
	msgpcode.Nil:    {kind: kindFixed, jsonSize: jsonLiteral},
	msgpcode.False:  {kind: kindFixed, jsonSize: jsonLiteral},
	msgpcode.True:   {kind: kindFixed, jsonSize: jsonLiteral},
	msgpcode.Float:  {kind: kindFloat, bytes: 4},
	msgpcode.Double: {kind: kindFloat, bytes: 8},

	msgpcode.Uint8:  {kind: kindFixed, bytes: 1, jsonSize: 4},
	msgpcode.Uint16: {kind: kindFixed, bytes: 2, jsonSize: 6},
	msgpcode.Uint32: {kind: kindFixed, bytes: 4, jsonSize: 11},
	msgpcode.Uint64: {kind: kindFixed, bytes: 8, jsonSize: jsonLongest},
	msgpcode.Int8:   {kind: kindFixed, bytes: 1, jsonSize: 5},
	msgpcode.Int16:  {kind: kindFixed, bytes: 2, jsonSize: 7},
	msgpcode.Int32:  {kind: kindFixed, bytes: 4, jsonSize: 12},
	msgpcode.Int64:  {kind: kindFixed, bytes: 8, jsonSize: jsonLongest},

	msgpcode.Str8:  {kind: kindText, width: 1},
	msgpcode.Str16: {kind: kindText, width: 2},
	msgpcode.Str32: {kind: kindText, width: 4},
	msgpcode.Bin8:  {kind: kindBinary, width: 1},
	msgpcode.Bin16: {kind: kindBinary, width: 2},
	msgpcode.Bin32: {kind: kindBinary, width: 4},

	msgpcode.Array16: {kind: kindList, width: 2},
	msgpcode.Array32: {kind: kindList, width: 4},
	msgpcode.Map16:   {kind: kindMap, width: 2},
	msgpcode.Map32:   {kind: kindMap, width: 4},

	msgpcode.Ext8:     {kind: kindExtension, width: 1},
	msgpcode.Ext16:    {kind: kindExtension, width: 2},
	msgpcode.Ext32:    {kind: kindExtension, width: 4},
	msgpcode.FixExt1:  {kind: kindFixed, bytes: 1 + 1, jsonSize: jsonExtension + 2*1},
	msgpcode.FixExt2:  {kind: kindFixed, bytes: 1 + 2, jsonSize: jsonExtension + 2*2},
	msgpcode.FixExt4:  {kind: kindFixed, bytes: 1 + 4, jsonSize: jsonExtension + 2*4},
	msgpcode.FixExt8:  {kind: kindFixed, bytes: 1 + 8, jsonSize: jsonExtension + 2*8},
	msgpcode.FixExt16: {kind: kindFixed, bytes: 1 + 16, jsonSize: jsonExtension + 2*16},
})

// formatTable adds the codes that hold a small value, or its length, themselves.
func formatTable(others map[byte]format) (table [256]format) {
	for i := range table {
		code := byte(i)
		switch {
		case msgpcode.IsFixedNum(code):
			table[i] = format{kind: kindFixed, jsonSize: jsonSmallInt}
		case msgpcode.IsFixedMap(code):
			table[i] = format{kind: kindMap, length: code & msgpcode.FixedMapMask}
		case msgpcode.IsFixedArray(code):
			table[i] = format{kind: kindList, length: code & msgpcode.FixedArrayMask}
		case msgpcode.IsFixedString(code):
			table[i] = format{kind: kindText, length: code & msgpcode.FixedStrMask}
		default:
			table[i] = others[code] // kindInvalid where there is none
		}
	}
	return table
}

// scanner scans messages. Only with measure set are the sizes that it returns valid.
type scanner struct{ measure bool }

// value scans the first value of b. It returns the value's size as JSON, and what comes after
// it; ok is false if the value is incomplete, invalid or nested too deep.
func (s *scanner) value(b []byte, depth int) (size int, rest []byte, ok bool) {
	if len(b) == 0 || depth > maxNesting {
		return 0, nil, false
	}
	f := &formats[b[0]]
	head, length := 1+int(f.width), int(f.length)
	if f.width > 0 {
		if length, ok = readLength(b[1:], int(f.width)); !ok {
			return 0, nil, false
		}
	}
	switch f.kind {
	case kindFixed:
		return skip(b, 1+int(f.bytes), int(f.jsonSize))
	case kindFloat:
		return skip(b, 1+int(f.bytes), s.floatSize(b[1:], int(f.bytes)))
	case kindText:
		return skip(b, head+length, s.textSize(b, head, length))
	case kindBinary:
		return skip(b, head+length, jsonBinary+2*length)
	case kindExtension:
		return skip(b, head+1+length, jsonExtension+2*length) // with a byte for its type
	case kindList:
		return s.elements(b, head, length, depth)
	case kindMap:
		return s.elements(b, head, 2*length, depth)
	}
	return 0, nil, false
}

// readLength reads the length that stands at the beginning of b.
func readLength(b []byte, width int) (int, bool) {
	if len(b) < width {
		return 0, false
	}
	length := uint64(0)
	for _, x := range b[:width] {
		length = length<<8 | uint64(x)
	}
	return int(length), length <= math.MaxInt32
}

// skip passes over n bytes, if there are so many.
func skip(b []byte, n, size int) (int, []byte, bool) {
	if len(b) < n {
		return 0, nil, false
	}
	return size, b[n:], true
}

// elements scans the elements of a list, or the keys and values of a map: count values after
// the head, which is the first byte and the length.
func (s *scanner) elements(b []byte, head, count, depth int) (size int, rest []byte, ok bool) {
	if count > len(b) {
		return 0, nil, false
	}
	size, rest = jsonBrackets, b[head:]
	for range count {
		var element int
		if element, rest, ok = s.value(rest, depth+1); !ok {
			return 0, nil, false
		}
		size += element
	}
	return size, rest, true
}

// textSize is the size as JSON of a text of length bytes after the head. The text may be cut
// off: the caller checks that.
func (s *scanner) textSize(b []byte, head, length int) int {
	size := jsonQuotes + length
	if !s.measure || len(b) < head+length {
		return size
	}
	for _, x := range b[head : head+length] {
		if isEscaped(x) {
			size += jsonEscape
		}
	}
	return size
}

// isEscaped says whether a byte of a text may be part of an escape in JSON.
func isEscaped(x byte) bool {
	return x < 0x20 || x == '"' || x == '\\' || x == '<' || x == '>' || x == '&' || x >= 0x80
}

// floatSize is the size as JSON of the number at the beginning of b, which may be cut off: the
// caller checks that.
func (s *scanner) floatSize(b []byte, width int) int {
	if !s.measure || len(b) < width {
		return 0
	}
	var v float64
	if width == 4 {
		v = float64(math.Float32frombits(binary.BigEndian.Uint32(b)))
	} else {
		v = math.Float64frombits(binary.BigEndian.Uint64(b))
	}
	return jsonFloat + len(strconv.AppendFloat(make([]byte, 0, 32), v, 'f', -1, 64))
}
