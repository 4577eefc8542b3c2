// Measurements of warm pools and plans: the start times of bursts, the cost of pools, and the
// writes that the records of a plan's parts take.

package controller_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/plans"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/warmpool"
	"github.com/umberdeal/umberdeal/wire"
)

// burst is a burst of service replicas on machines that are busy with other jobs.
type burst struct {
	machines, replicas int
	imageGB            float64
	// "bare" has idle machines and no image to fetch, "none" no pool, "fixed" a pool of fixed size,
	// and "hours" a pool sized by hourly demand.
	mode string
}

// hourlyMachineRate is the price of a machine per hour.
const hourlyMachineRate = 12

// run runs a burst some minutes after one o'clock. In mode "hours" the pool has a record of two
// weeks with the same demand. It returns how long each replica took to start, the shortest first.
// In mode "hours" it also returns the cost of the pool's machines, otherwise 0.
func (b burst) run(t *testing.T) (ran []time.Duration, cost float64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		hour := time.Now().UTC().Truncate(24 * time.Hour).Add(25 * time.Hour)
		typ := wire.MachineType{Name: "g8", CPUs: 8, GPUs: 8, MemoryGB: 64, CacheGB: 200, FetchGBPS: 1, Price: hourlyMachineRate, SpotPrice: 5, BootS: 45, Zones: fake.Zones}
		p := warmpool.Pool{Name: "llm", Model: "llm:v1", WeightsGB: b.imageGB, Types: []string{"g8"}, Zones: fake.Zones, MaxMachines: b.replicas,
			Burst: warmpool.Burst{Replicas: b.replicas, WithinS: 10}, MaxHourlyCost: 1e6, Payer: "speech"}
		after := 5 * time.Minute
		if b.machines >= 1000 {
			after, p.ConcurrentFetches = time.Minute, b.replicas/2 // shortens the simulation
		}
		lead := p.LeadTime(b.replicas, 45*time.Second, 1)
		begin := hour.Add(-lead - 3*time.Minute)
		if b.mode == "bare" {
			begin = hour.Add(after - 3*time.Minute) // idle machines are scaled in after four minutes
		}
		time.Sleep(time.Until(begin))
		o := fake.Options{Machines: b.machines, Capacity: b.machines + b.replicas + 20, Types: []wire.MachineType{typ}, HeartbeatIntervalS: 5, LeaseS: 30,
			Teams: []config.Team{{Name: "core"}, {Name: "speech"}}}
		if b.mode == "bare" {
			o.Machines += b.replicas
		}
		w := fake.New(o)
		defer w.Close()
		time.Sleep(10 * time.Second)
		for n := 0; n*50 < b.machines; n++ {
			mustSubmit(t, w, job(n+10, func(j *wire.Job) {
				j.Kind, j.EstimateS, j.Tasks, j.CPUs, j.Image, j.ImageGB = wire.KindService, 0, min(50, b.machines-n*50), 8, "web", 0.1
			}))
			time.Sleep(200 * time.Millisecond)
		}
		least := 0
		switch b.mode {
		case "fixed":
			least = b.replicas
		case "hours":
			b.writeDemandRecord(t, w, hour)
		}
		if b.mode == "fixed" || b.mode == "hours" {
			applyPlan(t, w, 0, plans.Pool{Name: "llm", Model: "llm:v1", WeightsGB: b.imageGB, MachineType: "g8", Min: least, Max: b.replicas, Replicas: b.replicas, Payer: "speech", More: fmt.Sprint("fetch_at_once = ", p.ConcurrentFetches)}.TOML())
		}
		time.Sleep(time.Until(hour.Add(after)))
		if b.mode == "fixed" || b.mode == "hours" {
			if s := poolState(t, w); s.Record.Warm < b.replicas*9/10 {
				t.Errorf("%+v: too few machines are warm before the burst: %+v", b, s.Record)
			}
		}
		at, waiting := time.Now(), map[string]bool{}
		for n := 0; n*50 < b.replicas; n++ {
			j := job(n+500, func(j *wire.Job) {
				j.Kind, j.Class, j.Team, j.EstimateS, j.Tasks, j.CPUs = wire.KindService, "serve", "speech", 0, min(50, b.replicas-n*50), 8
				j.Image, j.ImageGB = "llm:v1", b.imageGB
			})
			if b.mode == "bare" {
				j.ImageGB = 0
			}
			mustSubmit(t, w, j)
			for i := range j.Tasks {
				waiting[fmt.Sprintf("%s/%d", j.ID, i)] = true
			}
		}
		for len(waiting) > 0 && time.Since(at) < 30*time.Minute {
			time.Sleep(100 * time.Millisecond)
			for task := range waiting {
				if len(w.MachinesRunning(task)) > 0 {
					ran = append(ran, time.Since(at))
					delete(waiting, task)
				}
			}
		}
		if len(waiting) > 0 {
			t.Errorf("%+v: %d replicas did not start within 30 minutes", b, len(waiting))
		}
		if b.mode == "hours" {
			time.Sleep(70 * time.Second) // by then the charges are recorded
			s := poolState(t, w)
			checkChargesAddUp(t, s)
			_, machines := warmpool.Totals(s.Shards)
			cost = float64(machines.Micros) / 1e6
		}
	})
	slices.Sort(ran)
	return ran, cost
}

