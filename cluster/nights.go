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

// This file keeps the calendar's nights: which jobs belong to them, in which order
// they are served, what is expected, and how they came out. Package calendar
// decides; docs/calendar.md argues it.

const (
	nightsEvery   = time.Second      // what is there is looked through
	expectEvery   = 10 * time.Second // forecasts are made
	expectAnew    = 30 * time.Second // the least between two that are recorded because more came
	keepNights    = 2 * time.Second  // the least between two records of a region
	keepNightsOld = time.Minute      // and the most while a night is under way
	lateNews      = 2 * time.Second  // for how long a submission may be under way
	nightShapes   = 24               // kinds of tasks whose places are counted
	firstReports  = 3                // reports' time until a new leader knows its machines
)

// nights is what the leader knows of the calendar's nights; without a calendar,
// nothing.
type nights struct {
	cal     *calendar.Calendar
	books   []*nightBook // by region, in the calendar's order
	gen     int          // counts calendars
	now     time.Time    // as last told
	looked  time.Time
	guessed time.Time // when forecasts were last made
	ahead   ahead
}

// nightBook is a region's book, and what its last recorded forecasts rest on.
type nightBook struct {
	*calendar.Book
	region  *calendar.Region
	basis   map[string]nightBasis     // by night
	ids     map[string]calendar.Night // jobs that are not over, from look to look
	cause   string                    // why all forecasts are to be made anew
	gen     uint64                    // as last kept
	kept    time.Time
	decided bool // an outcome has not been kept yet
}

type nightBasis struct {
	machines, jobs int
	at             time.Time
}

// jobNight is the night that a job belongs to, under one calendar.
type jobNight struct {
	gen   int
	book  *nightBook // nil: none
	night calendar.Night
}

// nightRank is where a job stands by the calendar.
type nightRank struct {
	night   bool      // it belongs to a night
	promise time.Time // of the night, or its own deadline if that is tighter
}

// planNights takes the plan's calendar in. Books that are open are brought in line
// with it; of other regions, what an earlier leader committed is.
func (m *Model) planNights(now time.Time) {
	n := &m.nights
	n.gen++
	n.cal = nil
	was := n.books
	n.books = nil
	if m.plan.Plan == nil || len(m.plan.Calendar.Regions) == 0 {
		return
	}
	cal, err := calendar.New(&m.plan.Calendar)
	if err != nil {
		m.log.Error("the plan's calendar can't be used", "err", err)
		return
	}
	n.cal = cal
	for _, r := range cal.Regions {
		var b *nightBook
		if i := slices.IndexFunc(was, func(b *nightBook) bool { return b.region.Name == r.Name }); i >= 0 {
			b = was[i]
			if b.UnderWay() {
				b.cause = "the plan changed"
			}
		} else {
			var left calendar.Record
			if raw, ok := m.kept(calendar.NoteOf(r.Name)); ok {
				if err := wire.Unmarshal(raw, &left); err != nil {
					m.log.Error("a record of nights can't be read: they are counted anew", "region", r.Name, "err", err)
					left = calendar.Record{}
				}
			}
			settle := time.Duration(m.settings.Cluster.SkewMs*float64(time.Millisecond)) + lateNews
			b = &nightBook{Book: calendar.NewBook(r.Name, left, m.FencingToken, settle)}
			if b.UnderWay() {
				b.cause = "another leader leads"
			}
		}
		b.region, b.basis, b.ids = r, map[string]nightBasis{}, map[string]calendar.Night{}
		b.Replan(r, now)
		n.books = append(n.books, b)
	}
	n.looked, n.guessed = time.Time{}, time.Time{}
}

// nightOf is the night that a job belongs to. It follows from the job's record and
// the plan, so that every leader finds the same.
func (m *Model) nightOf(j *Job) (*nightBook, calendar.Night) {
	n := &m.nights
	if n.cal == nil || j.Spec.Kind == wire.KindService {
		return nil, calendar.Night{} // a service is never done
	}
	if j.night.gen != n.gen {
		j.night = jobNight{gen: n.gen}
		if r, night, ok := n.cal.Of(j.AcceptedAt, j.Spec.Class, j.Spec.Team, j.Spec.Zone, j.Spec.Image); ok {
			j.night.book, j.night.night = n.books[slices.Index(n.cal.Regions, r)], night
		}
	}
	return j.night.book, j.night.night
}

// nightly makes a night's job due by the tighter of its own deadline and what the
// night is promised for.
func (m *Model) nightly(k *ranked) {
	book, night := m.nightOf(k.j)
	if book == nil {
		return
	}
	k.night, k.promise = true, night.Promise
	if d := k.j.Spec.DeadlineS; d != nil {
		if own := k.j.AcceptedAt.Add(config.Seconds(*d)); own.Before(k.promise) {
			k.promise = own
		}
	}
	sp := m.startupAndSpreadOf(k.j)
	if due := k.promise.Add(-config.Seconds(sp.slowestTask(k.left, len(k.req.Tasks)) + sp.startDelay())); due.Before(k.due) {
		k.due = due
	}
}

