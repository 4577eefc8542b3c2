package wire

import (
	"encoding/binary"
	"errors"
	"math"
	"strconv"
)

// This file walks through a message without decoding it.

// errDamaged says that a message ends before what it claims to hold.
var errIncomplete = errors.New("decode: the message is cut off or claims more than it has")

// deepest is how deep lists and maps may lie in one another.
const maxNesting = 64

// JSONSize is how long a message is as JSON, at most: sizes are counted in that
// form (PROTOCOL). What can't be read counts as if every byte were a long number.
func JSONSize(b []byte) int {
	n, rest, ok := walk(b, 0, true)
	if !ok || len(rest) > 0 {
		return 21 * len(b)
	}
	return n
}

// whole says whether a message holds what it claims to: the decoder makes room for
// as many elements as a list claims, so that five bytes were enough to have it
// ask for 86 GB and end the process.
func isComplete(b []byte) bool {
	_, _, ok := walk(b, 0, false)
	return ok
}

// walk goes through the first value of b, and measures it if it is to be sized.
func walk(b []byte, depth int, sized bool) (n int, rest []byte, ok bool) {
	if len(b) == 0 || depth > maxNesting {
		return 0, nil, false
	}
	c := b[0]
	take := func(head, body, size int) (int, []byte, bool) {
		if body < 0 || len(b) < head+body {
			return 0, nil, false
		}
		return size, b[head+body:], true
	}
	uintAt := func(width int) int {
		v := uint64(0)
		if len(b) < 1+width {
			return -1
		}
		for _, x := range b[1 : 1+width] {
			v = v<<8 | uint64(x)
		}
		if v > math.MaxInt32 {
			return -1
		}
		return int(v)
	}
	text := func(head, length int) (int, []byte, bool) {
		if length < 0 || len(b) < head+length {
			return 0, nil, false
		}
		size := 3 + length
		if !sized {
			return size, b[head+length:], true
		}
		for _, x := range b[head : head+length] {
			if x < 0x20 || x == '"' || x == '\\' || x == '<' || x == '>' || x == '&' || x >= 0x80 {
				size += 5 // as an escape
			}
		}
		return size, b[head+length:], true
	}
	many := func(head, count int) (int, []byte, bool) {
		if count < 0 || len(b) < head || count > len(b) {
			return 0, nil, false
		}
		size, rest := 3, b[head:]
		for range count {
			var one int
			if one, rest, ok = walk(rest, depth+1, sized); !ok {
				return 0, nil, false
			}
			size += one
		}
		return size, rest, true
	}
	switch {
	case c < 0x80 || c >= 0xe0:
		return take(1, 0, 5)
	case c < 0x90:
		return many(1, 2*int(c&0x0f))
	case c < 0xa0:
		return many(1, int(c&0x0f))
	case c < 0xc0:
		return text(1, int(c&0x1f))
	}
	switch c {
	case 0xc0, 0xc2, 0xc3:
		return take(1, 0, 6)
	case 0xca, 0xcb:
		width := 4 << (c - 0xca)
		if len(b) < 1+width || !sized {
			return take(1, width, 0)
		}
		v := 0.0
		if width == 4 {
			v = float64(math.Float32frombits(binary.BigEndian.Uint32(b[1:])))
		} else {
			v = math.Float64frombits(binary.BigEndian.Uint64(b[1:]))
		}
		return take(1, width, 4+len(strconv.AppendFloat(make([]byte, 0, 32), v, 'f', -1, 64)))
	case 0xcc, 0xcd, 0xce, 0xcf:
		width := 1 << (c - 0xcc)
		return take(1, width, []int{4, 6, 11, 21}[c-0xcc])
	case 0xd0, 0xd1, 0xd2, 0xd3:
		width := 1 << (c - 0xd0)
		return take(1, width, []int{5, 7, 12, 21}[c-0xd0])
	case 0xc4, 0xc5, 0xc6: // binary
		width := 1 << (c - 0xc4)
		return take(1+width, uintAt(width), 8+2*max(uintAt(width), 0))
	case 0xc7, 0xc8, 0xc9: // extensions
		width := 1 << (c - 0xc7)
		return take(2+width, uintAt(width), 40+2*max(uintAt(width), 0))
	case 0xd4, 0xd5, 0xd6, 0xd7, 0xd8:
		width := 1 << (c - 0xd4)
		return take(2, width, 40+2*width)
	case 0xd9, 0xda, 0xdb:
		width := 1 << (c - 0xd9)
		return text(1+width, uintAt(width))
	case 0xdc, 0xdd:
		width := 2 << (c - 0xdc)
		return many(1+width, uintAt(width))
	case 0xde, 0xdf:
		width := 2 << (c - 0xde)
		count := uintAt(width)
		if count < 0 {
			return 0, nil, false
		}
		return many(1+width, 2*count)
	}
	return 0, nil, false
}
