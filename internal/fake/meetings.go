package fake

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/election"
	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

// This file is what stories of troubles that meet need: steps that bring them
// about, what shows that they met, and checks of cancelled and of waiting jobs.

// Met notes that a story's troubles have met: rules broken from now on are said with
// how long after.
func (w *World) Met() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.met = time.Now()
}

// StartedAfterCancel is how many tasks got on a machine after their job's user was
// told that it is cancelled. Those whose launch was on its way then are allowed to
// for as long as cancel_s, after which the checker calls the rule broken.
func (w *World) StartedAfterCancel() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.afterCancel
}

// checkCancelled sees to it that what is on a machine is not of a job cancelled
// more than cancel_s ago. The lock is held.
func (w *World) checkCancelled(t *task, now time.Time) {
	j := w.jobs[t.job.ID]
	if j.cancelled.IsZero() || now.Sub(j.cancelled) <= secs(w.Settings.Cluster.Workers.CancelS) {
		return
	}
	how := ""
	if t.m.hung {
		how = ", which hangs"
	}
	w.breaksLocked("ran_cancelled: %s is on %s%s", t.name, t.m.name, how)
	j.cancelled = now // said once for each cancel_s
}

// Silence lets a machine open no connection to any controller, while direct
// commands reach it and are answered, or ends that.
func (w *World) Silence(name string, on bool) {
	for _, n := range w.nodes {
		w.Net.SetClosed(name, n.name, on)
	}
}

// CutMachine cuts a machine off from every controller, or ends that.
func (w *World) CutMachine(name string, on bool) {
	for _, n := range w.nodes {
		w.Net.setCut(n.name, name, on)
	}
}

// CutOff cuts the controllers and the machines of a zone off from all that is not
// in it, or ends that. Users, cloud and state service belong to no zone.
func (w *World) CutOff(zone string, on bool) {
	var in []string
	out := []string{"state", "cloud", "user"}
	place := func(name, z string) {
		if z == zone {
			in = append(in, name)
		} else {
			out = append(out, name)
		}
	}
	for _, n := range w.nodes {
		place(n.name, n.cfg.Zone)
	}
	for _, name := range w.Cloud.Machines() {
		place(name, w.ZoneOf(name))
	}
	for _, a := range in {
		for _, b := range out {
			w.Net.setCut(a, b, on)
		}
	}
}

// Token is the token of the leader whose key is in the state service; 0: there is
// none.
func (w *World) Token() uint64 {
	w.State.mu.Lock()
	defer w.State.mu.Unlock()
	return w.State.keys[election.Key].Version
}

