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

// This file reads the versions of the operators' plan; planapply.go writes them. docs/plan.md has the
// design alternatives. The version of the head's key is the condition of whatever a leader decides by
// the plan; the texts lie beside it, in pieces that fit into a value, and are written before the head
// that names them, so that a version is there as a whole or not at all.

// Keys of the plan.
const (
	PlanPrefix = "plan/"
	// PlanHeadKey holds a PlanHead: which version is in force, and the last ones.
	PlanHeadKey = "plan/head"
	// planHeadCopyKey has the same value, changed in the same transaction, for when the head can't be
	// read.
	planHeadCopyKey = "plan/copy"
	// PlanRequestedKey is there from when a plan is first wanted: the leader then raises the schema to
	// SchemaPlans, once every controller reads that.
	PlanRequestedKey = "plan/asked"
	planTextPrefix   = "plan/t/"
	// PlanStatePrefix holds what the plan's components record. It changes more often than the plan
	// itself, which every controller watches.
	PlanStatePrefix = "note/"
)

// maxPlanVersions is how many versions stay readable.
const maxPlanVersions = 16

// PlanHead is the value of PlanHeadKey.
type PlanHead struct {
	Versions []PlanVersion `msgpack:"v"` // the newest first: the one that is in force
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

// planPiece is a part of a version's text. It says what belongs together, so that the texts alone tell
// what there was where no head can be read.
type planPiece struct {
	Text   string `msgpack:"t"`
	Pieces int    `msgpack:"p"`
	Digest uint64 `msgpack:"h"` // of the whole text
}

var (
	// ErrNoPlan means that there is no version of the plan.
	ErrNoPlan = errors.New("there is no plan")
	// ErrPlanUnreadable means that a part of the plan is not what was written.
	ErrPlanUnreadable = errors.New("the plan's record is damaged")
)

// Current is the number of the version that is in force, 0 where there is none.
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

// names reports whether a version has that draft.
func (h PlanHead) names(draft string) bool {
	return slices.ContainsFunc(h.Versions, func(v PlanVersion) bool { return v.Draft == draft })
}

func planTextKey(draft string, piece int) string {
	return planTextPrefix + draft + "/" + strconv.Itoa(piece)
}

// parsePlanTextKey returns the draft to which a text belongs, and the version that it was written for.
func parsePlanTextKey(key string) (number int, draft string, ok bool) {
	rest, ok := strings.CutPrefix(key, planTextPrefix)
	if !ok {
		return 0, "", false
	}
	draft, _, ok = strings.Cut(rest, "/")
	num, _, hasNumber := strings.Cut(draft, "-")
	number, err := strconv.Atoi(num)
	return number, draft, ok && hasNumber && err == nil
}

// StoredPlanHead is the plan's head as read.
type StoredPlanHead struct {
	PlanHead
	Version uint64 // of PlanHeadKey; 0: there is no plan
	Warning error  // the head can't be read, and this is its copy or was found by the texts
}

// ReadPlanHead reads which versions there are. Where the head can't be read its copy is used, and where
// neither can, the texts.
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
		warning := fmt.Errorf("%w: %s can't be read, its copy holds", ErrPlanUnreadable, PlanHeadKey)
		return StoredPlanHead{PlanHead: h, Version: e.Version, Warning: warning}, nil
	}
	warning := fmt.Errorf("%w: neither %s nor %s can be read, the newest text holds", ErrPlanUnreadable, PlanHeadKey, planHeadCopyKey)
	h, err := planHeadFromTexts(ctx, kv)
	return StoredPlanHead{PlanHead: h, Version: e.Version, Warning: warning}, err
}

// decodePlanHead decodes a head; one without a version is unreadable, since none is ever written.
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

// planHeadFromTexts finds the versions by their texts alone: those that are whole and the only one of
// their number. A draft whose writer failed before it named it lacks its last piece; one of a program
// that wrote all pieces ahead can't be told from a version.
func planHeadFromTexts(ctx context.Context, kv KeyValueReader) (PlanHead, error) {
	texts, _, err := kv.List(ctx, planTextPrefix)
	if err != nil {
		return PlanHead{}, err
	}
	drafts := wholeDrafts(texts)
	draftsOf := map[int]int{} // how many of a number
	for _, v := range drafts {
		draftsOf[v.Number]++
	}
	var h PlanHead
	for _, v := range drafts {
		if draftsOf[v.Number] == 1 {
			h.Versions = append(h.Versions, v)
		}
	}
	slices.SortFunc(h.Versions, func(a, b PlanVersion) int { return b.Number - a.Number })
	h.Versions = h.Versions[:min(len(h.Versions), maxPlanVersions)]
	return h, nil
}

// wholeDrafts finds the drafts of which every piece is there.
func wholeDrafts(texts []wire.Entry) map[string]PlanVersion {
	drafts := map[string]PlanVersion{}
	pieces := map[string]int{} // of a draft, also those that can't be read
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

// ReadPlanText reads the text of a version. ErrPlanUnreadable: it is not there as it was written.
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
		return "", fmt.Errorf("%w: version %d is not what was written", ErrPlanUnreadable, v.Number)
	}
	return b.String(), nil
}

// ActivePlan is the version of the plan that is in force.
type ActivePlan struct {
	PlanVersion        // the zero value: there is no plan
	HeadVersion uint64 // of PlanHeadKey, the condition of decisions by the plan
	Text        string
	Warnings    []error // what could not be read, newer than this version
}

// LoadPlan reads the newest version that can be read and that validate accepts. ErrPlanUnreadable:
// there is a plan, and no version of it can be read.
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
			return ActivePlan{}, err // the key-value store was not reached: that says nothing of the plan
		}
		active.Warnings = append(active.Warnings, err)
	}
	return active, fmt.Errorf("%w: no version of it can be read", ErrPlanUnreadable)
}

// readValidText reads the text of a version that validate accepts.
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
