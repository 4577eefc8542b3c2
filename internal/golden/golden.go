// Package golden is for tests that compare encodings and decisions with those of an
// earlier version of this program. The recorded values are in a file under the tested
// package's testdata. A test run with -update writes that file anew; what is
// committed must come from a version that is in use, never from the one under test.
package golden

import (
	"encoding/hex"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the recorded values anew")

// File is a file of recorded values, each under a label.
type File struct {
	tb       testing.TB
	path     string
	recorded map[string]string
	seen     map[string]string
}

// Open reads testdata/name. At the end of the test every recorded value must have been
// compared with something, so that none is dropped unnoticed.
func Open(tb testing.TB, name string) *File {
	tb.Helper()
	f := &File{tb: tb, path: filepath.Join("testdata", name), recorded: map[string]string{}, seen: map[string]string{}}
	tb.Cleanup(f.finish)
	if !*update {
		f.read()
	}
	return f
}

// OpenRead reads a file whose values another test compares: this one only looks at what
// is recorded.
func OpenRead(tb testing.TB, name string) *File {
	tb.Helper()
	f := &File{tb: tb, path: filepath.Join("testdata", name), recorded: map[string]string{}, seen: map[string]string{}}
	f.read()
	return f
}

func (f *File) read() {
	f.tb.Helper()
	text, err := os.ReadFile(f.path)
	if err != nil {
		f.tb.Fatalf("recorded values: %v", err)
	}
	for line := range strings.Lines(string(text)) {
		if line = strings.TrimSuffix(line, "\n"); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		label, value, ok := strings.Cut(line, "\t")
		if _, twice := f.recorded[label]; !ok || twice {
			f.tb.Fatalf("%s: not a recorded value, or recorded twice: %.80q", f.path, line)
		}
		f.recorded[label] = value
	}
}

func (f *File) finish() {
	if !*update {
		for label := range f.recorded {
			if _, ok := f.seen[label]; !ok && !f.tb.Failed() {
				f.tb.Errorf("%s: %q is recorded, and nothing is held against it", f.path, label)
			}
		}
		return
	}
	var out strings.Builder
	for _, label := range slices.Sorted(maps.Keys(f.seen)) {
		fmt.Fprintf(&out, "%s\t%s\n", label, f.seen[label])
	}
	if err := os.MkdirAll(filepath.Dir(f.path), 0o755); err != nil {
		f.tb.Fatal(err)
	}
	if err := os.WriteFile(f.path, []byte(out.String()), 0o644); err != nil {
		f.tb.Fatal(err)
	}
}

// Updating says whether values are recorded, not compared.
func Updating() bool { return *update }

// Text wants a text to be the recorded one.
func (f *File) Text(label, got string) {
	f.tb.Helper()
	f.compare(label, strconv.Quote(got))
}

// Number wants a number to be the recorded one.
func (f *File) Number(label string, got int) {
	f.tb.Helper()
	f.compare(label, strconv.Itoa(got))
}

// Bytes wants bytes to be the recorded ones.
func (f *File) Bytes(label string, got []byte) {
	f.tb.Helper()
	f.compare(label, hex.EncodeToString(got))
}

func (f *File) compare(label, got string) {
	f.tb.Helper()
	if _, twice := f.seen[label]; twice || strings.ContainsAny(label, "\t\n#") {
		f.tb.Fatalf("%s: label %q is used twice, or can't be one", f.path, label)
	}
	f.seen[label] = got
	if *update {
		f.recorded[label] = got
		return
	}
	want, ok := f.recorded[label]
	if !ok {
		f.tb.Errorf("%s: nothing is recorded as %q, which is now %s", f.path, label, got)
	} else if got != want {
		f.tb.Errorf("%s: %q has changed:\n now      %s\n recorded %s", f.path, label, got, want)
	}
}

// Recorded returns the bytes that are recorded under a label.
func (f *File) Recorded(label string) []byte {
	f.tb.Helper()
	b, err := hex.DecodeString(f.recorded[label])
	if err != nil || len(b) == 0 {
		f.tb.Fatalf("%s: no bytes are recorded as %q (%v)", f.path, label, err)
	}
	if _, ok := f.seen[label]; !ok {
		f.seen[label] = f.recorded[label]
	}
	return b
}

// Codec is how values are written and read.
type Codec struct {
	Marshal   func(v any) ([]byte, error)
	Unmarshal func(b []byte, v any) error
}

// CheckEncoding wants a value of that type to be encoded as the recorded bytes, and these
// to be decoded as the value: once with every field filled, changed by change, and once
// with none. It returns the filled value.
func CheckEncoding[T any](f *File, label string, c Codec, change ...func(*T)) T {
	f.tb.Helper()
	v := Filled[T]()
	for _, ch := range change {
		ch(&v)
	}
	checkValue(f, label, c, v)
	if !hasRaw(reflect.TypeFor[T]()) {
		var zero T
		checkValue(f, label+", empty", c, zero)
	}
	return v
}

func checkValue[T any](f *File, label string, c Codec, v T) {
	f.tb.Helper()
	now, err := c.Marshal(v)
	if err != nil {
		f.tb.Fatalf("%s: %v", label, err)
	}
	f.Bytes(label, now)
	if _, ok := f.recorded[label]; !ok {
		return // reported already
	}
	var read T
	if err := c.Unmarshal(f.Recorded(label), &read); err != nil {
		f.tb.Errorf("%s: what is recorded can't be read: %v", label, err)
	} else if !reflect.DeepEqual(read, v) {
		f.tb.Errorf("%s: what is recorded is read as\n %+v\nand not as\n %+v", label, read, v)
	}
}
