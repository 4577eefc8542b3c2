// Package cluster is the leader's model of jobs and machines, on dense
// indices. It does no input or output: reports, changes of records and the
// time come in, commands and transactions go out.
package cluster

import (
	"log/slog"
	"math"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/ledger"
	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/wire"
)

// Type is a machine type.
type Type struct {
	Name  string
	Cap   placement.Res
	Cache float64
	Fetch float64
	Price float64
	Spot  float64
	Boot  time.Duration
	Zones []bool

	boots boots
}

// Ref names a task by indices.
type Ref = placement.Task

// Task phases.
const (
	Idle = iota
	Placed
	Done
)

// What the last report said of a task.
const (
	seenNot = iota
	seenFetching
	seenWaiting
	seenRunning
	seenSaving
)

// Place is where a task may be.
type Place struct {
	Machine   int32
	Attempt   uint64
	At        time.Time
	Inherited bool // recorded by an earlier leader, which may have sent it
	Sent      bool // this leader has sent the launch
	SentAt    time.Time
	Session   uint64
	Seq       uint64 // the report that the launch answered
	Seen      uint8
	Since     time.Time // when it was first seen running
	Stop      *Stop
	Summoned  time.Time // when its machine was last told to report

	name string // of the machine
	gen  uint64 // the chunk's change that placed it
}

// Stop is an order to stop a task.
type Stop struct {
	Grace  float64
	Why    string
	At     time.Time
	Direct time.Time // when it was last sent directly
}

// Task is one task of a job.
type Task struct {
	Phase     uint8
	Fails     uint8
	Resumed   bool    // an earlier attempt has run
	Progress  float32 // seconds of work that earlier attempts have saved
	End       uint8   // of a reserved task that is over: how it ended
	NotBefore int64   // Unix milliseconds
	Place     *Place
}

// Chunk is one placement record. It stands on a page from when its first task
// is placed until its job is over and none of its tasks can be anywhere.
type Chunk struct {
	Gen       uint64 // counts changes
	Committed uint64 // the last change that is in the store
	PlaceGen  uint64 // the last change that placed a task
	Placed    int

	page *page
	size int // the most bytes that it takes on its page
}

// Job is a job that is not over, or whose tasks may still be somewhere.
type Job struct {
	Idx       int32
	ID        string
	Spec      wire.Job
	Version   uint64
	At        time.Time
	Team      int
	Priority  int
	Need      placement.Res
	Types     []bool
	Zone      int
	Image     int32
	Attempt   uint64 // highest attempt ever used
	Tasks     []Task
	Chunks    []Chunk
	Done      int
	Placed    int
	ZoneUsed  []int
	Cancelled bool
	Finished  bool // committed as done
	ranN      int  // tasks that completed in one go, and
	ranSum    float64
	ranMax    float64
	basis     basis // of guess, which is how long a task should run
	guess     float64
	off       bool // given up by the last triage
	putOff    bool
	due       time.Time // by the last triage
	Started   bool      // gang: the current attempt was seen running
	Ending    bool      // gang: the current attempt is coming to its end
	NotBefore time.Time // a job that fails everywhere is not tried before
	FirstRun  time.Time

	aside  bool    // its placements can't be read
	home   *intake // the page that its record shares with others, if it does
	cursor int
	dirty  bool
	avoid  map[int32]time.Time
	record *record  // of its failures
	res    *reserve // nil unless its tasks are reserved first
}

// Gang says whether all tasks run at the same time or none does.
func (j *Job) Gang() bool { return j.Spec.Kind == wire.KindGang }

// Machine is a machine that is, was or may soon be there.
type Machine struct {
	Idx        int32
	Name       string
	Addr       string
	Type       int
	TypeName   string
	Zone       int
	Spot       bool
	Up         bool // has reported to this leader and may be alive
	Shown      bool // has shown this leader's token
	Gone       bool // deleted, or no longer listed for good
	Session    uint64
	Seq        uint64
	LastAnswer time.Time
	LastSeen   time.Time
	Notice     time.Time // when the cloud takes it away, if it said so
	Created    time.Time // when it was rented, as far as known
	Ordered    bool      // Created is known, and from then on the machine boots
	Listed     string
	ListedAt   time.Time
	Ours       bool // rented by a request of ours whose answer named it
	Returning  bool
	late       bool // the operator has been told
	Tasks      map[Ref]bool
	Used       placement.Res
	IdleSince  time.Time
	Held       int // answers to its reports that are being held back

	orphans placement.Res // what tasks not in the model take
	images  []int32       // most recently used last
	exits   map[exitKey]*exit
	errors  []errorAt
	speed   float64
}

