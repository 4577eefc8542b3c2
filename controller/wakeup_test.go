// Scenarios of wake-ups. A wake-up is a direct command that makes a worker send its heartbeat at
// once, so that it receives a waiting launch.

package controller_test

import (
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/wire"
)

// slowHeartbeats configures workers that send a heartbeat every 4 s.
func slowHeartbeats(machines int) fake.Options {
	return fake.Options{Machines: machines, Capacity: machines, HeartbeatIntervalS: 4, LeaseS: 22}
}

// singleTaskJob returns a job with one task that fills a machine.
func singleTaskJob(n int, seconds float64) wire.Job {
	return job(n, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 1, 8, seconds })
}

// Workers send a heartbeat every 4 s. Without wake-ups a launch waited for the next heartbeat, 2 s
// on average, and a gang waited for the heartbeat of the last of its machines.
func TestLaunchDoesNotWaitForTheNextHeartbeat(t *testing.T) {
	runScenario(t, slowHeartbeats(8), func(t *testing.T, w *fake.Cluster) {
		t.Helper()
		time.Sleep(20 * time.Second)
		mustSubmit(t, w, job(1, func(j *wire.Job) { gang(j); j.Tasks, j.CPUs, j.ImageGB = 8, 8, 1 }))
		time.Sleep(2500 * time.Millisecond) // of which the image fetch takes 1 s
		if n := w.Running(); n != 8 {
			t.Errorf("%d tasks of the gang run, want 8", n)
		}
		mustReach(t, w, "wk-000001", wire.JobDone, time.Minute)
		checkNoWakeUpListed(t, w)
	})
}

// Operators may switch wake-ups off. Launches must then wait for heartbeats, and no direct command
// be sent.
func TestWithoutWakeUpsLaunchesGoWithTheNextHeartbeats(t *testing.T) {
	o := slowHeartbeats(8)
	o.NoWakeUps = true
	runScenario(t, o, func(t *testing.T, w *fake.Cluster) {
		t.Helper()
		time.Sleep(20 * time.Second)
		for _, m := range w.Cloud.Machines() {
			w.HoldDirectCommands(m)
		}
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.Tasks, j.CPUs = 8, 8 }))
		time.Sleep(2 * time.Second)
		if n := w.Started(); n == 8 {
			t.Error("all tasks started before all machines can have sent a heartbeat")
		}
		mustReach(t, w, "wk-000001", wire.JobDone, time.Minute)
		for _, m := range w.Cloud.Machines() {
			if n, refused := w.DeliverHeldCommands(m); n+refused > 0 {
				t.Errorf("%d batches of direct commands, want none", n+refused)
			}
		}
	})
}

// checkNoWakeUpListed asserts that no worker still lists the pseudo-task of a wake-up of jobs 1 to
// 3. It waits 12 s first.
func checkNoWakeUpListed(t *testing.T, w *fake.Cluster) {
	t.Helper()
	time.Sleep(12 * time.Second)
	for _, id := range []string{"wk-000001", "wk-000002", "wk-000003"} {
		if on := w.MachinesRunning(wire.TaskName(id, cluster.NoSuchTask)); len(on) > 0 {
			t.Errorf("the wake-up for %s is still listed on %v", id, on)
		}
	}
}

// The connection of a wake-up is held for two minutes. Then the wake-up is executed, since its
// fencing token and agent epoch still match. By then its job has ended, or its task runs on another
// machine. The wake-up is delivered twice, as if the worker had been told to forget it in between.
// It must start nothing.
func TestWakeUpThatArrivesMinutesLateStartsNothing(t *testing.T) {
	for name, meanwhile := range map[string]func(t *testing.T, w *fake.Cluster, at string){
		"its job was cancelled": func(t *testing.T, w *fake.Cluster, _ string) {
			t.Helper()
			if w.Cancel("wk-000001") != wire.JobCancelled {
				t.Error("the job was not cancelled")
			}
		},
		"its job is done": func(t *testing.T, w *fake.Cluster, _ string) {
			t.Helper()
			mustReach(t, w, "wk-000001", wire.JobDone, time.Minute)
		},
		"its task is elsewhere": func(t *testing.T, w *fake.Cluster, at string) {
			t.Helper()
			w.HangMachine(at)
			mustReach(t, w, "wk-000001", wire.JobDone, 2*time.Minute)
			w.ResumeMachine(at)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, slowHeartbeats(3), func(t *testing.T, w *fake.Cluster) {
				t.Helper()
				// This job keeps every machine busy, so that none is scaled in.
				mustSubmit(t, w, job(9, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 3, 5, 900 }))
				time.Sleep(20 * time.Second)
				all := w.Cloud.Machines()
				for _, m := range all {
					w.HoldDirectCommands(m)
				}
				mustSubmit(t, w, job(1, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 1, 3, 20 }))
				time.Sleep(300 * time.Millisecond)
				at := all[0]
				for range 60 {
					if on := w.MachinesRunning("wk-000001/0"); len(on) > 0 {
						at = on[0]
						break
					}
					time.Sleep(100 * time.Millisecond)
				}
				meanwhile(t, w, at)
				time.Sleep(2 * time.Minute)
				started, executed := w.Started(), 0
				for _, m := range all {
					n, _ := w.DeliverHeldCommands(m)
					executed += n
				}
				if executed == 0 {
					t.Error("faults did not interact: no wake-up was held and then executed")
				}
				checkNoWakeUpListed(t, w)
				for _, m := range all {
					w.DeliverHeldCommands(m)
				}
				checkNoWakeUpListed(t, w)
				if n := w.Started(); n != started {
					t.Errorf("%d starts after the late wake-up, %d before", n, started)
				}
				mustSubmit(t, w, job(2, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 1, 3, 20 }))
				mustReach(t, w, "wk-000002", wire.JobDone, 2*time.Minute)
			})
		})
	}
}

