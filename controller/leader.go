package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/umberdeal/umberdeal/cloud"
	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/election"
	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/ledger"
	"github.com/umberdeal/umberdeal/mesh"
	"github.com/umberdeal/umberdeal/state"
	"github.com/umberdeal/umberdeal/wire"
)

// leadership is a node's time as the leader.
type leadership struct {
	n    *Node
	term *election.Term
	log  *slog.Logger

	schedKick chan struct{}
	flushKick chan struct{}
	direct    chan struct{} // bounds direct commands under way

	syncing chan struct{} // held by the one barrier under way

	mu      sync.Mutex
	m       *cluster.Model
	rev     uint64 // everything up to it is in the model
	wants   map[cluster.Offer]int
	passes  uint64        // scheduling passes so far
	writing bool          // a batch is being committed
	turned  chan struct{} // closed and replaced when a pass or a batch ends
	renting bool
	bons    int
	userOps []time.Time // users' changes of the last seconds
	lastAny time.Time   // when a worker last reported here itself
}

func kick(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// runLeader leads until ctx ends. It implements election.Elector.Lead.
func (n *Node) runLeader(ctx context.Context, t *election.Term, ready func()) error {
	l := &leadership{
		n: n, term: t, log: n.log, schedKick: make(chan struct{}, 1), flushKick: make(chan struct{}, 1),
		direct: make(chan struct{}, 16), syncing: make(chan struct{}, 1), turned: make(chan struct{}),
	}
	for {
		err := l.load(ctx)
		if err == nil {
			break
		}
		l.log.Info("records not loaded, retrying", "err", err)
		if !call.Pause(ctx, 300*time.Millisecond) {
			return ctx.Err()
		}
	}
	n.mu.Lock()
	n.lead = l
	types := n.types
	n.mu.Unlock()
	if types != nil {
		l.setTypes(types)
	}
	defer func() {
		n.mu.Lock()
		n.lead = nil
		n.mu.Unlock()
	}()
	ready()
	var wg sync.WaitGroup
	for _, duty := range []func(context.Context){l.follow, l.flush, l.schedule, l.runCloud} {
		wg.Add(1)
		go func() { defer wg.Done(); duty(ctx) }()
	}
	wg.Wait()
	return nil
}

// load reads what earlier leaders left.
func (l *leadership) load(ctx context.Context) error {
	st := l.n.state
	items, rev, err := st.List(ctx, ledger.Active)
	if err != nil {
		return err
	}
	cycles, _, err := st.List(ctx, ledger.Cycles)
	if err != nil {
		return err
	}
	rentals, _, err := st.List(ctx, ledger.Rentals)
	if err != nil {
		return err
	}
	returns, err := st.Get(ctx, ledger.ReturnsKey)
	if err != nil {
		return err
	}
	now := time.Now()
	m := cluster.New(l.n.cfg, l.term.Token, now, l.log)
	m.Tuning, m.Headroom = l.n.tuning.Rebalance, l.n.tuning.Renting.Headroom
	if types := l.n.knownTypes(); types != nil {
		m.SetTypes(types)
	}
	for _, it := range items {
		if id, ok := ledger.ParseJobKey(it.Key); ok {
			var rec ledger.JobRecord
			if err := wire.Unmarshal(it.Value, &rec); err != nil {
				return fmt.Errorf("%s: %w", it.Key, err)
			}
			m.PutJob(id, rec, it.Version, now)
		}
	}
	for _, it := range items {
		n, ok := ledger.ParsePageKey(it.Key)
		if !ok {
			continue
		}
		var rec ledger.PageRecord
		if err := wire.Unmarshal(it.Value, &rec); err != nil {
			return fmt.Errorf("%s: %w", it.Key, err)
		}
		for _, c := range rec.Chunks {
			if m.Job(c.Job) != nil || len(c.Placed) == 0 {
				continue
			}
			// The job is over, but its tasks may still be somewhere.
			e, err := st.Get(ctx, ledger.FinalKey(c.Job))
			if err != nil {
				return err
			}
			var over ledger.JobRecord
			if e.Version != 0 {
				if err := wire.Unmarshal(e.Value, &over); err != nil {
					return fmt.Errorf("%s: %w", it.Key, err)
				}
				m.LoadCancelled(c.Job, over)
			}
		}
		m.LoadPage(n, rec, it.Version, now)
	}
	for _, it := range cycles {
		var rec ledger.CycleRecord
		if err := wire.Unmarshal(it.Value, &rec); err == nil {
			m.LoadCycle(it.Key[len(ledger.Cycles):], rec, now)
		}
	}
	for _, it := range rentals {
		var rec ledger.RentalRecord
		if err := wire.Unmarshal(it.Value, &rec); err == nil && now.Sub(time.UnixMilli(rec.AtMs)) < 2*time.Minute {
			m.Rented(cluster.Offer{Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot}, rec.Machines, time.UnixMilli(rec.AtMs))
		}
	}
	var going ledger.ReturnRecord
	if returns.Version != 0 && wire.Unmarshal(returns.Value, &going) == nil {
		m.Returned(going.Machines, now)
	}
	m.Loaded(now)
	l.mu.Lock()
	l.m, l.rev = m, rev
	l.mu.Unlock()
	l.log.Info("records loaded", "token", l.term.Token, "keys", len(items))
	return l.barrier(ctx)
}

func (l *leadership) setTypes(types []wire.MachineType) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.m.SetTypes(types)
}

