package jobstore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/zeebo/xxh3"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// ErrPlanUnsupported means that the leader has not raised the schema to SchemaPlans, because not every
// controller is known to support it.
var ErrPlanUnsupported = errors.New("not every node reads plans yet: start this version on all of them (with ledger.intake), and apply again")

// PlanConflictError means that the version in force is not the one on which a change is based.
type PlanConflictError struct{ Base, Current int }

func (e *PlanConflictError) Error() string {
	return fmt.Sprintf("it builds on version %d, and version %d holds: look at what came between, and apply again", e.Base, e.Current)
}

// PlanChange is a request to apply a new version of the plan.
type PlanChange struct {
	Base     int // number of the version on which it is based; 0 if there is no plan
	Text     string
	By, Note string
	At       time.Time
}

// ApplyPlan commits a text as the next version of the plan, which is then in force. Of two concurrent
// changes with the same base one is applied, and the other fails with a PlanConflictError. After an error
// of package kvstore the change may or may not have been applied: read the plan's versions to find out.
func ApplyPlan(ctx context.Context, kv Client, limits Limits, c PlanChange) (PlanVersion, error) {
	schemaVersion, err := ensurePlanSchema(ctx, kv)
	if err != nil {
		return PlanVersion{}, err
	}
	head, err := ReadPlanHead(ctx, kv)
	if err != nil {
		return PlanVersion{}, err
	}
	if head.Current() != c.Base {
		return PlanVersion{}, &PlanConflictError{c.Base, head.Current()}
	}
	v, puts := newPlanVersion(head.Current()+1, c, limits)
	// A text may be too large for one transaction, so all pieces but the last are written before the
	// head. The last is written together with it: then a text is complete only if it was committed as a
	// version, which planHeadFromTexts relies on if no head can be decoded.
	last := len(puts) - 1
	for _, put := range puts[:last] {
		err := commitOnce(ctx, kv, []wire.Guard{{Key: put.Put}}, []wire.Op{put}, func() bool { return keyExists(ctx, kv, put.Put) })
		if err != nil {
			return PlanVersion{}, fmt.Errorf("the plan's text: %w", err)
		}
	}
	next := head.withVersion(v, limits)
	guards := []wire.Guard{{Key: PlanHeadKey, Version: head.Version}, {Key: SchemaKey, Version: schemaVersion}}
	ops := []wire.Op{{Put: PlanHeadKey, Value: next}, {Put: planHeadCopyKey, Value: next}, puts[last]}
	err = commitOnce(ctx, kv, guards, ops, func() bool { return isApplied(ctx, kv, v) })
	if err != nil {
		return PlanVersion{}, planConflict(ctx, kv, c.Base, err)
	}
	deleteOrphanedTexts(ctx, kv, next)
	return v, nil
}

// newPlanVersion returns the version for a change, and the puts of the pieces of its text.
func newPlanVersion(number int, c PlanChange, limits Limits) (PlanVersion, []wire.Op) {
	v := PlanVersion{
		Number: number, Digest: xxh3.HashString(c.Text),
		AtMs: c.At.UnixMilli(), By: truncate(c.By), Note: truncate(c.Note),
	}
	// The random part keeps the keys apart from those of another draft of the same number, left by a
	// writer that failed halfway or is still running.
	v.Draft = fmt.Sprintf("%d-%08x", v.Number, rand.Uint32())
	text := splitPlanText(c.Text, limits.pageBytes()) // head, copy and a piece fit into a transaction
	v.Pieces = len(text)
	puts := make([]wire.Op, 0, len(text))
	for k, t := range text {
		puts = append(puts, wire.Op{Put: planTextKey(v.Draft, k), Value: planPiece{t, v.Pieces, v.Digest}})
	}
	return v, puts
}

// splitPlanText splits a text into pieces of up to maxBytes, as the key-value store counts bytes: of the
// JSON encoding, with escapes.
func splitPlanText(text string, maxBytes int) []string {
	const maxEscape = 6 // bytes of an escape such as \u00e9
	var out []string
	from, size := 0, 0
	for i, r := range text {
		cost := utf8.RuneLen(r)
		if r < 0x20 || r >= 0x80 || strings.ContainsRune(`"\<>&`, r) {
			cost = maxEscape * max(1, cost)
		}
		if size+cost > maxBytes && i > from {
			out = append(out, text[from:i])
			from, size = i, 0
		}
		size += cost
	}
	return append(out, text[from:])
}

// withVersion returns the head that results from applying v. It drops the oldest versions if there are more
// than maxPlanVersions or they do not fit into a value.
func (h PlanHead) withVersion(v PlanVersion, limits Limits) PlanHead {
	next := PlanHead{Versions: append([]PlanVersion{v}, h.Versions...)}
	next.Versions = next.Versions[:min(len(next.Versions), maxPlanVersions)]
	for len(next.Versions) > 1 && next.size() > limits.pageBytes() {
		next.Versions = next.Versions[:len(next.Versions)-1]
	}
	return next
}

