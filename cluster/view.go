package cluster

import (
	"context"
	"log/slog"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	maxRequestTasks = 64  // of one job in one pass
	maxRequests     = 400 // in one pass
)

// class is what has been seen of a class of jobs.
type class struct {
	spec    *Job
	biggest int
	open    int // unfinished tasks
	seen    time.Time
	recent  []time.Time // arrivals of the last two minutes
	waits   bool        // an aim speaks of how soon its jobs start
	runs    estimator
	spread  spread
}

const (
	recentFor   = 2 * time.Minute
	reserveLead = 20 * time.Second
)

// expected is how many jobs of a class are likely to come in the time in which
// its aim wants one started.
func (c *class) expected(now time.Time) int {
	for len(c.recent) > 0 && now.Sub(c.recent[0]) > recentFor {
		c.recent = c.recent[1:]
	}
	return int(math.Ceil(float64(len(c.recent)) * reserveLead.Seconds() / recentFor.Seconds()))
}

func (m *Model) arrival(j *Job, now time.Time) {
	c := m.classes[j.Spec.Class]
	if c == nil {
		if len(m.classes) >= 64 {
			return
		}
		c = &class{}
		for _, o := range m.cfg.Cluster.Objectives {
			c.waits = c.waits || o.Kind == "wait" && o.Class == j.Spec.Class
		}
		m.classes[j.Spec.Class] = c
	}
	c.spec, c.seen = j, now
	c.runs.came(j.Spec.EstimateS)
	if now.Sub(j.At) < recentFor && len(c.recent) < 1000 {
		c.recent = append(c.recent, j.At)
	}
	c.biggest = max(c.biggest, min(len(j.Tasks), 16))
}

// latestStarts is when a job must start at the latest to meet each of its
// class's aims that it can still meet; urgent says that the first is on how
// soon it starts, and missed that none is left of those there were.
func (m *Model) latestStarts(j *Job, left float64, tasks int, within bool, now time.Time) (at []time.Time, missed, urgent bool) {
	sp := m.spreadOf(j)
	delay := config.Seconds(sp.delay())
	est := config.Seconds(sp.last(left, tasks)) + delay
	aims := 0
	var wait time.Time
	take := func(t time.Time) {
		aims++
		if !t.Before(now) {
			at = append(at, t)
		}
	}
	soon := func(o config.Objective) {
		if j.FirstRun.IsZero() {
			t := j.At.Add(config.Seconds(o.WithinS) - delay)
			take(t)
			if !t.Before(now) && (wait.IsZero() || t.Before(wait)) {
				wait = t
			}
		}
	}
	for _, o := range m.cfg.Cluster.Objectives {
		if o.Class != j.Spec.Class && o.Class != "" {
			continue
		}
		switch o.Kind {
		case "wait":
			soon(o)
		case "guarantee":
			// One that has waited for longer is no worse off for waiting on:
			// those that have just come are served before it, until its next
			// aim is near.
			if within {
				soon(o)
			}
		case "finished":
			take(j.At.Add(config.Seconds(o.WithinS) - est))
		case "deadline":
			if j.Spec.DeadlineS != nil {
				times := o.Times
				if times <= 0 {
					times = 1
				}
				take(j.At.Add(config.Seconds(*j.Spec.DeadlineS*times) - est))
			}
		}
	}
	sort.Slice(at, func(a, b int) bool { return at[a].Before(at[b]) })
	return at, aims > 0 && len(at) == 0, len(at) > 0 && at[0].Equal(wait)
}

type ranked struct {
	j      *Job
	within bool
	due    time.Time
	later  []time.Time // what it is due for once it is put off
	missed bool
	putOff bool // from an aim it could still meet, for others' sake
	urgent bool
	left   float64 // seconds that the longest of its waiting tasks takes
	work   float64
	req    placement.Request
}

