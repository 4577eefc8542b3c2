package ledger

import (
	"encoding/binary"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/umberdeal/umberdeal/wire"
)

// This file is the form in which users' unfinished jobs share keys while many come.
// A job's id leads to a bucket, and each bucket has a head, to which jobs are added
// under the condition that it has not changed. What the head has no room for
// moves to a sealed page of the bucket, from which jobs only leave. While few
// come the head is closed, and each has a key of its own under the condition that
// it still is. docs/ledger.md says why no id is accepted twice.

// Forms of the records. A form is written once every node reads it.
const (
	FormKeys   = 1 // a key for each unfinished job
	FormIntake = 2 // users' unfinished jobs share pages
	// Form is the newest that this program reads.
	Form = FormIntake
)

// FormKey says in which form records are written. It lies with the jobs, so that
// whoever knows the jobs knows it as of the same moment.
const FormKey = Active + "form"

// FormRecord is the value of FormKey; where there is none, the form is FormKeys.
type FormRecord struct {
	Form    int `msgpack:"f"`
	Buckets int `msgpack:"b"` // never changes once there are any: it says where an id belongs
}

// intake is where the pages of users' jobs lie. No job id begins with a plus.
const intake = Jobs + "+"

// HeadKey is the key of a bucket's head. It is never removed, so that a late
// transaction that would have made it anew fails.
func HeadKey(bucket int) string { return intake + strconv.Itoa(bucket) }

// SealedKey is the key of a page that was a bucket's head before.
func SealedKey(bucket int, seq uint64) string {
	return HeadKey(bucket) + "." + strconv.FormatUint(seq, 10)
}

// IsIntake says whether a key is that of a page of users' jobs.
func IsIntake(key string) bool { return strings.HasPrefix(key, intake) }

// IsHead says whether such a key is that of a bucket's head.
func IsHead(key string) bool { return IsIntake(key) && !strings.Contains(key[len(intake):], ".") }

// Bucket is where an id belongs.
func (f FormRecord) Bucket(id string) int {
	if f.Buckets <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(id) % uint64(f.Buckets))
}

// IntakeRecord is the value of a head or of a sealed page.
type IntakeRecord struct {
	Seq uint64 `msgpack:"s"` // of a head: the last page that was sealed
	// Closed: nothing is added to this head, which is empty; jobs have keys of
	// their own. A head that is not there is closed.
	Closed bool          `msgpack:"c,omitempty"`
	Jobs   []IntakeEntry `msgpack:"j"`
}

// IntakeEntry is a job on a page. Its record is decoded by itself, so that one
// that is damaged is named and the others go on.
type IntakeEntry struct {
	ID     string   `msgpack:"i"`
	Record wire.Raw `msgpack:"r"` // a JobRecord
}

// Without is the record without those jobs.
func (r IntakeRecord) Without(ids map[string]bool) IntakeRecord {
	out := IntakeRecord{Seq: r.Seq, Closed: r.Closed, Jobs: make([]IntakeEntry, 0, len(r.Jobs))}
	for _, e := range r.Jobs {
		if !ids[e.ID] {
			out.Jobs = append(out.Jobs, e)
		}
	}
	return out
}

// size is what an entry takes of its page, in the form in which the service
// counts.
func (e IntakeEntry) size() int { return 16 + len(e.ID) + jsonSize(e.Record) }

// Size is what a page takes, in the form in which the service counts.
func (r IntakeRecord) Size() int {
	n := 40
	for _, e := range r.Jobs {
		n += e.size()
	}
	return n
}

// jsonSize is how long a value is as JSON, at most: the service counts sizes in
// that form. What can't be read counts as if every byte were a long number.
func jsonSize(b []byte) int {
	n, rest, ok := jsonOne(b, 0)
	if !ok || len(rest) > 0 {
		return 21 * len(b)
	}
	return n
}

const deepest = 16

// jsonOne measures the first value of b.
func jsonOne(b []byte, depth int) (n int, rest []byte, ok bool) {
	if len(b) == 0 || depth > deepest {
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
			if one, rest, ok = jsonOne(rest, depth+1); !ok {
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
		if len(b) < 1+width {
			return 0, nil, false
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

// Decode reads a job's record from its page.
func (e IntakeEntry) Decode() (JobRecord, error) {
	var rec JobRecord
	if err := wire.Unmarshal(e.Record, &rec); err != nil {
		return rec, fmt.Errorf("job %s: %w", e.ID, err)
	}
	if rec.Job.ID != e.ID {
		return rec, fmt.Errorf("job %s: its record is that of %q", e.ID, rec.Job.ID)
	}
	return rec, nil
}