type exitKey struct {
	name    string
	attempt uint64
}

type exit struct {
	job   int32
	chunk int
	gen   uint64
}

type errorAt struct {
	job *record
	at  time.Time
}

// Model is the leader's knowledge.
type Model struct {
	Token    uint64
	Takeover time.Time
	Machines []*Machine
	Jobs     []*Job // nil once a job is out of the model
	Types    []Type
	Zones    []string
	Cycles   map[string]*Cycle
	Tuning   config.Rebalance
	Headroom float64
	Freed    uint64 // counts the places that have become free
	Timings  Timings

	loaded bool // an earlier leader's records

	resumed time.Time     // when the leader last went on after standing still
	stood   time.Duration // for how long it had stood

	cfg        *config.Settings
	log        *slog.Logger
	drift      float64
	teams      []placement.Team
	guarantee  []placement.Res
	zoneIdx    map[string]int
	teamIdx    map[string]int
	typeIdx    map[string]int
	machineIdx map[string]int32
	jobIdx     map[string]int32
	imageIdx   map[string]int32
	imageSize  []float64
	live       []int32 // jobs that may be in the model
	dirty      []int32 // jobs that may be done, or out of the model
	pages      []*page
	intakes    map[string]*intake
	unreadable map[string]bool // jobs whose records can't be read
	lostIntake bool            // a page of jobs can't be read
	damaged    uint64          // the newest version of a page that can't be read
	quiet      time.Time       // nothing is placed before
	nextPage   int             // where writing goes on
	longest    int             // of the machines' names
	stops      []Ref           // tasks to be told directly
	fresh      []Ref           // tasks placed, whose machines have not been summoned
	refused    map[offerKey]time.Time
	classes    map[string]*class

	// Reused from pass to pass.
	viewBuf  []placement.Machine
	taskBuf  []placement.Occupant
	imageBuf []placement.ImageAt
	refBuf   []Ref
	playBuf  times
	triageAt time.Time // not before then again
}

type offerKey struct {
	typ, zone int
	spot      bool
}

// New makes an empty model.
func New(cfg *config.Settings, token uint64, now time.Time, log *slog.Logger) *Model {
	m := &Model{
		Token: token, Takeover: now, Zones: cfg.Cluster.Zones, cfg: cfg, log: log, drift: 0.0005,
		zoneIdx: map[string]int{}, teamIdx: map[string]int{}, typeIdx: map[string]int{},
		machineIdx: map[string]int32{}, jobIdx: map[string]int32{}, imageIdx: map[string]int32{},
		refused: map[offerKey]time.Time{}, Cycles: map[string]*Cycle{}, classes: map[string]*class{}, intakes: map[string]*intake{},
		Timings: untimed{},
	}
	for i, z := range cfg.Cluster.Zones {
		m.zoneIdx[z] = i
	}
	for i, t := range cfg.Cluster.Teams {
		m.teamIdx[t.Name] = i
		m.teams = append(m.teams, placement.Team{Max: placement.Res{CPU: t.CPUsMax, GPU: t.GPUsMax}})
		m.guarantee = append(m.guarantee, placement.Res{CPU: t.CPUs, GPU: t.GPUs})
	}
	return m
}

// SetTypes takes the catalogue in. Types keep their indices.
func (m *Model) SetTypes(types []wire.MachineType) {
	for _, t := range types {
		idx, ok := m.typeIdx[t.Name]
		if !ok {
			idx = len(m.Types)
			m.typeIdx[t.Name] = idx
			m.Types = append(m.Types, Type{})
		}
		zones := make([]bool, len(m.Zones))
		for _, z := range t.ZonesNamed {
			if i, ok := m.zoneIdx[z]; ok {
				zones[i] = true
			}
		}
		m.Types[idx] = Type{
			Name: t.Name, Cap: placement.Res{CPU: t.CPUs, GPU: t.GPUs, Mem: t.MemoryGB}, Cache: t.CacheGB,
			Fetch: t.FetchGBPS, Price: t.Price, Spot: t.SpotPrice, Boot: config.Seconds(t.BootS), Zones: zones,
			boots: m.Types[idx].boots,
		}
	}
	for _, mc := range m.Machines {
		if mc.Type < 0 {
			mc.Type = m.typeOf(mc.TypeName)
		}
	}
	for _, j := range m.Jobs {
		if j != nil {
			j.Types = m.allowedTypes(&j.Spec)
		}
	}
	// The last job of a class may be out of the model already: with none of the
	// types allowed that it knew, the next pass ended the process.
	for _, c := range m.classes {
		c.spec.Types = m.allowedTypes(&c.spec.Spec)
	}
}

