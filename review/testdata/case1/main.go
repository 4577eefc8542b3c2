// Command case1 lets six jobs with long lists of machine types end during an outage of the state
// service, and then submits a small job.
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
	longJobs    = 8
	listBytes   = 16_000           // of a list of machine types as JSON; the whole record stays under value_kb
	startBound  = 90 * time.Second // LATER.md of the hunt: no job is left waiting for longer
	outage      = 10 * time.Second // the site files name outages of 10 s to 25 s
	firstEnd    = 4.0              // seconds that the first long job runs; each further one runs longer
	nextEnd     = 0.4
)

func main() {
	if len(os.Args) != 2 {
		fmt.Println("usage: case1 RECORD")
		os.Exit(lab.NotRun)
	}
	l, err := lab.Open(os.Args[1], fake.Options{Nodes: controllers, Machines: 6, StateRPS: 70, StateWPS: 25, Teams: []config.Team{
		{Name: "equipe-clinique", CPUs: 72, CPUsMax: 224}, {Name: "atelier-ecoles", CPUs: 72, CPUsMax: 224}}}, nil)
	if err != nil {
		fmt.Println(err)
		os.Exit(lab.NotRun)
	}
	os.Exit(l.Close(play(l)))
}

// typeNames returns the one machine type that the cloud offers, and others that it does not offer
// here, so that the list takes about n bytes as JSON.
func typeNames(n int) []string {
	names := []string{fake.DefaultType.Name}
	for size := 0; size < n; {
		name := fmt.Sprintf("std-%04d-highmem", len(names))
		names = append(names, name)
		size += len(name) + len(`"",`)
	}
	return names
}

func job(n int, seconds float64, types []string) wire.Job {
	return wire.Job{ID: fmt.Sprintf("wk-%06d", n), Class: "layer-preview", Team: "atelier-ecoles", Kind: wire.KindArray, Priority: wire.PriorityNormal,
		Tasks: 1, CPUs: 2, MemoryGB: 4, Image: "img-07", ImageGB: 0.1, Types: types, EstimateS: seconds}
}

func play(l *lab.Lab) int {
	if err := l.StartAll(); err != nil {
		l.Log("not started: %v", err)
		return lab.NotRun
	}
	types := typeNames(listBytes)
	var ids []string
	for i := range longJobs {
		j := job(101+i, firstEnd+nextEnd*float64(i), types)
		if !l.Accept(j) {
			return lab.NotRun
		}
		ids = append(ids, j.ID)
	}
	if !lab.Await(20*time.Second, func() bool { return count(ids, func(id string) bool { return started(l, id) }) == longJobs }) {
		l.Log("the long jobs do not run")
		return lab.NotRun
	}
	l.Log("the long jobs run")
	if lab.Trouble() {
		time.Sleep(1500 * time.Millisecond)
		if n := ended(l, ids); n > 0 {
			l.Log("%d of them have ended before the outage", n)
			return lab.NotRun
		}
		l.Cluster.Store.SetOutage(true)
		l.Log("the state service is down")
		time.Sleep(outage)
		l.Cluster.Store.SetOutage(false)
		l.Log("the state service is up")
	} else {
		time.Sleep(outage)
	}
	if n := ended(l, ids); n < longJobs {
		l.Log("only %d of the long jobs have ended", n)
		return lab.NotRun
	}
	l.Log("each task of the long jobs has ended on its machine")
	time.Sleep(time.Second)
	small := job(201, 1, nil)
	if !l.Accept(small) {
		l.Log("the small job is not accepted")
		return lab.NotRun
	}
	accepted := time.Now()
	lastLog := time.Time{}
	for time.Since(accepted) < startBound {
		if time.Since(lastLog) > 10*time.Second {
			lastLog = time.Now()
			for _, id := range append([]string{small.ID}, ids...) {
				l.Log("%s: %s, tasks completed on machines: %d", id, l.States(id), l.Cluster.FinishedTasks(id))
			}
		}
		if l.Cluster.FinishedTasks(small.ID) > 0 {
			l.Log("the small job has run, %.1f s after its acceptance", time.Since(accepted).Seconds())
			done := lab.Await(20*time.Second, func() bool {
				return count(append(ids, small.ID), func(id string) bool { return state(l, id) == wire.JobDone }) == longJobs+1
			})
			l.Log("all jobs are called done: %t", done)
			return lab.Held
		}
		time.Sleep(200 * time.Millisecond)
	}
	l.Log("RULE BROKEN: %s waits for %.0f s since its acceptance; machines in use: %d of 6, its team may use 224 CPUs", small.ID, time.Since(accepted).Seconds(), len(l.Cluster.TasksPerMachine()))
	return lab.Broken
}

// ended returns how many of the jobs have ended on their machines.
func ended(l *lab.Lab, ids []string) int {
	return count(ids, func(id string) bool { return l.Cluster.FinishedTasks(id) > 0 })
}

func started(l *lab.Lab, id string) bool {
	return l.Cluster.FinishedTasks(id) > 0 || len(l.Cluster.MachinesRunning(wire.TaskName(id, 0))) > 0
}

// state returns the state that the first controller gives.
func state(l *lab.Lab, id string) string { return lab.Show(l.Addr(0), id).Job.State }

func count(ids []string, ok func(id string) bool) (n int) {
	for _, id := range ids {
		if ok(id) {
			n++
		}
	}
	return n
}
