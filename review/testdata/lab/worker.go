// A small worker that follows PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers".
// Its tasks need no image and do nothing but last. Unlike those of package fake, a case can make one
// attempt fail.

package lab

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

// Worker is a machine with its worker, which runs until Lab.Close.
type Worker struct {
	lab     *Lab
	machine wire.Heartbeat // name, address, type, zone
	lease   time.Duration
	report  time.Duration
	client  *http.Client
	// Outcome returns how long an attempt runs and how it exits (one of the wire.Exit constants).
	outcome func(task string, attempt uint64) (time.Duration, string)

	mu       sync.Mutex // guards the fields below
	epoch    uint64
	seq      uint64
	token    uint64
	renewed  time.Time // when the last answered report was sent
	tasks    []*attempt
	due      bool // something has changed since the last report
	tokenDue time.Time
	target   int
}

type attempt struct {
	wire.TaskStatus
	ends time.Time
	why  string
}

// StartWorker starts a machine of the given type in a zone. Every launched attempt starts at once;
// outcome says how long it runs and how it exits.
func (l *Lab) StartWorker(name, machineType, zone string, outcome func(task string, attempt uint64) (time.Duration, string)) (*Worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	settings := l.nodes[0].settings.Cluster.Workers
	w := &Worker{lab: l, lease: secs(settings.LeaseS), report: secs(settings.HeartbeatS), client: call.NewClient(call.Dialer(), 1, 1), outcome: outcome, epoch: 1, renewed: time.Now(),
		machine: wire.Heartbeat{Machine: name, Addr: listener.Addr().String(), Type: machineType, Zone: zone}}
	srv := &http.Server{Handler: w}
	go func() { _ = srv.Serve(listener) }()
	go func() {
		<-l.ctx.Done()
		_ = srv.Close() // nothing is left to serve
	}()
	go w.run()
	return w, nil
}

func secs(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// run lets tasks end, and sends reports: at the usual interval, and after a change.
func (w *Worker) run() {
	last := time.Time{}
	for w.lab.ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		w.mu.Lock()
		w.step(time.Now())
		interval := time.Duration(float64(w.report) * (0.75 + 0.5*rand.Float64()))
		due := w.due
		w.mu.Unlock()
		if since := time.Since(last); since < interval && (!due || since < 500*time.Millisecond) {
			continue
		}
		last = time.Now()
		if !w.send(last) {
			time.Sleep(time.Second)
		}
	}
}

// step ends tasks whose time is over, and the session if the lease has expired. The caller holds the lock.
func (w *Worker) step(now time.Time) {
	if now.Sub(w.renewed) > w.lease {
		w.lab.Log("worker %s: its lease has expired", w.machine.Machine)
		w.tasks, w.epoch, w.renewed, w.due = nil, w.epoch+1, now, true
		return
	}
	for _, t := range w.tasks {
		if t.State != wire.TaskExited && !now.Before(t.ends) {
			w.exit(t, t.why)
		}
	}
}

func (w *Worker) exit(t *attempt, why string) {
	t.State, t.ExitReason, w.due = wire.TaskExited, why, true
	w.lab.Log("worker %s: %s attempt %d exits: %s", w.machine.Machine, t.Task, t.Attempt, why)
}

// heartbeat returns the next report. The caller holds the lock.
func (w *Worker) heartbeat() wire.Heartbeat {
	w.seq++
	h := w.machine
	h.AgentEpoch, h.Seq, h.Token, h.Tasks = w.epoch, w.seq, w.token, []wire.TaskStatus{}
	for _, t := range w.tasks {
		h.Tasks = append(h.Tasks, t.TaskStatus)
	}
	return h
}