func (m *Model) typeOf(name string) int {
	if i, ok := m.typeIdx[name]; ok {
		return i
	}
	return -1
}

func (m *Model) allowedTypes(s *wire.Job) []bool {
	out := make([]bool, len(m.Types))
	for i := range m.Types {
		ok := len(s.Types) == 0
		for _, n := range s.Types {
			ok = ok || n == m.Types[i].Name
		}
		out[i] = ok
	}
	return out
}

func (m *Model) image(name string, gb float64) int32 {
	i, ok := m.imageIdx[name]
	if !ok {
		i = int32(len(m.imageSize))
		m.imageIdx[name] = i
		m.imageSize = append(m.imageSize, gb)
	}
	m.imageSize[i] = gb
	return i
}

var priorities = map[string]int{
	wire.PriorityProduction: 0, wire.PriorityHigh: 1, wire.PriorityNormal: 2, wire.PriorityLow: 3,
}

// Job finds a job by its id.
func (m *Model) Job(id string) *Job {
	if i, ok := m.jobIdx[id]; ok {
		return m.Jobs[i]
	}
	return nil
}

// PutJob takes a job's active record in.
func (m *Model) PutJob(id string, rec ledger.JobRecord, version uint64, now time.Time) {
	if j := m.Job(id); j != nil {
		if version > j.Version {
			j.Version = version
			m.mark(j, rec.Reserve, now)
		}
		return
	}
	j := m.addJob(id, rec)
	j.Version = version
	m.arrival(j, now)
	if m.loaded {
		m.giveBack(j, now)
	}
	s, deadline := &j.Spec, 0.0
	if s.DeadlineS != nil {
		deadline = *s.DeadlineS
	}
	m.log.Info("job", "id", id, "class", s.Class, "team", s.Team, "kind", s.Kind, "tasks", s.Tasks, "cpus", s.CPUs, "gpus", s.GPUs,
		"spot", s.Spot, "at", j.At, "estimate", s.EstimateS, "deadline", deadline)
}

func (m *Model) addJob(id string, rec ledger.JobRecord) *Job {
	s := rec.Job
	j := &Job{
		Idx: int32(len(m.Jobs)), ID: id, Spec: s, At: time.UnixMilli(rec.AtMs), Team: -1,
		Priority: priorities[s.Priority], Need: placement.Res{CPU: s.CPUs, GPU: s.GPUs, Mem: s.MemoryGB},
		Types: m.allowedTypes(&s), Zone: -1, Image: m.image(s.Image, s.ImageGB),
		Tasks: make([]Task, s.Tasks), Chunks: make([]Chunk, (s.Tasks+ledger.ChunkSize-1)/ledger.ChunkSize),
		ZoneUsed: make([]int, len(m.Zones)), record: &record{},
		res: newReserve(rec.Reserve, s.Tasks),
	}
	if t, ok := m.teamIdx[s.Team]; ok {
		j.Team = t
	}
	if s.Zone != "" {
		j.Zone = math.MaxInt32 // a zone that is not there fits nothing
		if z, ok := m.zoneIdx[s.Zone]; ok {
			j.Zone = z
		}
	}
	m.Jobs = append(m.Jobs, j)
	m.live = append(m.live, j.Idx)
	m.jobIdx[id] = j.Idx
	return j
}

// RemoveJob takes in that a job's active record is gone: unless this leader
// finished it, its user has cancelled it.
func (m *Model) RemoveJob(id string, now time.Time) {
	j := m.Job(id)
	if j == nil || j.Finished || j.Cancelled {
		return
	}
	if j.Done == len(j.Tasks) {
		j.Finished = true
		m.markDirty(j)
		return
	}
	m.log.Info("job cancelled", "id", id, "placed", j.Placed)
	m.cancel(j, now)
}

func (m *Model) cancel(j *Job, now time.Time) {
	j.Cancelled = true
	for i := range j.Tasks {
		if j.Tasks[i].Place != nil {
			m.stop(j, int32(i), 0, "cancelled", now)
		}
	}
	m.markDirty(j)
}

