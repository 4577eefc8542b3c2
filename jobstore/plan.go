package jobstore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/zeebo/xxh3"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// This file keeps the versions of the operators' plan. docs/plan.md has the ways
// weighed. The head's version is the condition of whatever a leader decides by the
// plan; the texts lie beside it, in pieces that fit into a value, and are written
// before the head that names them, so that a plan is there as a whole or not at all.

// Keys of the plan.
const (
	PlanPrefix = "plan/"
	// PlanHeadKey says which version holds, and names the last ones.
	PlanHeadKey = "plan/head"
	// planHeadCopyKey has the same value, changed in the same transaction: it says
	// which version holds where the head can't be read.
	planHeadCopyKey = "plan/copy"
	// PlanRequestedKey is there from when a plan is first wanted: the leader then has
	// the records written in FormPlan, once every node reads that.
	PlanRequestedKey = "plan/asked"
	planTextPrefix   = "plan/t/"
	// PlanStatePrefix are what the plan's parts record. They change more often than the plan
	// itself, which every node watches.
	PlanStatePrefix = "note/"
)

// maxPlanVersions is how many versions stay readable.
const maxPlanVersions = 16

// PlanHead is the value of PlanHeadKey.
type PlanHead struct {
	Versions []PlanVersion `msgpack:"v"` // the newest first: the one that holds
}

// PlanVersion names a version of the plan. Numbers never repeat.
type PlanVersion struct {
	Number int    `msgpack:"n"`
	Draft  string `msgpack:"d"` // of its text
	Pieces int    `msgpack:"p"`
	Digest uint64 `msgpack:"h"` // xxh3 of its text
	AtMs   int64  `msgpack:"at"`
	By     string `msgpack:"by,omitempty"` // as far as known
	Note   string `msgpack:"note,omitempty"`
}

// planPiece is a part of a version's text. It says what belongs together, so that
// the texts alone tell what there was where no head can be read.
type planPiece struct {
	Text   string `msgpack:"t"`
	Pieces int    `msgpack:"p"`
	Digest uint64 `msgpack:"h"` // of the whole text
}

// Current is the number of the version that holds, 0 where there is none.
func (h PlanHead) Current() int {
	if len(h.Versions) == 0 {
		return 0
	}
	return h.Versions[0].Number
}

// Find finds a version; 0 is the current one.
func (h PlanHead) Find(number int) (PlanVersion, bool) {
	for _, v := range h.Versions {
		if v.Number == number || number == 0 {
			return v, true
		}
	}
	return PlanVersion{}, false
}

func planTextKey(draft string, piece int) string {
	return planTextPrefix + draft + "/" + strconv.Itoa(piece)
}

// parsePlanTextKey is the version that a text was written for.
func parsePlanTextKey(key string) (number int, draft string, ok bool) {
	rest, ok := strings.CutPrefix(key, planTextPrefix)
	if !ok {
		return 0, "", false
	}
	draft, _, ok = strings.Cut(rest, "/")
	num, _, ok2 := strings.Cut(draft, "-")
	number, err := strconv.Atoi(num)
	return number, draft, ok && ok2 && err == nil
}

var (
	// ErrNoPlan: no version of the plan is there.
	ErrNoPlan = errors.New("there is no plan")
	// ErrPlanForm: not every node is known to read plans yet.
	ErrPlanUnsupported = errors.New("not every node reads plans yet: start this version on all of them (with ledger.intake), and apply again")
	// ErrPlanDamaged: a text is not what was written.
	ErrPlanUnreadable = errors.New("the plan's record is damaged")
)

// PlanConflictError says that another version came between.
type PlanConflictError struct{ Base, Current int }

func (e *PlanConflictError) Error() string {
	return fmt.Sprintf("it builds on version %d, and version %d holds: look at what came between, and apply again", e.Base, e.Current)
}

// KeyValueReader is what reading the plan needs of the state service.
type KeyValueReader interface {
	Get(ctx context.Context, key string) (wire.Entry, error)
	List(ctx context.Context, prefix string) ([]wire.Entry, uint64, error)
}