// apply takes changes of the active records in. Each once: a watch and a
// barrier may bring the same.
func (l *leadership) apply(ev wire.Events) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range ev.Log {
		if e.Version <= l.rev {
			continue
		}
		if e.Delete != "" {
			if id, ok := ledger.ParseJobKey(e.Delete); ok {
				if j := l.m.Job(id); j != nil && !j.Finished && j.Done < len(j.Tasks) {
					l.userOps = append(l.userOps, now, now)
				}
				l.m.RemoveJob(id, now)
			}
			continue
		}
		if id, ok := ledger.ParseJobKey(e.Put); ok {
			var rec ledger.JobRecord
			if err := wire.Unmarshal(e.Value, &rec); err != nil {
				l.log.Error("unreadable job record", "key", e.Put, "err", err)
				continue
			}
			l.m.PutJob(id, rec, e.Version, now)
			l.userOps = append(l.userOps, now)
		}
	}
	l.rev = max(l.rev, ev.Revision)
	kick(l.schedKick)
	kick(l.flushKick)
}

func (l *leadership) revision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rev
}

// barrier brings the model up to date.
func (l *leadership) barrier(ctx context.Context) error {
	select {
	case l.syncing <- struct{}{}:
		defer func() { <-l.syncing }()
	case <-ctx.Done():
		return ctx.Err()
	}
	ev, err := l.n.state.Follow(ctx, ledger.Jobs, l.revision(), 0)
	if err != nil {
		return err
	}
	l.apply(ev)
	l.pushStops(ctx)
	return nil
}

// catchUp implements election.Elector.CatchUp: a leader counts as sure of its
// lease only with knowledge as fresh as the renewal, so that it tells no
// worker to go on with a job that was cancelled long ago.
func (n *Node) catchUp(ctx context.Context, t *election.Term) error {
	l := n.leadership()
	if l == nil || l.term != t {
		return errors.New("not leading yet")
	}
	err := l.barrier(ctx)
	if errors.Is(err, state.ErrTooOld) {
		t.Resign()
	}
	return err
}

// follow learns of submissions and cancellations as they are committed.
func (l *leadership) follow(ctx context.Context) {
	for ctx.Err() == nil {
		ev, err := l.n.state.Follow(ctx, ledger.Jobs, l.revision(), 8*time.Second)
		switch {
		case errors.Is(err, state.ErrTooOld):
			l.log.Info("the watch fell behind; beginning anew")
			l.term.Resign()
			return
		case err != nil:
			call.Pause(ctx, time.Duration(200+rand.IntN(300))*time.Millisecond)
		default:
			l.apply(ev)
			l.pushStops(ctx)
		}
	}
}

// report answers a worker.
func (l *leadership) report(body []byte, own bool) mesh.Answer {
	unsure := answer(http.StatusServiceUnavailable, wire.Error{Error: "not sure of leading"}, 1)
	if !l.term.Valid() {
		return unsure
	}
	var r wire.Report
	if err := wire.Unmarshal(body, &r); err != nil || r.Machine == "" || r.Session == 0 {
		l.log.Info("malformed report", "err", err)
		return answer(http.StatusBadRequest, wire.Error{Error: "malformed report"}, 0)
	}
	l.mu.Lock()
	now := time.Now()
	if r.Token > l.m.Token {
		l.mu.Unlock()
		l.log.Info("a worker has seen a higher token", "machine", r.Machine, "token", r.Token)
		l.term.Resign()
		return redirect("")
	}
	if own {
		l.lastAny = now
	}
	freed := l.m.Freed
	mc := l.m.Observe(&r, now)
	if mc != nil && l.m.Freed != freed {
		l.awaitPass()
	}
	// The lease is looked at last: the answer counts from here. A worker that
	// has sent another report meanwhile waits for this answer no more.
	if mc == nil || mc.Seq != r.Seq || mc.Session != r.Session || !l.term.Valid() {
		l.mu.Unlock()
		return unsure
	}
	cmds := l.m.Answer(mc, &r, time.Now())
	l.mu.Unlock()
	kick(l.schedKick)
	kick(l.flushKick)
	if cmds == nil {
		cmds = []wire.Command{}
	}
	return answer(http.StatusOK, wire.ReportAnswer{Token: l.term.Token, Commands: cmds}, 0)
}

