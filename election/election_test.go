package election

import (
	"testing"
	"testing/synctest"
	"time"
)

// A renewal was under way when the leader resigned, for a worker that had seen a
// higher token, say. It made the term valid again: while the lease was being ended,
// which may take 2 s, workers were answered beside the next leader.
func TestATermThatWasGivenUpStaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		term := NewTerm(7, 1, time.Now())
		if term.Valid() {
			t.Error("valid before any renewal")
		}
		term.Extend(time.Now().Add(10 * time.Second))
		time.Sleep(9999 * time.Millisecond)
		if !term.Valid() {
			t.Error("not valid within its time")
		}
		if time.Sleep(time.Millisecond); term.Valid() {
			t.Error("valid beyond its time")
		}
		term.Extend(time.Now().Add(10 * time.Second))
		term.Resign()
		term.Extend(time.Now().Add(10 * time.Second))
		if term.Valid() {
			t.Error("a renewal that was under way brought a term back that was given up")
		}
	})
}