// next takes a job's next aim as what it is due for.
func (r *ranked) next(now time.Time) {
	if len(r.later) == 0 {
		r.due = now.Add(time.Hour)
		return
	}
	r.due, r.later = r.later[0], r.later[1:]
}

// within finds the jobs that fit into their team's guarantee together with
// the team's earlier unfinished jobs.
func (m *Model) within(jobs []*Job) map[int32]bool {
	out := map[int32]bool{}
	use := make([]placement.Res, len(m.teams))
	for _, j := range jobs { // in order of arrival
		if j.Team < 0 {
			continue
		}
		use[j.Team] = use[j.Team].Add(j.Need, float64(len(j.Tasks)-j.Done))
		g := m.guarantee[j.Team]
		// A resource of which the team is guaranteed nothing does not count: a
		// team with guaranteed CPUs and no word of GPUs may use both.
		if g.CPU+g.GPU > 0 && (g.CPU == 0 || use[j.Team].CPU <= g.CPU+1e-6) &&
			(g.GPU == 0 || use[j.Team].GPU <= g.GPU+1e-6) {
			out[j.Idx] = true
		}
	}
	return out
}

func (m *Model) openJobs() []*Job {
	// A leader may see far more jobs over its time than are there at once: those
	// that are out of the model are dropped here, not looked at for ever.
	live := m.live[:0]
	for _, idx := range m.live {
		if m.Jobs[idx] != nil {
			live = append(live, idx)
		}
	}
	m.live = live
	var jobs []*Job
	for _, idx := range m.live {
		if j := m.Jobs[idx]; !j.Cancelled && !j.Finished && j.Done < len(j.Tasks) {
			jobs = append(jobs, j)
		}
	}
	sort.SliceStable(jobs, func(a, b int) bool { return jobs[a].At.Before(jobs[b].At) })
	return jobs
}

// requests lists what waits for room, in the order it is to be served.
func (m *Model) requests(jobs []*Job, in map[int32]bool, now time.Time) []*ranked {
	for _, c := range m.classes {
		c.open = 0
	}
	var out, last []*ranked
	for _, j := range jobs {
		if c := m.classes[j.Spec.Class]; c != nil && !j.record.atFault() {
			c.open += len(j.Tasks) - j.Done
		}
		r, ok := m.request(j, now)
		if !ok {
			continue
		}
		k := &ranked{j: j, within: in[j.Idx], req: r}
		if j.record.atFault() {
			// Free room and nothing else: no place is kept, made or rented for
			// it, and no image fetched before those of healthy work.
			k.within, k.missed, k.req.Spare = false, true, true
			k.next(now)
			last = append(last, k)
			continue
		}
		est := m.expected(j)
		for _, t := range r.Tasks {
			k.left = max(k.left, rest(est, &j.Tasks[t]))
		}
		k.later, k.missed, k.urgent = m.latestStarts(j, k.left, len(r.Tasks), k.within, now)
		k.next(now)
		k.req.Within, k.req.Hold = k.within, k.urgent && m.rivals(j)
		out = append(out, k)
	}
	sort.SliceStable(out, func(a, b int) bool {
		x, y := out[a], out[b]
		switch {
		case x.within != y.within:
			return x.within
		case x.j.Priority != y.j.Priority:
			return x.j.Priority < y.j.Priority
		case x.missed != y.missed:
			return y.missed
		}
		return x.due.Before(y.due)
	})
	m.triage(out, now)
	if len(out) > maxRequests {
		out = out[:maxRequests]
	}
	m.keepOffGPUs(out, jobs)
	return append(out, last...)
}