// byNight orders two jobs of which one belongs to a night at least: nights before
// other work of their priority, what is promised first before the rest, and what
// takes longest first, since a night is kept as a whole or not at all.
func byNight(x, y *ranked) bool {
	switch {
	case x.night != y.night:
		return x.night
	case !x.promise.Equal(y.promise):
		return x.promise.Before(y.promise)
	}
	return x.left > y.left
}

// endMs is when a job's end is written, Unix milliseconds, for a record that tells
// a later leader whether its night was kept; 0 for jobs of no night.
func (m *Model) endMs(j *Job) int64 {
	if book, _ := m.nightOf(j); book == nil {
		return 0
	}
	j.endMs = m.nights.now.UnixMilli()
	return j.endMs
}

// SetCompletionTime takes in what time it is, for the ends that the next batch writes. The
// last look is older than an outage or a stop that has just ended.
func (m *Model) SetCompletionTime(now time.Time) { m.nights.now = now }

// nightEnded takes in that a job's end is committed.
func (m *Model) nightEnded(j *Job) {
	book, night := m.nightOf(j)
	if book == nil {
		return
	}
	at := m.nights.now
	if j.endMs > 0 {
		at = time.UnixMilli(j.endMs)
	}
	book.Ended(j.ID, night, at)
}

// tickNights looks through the nights' jobs, and decides and records what is to be.
func (m *Model) tickNights(now time.Time) {
	n := &m.nights
	n.now = now
	if n.cal == nil {
		n.ahead = ahead{}
	}
	if n.cal == nil || now.Sub(n.looked) < nightsEvery {
		return
	}
	n.looked = now
	jobs := m.nightJobs()
	for _, b := range n.books {
		b.See(b.ids)
		for _, id := range b.Unknown() {
			if j := m.Job(id); j != nil && !j.Cancelled {
				b.Told(id, calendar.Whole, calendar.Night{}, false, now) // it belongs elsewhere now
			}
		}
	}
	m.expectNights(jobs, now)
	for _, b := range n.books {
		for _, o := range b.Close(now) {
			b.decided = true
			m.log.Info("night over", "region", b.region.Name, "outcome", o.String())
		}
		m.keepBook(b, now)
	}
}

// nightJobs lists the jobs that belong to nights and are not known to be over, also
// by their books.
func (m *Model) nightJobs() []*Job {
	var jobs []*Job
	for _, b := range m.nights.books {
		clear(b.ids)
	}
	for _, idx := range m.openIndexes {
		j := m.Jobs[idx]
		if j == nil || j.Cancelled {
			continue
		}
		book, night := m.nightOf(j)
		if book == nil {
			continue
		}
		book.ids[j.ID] = night
		jobs = append(jobs, j)
	}
	return jobs
}

// keepBook has a region's record written: an outcome at once, other changes every
// few seconds, and once a minute what shows that it is still looked after.
func (m *Model) keepBook(b *nightBook, now time.Time) {
	since := now.Sub(b.kept)
	if b.decided || b.Gen() != b.gen && since >= keepNights || b.UnderWay() && since >= keepNightsOld {
		m.keep(calendar.NoteOf(b.region.Name), b.Record(now, m.pageBytes()/3))
		b.gen, b.kept, b.decided = b.Gen(), now, false
	}
}

// nightKey names a night of a region.
type nightKey struct {
	book *nightBook
	date string
}

// expectNights makes the nights' forecasts, all together, since they share places.
func (m *Model) expectNights(jobs []*Job, now time.Time) {
	n := &m.nights
	w := m.settings.Cluster.Workers
	if now.Sub(n.guessed) < expectEvery || now.Sub(m.ElectedAt) < config.Seconds(firstReports*w.ReportS) || m.recoveringFromStall(now) {
		return
	}
	n.guessed = now
	var keys []nightKey
	var loads []calendar.Load
	at := map[nightKey]int{}
	for _, b := range n.books {
		for _, night := range b.Promised() {
			key := nightKey{b, night.Date}
			at[key] = len(loads)
			keys, loads = append(keys, key), append(loads, calendar.Load{Promise: night.Promise})
		}
	}
	if len(loads) == 0 {
		return
	}
	usual, free := m.nightLoads(jobs, loads, at, now)
	machines := 0
	for _, mc := range m.Machines {
		if m.ready(mc, now) {
			machines++
		}
	}
	note := m.wantAhead(loads, usual, free, now)
	for i, f := range calendar.Expect(now, loads, free) {
		b, date := keys[i].book, keys[i].date
		if f.AtRisk {
			f.Why += note
		}
		b.Expected(date, f, b.why(date, machines, now), machines, now)
	}
	for _, b := range n.books {
		b.cause = ""
	}
}

