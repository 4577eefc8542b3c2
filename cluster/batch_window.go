package cluster

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/umberdeal/umberdeal/calendar"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/wire"
)

// This file keeps the calendar's batch windows: which jobs belong to them, in which order
// they are served, what is expected, and how they came out. Package calendar
// decides; docs/calendar.md argues it.

const (
	windowScanInterval    = time.Second      // what is there is looked through
	forecastInterval      = 10 * time.Second // forecasts are made
	reforecastInterval    = 30 * time.Second // the least between two that are recorded because more came
	windowSaveInterval    = 2 * time.Second  // the least between two records of a region
	windowSaveMaxInterval = time.Minute      // and the most while a batch window is under way
	submissionDelay       = 2 * time.Second  // for how long a submission may be under way
	maxTaskShapes         = 24               // kinds of tasks whose places are counted
	takeoverHeartbeats    = 3                // reports' time until a new leader knows its machines
)

// batchWindows is what the leader knows of the calendar's batch windows; without a calendar,
// nothing.
type batchWindows struct {
	calendar           *calendar.Calendar
	schedules          []*windowSchedule // by region, in the calendar's order
	calendarGeneration int               // counts calendars
	now                time.Time         // as last told
	lastScan           time.Time
	lastForecast       time.Time // when forecasts were last made
	provision          windowProvision
}

// windowBook is a region's book, and what its last recorded forecasts rest on.
type windowSchedule struct {
	*calendar.Schedule
	region          *calendar.Region
	forecastBases   map[string]forecastBasis   // by batch window
	openJobs        map[string]calendar.Window // jobs that are not over, from look to look
	reforecastCause string                     // why all forecasts are to be made anew
	savedGeneration uint64                     // as last kept
	savedAt         time.Time
	outcomeUnsaved  bool // an outcome has not been kept yet
}

type forecastBasis struct {
	machines, jobs int
	madeAt         time.Time
}

// jobWindow is the batch window that a job belongs to, under one calendar.
type jobWindow struct {
	calendarGeneration int
	schedule           *windowSchedule // nil: none
	window             calendar.Window
}

// windowRank is where a job stands by the calendar.
type windowRank struct {
	inWindow bool      // it belongs to a batch window
	deadline time.Time // of the batch window, or its own deadline if that is tighter
}

// reloadCalendar takes the plan's calendar in. Books that are open are brought in line
// with it; of other regions, what an earlier leader committed is.
func (m *Model) reloadCalendar(now time.Time) {
	n := &m.windows
	n.calendarGeneration++
	n.calendar = nil
	was := n.schedules
	n.schedules = nil
	if m.plan.Plan == nil || len(m.plan.Calendar.Regions) == 0 {
		return
	}
	cal, err := calendar.New(&m.plan.Calendar)
	if err != nil {
		m.log.Error("the plan's calendar can't be used", "err", err)
		return
	}
	n.calendar = cal
	for _, r := range cal.Regions {
		var b *windowSchedule
		if i := slices.IndexFunc(was, func(b *windowSchedule) bool { return b.region.Name == r.Name }); i >= 0 {
			b = was[i]
			if b.HasOpenWindows() {
				b.reforecastCause = "the plan changed"
			}
		} else {
			var left calendar.Record
			if raw, ok := m.loadedPlanRecord(calendar.RecordName(r.Name)); ok {
				if err := wire.Unmarshal(raw, &left); err != nil {
					m.log.Error("a record of nights can't be read: they are counted anew", "region", r.Name, "err", err)
					left = calendar.Record{}
				}
			}
			settle := time.Duration(m.settings.Cluster.SkewMs*float64(time.Millisecond)) + submissionDelay
			b = &windowSchedule{Schedule: calendar.NewSchedule(r.Name, left, m.FencingToken, settle)}
			if b.HasOpenWindows() {
				b.reforecastCause = "another leader leads"
			}
		}
		b.region, b.forecastBases, b.openJobs = r, map[string]forecastBasis{}, map[string]calendar.Window{}
		b.Reschedule(r, now)
		n.schedules = append(n.schedules, b)
	}
	n.lastScan, n.lastForecast = time.Time{}, time.Time{}
}

