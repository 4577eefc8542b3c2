// A small worker that follows PROTOCOL, "Workers -> controller nodes", "Controller nodes -> workers" and
// "Gangs". Its tasks do nothing but last, and save nothing. Unlike with those of package fake, a case can
// make one attempt fail, give each machine a rate of its own at which it fetches images, and let a
// machine have an image from the beginning.

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
	outcome Outcome
	rate    float64 // GB a second, shared by the images that are fetched at the same time

	mu       sync.Mutex // guards the fields below
	epoch    uint64
	seq      uint64
	token    uint64
	renewed  time.Time // when the last answered report was sent
	tasks    []*attempt
	due      bool               // something has changed since the last report
	images   map[string]bool    // cached
	fetches  map[string]float64 // GB left of each image that is being fetched
	stepped  time.Time
	tokenDue time.Time
	target   int
}

// attempt is an attempt of a task that the worker has been told to launch.
type attempt struct {
	wire.TaskStatus
	job      wire.Job
	present  time.Time // when it had its image
	ends     time.Time // zero before it runs
	lasts    time.Duration
	why      string
	stopping bool
}

// Outcome returns how long an attempt runs and how it exits (one of the wire.Exit constants).
type Outcome func(task string, attempt uint64) (time.Duration, string)

// Machine describes a machine of StartWorker.
type Machine struct {
	Name, Type, Zone string
	FetchGBPS        float64
	Images           []string // that it has cached
}

// StartWorker starts a machine.
func (l *Lab) StartWorker(m Machine, outcome Outcome) (*Worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	settings := l.nodes[0].settings.Cluster.Workers
	w := &Worker{lab: l, lease: secs(settings.LeaseS), report: secs(settings.HeartbeatS), client: call.NewClient(call.Dialer(), 1, 1), outcome: outcome, rate: m.FetchGBPS, epoch: 1, renewed: time.Now(),
		images: map[string]bool{}, fetches: map[string]float64{}, stepped: time.Now(),
		machine: wire.Heartbeat{Machine: m.Name, Addr: listener.Addr().String(), Type: m.Type, Zone: m.Zone}}
	for _, image := range m.Images {
		w.images[image] = true
	}
	srv := &http.Server{Handler: w}
	go func() { _ = srv.Serve(listener) }()
	go func() {
		<-l.ctx.Done()
		_ = srv.Close() // nothing is left to serve
	}()
	go w.run()
	return w, nil
}

// UsedByOthers returns how many CPUs the tasks of other jobs than the given one use.
func (w *Worker) UsedByOthers(id string) (cpus float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		if t.State != wire.TaskExited && t.job.ID != id {
			cpus += t.job.CPUs
		}
	}
	return cpus
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

// step lets fetches and tasks go on, and ends the session if the lease has expired. The caller holds the
// lock.
func (w *Worker) step(now time.Time) {
	if now.Sub(w.renewed) > w.lease {
		w.lab.Log("worker %s: its lease has expired", w.machine.Machine)
		for _, t := range w.tasks {
			w.lab.gangs.leave(t)
		}
		w.tasks, w.epoch, w.renewed, w.due = nil, w.epoch+1, now, true
		return
	}
	w.fetch(now)
	for _, t := range w.tasks {
		switch {
		case t.State == wire.TaskFetching && w.images[t.job.Image]:
			w.begin(t, now)
		case t.State == wire.TaskWaiting && w.lab.gangs.complete(t):
			w.lab.Log("worker %s: %s attempt %d: its gang is complete and runs", w.machine.Machine, t.Task, t.Attempt)
			t.State, t.ends, w.due = wire.TaskRunning, now.Add(t.lasts), true
		case t.State == wire.TaskWaiting && now.Sub(t.present) > w.lab.gangWait():
			w.exit(t, wire.ExitAlone)
		case t.State == wire.TaskRunning && !now.Before(t.ends):
			w.exit(t, t.why)
		}
	}
}