// keepOffGPUs keeps work that needs no GPU away from machines that have them
// while other work waits for GPUs: jobs that no aim speaks of altogether, and
// the others as long as stopping such jobs elsewhere makes room for them.
// Otherwise a guest's tasks take the machines without GPUs for minutes, and
// everybody else's those with GPUs.
func (m *Model) keepOffGPUs(out []*ranked, jobs []*Job) {
	gpus := slices.ContainsFunc(out, func(k *ranked) bool { return k.j.Need.GPU > 0 })
	plain := make([]bool, len(m.Types))
	for i := range m.Types {
		plain[i] = m.Types[i].Cap.GPU == 0
	}
	if !gpus || !slices.Contains(plain, true) {
		return
	}
	aimless := slices.ContainsFunc(jobs, func(j *Job) bool { return j.Placed > 0 && j.Need.GPU == 0 && !m.aimed(j) })
	for _, k := range out {
		if k.j.Need.GPU > 0 || !slices.ContainsFunc(m.typesFor(k.j), func(ti int) bool { return plain[ti] }) {
			continue
		}
		switch {
		case !m.aimed(k.j) && !k.within:
			k.req.Types = both(k.req.Types, plain)
		case aimless:
			k.req.First = both(k.req.Types, plain)
		}
	}
}

// typesFor lists the types on which a task of the job fits.
func (m *Model) typesFor(j *Job) (out []int) {
	for i := range m.Types {
		if j.Types[i] && j.Need.Fits(m.Types[i].Cap) {
			out = append(out, i)
		}
	}
	return out
}

// aimed says whether any aim speaks of the job.
func (m *Model) aimed(j *Job) bool {
	for _, o := range m.cfg.Cluster.Objectives {
		switch o.Kind {
		case "wait", "finished", "deadline":
			if o.Class == j.Spec.Class {
				return true
			}
		}
	}
	return false
}

func both(a, b []bool) []bool {
	out := make([]bool, len(a))
	for i := range a {
		out[i] = a[i] && b[i]
	}
	return out
}

func (m *Model) request(j *Job, now time.Time) (placement.Request, bool) {
	r := placement.Request{
		Job: j.Idx, All: j.Gang(), Need: j.Need, Priority: j.Priority, Team: j.Team,
		Image: j.Image, ImageGB: j.Spec.ImageGB, Zone: j.Zone, OneZone: j.Spec.OneZone,
		ZoneUsed: append([]int(nil), j.ZoneUsed...), Types: j.Types, Spot: j.Spec.Spot,
	}
	if j.Gang() && j.Placed > 0 && (j.Started || j.Ending) {
		return r, false
	}
	limit := maxRequestTasks
	if j.Gang() {
		limit = len(j.Tasks)
	}
	if limit = j.held(limit, now); limit == 0 {
		return r, false
	}
	ms := now.UnixMilli()
	for j.cursor < len(j.Tasks) && j.Tasks[j.cursor].Phase != Idle {
		j.cursor++
	}
	for i := j.cursor; i < len(j.Tasks) && len(r.Tasks) < limit; i++ {
		t := &j.Tasks[i]
		if t.Phase != Idle {
			continue
		}
		if t.NotBefore > ms {
			if j.Gang() {
				return r, false
			}
			continue
		}
		r.Tasks = append(r.Tasks, int32(i))
	}
	if len(r.Tasks) == 0 {
		return r, false
	}
	if j.Spec.OneZone && r.Zone < 0 && j.Placed > 0 {
		// Whatever may still be on a machine pins the others to its zone. A
		// task recorded on a machine whose zone is not known yet pins them all.
		known := 0
		for z, n := range j.ZoneUsed {
			known += n
			if n > 0 {
				r.Zone = z
			}
		}
		if known < j.Placed {
			return r, false
		}
	}
	if j.Spec.Spread {
		r.SpreadMax = (len(j.Tasks) + 1) / 2
		known := 0
		for _, n := range j.ZoneUsed {
			known += n
		}
		if known < j.Placed {
			return r, false
		}
	}
	for idx, until := range j.avoid {
		if now.After(until) {
			delete(j.avoid, idx)
			continue
		}
		if r.Avoid == nil {
			r.Avoid = map[int]bool{}
		}
		r.Avoid[int(idx)] = true
	}
	return r, true
}

