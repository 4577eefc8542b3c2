package fake

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// Cluster is everything around the controllers, and the controllers.
type Cluster struct {
	Network  *Network
	Store    *KVStore
	Cloud    *Cloud
	Settings *config.Settings // of the first node

	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	nodes      []*node
	yarn       string
	metrics    bool
	noWakeUps  bool
	log        *slog.Logger
	httpClient *http.Client

	mu                 sync.Mutex
	duplicateOneIn     int                          // one in so many reports is copied; 0: none
	duplicatesInFlight int                          // on their way
	capturedReports    map[string][]byte            // a report of each machine, for scenarios of late ones
	answeredReports    map[nodeAndMachine]time.Time // when a machine last sent a report that a node answered
	acceptedAnswers    map[nodeAndMachine]time.Time // and one whose 200 it took
	failoverCopies     failoverCopies
	commands           commandDelay
	completionCancel   completionCancel
	random             *rand.Rand
	jobs               map[string]*job
	tasksWithImage     map[string]map[*machine]bool // tasks that have their image, by name
	gangs              map[taskKey]*gang
	progress           map[string]float64 // saved, by task, or by job for gangs
	started            int
	externalStarts     map[string]int // starts of tasks of other doors' jobs, each of which runs once
	expired            int            // workers' leases that ended, with tasks
	knownJobsOnly      bool           // workers know users' jobs only
	fetching           map[string]bool
	// fetchedMost is on how many machines images were fetched at the same time.
	fetchedMost   int
	violations    []string
	requestClock  uint64    // counts users' requests and the answers to them
	unusualIDs    int       // ids of jobs that can't be accepted
	afterCancel   int       // starts after the user was told that the job is cancelled
	interactionAt time.Time // when a scenario's troubles met
	faultSeen     time.Time // when a fault was last seen to be injected
}

// job is what the users and the checker know of a job.
type job struct {
	spec      wire.Job
	accepted  bool
	cancelled time.Time // when its user was told
	asked     bool      // its user has asked to cancel it
	done      map[int]bool
	said      string // the last final state any node gave
	answers   answerLog
	// unanswered is since when no question about it has been answered, without faults.
	unanswered time.Time
}

type node struct {
	name string
	bind string
	cfg  *config.Settings

	// Guarded by the cluster's lock: copies of reports are sent by goroutines of their own.
	end    context.CancelFunc // nil while no process runs
	done   chan struct{}      // closed once the process has ended
	killed *atomic.Bool       // its process was ended on purpose
	down   time.Time          // when its power was cut; zero: it is up

	olderSchema bool // reads the form of records before
}

// Options shape a cluster.
type Options struct {
	Nodes           int
	Machines        int // up at the start, alternating between the zones
	Capacity        int
	Types           []wire.MachineType
	Teams           []config.Team
	Seed            uint64
	Log             *slog.Logger
	ExternalNodes   bool    // the controllers are real processes: none is started
	Metrics         bool    // each node has an operators' door at port 9464
	NoWakeUps       bool    // launches wait for workers' reports
	YARN            string  // settings of YARN's door, without its address; empty: none
	Sockets         int     // of each node; 0 means 800, unenforced
	ReportIntervalS float64 // seconds between reports; 0 means 1.5
	LeaseS          float64 // seconds of a worker's lease; 0 means 12
	OlderSchema     []int   // nodes that read the form of records before; see Upgrade
	StateRPS        float64 // the key-value store's limit of requests a second; 0 means 200, unenforced
	StateWPS        float64 // and of changes; 0 means 60, unenforced
}

// Zones of every cluster.
var Zones = []string{"a", "b"}

// DefaultType is the machine type of clusters that name none.
var DefaultType = wire.MachineType{Name: "m8", CPUs: 8, GPUs: 2, MemoryGB: 64, CacheGB: 50, FetchGBPS: 1,
	Price: 1, SpotPrice: 0.4, BootS: 10, ZonesNamed: Zones}

