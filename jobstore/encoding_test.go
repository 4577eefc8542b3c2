package jobstore

import (
	"reflect"
	"testing"

	"github.com/umberdeal/umberdeal/internal/golden"
	"github.com/umberdeal/umberdeal/wire"
)

var msgpackCodec = golden.Codec{Marshal: wire.Marshal, Unmarshal: func(b []byte, v any) error { return wire.Unmarshal(b, v) }}

// Stored records may have been written by earlier program versions, and earlier versions read them
// during a rolling upgrade: the encoding of every kind of record must not change.
func TestStoredRecordsKeepTheirBytes(t *testing.T) {
	f := golden.Open(t, "records.golden")
	golden.CheckEncoding[JobRecord](f, "job", msgpackCodec)
	golden.CheckEncoding[JobRecord](f, "final", msgpackCodec, func(r *JobRecord) { r.State = wire.JobDone })
	golden.CheckEncoding[Reservation](f, "reserve", msgpackCodec)
	golden.CheckEncoding[SharedKey](f, "reserve's reference", msgpackCodec)
	golden.CheckEncoding[PlacementPage](f, "placement page", msgpackCodec)
	golden.CheckEncoding[PlacementChunk](f, "chunk", msgpackCodec)
	golden.CheckEncoding[Placement](f, "placement", msgpackCodec)
	golden.CheckEncoding[JobPage](f, "intake page, closed", msgpackCodec)
	golden.CheckEncoding[JobPage](f, "intake page, open", msgpackCodec, func(r *JobPage) { r.Closed = false })
	golden.CheckEncoding[JobPageEntry](f, "intake entry", msgpackCodec)
	golden.CheckEncoding[SchemaRecord](f, "form", msgpackCodec)
	golden.CheckEncoding[ScaleOutRecord](f, "rental", msgpackCodec)
	golden.CheckEncoding[ScaleInRecord](f, "return", msgpackCodec)
	golden.CheckEncoding[RebalanceCycle](f, "cycle", msgpackCodec)
	golden.CheckEncoding[Move](f, "move", msgpackCodec)
	golden.CheckEncoding[wire.Types](f, "types", msgpackCodec)
	golden.CheckEncoding[QuarantinedPage](f, "record set aside", msgpackCodec, func(a *QuarantinedPage) { a.Mark = quarantineMark })
	golden.CheckEncoding[RecoveryCopy](f, "memory of a record", msgpackCodec)
	golden.CheckEncoding[PlanHead](f, "plan head", msgpackCodec, func(h *PlanHead) { h.Versions = h.Versions[1:] })
	golden.CheckEncoding[PlanVersion](f, "plan version", msgpackCodec)
	golden.CheckEncoding[planPiece](f, "plan text", msgpackCodec)
}

// Records encoded as arrays depend on the order of their fields. The values here are set by field name,
// so that swapped fields are noticed: golden.Filled assigns values in field order and would hide that.
func TestFieldsOfArraysKeepTheirOrder(t *testing.T) {
	f := golden.Open(t, "arrays.golden")
	for label, v := range map[string]any{
		"placement":        Placement{Task: 3, Attempt: 5, Machine: "host-7"},
		"record set aside": QuarantinedPage{Mark: quarantineMark, OriginalKey: "w/j/+2", OriginalVersion: 9, QuarantinedAtMs: 11, Raw: wire.Raw("\xa3raw")},
	} {
		raw, err := wire.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		f.Bytes(label, raw)
	}
}

// Each decoder accepts what earlier program versions wrote for its kind of record, and a quarantined
// page is not taken for a job page.
func TestStoredRecordsAreReadByTheirOwnKind(t *testing.T) {
	f := golden.OpenRead(t, "records.golden")
	decoders := map[string]func(raw wire.Raw) (any, error){
		"job":                 func(raw wire.Raw) (any, error) { return DecodeJob(golden.Filled[JobRecord]().Job.ID, raw) },
		"final":               func(raw wire.Raw) (any, error) { return DecodeFinal(raw) },
		"placement page":      func(raw wire.Raw) (any, error) { return DecodePlacementPage(raw) },
		"intake page, closed": func(raw wire.Raw) (any, error) { return DecodeJobPage(raw) },
		"form":                func(raw wire.Raw) (any, error) { return DecodeSchema(raw) },
		"plan head":           func(raw wire.Raw) (any, error) { return decodePlanHead(raw) },
	}
	want := map[string]any{
		"job": golden.Filled[JobRecord](), "placement page": golden.Filled[PlacementPage](), "intake page, closed": golden.Filled[JobPage](),
		"form": golden.Filled[SchemaRecord](),
	}
	over := golden.Filled[JobRecord]()
	over.State = wire.JobDone
	want["final"] = over
	head := golden.Filled[PlanHead]()
	head.Versions = head.Versions[1:]
	want["plan head"] = head
	for label, decode := range decoders {
		got, err := decode(f.Recorded(label))
		if err != nil || !reflect.DeepEqual(got, want[label]) {
			t.Errorf("%s: read as\n %+v, %v\nand not as\n %+v", label, got, err, want[label])
		}
	}
	aside := golden.Filled[QuarantinedPage]()
	aside.Mark = quarantineMark
	if got, ok := DecodeQuarantinedPage(f.Recorded("record set aside")); !ok || !reflect.DeepEqual(got, aside) {
		t.Errorf("what was set aside is read as %+v, %v", got, ok)
	}
	if _, err := DecodeJobPage(f.Recorded("record set aside")); err == nil {
		t.Error("what was set aside is read as a page of jobs")
	}
}

// Keys, and constants that are part of records, must stay as earlier program versions wrote them.
func TestKeysKeepTheirForm(t *testing.T) {
	f := golden.Open(t, "keys.golden")
	for name, key := range map[string]string{
		"active": ActivePrefix, "jobs": JobPrefix, "rentals": ScaleOutPrefix, "cycles": RebalanceCyclePrefix, "types": MachineTypesKey, "returns": ScaleInKey,
		"form": SchemaKey, "copy of the form": SchemaCopyKey, "apps": AppPrefix, "notes": PlanStatePrefix,
		"plan head": PlanHeadKey, "copy of the plan head": planHeadCopyKey, "plan asked for": PlanRequestedKey, "plan text": planTextKey("7-abc", 3),
		"job": JobKey("wk-000412"), "final": FinalKey("wk-000412"), "placement page": PlacementPageKey(17), "head": HeadPageKey(2), "sealed page": SealedPageKey(2, 31),
	} {
		f.Text(name, key)
	}
	for name, n := range map[string]int{
		"chunk size": ChunkSize, "form of keys": SchemaJobKeys, "form of intake": SchemaJobPages, "form of plans": SchemaPlans, "newest form": LatestSchema,
		"end: done": int(OutcomeDone), "end: error": int(OutcomeFailed), "end: lost": int(OutcomeLost), "end: preempted": int(OutcomePreempted), "end: released": int(OutcomeReleased), "end: refused": int(OutcomeRefused),
	} {
		f.Number(name, n)
	}
	form := SchemaRecord{Version: SchemaJobPages, Buckets: 7}
	for _, id := range []string{"wk-000001", "wk-000412", "wk-123456", "wk-900000000000000000"} {
		f.Number("bucket of "+id, form.Bucket(id))
	}
}