// ready says whether a machine can be given tasks now.
func (m *Model) ready(mc *Machine, now time.Time) bool {
	w := m.cfg.Cluster.Workers
	quiet := config.Seconds(min(w.ReportS*2.5+2, w.LeaseS/2))
	return mc.Up && !mc.Gone && !mc.Returning && mc.Notice.IsZero() && mc.Type >= 0 && mc.Zone >= 0 &&
		m.silentFor(mc, now) < quiet
}

// Expecting is how many machines should be reporting. The list lags: of machines
// that were returned a while ago it shows nothing. Leaders that expected those
// gave leadership up in turn, every few seconds, when a day's work was over.
func (m *Model) Expecting(now time.Time) int {
	n := 0
	lag := config.Seconds(2*m.cfg.Cluster.Cloud.ListLagS + 10)
	for _, mc := range m.Machines {
		listed := mc.Listed == wire.MachineRunning && now.Sub(m.Takeover) > lag && now.Sub(mc.ListedAt) < lag
		if !mc.Gone && !mc.Returning && (mc.Up || len(mc.Tasks) > 0 || listed) {
			n++
		}
	}
	return n
}

// over marks the tasks that run beyond their teams' guarantees, the last
// started first. Tasks of jobs that are within the guarantee are never among
// them: two teams that each have work within and beyond theirs would otherwise
// stop each other's in turn, over and over.
func (m *Model) over(within map[int32]bool) map[Ref]bool {
	out := map[Ref]bool{}
	if !slices.ContainsFunc(m.guarantee, func(g placement.Res) bool { return g != placement.Res{} }) {
		return out // nobody may claim anything
	}
	type cand struct {
		ref Ref
		at  time.Time
	}
	byTeam := make([][]cand, len(m.teams))
	for _, mc := range m.Machines {
		for ref := range mc.Tasks {
			j := m.Jobs[ref.Job]
			if j.Team >= 0 && !within[j.Idx] {
				byTeam[j.Team] = append(byTeam[j.Team], cand{ref, j.Tasks[ref.Task].Place.At})
			}
		}
	}
	for t, cs := range byTeam {
		excess := m.teams[t].Used.Add(m.guarantee[t], -1)
		sort.Slice(cs, func(a, b int) bool {
			if !cs[a].at.Equal(cs[b].at) {
				return cs[a].at.After(cs[b].at)
			}
			if cs[a].ref.Job != cs[b].ref.Job {
				return cs[a].ref.Job > cs[b].ref.Job
			}
			return cs[a].ref.Task > cs[b].ref.Task
		})
		for _, c := range cs {
			need := m.Jobs[c.ref.Job].Need
			g := m.guarantee[t]
			if need.GPU > 0 && g.GPU > 0 && excess.GPU > 1e-6 || need.CPU > 0 && excess.CPU > 1e-6 {
				out[c.ref] = true
				excess = excess.Add(need, -1)
			}
		}
	}
	return out
}

// loss estimates the seconds of work that stopping a task throws away.
func (m *Model) loss(j *Job, p *Place, now time.Time) float64 {
	switch {
	case p.Seen < seenRunning:
		return 2
	case j.Spec.CheckpointS > 0:
		return j.Spec.SaveS
	}
	return now.Sub(p.Since).Seconds()
}

// left estimates the seconds until a task ends by itself.
func (m *Model) left(j *Job, task int32, now time.Time) float64 {
	if j.Spec.Kind == wire.KindService {
		return 1e9
	}
	p, more := j.Tasks[task].Place, m.remaining(j, task)
	if p.Seen < seenRunning || p.Since.IsZero() {
		return 5 + more
	}
	ran := now.Sub(p.Since).Seconds()
	// One that has run past what was expected is likely to run on for a while.
	return max(5, ran/5, more-ran)
}

