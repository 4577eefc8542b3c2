// Rebalances groups of machines by moving running tasks, so that waiting requests fit. Package
// rebalance plans the moves.

package cluster

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/rebalance"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	// maxCooldowns bounds the tasks in each list of cooldowns of a cycle's record.
	maxCooldowns = 200
	// cooldownShare is the share of a value that each of the two lists may take. The rest is for the moves.
	cooldownShare = 0.45
	// cooldownTimeBytes is the size of a time in a list, as wire.JSONSize counts it.
	cooldownTimeBytes = 21
)

// RebalanceCycle is the last rebalance cycle of a group. A group consists of the machines of one
// type in one zone.
type RebalanceCycle struct {
	Record jobstore.RebalanceCycle
}

// LoadRebalanceCycle loads the record of a cycle that an earlier leader committed, and
// continues its moves. Tasks that are still on their old machine are stopped again, since
// the earlier leader may have sent the stop. Tasks that have stopped already are waiting and
// start on their target like any other.
//
// The record's transaction may have been applied late, without its leader knowing, so that its
// moves never began. The moves are not continued once the group's cooldown has passed, because
// the reasons for them may no longer hold.
func (m *Model) LoadRebalanceCycle(group string, rec jobstore.RebalanceCycle, now time.Time) {
	m.RebalanceCycles[group] = &RebalanceCycle{Record: rec}
	if now.UnixMilli() >= rec.CooldownUntilMs {
		return
	}
	for _, move := range rec.Moves {
		ref, p := m.taskOfMove(move)
		if p == nil || p.Attempt != move.Attempt {
			continue
		}
		if i, ok := m.names.machines[move.From]; ok && p.Machine == i {
			m.StopTask(ref, StopMoveResumed, now)
		}
	}
}

// taskOfMove returns the task of a move and its placement. The placement is nil if the task is
// unknown or not placed.
func (m *Model) taskOfMove(move jobstore.Move) (TaskRef, *Placement) {
	j, task := m.taskNamed(move.Task)
	if j == nil {
		return TaskRef{}, nil
	}
	return TaskRef{Job: j.Index, Task: task}, j.Tasks[task].Placement
}

// rebalanceGroupName returns the name of the rebalancing group of a machine type and zone. Tasks
// are never moved between groups.
func rebalanceGroupName(machineType, zone string) string { return zone + "/" + machineType }

// moveTargets returns, by task, the machines on which moved tasks of a job should start, as
// positions in the input of a scheduling pass. positions maps machine indexes to these positions.
// moveTargets returns nil if no task of the job is being moved.
func (m *Model) moveTargets(j *Job, positions map[int]int) map[int32]int {
	if j.Gang() {
		return nil
	}
	var out map[int32]int
	for _, c := range m.RebalanceCycles {
		for _, move := range c.Record.Moves {
			ref, p := m.taskOfMove(move)
			if p != nil || ref.Job != j.Index || m.Jobs[ref.Job] != j || !isTaskOf(j, move.Task) {
				continue
			}
			to, ok := m.names.machines[move.To]
			if !ok {
				continue
			}
			if position, ok := positions[int(to)]; ok {
				if out == nil {
					out = map[int32]int{}
				}
				out[ref.Task] = position
			}
		}
	}
	return out
}

// isTaskOf reports whether name is the name of a task of the job.
func isTaskOf(j *Job, name string) bool {
	id, _, ok := wire.ParseTaskName(name)
	return ok && id == j.ID
}

// quarantineFailedMove applies the end of a task's attempt to the task's move, if it has one.
// failure says why the attempt failed and is empty if it did not. If it failed, the task is not
// moved again for QuarantineS.
func (m *Model) quarantineFailedMove(ref TaskRef, failure string, now time.Time) {
	if failure == "" {
		return
	}
	j := m.Jobs[ref.Job]
	if j == nil {
		return
	}
	name := wire.TaskName(j.ID, int(ref.Task))
	for _, c := range m.RebalanceCycles {
		for i, move := range c.Record.Moves {
			if move.Task == name {
				if c.Record.QuarantineUntilMs == nil {
					c.Record.QuarantineUntilMs = map[string]int64{}
				}
				c.Record.QuarantineUntilMs[name] = now.Add(config.Seconds(m.RebalanceSettings.QuarantineS)).UnixMilli()
				c.Record.Moves = append(c.Record.Moves[:i:i], c.Record.Moves[i+1:]...)
				m.log.Info("rebalancing move failed: task quarantined", "task", name, "why", failure)
				break
			}
		}
	}
}

