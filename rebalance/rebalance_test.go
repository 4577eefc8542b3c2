package rebalance

import (
	"testing"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/placement"
)

var hostCapacity = placement.Resources{CPU: 16, GPU: 2, Mem: 128}

// host returns a host that runs the given tasks of one job.
func host(job int, tasks ...Task) Host {
	h := Host{Capacity: hostCapacity, Tasks: tasks}
	for i := range tasks {
		tasks[i].ID = placement.Task{Job: int32(job), Task: int32(i)}
		h.Used = h.Used.Add(tasks[i].Need, 1)
	}
	return h
}

func smallTask(movable bool) Task {
	return Task{Need: placement.Resources{CPU: 6, GPU: 1, Mem: 48}, Movable: movable}
}

// group returns hosts that may make two moves, and an unplaced task that needs nearly all
// CPUs of a host.
func group(hosts ...Host) Group {
	return Group{
		Policies: []config.Policy{{Resource: "cpus", Weight: 0.4, Threshold: 0.2, CapacityThreshold: 1}, {Resource: "gpus", Weight: 0.4, Threshold: 0.2, CapacityThreshold: 1},
			{Resource: "memory", Weight: 0.2, Threshold: 0.2, CapacityThreshold: 1}},
		Hosts: hosts, MaxMoves: 2, Unplaced: []UnplacedTask{{Need: placement.Resources{CPU: 15, Mem: 26}}},
	}
}

// Guards against moves between hosts that leave every host partly used. The least utilized host must
// be drained, onto the fullest host with room.
func TestLeastUtilizedHostDrainsOntoFullest(t *testing.T) {
	g := group(host(0, smallTask(true)), host(1, smallTask(true), smallTask(true)), host(2, smallTask(true)), host(3, Task{Need: placement.Resources{CPU: 2, Mem: 8}, Movable: true}))
	moves := Plan(g)
	if len(moves) != 1 || moves[0].From != 3 || moves[0].To != 1 {
		t.Fatalf("moves %v: want the task of host 3, the least utilized one, moved to host 1, the fullest", moves)
	}
}

// Guards against restarts of tasks for no benefit. Tasks may move only while there are an unplaced
// task, an imbalance above its threshold and moves left.
func TestNoMoveWithoutUnplacedTaskImbalanceOrMovesLeft(t *testing.T) {
	hosts := func() []Host { return []Host{host(0, smallTask(true)), host(1, smallTask(true)), host(2)} }
	if len(Plan(group(hosts()...))) != 1 {
		t.Fatal("no single move although there are an unplaced task, an imbalance and moves left")
	}
	g := group(hosts()...)
	g.Unplaced = nil
	if len(Plan(g)) > 0 {
		t.Error("moved although no task is unplaced")
	}
	g = group(host(0, smallTask(true)), host(1, smallTask(true)))
	if len(Plan(g)) > 0 {
		t.Error("moved although every imbalance is below its threshold")
	}
	g = group(host(0, smallTask(true), smallTask(true)), host(1), host(2))
	g.Hosts[1] = host(1, smallTask(true))
	g.MaxMoves = 0
	if len(Plan(g)) > 0 {
		t.Error("moved more tasks than MaxMoves")
	}
}

// Guards against moves from a host that has a task that can't move, and against moves that fill a
// host above its capacity threshold.
func TestHostIsDrainedAsAWholeOrNotAtAll(t *testing.T) {
	if moves := Plan(group(host(0, smallTask(false)), host(1, smallTask(false)), host(2))); len(moves) > 0 {
		t.Errorf("moved tasks that are not movable: %v", moves)
	}
	g := group(host(0, smallTask(true)), host(1, smallTask(true)), host(2))
	for i := range g.Policies {
		g.Policies[i].CapacityThreshold = 0.5
	}
	if moves := Plan(g); len(moves) > 0 && moves[0].To != 2 {
		t.Errorf("filled a host above its capacity threshold: %v", moves)
	}
}

// Room on a spot machine is useless for a task that may not run there. Spot hosts were drained for
// such tasks all the same: running tasks were restarted, and the waiting task kept waiting.
func TestSpotHostIsNotDrainedForATaskThatMayNotUseIt(t *testing.T) {
	spotHost := host(2, Task{Need: placement.Resources{CPU: 2, Mem: 8}, Movable: true, Spot: true})
	spotHost.Spot = true
	g := group(host(0, smallTask(true)), host(1, smallTask(true), smallTask(true)), spotHost)
	g.Hosts[0].Tasks[0].Movable = false
	if moves := Plan(g); len(moves) > 0 {
		t.Errorf("moves %v for a task that needs an on-demand machine", moves)
	}
	g.Unplaced = append(g.Unplaced, UnplacedTask{Need: g.Unplaced[0].Need, Spot: true})
	if moves := Plan(g); len(moves) != 1 || moves[0].From != 2 {
		t.Errorf("moves %v: want host 2, the spot machine, drained for the task that may use it", moves)
	}
}