// fetch advances the fetches of images, which share the machine's rate. One that no task waits for any
// more is given up.
func (w *Worker) fetch(now time.Time) {
	elapsed := now.Sub(w.stepped).Seconds()
	w.stepped = now
	wanted := map[string]bool{}
	for _, t := range w.tasks {
		if t.State != wire.TaskFetching || w.images[t.job.Image] {
			continue
		}
		wanted[t.job.Image] = true
		if _, ok := w.fetches[t.job.Image]; !ok {
			w.fetches[t.job.Image] = t.job.ImageGB
		}
	}
	for image := range w.fetches {
		if !wanted[image] {
			w.lab.Log("worker %s: gives up the fetch of %s, %.1f GB were left", w.machine.Machine, image, w.fetches[image])
			delete(w.fetches, image)
		}
	}
	share := elapsed * w.rate / float64(max(1, len(w.fetches)))
	for image := range w.fetches {
		if w.fetches[image] -= share; w.fetches[image] <= 0 {
			w.lab.Log("worker %s: has fetched %s", w.machine.Machine, image)
			delete(w.fetches, image)
			w.images[image] = true
		}
	}
}

// begin lets a task that has its image run, or wait for its gang.
func (w *Worker) begin(t *attempt, now time.Time) {
	t.present, w.due = now, true
	if t.job.Kind == wire.KindGang {
		t.State = wire.TaskWaiting
		w.lab.gangs.join(t)
		w.lab.Log("worker %s: %s attempt %d has its image and waits for its gang", w.machine.Machine, t.Task, t.Attempt)
		return
	}
	t.State, t.ends = wire.TaskRunning, now.Add(t.lasts)
	w.lab.Log("worker %s: %s attempt %d runs", w.machine.Machine, t.Task, t.Attempt)
}

func (w *Worker) exit(t *attempt, why string) {
	t.State, t.ExitReason, w.due = wire.TaskExited, why, true
	w.lab.gangs.leave(t)
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
	t := &attempt{TaskStatus: wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskFetching}}
	w.tasks, w.due = append(w.tasks, t), true
	id, task, ok := wire.ParseTaskName(c.Task)
	job, known := w.lab.jobs.Load(id)
	switch {
	case !ok || !known || task >= job.(wire.Job).Tasks:
		t.State, t.ExitReason = wire.TaskExited, wire.ExitUnknown // also the controllers' wake-ups, which name no task
	case otherRunning:
		t.State, t.ExitReason = wire.TaskExited, wire.ExitBusy
	default:
		t.job = job.(wire.Job)
		t.lasts, t.why = w.outcome(c.Task, c.Attempt)
		w.lab.Log("worker %s: %s attempt %d is launched", w.machine.Machine, c.Task, c.Attempt)
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

// gangs knows which tasks of gangs are on their machines with their image.
type gangs struct {
	mu      sync.Mutex
	present map[gangKey]map[string]bool // names of tasks
	started map[gangKey]bool
}

type gangKey struct {
	job     string
	attempt uint64
}

func (g *gangs) join(t *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangKey{t.job.ID, t.Attempt}
	if g.present == nil {
		g.present, g.started = map[gangKey]map[string]bool{}, map[gangKey]bool{}
	}
	if g.present[key] == nil {
		g.present[key] = map[string]bool{}
	}
	g.present[key][t.Task] = true
	if len(g.present[key]) == t.job.Tasks {
		g.started[key] = true
	}
}

func (g *gangs) leave(t *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.present[gangKey{t.job.ID, t.Attempt}], t.Task)
}

// complete reports whether all tasks of the attempt have been there at once.
func (g *gangs) complete(t *attempt) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started[gangKey{t.job.ID, t.Attempt}]
}

// GangRan reports whether all tasks of any attempt of a gang have run.
func (l *Lab) GangRan(id string) bool {
	l.gangs.mu.Lock()
	defer l.gangs.mu.Unlock()
	for key := range l.gangs.started {
		if key.job == id {
			return true
		}
	}
	return false
}

func (l *Lab) gangWait() time.Duration { return secs(l.nodes[0].settings.Cluster.Workers.GangWaitS) }