// PlanMoves plans a cycle for every group in which moving tasks would make room for wanted
// requests. It returns the cycles' records by group and does not change the model. Each record
// must be committed before BeginMoves starts its moves. The result is nil if rebalancing is
// disabled, nothing is wanted, or the leader was elected too recently to know its machines.
func (m *Model) PlanMoves(wanted []placement.Request, now time.Time) map[string]jobstore.RebalanceCycle {
	if !m.RebalanceSettings.Enabled || len(wanted) == 0 || now.Sub(m.ElectedAt) < config.Seconds(takeoverHeartbeats*m.settings.Cluster.Workers.HeartbeatS) {
		return nil
	}
	cycles := map[string]jobstore.RebalanceCycle{}
	groups := m.rebalanceGroups(now)
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		machines := groups[name]
		var last jobstore.RebalanceCycle
		if c := m.RebalanceCycles[name]; c != nil {
			last = c.Record
		}
		if now.UnixMilli() < last.CooldownUntilMs {
			continue
		}
		if cycle := m.planCycle(machines, servableWaiting(machines, wanted), last, now); len(cycle.Moves) > 0 {
			cycles[name] = cycle
		}
	}
	return cycles
}

// rebalanceGroups returns the machines that take part in rebalancing, by group. Each group is in
// the model's order.
func (m *Model) rebalanceGroups(now time.Time) map[string][]*Machine {
	groups := map[string][]*Machine{}
	for _, mc := range m.Machines {
		if m.Ready(mc, now) && !m.keptByPool(mc) {
			name := rebalanceGroupName(m.MachineTypes[mc.typeIndex].Name, m.Zones[mc.Zone])
			groups[name] = append(groups[name], mc)
		}
	}
	return groups
}

// servableWaiting returns the requests that the machines of a group may serve, as waiting tasks.
func servableWaiting(group []*Machine, wanted []placement.Request) []rebalance.UnplacedTask {
	var waiting []rebalance.UnplacedTask
	for i := range wanted {
		r := &wanted[i]
		if r.Types[group[0].typeIndex] && (r.Zone < 0 || r.Zone == group[0].Zone) {
			waiting = append(waiting, rebalance.UnplacedTask{Need: r.Need, Spot: r.Spot})
		}
	}
	return waiting
}

// planCycle plans the cycle of a group of machines that follows its last one. The cycle has no
// moves if moving tasks makes no room for the wanted tasks.
func (m *Model) planCycle(machines []*Machine, wanted []rebalance.UnplacedTask, last jobstore.RebalanceCycle, now time.Time) jobstore.RebalanceCycle {
	if len(wanted) == 0 {
		return jobstore.RebalanceCycle{}
	}
	maxBytes := m.writes.limits().maxValueBytes()
	cycle := cycleAfter(last, now.UnixMilli(), maxBytes)
	group := rebalance.Group{Policies: m.RebalanceSettings.Policies, MaxMoves: m.RebalanceSettings.Budget, Unplaced: wanted}
	for _, mc := range machines {
		group.Hosts = append(group.Hosts, m.rebalanceHost(mc, cycle, now))
	}
	for _, move := range rebalance.Plan(group) {
		j := m.Jobs[move.Task.Job]
		name := wire.TaskName(j.ID, int(move.Task.Task))
		cycle.Moves = append(cycle.Moves, jobstore.Move{
			Task: name, Attempt: j.Tasks[move.Task.Task].Placement.Attempt,
			From: machines[move.From].Name, To: machines[move.To].Name,
		})
		cycle.TaskCooldownUntilMs[name] = now.Add(config.Seconds(m.RebalanceSettings.TaskCooldownS)).UnixMilli()
	}
	cycle.CooldownUntilMs = now.Add(config.Seconds(m.RebalanceSettings.CooldownS)).UnixMilli()
	dropMovesBeyond(&cycle, maxBytes)
	return cycle
}

