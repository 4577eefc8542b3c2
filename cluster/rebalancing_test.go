// Tests of the size of the records of rebalancing cycles.

package cluster

import (
	"fmt"
	"testing"

	"github.com/umberdeal/umberdeal/jobstore"
)

// The lists of cooldowns in the record of a rebalancing cycle were bounded by their number of tasks. Two
// full ones exceed a value of 8 KiB. The store rejected the record each time, and the group was not
// rebalanced until enough cooldowns had ended. The record must fit at any limit, keep the cooldowns that
// end last, and have room for moves.
func TestRecordOfARebalancingCycleFitsIntoAValue(t *testing.T) {
	lists := [2]map[string]int64{{}, {}}
	for i := range lists {
		for n := range 400 {
			lists[i][fmt.Sprintf("wk-%06d/%d", 500000+i, n)] = at(100 + float64(n)).UnixMilli()
		}
	}
	last := jobstore.RebalanceCycle{TaskCooldownUntilMs: lists[0], QuarantineUntilMs: lists[1]}
	for _, valueBytes := range []int{2 << 10, 8 << 10, 16 << 10} {
		cycle := cycleAfter(last, at(60).UnixMilli(), valueBytes)
		for n := range 20 {
			task := fmt.Sprintf("wk-600000/%d", n)
			cycle.Moves = append(cycle.Moves, jobstore.Move{Task: task, Attempt: 3, From: "host-000001", To: "host-000002"})
			cycle.TaskCooldownUntilMs[task] = at(180).UnixMilli()
		}
		dropMovesBeyond(&cycle, valueBytes)
		if size := jsonSize(t, cycle); size > valueBytes {
			t.Errorf("the record has %d bytes of %d", size, valueBytes)
		}
		if len(cycle.Moves) == 0 {
			t.Errorf("the record of %d bytes has no moves", valueBytes)
		}
		if cycle.TaskCooldownUntilMs["wk-500000/399"] == 0 || cycle.QuarantineUntilMs["wk-500001/399"] == 0 {
			t.Errorf("the record of %d bytes lacks the cooldowns that end last", valueBytes)
		}
		for _, move := range cycle.Moves {
			if cycle.TaskCooldownUntilMs[move.Task] == 0 {
				t.Errorf("the record of %d bytes lacks the cooldown of %s, which it moves", valueBytes, move.Task)
			}
		}
	}
}
