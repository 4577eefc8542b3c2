// Reads of the operators' plan (planapply.go writes it).
//
// The key PlanHeadKey lists the plan's versions. Its own version guards every decision that a leader
// bases on the plan. Each version has a text, which is split into pieces that fit into a value and is
// stored under keys of its own. The last piece is written together with the head that lists the version,
// so that a listed version is always complete. docs/plan.md discusses the design alternatives.

package jobstore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/umberdeal/umberdeal/wire"
)

// Keys of the plan.
const (
	// PlanPrefix is the prefix of all records of the plan. Every controller watches it.
	PlanPrefix = "plan/"
	// PlanHeadKey holds a PlanHead.
	PlanHeadKey = "plan/head"
	// planHeadCopyKey holds a copy of the head, which is written in the same transaction. It is used if
	// the head can't be decoded.
	planHeadCopyKey = "plan/copy"
	// PlanRequestedKey exists once somebody has tried to apply a plan. It requests that the leader raise
	// the schema to SchemaPlans, which the leader does once every controller can read that schema.
	PlanRequestedKey = "plan/asked"
	planTextPrefix   = "plan/t/"
	// PlanStatePrefix holds the state of the plan's components, such as warm pools. It is not under
	// PlanPrefix, which every controller watches, because it changes more often than the plan.
	PlanStatePrefix = "note/"
)

// maxPlanVersions is how many versions of the plan are kept.
const maxPlanVersions = 16

// PlanHead is the value of PlanHeadKey.
type PlanHead struct {
	Versions []PlanVersion `msgpack:"v"` // newest first; the first one is in force
}

// PlanVersion describes a version of the plan. Numbers increase and are never reused.
type PlanVersion struct {
	Number int    `msgpack:"n"`
	Draft  string `msgpack:"d"`            // identifies the keys of its text
	Pieces int    `msgpack:"p"`            // number of keys that hold its text
	Digest uint64 `msgpack:"h"`            // xxh3 of its text
	AtMs   int64  `msgpack:"at"`           // Unix milliseconds
	By     string `msgpack:"by,omitempty"` // who applied it; "" if unknown
	Note   string `msgpack:"note,omitempty"`
}

// planPiece is a part of a version's text. Each piece has the number of pieces and the digest of the
// whole text, so that the versions can be rebuilt from the pieces if no head can be decoded.
type planPiece struct {
	Text   string `msgpack:"t"`
	Pieces int    `msgpack:"p"` // of the whole text
	Digest uint64 `msgpack:"h"` // of the whole text
}

var (
	// ErrNoPlan means that no plan has ever been applied.
	ErrNoPlan = errors.New("there is no plan")
	// ErrPlanUnreadable means that a record of the plan is missing or damaged.
	ErrPlanUnreadable = errors.New("a record of the plan is missing or damaged")
)

// Current returns the number of the version in force, or 0 if there is none.
func (h PlanHead) Current() int {
	if len(h.Versions) == 0 {
		return 0
	}
	return h.Versions[0].Number
}

// Find returns the version with the given number, or false if it is not listed. Number 0 means the version
// in force.
func (h PlanHead) Find(number int) (PlanVersion, bool) {
	for _, v := range h.Versions {
		if v.Number == number || number == 0 {
			return v, true
		}
	}
	return PlanVersion{}, false
}

// hasDraft reports whether one of the versions has this draft.
func (h PlanHead) hasDraft(draft string) bool {
	return slices.ContainsFunc(h.Versions, func(v PlanVersion) bool { return v.Draft == draft })
}

// planTextKey returns the key of a piece of a draft's text.
func planTextKey(draft string, piece int) string {
	return planTextPrefix + draft + "/" + strconv.Itoa(piece)
}

// parsePlanTextKey returns the draft to which a piece of text belongs, and the number of the version for
// which the draft was written. ok is false for any other key.
func parsePlanTextKey(key string) (number int, draft string, ok bool) {
	rest, ok := strings.CutPrefix(key, planTextPrefix)
	if !ok {
		return 0, "", false
	}
	draft, _, ok = strings.Cut(rest, "/")
	prefix, _, hasNumber := strings.Cut(draft, "-")
	number, err := strconv.Atoi(prefix)
	return number, draft, ok && hasNumber && err == nil
}

// StoredPlanHead is the plan's head as read from the key-value store.
type StoredPlanHead struct {
	PlanHead
	Version uint64 // version of PlanHeadKey; 0 if there is no plan
	// Warning is set if the head can't be decoded. The PlanHead is then its copy, or rebuilt from the
	// texts.
	Warning error
}

