// Command case3 starts a gang on a machine that has its image and on one that has to fetch it, while
// other tasks with other images come.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/review/testdata/lab"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	controllers = 3
	startBound  = 90 * time.Second // LATER.md of the hunt: no job is left waiting for longer
	zone        = "a"
	// Of the site.
	gangWaitS   = 30.0
	gangImageGB = 20.0 // the class's largest
	indexGB     = 4.0  // 95% of the class's images are not larger
	indexImages = 18   // of the class
	indexEvery  = 5500 * time.Millisecond
	nominalGBPS = 1.0
	fetchGBPS   = 0.8 // the rate is given "give or take a third"
)

var (
	vlieger = wire.MachineType{Name: "vlieger", CPUs: 12, GPUs: 2, MemoryGB: 96, CacheGB: 100, FetchGBPS: nominalGBPS, Price: 4.47, SpotPrice: 1.96, BootS: 45, Zones: fake.Zones}
	zwaluw  = wire.MachineType{Name: "zwaluw", CPUs: 32, GPUs: 4, MemoryGB: 256, CacheGB: 120, FetchGBPS: nominalGBPS, Price: 10.2, SpotPrice: 4.58, BootS: 60, Zones: fake.Zones}
)

var gang = wire.Job{ID: "wk-000001", Class: "ortho-stitch", Team: "luchtploeg", Kind: wire.KindGang, Priority: wire.PriorityNormal,
	Tasks: 2, CPUs: 10, GPUs: 2, MemoryGB: 77, Image: "ortho-07", ImageGB: gangImageGB, OneZone: true, EstimateS: 150, CheckpointS: 15, SaveS: 3}

func main() {
	if len(os.Args) != 2 {
		fmt.Println("usage: case3 RECORD")
		os.Exit(lab.NotRun)
	}
	l, err := lab.Open(os.Args[1], fake.Options{Nodes: controllers, Machines: 0, Capacity: -1, Types: []wire.MachineType{vlieger, zwaluw},
		StateRPS: 120, StateWPS: 30, HeartbeatIntervalS: 3, LeaseS: 19, Teams: []config.Team{{Name: gang.Team, GPUs: 20, GPUsMax: 60}}},
		func(s *config.Settings) { s.Cluster.Workers.GangWaitS = gangWaitS })
	if err != nil {
		fmt.Println(err)
		os.Exit(lab.NotRun)
	}
	os.Exit(l.Close(play(l)))
}

func play(l *lab.Lab) int {
	outcome := func(string, uint64) (time.Duration, string) { return 35 * time.Second, wire.ExitDone }
	machines := []lab.Machine{
		{Name: "host-000231", Type: vlieger.Name, Zone: zone, FetchGBPS: fetchGBPS, Images: []string{gang.Image}},
		{Name: "host-000232", Type: zwaluw.Name, Zone: zone, FetchGBPS: fetchGBPS},
	}
	var workers []*lab.Worker
	for _, m := range machines {
		w, err := l.StartWorker(m, outcome)
		if err != nil {
			l.Log("no worker: %v", err)
			return lab.NotRun
		}
		workers = append(workers, w)
	}
	if err := l.StartAll(); err != nil {
		l.Log("not started: %v", err)
		return lab.NotRun
	}
	time.Sleep(4 * time.Second) // both machines have reported
	if !l.Accept(gang) {
		return lab.NotRun
	}
	accepted := time.Now()
	next, sent := accepted, 0
	lastLog := time.Time{}
	for time.Since(accepted) < startBound {
		if l.GangRan(gang.ID) {
			l.Log("the gang runs, %.1f s after its acceptance", time.Since(accepted).Seconds())
			return lab.Held
		}
		// Others leave the gang's place on each machine free.
		vliegerUsed, zwaluwUsed := workers[0].UsedByOthers(gang.ID), workers[1].UsedByOthers(gang.ID)
		if vliegerUsed > vlieger.CPUs-gang.CPUs || zwaluwUsed > zwaluw.CPUs-gang.CPUs {
			l.Log("others use %g and %g CPUs: no room for the gang", vliegerUsed, zwaluwUsed)
			return lab.NotRun
		}
		if lab.Trouble() && sent < indexImages && !time.Now().Before(next) {
			next = next.Add(indexEvery)
			if !l.Accept(index(sent)) {
				return lab.NotRun
			}
			sent++
		}
		if time.Since(lastLog) > 10*time.Second {
			lastLog = time.Now()
			l.Log("%s: %s; others use %g of 12 CPUs of vlieger, %g of 32 of zwaluw", gang.ID, l.States(gang.ID), vliegerUsed, zwaluwUsed)
		}
		time.Sleep(50 * time.Millisecond)
	}
	l.Log("RULE BROKEN: the gang %s has not begun %.0f s after its acceptance; its places were free of other tasks all the time", gang.ID, time.Since(accepted).Seconds())
	return lab.Broken
}

// index returns a small job of another class, with another image than the ones before. It asks for the
// machine type on which it takes no place from the gang.
func index(n int) wire.Job {
	return wire.Job{ID: fmt.Sprintf("wk-0002%02d", n), Class: "vlucht-index", Team: gang.Team, Kind: wire.KindArray, Priority: wire.PriorityNormal,
		Tasks: 1, CPUs: 1, MemoryGB: 1.9, Image: fmt.Sprintf("vlucht-%02d", n), ImageGB: indexGB, Types: []string{zwaluw.Name}, Spot: true, EstimateS: 35}
}