// writeDemandRecord writes a demand record of two weeks in which the hour had the burst's demand,
// and restarts the leader, which reads it.
func (b burst) writeDemandRecord(t *testing.T, w *fake.Cluster, hour time.Time) {
	t.Helper()
	week := &warmpool.WeeklyDemand{}
	for k := 2; k > 0; k-- {
		week.Observe(b.replicas, hour.AddDate(0, 0, -7*k))
		week.Observe(0, hour.AddDate(0, 0, -7*k).Add(time.Hour))
	}
	st := kvstore.New(w.Network.Dial("operator"), "state:1", 20, 20)
	d := warmpool.HourOfWeek(hour) / 24
	if _, err := st.CompareAndSwap(context.Background(), nil, []wire.Op{{Put: jobstore.PlanStatePrefix + warmpool.DayName("llm", d), Value: week.EncodeDay(d)}}); err != nil {
		t.Fatal(err)
	}
	restartLeader(w)
}

// TestMeasureBursts prints the table of docs/results.md. A pool that is not warm in time would let
// replicas wait for their image. In mode "hours" the p90 of the start times must be at most 10% and
// 0.5 s above that without an image fetch, at no more than half the cost of machines kept all day.
// POOLS_MEASURE lists cases as MACHINES:REPLICAS:GB, separated by commas. Without it one small case
// is run. POOLS_MODES lists which of "none,fixed,hours" are run. In each mode, 400 replicas on
// 1,300 machines take minutes of one core.
func TestMeasureBursts(t *testing.T) {
	cases := "20:8:80"
	if s := os.Getenv("POOLS_MEASURE"); s != "" {
		cases = s
	}
	modes := "none,fixed,hours"
	if s := os.Getenv("POOLS_MODES"); s != "" {
		modes = s
	}
	for _, c := range strings.Split(cases, ",") {
		var f, n int
		var imageGB float64
		if _, err := fmt.Sscanf(c, "%d:%d:%g", &f, &n, &imageGB); err != nil {
			t.Fatalf("%s: %v", c, err)
		}
		bare, _ := burst{f, n, 0, "bare"}.run(t)
		for _, mode := range strings.Split(modes, ",") {
			b := burst{f, n, imageGB, mode}
			ran, cost := b.run(t)
			if len(ran) < n || len(bare) < n {
				continue
			}
			dailyCost := map[string]float64{"fixed": float64(n) * 24 * hourlyMachineRate}[mode]
			if mode == "hours" {
				// Add the rest of the hour, until the machines are scaled in.
				dailyCost = cost + float64(n)*hourlyMachineRate*(57*time.Minute-ran[n-1]).Hours()
			}
			t.Logf("%4d machines, %3d replicas of %3g GB, %-5s: half %6.1f s, p90 %6.1f s, all %6.1f s; without a fetch p90 %.1f s; a day costs %.0f of %.0f",
				f, n, imageGB, mode, ran[n/2].Seconds(), ran[n*9/10].Seconds(), ran[n-1].Seconds(), bare[n*9/10].Seconds(), dailyCost, float64(n)*24*hourlyMachineRate)
			// Half a second of tolerance, since a worker that has just sent a heartbeat waits that
			// long before the next one.
			if mode == "hours" && (ran[n*9/10] > bare[n*9/10]*11/10+500*time.Millisecond || dailyCost > float64(n)*12*hourlyMachineRate) {
				t.Errorf("%+v: p90 %v, %v without a fetch; costs %.0f a day", b, ran[n*9/10], bare[n*9/10], dailyCost)
			}
		}
	}
}