// ReadPlanHead reads the list of versions. If the head can't be decoded, it returns the head's copy. If
// the copy can't be decoded either, it rebuilds the list from the texts. The result's Version is 0 if
// there is no plan.
func ReadPlanHead(ctx context.Context, kv KeyValueReader) (StoredPlanHead, error) {
	e, err := kv.Get(ctx, PlanHeadKey)
	if err != nil || e.Version == 0 {
		return StoredPlanHead{}, err
	}
	if h, err := decodePlanHead(e.Value); err == nil {
		return StoredPlanHead{PlanHead: h, Version: e.Version}, nil
	}
	backup, err := kv.Get(ctx, planHeadCopyKey)
	if err != nil {
		return StoredPlanHead{}, err
	}
	if h, err := decodePlanHead(backup.Value); backup.Version != 0 && err == nil {
		warning := fmt.Errorf("%w: %s can't be decoded; using its copy", ErrPlanUnreadable, PlanHeadKey)
		return StoredPlanHead{PlanHead: h, Version: e.Version, Warning: warning}, nil
	}
	warning := fmt.Errorf("%w: neither %s nor %s can be decoded; using the versions whose texts are complete", ErrPlanUnreadable, PlanHeadKey, planHeadCopyKey)
	h, err := planHeadFromTexts(ctx, kv)
	return StoredPlanHead{PlanHead: h, Version: e.Version, Warning: warning}, err
}

// decodePlanHead decodes a head. It returns an error if the head has no versions, or if their numbers do
// not decrease, because no such head is ever written.
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

// planHeadFromTexts rebuilds the list of versions from the texts. It lists each complete draft that is the
// only complete one of its number. A draft that was never committed lacks its last piece, which is written
// together with the head. An earlier version of this program wrote all pieces before the head. Uncommitted
// drafts of that program can't be distinguished from versions.
func planHeadFromTexts(ctx context.Context, kv KeyValueReader) (PlanHead, error) {
	texts, _, err := kv.List(ctx, planTextPrefix)
	if err != nil {
		return PlanHead{}, err
	}
	drafts := completeDrafts(texts)
	draftCounts := map[int]int{} // how many complete drafts each number has
	for _, v := range drafts {
		draftCounts[v.Number]++
	}
	var h PlanHead
	for _, v := range drafts {
		if draftCounts[v.Number] == 1 {
			h.Versions = append(h.Versions, v)
		}
	}
	slices.SortFunc(h.Versions, func(a, b PlanVersion) int { return b.Number - a.Number })
	h.Versions = h.Versions[:min(len(h.Versions), maxPlanVersions)]
	return h, nil
}

// completeDrafts returns the drafts that have all their pieces, by draft.
func completeDrafts(texts []wire.Entry) map[string]PlanVersion {
	drafts := map[string]PlanVersion{}
	pieces := map[string]int{} // number of pieces of each draft, including damaged ones
	for _, e := range texts {
		number, draft, ok := parsePlanTextKey(e.Key)
		if !ok {
			continue
		}
		pieces[draft]++
		var p planPiece
		if wire.Unmarshal(e.Value, &p) == nil && p.Pieces >= 1 {
			drafts[draft] = PlanVersion{Number: number, Draft: draft, Pieces: p.Pieces, Digest: p.Digest}
		}
	}
	for draft, v := range drafts {
		if pieces[draft] < v.Pieces {
			delete(drafts, draft)
		}
	}
	return drafts
}

// ReadPlanText reads the text of a version. It returns ErrPlanUnreadable if a piece is missing or the
// text does not match its digest.
func ReadPlanText(ctx context.Context, kv KeyValueReader, v PlanVersion) (string, error) {
	var b strings.Builder
	for k := range v.Pieces {
		e, err := kv.Get(ctx, planTextKey(v.Draft, k))
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
		return "", fmt.Errorf("%w: the text of version %d does not match its digest", ErrPlanUnreadable, v.Number)
	}
	return b.String(), nil
}

// ActivePlan is the version of the plan that controllers act on, as LoadPlan finds it.
type ActivePlan struct {
	PlanVersion        // the zero value if there is no plan
	HeadVersion uint64 // version of PlanHeadKey, the guard of decisions based on the plan
	Text        string
	Warnings    []error // one for each unreadable head or newer version
}

// LoadPlan reads the newest version that is intact and that validate accepts. It returns an error that
// wraps ErrPlanUnreadable if there is a plan but no such version. If there is no plan, it returns no error
// and an ActivePlan with HeadVersion 0.
func LoadPlan(ctx context.Context, kv KeyValueReader, validate func(text string) error) (ActivePlan, error) {
	head, err := ReadPlanHead(ctx, kv)
	if err != nil {
		return ActivePlan{}, err
	}
	active := ActivePlan{HeadVersion: head.Version}
	if head.Version == 0 {
		return active, nil
	}
	if head.Warning != nil {
		active.Warnings = append(active.Warnings, head.Warning)
	}
	for _, v := range head.Versions {
		text, err := readValidText(ctx, kv, v, validate)
		switch {
		case err == nil:
			active.PlanVersion, active.Text = v, text
			return active, nil
		case !errors.Is(err, ErrPlanUnreadable):
			return ActivePlan{}, err // the request failed, so the state of the plan is unknown
		}
		active.Warnings = append(active.Warnings, err)
	}
	return active, fmt.Errorf("%w: no version can be read", ErrPlanUnreadable)
}

// readValidText reads the text of a version. It returns an error that wraps ErrPlanUnreadable unless the
// text is intact and validate accepts it.
func readValidText(ctx context.Context, kv KeyValueReader, v PlanVersion, validate func(text string) error) (string, error) {
	text, err := ReadPlanText(ctx, kv, v)
	if err != nil {
		return "", err
	}
	if err := validate(text); err != nil {
		return "", fmt.Errorf("%w: version %d: %w", ErrPlanUnreadable, v.Number, err)
	}
	return text, nil
}
