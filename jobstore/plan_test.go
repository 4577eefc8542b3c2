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

func applyPlan(s *fakeStore, base int, text string) (jobstore.PlanVersion, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return jobstore.ApplyPlan(ctx, s, limits, jobstore.PlanChange{Base: base, Text: text, By: "somebody", At: time.Now()})
}

func loadPlan(t *testing.T, s *fakeStore) jobstore.ActivePlan {
	t.Helper()
	st, err := jobstore.LoadPlan(context.Background(), s, func(text string) error {
		if strings.HasPrefix(text, "unknown") {
			return errors.New("a field that is not known")
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return st
}

// corrupt replaces the values of all keys with a prefix by one that can't be decoded.
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

// Ten writers apply plans concurrently and repeatedly, while responses are lost and transactions are
// applied up to a minute late. Each successful change must have a version number of its own, and the text
// of that version must be the writer's.
func TestConcurrentApplyPlanHasOneWinner(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeStore(seed)
			s.setSchema(1)
			s.lateShare, s.lostShare, s.maxDelay = 0.1, 0.2, time.Minute
			var mu sync.Mutex
			won, moved, texts := 0, 0, map[int]string{}
			var wg sync.WaitGroup
			for who := range 10 {
				wg.Go(func() {
					for k := range 4 {
						text := fmt.Sprintf("note = \"%d-%d %s\"", who, k, strings.Repeat("x", 9000*(k%3)))
						v, err := applyPlan(s, loadPlan(t, s).Number, text)
						var m *jobstore.PlanConflictError
						mu.Lock()
						switch {
						case err == nil:
							if texts[v.Number] != "" {
								t.Errorf("seed %d: version %d twice", seed, v.Number)
							}
							texts[v.Number] = text
							won++
						case errors.As(err, &m):
							moved++
						}
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			s.wg.Wait() // wait for late transactions as well
			if won == 0 || moved == 0 {
				t.Fatalf("seed %d: %d won, %d were told that another came between", seed, won, moved)
			}
			h, err := jobstore.ReadPlanHead(context.Background(), s)
			if err != nil || h.Warning != nil || h.Current() < won {
				t.Fatalf("seed %d: version %d after %d that won, %v, %v", seed, h.Current(), won, h.Warning, err)
			}
			for _, v := range h.Versions {
				text, err := jobstore.ReadPlanText(context.Background(), s, v)
				if err != nil || texts[v.Number] != "" && texts[v.Number] != text {
					t.Errorf("seed %d: version %d has another text, %v", seed, v.Number, err)
				}
			}
		})
	}
}

// A writer is interrupted after any piece of a large plan. The previous version must stay in force and
// complete, even if neither head can be decoded, and the next change that is applied must delete the
// orphaned pieces.
func TestApplyPlanIsAtomicWhenInterrupted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(1)
		s.setSchema(1)
		if _, err := applyPlan(s, 0, "note = \"first\""); err != nil {
			t.Fatal(err)
		}
		large := "note = \"" + strings.Repeat("\\\"é", 9000) + "\""
		for dies := 1; dies <= 24; dies++ {
			ctx, cancel := context.WithCancel(context.Background())
			n := 0
			s.beforeAnswer = func([]wire.Op) {
				if n++; n == dies {
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
			switch st := loadPlan(t, s); {
			case st.Number == base && st.Text == "note = \"first\"":
				if err == nil {
					t.Fatalf("died after %d: told that it holds, and it does not", dies)
				}
				s.mu.Lock()
				sound := maps.Clone(s.keys)
				for k := range before { // if two drafts of a number were complete, neither would count
					if strings.HasPrefix(k, fmt.Sprintf("plan/t/%d-", base+1)) {
						delete(s.keys, k)
					}
				}
				s.mu.Unlock()
				s.corrupt("plan/head")
				s.corrupt("plan/copy")
				if st := loadPlan(t, s); st.Number != base {
					t.Fatalf("died after %d, and both heads are damaged: version %d holds, not %d", dies, st.Number, base)
				}
				s.mu.Lock()
				s.keys = sound
				s.mu.Unlock()
			case st.Number == base+1 && st.Text == large && dies > 12:
				goto whole
			default:
				t.Fatalf("died after %d: version %d of %d bytes holds", dies, st.Number, len(st.Text))
			}
		}
		t.Fatal("it was never applied")
	whole:
		st := loadPlan(t, s)
		if _, err := applyPlan(s, st.Number, "note = \"last\""); err != nil {
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
			t.Errorf("texts of %v for three versions", drafts)
		}
	})
}

// cancelledStore is a key-value store that stops responding when its context ends.
type cancelledStore struct {
	*fakeStore
	context.Context
}

func (d cancelledStore) CompareAndSwap(ctx context.Context, g []wire.Guard, o []wire.Op) (uint64, error) {
	if d.Err() != nil {
		return 0, kvstore.ErrOutcomeUnknown
	}
	return d.fakeStore.CompareAndSwap(ctx, g, o)
}

// Whichever records are damaged, the newest intact version is in force, and the damage is reported.
func TestLoadPlanFallsBackToNewestReadableVersion(t *testing.T) {
	for _, c := range []struct {
		name   string
		damage string
		newest string // text of version 3
		holds  int
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
			for n, text := range []string{"note = \"1\"", "note = \"2\"", c.newest} {
				if _, err := applyPlan(s, n, text); err != nil {
					t.Fatal(err)
				}
			}
			for _, k := range strings.Fields(c.damage) {
				s.corrupt(k)
			}
			st := loadPlan(t, s)
			if st.Number != c.holds || st.HeadVersion == 0 || (len(st.Warnings) == 0) != (c.name == "nothing") {
				t.Errorf("%s: version %d holds, head %d, named %v", c.name, st.Number, st.HeadVersion, st.Warnings)
			}
			// A change based on the version found gets a new number.
			if strings.Contains(c.damage, "plan/t/3-") {
				return
			}
			if v, err := applyPlan(s, 3, "note = \"4\""); err != nil || v.Number != 4 || loadPlan(t, s).Number != 4 {
				t.Errorf("%s: applied after it: version %d, %v", c.name, v.Number, err)
			}
		})
	}
}

// If no version of the plan is intact, LoadPlan fails: it must not look as if there had never been a plan.
func TestLoadPlanReportsWhollyUnreadablePlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(1)
		s.setSchema(1)
		if _, err := applyPlan(s, 0, "note = \"1\""); err != nil {
			t.Fatal(err)
		}
		s.corrupt("plan/t/")
		st, err := jobstore.LoadPlan(context.Background(), s, func(string) error { return nil })
		if !errors.Is(err, jobstore.ErrPlanUnreadable) || st.HeadVersion == 0 {
			t.Errorf("head %d, %v", st.HeadVersion, err)
		}
	})
}

// Any text is read back unchanged, and no piece exceeds the size limit of a value.
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
				if size := wire.JSONSize(e.Value); size > int(limits.ValueKB*1024) {
					t.Errorf("%s has %d bytes", k, size)
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