// New makes a cluster whose controllers are running, unless they are external.
func New(options Options) *Cluster {
	options.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	w := &Cluster{
		Network: NewNetwork(), Store: NewKVStore(12), ctx: ctx, cancel: cancel, log: options.Log, yarn: options.YARN,
		metrics: options.Metrics, noWakeUps: options.NoWakeUps, random: rand.New(rand.NewPCG(options.Seed, 7)),
		jobs: map[string]*job{}, tasksWithImage: map[string]map[*machine]bool{}, gangs: map[taskKey]*gang{},
		progress: map[string]float64{}, externalStarts: map[string]int{}, capturedReports: map[string][]byte{},
		answeredReports: map[nodeAndMachine]time.Time{}, acceptedAnswers: map[nodeAndMachine]time.Time{}, fetching: map[string]bool{},
	}
	w.Store.reportViolation = w.breaks
	w.Cloud = &Cloud{w: w, types: options.Types, capacity: options.Capacity, lag: 5 * time.Second,
		answers: map[string][]string{}, machines: map[string]*machine{}}
	w.serve("state:1", w.Store)
	w.serve("cloud:1", w.Cloud)
	w.httpClient = &http.Client{Transport: &http.Transport{DialContext: w.Network.Dial("user"), DisableKeepAlives: true}}
	for i := range options.Nodes {
		cfg := options.nodeSettings(i)
		w.nodes = append(w.nodes, &node{name: cfg.Node, bind: cfg.Bind, cfg: cfg, olderSchema: slices.Contains(options.OlderSchema, i)})
	}
	w.setLimits(options)
	w.Settings = w.nodes[0].cfg
	w.Cloud.mu.Lock()
	for i := range options.Machines {
		w.Cloud.rent(options.Types[i%len(options.Types)].Name, Zones[i%2], false, 0)
	}
	w.Cloud.mu.Unlock()
	for i := range w.nodes {
		if !options.ExternalNodes {
			w.StartNode(i)
		}
	}
	w.faultSeen = time.Now() // the beginning is no better than a fault
	w.wg.Go(w.watchFaults)
	return w
}

func (o *Options) setDefaults() {
	if o.Nodes == 0 {
		o.Nodes = 3
	}
	if len(o.Types) == 0 {
		o.Types = []wire.MachineType{DefaultType}
	}
	if o.Capacity == 0 {
		o.Capacity = o.Machines + 4
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if len(o.Teams) == 0 {
		o.Teams = []config.Team{{Name: "core"}}
	}
}

// nodeSettings is the settings file of the i-th controller.
func (o *Options) nodeSettings(i int) *config.Settings {
	name := nodeName(i)
	cfg := &config.Settings{Node: name, Zone: Zones[i%2], Bind: name + ":80", MeshListen: name + ":81",
		Services: config.Services{Cloud: "cloud:1", State: "state:1"},
		Cluster: config.Cluster{Size: o.Nodes, Zones: Zones, SkewMs: 5, Teams: o.Teams,
			Workers: config.Workers{ReportS: 1.5, LeaseS: 12, GangWaitS: 30, GangPeerS: 6, CancelS: 32},
			State:   config.StateLimits{RPS: 200, WriteRPS: 60, ValueKB: 16, TxnOps: 12},
			Cloud:   config.CloudLimits{RPS: 4, ListLagS: 5},
			Limits:  config.Limits{CPU: 0.2, MemMB: 100, Sockets: 800}}}
	for k := range o.Nodes {
		if k != i {
			cfg.Siblings = append(cfg.Siblings, config.Sibling{Name: nodeName(k), Zone: Zones[k%2], Addr: nodeName(k) + ":81"})
		}
	}
	return cfg
}

func nodeName(i int) string { return fmt.Sprintf("n-%d", i) }

// setLimits applies the options that differ from the default settings, to the nodes'
// settings and, where the option says so, to the fakes that enforce them.
func (w *Cluster) setLimits(o Options) {
	if o.StateRPS > 0 {
		w.Store.LimitRequests(o.StateRPS)
	}
	if o.StateWPS > 0 {
		w.Store.LimitWrites(o.StateWPS)
	}
	for _, n := range w.nodes {
		c := &n.cfg.Cluster
		if o.Sockets > 0 {
			c.Limits.Sockets = o.Sockets
			w.Network.LimitSockets(n.name, o.Sockets)
		}
		if o.ReportIntervalS > 0 {
			c.Workers.ReportS = o.ReportIntervalS
		}
		if o.LeaseS > 0 {
			c.Workers.LeaseS, c.Workers.CancelS = o.LeaseS, o.LeaseS+20
		}
		if o.StateRPS > 0 {
			c.State.RPS = o.StateRPS
		}
		if o.StateWPS > 0 {
			c.State.WriteRPS = o.StateWPS
		}
	}
}

// reserved is a job of another door, whose description workers find in its record;
// the lock is held.
func (w *Cluster) reserved(id string) *job {
	if j := w.jobs[id]; j != nil || wire.ValidUserID(id) || w.knownJobsOnly {
		return j
	}
	var rec jobstore.JobRecord
	if wire.Unmarshal(w.Store.Value(jobstore.JobKey(id)), &rec) != nil {
		return nil
	}
	w.jobs[id] = &job{spec: rec.Job, accepted: true, done: map[int]bool{}}
	return w.jobs[id]
}

// RejectUnknownJobs makes workers know users' jobs only, not those of other doors.
func (w *Cluster) RejectUnknownJobs() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.knownJobsOnly = true
}