// Direct is how many direct commands a machine has carried out, those that
// DeliverDirect delivered left out.
func (w *World) Direct(name string) int {
	m := w.Cloud.machine(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	return m.direct
}

// LateAnswers is how many answers a machine has taken more than a second after it
// sent its report.
func (w *World) LateAnswers(name string) int {
	m := w.Cloud.machine(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	return m.late
}

// CPUs is what a team's tasks use.
func (w *World) CPUs(team string) (cpus float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, ms := range w.here {
		if id, _, _ := wire.SplitTask(name); w.jobs[id].spec.Team == team {
			cpus += w.jobs[id].spec.CPUs * float64(len(ms))
		}
	}
	return cpus
}

const (
	longToGo  = 30.0                   // seconds
	cancelsIn = 200 * time.Millisecond // all that CancelNow asks for
	hangsMost = 8                      // machines
)

// CancelNow cancels so many jobs, within a fifth of a second, that run and have
// long to go. With hang some of their machines hang for so long, from before the
// first is asked for. It does not wait for the answers.
func (w *World) CancelNow(n int, hang time.Duration) (ids, hung []string) {
	w.mu.Lock()
	now := time.Now()
	on := map[string][]*machine{}
	for name, ms := range w.here {
		id, _, _ := wire.SplitTask(name)
		j := w.jobs[id]
		for m := range ms {
			for _, t := range m.tasks {
				long := j.spec.Kind == wire.KindService || j.spec.EstimateS-w.progress[name]-now.Sub(t.waiting).Seconds() > longToGo
				if t.name == name && t.here && j.accepted && !j.asked && long {
					on[id] = append(on[id], m)
				}
			}
		}
	}
	for id := range on {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	w.rnd.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
	ids = ids[:min(n, len(ids))]
	var machines []*machine
	for _, id := range ids {
		slices.SortFunc(on[id], func(a, b *machine) int { return cmp.Compare(a.name, b.name) })
		for _, m := range on[id] {
			if hang > 0 && len(machines) < hangsMost && !m.hung && !slices.Contains(machines, m) {
				m.hung = true
				machines, hung = append(machines, m), append(hung, m.name)
			}
		}
	}
	w.mu.Unlock()
	for i, id := range ids {
		w.wg.Go(func() {
			if call.Pause(w.ctx, cancelsIn*time.Duration(i)/time.Duration(len(ids))) {
				w.Cancel(id)
			}
		})
	}
	w.wg.Go(func() {
		if call.Pause(w.ctx, hang) {
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, m := range machines {
				m.hung = false
			}
		}
	})
	return ids, hung
}

// Starved watches, once troubles are over, for as long as it takes until no job
// waits that could run, a while at most, and names the jobs that waited all that
// time though a machine that fits had room and the team was under its limit.
func (w *World) Starved(within time.Duration) []string {
	since := map[string]time.Time{}
	for {
		now := time.Now()
		may := w.couldStart()
		for id := range since {
			if !slices.Contains(may, id) {
				delete(since, id)
			}
		}
		var out []string
		for _, id := range may {
			if since[id].IsZero() {
				since[id] = now
			}
			if now.Sub(since[id]) >= within {
				out = append(out, id)
			}
		}
		if len(may) == 0 || len(out) > 0 || !call.Pause(w.ctx, time.Second) {
			return out
		}
	}
}

// couldStart lists the jobs with a task that could start now, a gang if all could.
func (w *World) couldStart() (out []string) {
	var all []*machine
	for _, name := range w.Cloud.Machines() {
		if m := w.Cloud.machine(name); m != nil {
			all = append(all, m)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, j := range w.jobs {
		waiting := j.spec.Tasks - len(j.done)
		zones := map[string]int{}
		for _, m := range all {
			for _, t := range m.tasks {
				if t.job == &j.spec && t.state != wire.TaskExited && !j.done[t.idx] {
					waiting--
					zones[m.zone]++
				}
			}
		}
		if !wire.ValidUserID(id) || !j.accepted || j.asked || j.spec.Class == BrokenClass || waiting <= 0 {
			continue
		}
		need := 1
		if j.spec.Kind == wire.KindGang {
			if need = waiting; waiting < j.spec.Tasks {
				continue // its attempt ends before the next begins
			}
		}
		if w.under(&j.spec, need, all) && w.roomFor(&j.spec, all, zones) >= need {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// under says whether a team's limit leaves room for so many more tasks; the lock
// is held. What fetches its image counts.
func (w *World) under(j *wire.Job, n int, all []*machine) bool {
	cpus, gpus := j.CPUs*float64(n), j.GPUs*float64(n)
	for _, m := range all {
		for _, t := range m.tasks {
			if t.job != nil && t.job.Team == j.Team && t.state != wire.TaskExited {
				cpus, gpus = cpus+t.job.CPUs, gpus+t.job.GPUs
			}
		}
	}
	for _, team := range w.Settings.Cluster.Teams {
		if team.Name == j.Team && (team.CPUsMax > 0 && cpus > team.CPUsMax+1e-6 || team.GPUsMax > 0 && gpus > team.GPUsMax+1e-6) {
			return false
		}
	}
	return true
}

// roomFor is how many tasks of a job fit on the machines that work; zones is where
// others of its tasks are. The lock is held.
func (w *World) roomFor(j *wire.Job, all []*machine, zones map[string]int) int {
	fits := map[string]int{}
	for _, m := range all {
		if m.dead || m.hung || m.faulty || m.notice != nil || m.spot && !j.Spot || j.Zone != "" && j.Zone != m.zone ||
			len(j.Types) > 0 && !slices.Contains(j.Types, m.typ.Name) || time.Since(m.renewed) > secs(w.Settings.Cluster.Workers.LeaseS)/2 {
			continue
		}
		cpus, gpus, mem := m.typ.CPUs, m.typ.GPUs, m.typ.MemoryGB
		for _, t := range m.tasks {
			if t.job != nil && t.state != wire.TaskExited {
				cpus, gpus, mem = cpus-t.job.CPUs, gpus-t.job.GPUs, mem-t.job.MemoryGB
			}
		}
		for cpus+1e-6 >= j.CPUs && gpus+1e-6 >= j.GPUs && mem+1e-6 >= j.MemoryGB && fits[m.zone] < j.Tasks {
			fits[m.zone]++
			cpus, gpus, mem = cpus-j.CPUs, gpus-j.GPUs, mem-j.MemoryGB
		}
	}
	n, most := 0, 0
	for zone, k := range fits {
		if j.Spread {
			k = min(k, (j.Tasks+1)/2-zones[zone])
		}
		if j.OneZone && len(zones) > 0 && zones[zone] == 0 {
			k = 0
		}
		n, most = n+k, max(most, k)
	}
	if j.OneZone {
		return most
	}
	return n
}

// cancelAtEnd has jobs cancelled as their last task ends. The world's lock guards it.
type cancelAtEnd struct {
	share float64
	rnd   *rand.Rand
	asked []string
}

// CancelAtEnd has the users of a share of the jobs that end cancel them at that moment; 0
// ends that.
func (w *World) CancelAtEnd(share float64, seed uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.atEnd.share, w.atEnd.rnd = share, rand.New(rand.NewPCG(seed, 43))
}

// CancelledAtEnd lists the jobs whose users have asked so.
func (w *World) CancelledAtEnd() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.atEnd.asked)
}

// taskDone takes in that a task has completed, as the last of its job or not; the lock is
// held.
func (w *World) taskDone(j *job, task int) {
	if j.done[task] {
		return
	}
	j.done[task] = true
	if len(j.done) < j.spec.Tasks || j.asked || !wire.ValidUserID(j.spec.ID) ||
		w.atEnd.share == 0 || w.atEnd.rnd.Float64() >= w.atEnd.share {
		return
	}
	j.asked = true
	w.atEnd.asked = append(w.atEnd.asked, j.spec.ID)
	w.wg.Go(func() { w.Cancel(j.spec.ID) })
}