// holdFor is how long an answer waits for what is to follow from its report.
// It is worth the more the longer the worker's next report takes to come; a
// worker gives an answer up after 4 s.
func (l *leadership) holdFor() time.Duration {
	return config.Seconds(min(max(0.4, l.n.cfg.Cluster.Workers.ReportS/4), 1.5))
}

// awaitPass holds an answer back until room that the report has freed is given
// out and recorded, so that the launch goes with this answer and not with that
// to the next report. The lock is held before and after, not meanwhile.
func (l *leadership) awaitPass() {
	target := l.passes + 1
	timer := time.NewTimer(l.holdFor())
	defer timer.Stop()
	kick(l.schedKick)
	for l.passes < target || l.writing || !l.m.Clean() {
		turned := l.turned
		l.mu.Unlock()
		late := false
		select {
		case <-turned:
		case <-timer.C:
			late = true
		}
		l.mu.Lock()
		if late {
			return
		}
	}
}

// turn wakes those who wait for a pass or a batch; the lock is held.
func (l *leadership) turn() {
	close(l.turned)
	l.turned = make(chan struct{})
}

// pushStops sends stops to the workers' own addresses: there they arrive at
// once, and may safely be executed late.
func (l *leadership) pushStops(ctx context.Context) {
	if !l.term.Valid() {
		return
	}
	l.mu.Lock()
	batch := l.m.DirectStops(time.Now())
	l.mu.Unlock()
	for _, d := range batch {
		select {
		case l.direct <- struct{}{}:
		default:
			continue // the next answer to a report carries them
		}
		go func() {
			defer func() { <-l.direct }()
			r, done, err := l.n.workers.Command(ctx, d.Addr, d.Batch)
			if err != nil {
				l.log.Debug("direct stop", "machine", d.Machine, "err", err)
				return
			}
			l.log.Debug("direct stop", "machine", d.Machine, "executed", done, "seq", r.Seq)
		}()
	}
}

// guard is the condition of every write: this leadership still stands.
func (l *leadership) guard() wire.Guard {
	return wire.Guard{Key: election.Key, Version: l.term.Token}
}

// flush writes changed records, and resigns where the leader key is lost. It
// waits for its share of the state service's changes first and collects then,
// so that whatever has changed meanwhile goes along.
func (l *leadership) flush(ctx context.Context) {
	sl := l.n.cfg.Cluster.State
	burst := max(3, min(sl.TxnOps, int(sl.WriteRPS*0.7)))
	share := rate.NewLimiter(rate.Limit(sl.WriteRPS*0.7), burst)
	for {
		l.mu.Lock()
		want := min(l.m.Pending(), burst)
		if want == 0 {
			l.writing = false
			l.turn()
		}
		l.mu.Unlock()
		if want == 0 {
			select {
			case <-ctx.Done():
				return
			case <-l.flushKick:
			}
			continue
		}
		share.SetLimit(l.share())
		if err := share.WaitN(ctx, want); err != nil {
			return
		}
		l.mu.Lock()
		b := l.m.NextBatch(want)
		l.writing = b != nil
		l.turn()
		l.mu.Unlock()
		if b == nil {
			continue
		}
		rev, err := l.n.state.Commit(ctx, append([]wire.Guard{l.guard()}, b.Guards...), b.Ops)
		if err == nil {
			l.mu.Lock()
			b.Committed(rev, time.Now())
			l.mu.Unlock()
			continue
		}
		l.settle(ctx, b, err)
		if !call.Pause(ctx, time.Duration(50+rand.IntN(150))*time.Millisecond) {
			return
		}
	}
}

// usersOver is over how many seconds users' changes are averaged.
const usersOver = 5

// share is how many changes a second are left for the leader's bookkeeping:
// users' submissions and cancellations come first.
func (l *leadership) share() rate.Limit {
	w := l.n.cfg.Cluster.State.WriteRPS
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := l.userOps[:0]
	for _, at := range l.userOps {
		if time.Since(at) < usersOver*time.Second {
			recent = append(recent, at)
		}
	}
	l.userOps = recent
	return rate.Limit(max(0.4*w, 0.9*w-1.5*float64(len(recent))/usersOver))
}

