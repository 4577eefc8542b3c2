package warmpool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

// newTestPool returns a valid pool of up to 64 machines in zones a and b.
func newTestPool() Pool {
	return Pool{Name: "llm", Model: "llm-70b:v1", WeightsGB: 80, Types: []string{"g8"}, Zones: []string{"a", "b"}, MinMachines: 1, MaxMachines: 64,
		Burst: Burst{Replicas: 8, WithinS: 10}, MaxHourlyCost: 1000, Payer: "speech", Borrowers: []string{"vision"}}
}

// Guards against invalid pools that are accepted, and against errors that don't name the field.
func TestInvalidFieldsAreNamedWithTheirPath(t *testing.T) {
	good := newTestPool()
	if errs := Check([]Pool{good}, []string{"a", "b"}, []string{"speech", "vision"}); len(errs) > 0 {
		t.Fatalf("got errors %v for a valid pool", errs)
	}
	for _, c := range []struct {
		want string
		bad  func(p *Pool)
	}{
		{"pools[1].least: 65 is above most, 64", func(p *Pool) { p.MinMachines = 65 }},
		{`pools[1].name: "llm" is the name of pools[0] too`, func(p *Pool) { p.Name = "llm" }},
		{`pools[1].model: "llm-70b:v2" is the model of pools[0] too`, func(p *Pool) { p.Model = "llm-70b:v2" }},
		{`pools[1].zones[0]: there is no zone "c"`, func(p *Pool) { p.Zones = []string{"c"} }},
		{`pools[1].payer: there is no team "nobody"`, func(p *Pool) { p.Payer = "nobody" }},
		{`pools[1].borrowers[0]: "speech" pays, and does not borrow`, func(p *Pool) { p.Borrowers = []string{"speech"} }},
		{"pools[1].cost_an_hour: must be above 0", func(p *Pool) { p.MaxHourlyCost = 0 }},
		{"pools[1].burst.within_s: must be above 0 and at most 3600", func(p *Pool) { p.Burst.WithinS = 0 }},
	} {
		p := newTestPool()
		p.Name, p.Model = "other", "asr"
		c.bad(&p)
		errs := Check([]Pool{good, p}, []string{"a", "b"}, []string{"speech", "vision"})
		if len(errs) != 1 || errs[0].Error() != c.want {
			t.Errorf("got errors %v, want only %s", errs, c.want)
		}
	}
}

// monday is a Monday at 00:00 UTC.
var monday = time.Date(2026, 11, 30, 0, 0, 0, 0, time.UTC)

// observeWeeks records weeks of a model that wants a number of replicas from 9 to 10 on weekdays.
// It returns the end of the last week.
func observeWeeks(demand *WeeklyDemand, from time.Time, weeks, replicas int) time.Time {
	at := from
	for ; at.Before(from.AddDate(0, 0, 7*weeks)); at = at.Add(20 * time.Minute) {
		wanted := 0
		if at.Hour() == 9 && HourOfWeek(at) < 5*24 {
			wanted = replicas
		}
		demand.Observe(wanted, at)
	}
	return at
}

// Guards against a pool that grows only when the hour of a weekly burst has begun, or that keeps
// its machines after the hour or after the bursts have stopped.
func TestScheduledPoolIsReadyBeforeTheHourAndGoneAfterIt(t *testing.T) {
	p, w := newTestPool(), &WeeklyDemand{}
	at := observeWeeks(w, monday, 2, 40)
	lead := p.LeadTime(40, time.Minute, 1)
	if lead < 5*time.Minute || lead > time.Hour {
		t.Fatalf("got lead time %v, want between 5 minutes and an hour", lead)
	}
	for _, c := range []struct {
		at   time.Duration
		want int
	}{{6 * time.Hour, 1}, {9*time.Hour - lead + time.Second, 40}, {9*time.Hour + 30*time.Minute, 40}, {10 * time.Hour, 1}, {5*24*time.Hour + 9*time.Hour, 1}} {
		if got := p.TargetSize(w, at.Add(c.at), lead, 1, 1); got != c.want {
			t.Errorf("%v after Monday 00:00: got %d machines, want %d", c.at, got, c.want)
		}
	}
	if got := p.TargetSize(w, at.Add(9*time.Hour), lead, 4, 1); got != 10 {
		t.Errorf("got %d machines for 40 replicas with four per machine, want 10", got)
	}
	p.MaxHourlyCost = 12
	if got := p.TargetSize(w, at.Add(9*time.Hour), lead, 1, 1); got != 12 {
		t.Errorf("got %d machines with a cost limit for 12", got)
	}
	// Nine weeks without bursts bring the pool back to its minimum.
	at = observeWeeks(w, at, 9, 0)
	if got := p.TargetSize(w, at.Add(9*time.Hour), lead, 1, 1); got != 1 {
		t.Errorf("got %d machines nine weeks after the last burst, want 1", got)
	}
}