// why says what has changed since a night's last recorded forecast; "": nothing.
func (b *nightBook) why(date string, machines int, now time.Time) string {
	was, ok := b.basis[date]
	all, left := b.Count(date)
	is := nightBasis{machines: machines, jobs: all, at: now}
	cause := ""
	switch {
	case b.cause != "":
		cause = b.cause
	case !ok:
		cause = "the night began"
	case left == 0: // whatever becomes of the machines
	case machines < was.machines:
		cause = fmt.Sprintf("machines lost: %d of %d are left", machines, was.machines)
	case is.jobs > was.jobs && now.Sub(was.at) >= expectAnew:
		cause = fmt.Sprintf("more came: %d jobs, and were %d", is.jobs, was.jobs)
	}
	if cause != "" {
		b.basis[date] = is
	} else if machines > was.machines {
		was.machines = machines
		b.basis[date] = was
	}
	return cause
}

// nightLoads fills in what is left of the nights, and lists the places, each room
// for a task of the kind that has most work: of that job, nil where nothing waits.
func (m *Model) nightLoads(jobs []*Job, loads []calendar.Load, at map[nightKey]int, now time.Time) (*Job, []float64) {
	type shape struct {
		need  placement.Res
		types string
		zone  int
		spot  bool
	}
	room := map[shape]float64{} // places of a kind, with all machines empty
	places := func(j *Job) float64 {
		s := shape{j.Need, fmt.Sprint(j.AllowedTypes), j.Zone, j.Spec.Spot}
		k, ok := room[s]
		if !ok && len(room) < nightShapes {
			k = m.emptyPlaces(j, now)
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
		i, ok := at[nightKey{j.night.book, j.night.night.Date}]
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
				loads[i].Running = max(loads[i].Running, m.left(j, int32(t), now))
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
		case n < 1 && len(room) < nightShapes:
			stuck[i] = append(stuck[i], j.ID+": no machine that is up can take it")
		}
		sp := m.startupAndSpreadOf(j)
		b := calendar.Batch{Tasks: idle, Seconds: sum/float64(idle) + sp.startDelay(), Wide: 1, Vain: j.quarantined || j.failures.atFault()}
		if j.Gang() {
			b.Tasks, b.Wide = 1, float64(idle)
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
			l.batch.Wide *= usual / n
		}
		loads[l.load].Batches = append(loads[l.load].Batches, l.batch)
	}
	for i, why := range stuck {
		loads[i].Stuck = strings.Join(why[:min(3, len(why))], "; ")
		if more := len(why) - 3; more > 0 {
			loads[i].Stuck += fmt.Sprintf("; and %d more", more)
		}
	}
	return most, m.places(most, -1, now)
}

// emptyPlaces is how many tasks like a job's the machines could take that are up
// or will be, if they had nothing else to do.
func (m *Model) emptyPlaces(j *Job, now time.Time) float64 {
	return float64(m.placesOn(j, now, func(mc *Machine) bool { return m.ready(mc, now) }))
}

// placesOn is how many tasks like a job's the machines could take, if they were
// empty, that boot or count by themselves.
func (m *Model) placesOn(j *Job, now time.Time, counts func(*Machine) bool) int {
	n := 0
	for _, mc := range m.Machines {
		if mc.Type < 0 || !j.AllowedTypes[mc.Type] || mc.Spot && !j.Spec.Spot || j.Zone >= 0 && j.Zone != mc.Zone {
			continue
		}
		if _, boots := m.bootTimeLeft(mc, now); boots || counts(mc) {
			n += fit(j.Need, m.MachineTypes[mc.Type].Capacity)
		}
	}
	return n
}

// UnresolvedWindowJobs lists jobs of nights that an earlier leader left open and that are
// over since, at most so many: ToldEnd is to be told how they ended.
func (m *Model) UnresolvedWindowJobs(most int) []string {
	var out []string
	for _, b := range m.nights.books {
		out = append(out, b.Unknown()...)
	}
	slices.Sort(out)
	return out[:min(most, len(out))]
}

// ResolveWindowJob takes in the final record of a job that UnknownEnds named; nil: there is
// none.
func (m *Model) ResolveWindowJob(id string, rec *jobstore.JobRecord, now time.Time) {
	for _, b := range m.nights.books {
		if !slices.Contains(b.Unknown(), id) {
			continue
		}
		if rec == nil {
			b.Told(id, calendar.Gone, calendar.Night{}, false, now)
			continue
		}
		how, at := calendar.Whole, now
		if rec.State == wire.JobCancelled {
			how = calendar.Taken
		}
		if rec.FinishedAtMs > 0 {
			at = time.UnixMilli(rec.FinishedAtMs)
		}
		s := &rec.Job
		r, night, ok := m.nights.cal.Of(time.UnixMilli(rec.AcceptedAtMs), s.Class, s.Team, s.Zone, s.Image)
		b.Told(id, how, night, ok && r == b.region, at)
	}
}

// BatchWindows shows each region's nights, in the order of the calendar.
func (m *Model) BatchWindows(now time.Time) []calendar.View {
	var out []calendar.View
	for _, b := range m.nights.books {
		out = append(out, b.region.View(b.Record(now, m.pageBytes()/3), now))
	}
	return out
}
