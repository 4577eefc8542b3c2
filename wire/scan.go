// Scanning of encoded messages without decoding them: validation and size as JSON.

package wire

import (
	"encoding/binary"
	"errors"
	"math"
	"strconv"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// errIncomplete reports a message that ends before the length that it announces.
var errIncomplete = errors.New("decode: the message is truncated or shorter than it announces")

// maxNesting is the greatest nesting depth of lists and maps.
const maxNesting = 64

// Sizes of values as JSON, in bytes, including the separator after the value. A size that depends
// on the value is the upper bound.
const (
	jsonQuotes    = 3  // both quotes of a string and the comma or colon after it
	jsonBrackets  = 3  // both brackets of a list or map and the comma after it
	jsonEscape    = 5  // extra bytes of an escaped character
	jsonLiteral   = 6  // null, true or false
	jsonSmallInt  = 5  // an integer encoded in one byte
	jsonFloat     = 4  // in addition to its digits
	jsonBinary    = 8  // in addition to two for each byte
	jsonExtension = 40 // in addition to two for each byte
	jsonLongest   = 21 // the longest number
)

// JSONSize returns an upper bound of the size of a message as JSON, in bytes. The protocol counts
// message sizes as JSON. An invalid message counts as the longest number for each of its bytes.
func JSONSize(b []byte) int {
	s := scanner{measure: true}
	size, rest, ok := s.value(b, 0)
	if !ok || len(rest) > 0 {
		return jsonLongest * len(b)
	}
	return size
}

// JSONTextSize returns an upper bound of the size of a string as JSON, in bytes, including the
// separator after it.
func JSONTextSize(s string) int {
	size := jsonQuotes + len(s)
	for i := range len(s) {
		if isEscaped(s[i]) {
			size += jsonEscape
		}
	}
	return size
}

// isComplete reports whether a message begins with a complete value: each list, map, string and
// binary value has the announced length. The decoder allocates memory for the announced number of
// elements of a list. Without this check, a message of five bytes could make it allocate 86 GB and
// exhaust the memory of the process.
func isComplete(b []byte) bool {
	var s scanner
	_, _, ok := s.value(b, 0)
	return ok
}

// valueKind is the encoding of a value. It determines how the scan skips the value.
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

// format describes a value as its first byte determines it.
type format struct {
	kind     valueKind
	bytes    uint8 // kindFixed and kindFloat: number of bytes after the first
	width    uint8 // other kinds: number of bytes of the length field after the first byte
	length   uint8 // other kinds if width is 0: number of elements, or bytes of a string
	jsonSize uint8 // kindFixed: size as JSON
}

// formats holds the format for each first byte. The entries are small because every received
// message is scanned.
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

// formatTable returns the table of all formats: others, and the codes that include a small value or
// a length.
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

// scanner scans messages. The sizes that it returns are valid only if measure is set.
type scanner struct{ measure bool }

// value scans the first value of b. It returns the value's size as JSON and the bytes after the
// value. ok is false if the value is incomplete, invalid or nested too deeply.
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
		return skip(b, head+1+length, jsonExtension+2*length) // one byte holds the extension's type
	case kindList:
		return s.elements(b, head, length, depth)
	case kindMap:
		return s.elements(b, head, 2*length, depth)
	}
	return 0, nil, false
}

// readLength decodes the length field of the given width at the beginning of b. The result is false
// if b is too short or the length exceeds MaxInt32.
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

// skip returns the given size and b without its first n bytes, or false if b is shorter.
func skip(b []byte, n, size int) (int, []byte, bool) {
	if len(b) < n {
		return 0, nil, false
	}
	return size, b[n:], true
}

// elements scans the elements of a list, or the keys and values of a map. count values follow the
// head, which consists of the first byte and the length field.
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

// textSize returns the size as JSON of the string of length bytes after the head. For a truncated
// string, which the caller rejects, the result is meaningless.
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

// isEscaped reports whether JSON may escape the character that this byte of a string belongs to.
func isEscaped(x byte) bool {
	return x < 0x20 || x == '"' || x == '\\' || x == '<' || x == '>' || x == '&' || x >= 0x80
}

// floatSize returns the size as JSON of the floating-point number of width bytes at the beginning
// of b, or 0 if b is shorter.
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