// ReadPlanHead reads which versions there are. version is the head key's own, 0
// where there is no plan. A head that can't be read is named in trouble, and its
// copy holds.
func ReadPlanHead(ctx context.Context, s KeyValueReader) (h PlanHead, version uint64, trouble error, err error) {
	e, err := s.Get(ctx, PlanHeadKey)
	if err != nil {
		return h, 0, nil, err
	}
	if e.Version == 0 {
		return h, 0, nil, nil
	}
	if h, err := decodePlanHead(e.Value); err == nil {
		return h, e.Version, nil, nil
	}
	trouble = fmt.Errorf("%w: %s can't be read, its copy holds", ErrPlanUnreadable, PlanHeadKey)
	c, err := s.Get(ctx, planHeadCopyKey)
	if err != nil {
		return h, 0, nil, err
	}
	if h, err = decodePlanHead(c.Value); c.Version != 0 && err == nil {
		return h, e.Version, trouble, nil
	}
	trouble = fmt.Errorf("%w: neither %s nor %s can be read, the newest text holds", ErrPlanUnreadable, PlanHeadKey, planHeadCopyKey)
	h, err = planHeadFromTexts(ctx, s)
	return h, e.Version, trouble, err
}

// decodePlanHead reads a head; one without a version is damaged, since none is ever
// written.
func decodePlanHead(raw wire.Raw) (PlanHead, error) {
	var h PlanHead
	if err := wire.Unmarshal(raw, &h); err != nil {
		return PlanHead{}, err
	}
	if len(h.Versions) == 0 || len(h.Versions) > maxPlanVersions {
		return PlanHead{}, ErrPlanUnreadable
	}
	for i, v := range h.Versions {
		if v.Number < 1 || v.Pieces < 1 || i > 0 && v.Number >= h.Versions[i-1].Number {
			return PlanHead{}, ErrPlanUnreadable
		}
	}
	return h, nil
}

// ReadPlanText reads the text of a version. ErrPlanDamaged: it is not there as it
// was written.
func ReadPlanText(ctx context.Context, s KeyValueReader, v PlanVersion) (string, error) {
	var b strings.Builder
	for k := range v.Pieces {
		e, err := s.Get(ctx, planTextKey(v.Draft, k))
		if err != nil {
			return "", err
		}
		var p planPiece
		if e.Version == 0 || wire.Unmarshal(e.Value, &p) != nil {
			return "", fmt.Errorf("%w: piece %d of version %d", ErrPlanUnreadable, k, v.Number)
		}
		b.WriteString(p.Text)
	}
	if xxh3.HashString(b.String()) != v.Digest {
		return "", fmt.Errorf("%w: version %d is not what was written", ErrPlanUnreadable, v.Number)
	}
	return b.String(), nil
}

// splitPlanText cuts a text so that each piece fits into a value of so many bytes, in
// the form in which the service counts them.
func splitPlanText(text string, most int) []string {
	var out []string
	from, size := 0, 0
	for i, r := range text {
		cost := utf8.RuneLen(r)
		if r < 0x20 || r >= 0x80 || strings.ContainsRune(`"\<>&`, r) {
			cost = 6 * max(1, cost) // as escapes, at most
		}
		if size+cost > most && i > from {
			out = append(out, text[from:i])
			from, size = i, 0
		}
		size += cost
	}
	return append(out, text[from:])
}

// PlanChange is a new version, and the one that it builds on (0: none).
type PlanChange struct {
	Base     int
	Text     string
	By, Note string
	At       time.Time
}

