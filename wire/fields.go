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

// This file reads the fields of a map whose form isn't known.

// Bounds of what a submission may hold.
const (
	maxFieldNesting = 8 // of what an unknown field holds
	maxListLength   = 1000
	maxTextBytes    = 150
	maxAmount       = 1e9
)

var errShape = errors.New("unexpected shape")

// decodeFields reads a map of scalars and lists of scalars; deeper values are checked
// and left out. A map or list that announces more entries than the body has bytes left is
// refused: decoded straight into a map, a body of five bytes could make the decoder allocate
// millions of entries, and the process would run out of memory.
func decodeFields(body []byte) (map[string]any, error) {
	r := bytes.NewReader(body)
	d := fieldDecoder{Decoder: msgpack.NewDecoder(r), body: r}
	n, err := d.DecodeMapLen()
	if err != nil {
		return nil, err
	}
	if n < 0 || n > r.Len() {
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
	if r.Len() > 0 {
		return nil, errShape
	}
	return values, nil
}

// fieldDecoder decodes a body, and knows how much of it is left.
type fieldDecoder struct {
	*msgpack.Decoder
	body *bytes.Reader
}

// nestedMap stands for a map as the value of a field: no known field has one.
type nestedMap struct{}

// value decodes a value in which lists and maps may be nested to the given depth.
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

// skipMap checks a map and leaves out what it holds.
func (d *fieldDecoder) skipMap(nesting int) (any, error) {
	if nesting == 0 {
		return nil, errShape
	}
	n, err := d.DecodeMapLen()
	if err != nil || n > d.body.Len() {
		return nil, errors.Join(err, errShape)
	}
	for range 2 * max(n, 0) {
		if _, err := d.value(nesting - 1); err != nil {
			return nil, err
		}
	}
	return nestedMap{}, nil
}

// list decodes a list. It keeps one element more than a list may have, so that fields.texts
// finds that the list is too long, and leaves out the rest.
func (d *fieldDecoder) list(nesting int) (any, error) {
	if nesting == 0 {
		return nil, errShape
	}
	n, err := d.DecodeArrayLen()
	if err != nil || n > d.body.Len() {
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

// fields are the values of a submission, by their names on the wire. Its methods read
// one, and the first error is kept.
type fields struct {
	values map[string]any
	err    error
}

func (f *fields) fail(name, reason string) {
	if f.err == nil {
		f.err = fmt.Errorf("%w: field %s %s", ErrMalformed, name, reason)
	}
}

// text is a text of 1 to maxTextBytes bytes without white space or NUL.
func (f *fields) text(name string) string {
	s, ok := f.values[name].(string)
	if !ok || s == "" || len(s) > maxTextBytes || strings.ContainsAny(s, " \t\r\n\x00") {
		f.fail(name, fmt.Sprintf("must be text of 1 to %d bytes without spaces", maxTextBytes))
		return ""
	}
	return s
}

// oneOf is one of the texts that are allowed.
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

func (f *fields) flag(name string) bool {
	b, ok := f.values[name].(bool)
	if !ok {
		f.fail(name, "must be true or false")
	}
	return b
}

// number is a number, and whether it was written as a whole one.
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

// amount is a number that isn't negative.
func (f *fields) amount(name string) float64 {
	v, _, ok := f.number(name)
	if !ok || math.IsNaN(v) || v < 0 || v > maxAmount {
		f.fail(name, "must be a number from 0 to 1e9")
		return 0
	}
	return v
}

// count is a whole number.
func (f *fields) count(name string, low, high int) int {
	v, whole, ok := f.number(name)
	if !ok || !whole || v < float64(low) || v > float64(high) {
		f.fail(name, fmt.Sprintf("must be a whole number from %d to %d", low, high))
		return 0
	}
	return int(v)
}

// texts is a list of texts, nil if there is none.
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