// windowOf is the batch window that a job belongs to. It follows from the job's record and
// the plan, so that every leader finds the same.
func (m *Model) windowOf(j *Job) (*windowSchedule, calendar.Window) {
	n := &m.windows
	if n.calendar == nil || j.Spec.Kind == wire.KindService {
		return nil, calendar.Window{} // a service is never done
	}
	if j.window.calendarGeneration != n.calendarGeneration {
		j.window = jobWindow{calendarGeneration: n.calendarGeneration}
		if r, night, ok := n.calendar.WindowFor(j.AcceptedAt, j.Spec.Class, j.Spec.Team, j.Spec.Zone, j.Spec.Image); ok {
			j.window.schedule, j.window.window = n.schedules[slices.Index(n.calendar.Regions, r)], night
		}
	}
	return j.window.schedule, j.window.window
}

// applyWindowDeadline makes a batch window's job due by the tighter of its own deadline and what the
// batch window is promised for.
func (m *Model) applyWindowDeadline(k *queued) {
	book, night := m.windowOf(k.j)
	if book == nil {
		return
	}
	k.inWindow, k.deadline = true, night.Deadline
	if d := k.j.Spec.DeadlineS; d != nil {
		if own := k.j.AcceptedAt.Add(config.Seconds(*d)); own.Before(k.deadline) {
			k.deadline = own
		}
	}
	sp := m.startupAndSpreadOf(k.j)
	if due := k.deadline.Add(-config.Seconds(sp.slowestTask(k.runSeconds, len(k.req.Tasks)) + sp.startDelay())); due.Before(k.due) {
		k.due = due
	}
}

// byWindow orders two jobs of which one belongs to a batch window at least: batch windows before
// other work of their priority, what is promised first before the rest, and what
// takes longest first, since a batch window is kept as a whole or not at all.
func compareByWindow(x, y *queued) bool {
	switch {
	case x.inWindow != y.inWindow:
		return x.inWindow
	case !x.deadline.Equal(y.deadline):
		return x.deadline.Before(y.deadline)
	}
	return x.runSeconds > y.runSeconds
}

// completionTimeMs is when a job's end is written, Unix milliseconds, for a record that tells
// a later leader whether its batch window was kept; 0 for jobs of no batch window.
func (m *Model) completionTimeMs(j *Job) int64 {
	if book, _ := m.windowOf(j); book == nil {
		return 0
	}
	j.completedAtMs = m.windows.now.UnixMilli()
	return j.completedAtMs
}

// SetCompletionTime sets the time that the next batch records as the end of jobs. The time of
// the last Tick won't do: after an outage or a pause of the process it is far in the past.
func (m *Model) SetCompletionTime(now time.Time) { m.windows.now = now }

// recordWindowCompletion takes in that a job's end is committed.
func (m *Model) recordWindowCompletion(j *Job) {
	book, night := m.windowOf(j)
	if book == nil {
		return
	}
	at := m.windows.now
	if j.completedAtMs > 0 {
		at = time.UnixMilli(j.completedAtMs)
	}
	book.RecordCompletion(j.ID, night, at)
}

// tickWindows looks through the batch windows' jobs, and decides and records what is to be.
func (m *Model) tickWindows(now time.Time) {
	n := &m.windows
	n.now = now
	if n.calendar == nil {
		n.provision = windowProvision{}
	}
	if n.calendar == nil || now.Sub(n.lastScan) < windowScanInterval {
		return
	}
	n.lastScan = now
	jobs := m.observeOpenWindowJobs()
	for _, b := range n.schedules {
		b.ObserveOpenJobs(b.openJobs)
		for _, id := range b.UnresolvedJobs() {
			if j := m.Job(id); j != nil && !j.Cancelled {
				b.ResolveJob(id, calendar.EndCompleted, calendar.Window{}, false, now) // it belongs elsewhere now
			}
		}
	}
	m.forecastWindows(jobs, now)
	for _, b := range n.schedules {
		for _, o := range b.CloseDue(now) {
			b.outcomeUnsaved = true
			m.log.Info("night over", "region", b.region.Name, "outcome", o.String())
		}
		m.saveWindowRecord(b, now)
	}
}

// openWindowJobs lists the jobs that belong to batch windows and are not known to be over, also
// by their books.
func (m *Model) observeOpenWindowJobs() []*Job {
	var jobs []*Job
	for _, b := range m.windows.schedules {
		clear(b.openJobs)
	}
	for _, idx := range m.openIndexes {
		j := m.Jobs[idx]
		if j == nil || j.Cancelled {
			continue
		}
		book, night := m.windowOf(j)
		if book == nil {
			continue
		}
		book.openJobs[j.ID] = night
		jobs = append(jobs, j)
	}
	return jobs
}

