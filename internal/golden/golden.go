// Package golden compares encodings and decisions in tests with recorded values of an earlier
// version of this program. The recorded values are in files under the tested package's testdata
// directory. A test run with -update rewrites these files. Commit only values recorded by a
// released version, never by the version under test.
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

// File is a file of recorded values, each with a label. Under -update its checks record the given
// values instead of comparing them. It serves one test and is not safe for concurrent use.
type File struct {
	tb       testing.TB
	path     string
	recorded map[string]string // values in the file, by label
	seen     map[string]string // values that the test compared or read, by label
}

// Open reads testdata/name, or prepares to write it with -update. At its end the test fails if a
// recorded value was not compared, so that no check is dropped unnoticed.
func Open(tb testing.TB, name string) *File {
	tb.Helper()
	f := &File{tb: tb, path: filepath.Join("testdata", name), recorded: map[string]string{}, seen: map[string]string{}}
	tb.Cleanup(f.finish)
	if !*update {
		f.read()
	}
	return f
}

// OpenRead reads testdata/name, whose values another test compares. It neither requires every
// value to be used nor writes the file.
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
			f.tb.Fatalf("%s: line without a value, or duplicate label: %.80q", f.path, line)
		}
		f.recorded[label] = value
	}
}

func (f *File) finish() {
	if !*update {
		for label := range f.recorded {
			if _, ok := f.seen[label]; !ok && !f.tb.Failed() {
				f.tb.Errorf("%s: recorded value %q was not compared", f.path, label)
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

// Updating reports whether the test runs with -update: values are recorded, not compared.
func Updating() bool { return *update }

// Text fails the test unless got equals the text recorded with the label.
func (f *File) Text(label, got string) {
	f.tb.Helper()
	f.compare(label, strconv.Quote(got))
}

// Number fails the test unless got equals the number recorded with the label.
func (f *File) Number(label string, got int) {
	f.tb.Helper()
	f.compare(label, strconv.Itoa(got))
}

// Bytes fails the test unless got equals the bytes recorded with the label.
func (f *File) Bytes(label string, got []byte) {
	f.tb.Helper()
	f.compare(label, hex.EncodeToString(got))
}

func (f *File) compare(label, got string) {
	f.tb.Helper()
	if _, twice := f.seen[label]; twice || strings.ContainsAny(label, "\t\n#") {
		f.tb.Fatalf("%s: label %q is used twice or has an invalid character", f.path, label)
	}
	f.seen[label] = got
	if *update {
		f.recorded[label] = got
		return
	}
	want, ok := f.recorded[label]
	if !ok {
		f.tb.Errorf("%s: no value is recorded for %q; got %s", f.path, label, got)
	} else if got != want {
		f.tb.Errorf("%s: %q has changed:\n got  %s\n want %s (recorded)", f.path, label, got, want)
	}
}

// Recorded returns the bytes recorded with a label, and ends the test if there are none.
func (f *File) Recorded(label string) []byte {
	f.tb.Helper()
	b, err := hex.DecodeString(f.recorded[label])
	if err != nil || len(b) == 0 {
		f.tb.Fatalf("%s: no bytes are recorded for %q (%v)", f.path, label, err)
	}
	if _, ok := f.seen[label]; !ok {
		f.seen[label] = f.recorded[label]
	}
	return b
}

// Codec encodes and decodes values.
type Codec struct {
	Marshal   func(v any) ([]byte, error)
	Unmarshal func(b []byte, v any) error
}

// CheckEncoding fails the test unless a T is encoded as the recorded bytes and these bytes are
// decoded as the same value. It checks a Filled value, modified by the change functions, and the
// zero value, except for types that contain raw messages. It returns the filled value.
func CheckEncoding[T any](f *File, label string, c Codec, change ...func(*T)) T {
	f.tb.Helper()
	v := Filled[T]()
	for _, modify := range change {
		modify(&v)
	}
	checkValue(f, label, c, v)
	if !hasRaw(reflect.TypeFor[T]()) {
		var zero T
		checkValue(f, label+", empty", c, zero)
	}
	return v
}

// checkValue compares the encoding of a value with the recorded bytes, and the value that is
// decoded from these with the given one.
func checkValue[T any](f *File, label string, c Codec, want T) {
	f.tb.Helper()
	encoded, err := c.Marshal(want)
	if err != nil {
		f.tb.Fatalf("%s: %v", label, err)
	}
	f.Bytes(label, encoded)
	if _, ok := f.recorded[label]; !ok {
		return // f.Bytes has reported it
	}
	var got T
	if err := c.Unmarshal(f.Recorded(label), &got); err != nil {
		f.tb.Errorf("%s: decode the recorded bytes: %v", label, err)
	} else if !reflect.DeepEqual(got, want) {
		f.tb.Errorf("%s: recorded bytes decode as\n %+v\nwant\n %+v", label, got, want)
	}
}
