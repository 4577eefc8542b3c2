// Command case6 submits jobs with GPUs three times as often as usual for a moment, so that two of them wait
// for the only machine's GPUs, then a job without GPUs, and checks that this one starts on the machine's free CPUs.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/review/testdata/stage"
	"github.com/umberdeal/umberdeal/wire"
)

const waitS = 90 // the rule's bound

func main() {
	vitrine := wire.MachineType{Name: "vitrine", CPUs: 16, GPUs: 2, MemoryGB: 128, CacheGB: 150, FetchGBPS: 0.6, Price: 4.39, SpotPrice: 1.74, BootS: 5, Zones: fake.Zones}
	atelier := wire.MachineType{Name: "atelier-32", CPUs: 32, MemoryGB: 64, CacheGB: 25, FetchGBPS: 0.25, Price: 2.16, SpotPrice: 0.77, BootS: 5, Zones: fake.Zones}
	previews := 1
	if stage.Trouble() {
		previews = 3 // the jobs of the class come three times as often
	}
	s, err := stage.Start(os.Args[1], stage.Options{
		Fake:  fake.Options{Nodes: 3, Machines: 1, Capacity: 1, Types: []wire.MachineType{vitrine, atelier}, StateRPS: 70, StateWPS: 25},
		State: config.StateLimits{RPS: 70, WriteRPS: 25, ValueKB: 16, TxnOps: 12},
		MemMB: 98,
	})
	if err != nil {
		fmt.Println(err)
		os.Exit(stage.Failed)
	}
	s.AwaitReady(20 * time.Second)
	s.Note("the cloud has one machine to give, with 16 CPUs and 2 GPUs, and it is up")
	// The first job takes both GPUs and 4 of the 16 CPUs for the rest of the case.
	submit(s, wire.Job{ID: "wk-000001", Class: "layer-preview", Kind: wire.KindArray, Tasks: 1, CPUs: 4, GPUs: 2, MemoryGB: 32, Image: "preview", EstimateS: 200})
	if !await(s, "wk-000001", 15*time.Second) {
		s.Exit(stage.Failed, "the first job does not run")
	}
	for i := 1; i < previews; i++ {
		submit(s, wire.Job{ID: fmt.Sprintf("wk-%06d", 100+i), Class: "layer-preview", Kind: wire.KindArray, Tasks: 1, CPUs: 6, GPUs: 1, MemoryGB: 48, Image: "preview", EstimateS: 100})
	}
	time.Sleep(2 * time.Second)
	s.Note("no further preview is submitted")
	submit(s, wire.Job{ID: "wk-000003", Class: "cotes-unitaires", Kind: wire.KindArray, Tasks: 1, CPUs: 2, MemoryGB: 4, Image: "cotes", EstimateS: 5})
	if await(s, "wk-000003", (waitS+2)*time.Second) {
		s.Exit(stage.Held, "the job without GPUs started")
	}
	s.Note("tasks by machine %v", s.Cluster.TasksPerMachine())
	s.Exit(stage.Broken, fmt.Sprintf("wk-000003 (2 CPUs, 4 GB, no GPU) waits for more than %d s while the machine has 12 CPUs and 96 GB free", waitS))
}

func submit(s *stage.Stage, job wire.Job) {
	job.Team, job.Priority = "core", wire.PriorityNormal
	if !s.Cluster.Submit(job) {
		s.Exit(stage.Failed, job.ID+" was not accepted")
	}
	s.Note("%s accepted: %g CPUs, %g GPUs, %g GB", job.ID, job.CPUs, job.GPUs, job.MemoryGB)
}

// await waits until the job's only task runs or has run.
func await(s *stage.Stage, id string, within time.Duration) bool {
	begun := time.Now()
	for time.Since(begun) < within {
		if on := s.Cluster.MachinesRunning(wire.TaskName(id, 0)); len(on) > 0 || s.Cluster.FinishedTasks(id) > 0 {
			s.Note("%s started after %.1f s, on %v", id, time.Since(begun).Seconds(), on)
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