// The worker's agent epoch ends while a wake-up is in flight. The worker must refuse the wake-up,
// and the task must run once.
func TestEndedAgentEpochRefusesItsWakeUp(t *testing.T) {
	runScenario(t, slowHeartbeats(1), func(t *testing.T, w *fake.Cluster) {
		t.Helper()
		time.Sleep(10 * time.Second)
		m := w.Cloud.Machines()[0]
		w.HoldDirectCommands(m)
		mustSubmit(t, w, singleTaskJob(1, 30))
		w.HangMachine(m)
		time.Sleep(40 * time.Second)
		w.ResumeMachine(m)
		time.Sleep(time.Second)
		if _, refused := w.DeliverHeldCommands(m); refused == 0 {
			t.Error("the wake-up of the ended agent epoch was not refused")
		}
		mustReach(t, w, "wk-000001", wire.JobDone, 2*time.Minute)
		checkNoWakeUpListed(t, w)
		if n := w.Started(); n != 1 {
			t.Errorf("%d starts of a task, want 1: it was not launched in the first agent epoch", n)
		}
	})
}

// The leader is paused between accepting a job, committing its placement and sending the wake-up.
// It resumes before or after its lease has expired. It and the next leader could then both launch
// the task. Each task must start once.
func TestLeaderThatEndsBeforeItsWakeUpsStartsNothingTwice(t *testing.T) {
	for _, pause := range []time.Duration{3 * time.Second, 25 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			runScenario(t, slowHeartbeats(6), func(t *testing.T, w *fake.Cluster) {
				t.Helper()
				time.Sleep(10 * time.Second)
				for n := 1; n <= 6; n++ {
					mustSubmit(t, w, singleTaskJob(n, 8))
					time.Sleep(time.Duration(n*n) * 5 * time.Millisecond)
					leader := w.Leader()
					if leader < 0 {
						t.Fatal("no leader")
					}
					w.PauseNode(leader)
					time.Sleep(pause)
					w.ResumeNode(leader)
					mustReach(t, w, job(n, nil).ID, wire.JobDone, 2*time.Minute)
					time.Sleep(10 * time.Second)
				}
				if n := w.Started(); n != 6 {
					t.Errorf("%d starts of 6 tasks", n)
				}
			})
		})
	}
}

// A machine hangs while the reply to its heartbeat is held open for the next launch there. The
// heartbeat reports the completion of a task. The next task could be lost with the reply. It must
// run once, there or on another machine.
func TestMachineHangsWhileItsHeartbeatAnswerIsDelayed(t *testing.T) {
	for _, hang := range []time.Duration{2 * time.Second, 5 * time.Second, 30 * time.Second} {
		t.Run(hang.String(), func(t *testing.T) {
			runScenario(t, slowHeartbeats(1), func(t *testing.T, w *fake.Cluster) {
				t.Helper()
				mustSubmit(t, w, singleTaskJob(1, 10), singleTaskJob(2, 10), singleTaskJob(3, 10))
				for range 600 {
					if time.Sleep(100 * time.Millisecond); w.FinishedTasks("wk-000001")+w.FinishedTasks("wk-000002")+w.FinishedTasks("wk-000003") > 0 {
						break
					}
				}
				time.Sleep(150 * time.Millisecond) // the machine's heartbeat has arrived and has no reply yet
				m := w.Cloud.Machines()[0]
				w.HangMachine(m)
				time.Sleep(hang)
				w.ResumeMachine(m)
				mustFinish(t, w, 3*time.Minute, 1, 2, 3)
			})
		})
	}
}
