// Decoding of a MessagePack map field by field, for input whose shape is unknown.

package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Limits of the fields of a submission.
const (
	maxFieldNesting = 8 // nesting depth of the value of an unknown field
	maxListLength   = 1000
	maxTextBytes    = 150
	maxAmount       = 1e9
)

var errShape = errors.New("unexpected shape")

// decodeFields decodes a map of scalars and lists of scalars. Nested maps are validated and
// replaced by nestedMap. A map or list that announces more entries than the body has bytes left is
// an error. The check is needed because msgpack allocates memory for all announced entries: a body
// of five bytes could announce millions of them and exhaust the memory of the process.
func decodeFields(body []byte) (map[string]any, error) {
	remaining := bytes.NewReader(body)
	d := fieldDecoder{Decoder: msgpack.NewDecoder(remaining), remaining: remaining}
	n, err := d.DecodeMapLen()
	if err != nil {
		return nil, err
	}
	if n < 0 || n > remaining.Len() {
		return nil, errShape
	}
	values := map[string]any{}
	for range n {
		name, err := d.DecodeString()
		if err != nil {
			return nil, err
		}
		if values[name], err = d.value(maxFieldNesting); err != nil {
			return nil, err
		}
	}
	if remaining.Len() > 0 {
		return nil, errShape
	}
	return values, nil
}

// fieldDecoder decodes a body. It reads from remaining, whose Len is the number of bytes left.
type fieldDecoder struct {
	*msgpack.Decoder
	remaining *bytes.Reader
}

// nestedMap replaces a map in the value of a field. No known field holds a map.
type nestedMap struct{}

// value decodes the next value. Lists and maps in it may be nested to the given depth.
func (d *fieldDecoder) value(nesting int) (any, error) {
	code, err := d.PeekCode()
	if err != nil {
		return nil, err
	}
	switch {
	case msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32:
		return d.skipMap(nesting)
	case msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32:
		return d.list(nesting)
	}
	return d.DecodeInterface()
}

// skipMap validates a map, discards its content and returns nestedMap.
func (d *fieldDecoder) skipMap(nesting int) (any, error) {
	if nesting == 0 {
		return nil, errShape
	}
	n, err := d.DecodeMapLen()
	if err != nil || n > d.remaining.Len() {
		return nil, errors.Join(err, errShape)
	}
	for range 2 * max(n, 0) {
		if _, err := d.value(nesting - 1); err != nil {
			return nil, err
		}
	}
	return nestedMap{}, nil
}

// list decodes a list and keeps at most maxListLength+1 elements. The extra element lets
// fields.texts detect that the list is too long.
func (d *fieldDecoder) list(nesting int) (any, error) {
	if nesting == 0 {
		return nil, errShape
	}
	n, err := d.DecodeArrayLen()
	if err != nil || n > d.remaining.Len() {
		return nil, errors.Join(err, errShape)
	}
	list := []any{}
	for range max(n, 0) {
		element, err := d.value(nesting - 1)
		if err != nil {
			return nil, err
		}
		if len(list) <= maxListLength {
			list = append(list, element)
		}
	}
	return list, nil
}

// fields holds the values of a submission by their names on the wire. Each method returns the
// value of one field, or the zero value if the field is missing or invalid.
type fields struct {
	values map[string]any
	err    error // the first problem found; wraps ErrMalformed
}

// fail records a problem of a field unless an earlier one is recorded.
func (f *fields) fail(name, reason string) {
	if f.err == nil {
		f.err = fmt.Errorf("%w: field %s %s", ErrMalformed, name, reason)
	}
}

// text returns a string of 1 to maxTextBytes bytes without white space or NUL.
func (f *fields) text(name string) string {
	s, ok := f.values[name].(string)
	if !ok || s == "" || len(s) > maxTextBytes || strings.ContainsAny(s, " \t\r\n\x00") {
		f.fail(name, fmt.Sprintf("must be text of 1 to %d bytes without spaces", maxTextBytes))
		return ""
	}
	return s
}

// oneOf returns a string that must be one of the allowed values.
func (f *fields) oneOf(name string, allowed ...string) string {
	s, _ := f.values[name].(string)
	for _, a := range allowed {
		if s == a {
			return s
		}
	}
	f.fail(name, "must be one of "+strings.Join(allowed, ", "))
	return ""
}

// flag returns a boolean.
func (f *fields) flag(name string) bool {
	b, ok := f.values[name].(bool)
	if !ok {
		f.fail(name, "must be true or false")
	}
	return b
}

// number returns a number as float64. whole reports that it is encoded as an integer; ok is false
// if the field is missing or not a number.
func (f *fields) number(name string) (v float64, whole, ok bool) {
	switch v := f.values[name].(type) {
	case int8:
		return float64(v), true, true
	case int16:
		return float64(v), true, true
	case int32:
		return float64(v), true, true
	case int64:
		return float64(v), true, true
	case uint8:
		return float64(v), true, true
	case uint16:
		return float64(v), true, true
	case uint32:
		return float64(v), true, true
	case uint64:
		return float64(v), true, true
	case float32:
		return float64(v), false, true
	case float64:
		return v, false, true
	}
	return 0, false, false
}

// amount returns a number from 0 to maxAmount.
func (f *fields) amount(name string) float64 {
	v, _, ok := f.number(name)
	if !ok || math.IsNaN(v) || v < 0 || v > maxAmount {
		f.fail(name, "must be a number from 0 to 1e9")
		return 0
	}
	return v
}

// count returns an integer from low to high.
func (f *fields) count(name string, low, high int) int {
	v, whole, ok := f.number(name)
	if !ok || !whole || v < float64(low) || v > float64(high) {
		f.fail(name, fmt.Sprintf("must be a whole number from %d to %d", low, high))
		return 0
	}
	return int(v)
}

// texts returns a list of 1 to maxListLength non-empty strings. A missing or null field gives nil
// without an error.
func (f *fields) texts(name string) []string {
	v, ok := f.values[name]
	if !ok || v == nil {
		return nil
	}
	list, ok := v.([]any)
	if !ok || len(list) == 0 || len(list) > maxListLength {
		f.fail(name, fmt.Sprintf("must be null or a list of 1 to %d texts", maxListLength))
		return nil
	}
	out := make([]string, 0, len(list))
	for _, x := range list {
		s, ok := x.(string)
		if !ok || s == "" {
			f.fail(name, "must hold texts only")
			return nil
		}
		out = append(out, s)
	}
	return out
}
