// Values with every field set, for the checks of encodings.

package golden

import (
	"fmt"
	"reflect"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Filled returns a T in which every exported field, at any depth, has a non-zero value that no
// other field has. Booleans are all true. Fields with the tag msgpack:"-" stay zero. The values
// depend on the order of the fields, not on their names: a renamed field keeps its value, a moved
// field changes it. Filled panics if T holds a kind that it can't fill, such as a channel.
func Filled[T any]() T {
	var v T
	f := filler{}
	f.fill(reflect.ValueOf(&v).Elem())
	return v
}

var (
	rawType  = reflect.TypeFor[msgpack.RawMessage]()
	timeType = reflect.TypeFor[time.Time]()
)

// filler sets values that differ from each other, numbered from 1.
type filler struct{ lastNumber int }

func (f *filler) next() int {
	f.lastNumber++
	return f.lastNumber
}

func (f *filler) fill(v reflect.Value) {
	switch v.Type() {
	case rawType:
		text := fmt.Sprintf("raw%d", f.next())
		v.SetBytes(append([]byte{0xa0 | byte(len(text))}, text...)) // a MessagePack fixstr
		return
	case timeType:
		v.Set(reflect.ValueOf(time.Unix(int64(f.next()), 0).UTC()))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int8:
		v.SetInt(int64(f.next()))
	case reflect.Uint8:
		v.SetUint(uint64(f.next()))
	case reflect.Int, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(100 * f.next()))
	case reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(100 * f.next()))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.next()) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("text%d", f.next()))
	case reflect.Interface:
		v.Set(reflect.ValueOf(fmt.Sprintf("any%d", f.next())))
	default:
		f.compound(v)
	}
}

// compound fills pointers, structs, slices with two elements, arrays, and maps with one entry.
func (f *filler) compound(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.elements(v)
	case reflect.Array:
		f.elements(v)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() && field.Tag.Get("msgpack") != "-" {
				f.fill(v.Field(i))
			}
		}
	default:
		panic(fmt.Sprintf("golden: a %v can't be filled", v.Type()))
	}
}

func (f *filler) elements(v reflect.Value) {
	for i := range v.Len() {
		f.fill(v.Index(i))
	}
}

// hasRaw reports whether a type is or contains a msgpack.RawMessage. An empty raw message is not
// valid MessagePack, so that the zero value of such a type can't be encoded.
func hasRaw(t reflect.Type) bool {
	if t == rawType {
		return true
	}
	if t.Kind() != reflect.Struct {
		return false
	}
	for i := range t.NumField() {
		if hasRaw(t.Field(i).Type) {
			return true
		}
	}
	return false
}