// ApplyPlan makes a text the version that holds, and says which number it has. Of
// two at once one wins, and the other is told (*PlanMoved). With an error of
// package state the outcome is unknown: the history tells.
func ApplyPlan(ctx context.Context, s KeyValueStore, limits Limits, c PlanChange) (PlanVersion, error) {
	form, err := ensurePlanSchema(ctx, s)
	if err != nil {
		return PlanVersion{}, err
	}
	h, version, _, err := ReadPlanHead(ctx, s)
	if err != nil {
		return PlanVersion{}, err
	}
	if h.Current() != c.Base {
		return PlanVersion{}, &PlanConflictError{c.Base, h.Current()}
	}
	// A draft of the same number, of somebody who failed halfway, is never taken
	// for this one.
	v := PlanVersion{Number: h.Current() + 1, Digest: xxh3.HashString(c.Text), AtMs: c.At.UnixMilli(), By: truncate(c.By), Note: truncate(c.Note)}
	v.Draft = fmt.Sprintf("%d-%08x", v.Number, rand.Uint32())
	text := splitPlanText(c.Text, min(limits.valueBytes(), 18<<10)-256) // the heads and one of them fit into a transaction
	v.Pieces = len(text)
	var puts []wire.Op
	for k, t := range text {
		puts = append(puts, wire.Op{Put: planTextKey(v.Draft, k), Value: planPiece{t, v.Pieces, v.Digest}})
	}
	next := PlanHead{Versions: append([]PlanVersion{v}, h.Versions...)}
	next.Versions = next.Versions[:min(len(next.Versions), maxPlanVersions)]
	for len(next.Versions) > 1 && next.size() > min(limits.valueBytes(), 18<<10)-256 {
		next.Versions = next.Versions[:len(next.Versions)-1]
	}
	heads := []wire.Op{{Put: PlanHeadKey, Value: next}, {Put: planHeadCopyKey, Value: next}}
	// What is too large for one transaction goes ahead of the head that names it,
	// but for the last piece: a text is there as a whole only if it was committed as
	// a version, also where no head can be read to say so.
	last := len(puts) - 1
	for _, p := range puts[:last] {
		if err := commitOnce(ctx, s, []wire.Guard{{Key: p.Put}}, []wire.Op{p}, func() bool { return keyExists(ctx, s, p.Put) }); err != nil {
			return PlanVersion{}, fmt.Errorf("the plan's text: %w", err)
		}
	}
	heads = append(heads, puts[last])
	guards := []wire.Guard{{Key: PlanHeadKey, Version: version}, {Key: SchemaKey, Version: form}}
	err = commitOnce(ctx, s, guards, heads, func() bool {
		h, _, _, err := ReadPlanHead(ctx, s)
		got, ok := h.Find(v.Number)
		return err == nil && ok && got.Draft == v.Draft
	})
	var conflict *kvstore.ConflictError
	if errors.As(err, &conflict) {
		now, _, _, rerr := ReadPlanHead(ctx, s)
		if rerr == nil && now.Current() != c.Base {
			err = &PlanConflictError{c.Base, now.Current()}
		}
	}
	if err != nil {
		return PlanVersion{}, err
	}
	deleteOrphanedTexts(ctx, s, next)
	return v, nil
}

// size is what a head takes, in the form in which the service counts.
func (h PlanHead) size() int {
	raw, err := wire.Marshal(h)
	if err != nil {
		return 0 // numbers and text: the commit tells
	}
	return wire.JSONSize(raw)
}

// truncate bounds what people say of a version.
func truncate(s string) string {
	const most = 120
	if len(s) <= most {
		return s
	}
	return strings.ToValidUTF8(s[:most], "")
}

func keyExists(ctx context.Context, s KeyValueReader, key string) bool {
	e, err := s.Get(ctx, key)
	return err == nil && e.Version != 0
}