// Guards against demand that is lost when a failover restores it from the store, and against a day's
// record that grows beyond 12 KiB.
func TestWeeklyScheduleRoundTrips(t *testing.T) {
	w, restored := &WeeklyDemand{}, &WeeklyDemand{}
	random := rand.New(rand.NewPCG(1, 2))
	at := monday
	for ; at.Before(monday.AddDate(0, 0, 7*30)); at = at.Add(time.Hour) {
		w.Observe(random.IntN(2000), at)
	}
	bytes := 0
	for d := range 7 {
		day := w.EncodeDay(d)
		bytes = max(bytes, len(strings.Join(day, "")))
		if err := restored.LoadDay(d, day); err != nil {
			t.Fatal(err)
		}
	}
	for h := range hoursPerWeek {
		later := at.Add(time.Duration(h) * time.Hour)
		if a, b := w.Quantile(later, 0, 0.9), restored.Quantile(later, 0, 0.9); a != b && hoursSinceEpoch(later) != w.currentHour {
			t.Fatalf("%d hours later: got quantile %d after a round trip, want %d", h, b, a)
		}
	}
	if bytes > 12<<10 {
		t.Errorf("a day's record takes %d bytes after 30 weeks of random peaks, want at most 12 KiB", bytes)
	}
	if err := restored.LoadDay(0, []string{"x!"}); err == nil {
		t.Error("no error for an hour that can't be decoded")
	}
}

// Guards against time that is charged twice or not at all. Machines join and leave, shares change
// and leaders fail over at random. The teams' charges must equal the machines' cost, and each
// machine must be charged from its joining to its leaving.
func TestEveryMillisecondIsChargedOnce(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		s, now := &Shard{}, int64(1_000_000)
		joined, want, name := map[string]int64{}, int64(0), 0
		for range 200 {
			now += int64(random.IntN(100_000))
			switch random.IntN(5) {
			case 0:
				name++
				m := Member{Machine: fmt.Sprintf("m%04d", random.IntN(1000)), SinceMs: now - int64(random.IntN(60_000)), HourlyRate: int64(random.IntN(20_000_000))}
				if s.Member(m.Machine) == nil {
					s.Join(m)
					joined[m.Machine] = m.SinceMs
				}
			case 1:
				if len(s.Members) > 0 {
					m := s.Members[random.IntN(len(s.Members))].Machine
					s.Leave(m, now, "payer")
					want += now - joined[m]
					delete(joined, m)
				}
			case 2:
				if len(s.Members) > 0 {
					m := &s.Members[random.IntN(len(s.Members))]
					s.SetShares(m, []TeamShare{{"one", random.IntN(1200)}, {"payer", 10}, {"two", random.IntN(1200)}}, int64(random.IntN(20_000_000)), now, "payer")
				}
			case 3:
				s.Settle(now-int64(random.IntN(200_000)), "payer") // the clock is behind
			case 4:
				s = s.Clone() // the next leader continues
			}
		}
		s.Settle(now, "payer")
		for _, at := range joined {
			want += now - at
		}
		state := State{Shards: []Shard{*s}}
		if _, machines := Totals(state.Shards); machines.Ms != want || len(state.Audit()) > 0 {
			t.Fatalf("seed %d: charged for %d ms, want %d; audit: %v", seed, machines.Ms, want, state.Audit())
		}
		// The audit must also detect a wrong account.
		if len(state.Shards[0].Members) > 0 {
			state.Shards[0].Members[0].Cost.Ms++
			if len(state.Audit()) != 2 {
				t.Fatalf("audit after a change of an account: got %v, want two findings", state.Audit())
			}
		}
	}
}

// Guards against a machine's cost charged to the wrong team. The borrower pays for its share while it
// uses the machine, and the pool's payer pays for the rest.
func TestBorrowerIsChargedForWhatItBooks(t *testing.T) {
	s := &Shard{AtMs: 0}
	s.Join(Member{Machine: "m", SinceMs: 1000, HourlyRate: 3_600_000_000})
	s.SetShares(s.Member("m"), []TeamShare{{"vision", 250}}, 3_600_000_000, 11_000, "speech")
	s.Leave("m", 51_000, "speech")
	if got := s.Teams["vision"]; got != (Charge{10_000, 10_000_000}) {
		t.Errorf("got borrower's charge %+v, want a quarter of 40 s", got)
	}
	if got := s.Teams["speech"]; got != (Charge{40_000, 40_000_000}) {
		t.Errorf("got payer's charge %+v, want 10 s and three quarters of 40 s", got)
	}
}