// settle finds out why a batch was not committed.
func (l *leadership) settle(ctx context.Context, b *cluster.Batch, err error) {
	l.log.Debug("commit", "err", err, "ops", len(b.Ops))
	var c *state.Conflict
	if errors.As(err, &c) {
		for _, key := range c.Failed {
			if key == election.Key {
				l.term.Resign()
				break
			}
			if b.IsJob(key) {
				continue // the watch tells what happened to it
			}
			if e, gerr := l.n.state.Get(ctx, key); gerr == nil {
				l.mu.Lock()
				l.m.Reread(b, key, e.Version)
				l.mu.Unlock()
			}
		}
		if berr := l.barrier(ctx); berr != nil {
			l.log.Debug("barrier", "err", berr)
		}
	} else if errors.Is(err, state.ErrInvalid) {
		l.log.Error("the state service refuses a transaction as malformed", "err", err, "ops", len(b.Ops))
	}
	l.mu.Lock()
	l.m.Failed(b)
	l.mu.Unlock()
}

// schedule places, stops and moves, at once when something has changed and
// twice a second otherwise.
func (l *leadership) schedule(ctx context.Context) {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	cycle := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-l.schedKick:
		}
		pause := 40 * time.Millisecond
		if l.term.Valid() {
			l.mu.Lock()
			now := time.Now()
			l.n.pulse.beat(now)
			l.m.StoodStill(l.n.pulse.lastStop())
			if l.unreached(now) {
				l.mu.Unlock()
				l.log.Info("no worker reaches this leader: giving leadership up")
				l.n.elector.Abstain(abstainFor)
				l.term.Resign()
				return
			}
			l.m.Tick(now)
			renting := 0
			if l.renting {
				renting = math.MaxInt32
			}
			d := l.m.Schedule(now, renting)
			l.passes++
			l.turn()
			if !l.renting {
				l.wants = d.Rent
			}
			var moves map[string]ledger.CycleRecord
			if now.Sub(cycle) >= config.Seconds(l.n.tuning.Rebalance.EveryS) {
				cycle = now
				moves = l.m.PlanMoves(d.Wanted, now)
				l.m.LogRoom(d.Wanted, now)
			}
			// The larger the cluster, the longer a pass: reports, renewals and
			// users get most of the processor even so.
			pause = max(pause, passShare*time.Since(now))
			l.mu.Unlock()
			for g, rec := range moves {
				l.beginMoves(ctx, g, rec)
			}
			l.pushStops(ctx)
			kick(l.flushKick)
		}
		if !call.Pause(ctx, pause) {
			return
		}
	}
}

// passShare is how many times as long as a pass the leader does other things.
const passShare = 3

// abstainFor is for how long a leader that workers did not reach leaves the
// leadership to others.
const abstainFor = 20 * time.Second

// unreached says whether workers that should report here do not, so that
// another node had better lead; the lock is held.
func (l *leadership) unreached(now time.Time) bool {
	w := l.n.cfg.Cluster.Workers
	quiet := config.Seconds(max(3*w.ReportS, w.LeaseS/4) + 2)
	since := l.lastAny
	if since.Before(l.m.Takeover) {
		since = l.m.Takeover
	}
	// After a stop, the workers' reports are there and have not been read yet.
	if resumed, _ := l.n.pulse.lastStop(); since.Before(resumed) {
		since = resumed
	}
	return len(l.n.peers) > 0 && l.m.Expecting(now) >= 2 && now.Sub(since) > quiet
}

// beginMoves commits a cycle's record, so that a new leader knows of the
// moves, and then begins them.
func (l *leadership) beginMoves(ctx context.Context, group string, rec ledger.CycleRecord) {
	_, err := l.n.state.Commit(ctx, []wire.Guard{l.guard()}, []wire.Op{{Put: ledger.Cycles + group, Value: rec}})
	if err != nil {
		l.log.Debug("cycle record", "group", group, "err", err)
		return
	}
	l.log.Info("rebalancing", "group", group, "moves", len(rec.Moves))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.m.BeginMoves(group, rec, time.Now())
}

