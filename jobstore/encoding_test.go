// Tests that the stored format of records and keys does not change.

package jobstore

import (
	"reflect"
	"testing"

	"github.com/umberdeal/umberdeal/internal/golden"
	"github.com/umberdeal/umberdeal/wire"
)

var msgpackCodec = golden.Codec{Marshal: wire.Marshal, Unmarshal: func(b []byte, v any) error { return wire.Unmarshal(b, v) }}

// Earlier program versions wrote some of the stored records, and read the current ones during a rolling
// upgrade. The encoding of each kind of record must therefore not change.
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

// The encoding of records as arrays depends on the order of their fields. The test sets the values by
// field name to detect swapped fields. golden.Filled assigns values in field order and would hide a swap.
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

// Each decoder accepts the records of its kind that earlier program versions wrote. A quarantined page must
// not decode as a job page.
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
	final := golden.Filled[JobRecord]()
	final.State = wire.JobDone
	want["final"] = final
	head := golden.Filled[PlanHead]()
	head.Versions = head.Versions[1:]
	want["plan head"] = head
	for label, decode := range decoders {
		got, err := decode(f.Recorded(label))
		if err != nil || !reflect.DeepEqual(got, want[label]) {
			t.Errorf("%s: got\n %+v, %v\nwant\n %+v", label, got, err, want[label])
		}
	}
	quarantined := golden.Filled[QuarantinedPage]()
	quarantined.Mark = quarantineMark
	if got, ok := DecodeQuarantinedPage(f.Recorded("record set aside")); !ok || !reflect.DeepEqual(got, quarantined) {
		t.Errorf("quarantined page: got %+v, %v, want %+v", got, ok, quarantined)
	}
	if _, err := DecodeJobPage(f.Recorded("record set aside")); err == nil {
		t.Error("a quarantined page decodes as a job page")
	}
}

// Keys, and constants that are part of records, must stay the same as in earlier program versions.
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
	schema := SchemaRecord{Version: SchemaJobPages, Buckets: 7}
	for _, id := range []string{"wk-000001", "wk-000412", "wk-123456", "wk-900000000000000000"} {
		f.Number("bucket of "+id, schema.Bucket(id))
	}
}