func (m *Model) machineView(mc *Machine, over map[Ref]bool, now time.Time) (placement.Machine, bool) {
	v := placement.Machine{Name: mc.Name, Type: mc.Type, Zone: mc.Zone, Spot: mc.Spot}
	if m.ready(mc, now) {
		v.Ready = true
	} else if eta, ok := m.booting(mc, now); ok {
		v.ETA = eta
	} else {
		return v, false
	}
	t := &m.Types[mc.Type]
	v.Cap, v.Price, v.FetchRate = t.Cap, t.Price, t.Fetch
	if mc.Spot {
		v.Price = t.Spot
	}
	v.Free = t.Cap.Add(mc.Used, -1).Add(mc.orphans, -1)
	images := len(m.imageBuf)
	if mc.suspected(now) {
		v.Slow = 300
	}
	if mc.speed > 1.5 {
		v.Slow += 20 * mc.speed
	}
	tasks := len(m.taskBuf)
	m.refBuf = sortRefs(mc.Tasks, m.refBuf[:0])
	for _, ref := range m.refBuf {
		j := m.Jobs[ref.Job]
		p := j.Tasks[ref.Task].Place
		if p.Seen < seenWaiting && t.Fetch > 0 && !mc.has(j.Image) {
			left := max(0.5, j.Spec.ImageGB/t.Fetch-now.Sub(p.At).Seconds())
			if !slices.ContainsFunc(m.imageBuf[images:], func(im placement.ImageAt) bool { return im.Image == j.Image }) {
				m.imageBuf = append(m.imageBuf, placement.ImageAt{Image: j.Image, In: left})
				v.Backlog += left
			}
		}
		if p.Stop != nil {
			v.Coming = v.Coming.Add(j.Need, 1)
		}
		m.taskBuf = append(m.taskBuf, placement.Occupant{
			Task: ref, Need: j.Need, Priority: j.Priority, Team: j.Team, Over: over[ref],
			Loss: m.loss(j, p, now), Left: m.left(j, ref.Task, now), Stopping: p.Stop != nil, Fixed: p.Stop != nil || j.Gang() && len(j.Tasks) > 1,
		})
	}
	for _, im := range mc.images {
		m.imageBuf = append(m.imageBuf, placement.ImageAt{Image: im})
	}
	v.Images, v.Tasks = m.imageBuf[images:], m.taskBuf[tasks:]
	return v, true
}

func (mc *Machine) has(image int32) bool {
	for _, im := range mc.images {
		if im == image {
			return true
		}
	}
	return false
}

// Offer says what could be rented.
type Offer struct {
	Type string
	Zone string
	Spot bool
	key  offerKey
}

// Decisions is what a pass decided; starts and stops are in the model already.
type Decisions struct {
	Started int
	Rent    map[Offer]int
	Wanted  []placement.Request // requests that fit nowhere for want of room
}

