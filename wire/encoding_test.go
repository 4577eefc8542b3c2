package wire

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/umberdeal/umberdeal/internal/golden"
)

var msgpackCodec = golden.Codec{Marshal: Marshal, Unmarshal: func(b []byte, v any) error { return Unmarshal(b, v) }}

// Users, workers, the cloud and the key-value store are other programs. A change of a message's
// encoding would break them, so each encoding must match its recorded bytes.
func TestMessagesEncodeAsRecorded(t *testing.T) {
	f := golden.Open(t, "messages.golden")
	golden.CheckEncoding[Job](f, "user: submission", msgpackCodec)
	golden.CheckEncoding[Job](f, "user: submission without a zone", msgpackCodec, func(j *Job) { j.Zone, j.DeadlineS, j.Types = "", nil, nil })
	golden.CheckEncoding[JobStatus](f, "user: answer", msgpackCodec)
	golden.CheckEncoding[Error](f, "error", msgpackCodec)
	golden.CheckEncoding[Heartbeat](f, "worker: report", msgpackCodec)
	golden.CheckEncoding[TaskStatus](f, "worker: task in a report", msgpackCodec)
	golden.CheckEncoding[Command](f, "worker: command", msgpackCodec)
	golden.CheckEncoding[HeartbeatAnswer](f, "worker: answer", msgpackCodec)
	golden.CheckEncoding[Redirect](f, "worker: redirection", msgpackCodec)
	golden.CheckEncoding[DirectCommands](f, "worker: direct commands", msgpackCodec)
	golden.CheckEncoding[Types](f, "cloud: machine types", msgpackCodec)
	golden.CheckEncoding[MachineType](f, "cloud: machine type", msgpackCodec)
	golden.CheckEncoding[Rental](f, "cloud: rental", msgpackCodec)
	golden.CheckEncoding[Names](f, "cloud: names", msgpackCodec)
	golden.CheckEncoding[MachineList](f, "cloud: list", msgpackCodec)
	golden.CheckEncoding[ListedMachine](f, "cloud: listed machine", msgpackCodec)
	golden.CheckEncoding[Entry](f, "state: entry", msgpackCodec)
	golden.CheckEncoding[Listing](f, "state: listing", msgpackCodec)
	golden.CheckEncoding[Guard](f, "state: condition", msgpackCodec)
	golden.CheckEncoding[Op](f, "state: change", msgpackCodec)
	golden.CheckEncoding[Op](f, "state: put", msgpackCodec, func(o *Op) { o.Delete, o.Lease = "", 0 })
	golden.CheckEncoding[Txn](f, "state: transaction", msgpackCodec)
	golden.CheckEncoding[TxnAnswer](f, "state: answer to a transaction", msgpackCodec)
	golden.CheckEncoding[NewLease](f, "state: new lease", msgpackCodec)
	golden.CheckEncoding[LeaseAnswer](f, "state: lease", msgpackCodec)
	golden.CheckEncoding[Events](f, "state: events", msgpackCodec)
	golden.CheckEncoding[Event](f, "state: event", msgpackCodec)
}

// Submissions have a decoder of their own, which reads them field by field. It must accept the
// recorded submissions and reject malformed ones with the recorded errors.
func TestSubmissionsDecodeAsRecorded(t *testing.T) {
	f := golden.Open(t, "submissions.golden")
	deadline := 90.5
	full := Job{ID: "wk-000412", Class: "class", Team: "team", Kind: KindGang, Priority: PriorityHigh, Tasks: 3, CPUs: 1.5, GPUs: 2, MemoryGB: 3.5, Image: "image:v1",
		ImageGB: 4.5, Types: []string{"m4", "m8"}, Zone: "a", OneZone: true, Spread: true, Spot: true, EstimateS: 5.5, CheckpointS: 6.5, SaveS: 7.5, DeadlineS: &deadline}
	minimal := Job{ID: "wk-000413", Class: "class", Team: "team", Kind: KindArray, Priority: PriorityLow, Tasks: 1, MemoryGB: 1, Image: "image"}
	for label, j := range map[string]Job{"every field": full, "the fewest fields": minimal} {
		encoded, err := Marshal(j)
		if err != nil {
			t.Fatal(err)
		}
		f.Bytes(label, encoded)
		got, err := DecodeJob(f.Recorded(label))
		if err != nil || !reflect.DeepEqual(got, j) {
			t.Errorf("%s: got\n %+v, %v\nwant\n %+v", label, got, err, j)
		}
	}
	for reason, body := range map[string][]byte{
		"no map":       {0x93, 1, 2, 3},
		"no id":        {0x80},
		"larger":       bytes.Repeat([]byte{0xc0}, MaxBody+1),
		"no such kind": mustMarshal(t, Job{ID: "wk-000414", Class: "c", Team: "t", Kind: "other", Priority: PriorityLow, Tasks: 1, CPUs: 1, Image: "i"}),
		"no tasks":     mustMarshal(t, Job{ID: "wk-000414", Class: "c", Team: "t", Kind: KindArray, Priority: PriorityLow, CPUs: 1, Image: "i"}),
		"needs nothing": mustMarshal(t, Job{ID: "wk-000414", Class: "c", Team: "t", Kind: KindArray, Priority: PriorityLow, Tasks: 1,
			Image: "i"}),
	} {
		j, err := DecodeJob(body)
		if err == nil {
			t.Fatalf("%s: accepted as %+v, want an error", reason, j)
		}
		f.Text("refused, "+reason, j.ID+" "+err.Error())
	}
}

func mustMarshal(t *testing.T, v any) []byte {
	t.Helper()
	b, err := Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Constants and paths on the wire are part of the protocol and must not change.
func TestConstantsAreAsRecorded(t *testing.T) {
	f := golden.Open(t, "words.golden")
	for name, word := range map[string]string{
		"content type": ContentType, "prefix of ids": JobPrefix, "name of a task": TaskName("wk-000412", 7),
		"kind array": KindArray, "kind gang": KindGang, "kind service": KindService,
		"priority production": PriorityProduction, "priority high": PriorityHigh, "priority normal": PriorityNormal, "priority low": PriorityLow,
		"job pending": JobPending, "job running": JobRunning, "job done": JobDone, "job cancelled": JobCancelled,
		"path of jobs": PathJobs, "path of readiness": PathReady, "path of reports": PathHeartbeat, "path of commands": PathCommands, "path of inspection": PathInspect,
		"task fetching": TaskFetching, "task waiting": TaskWaiting, "task running": TaskRunning, "task saving": TaskSaving, "task exited": TaskExited,
		"exit done": ExitDone, "exit stopped": ExitStopped, "exit peers": ExitPeers, "exit alone": ExitAlone, "exit error": ExitError, "exit no room": ExitNoRoom,
		"exit busy": ExitBusy, "exit unknown": ExitUnknown, "op start": OpStart, "op stop": OpStop, "op forget": OpForget,
		"machine booting": MachineBooting, "machine running": MachineRunning, "machine failed": MachineFailed,
	} {
		f.Text(name, word)
	}
	f.Number("largest body", MaxBody)
	f.Number("most tasks", MaxTasks)
}