// size is an upper bound of what the key-value store counts for a head.
func (h PlanHead) size() int {
	raw, err := wire.Marshal(h)
	if err != nil {
		return 0 // the commit will fail to encode it as well, and return the error
	}
	return wire.JSONSize(raw)
}

// truncate bounds the length of the free text that is stored with a version.
func truncate(s string) string {
	const most = 120
	if len(s) <= most {
		return s
	}
	return strings.ToValidUTF8(s[:most], "")
}

// isApplied reports whether the stored head lists a version with v's draft.
func isApplied(ctx context.Context, kv KeyValueReader, v PlanVersion) bool {
	head, err := ReadPlanHead(ctx, kv)
	if err != nil {
		return false
	}
	got, ok := head.Find(v.Number)
	return ok && got.Draft == v.Draft
}

func keyExists(ctx context.Context, kv KeyValueReader, key string) bool {
	e, err := kv.Get(ctx, key)
	return err == nil && e.Version != 0
}

// planConflict turns a conflict into a PlanConflictError if another version has been applied.
func planConflict(ctx context.Context, kv KeyValueReader, base int, err error) error {
	var conflict *kvstore.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	head, readErr := ReadPlanHead(ctx, kv)
	if readErr != nil || head.Current() == base {
		return err
	}
	return &PlanConflictError{base, head.Current()}
}

// commitOnce commits a transaction whose guards let it succeed only once, and retries it until the
// outcome is known or ctx ends. After a lost response, a conflict may be caused by an earlier try that
// was applied: done reports whether that is so.
func commitOnce(ctx context.Context, kv Client, guards []wire.Guard, ops []wire.Op, done func() bool) error {
	const firstWait, maxWait = 200 * time.Millisecond, 2 * time.Second
	for wait := firstWait; ; wait = min(2*wait, maxWait) {
		_, err := kv.CompareAndSwap(ctx, guards, ops)
		var conflict *kvstore.ConflictError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &conflict):
			if done() {
				return nil
			}
			return err
		case errors.Is(err, kvstore.ErrInvalidRequest):
			return err
		}
		if !call.Pause(ctx, wait/2+rand.N(wait)) {
			return err
		}
	}
}

const (
	// schemaTries is how often the schema is read while waiting for the leader to raise it.
	schemaTries = 31
	schemaWait  = 500 * time.Millisecond
)

// ensurePlanSchema asks for SchemaPlans and waits until it is in force. From then on a version of this
// program that does not support plans refuses to lead, instead of ignoring the plan. It returns the
// version of SchemaKey.
func ensurePlanSchema(ctx context.Context, kv Client) (uint64, error) {
	for try := range schemaTries {
		e, schema, err := readSchema(ctx, kv)
		switch {
		case err != nil:
			return 0, err
		case schema.Version > LatestSchema:
			return 0, ErrNewerSchema
		case schema.Version >= SchemaPlans:
			return e.Version, nil
		}
		if try == 0 {
			if err := requestPlans(ctx, kv); err != nil {
				return 0, err
			}
		}
		if try < schemaTries-1 && !call.Pause(ctx, schemaWait) {
			return 0, ctx.Err()
		}
	}
	return 0, ErrPlanUnsupported
}

func readSchema(ctx context.Context, kv KeyValueReader) (wire.Entry, SchemaRecord, error) {
	var schema SchemaRecord
	e, err := kv.Get(ctx, SchemaKey)
	if err != nil || e.Version == 0 {
		return e, schema, err
	}
	if err := wire.Unmarshal(e.Value, &schema); err != nil {
		return e, schema, fmt.Errorf("%s: %w", SchemaKey, err)
	}
	return e, schema, nil
}

// requestPlans asks the leader to raise the schema.
func requestPlans(ctx context.Context, kv Client) error {
	requestedBefore := func() bool { return true } // what a conflict means
	return commitOnce(ctx, kv, []wire.Guard{{Key: PlanRequestedKey}}, []wire.Op{{Put: PlanRequestedKey, Value: true}}, requestedBefore)
}

// deleteOrphanedTexts deletes the texts that no version refers to. A draft can only be committed as the
// version after the current one, so one with a lower number will never be.
func deleteOrphanedTexts(ctx context.Context, kv Client, h PlanHead) {
	texts, _, err := kv.List(ctx, planTextPrefix)
	if err != nil {
		return // the next change that is applied deletes them
	}
	for _, e := range texts {
		number, draft, ok := parsePlanTextKey(e.Key)
		if !ok || number > h.Current() || h.hasDraft(draft) {
			continue
		}
		if _, err := kv.CompareAndSwap(ctx, []wire.Guard{{Key: e.Key, Version: e.Version}}, []wire.Op{{Delete: e.Key}}); err != nil {
			return
		}
	}
}
