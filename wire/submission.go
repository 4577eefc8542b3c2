// Decoding and validation of users' job submissions.

package wire

import (
	"bytes"
	"errors"
	"fmt"
)

// MaxTasks is the largest number of tasks of a job.
const MaxTasks = 100_000

// ErrMalformed is wrapped by errors about invalid input. Such input is rejected with status 400.
var ErrMalformed = errors.New("malformed")

// DecodeJob decodes a submission field by field, so that the error names the first invalid field.
// The error wraps ErrMalformed. In this case the returned job has its ID set if the body holds a
// valid one, because a repeated submission of an accepted job succeeds even if its body is malformed.
func DecodeJob(body []byte) (Job, error) {
	if len(body) > MaxBody {
		return Job{ID: findID(body)}, fmt.Errorf("%w: body over 64 KiB", ErrMalformed)
	}
	values, err := decodeFields(body)
	if err != nil {
		return Job{ID: findID(body)}, fmt.Errorf("%w: not a MessagePack map with text keys: %w", ErrMalformed, err)
	}
	f := fields{values: values}
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
	if v, ok := values["halle"]; ok && v != nil {
		j.Zone = f.text("halle")
	}
	j.OneZone = f.flag("oneZone")
	j.Spread = f.flag("apart")
	j.Spot = f.flag("pretes")
	j.EstimateS = f.amount("dureeS")
	j.CheckpointS = f.amount("jalonS")
	j.SaveS = f.amount("sauvegardeS")
	if v, ok := values["echeanceS"]; ok && v != nil {
		d := f.amount("echeanceS")
		j.DeadlineS = &d
	}
	return j, f.err
}

// findID returns the job id in a body that can't be decoded, or "" if there is none.
func findID(body []byte) string {
	for {
		_, rest, found := bytes.Cut(body, []byte("\xa6nameId"))
		if !found {
			return ""
		}
		// The id is encoded as a string of fewer than 32 bytes, or with a length field of one byte.
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