// Schedule places what waits, stops what must make room and says what to rent.
func (m *Model) Schedule(now time.Time, renting int) Decisions {
	jobs := m.openJobs()
	within := m.within(jobs)
	reqs := m.requests(jobs, within, now)
	over := m.over(within)
	in := placement.Input{Machines: m.viewBuf[:0], Preempt: true, RentMax: max(0, rentAtOnce-renting)}
	m.taskBuf, m.imageBuf = m.taskBuf[:0], m.imageBuf[:0]
	back := make([]int32, 0, len(m.Machines))
	fwd := make(map[int]int, len(m.Machines))
	for _, mc := range m.Machines {
		if v, ok := m.machineView(mc, over, now); ok {
			fwd[int(mc.Idx)] = len(in.Machines)
			in.Machines = append(in.Machines, v)
			back = append(back, mc.Idx)
		}
	}
	reserved := map[string]bool{}
	job := make([]*Job, 0, len(reqs)+4)
	for k := range reqs {
		for _, r := range m.reserves(reqs[k], reserved, now) {
			in.Requests = append(in.Requests, r)
			job = append(job, nil)
		}
		job = append(job, reqs[k].j)
		r := reqs[k].req
		if len(r.Avoid) > 0 {
			avoid := map[int]bool{}
			for idx := range r.Avoid {
				if i, ok := fwd[idx]; ok {
					avoid[i] = true
				}
			}
			r.Avoid = avoid
		}
		r.Prefer = m.preferred(reqs[k].j, r.Tasks, fwd)
		in.Requests = append(in.Requests, r)
	}
	for _, r := range m.phantoms(jobs, now) {
		in.Requests = append(in.Requests, r)
		job = append(job, nil)
	}
	in.Teams = append(in.Teams, m.teams...)
	var offers []Offer
	in.Offers, offers = m.offers(now)

	plan := placement.Make(&in)
	m.viewBuf = in.Machines

	d := Decisions{Rent: map[Offer]int{}}
	attempts := map[int32]uint64{}
	for _, s := range plan.Starts {
		j := job[s.Request]
		if j == nil {
			continue
		}
		mc := m.Machines[back[s.Machine]]
		a, ok := attempts[j.Idx]
		if !ok {
			if !j.Gang() || j.Placed == 0 {
				j.Attempt++
			}
			a = j.Attempt
			attempts[j.Idx] = a
		}
		m.place(j, s.Task, mc, a, now)
		c := m.touch(j, s.Task)
		c.PlaceGen = c.Gen
		d.Started++
		m.log.Debug("placed", "job", j.ID, "task", s.Task, "attempt", a, "machine", mc.Name, "waited", now.Sub(j.At).Seconds())
	}
	for _, ref := range plan.Stops {
		m.StopTask(ref, "preempted", now)
	}
	for i, n := range plan.Rent {
		d.Rent[offers[i]] += n
	}
	for _, i := range plan.Waiting {
		if job[i] != nil {
			d.Wanted = append(d.Wanted, in.Requests[i])
		}
	}
	used := map[int]bool{}
	for _, s := range plan.Starts {
		if job[s.Request] == nil && s.Machine < len(back) {
			used[s.Machine] = true
		}
	}
	for v := range used {
		// Kept as headroom: not idle in the sense of being returned.
		if mc := m.Machines[back[v]]; len(mc.Tasks) == 0 {
			mc.IdleSince = now
		}
	}
	return d
}

// LogRoom says how the machines of each type are booked and what waits.
func (m *Model) LogRoom(wanted []placement.Request, now time.Time) {
	if !m.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	waiting := 0
	for i := range wanted {
		waiting += len(wanted[i].Tasks)
	}
	for ti := range m.Types {
		var ready, booting, without int // machines
		var cap, used, unsent placement.Res
		for _, mc := range m.Machines {
			if mc.Type != ti {
				continue
			}
			if !m.ready(mc, now) {
				if _, ok := m.booting(mc, now); ok {
					booting++
				}
				continue
			}
			ready++
			cap = cap.Add(m.Types[ti].Cap, 1)
			used = used.Add(mc.Used, 1)
			no := true
			for ref := range mc.Tasks {
				j := m.Jobs[ref.Job]
				no = no && j.Need.GPU == 0
				if j.Tasks[ref.Task].Place.Seen < seenRunning {
					unsent = unsent.Add(j.Need, 1)
				}
			}
			if no && len(mc.Tasks) > 0 {
				without++
			}
		}
		m.log.Debug("room", "type", m.Types[ti].Name, "ready", ready, "booting", booting, "cpus", cap.CPU, "cpusUsed", used.CPU,
			"gpus", cap.GPU, "gpusUsed", used.GPU, "cpusNotRunning", unsent.CPU, "gpusNotRunning", unsent.GPU, "withoutGPUTasks", without, "waiting", waiting)
	}
}

// rivals says whether classes that no aim wants started soon compete with a
// job that may not stop their tasks.
func (m *Model) rivals(j *Job) bool {
	for _, c := range m.classes {
		if !c.waits && c.spec.Priority == j.Priority && c.spec.Spec.Class != j.Spec.Class {
			return true
		}
	}
	return false
}