// fleet returns n ready machines that alternate between zones a and b, each modified by change.
func fleet(n int, change func(i int, s *Observation)) []Observation {
	out := make([]Observation, n)
	for i := range out {
		out[i] = Observation{Machine: fmt.Sprintf("m%02d", i), Zone: []string{"a", "b"}[i%2], Ready: true}
		if change != nil {
			change(i, &out[i])
		}
	}
	return out
}

// Guards against new machines ordered while free ones can join, and against an uneven spread over the
// zones. Booting machines count for their zone.
func TestPoolScalesOutOverZonesFromItsMembers(t *testing.T) {
	p := newTestPool()
	free := fleet(6, func(i int, s *Observation) {
		s.Zone = "a"
		s.Busy = i < 4
		s.Serving, s.Warm = i == 1, i == 1
		s.Booting, s.Ready = i == 5, i != 5
	})
	c := p.PlanScaling(nil, free, 6, 64)
	if !slices.Equal(c.Join, []string{"m01", "m04"}) || c.ScaleOut["b"] != 3 || c.ScaleOut["a"] != 0 {
		t.Errorf("got %+v, want the serving machine and the idle one to join, and 3 machines in zone b because one is booting in zone a", c)
	}
}

// Guards against the release of busy machines, or of warm ones before cold ones, and against a pool
// that stays above its cost limit because all its machines are busy.
func TestPoolScalesInIdleMachines(t *testing.T) {
	p := newTestPool()
	own := fleet(6, func(i int, s *Observation) { s.Busy, s.Warm = i < 2, i != 4 })
	if c := p.PlanScaling(own, nil, 3, 64); !slices.Equal(c.Release, []string{"m04", "m03", "m02"}) || c.Evict != nil {
		t.Errorf("%+v", c)
	}
	// At the cost limit, busy machines leave the pool while their work continues.
	for i := range own {
		own[i].Busy = true
	}
	if c := p.PlanScaling(own, nil, 2, 2); len(c.Evict) != 4 || c.Release != nil {
		t.Errorf("%+v", c)
	}
	// A machine that is not ready is replaced.
	own = fleet(4, func(i int, s *Observation) { s.Ready = i != 0 })
	if c := p.PlanScaling(own, nil, 4, 64); c.ScaleOut["a"] != 1 {
		t.Errorf("%+v", c)
	}
}

// Guards against fetches of the weights by all machines of a pool at once. Running fetches count
// toward the limit.
func TestImageFetchesAreStaggered(t *testing.T) {
	p := newTestPool()
	own := fleet(40, func(i int, s *Observation) { s.Fetching = i < 3 })
	if got := p.NextFetches(own); len(got) != 5 {
		t.Errorf("got %d new fetches while three are running, want 5 (limit %d)", len(got), p.MaxConcurrentFetches())
	}
}

// Guards against work with more or less access to a pool than its image, team, priority and
// checkpoints give it.
func TestPoolAccess(t *testing.T) {
	p := newTestPool()
	replicas := Workload{Image: "llm-70b:v2", Team: "speech", Priority: 1, ModelPriority: 1}
	for _, c := range []struct {
		name string
		want placement.PoolAccess
		as   func(w *Workload)
	}{
		{"a replica of a newer version", placement.OwnerAccess, func(*Workload) {}},
		{"a replica of a team that does not borrow", placement.NoAccess, func(w *Workload) { w.Team = "guests" }},
		{"clinic work", placement.LastResortAccess, func(w *Workload) { w.Image, w.Team, w.Tier, w.ModelTier = "slicer", "clinic", 0, 1 }},
		{"work of a higher priority", placement.LastResortAccess, func(w *Workload) { w.Image, w.Team, w.Priority = "x", "guests", 0 }},
		{"work that saves in time", placement.BorrowAccess, func(w *Workload) {
			w.Image, w.Team, w.Priority, w.Checkpoints, w.CheckpointSeconds = "x", "vision", 3, true, 5
		}},
		{"work that saves too slowly", placement.NoAccess, func(w *Workload) {
			w.Image, w.Team, w.Priority, w.Checkpoints, w.CheckpointSeconds = "x", "vision", 3, true, 50
		}},
		{"work that replicas may not stop", placement.NoAccess, func(w *Workload) { w.Image, w.Team, w.Checkpoints = "x", "vision", true }},
		{"a gang", placement.NoAccess, func(w *Workload) { w.Image, w.Team, w.Priority, w.Checkpoints, w.Gang = "x", "vision", 3, true, true }},
	} {
		w := replicas
		c.as(&w)
		if got := p.Access(&w); got != c.want {
			t.Errorf("%s: got access %d, want %d", c.name, got, c.want)
		}
	}
}