// RegisterJob tells the workers of a job that was not submitted through the cluster, as
// users of real processes upload descriptions themselves.
func (w *Cluster) RegisterJob(j wire.Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.jobs[j.ID] == nil {
		w.jobs[j.ID] = &job{spec: j, accepted: true, done: map[int]bool{}}
	}
}

// Close ends the cluster; nothing of it runs afterwards.
func (w *Cluster) Close() {
	for i := range w.nodes {
		w.KillNode(i)
	}
	w.Cloud.close()
	for _, n := range w.Cloud.Machines() {
		w.Cloud.machine(n).kill()
	}
	w.cancel()
	w.Network.deliverAll()
	w.httpClient.CloseIdleConnections()
	w.wg.Wait()
	// Requests that hang are given up in their own time, which is simulated.
	time.Sleep(time.Minute)
}

type fromKey struct{}

func nodeOf(r *http.Request) string {
	s, _ := r.Context().Value(fromKey{}).(string)
	return s
}

func (w *Cluster) serve(at string, h http.Handler) {
	l, err := w.Network.Listen("tcp", at)
	if err != nil {
		panic(err) // a cluster is made wrong
	}
	srv := &http.Server{Handler: h, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, fromKey{}, c.(*conn).from)
	}}
	w.wg.Add(2)
	go func() { defer w.wg.Done(); _ = srv.Serve(l) }()
	go func() { defer w.wg.Done(); <-w.ctx.Done(); _ = srv.Close() }()
}

// KillMachine ends a machine without notice; it stays listed for a while.
func (w *Cluster) KillMachine(name string) { w.Cloud.machine(name).kill() }

// HangMachine makes a machine do nothing, or lets it go on. One that has been returned
// meanwhile stays gone.
func (w *Cluster) HangMachine(name string, on bool) {
	m := w.Cloud.machine(name)
	if m == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	m.hung = on
}

// MakeMachineFaulty makes tasks fail on a machine.
func (w *Cluster) MakeMachineFaulty(name string) {
	m := w.Cloud.machine(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	m.faulty = true
}

// LaunchWithoutLeader makes a worker launch a task behind the controllers' backs, for
// scenarios that show that the checker sees it.
func (w *Cluster) LaunchWithoutLeader(name, task string) {
	m := w.Cloud.machine(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	if id, _, ok := wire.SplitTask(task); ok && w.jobs[id] != nil {
		m.cache.use(w.jobs[id].spec.Image, w.jobs[id].spec.ImageGB, m.typ.CacheGB, func(string) bool { return true })
	}
	// At once, before any controller can notice: what the checker sees must not
	// depend on who is faster.
	now := time.Now()
	m.launch(taskKey{task, 1 << 40}, now)
	if t := m.tasks[taskKey{task, 1 << 40}]; t.state == wire.TaskFetching {
		t.ready = now
		m.step(now)
	}
}

// FinishedTasks is how many tasks of a job have really completed.
func (w *Cluster) FinishedTasks(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j := w.jobs[id]; j != nil {
		return len(j.done)
	}
	return 0
}

// CheckpointedProgress is the progress of a task, or of a gang's job, that outlives a stop.
func (w *Cluster) CheckpointedProgress(name string) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.progress[name]
}

// SendInterruptionNotice tells a worker that its machine will be taken.
func (w *Cluster) SendInterruptionNotice(name string, in time.Duration) {
	m := w.Cloud.machine(name)
	w.mu.Lock()
	s := in.Seconds()
	m.notice, m.dirty = &s, true
	w.mu.Unlock()
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		if call.Pause(m.ctx, in) {
			m.kill()
			w.Cloud.mu.Lock()
			delete(w.Cloud.machines, name)
			w.Cloud.mu.Unlock()
		}
	}()
}

