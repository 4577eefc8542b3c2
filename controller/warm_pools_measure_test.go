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

// burst is a burst of service replicas on a fleet whose machines are busy with other work.
type burst struct {
	fleet, replicas int
	gb              float64
	mode            string // "bare": idle machines and no image to fetch; "none", "fixed", "hours": without a pool, with a pool of fixed size, with a pool sized by hourly demand
}

// machineRate is the price of a machine per hour.
const machineRate = 12

// play runs a burst some minutes after one o'clock; in mode "hours" the pool has a record of two
// weeks with the same demand. It returns how long each replica took to run, in order, and the cost
// of the pool's machines up to then.
func (b burst) play(t *testing.T) (ran []time.Duration, cost float64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		hour := time.Now().UTC().Truncate(24 * time.Hour).Add(25 * time.Hour)
		typ := wire.MachineType{Name: "g8", CPUs: 8, GPUs: 8, MemoryGB: 64, CacheGB: 200, FetchGBPS: 1, Price: machineRate, SpotPrice: 5, BootS: 45, Zones: fake.Zones}
		p := warmpool.Pool{Name: "llm", Model: "llm:v1", WeightsGB: b.gb, Types: []string{"g8"}, Zones: fake.Zones, MaxMachines: b.replicas,
			Burst: warmpool.Burst{Replicas: b.replicas, WithinS: 10}, MaxHourlyCost: 1e6, Payer: "speech"}
		after := 5 * time.Minute
		if b.fleet >= 1000 {
			after, p.ConcurrentFetches = time.Minute, b.replicas/2 // keeps the run short
		}
		lead := p.LeadTime(b.replicas, 45*time.Second, 1)
		begin := hour.Add(-lead - 3*time.Minute)
		if b.mode == "bare" {
			begin = hour.Add(after - 3*time.Minute) // idle machines are scaled in after four minutes
		}
		time.Sleep(time.Until(begin))
		o := fake.Options{Machines: b.fleet, Capacity: b.fleet + b.replicas + 20, Types: []wire.MachineType{typ}, HeartbeatIntervalS: 5, LeaseS: 30,
			Teams: []config.Team{{Name: "core"}, {Name: "speech"}}}
		if b.mode == "bare" {
			o.Machines += b.replicas
		}
		w := fake.New(o)
		defer w.Close()
		time.Sleep(10 * time.Second)
		for n := 0; n*50 < b.fleet; n++ {
			mustSubmit(t, w, job(n+10, func(j *wire.Job) {
				j.Kind, j.EstimateS, j.Tasks, j.CPUs, j.Image, j.ImageGB = wire.KindService, 0, min(50, b.fleet-n*50), 8, "web", 0.1
			}))
			time.Sleep(200 * time.Millisecond)
		}
		least := 0
		switch b.mode {
		case "fixed":
			least = b.replicas
		case "hours":
			b.remember(t, w, hour)
		}
		if b.mode == "fixed" || b.mode == "hours" {
			applyPlan(t, w, 0, plans.Pool{Name: "llm", Model: "llm:v1", WeightsGB: b.gb, MachineType: "g8", Min: least, Max: b.replicas, Replicas: b.replicas, Payer: "speech", More: fmt.Sprint("fetch_at_once = ", p.ConcurrentFetches)}.TOML())
		}
		time.Sleep(time.Until(hour.Add(after)))
		if b.mode == "fixed" || b.mode == "hours" {
			if s := poolState(t, w); s.Record.Warm < b.replicas*9/10 {
				t.Errorf("%+v before the burst: %+v", b, s.Record)
			}
		}
		at, waiting := time.Now(), map[string]bool{}
		for n := 0; n*50 < b.replicas; n++ {
			j := job(n+500, func(j *wire.Job) {
				j.Kind, j.Class, j.Team, j.EstimateS, j.Tasks, j.CPUs = wire.KindService, "serve", "speech", 0, min(50, b.replicas-n*50), 8
				j.Image, j.ImageGB = "llm:v1", b.gb
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
			t.Errorf("%+v: %d replicas never ran", b, len(waiting))
		}
		if b.mode == "hours" {
			time.Sleep(70 * time.Second) // until the charges are recorded
			s := poolState(t, w)
			checkChargesAddUp(t, s)
			_, machines := warmpool.Totals(s.Shards)
			cost = float64(machines.Micros) / 1e6
		}
	})
	slices.Sort(ran)
	return ran, cost
}

// remember writes a demand record of two weeks in which the hour had the burst's demand.
func (b burst) remember(t *testing.T, w *fake.Cluster, hour time.Time) {
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
	restartLeader(w) // the next leader reads the record
}

