// Application of new versions of the operators' plan.

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
var ErrPlanUnsupported = errors.New("not every node supports plans yet; start this version on all nodes with ledger.intake set, then apply again")

// PlanConflictError means that the version in force is not the one on which a change is based. Both are
// version numbers. 0 means no plan.
type PlanConflictError struct{ Base, Current int }

func (e *PlanConflictError) Error() string {
	return fmt.Sprintf("it builds on version %d, and version %d holds: look at what came between, and apply again", e.Base, e.Current)
}

// PlanChange is a request to apply a new version of the plan.
type PlanChange struct {
	Base     int // number of the version on which it is based; 0 if there is no plan
	Text     string
	By, Note string
	At       time.Time // when the change was requested
}

// ApplyPlan commits a text as the next version of the plan, which is then in force, and returns that
// version. Of two concurrent changes with the same base, one is applied and the other fails with a
// PlanConflictError. It returns ErrPlanUnsupported or ErrNewerSchema if the stored schema does not permit
// the change. After an error of package kvstore the change may have been applied. Read the plan's
// versions to find out.
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
	// head. The last piece is written together with the head. A text is then complete only if it was
	// committed as a version. planHeadFromTexts relies on this.
	last := len(puts) - 1
	for _, put := range puts[:last] {
		err := commitOnce(ctx, kv, []wire.Guard{{Key: put.Put}}, []wire.Op{put}, func() bool { return keyExists(ctx, kv, put.Put) })
		if err != nil {
			return PlanVersion{}, fmt.Errorf("write the plan's text: %w", err)
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
	// The random part distinguishes the keys from those of another draft of the same number, whose
	// writer failed halfway or is still running.
	v.Draft = fmt.Sprintf("%d-%08x", v.Number, rand.Uint32())
	text := splitPlanText(c.Text, limits.pageBytes()) // head, copy and a piece fit into a transaction
	v.Pieces = len(text)
	puts := make([]wire.Op, 0, len(text))
	for k, t := range text {
		puts = append(puts, wire.Op{Put: planTextKey(v.Draft, k), Value: planPiece{t, v.Pieces, v.Digest}})
	}
	return v, puts
}

// splitPlanText splits a text into pieces of up to maxBytes. The key-value store counts the bytes of the
// JSON encoding, which includes escapes.
func splitPlanText(text string, maxBytes int) []string {
	const maxEscapeBytes = 6 // an escape such as \u00e9
	var pieces []string
	from, size := 0, 0
	for i, r := range text {
		cost := utf8.RuneLen(r)
		if r < 0x20 || r >= 0x80 || strings.ContainsRune(`"\<>&`, r) {
			cost = maxEscapeBytes * max(1, cost)
		}
		if size+cost > maxBytes && i > from {
			pieces = append(pieces, text[from:i])
			from, size = i, 0
		}
		size += cost
	}
	return append(pieces, text[from:])
}

// withVersion returns a head that lists v in addition to the versions of h. It drops the oldest versions if
// there are more than maxPlanVersions or they do not fit into a value.
func (h PlanHead) withVersion(v PlanVersion, limits Limits) PlanHead {
	next := PlanHead{Versions: append([]PlanVersion{v}, h.Versions...)}
	next.Versions = next.Versions[:min(len(next.Versions), maxPlanVersions)]
	for len(next.Versions) > 1 && next.size() > limits.pageBytes() {
		next.Versions = next.Versions[:len(next.Versions)-1]
	}
	return next
}

// size returns an upper bound of the bytes that the key-value store counts for a head.
func (h PlanHead) size() int { return encodedSize(h) }

// truncate limits the length of the free text that is stored with a version.
func truncate(s string) string {
	const maxBytes = 120
	if len(s) <= maxBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxBytes], "")
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

// planConflict returns a PlanConflictError if err is a conflict and another version has been applied.
// Otherwise it returns err.
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

// commitOnce commits a transaction whose guards let it succeed only once. It retries until the outcome is
// known or ctx ends. After a lost response, the cause of a conflict may be an earlier attempt that was
// applied. wasApplied reports whether this is the case.
func commitOnce(ctx context.Context, kv Client, guards []wire.Guard, ops []wire.Op, wasApplied func() bool) error {
	const firstWait, maxWait = 200 * time.Millisecond, 2 * time.Second
	for wait := firstWait; ; wait = min(2*wait, maxWait) {
		_, err := kv.CompareAndSwap(ctx, guards, ops)
		var conflict *kvstore.ConflictError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &conflict):
			if wasApplied() {
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
	// maxSchemaReads is how often the schema is read during the wait for the leader to raise it.
	maxSchemaReads     = 31
	schemaReadInterval = 500 * time.Millisecond
)

// ensurePlanSchema requests SchemaPlans and waits until it is in force. From then on, a version of this
// program that does not support plans refuses to lead instead of ignoring the plan. It returns the version
// of SchemaKey, or ErrPlanUnsupported if the leader does not raise the schema in time.
func ensurePlanSchema(ctx context.Context, kv Client) (uint64, error) {
	for attempt := range maxSchemaReads {
		e, schema, err := readSchema(ctx, kv)
		switch {
		case err != nil:
			return 0, err
		case schema.Version > LatestSchema:
			return 0, ErrNewerSchema
		case schema.Version >= SchemaPlans:
			return e.Version, nil
		}
		if attempt == 0 {
			if err := requestPlans(ctx, kv); err != nil {
				return 0, err
			}
		}
		if attempt < maxSchemaReads-1 && !call.Pause(ctx, schemaReadInterval) {
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

// requestPlans requests that the leader raise the schema to SchemaPlans.
func requestPlans(ctx context.Context, kv Client) error {
	requestedBefore := func() bool { return true } // a conflict means that the request exists
	return commitOnce(ctx, kv, []wire.Guard{{Key: PlanRequestedKey}}, []wire.Op{{Put: PlanRequestedKey, Value: true}}, requestedBefore)
}

// deleteOrphanedTexts deletes the texts that no listed version refers to. A draft can only be committed as
// the version after the current one, so a draft with a lower number will never be committed.
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