// commitOnce commits what its conditions let happen once only. A lost answer is made
// up for by asking again; a conflict may be the first try's doing, which done finds
// out.
func commitOnce(ctx context.Context, s KeyValueStore, guards []wire.Guard, ops []wire.Op, done func() bool) error {
	var err error
	for wait := 200 * time.Millisecond; ; wait = min(2*wait, 2*time.Second) {
		_, err = s.CompareAndSwap(ctx, guards, ops)
		var c *kvstore.ConflictError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &c):
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

// ensurePlanSchema makes sure that records are in a form that says that there may be a
// plan: a program that knows of none refuses to lead from then on. It returns the
// version of the form's record.
func ensurePlanSchema(ctx context.Context, s KeyValueStore) (uint64, error) {
	for try := 0; ; try++ {
		e, err := s.Get(ctx, SchemaKey)
		if err != nil {
			return 0, err
		}
		var form SchemaRecord
		if e.Version != 0 {
			if err := wire.Unmarshal(e.Value, &form); err != nil {
				return 0, fmt.Errorf("%s: %w", SchemaKey, err)
			}
		}
		if form.Version > LatestSchema {
			return 0, ErrNewerSchema
		}
		if form.Version >= SchemaPlans {
			return e.Version, nil
		}
		if try == 0 {
			_, err := s.CompareAndSwap(ctx, []wire.Guard{{Key: PlanRequestedKey}}, []wire.Op{{Put: PlanRequestedKey, Value: true}})
			var c *kvstore.ConflictError
			if err != nil && !errors.As(err, &c) {
				return 0, err
			}
		}
		if try == 30 {
			return 0, ErrPlanUnsupported
		}
		if !call.Pause(ctx, 500*time.Millisecond) {
			return 0, ctx.Err()
		}
	}
}

// planHeadFromTexts finds the versions by their texts alone, where neither head can be
// read: those that are whole and the only one of their number. A draft whose writer
// failed before it named it lacks its last piece; one of a program that wrote all
// pieces ahead can't be told from a version.
func planHeadFromTexts(ctx context.Context, s KeyValueReader) (PlanHead, error) {
	texts, _, err := s.List(ctx, planTextPrefix)
	if err != nil {
		return PlanHead{}, err
	}
	drafts := map[string]PlanVersion{}
	there := map[string]int{} // pieces of a draft
	of := map[int]int{}       // drafts of a number
	for _, e := range texts {
		n, draft, ok := parsePlanTextKey(e.Key)
		if ok {
			there[draft]++ // also one that is damaged: it is no draft's for that
		}
		var p planPiece
		if !ok || wire.Unmarshal(e.Value, &p) != nil || p.Pieces < 1 {
			continue
		}
		drafts[draft] = PlanVersion{Number: n, Draft: draft, Pieces: p.Pieces, Digest: p.Digest}
	}
	for draft, v := range drafts {
		if there[draft] < v.Pieces {
			delete(drafts, draft)
			continue
		}
		of[v.Number]++
	}
	var h PlanHead
	for _, v := range drafts {
		if of[v.Number] == 1 {
			h.Versions = append(h.Versions, v)
		}
	}
	slices.SortFunc(h.Versions, func(a, b PlanVersion) int { return b.Number - a.Number })
	h.Versions = h.Versions[:min(len(h.Versions), maxPlanVersions)]
	return h, nil
}

// ActivePlan is the version of the plan that holds.
type ActivePlan struct {
	PlanVersion        // the zero value: there is no plan
	HeadVersion uint64 // the version of PlanHeadKey, which decisions by the plan have as their condition
	Text        string
	Warnings    []error // what could not be read, newer than this version
}

// LoadPlan reads the newest version that can be read and that readable takes.
// ErrPlanDamaged: there is a plan, and no version of it can be read.
func LoadPlan(ctx context.Context, s KeyValueReader, readable func(text string) error) (ActivePlan, error) {
	h, version, trouble, err := ReadPlanHead(ctx, s)
	if err != nil {
		return ActivePlan{}, err
	}
	st := ActivePlan{HeadVersion: version}
	if version == 0 {
		return st, nil
	}
	if trouble != nil {
		st.Warnings = append(st.Warnings, trouble)
	}
	for _, v := range h.Versions {
		text, err := ReadPlanText(ctx, s, v)
		if err == nil {
			if err = readable(text); err != nil {
				err = fmt.Errorf("%w: version %d: %v", ErrPlanUnreadable, v.Number, err)
			}
		}
		switch {
		case errors.Is(err, ErrPlanUnreadable):
			st.Warnings = append(st.Warnings, err)
			continue
		case err != nil:
			return ActivePlan{}, err // not reached: that says nothing of the plan
		}
		st.PlanVersion, st.Text = v, text
		return st, nil
	}
	return st, fmt.Errorf("%w: no version of it can be read", ErrPlanUnreadable)
}

// deleteOrphanedTexts removes the texts that no version names. A draft can be committed only
// as the next version, so that those up to the current one are nobody's.
func deleteOrphanedTexts(ctx context.Context, s KeyValueStore, h PlanHead) {
	texts, _, err := s.List(ctx, planTextPrefix)
	if err != nil {
		return // the next one that is applied sweeps
	}
	for _, e := range texts {
		n, draft, ok := parsePlanTextKey(e.Key)
		if !ok || n > h.Current() || slices.ContainsFunc(h.Versions, func(v PlanVersion) bool { return v.Draft == draft }) {
			continue
		}
		if _, err := s.CompareAndSwap(ctx, []wire.Guard{{Key: e.Key, Version: e.Version}}, []wire.Op{{Delete: e.Key}}); err != nil {
			return
		}
	}
}
