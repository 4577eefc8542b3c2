// Tests of the operators' plan: concurrent and interrupted changes, and damaged records.

package jobstore_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"testing/quick"
	"testing/synctest"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// applyPlan applies a text as the plan that follows version base.
func applyPlan(s *fakeStore, base int, text string) (jobstore.PlanVersion, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return jobstore.ApplyPlan(ctx, s, limits, jobstore.PlanChange{Base: base, Text: text, By: "somebody", At: time.Now()})
}

// loadPlan returns the plan in force. Texts that begin with "unknown" count as plans of a later program
// version, which this version can't use.
func loadPlan(t *testing.T, s *fakeStore) jobstore.ActivePlan {
	t.Helper()
	active, err := jobstore.LoadPlan(context.Background(), s, func(text string) error {
		if strings.HasPrefix(text, "unknown") {
			return errors.New("unknown field")
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return active
}

// corrupt replaces the values of all keys with a prefix by a value that can't be decoded.
func (s *fakeStore) corrupt(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, e := range s.keys {
		if strings.HasPrefix(k, prefix) {
			e.Value = wire.Raw{0xdd, 0xff, 0xff, 0xff, 0xff}
			s.keys[k] = e
		}
	}
}

// Ten writers apply plans concurrently and repeatedly. Meanwhile responses are lost, and transactions are
// applied up to a minute late. Each successful change must have a version number of its own, and this
// version must have the writer's text.
func TestConcurrentApplyPlanHasOneWinner(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeStore(seed)
			s.setSchema(1)
			s.lateShare, s.lostShare, s.maxDelay = 0.1, 0.2, time.Minute
			var mu sync.Mutex
			applied, conflicts, texts := 0, 0, map[int]string{}
			var wg sync.WaitGroup
			for writer := range 10 {
				wg.Go(func() {
					for k := range 4 {
						text := fmt.Sprintf("note = \"%d-%d %s\"", writer, k, strings.Repeat("x", 9000*(k%3)))
						v, err := applyPlan(s, loadPlan(t, s).Number, text)
						var conflict *jobstore.PlanConflictError
						mu.Lock()
						switch {
						case err == nil:
							if texts[v.Number] != "" {
								t.Errorf("seed %d: version %d was applied twice", seed, v.Number)
							}
							texts[v.Number] = text
							applied++
						case errors.As(err, &conflict):
							conflicts++
						}
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			s.wg.Wait() // wait for late transactions as well
			if applied == 0 || conflicts == 0 {
				t.Fatalf("seed %d: %d changes were applied, %d conflicted; want some of each", seed, applied, conflicts)
			}
			h, err := jobstore.ReadPlanHead(context.Background(), s)
			if err != nil || h.Warning != nil || h.Current() < applied {
				t.Fatalf("seed %d: version %d after %d applied changes, warning %v, %v", seed, h.Current(), applied, h.Warning, err)
			}
			for _, v := range h.Versions {
				text, err := jobstore.ReadPlanText(context.Background(), s, v)
				if err != nil || texts[v.Number] != "" && texts[v.Number] != text {
					t.Errorf("seed %d: version %d does not have its writer's text, %v", seed, v.Number, err)
				}
			}
		})
	}
}

// A writer is interrupted after each possible piece of a large plan. The previous version must stay in
// force and complete, even if neither head can be decoded. The next applied change must delete the
// orphaned pieces.
func TestApplyPlanIsAtomicWhenInterrupted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(1)
		s.setSchema(1)
		if _, err := applyPlan(s, 0, "note = \"first\""); err != nil {
			t.Fatal(err)
		}
		large := "note = \"" + strings.Repeat("\\\"é", 9000) + "\""
		for maxCommits := 1; maxCommits <= 24; maxCommits++ { // commits before the interruption
			ctx, cancel := context.WithCancel(context.Background())
			n := 0
			s.beforeAnswer = func([]wire.Op) {
				if n++; n == maxCommits {
					cancel()
					s.mu.Lock()
					s.lateShare = 1 // its later transactions have no effect
					s.maxDelay = 1
					s.mu.Unlock()
				}
			}
			base := loadPlan(t, s).Number
			s.mu.Lock()
			before := maps.Clone(s.keys)
			s.mu.Unlock()
			_, err := jobstore.ApplyPlan(ctx, cancelledStore{s, ctx}, limits, jobstore.PlanChange{Base: base, Text: large, At: time.Now()})
			s.beforeAnswer = nil
			s.mu.Lock()
			s.lateShare = 0
			s.mu.Unlock()
			cancel()
			switch active := loadPlan(t, s); {
			case active.Number == base && active.Text == "note = \"first\"":
				if err == nil {
					t.Fatalf("interrupted after %d commits: ApplyPlan succeeded, but the plan is not in force", maxCommits)
				}
				s.mu.Lock()
				intact := maps.Clone(s.keys)
				for k := range before { // two complete drafts of one number would both be ignored
					if strings.HasPrefix(k, fmt.Sprintf("plan/t/%d-", base+1)) {
						delete(s.keys, k)
					}
				}
				s.mu.Unlock()
				s.corrupt("plan/head")
				s.corrupt("plan/copy")
				if active := loadPlan(t, s); active.Number != base {
					t.Fatalf("interrupted after %d commits, both heads damaged: version %d is in force, want %d", maxCommits, active.Number, base)
				}
				s.mu.Lock()
				s.keys = intact
				s.mu.Unlock()
			case active.Number == base+1 && active.Text == large && maxCommits > 12:
				goto applied
			default:
				t.Fatalf("interrupted after %d commits: version %d of %d bytes is in force", maxCommits, active.Number, len(active.Text))
			}
		}
		t.Fatal("the large plan was never applied")
	applied:
		active := loadPlan(t, s)
		if _, err := applyPlan(s, active.Number, "note = \"last\""); err != nil {
			t.Fatal(err)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		drafts := map[string]bool{}
		for k := range s.keys {
			if rest, ok := strings.CutPrefix(k, "plan/t/"); ok {
				drafts[strings.Split(rest, "/")[0]] = true
			}
		}
		if len(drafts) != 3 {
			t.Errorf("texts of the drafts %v are stored, want those of three versions", drafts)
		}
	})
}

// cancelledStore is a key-value store that stops responding when its context ends.
type cancelledStore struct {
	*fakeStore
	context.Context
}

func (c cancelledStore) CompareAndSwap(ctx context.Context, guards []wire.Guard, ops []wire.Op) (uint64, error) {
	if c.Err() != nil {
		return 0, kvstore.ErrOutcomeUnknown
	}
	return c.fakeStore.CompareAndSwap(ctx, guards, ops)
}

// Some records of the plan are damaged. The newest intact version must be in force, and the damage must be
// reported.
func TestLoadPlanFallsBackToNewestReadableVersion(t *testing.T) {
	for _, c := range []struct {
		name       string
		damage     string // prefixes of the damaged keys
		newestText string // text of version 3
		want       int    // number of the version in force
	}{
		{"nothing", "none", "note = \"3\"", 3},
		{"the head", "plan/head", "note = \"3\"", 3},
		{"both heads", "plan/head plan/copy", "note = \"3\"", 3},
		{"the newest text", "plan/t/3-", "note = \"3\"", 2},
		{"two texts and the head", "plan/t/3- plan/t/2- plan/head", "note = \"3\"", 1},
		{"a field of a later version", "none", "unknown = 3", 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeStore(1)
			s.setSchema(1)
			for n, text := range []string{"note = \"1\"", "note = \"2\"", c.newestText} {
				if _, err := applyPlan(s, n, text); err != nil {
					t.Fatal(err)
				}
			}
			for _, k := range strings.Fields(c.damage) {
				s.corrupt(k)
			}
			active := loadPlan(t, s)
			if active.Number != c.want || active.HeadVersion == 0 || (len(active.Warnings) == 0) != (c.name == "nothing") {
				t.Errorf("%s: version %d is in force, want %d; head version %d, warnings %v", c.name, active.Number, c.want, active.HeadVersion, active.Warnings)
			}
			// A change based on the version found gets a new number.
			if strings.Contains(c.damage, "plan/t/3-") {
				return
			}
			if v, err := applyPlan(s, 3, "note = \"4\""); err != nil || v.Number != 4 || loadPlan(t, s).Number != 4 {
				t.Errorf("%s: next change: version %d, %v, want version 4", c.name, v.Number, err)
			}
		})
	}
}

// No version of the plan is intact. LoadPlan must fail, because a success would look as if there had never
// been a plan.
func TestLoadPlanReportsWhollyUnreadablePlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(1)
		s.setSchema(1)
		if _, err := applyPlan(s, 0, "note = \"1\""); err != nil {
			t.Fatal(err)
		}
		s.corrupt("plan/t/")
		active, err := jobstore.LoadPlan(context.Background(), s, func(string) error { return nil })
		if !errors.Is(err, jobstore.ErrPlanUnreadable) || active.HeadVersion == 0 {
			t.Errorf("head version %d, %v; want ErrPlanUnreadable and the head's version", active.HeadVersion, err)
		}
	})
}

// Any text must be read back unchanged, and no piece may exceed the size limit of a value.
func TestPlanTextsFitIntoValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(1)
		s.setSchema(1)
		n := 0
		err := quick.Check(func(words []string, times uint8) bool {
			text := strings.ToValidUTF8(strings.Repeat(strings.Join(words, " \"<\n"), 1+int(times)), "")
			v, err := applyPlan(s, n, text)
			if err != nil {
				t.Log(err)
				return false
			}
			n = v.Number
			s.mu.Lock()
			for k, e := range s.keys {
				if size := wire.JSONSize(e.Value); size > int(limits.MaxValueKiB*1024) {
					t.Errorf("the value of %s has %d bytes, want at most %g KiB", k, size, limits.MaxValueKiB)
				}
			}
			s.mu.Unlock()
			return loadPlan(t, s).Text == text
		}, &quick.Config{MaxCount: 40})
		if err != nil {
			t.Error(err)
		}
	})
}