// TestMeasureBursts prints the table of docs/results.md. POOLS_MEASURE lists cases, as
// FLEET:REPLICAS:GB separated by commas; without it, one small case is run. POOLS_MODES lists which
// of "none,fixed,hours" are run: 400 replicas on 1,300 machines take minutes of one core in each.
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
		var gb float64
		if _, err := fmt.Sscanf(c, "%d:%d:%g", &f, &n, &gb); err != nil {
			t.Fatalf("%s: %v", c, err)
		}
		bare, _ := burst{f, n, 0, "bare"}.play(t)
		for _, mode := range strings.Split(modes, ",") {
			b := burst{f, n, gb, mode}
			ran, cost := b.play(t)
			if len(ran) < n || len(bare) < n {
				continue
			}
			day := map[string]float64{"fixed": float64(n) * 24 * machineRate}[mode]
			if mode == "hours" {
				// The rest of the hour, until the machines are scaled in.
				day = cost + float64(n)*machineRate*(57*time.Minute-ran[n-1]).Hours()
			}
			t.Logf("%4d machines, %3d replicas of %3g GB, %-5s: half %6.1f s, p90 %6.1f s, all %6.1f s; without a fetch p90 %.1f s; a day costs %.0f of %.0f",
				f, n, gb, mode, ran[n/2].Seconds(), ran[n*9/10].Seconds(), ran[n-1].Seconds(), bare[n*9/10].Seconds(), day, float64(n)*24*machineRate)
			// A worker that has just sent a heartbeat waits half a second before its next one.
			if mode == "hours" && (ran[n*9/10] > bare[n*9/10]*11/10+500*time.Millisecond || day > float64(n)*12*machineRate) {
				t.Errorf("%+v: p90 %v, %v without a fetch; %.0f a day", b, ran[n*9/10], bare[n*9/10], day)
			}
		}
	}
}

// countPlanRecordWrites counts the writes of the records of the plan's parts (tiers, batch windows,
// warm pools), by part, while a plan with all of them is in force on that many machines, half of
// them in pools.
func countPlanRecordWrites(t *testing.T, machines int, during time.Duration) (by map[string]int) {
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
		by = map[string]int{}
		versions := map[string]uint64{}
		for end, n := time.Now().Add(during), 1; time.Now().Before(end); n++ {
			mustSubmit(t, w, job(n, func(j *wire.Job) {
				j.Class, j.Image, j.ImageGB = []string{"tiles", "slicing"}[n%2], []string{"north", "east", "south"}[n%3], 1
				j.Tasks, j.CPUs, j.EstimateS = max(2, machines/40), 8, 60 // more than the machines have room for
			}))
			if n%20 == 0 { // usage booked on the pools' machines changes as well
				mustSubmit(t, w, job(10000+n, func(j *wire.Job) {
					j.Team, j.Image, j.ImageGB, j.Tasks, j.CPUs, j.EstimateS = "speech", fmt.Sprintf("llm%d:v1", n/20%3), 5, max(2, machines/20), 2, 15
				}))
			}
			for range 4 { // a key is written at most every half a second
				time.Sleep(250 * time.Millisecond)
				for key, v := range w.Store.Versions(jobstore.PlanStatePrefix) {
					if versions[key] != v {
						part, _, _ := strings.Cut(strings.TrimPrefix(key, jobstore.PlanStatePrefix), "/")
						part, _, _ = strings.Cut(part, ".")
						by[part]++
						versions[key] = v
					}
				}
			}
		}
	})
	return by
}

// TestMeasurePlanRecords prints how often the records of the plan's parts are written;
// NOTES_MEASURE is the number of machines. Together they keep within their share of writes,
// whatever there is to write.
func TestMeasurePlanRecords(t *testing.T) {
	machines, during := 24, 90*time.Second
	if s := os.Getenv("NOTES_MEASURE"); s != "" {
		if _, err := fmt.Sscan(s, &machines); err != nil {
			t.Fatal(err)
		}
		during = 3 * time.Minute
	}
	by, sum := countPlanRecordWrites(t, machines, during), 0
	for _, part := range []string{"order", "night", "pools"} {
		sum += by[part]
		if by[part] == 0 {
			t.Errorf("nothing is recorded by %q: %v", part, by)
		}
	}
	const share = 0.02 * 60 // of the cluster's changes a second
	each := float64(sum) / during.Seconds()
	t.Logf("%d machines, %v: %v, %.2f changes a second of %.2f", machines, during, by, each, share)
	if each > share*1.05 {
		t.Errorf("%.2f changes a second", each)
	}
}