// BlockRepliesTo lets a machine's reports arrive while nothing reaches it from the nodes,
// or ends that. What was sent meanwhile arrives then, where it is still awaited.
func (w *Cluster) BlockRepliesTo(name string, on bool) {
	for _, n := range w.nodes {
		w.Network.SetOneWayBlock(n.name, name, on)
	}
}

// pick draws a number below n; the lock is held.
func (w *Cluster) pick(n int) int { return w.random.IntN(n) }

func (w *Cluster) breaks(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaksLocked(format, args...)
}

func (w *Cluster) breaksLocked(format string, args ...any) {
	if len(w.violations) < 20 {
		said := fmt.Sprintf(format, args...)
		if !w.interactionAt.IsZero() {
			said += fmt.Sprintf(" (%.1f s after the troubles met)", time.Since(w.interactionAt).Seconds())
		}
		w.violations = append(w.violations, said)
	}
}

// Violations lists the rules that were broken.
func (w *Cluster) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.violations...)
}

// Started is how many tasks have got on a machine.
func (w *Cluster) Started() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started
}

// RanMoreThanOnce is how many tasks of other doors' jobs ran more than once.
func (w *Cluster) RanMoreThanOnce() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, k := range w.externalStarts {
		if k > 1 {
			n++
		}
	}
	return n
}

// TasksPerMachine is how many tasks are on each machine that has any.
func (w *Cluster) TasksPerMachine() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]int{}
	for _, on := range w.tasksWithImage {
		for m := range on {
			out[m.name]++
		}
	}
	return out
}

// ZoneOf is a machine's zone.
func (w *Cluster) ZoneOf(name string) string { return w.Cloud.machine(name).zone }

// Running is how many tasks are on machines.
func (w *Cluster) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, on := range w.tasksWithImage {
		n += len(on)
	}
	return n
}

// ExpiredLeases is how many workers' leases have ended so far while they had tasks.
func (w *Cluster) ExpiredLeases() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.expired
}

// Unanswered is how many living machines have had no answer since then.
func (w *Cluster) Unanswered(since time.Time) int {
	var all []*machine
	for _, name := range w.Cloud.Machines() {
		all = append(all, w.Cloud.machine(name))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, m := range all {
		if !m.dead && !m.hung && m.renewed.Before(since) {
			n++
		}
	}
	return n
}

// nodeAndMachine is a node and a machine that reports to it.
type nodeAndMachine struct{ node, machine string }

// ReportsAnswered is how many machines a node has answered since then, and how many of them
// have taken a 200 of it: reports that were sent since.
func (w *Cluster) ReportsAnswered(i int, since time.Time) (answered, kept int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for r, at := range w.answeredReports {
		if r.node == w.nodes[i].name && at.After(since) {
			answered++
		}
	}
	for r, at := range w.acceptedAnswers {
		if r.node == w.nodes[i].name && at.After(since) {
			kept++
		}
	}
	return answered, kept
}

// PartitionZone cuts the machines of a zone off from every node, or heals that.
func (w *Cluster) PartitionZone(zone string, on bool) {
	for _, name := range w.Cloud.Machines() {
		if w.Cloud.machine(name).zone != zone {
			continue
		}
		for _, n := range w.nodes {
			w.Network.setCut(n.name, name, on)
		}
	}
}