// pageAt finds or makes the page of that number.
func (m *Model) pageAt(n int) *page {
	for len(m.pages) <= n {
		m.pages = append(m.pages, &page{n: len(m.pages)})
	}
	return m.pages[n]
}

// LoadPage takes a page of placement records of an earlier leader in. The jobs
// must be there already, those that are over for their placements only.
func (m *Model) LoadPage(n int, rec ledger.PageRecord, version uint64, now time.Time) {
	p := m.pageAt(n)
	p.version = version
	for i := range rec.Chunks {
		m.loadChunk(p, &rec.Chunks[i], now)
	}
}

func (m *Model) loadChunk(p *page, c *ledger.ChunkRecord, now time.Time) {
	j := m.Job(c.Job)
	if j == nil && (m.unreadable[c.Job] || m.lostIntake) {
		p.kept = append(p.kept, *c)
		p.size += m.keptSize(c)
		return
	}
	if j == nil || c.Chunk < 0 || c.Chunk >= len(j.Chunks) {
		p.gen++ // of a job that is over: the page is to be written without it
		return
	}
	ch := &j.Chunks[c.Chunk]
	m.putOn(p, j, c.Chunk)
	ch.Committed = ch.Gen
	j.Attempt = max(j.Attempt, c.Attempt)
	for i := 0; i+1 < len(c.Done); i += 2 {
		for t := max(c.Done[i], 0); t <= c.Done[i+1] && t < len(j.Tasks); t++ {
			if j.Tasks[t].Phase != Done {
				j.Tasks[t].Phase = Done
				j.Done++
			}
		}
	}
	j.loadEnds(c.Ended)
	for _, p := range c.Placed {
		if p.Task < 0 || p.Task >= len(j.Tasks) || j.Tasks[p.Task].Phase != Idle {
			continue
		}
		mc := m.machine(p.Machine, now)
		j.Attempt = max(j.Attempt, p.Attempt)
		m.place(j, int32(p.Task), mc, p.Attempt, now)
		// What waits to be asked for has not been launched by anybody: only what
		// stands in the job's record may be, and that was read after this
		// leader was elected.
		j.Tasks[p.Task].Place.Inherited = !j.waitsForGo(p.Task)
	}
}

// LoadCancelled takes in a job that is over while placements of it are left.
func (m *Model) LoadCancelled(id string, rec ledger.JobRecord) {
	if m.Job(id) != nil {
		return
	}
	j := m.addJob(id, rec)
	j.Cancelled = true
}

// Loaded ends the taking in of an earlier leader's records.
func (m *Model) Loaded(now time.Time) {
	m.loaded = true
	m.setAside()
	for _, j := range m.Jobs {
		m.giveBack(j, now)
		if j.Cancelled {
			m.cancel(j, now)
		}
		if j.Done == len(j.Tasks) {
			m.markDirty(j)
		}
	}
}

// machine finds or makes a machine.
func (m *Model) machine(name string, now time.Time) *Machine {
	if i, ok := m.machineIdx[name]; ok {
		return m.Machines[i]
	}
	mc := &Machine{
		Idx: int32(len(m.Machines)), Name: name, Type: -1, Zone: -1, Tasks: map[Ref]bool{},
		exits: map[exitKey]*exit{}, IdleSince: now, Created: now, LastSeen: now,
	}
	m.longest = max(m.longest, len(name))
	m.Machines = append(m.Machines, mc)
	m.machineIdx[name] = mc.Idx
	return mc
}

func (m *Model) describe(mc *Machine, typ, zone string, spot bool) {
	mc.TypeName, mc.Type, mc.Spot = typ, m.typeOf(typ), spot
	z, ok := m.zoneIdx[zone]
	if !ok {
		mc.Zone = -1
		return
	}
	if mc.Zone == z {
		return
	}
	// Tasks recorded here by an earlier leader count for their zone as soon as
	// the machine's zone is known.
	old := mc.Zone
	mc.Zone = z
	for ref := range mc.Tasks {
		j := m.Jobs[ref.Job]
		j.ZoneUsed[z]++
		if old >= 0 {
			j.ZoneUsed[old]--
		}
	}
}

func (m *Model) markDirty(j *Job) {
	if !j.dirty {
		j.dirty = true
		m.dirty = append(m.dirty, j.Idx)
	}
}