// runCloud rents, returns and lists machines.
func (l *leadership) runCloud(ctx context.Context) {
	every := max(4*time.Second, time.Duration(4/l.n.cfg.Cluster.Cloud.RPS*float64(time.Second)))
	var listed time.Time
	typesKept := false
	for call.Pause(ctx, 300*time.Millisecond) {
		if !l.term.Valid() {
			continue
		}
		if !typesKept {
			typesKept = l.keepTypes(ctx)
		}
		l.rent(ctx)
		l.mu.Lock()
		l.n.pulse.beat(time.Now())
		l.m.StoodStill(l.n.pulse.lastStop())
		back := l.m.Returnable(time.Now(), config.Seconds(l.n.tuning.Renting.IdleS))
		l.mu.Unlock()
		if len(back) > 0 {
			l.giveBack(ctx, back[:min(len(back), cloud.DeleteMax)])
		}
		if time.Since(listed) < every {
			continue
		}
		list, err := l.n.cloud.List(ctx)
		if err != nil {
			l.log.Debug("machine list", "err", err)
			call.Pause(ctx, time.Second)
			continue
		}
		listed = time.Now()
		l.mu.Lock()
		l.m.SetList(list, listed)
		l.mu.Unlock()
		kick(l.schedKick)
	}
}

// keepTypes leaves the catalogue where nodes find it during an outage of the
// cloud.
func (l *leadership) keepTypes(ctx context.Context) bool {
	types := l.n.knownTypes()
	if types == nil {
		return false
	}
	_, err := l.n.state.Commit(ctx, []wire.Guard{l.guard()}, []wire.Op{{Put: ledger.TypesKey, Value: wire.Types{Types: types}}})
	return err == nil
}

// giveBack returns machines. Their names are committed first: between the look
// at the lease and the cloud's act may lie a minute, in which another leader has
// begun and placed tasks on them, unless it reads here that they go.
func (l *leadership) giveBack(ctx context.Context, names []string) {
	op := wire.Op{Put: ledger.ReturnsKey, Value: ledger.ReturnRecord{Machines: names}}
	if _, err := l.n.state.Commit(ctx, []wire.Guard{l.guard()}, []wire.Op{op}); err != nil {
		l.log.Debug("return record", "err", err)
		return
	}
	if err := l.n.cloud.Delete(ctx, names); err != nil {
		l.log.Info("machines not returned, retrying", "count", len(names), "err", err)
		call.Pause(ctx, time.Second)
		return
	}
	now := time.Now()
	l.mu.Lock()
	for _, name := range names {
		l.m.MachineGone(name, now)
	}
	l.mu.Unlock()
	kick(l.schedKick)
	kick(l.flushKick)
}

// rent asks for what the last pass wanted. The request's name is recorded
// before the call and never used again.
func (l *leadership) rent(ctx context.Context) {
	l.mu.Lock()
	wants := l.wants
	l.wants = nil
	l.renting = len(wants) > 0
	l.mu.Unlock()
	if len(wants) == 0 {
		return
	}
	for o, count := range wants {
		if ctx.Err() != nil || !l.term.Valid() {
			break
		}
		l.rentOne(ctx, o, min(count, cloud.RentMax))
	}
	l.mu.Lock()
	l.renting, l.wants = false, nil
	l.mu.Unlock()
	kick(l.schedKick)
}

func (l *leadership) rentOne(ctx context.Context, o cluster.Offer, count int) {
	l.bons++
	bon := fmt.Sprintf("r-%d-%d", l.term.Token, l.bons)
	rec := ledger.RentalRecord{Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: count, AtMs: time.Now().UnixMilli()}
	key := ledger.Rentals + bon
	if _, err := l.n.state.Commit(ctx, []wire.Guard{l.guard(), {Key: key}}, []wire.Op{{Put: key, Value: rec}}); err != nil {
		l.log.Debug("rental record", "err", err)
		return
	}
	names, err := l.n.cloud.Rent(ctx, wire.Rental{Request: bon, Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: count})
	if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
		// The same request either rents now or names what it rented before.
		names, err = l.n.cloud.Rent(ctx, wire.Rental{Request: bon, Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: count})
	}
	now := time.Now()
	l.mu.Lock()
	if err != nil || len(names) < count {
		l.m.Refused(o, now)
	}
	l.m.Rented(o, names, now)
	l.mu.Unlock()
	if err != nil {
		l.log.Info("rental refused", "request", bon, "type", o.Type, "zone", o.Zone, "spot", o.Spot, "count", count, "err", err)
	}
	op := wire.Op{Delete: key}
	if len(names) > 0 {
		rec.Machines = names
		op = wire.Op{Put: key, Value: rec}
	}
	if _, err := l.n.state.Commit(ctx, []wire.Guard{l.guard()}, []wire.Op{op}); err != nil {
		l.log.Debug("rental record", "err", err)
	}
}
