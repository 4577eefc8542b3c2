package jobstore

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/umberdeal/umberdeal/internal/golden"
	"github.com/umberdeal/umberdeal/wire"
)

// A size below the real one would let the leader compose transactions that the store rejects.
func TestSizeOfAPlacementPageIsAnUpperBound(t *testing.T) {
	numbers := rapid.SliceOfN(rapid.IntRange(0, 99999), 0, 20)
	placement := rapid.Custom(func(t *rapid.T) Placement {
		return Placement{Task: rapid.IntRange(0, 99999).Draw(t, "task"), Attempt: rapid.Uint64().Draw(t, "attempt"), Machine: rapid.String().Draw(t, "machine")}
	})
	chunk := rapid.Custom(func(t *rapid.T) PlacementChunk {
		return PlacementChunk{Job: rapid.String().Draw(t, "job"), Chunk: rapid.IntRange(0, 999).Draw(t, "chunk"), MaxAttempt: rapid.Uint64().Draw(t, "max"),
			Placements: rapid.SliceOfN(placement, 0, 10).Draw(t, "placements"), DoneRanges: numbers.Draw(t, "done"),
			Reserved: rapid.Bool().Draw(t, "reserved"), Outcomes: numbers.Draw(t, "outcomes"), Stopping: numbers.Draw(t, "stopping")}
	})
	rapid.Check(t, func(t *rapid.T) {
		page := PlacementPage{Chunks: rapid.SliceOfN(chunk, 0, 5).Draw(t, "chunks")}
		if got, want := page.Size(), golden.JSONSize(t, wire.Marshal, page); got < want {
			t.Errorf("Size = %d, less than the %d bytes of the page as JSON", got, want)
		}
	})
}
