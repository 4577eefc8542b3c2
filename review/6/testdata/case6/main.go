// Command case6 submits a job without GPUs while another one waits for a machine with GPUs that the cloud
// doesn't have, and checks that the job starts on the free CPUs of the machine that is there.
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
	capacity := 3
	if stage.Trouble() {
		capacity = 1 // the cloud has fewer machines to give
	}
	s, err := stage.Start(os.Args[1], stage.Options{
		Fake:  fake.Options{Nodes: 3, Machines: 1, Capacity: capacity, Types: []wire.MachineType{vitrine, atelier}, StateRPS: 70, StateWPS: 25},
		State: config.StateLimits{RPS: 70, WriteRPS: 25, ValueKB: 16, TxnOps: 12},
		MemMB: 98,
	})
	if err != nil {
		fmt.Println(err)
		os.Exit(stage.Failed)
	}
	s.AwaitReady(20 * time.Second)
	s.Note("the cloud has %d machines to give; one is up, with 16 CPUs and 2 GPUs", capacity)
	// The first job takes both GPUs and 4 of the 16 CPUs for the rest of the case.
	submit(s, wire.Job{ID: "wk-000001", Class: "layer-preview", Kind: wire.KindArray, Tasks: 1, CPUs: 4, GPUs: 2, MemoryGB: 32, Image: "preview", EstimateS: 200})
	if !await(s, "wk-000001", 15*time.Second) {
		s.Exit(stage.Failed, "the first job does not run")
	}
	submit(s, wire.Job{ID: "wk-000002", Class: "layer-preview", Kind: wire.KindArray, Tasks: 1, CPUs: 6, GPUs: 1, MemoryGB: 48, Image: "preview", EstimateS: 100})
	time.Sleep(2 * time.Second)
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