// saveBook has a region's record written: an outcome at once, other changes every
// few seconds, and once a minute what shows that it is still looked after.
func (m *Model) saveWindowRecord(b *windowSchedule, now time.Time) {
	since := now.Sub(b.savedAt)
	if b.outcomeUnsaved || b.Generation() != b.savedGeneration && since >= windowSaveInterval || b.HasOpenWindows() && since >= windowSaveMaxInterval {
		m.savePlanRecord(calendar.RecordName(b.region.Name), b.Record(now, m.pageBytes()/3))
		b.savedGeneration, b.savedAt, b.outcomeUnsaved = b.Generation(), now, false
	}
}

// windowKey names a batch window of a region.
type windowKey struct {
	schedule *windowSchedule
	date     string
}

// forecastWindows makes the batch windows' forecasts, all together, since they share places.
func (m *Model) forecastWindows(jobs []*Job, now time.Time) {
	n := &m.windows
	w := m.settings.Cluster.Workers
	if now.Sub(n.lastForecast) < forecastInterval || now.Sub(m.ElectedAt) < config.Seconds(takeoverHeartbeats*w.ReportS) || m.recoveringFromStall(now) {
		return
	}
	n.lastForecast = now
	var keys []windowKey
	var loads []calendar.Load
	at := map[windowKey]int{}
	for _, b := range n.schedules {
		for _, night := range b.OpenWindows() {
			key := windowKey{b, night.Date}
			at[key] = len(loads)
			keys, loads = append(keys, key), append(loads, calendar.Load{Deadline: night.Deadline})
		}
	}
	if len(loads) == 0 {
		return
	}
	usual, free := m.windowLoads(jobs, loads, at, now)
	machines := 0
	for _, mc := range m.Machines {
		if m.Ready(mc, now) {
			machines++
		}
	}
	note := m.planWindowProvision(loads, usual, free, now)
	for i, f := range calendar.ForecastLoads(now, loads, free) {
		b, date := keys[i].schedule, keys[i].date
		if f.AtRisk {
			f.Reason += note
		}
		b.RecordForecast(date, f, b.forecastCause(date, machines, now), machines, now)
	}
	for _, b := range n.schedules {
		b.reforecastCause = ""
	}
}

// forecastCause says what has changed since a batch window's last recorded forecast; "": nothing.
func (b *windowSchedule) forecastCause(date string, machines int, now time.Time) string {
	was, ok := b.forecastBases[date]
	all, left := b.JobCounts(date)
	is := forecastBasis{machines: machines, jobs: all, madeAt: now}
	cause := ""
	switch {
	case b.reforecastCause != "":
		cause = b.reforecastCause
	case !ok:
		cause = "the night began"
	case left == 0: // whatever becomes of the machines
	case machines < was.machines:
		cause = fmt.Sprintf("machines lost: %d of %d are left", machines, was.machines)
	case is.jobs > was.jobs && now.Sub(was.madeAt) >= reforecastInterval:
		cause = fmt.Sprintf("more came: %d jobs, and were %d", is.jobs, was.jobs)
	}
	if cause != "" {
		b.forecastBases[date] = is
	} else if machines > was.machines {
		was.machines = machines
		b.forecastBases[date] = was
	}
	return cause
}