// send sends a report. It returns false if the worker has to pause before it tries the next controller.
func (w *Worker) send(sent time.Time) bool {
	w.mu.Lock()
	w.due = false
	h, target := w.heartbeat(), w.target
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(w.lab.ctx, 4*time.Second)
	defer cancel()
	status, body, err := call.Do(ctx, w.client, http.MethodPost, "http://"+w.lab.Addr(target)+wire.PathHeartbeat, h, wire.MaxBody)
	w.mu.Lock()
	defer w.mu.Unlock()
	var answer wire.HeartbeatAnswer
	var redirect wire.Redirect
	switch {
	case err == nil && status == http.StatusOK && wire.Unmarshal(body, &answer) == nil:
		if answer.Token >= w.token && h.AgentEpoch == w.epoch {
			w.renewed = sent
			w.noteToken(answer.Token)
			w.execute(answer.Commands)
		}
		return true
	case err == nil && status == http.StatusMisdirectedRequest && wire.Unmarshal(body, &redirect) == nil && redirect.Node != "":
		for i, n := range w.lab.nodes {
			if n.settings.Node == redirect.Node && i != target {
				w.target, w.due = i, true
				return true
			}
		}
	}
	w.target, w.due = (target+1)%len(w.lab.nodes), true
	return false
}

// noteToken records a token that the worker has seen. The caller holds the lock.
func (w *Worker) noteToken(token uint64) {
	if token > w.token {
		w.token = token
		if time.Since(w.tokenDue) > w.lease/2 {
			w.due, w.tokenDue = true, time.Now()
		}
	}
}

// execute executes commands in order. The caller holds the lock.
func (w *Worker) execute(commands []wire.Command) {
	for _, c := range commands {
		known, running := w.find(c.Task, c.Attempt)
		switch c.Op {
		case wire.OpStart:
			if known == nil {
				w.launch(c, running)
			}
		case wire.OpStop:
			if known != nil && known.State != wire.TaskExited {
				w.exit(known, wire.ExitStopped) // its tasks save nothing
			}
		case wire.OpForget:
			if known != nil && known.State == wire.TaskExited {
				w.forget(known)
			}
		}
	}
}

// find returns the attempt of a task, and whether another attempt of the task has not exited.
func (w *Worker) find(task string, number uint64) (known *attempt, running bool) {
	for _, t := range w.tasks {
		if t.Task == task && t.Attempt == number {
			known = t
		} else if t.Task == task && t.State != wire.TaskExited {
			running = true
		}
	}
	return known, running
}

func (w *Worker) launch(c wire.Command, otherRunning bool) {
	t := &attempt{TaskStatus: wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning}}
	w.tasks, w.due = append(w.tasks, t), true
	lasts, why := w.outcome(c.Task, c.Attempt)
	switch {
	case otherRunning:
		t.State, t.ExitReason = wire.TaskExited, wire.ExitBusy
	case why == wire.ExitUnknown:
		t.State, t.ExitReason = wire.TaskExited, why
	default:
		t.ends, t.why = time.Now().Add(lasts), why
		w.lab.Log("worker %s: %s attempt %d starts", w.machine.Machine, c.Task, c.Attempt)
	}
}

func (w *Worker) forget(t *attempt) {
	for i := range w.tasks {
		if w.tasks[i] == t {
			w.tasks = append(w.tasks[:i:i], w.tasks[i+1:]...)
			return
		}
	}
}

// ServeHTTP receives direct commands and answers with a report.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody))
	w.mu.Lock()
	defer w.mu.Unlock()
	status := http.StatusOK
	if strings.HasSuffix(r.URL.Path, wire.PathCommands) {
		var d wire.DirectCommands
		switch err := wire.Unmarshal(body, &d); {
		case err != nil || d.AgentEpoch == 0:
			status = http.StatusBadRequest
		case d.Token < w.token || d.AgentEpoch != w.epoch:
			status = http.StatusConflict
		default:
			w.noteToken(d.Token)
			w.execute(d.Commands)
		}
	}
	out, err := wire.Marshal(w.heartbeat())
	if err != nil {
		status = http.StatusInternalServerError
	}
	rw.WriteHeader(status)
	_, _ = rw.Write(out) // the controller repeats what it needs
}
