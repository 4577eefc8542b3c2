// Command case2 submits a job that is within its team's guarantee, and a more urgent one of a team
// without a guarantee, while there is room for one of them.
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
	runTime     = 20 * time.Second // of each job
	zone        = "a"
)

// poste is one of the site's machine types. The cloud has no further machines.
var poste = wire.MachineType{Name: "poste", CPUs: 4, MemoryGB: 32, CacheGB: 50, FetchGBPS: 1, Price: 0.32, SpotPrice: 0.13, BootS: 40, Zones: fake.Zones}

// teams are two of the site's.
var teams = []config.Team{{Name: "atelier-ecoles", CPUs: 72, CPUsMax: 224}, {Name: "enis-materiaux"}}

// objectives are those of the site that are in the settings.
var objectives = []config.Objective{
	{Kind: config.ObjectiveWait, Class: "hall-plan", WithinS: 15, Share: 0.85},
	{Kind: config.ObjectiveFinished, Class: "hall-plan", WithinS: 250, Share: 0.85},
	{Kind: config.ObjectiveFinished, Class: "layer-preview", WithinS: 250, Share: 0.88},
	{Kind: config.ObjectiveFinished, Class: "layer-preview", WithinS: 350, Share: 0.88},
	{Kind: config.ObjectiveGuarantee, WithinS: 20, Share: 0.88},
}

func main() {
	if len(os.Args) != 2 {
		fmt.Println("usage: case2 RECORD")
		os.Exit(lab.NotRun)
	}
	l, err := lab.Open(os.Args[1], fake.Options{Nodes: controllers, Machines: 0, Capacity: -1, Types: []wire.MachineType{poste},
		StateRPS: 70, StateWPS: 25, HeartbeatIntervalS: 1.5, LeaseS: 12, Teams: teams},
		func(s *config.Settings) { s.Cluster.Objectives = objectives })
	if err != nil {
		fmt.Println(err)
		os.Exit(lab.NotRun)
	}
	os.Exit(l.Close(play(l)))
}

func play(l *lab.Lab) int {
	outcome := func(string, uint64) (time.Duration, string) { return runTime, wire.ExitDone }
	names := []string{"host-000231"}
	if !lab.Trouble() {
		names = append(names, "host-000232") // room for both jobs
	}
	var workers []*lab.Worker
	for _, name := range names {
		w, err := l.StartWorker(lab.Machine{Name: name, Type: poste.Name, Zone: zone, FetchGBPS: poste.FetchGBPS, Images: []string{"img-01"}}, outcome)
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
	time.Sleep(4 * time.Second) // the machines have reported
	guaranteed := wire.Job{ID: "wk-000001", Class: "controle-piece", Team: "atelier-ecoles", Kind: wire.KindArray, Priority: wire.PriorityNormal,
		Tasks: 1, CPUs: 4, MemoryGB: 8, Image: "img-01", ImageGB: 1, EstimateS: runTime.Seconds()}
	urgent := guaranteed
	urgent.ID, urgent.Team, urgent.Class, urgent.Priority = "wk-000002", "enis-materiaux", "cotes-unitaires", wire.PriorityHigh
	if !l.Accept(guaranteed) {
		return lab.NotRun
	}
	if !lab.Await(20*time.Second, func() bool { return state(l, guaranteed.ID) == wire.JobRunning }) {
		l.Log("%s does not run", guaranteed.ID)
		return lab.NotRun
	}
	if !l.Accept(urgent) {
		return lab.NotRun
	}
	accepted, lastLog := time.Now(), time.Time{}
	samples, empty := 0, 0 // of the machines, and those in which one was empty
	for time.Since(accepted) < startBound {
		if s := state(l, urgent.ID); s == wire.JobRunning || s == wire.JobDone {
			l.Log("%s has started, %.1f s after its acceptance; %s: %s", urgent.ID, time.Since(accepted).Seconds(), guaranteed.ID, l.States(guaranteed.ID))
			return lab.Held
		}
		if state(l, guaranteed.ID) == wire.JobDone {
			l.Log("%s is done, so that nothing keeps %s from its place", guaranteed.ID, urgent.ID)
			return lab.Held
		}
		samples++
		for _, w := range workers {
			if w.UsedByOthers("") == 0 {
				empty++
				break
			}
		}
		if time.Since(lastLog) > 10*time.Second {
			lastLog = time.Now()
			l.Log("%s: %s; %s: %s", guaranteed.ID, l.States(guaranteed.ID), urgent.ID, l.States(urgent.ID))
		}
		time.Sleep(100 * time.Millisecond)
	}
	l.Log("RULE BROKEN: %s waits for %.0f s; a machine that fits was empty in %d of %d samples, its team has no limit; %s was launched and stopped all the time and is not done either",
		urgent.ID, time.Since(accepted).Seconds(), empty, samples, guaranteed.ID)
	return lab.Broken
}

// state returns what the first controller answers about a job.
func state(l *lab.Lab, id string) string { return lab.Show(l.Addr(0), id).Job.State }