// cycleAfter returns a cycle without moves that keeps the cooldowns of the last one. Its record leaves room
// for moves in maxBytes.
func cycleAfter(last jobstore.RebalanceCycle, nowMs int64, maxBytes int) jobstore.RebalanceCycle {
	maxListBytes := int(cooldownShare * float64(maxBytes))
	return jobstore.RebalanceCycle{
		TaskCooldownUntilMs: pruneCooldowns(last.TaskCooldownUntilMs, nowMs, maxListBytes),
		QuarantineUntilMs:   pruneCooldowns(last.QuarantineUntilMs, nowMs, maxListBytes),
	}
}

// dropMovesBeyond removes the last moves of a cycle until its record takes at most maxBytes.
func dropMovesBeyond(cycle *jobstore.RebalanceCycle, maxBytes int) {
	for len(cycle.Moves) > 0 && cycle.Size() > maxBytes {
		last := len(cycle.Moves) - 1
		delete(cycle.TaskCooldownUntilMs, cycle.Moves[last].Task)
		cycle.Moves = cycle.Moves[:last]
	}
}

// rebalanceHost converts a machine to the input of package rebalance. A task is movable if it is
// running, can continue from a checkpoint, has not run for long, and is neither in its cooldown
// after a move nor quarantined. Tasks of gangs and of jobs with a spread constraint are not movable.
func (m *Model) rebalanceHost(mc *Machine, rec jobstore.RebalanceCycle, now time.Time) rebalance.Host {
	h := rebalance.Host{Capacity: m.MachineTypes[mc.typeIndex].Capacity, Used: mc.Used.Add(mc.orphaned, 1)}
	for _, ref := range sortedRefs(mc.Tasks) {
		j := m.Jobs[ref.Job]
		p := j.Tasks[ref.Task].Placement
		name := j.ID + "/" + strconv.Itoa(int(ref.Task))
		movable := !j.Gang() && p.Stop == nil && !p.StopHeld && p.reportedState == reportedRunning && j.Spec.CheckpointS > 0 &&
			now.Sub(p.runningSince).Seconds() < m.RebalanceSettings.LongRunningS &&
			rec.TaskCooldownUntilMs[name] == 0 && rec.QuarantineUntilMs[name] == 0 && !j.Spec.Spread
		h.Tasks = append(h.Tasks, rebalance.Task{ID: ref, Need: j.Need, Movable: movable, Spot: j.Spec.Spot})
	}
	h.Spot = mc.Spot
	return h
}

// pruneCooldowns returns the entries of untilMs that end after nowMs, by task. If there are more than
// maxCooldowns, or they take more than maxBytes in the record, it leaves out those that end first.
func pruneCooldowns(untilMs map[string]int64, nowMs int64, maxBytes int) map[string]int64 {
	var tasks []string
	for task, until := range untilMs {
		if until > nowMs {
			tasks = append(tasks, task)
		}
	}
	slices.SortFunc(tasks, func(a, b string) int {
		return cmp.Or(cmp.Compare(untilMs[b], untilMs[a]), strings.Compare(a, b))
	})
	out := map[string]int64{}
	for _, task := range tasks[:min(len(tasks), maxCooldowns)] {
		if maxBytes -= wire.JSONTextSize(task) + cooldownTimeBytes; maxBytes < 0 {
			break
		}
		out[task] = untilMs[task]
	}
	return out
}

// BeginMoves starts a cycle whose record has been committed. It stops the tasks that are to move.
// It skips moves whose attempt has ended or has been ordered to stop already.
func (m *Model) BeginMoves(group string, rec jobstore.RebalanceCycle, now time.Time) {
	m.RebalanceCycles[group] = &RebalanceCycle{Record: rec}
	for _, move := range rec.Moves {
		if ref, p := m.taskOfMove(move); p != nil && p.Attempt == move.Attempt && p.Stop == nil {
			m.StopTask(ref, StopMoved, now)
		}
	}
}
