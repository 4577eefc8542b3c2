package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// MaxTasks is the largest job.
const MaxTasks = 100_000

// JobPrefix begins every job id.
const JobPrefix = "wk-"

// ErrMalformed marks input that is refused with 400.
var ErrMalformed = errors.New("malformed")

// ValidID says whether an id has the form that all job ids have: the prefix
// and six or more digits.
func ValidID(id string) bool { return hasIDForm(id, 20) }

// ValidUserID says whether an id may be one of a user's: those of more digits belong
// to jobs of other doors.
func ValidUserID(id string) bool { return hasIDForm(id, 18) }

func hasIDForm(id string, most int) bool {
	digits, ok := strings.CutPrefix(id, JobPrefix)
	if !ok || len(digits) < 6 || len(digits) > most {
		return false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// TaskName is how a task is called on the wire.
func TaskName(id string, task int) string { return id + "/" + strconv.Itoa(task) }

// ParseTaskName takes a task's name apart.
func ParseTaskName(name string) (id string, task int, ok bool) {
	id, num, found := strings.Cut(name, "/")
	if !found {
		return "", 0, false
	}
	task, err := strconv.Atoi(num)
	if err != nil || task < 0 || !ValidID(id) {
		return "", 0, false
	}
	return id, task, true
}

// DecodeJob reads a submission. Where it is malformed, the id is returned all
// the same if it could be read, since a known id is never refused.
func DecodeJob(body []byte) (Job, error) {
	if len(body) > MaxBody {
		return Job{ID: findID(body)}, fmt.Errorf("%w: body over 64 KiB", ErrMalformed)
	}
	m, err := decodeFields(body)
	if err != nil {
		return Job{ID: findID(body)}, fmt.Errorf("%w: not a MessagePack map with text keys: %w", ErrMalformed, err)
	}
	f := fields{m: m}
	var j Job
	j.ID = f.text("nameId")
	if f.err == nil && !ValidUserID(j.ID) {
		f.fail("nameId", "is not a job id")
		j.ID = ""
	}
	j.Class = f.text("filiere")
	j.Team = f.text("atelier")
	j.Kind = f.oneOf("facon", KindArray, KindGang, KindService)
	j.Priority = f.oneOf("rang", PriorityProduction, PriorityHigh, PriorityNormal, PriorityLow)
	j.Tasks = f.count("pieces", 1, MaxTasks)
	j.CPUs = f.amount("cpus")
	j.GPUs = f.amount("gpus")
	j.MemoryGB = f.amount("memoryGb")
	if f.err == nil && j.CPUs == 0 && j.GPUs == 0 && j.MemoryGB == 0 {
		f.fail("cpus", "a task must take something")
	}
	j.Image = f.text("gabarit")
	j.ImageGB = f.amount("pullGb")
	j.Types = f.texts("gammes")
	if v, ok := m["halle"]; ok && v != nil {
		j.Zone = f.text("halle")
	}
	j.OneZone = f.flag("oneZone")
	j.Spread = f.flag("apart")
	j.Spot = f.flag("pretes")
	j.EstimateS = f.amount("dureeS")
	j.CheckpointS = f.amount("jalonS")
	j.SaveS = f.amount("sauvegardeS")
	if v, ok := m["echeanceS"]; ok && v != nil {
		d := f.amount("echeanceS")
		j.DeadlineS = &d
	}
	return j, f.err
}

// salvageID finds the id in a body that can't be decoded whole; "" where there is
// none. A job that is accepted stays so whatever a repeated submission looks like.
func findID(body []byte) string {
	for {
		_, rest, found := bytes.Cut(body, []byte("\xa6nameId"))
		if !found {
			return ""
		}
		// A text of fewer than 32 bytes, or one with its length in a byte.
		body = rest
		n, head := 0, 1
		if len(rest) > 0 && rest[0]&0xe0 == 0xa0 {
			n = int(rest[0] & 0x1f)
		} else if len(rest) > 1 && rest[0] == 0xd9 {
			n, head = int(rest[1]), 2
		}
		if n > 0 && head+n <= len(rest) && ValidUserID(string(rest[head:head+n])) {
			return string(rest[head : head+n])
		}
	}
}

const (
	maxFieldNesting = 8 // of what an unknown field may hold
	maxListLength   = 1000
)

var errShape = errors.New("unexpected shape")

// decodeFields reads a map of scalars and lists of scalars; deeper values are
// checked and left out. Lengths are never believed beyond the body's own size:
// decoding straight into a map would let a body of five bytes claim room for
// millions of entries and end the process for memory.
func decodeFields(body []byte) (map[string]any, error) {
	r := bytes.NewReader(body)
	d := msgpack.NewDecoder(r)
	n, err := d.DecodeMapLen()
	if err != nil {
		return nil, err
	}
	if n < 0 || n > r.Len() {
		return nil, errShape
	}
	m := map[string]any{}
	for range n {
		key, err := d.DecodeString()
		if err != nil {
			return nil, err
		}
		v, err := decodeValue(d, r, maxFieldNesting)
		if err != nil {
			return nil, err
		}
		m[key] = v
	}
	if r.Len() > 0 {
		return nil, errShape
	}
	return m, nil
}

// nested stands for a map within the map, which no field of a job has.
type nestedMap struct{}

func decodeValue(d *msgpack.Decoder, r *bytes.Reader, depth int) (any, error) {
	code, err := d.PeekCode()
	if err != nil {
		return nil, err
	}
	isMap := msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32
	isList := msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32
	switch {
	case depth == 0 && (isMap || isList):
		return nil, errShape
	case isMap:
		n, err := d.DecodeMapLen()
		if err != nil || n > r.Len() {
			return nil, errors.Join(err, errShape)
		}
		for range 2 * max(n, 0) {
			if _, err := decodeValue(d, r, depth-1); err != nil {
				return nil, err
			}
		}
		return nestedMap{}, nil
	case isList:
		n, err := d.DecodeArrayLen()
		if err != nil || n > r.Len() {
			return nil, errors.Join(err, errShape)
		}
		list := []any{}
		for range max(n, 0) {
			v, err := decodeValue(d, r, depth-1)
			if err != nil {
				return nil, err
			}
			if len(list) <= maxListLength {
				list = append(list, v)
			}
		}
		return list, nil
	}
	return d.DecodeInterface()
}

// fields reads a decoded map and keeps the first error.
type fields struct {
	m   map[string]any
	err error
}

func (f *fields) fail(name, reason string) {
	if f.err == nil {
		f.err = fmt.Errorf("%w: field %s %s", ErrMalformed, name, reason)
	}
}

func (f *fields) text(name string) string {
	s, ok := f.m[name].(string)
	if !ok || s == "" || len(s) > 150 || strings.ContainsAny(s, " \t\r\n\x00") {
		f.fail(name, "must be text of 1 to 150 bytes without spaces")
		return ""
	}
	return s
}

func (f *fields) oneOf(name string, allowed ...string) string {
	s, _ := f.m[name].(string)
	for _, a := range allowed {
		if s == a {
			return s
		}
	}
	f.fail(name, "must be one of "+strings.Join(allowed, ", "))
	return ""
}

func (f *fields) flag(name string) bool {
	b, ok := f.m[name].(bool)
	if !ok {
		f.fail(name, "must be true or false")
	}
	return b
}

func (f *fields) number(name string) (float64, bool, bool) {
	switch v := f.m[name].(type) {
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

func (f *fields) amount(name string) float64 {
	v, _, ok := f.number(name)
	if !ok || math.IsNaN(v) || v < 0 || v > 1e9 {
		f.fail(name, "must be a number from 0 to 1e9")
		return 0
	}
	return v
}

func (f *fields) count(name string, low, high int) int {
	v, whole, ok := f.number(name)
	if !ok || !whole || v < float64(low) || v > float64(high) {
		f.fail(name, fmt.Sprintf("must be a whole number from %d to %d", low, high))
		return 0
	}
	return int(v)
}

func (f *fields) texts(name string) []string {
	v, ok := f.m[name]
	if !ok || v == nil {
		return nil
	}
	list, ok := v.([]any)
	if !ok || len(list) == 0 || len(list) > maxListLength {
		f.fail(name, "must be null or a list of 1 to 1000 texts")
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