func (m *Model) touch(j *Job, task int32) *Chunk {
	n := int(task) / ledger.ChunkSize
	c := &j.Chunks[n]
	c.Gen++
	if c.page == nil {
		m.findPage(j, n)
	}
	c.page.gen++
	m.markDirty(j)
	return c
}

// place books a task on a machine; it is launched once that is committed.
func (m *Model) place(j *Job, task int32, mc *Machine, attempt uint64, now time.Time) {
	t := &j.Tasks[task]
	t.Phase = Placed
	t.Place = &Place{Machine: mc.Idx, Attempt: attempt, At: now, name: mc.Name}
	mc.Tasks[Ref{Job: j.Idx, Task: task}] = true
	m.fresh = append(m.fresh, Ref{Job: j.Idx, Task: task})
	mc.Used = mc.Used.Add(j.Need, 1)
	j.Placed++
	j.Chunks[int(task)/ledger.ChunkSize].Placed++
	if mc.Zone >= 0 {
		j.ZoneUsed[mc.Zone]++
	}
	if j.Team >= 0 {
		m.teams[j.Team].Used = m.teams[j.Team].Used.Add(j.Need, 1)
	}
}

// unplace takes in that a task is certainly on no machine.
func (m *Model) unplace(j *Job, task int32, now time.Time) *Place {
	t := &j.Tasks[task]
	p := t.Place
	mc := m.Machines[p.Machine]
	ref := Ref{Job: j.Idx, Task: task}
	t.Place, t.Phase = nil, Idle
	m.Freed++
	delete(mc.Tasks, ref)
	mc.Used = mc.Used.Add(j.Need, -1)
	if len(mc.Tasks) == 0 {
		mc.Used = placement.Res{}
		mc.IdleSince = now
	}
	j.Placed--
	if j.Placed == 0 {
		j.Started, j.Ending = false, false
	}
	j.Chunks[int(task)/ledger.ChunkSize].Placed--
	if mc.Zone >= 0 {
		j.ZoneUsed[mc.Zone]--
	}
	if j.Team >= 0 {
		m.teams[j.Team].Used = m.teams[j.Team].Used.Add(j.Need, -1)
	}
	if j.cursor > int(task) {
		j.cursor = int(task)
	}
	m.touch(j, task)
	return p
}

func (m *Model) markDone(j *Job, task int32, now time.Time) {
	t := &j.Tasks[task]
	if t.Phase == Done {
		return
	}
	if t.Place != nil {
		m.unplace(j, task, now)
	}
	t.Phase = Done
	j.Done++
	m.touch(j, task)
	if j.Done == len(j.Tasks) {
		m.learn(j)
		m.log.Info("job's tasks done", "id", j.ID, "sinceAccept", now.Sub(j.At).Round(time.Millisecond).Seconds())
	}
}

// stop orders a task to stop, or takes it back if its launch never left.
func (m *Model) stop(j *Job, task int32, grace float64, why string, now time.Time) {
	t := &j.Tasks[task]
	p := t.Place
	if p == nil {
		return
	}
	if !p.Sent && !p.Inherited {
		m.unplace(j, task, now)
		m.spend(j, task, endOf(why), now)
		return
	}
	if p.Stop != nil && p.Stop.Grace <= grace {
		return
	}
	p.Stop = &Stop{Grace: grace, Why: why, At: now}
	if j.res != nil {
		m.touch(j, task) // its door tells that it is leaving
	}
	m.stops = append(m.stops, Ref{Job: j.Idx, Task: task})
}

// stopAll orders all placed tasks of a job to stop.
func (m *Model) stopAll(j *Job, grace float64, why string, now time.Time) {
	j.Ending = j.Gang()
	for i := range j.Tasks {
		if j.Tasks[i].Place != nil {
			m.stop(j, int32(i), grace, why, now)
		}
	}
}

// StopTask stops a task so that it can save; a gang is stopped as a whole,
// since its tasks save together or not at all.
func (m *Model) StopTask(ref Ref, why string, now time.Time) {
	j := m.Jobs[ref.Job]
	if j == nil || j.Tasks[ref.Task].Place == nil {
		return
	}
	grace := 0.0
	if j.Spec.CheckpointS > 0 {
		grace = j.Spec.SaveS + 1
	}
	m.log.Info("stopping", "job", j.ID, "task", ref.Task, "why", why, "machine", m.Machines[j.Tasks[ref.Task].Place.Machine].Name)
	if j.Gang() {
		m.stopAll(j, grace, why, now)
		return
	}
	m.stop(j, ref.Task, grace, why, now)
}