// windowLoads fills in what is left of the batch windows, and lists the places, each room
// for a task of the kind that has most work: of that job, nil where nothing waits.
func (m *Model) windowLoads(jobs []*Job, loads []calendar.Load, at map[windowKey]int, now time.Time) (*Job, []float64) {
	type shape struct {
		need  placement.Resources
		types string
		zone  int
		spot  bool
	}
	room := map[shape]float64{} // places of a kind, with all machines empty
	places := func(j *Job) float64 {
		s := shape{j.Need, fmt.Sprint(j.AllowedTypes), j.Zone, j.Spec.Spot}
		k, ok := room[s]
		if !ok && len(room) < maxTaskShapes {
			k = m.placesWhenEmpty(j, now)
			room[s] = k
		}
		return k
	}
	type left struct {
		load  int
		j     *Job
		batch calendar.Batch
	}
	var all []left
	var most *Job
	work := 0.0
	stuck := map[int][]string{}
	for _, j := range jobs {
		i, ok := at[windowKey{j.window.schedule, j.window.window.Date}]
		if !ok {
			continue
		}
		sum, idle := 0.0, 0
		est := m.expectedRunTime(j)
		for t := range j.Tasks {
			switch j.Tasks[t].Phase {
			case TaskIdle:
				sum += remainingOf(est, &j.Tasks[t])
				idle++
			case TaskPlaced:
				loads[i].RunningSeconds = max(loads[i].RunningSeconds, m.secondsLeft(j, int32(t), now))
			}
		}
		if idle == 0 {
			continue
		}
		switch n := places(j); {
		case j.quarantined:
			stuck[i] = append(stuck[i], j.ID+": its placements can't be read")
		case j.failures.atFault():
			stuck[i] = append(stuck[i], j.ID+" fails on every machine")
		case n < 1 && len(room) < maxTaskShapes:
			stuck[i] = append(stuck[i], j.ID+": no machine that is up can take it")
		}
		sp := m.startupAndSpreadOf(j)
		b := calendar.Batch{Tasks: idle, Seconds: sum/float64(idle) + sp.startDelay(), PlacesPerTask: 1, Blocked: j.quarantined || j.failures.atFault()}
		if j.Gang() {
			b.Tasks, b.PlacesPerTask = 1, float64(idle)
		}
		all = append(all, left{i, j, b})
		if w := sum * j.Need.CPU; most == nil || w > work {
			most, work = j, w
		}
	}
	if most == nil {
		return nil, nil
	}
	usual := places(most)
	for _, l := range all {
		if n := places(l.j); n >= 1 && usual >= 1 {
			l.batch.PlacesPerTask *= usual / n
		}
		loads[l.load].Batches = append(loads[l.load].Batches, l.batch)
	}
	for i, why := range stuck {
		loads[i].BlockedReason = strings.Join(why[:min(3, len(why))], "; ")
		if more := len(why) - 3; more > 0 {
			loads[i].BlockedReason += fmt.Sprintf("; and %d more", more)
		}
	}
	return most, m.placesFor(most, -1, now)
}

// placesWhenEmpty is how many tasks like a job's the machines could take that are up
// or will be, if they had nothing else to do.
func (m *Model) placesWhenEmpty(j *Job, now time.Time) float64 {
	return float64(m.placesOnMachines(j, now, func(mc *Machine) bool { return m.Ready(mc, now) }))
}

// placesOnMachines is how many tasks like a job's the machines could take, if they were
// empty, that boot or count by themselves.
func (m *Model) placesOnMachines(j *Job, now time.Time, counts func(*Machine) bool) int {
	n := 0
	for _, mc := range m.Machines {
		if mc.Type < 0 || !j.AllowedTypes[mc.Type] || mc.Spot && !j.Spec.Spot || j.Zone >= 0 && j.Zone != mc.Zone {
			continue
		}
		if _, boots := m.bootTimeLeft(mc, now); boots || counts(mc) {
			n += tasksThatFit(j.Need, m.MachineTypes[mc.Type].Capacity)
		}
	}
	return n
}

// UnresolvedWindowJobs lists jobs, at most as many as given, that the records of batch windows
// have as open but that have ended since, unseen by a leader. The caller reads their final
// records and passes them to ResolveWindowJob.
func (m *Model) UnresolvedWindowJobs(most int) []string {
	var out []string
	for _, b := range m.windows.schedules {
		out = append(out, b.UnresolvedJobs()...)
	}
	slices.Sort(out)
	return out[:min(most, len(out))]
}

// ResolveWindowJob applies the final record of a job that UnresolvedWindowJobs has listed, nil
// if there is none, to the outcome of its batch window.
func (m *Model) ResolveWindowJob(id string, rec *jobstore.JobRecord, now time.Time) {
	for _, b := range m.windows.schedules {
		if !slices.Contains(b.UnresolvedJobs(), id) {
			continue
		}
		if rec == nil {
			b.ResolveJob(id, calendar.EndUnknown, calendar.Window{}, false, now)
			continue
		}
		how, at := calendar.EndCompleted, now
		if rec.State == wire.JobCancelled {
			how = calendar.EndCancelled
		}
		if rec.FinishedAtMs > 0 {
			at = time.UnixMilli(rec.FinishedAtMs)
		}
		s := &rec.Job
		r, night, ok := m.windows.calendar.WindowFor(time.UnixMilli(rec.AcceptedAtMs), s.Class, s.Team, s.Zone, s.Image)
		b.ResolveJob(id, how, night, ok && r == b.region, at)
	}
}

// BatchWindows returns a view of each region's batch windows for operators, in the order of
// the calendar.
func (m *Model) BatchWindows(now time.Time) []calendar.View {
	var out []calendar.View
	for _, b := range m.windows.schedules {
		out = append(out, b.region.View(b.Record(now, m.pageBytes()/3), now))
	}
	return out
}