// countPlanRecordWrites returns the number of writes of records of each part of the plan (tiers,
// batch windows, warm pools). A plan with all parts is in force on that many machines, half of them
// in pools.
func countPlanRecordWrites(t *testing.T, machines int, during time.Duration) (writesByPart map[string]int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		typ := fake.DefaultType
		typ.CacheGB = 100
		w := fake.New(fake.Options{Machines: machines, Capacity: machines, Types: []wire.MachineType{typ}, HeartbeatIntervalS: 5, LeaseS: 30,
			Teams: []config.Team{{Name: "core"}, {Name: "speech"}}})
		defer w.Close()
		time.Sleep(8 * time.Second)
		text := "[[order.tiers]]\nname = \"first\"\nclasses = [\"slicing\"]\n\n[[order.tiers]]\nname = \"second\"\nclasses = [\"tiles\"]\nshare = 0.1\nlongest_wait_s = 20\n"
		for _, region := range []string{"north", "east", "south"} {
			text += plans.Region(region, nightHours, "00:00", 120, fmt.Sprintf("images = [%q]", region))
		}
		for i := range 3 {
			text += plans.Pool{Name: fmt.Sprint("llm", i), Model: fmt.Sprintf("llm%d:v1", i), WeightsGB: 5, MachineType: "m8", Min: machines / 6, Max: machines / 6, Replicas: 8, Payer: "speech", More: "fetch_at_once = 100"}.TOML()
		}
		applyPlan(t, w, 0, text)
		writesByPart = map[string]int{}
		versions := map[string]uint64{}
		for end, n := time.Now().Add(during), 1; time.Now().Before(end); n++ {
			mustSubmit(t, w, job(n, func(j *wire.Job) {
				j.Class, j.Image, j.ImageGB = []string{"tiles", "slicing"}[n%2], []string{"north", "east", "south"}[n%3], 1
				j.Tasks, j.CPUs, j.EstimateS = max(2, machines/40), 8, 60 // more than the machines have room for
			}))
			if n%20 == 0 { // so that the usage of the pools' machines changes too
				mustSubmit(t, w, job(10000+n, func(j *wire.Job) {
					j.Team, j.Image, j.ImageGB, j.Tasks, j.CPUs, j.EstimateS = "speech", fmt.Sprintf("llm%d:v1", n/20%3), 5, max(2, machines/20), 2, 15
				}))
			}
			for range 4 { // often enough to see each write: a key is written at most every half second
				time.Sleep(250 * time.Millisecond)
				for key, v := range w.Store.Versions(jobstore.PlanStatePrefix) {
					if versions[key] != v {
						part, _, _ := strings.Cut(strings.TrimPrefix(key, jobstore.PlanStatePrefix), "/")
						part, _, _ = strings.Cut(part, ".")
						writesByPart[part]++
						versions[key] = v
					}
				}
			}
		}
	})
	return writesByPart
}

// TestMeasurePlanRecords prints how often the records of the plan's parts are written.
// NOTES_MEASURE is the number of machines. These writes could take capacity from users' writes.
// Together they must keep within their share, however much there is to write.
func TestMeasurePlanRecords(t *testing.T) {
	machines, during := 24, 90*time.Second
	if s := os.Getenv("NOTES_MEASURE"); s != "" {
		if _, err := fmt.Sscan(s, &machines); err != nil {
			t.Fatal(err)
		}
		during = 3 * time.Minute
	}
	writesByPart, writes := countPlanRecordWrites(t, machines, during), 0
	for _, part := range []string{"order", "night", "pools"} {
		writes += writesByPart[part]
		if writesByPart[part] == 0 {
			t.Errorf("no writes of part %q: %v", part, writesByPart)
		}
	}
	const maxWritesPerSecond = 0.02 * 60 // 2% of the cluster's 60 changes a second
	writesPerSecond := float64(writes) / during.Seconds()
	t.Logf("%d machines, %v: %v, %.2f changes a second of %.2f", machines, during, writesByPart, writesPerSecond, maxWritesPerSecond)
	if writesPerSecond > maxWritesPerSecond*1.05 {
		t.Errorf("%.2f changes a second, want at most %.2f", writesPerSecond, maxWritesPerSecond)
	}
}