// reserves are phantoms to be served before a request: for a class whose aim
// is to start soon, and whose jobs may not stop those of the request's class,
// room is kept for the jobs that are likely to come.
func (m *Model) reserves(k *ranked, done map[string]bool, now time.Time) []placement.Request {
	if own := m.classes[k.j.Spec.Class]; own == nil || own.waits || k.within {
		return nil
	}
	var out []placement.Request
	for _, n := range m.classNames() {
		c := m.classes[n]
		if done[n] || !c.waits || c.spec.Priority != k.j.Priority {
			continue
		}
		done[n] = true
		if r := m.phantom(c, c.expected(now)); len(r.Tasks) > 0 {
			r.Reserve = true
			out = append(out, r)
		}
	}
	return out
}

func (m *Model) classNames() []string {
	names := make([]string, 0, len(m.classes))
	for n := range m.classes {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// phantom asks for room for n tasks like those of a class.
func (m *Model) phantom(c *class, n int) placement.Request {
	j := c.spec
	r := placement.Request{
		Job: -1, Need: j.Need, Priority: 9, Team: -1, Image: j.Image, Zone: -1,
		ZoneUsed: make([]int, len(m.Zones)), Types: j.Types, Spot: j.Spec.Spot, Phantom: true,
	}
	for i := range n {
		r.Tasks = append(r.Tasks, int32(i))
	}
	return r
}

// thrifty says whether the deployment has an aim on what it pays.
func (m *Model) thrifty() bool {
	for _, o := range m.cfg.Cluster.Objectives {
		if o.Kind == "price" || o.Kind == "cost" {
			return true
		}
	}
	return false
}

// phantoms are requests that no job has made: room kept for jobs that are
// likely to come, where no aim speaks of the price.
func (m *Model) phantoms(jobs []*Job, now time.Time) []placement.Request {
	if m.Headroom <= 0 || m.thrifty() || len(jobs) == 0 {
		return nil
	}
	var out []placement.Request
	for _, n := range m.classNames() {
		c := m.classes[n]
		if now.Sub(c.seen) > 10*time.Minute {
			continue
		}
		out = append(out, m.phantom(c, min(64, c.biggest+int(m.Headroom*float64(c.open)))))
	}
	return out
}

const (
	refusedFor = 15 * time.Second
	// rentAtOnce bounds what a pass wants rented: a few of the cloud's largest
	// requests.
	rentAtOnce = 200
)

func (m *Model) offers(now time.Time) ([]placement.Offer, []Offer) {
	var out []placement.Offer
	var names []Offer
	for ti := range m.Types {
		t := &m.Types[ti]
		for z := range m.Zones {
			if !t.Zones[z] {
				continue
			}
			for _, spot := range []bool{false, true} {
				key := offerKey{ti, z, spot}
				if until, ok := m.refused[key]; ok && now.Before(until) {
					continue
				}
				price := t.Price
				if spot {
					price = t.Spot
				}
				out = append(out, placement.Offer{Type: ti, Zone: z, Spot: spot, Machine: placement.Machine{
					Type: ti, Zone: z, Spot: spot, ETA: t.Boot.Seconds(), Cap: t.Cap, Price: price, FetchRate: t.Fetch,
				}})
				names = append(names, Offer{Type: t.Name, Zone: m.Zones[z], Spot: spot, key: key})
			}
		}
	}
	return out, names
}

// Refused takes in that the cloud had nothing to rent.
func (m *Model) Refused(o Offer, now time.Time) { m.refused[o.key] = now.Add(refusedFor) }

// Rented takes in machines that a rental named.
func (m *Model) Rented(o Offer, names []string, now time.Time) {
	for _, n := range names {
		mc := m.machine(n, now)
		mc.Ours = true
		if !mc.Up && mc.Session == 0 {
			mc.Ordered = true
		}
		m.describe(mc, o.Type, o.Zone, o.Spot)
		m.log.Info("rented", "machine", n, "type", o.Type, "zone", o.Zone, "spot", o.Spot)
	}
}
