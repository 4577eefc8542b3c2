package yarn

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	nwire "github.com/umberdeal/umberdeal/wire"
	"github.com/umberdeal/umberdeal/yarn/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// This file is ApplicationMasterProtocol.

// session is what a node remembers of a master that it serves: what the master
// has been told. It is nowhere else; a master that comes to another node, or to
// this one after a restart, is told to register again and then told everything.
type session struct {
	mu       sync.Mutex
	attempt  int32
	response int32
	last     *pb.AllocateResponseProto
	told     map[int64]string // containers told as allocated: their job
	ended    map[int64]bool   // told as ended
	jobs     map[string]bool  // that were seen and not yet seen ending
	shun     map[string]bool
	beat     time.Time // when the record last showed a sign of life
}

// password is the server's: the password of a token that is still valid.
func (f *Frontend) password(ctx context.Context, identifier []byte) ([]byte, error) {
	t, err := parseToken(identifier)
	if err != nil {
		return nil, wire.Errorf(wire.ClassInvalidToken, "%v", err)
	}
	if t.kind != tokMaster && t.kind != tokNode {
		return nil, wire.Errorf(wire.ClassInvalidToken, "not a token for a connection")
	}
	if _, _, err := f.current(ctx, t); err != nil {
		return nil, err
	}
	k, err := f.ring(ctx)
	if err != nil {
		return nil, err
	}
	pw, err := k.sign(t.key, t.String())
	if err != nil {
		return nil, wire.Errorf(wire.ClassInvalidToken, "%v", err)
	}
	return pw, nil
}

// current reads the application of a token, which must be of its current attempt
// and not over.
func (f *Frontend) current(ctx context.Context, t token) (*app, *view, error) {
	id := &pb.ApplicationIdProto{Id: &t.num, ClusterTimestamp: &t.stamp}
	a, e, jobs, over, err := f.read(ctx, id)
	if err != nil {
		return nil, nil, err
	}
	if over || a.Ending != "" {
		return nil, nil, wire.Errorf(wire.ClassNoAttempt, "application %s is over", a.name())
	}
	if a.Attempt != t.attempt {
		return nil, nil, wire.Errorf(wire.ClassNoAttempt, "attempt %d of %s is over", t.attempt, a.name())
	}
	return a, &view{e, jobs}, nil
}

// view is an application's record as it was read, with its jobs.
type view struct {
	jobstore.AppRecord
	jobs []jobstore.ReservedJob
}

func (f *Frontend) caller(ctx context.Context, c *wire.Caller, kind string) (*app, *view, error) {
	t, err := parseToken(c.Identifier)
	if err != nil || t.kind != kind {
		return nil, nil, wire.Errorf(wire.ClassInvalidToken, "not a token for this protocol")
	}
	return f.current(ctx, t)
}

func (f *Frontend) session(a *app) *session {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sessions[a.name()]
	if s != nil && s.attempt == a.Attempt {
		return s
	}
	return nil
}

// register begins a master's session, anew if there was one: containers that run
// are named, and everything that has ended is told again.
func (f *Frontend) register(ctx context.Context, c *wire.Caller, in *pb.RegisterApplicationMasterRequestProto) (*pb.RegisterApplicationMasterResponseProto, error) {
	var a *app
	var v *view
	err := retry(ctx, func() (err error) {
		if a, v, err = f.caller(ctx, c, tokMaster); err != nil {
			return err
		}
		a.State, a.Host, a.Port, a.URL = stateRunning, in.GetHost(), in.GetRpcPort(), in.GetTrackingUrl()
		a.Beat++
		return f.write(ctx, a, &v.AppRecord)
	})
	if err != nil {
		return nil, err
	}
	s := &session{attempt: a.Attempt, told: map[int64]string{}, ended: map[int64]bool{}, jobs: map[string]bool{}, shun: map[string]bool{}, beat: time.Now()}
	for i := range a.Seq {
		if id := jobID(a.Num, i); id != a.MasterJob {
			s.jobs[id] = true
		}
	}
	out := &pb.RegisterApplicationMasterResponseProto{MaximumCapability: f.maximum(), Queue: proto.String(leaf(a.Queue))}
	k, err := f.ring(ctx)
	if err != nil {
		return nil, err
	}
	nodes := map[string]bool{}
	for _, j := range v.jobs {
		if j.ID == a.MasterJob {
			continue
		}
		for _, t := range slices.Sorted(maps.Keys(j.Placements)) {
			ct, err := f.container(a, &k, &j, t)
			if err != nil {
				return nil, err
			}
			s.told[ct.GetId().GetId()] = j.ID
			out.ContainersFromPreviousAttempts = append(out.ContainersFromPreviousAttempts, ct)
			nodes[j.Placements[t].Machine] = true
		}
	}
	if out.NmTokensFromPreviousAttempts, err = f.nodeTokens(a, &k, nodes); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.sessions[a.name()] = s
	f.mu.Unlock()
	f.log.Info("yarn: master registered", "app", a.name(), "attempt", a.Attempt, "containers", len(s.told))
	return out, nil
}

func (f *Frontend) nodeTokens(a *app, k *keyring, nodes map[string]bool) ([]*pb.NMTokenProto, error) {
	var out []*pb.NMTokenProto
	for _, n := range slices.Sorted(maps.Keys(nodes)) {
		t, err := k.issue(token{kind: tokNode, stamp: a.Stamp, num: a.Num, attempt: a.Attempt}, kindNode, f.s.Advertise)
		if err != nil {
			return nil, err
		}
		out = append(out, &pb.NMTokenProto{NodeId: nodeID(n), Token: t})
	}
	return out, nil
}

// container describes a placed task as a container, with the token that starts
// it.
func (f *Frontend) container(a *app, k *keyring, j *jobstore.ReservedJob, task int) (*pb.ContainerProto, error) {
	id := a.container(jobSeq(j.ID), task)
	tok, err := k.issue(token{kind: tokContainer, stamp: a.Stamp, num: a.Num, attempt: a.Attempt, c: id.GetId()}, kindContainer, f.s.Advertise)
	if err != nil {
		return nil, err
	}
	q := parseTag(j.Record.Reservation.Tag)
	return &pb.ContainerProto{Id: id, NodeId: nodeID(j.Placements[task].Machine), NodeHttpAddress: proto.String(""),
		Resource: f.resource(q.MemoryMB, q.VCores, q.GPUs, q.GPUName), Priority: &pb.PriorityProto{Priority: &q.Priority},
		ContainerToken: tok, AllocationRequestId: &q.ReqID}, nil
}

// tag is how an ask is written into its job's record.
func (k ask) tag() string {
	return fmt.Sprintf("%d|%d|%s|%v|%s|%d|%d|%d|%s", k.Priority, k.ReqID, k.Name, k.Relax, k.Label, k.MemoryMB, k.VCores, k.GPUs, k.GPUName)
}

func parseTag(tag string) (k ask) {
	p := strings.Split(tag, "|")
	if len(p) != 9 {
		return k
	}
	_, _ = fmt.Sscan(p[0], &k.Priority) // written by tag
	_, _ = fmt.Sscan(p[1], &k.ReqID)
	k.Name, k.Relax, k.Label = p[2], p[3] == "true", p[4]
	_, _ = fmt.Sscan(p[5], &k.MemoryMB)
	_, _ = fmt.Sscan(p[6], &k.VCores)
	_, _ = fmt.Sscan(p[7], &k.GPUs)
	k.GPUName = p[8]
	return k
}

// allocate is a master's heartbeat: releases, asks and blacklists in, containers
// and ends out.
func (f *Frontend) allocate(ctx context.Context, c *wire.Caller, in *pb.AllocateRequestProto) (*pb.AllocateResponseProto, error) {
	a, v, err := f.caller(ctx, c, tokMaster)
	if err != nil {
		if wire.IsClass(err, wire.ClassNoAttempt) {
			return &pb.AllocateResponseProto{AMCommand: pb.AMCommandProto_AM_SHUTDOWN.Enum(), ResponseId: in.ResponseId}, nil
		}
		return nil, err
	}
	s := f.session(a)
	if s == nil {
		return nil, wire.Errorf(wire.ClassNotReg, "AM is not registered for known application attempt: %s_%d", a.name(), a.Attempt)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch id := in.GetResponseId(); {
	case id == s.response-1 && s.last != nil:
		return s.last, nil // its answer was lost: the same once more
	case id != s.response:
		return &pb.AllocateResponseProto{AMCommand: pb.AMCommandProto_AM_RESYNC.Enum(), ResponseId: proto.Int32(s.response)}, nil
	}
	changed := false
	if len(in.GetRelease()) > 0 {
		if err := f.release(ctx, a, v, in.GetRelease()); err != nil {
			return nil, err
		}
		changed = true
	}
	if b := in.GetBlacklistRequest(); b != nil {
		for _, n := range b.GetBlacklistAdditions() {
			s.shun[n] = true
		}
		for _, n := range b.GetBlacklistRemovals() {
			delete(s.shun, n)
		}
		if err := f.avoid(ctx, a, s); err != nil {
			return nil, err
		}
		changed = true
	}
	if len(in.GetAsk()) > 0 {
		if err := f.asks(ctx, c, s, in.GetAsk()); err != nil {
			return nil, err
		}
		changed = true
	}
	if changed {
		if a, v, err = f.caller(ctx, c, tokMaster); err != nil {
			return nil, err
		}
	}
	out, err := f.answer(ctx, a, v, s)
	if err != nil {
		return nil, err
	}
	s.response++
	out.ResponseId = proto.Int32(s.response)
	s.last = out
	f.beat(ctx, a, v, s)
	return out, nil
}

// beat writes a sign of life down, three times within what a master may be
// silent for: any leader counts from the last that it has seen.
func (f *Frontend) beat(ctx context.Context, a *app, v *view, s *session) {
	if time.Since(s.beat) < seconds(f.s.MasterS/3) {
		return
	}
	a.Beat++
	if err := f.write(ctx, a, &v.AppRecord); err != nil {
		f.log.Debug("yarn: sign of life not written", "app", a.name(), "err", err) // the next heartbeat tries again
		return
	}
	s.beat = time.Now()
}

// answer collects what the master has not been told yet. What it collects counts
// as told only once there is an answer to tell it with: where one could not be made,
// containers were held as told that the master never heard of.
func (f *Frontend) answer(ctx context.Context, a *app, v *view, s *session) (*pb.AllocateResponseProto, error) {
	next := *s.clone()
	out, err := f.collect(ctx, a, v, &next)
	if err != nil {
		return nil, err
	}
	s.told, s.ended, s.jobs = next.told, next.ended, next.jobs
	return out, nil
}

func (s *session) clone() *session {
	return &session{response: s.response, told: maps.Clone(s.told), ended: maps.Clone(s.ended), jobs: maps.Clone(s.jobs)}
}

func (f *Frontend) collect(ctx context.Context, a *app, v *view, s *session) (*pb.AllocateResponseProto, error) {
	out := &pb.AllocateResponseProto{Limit: f.maximum(), NumClusterNodes: proto.Int32(0)}
	k, err := f.ring(ctx)
	if err != nil {
		return nil, err
	}
	nodes := map[string]bool{}
	here := map[string]bool{}
	var leaving []*pb.PreemptionContainerProto
	for i := range v.jobs {
		j := &v.jobs[i]
		here[j.ID] = true
		if j.ID == a.MasterJob {
			continue
		}
		s.jobs[j.ID] = true
		drops := j.Record.Reservation.ReleaseRanges.BitSet(j.Record.Job.Tasks)
		for _, t := range slices.Sorted(maps.Keys(j.Placements)) {
			id := a.container(jobSeq(j.ID), t)
			if _, ok := s.told[id.GetId()]; !ok && !drops.Test(uint(t)) {
				ct, err := f.container(a, &k, j, t)
				if err != nil {
					return nil, err
				}
				s.told[id.GetId()] = j.ID
				out.AllocatedContainers = append(out.AllocatedContainers, ct)
				nodes[j.Placements[t].Machine] = true
			}
			if j.Stopping[t] && !drops.Test(uint(t)) {
				leaving = append(leaving, &pb.PreemptionContainerProto{Id: id})
			}
		}
		f.tellEnds(a, s, j, out)
	}
	for id := range s.jobs {
		if here[id] {
			continue
		}
		j, found, err := f.led.FinishedReservation(ctx, id)
		if err != nil {
			return nil, err
		}
		if found {
			f.tellEnds(a, s, &j, out)
		}
		delete(s.jobs, id)
	}
	if len(leaving) > 0 {
		out.Preempt = &pb.PreemptionMessageProto{StrictContract: &pb.StrictPreemptionContractProto{Container: leaving}}
	}
	if out.NmTokens, err = f.nodeTokens(a, &k, nodes); err != nil {
		return nil, err
	}
	// A master that heartbeats has the newest key's token well before its own
	// key is dropped.
	if s.response == 0 || s.response%64 == 0 {
		out.AmRmToken, err = k.issue(token{kind: tokMaster, stamp: a.Stamp, num: a.Num, attempt: a.Attempt}, kindMaster, f.s.Advertise)
	}
	return out, err
}

// tellEnds adds what has ended of a job. What was given back before it was ever
// allocated is no container.
func (f *Frontend) tellEnds(a *app, s *session, j *jobstore.ReservedJob, out *pb.AllocateResponseProto) {
	for _, t := range slices.Sorted(maps.Keys(j.Outcomes)) {
		id := a.container(jobSeq(j.ID), t)
		n, how := id.GetId(), j.Outcomes[t]
		_, told := s.told[n]
		if s.ended[n] || how == jobstore.OutcomeReleased && !told {
			continue
		}
		s.ended[n] = true
		status, why := exitStatus(how)
		out.CompletedContainerStatuses = append(out.CompletedContainerStatuses, &pb.ContainerStatusProto{ContainerId: id,
			State: pb.ContainerStateProto_C_COMPLETE.Enum(), ExitStatus: &status, Diagnostics: &why})
	}
}

// release gives containers back.
func (f *Frontend) release(ctx context.Context, a *app, v *view, ids []*pb.ContainerIdProto) error {
	byJob := map[string][]int{}
	for _, id := range ids {
		if id.GetAppAttemptId().GetApplicationId().GetId() != a.Num && id.GetAppId().GetId() != a.Num {
			return wire.Errorf(wire.ClassBadRelease, "%s is not a container of %s", ContainerName(id), a.name())
		}
		seq, task := splitContainer(id.GetId())
		byJob[jobID(a.Num, seq)] = append(byJob[jobID(a.Num, seq)], task)
	}
	for id, tasks := range byJob {
		if err := f.drop(ctx, a, v, id, tasks); err != nil {
			return err
		}
	}
	return nil
}

// drop marks tasks of a job as given back; one that is over needs nothing.
func (f *Frontend) drop(ctx context.Context, a *app, v *view, id string, tasks []int) error {
	first := true
	return retry(ctx, func() error {
		jobs := v.jobs
		if !first {
			var err error
			if _, jobs, err = f.led.OwnedJobs(ctx, a.key()); err != nil {
				return err
			}
		}
		first = false
		for i := range jobs {
			if j := &jobs[i]; j.ID == id {
				return f.led.UpdateReservation(ctx, j, func(r *jobstore.Reservation) {
					set := r.ReleaseRanges.BitSet(j.Record.Job.Tasks)
					for _, t := range tasks {
						if t >= 0 && t < j.Record.Job.Tasks {
							set.Set(uint(t))
						}
					}
					r.ReleaseRanges = jobstore.RangesOf(set)
				})
			}
		}
		return nil
	})
}

// avoid writes the blacklist into the jobs that still wait.
func (f *Frontend) avoid(ctx context.Context, a *app, s *session) error {
	return retry(ctx, func() error {
		_, jobs, err := f.led.OwnedJobs(ctx, a.key())
		if err != nil {
			return err
		}
		names := slices.Sorted(maps.Keys(s.shun))
		for i := range jobs {
			j := &jobs[i]
			if j.ID == a.MasterJob || slices.Equal(j.Record.Reservation.AvoidMachines, names) || len(waiting(j)) == 0 {
				continue
			}
			if err := f.led.UpdateReservation(ctx, j, func(r *jobstore.Reservation) { r.AvoidMachines = names }); err != nil {
				return err
			}
		}
		return nil
	})
}

// waiting lists the tasks of a job that have no place yet and are wanted.
func waiting(j *jobstore.ReservedJob) []int {
	drops := j.Record.Reservation.ReleaseRanges.BitSet(j.Record.Job.Tasks)
	var out []int
	for t := range j.Record.Job.Tasks {
		_, placed := j.Placements[t]
		_, ended := j.Outcomes[t]
		if !placed && !ended && !drops.Test(uint(t)) {
			out = append(out, t)
		}
	}
	return out
}

// asks makes what waits what is asked for. As published, a number is absolute:
// how many containers of a kind are still wanted.
func (f *Frontend) asks(ctx context.Context, c *wire.Caller, s *session, in []*pb.ResourceRequestProto) error {
	want, err := f.wanted(ctx, in)
	if err != nil {
		return err
	}
	return retry(ctx, func() error {
		a, v, err := f.caller(ctx, c, tokMaster)
		if err != nil {
			return err
		}
		// All are judged before any is committed.
		for _, w := range want {
			if w.n == 0 {
				continue
			}
			j, _, err := f.native(a, w.ask, min(w.n, jobTasks))
			if err != nil {
				return err
			}
			if status, err := f.core.Judge(&j); err != nil {
				return refuse(status, err)
			}
		}
		for _, w := range want {
			if err := f.adjust(ctx, a, v, s, w); err != nil {
				return err
			}
		}
		return nil
	})
}

// wants is one kind of container and how many are still wanted.
type wants struct {
	ask
	n int
}

// wanted reads a list of asks: for each priority, size and label the nodes that
// are named, and the number that counts for all of them.
func (f *Frontend) wanted(ctx context.Context, in []*pb.ResourceRequestProto) ([]wants, error) {
	type kind struct {
		prio  int32
		req   int64
		label string
		size  string
	}
	groups := map[kind][]wants{}
	var order []kind
	for _, r := range in {
		var k ask
		var err error
		if k.MemoryMB, k.VCores, k.GPUs, k.GPUName, err = f.need(r.GetCapability()); err != nil {
			return nil, err
		}
		if r.GetNumContainers() < 0 || r.GetNumContainers() > nwire.MaxTasks {
			return nil, wire.Errorf(wire.ClassBadRequest, "Invalid resource request, %d containers", r.GetNumContainers())
		}
		k.Priority, k.ReqID, k.Name, k.Relax, k.Label = r.GetPriority().GetPriority(), r.GetAllocationRequestId(), r.GetResourceName(), r.GetRelaxLocality(), r.GetNodeLabelExpression()
		if strings.Contains(k.Name+k.Label, "|") {
			return nil, wire.Errorf(wire.ClassBadRequest, "Invalid resource request, name %q", k.Name)
		}
		g := kind{k.Priority, k.ReqID, k.Label, fmt.Sprint(k.MemoryMB, k.VCores, k.GPUs)}
		if groups[g] == nil {
			order = append(order, g)
		}
		groups[g] = append(groups[g], wants{k, int(r.GetNumContainers())})
	}
	var out []wants
	for _, g := range order {
		w, err := f.locate(ctx, groups[g])
		if err != nil {
			return nil, err
		}
		out = append(out, w...)
	}
	return out, nil
}

// locate reads the locality of one kind: with any node allowed, names are wishes
// that this service does not trade room for; otherwise the named nodes or racks
// are the only ones.
func (f *Frontend) locate(ctx context.Context, ws []wants) ([]wants, error) {
	var anywhere *wants
	var named []wants
	for i := range ws {
		if ws[i].Name == "*" || ws[i].Name == "" {
			anywhere = &ws[i]
		} else {
			named = append(named, ws[i])
		}
	}
	if anywhere != nil && (anywhere.Relax || len(named) == 0) {
		anywhere.Name = "*"
		return []wants{*anywhere}, nil
	}
	if len(named) == 0 {
		return nil, nil
	}
	ms, err := f.core.Machines(ctx)
	if err != nil {
		return nil, wire.Errorf(wire.ClassRetriable, "%v", err)
	}
	// Where a rack is named strictly and a node in it as well, the node counts.
	var out []wants
	for _, w := range named {
		if rack, ok := strings.CutPrefix(w.Name, "/"); ok {
			inRack := slices.ContainsFunc(named, func(o wants) bool {
				return slices.ContainsFunc(ms, func(m Machine) bool { return m.Name == o.Name && m.Zone == rack })
			})
			if inRack && !w.Relax {
				continue
			}
			for _, m := range ms {
				if m.Zone == rack {
					w.Only = append(w.Only, m.Name)
				}
			}
		} else {
			w.Only = []string{w.Name}
		}
		out = append(out, w)
	}
	return out, nil
}

// adjust reserves what is wanted beyond what waits, or gives back what waits
// beyond what is wanted.
func (f *Frontend) adjust(ctx context.Context, a *app, v *view, s *session, w wants) error {
	tag := w.tag()
	have := 0
	var mine []*jobstore.ReservedJob
	for i := range v.jobs {
		if j := &v.jobs[i]; j.ID != a.MasterJob && j.Record.Reservation.Tag == tag {
			mine = append(mine, j)
			have += len(waiting(j)) + s.untold(j)
		}
	}
	for have < w.n {
		n := min(w.n-have, jobTasks)
		res := jobstore.Reservation{Tag: tag, AvoidMachines: slices.Sorted(maps.Keys(s.shun))}
		id, err := f.reserve(ctx, a, &v.AppRecord, w.ask, n, res)
		if err != nil {
			var c *kvstore.ConflictError
			if errors.As(err, &c) {
				a.Seq-- // read again before it is tried again
			}
			return err
		}
		s.jobs[id] = true
		have += n
	}
	for i := len(mine) - 1; i >= 0 && have > w.n; i-- {
		ts := waiting(mine[i])
		k := min(have-w.n, len(ts))
		if err := f.drop(ctx, a, v, mine[i].ID, ts[len(ts)-k:]); err != nil {
			return err
		}
		have -= k
	}
	return nil
}

// untold is how many containers of a job have a place that their master has not
// been told of. They are part of what it still asks for: an ask that came again,
// because its answer could not be made, was served twice.
func (s *session) untold(j *jobstore.ReservedJob) int {
	n := 0
	for t := range j.Placements {
		if _, ok := s.told[containerNum(jobSeq(j.ID), t)]; !ok {
			n++
		}
	}
	return n
}

// finish ends an application as its master says.
func (f *Frontend) finish(ctx context.Context, c *wire.Caller, in *pb.FinishApplicationMasterRequestProto) (*pb.FinishApplicationMasterResponseProto, error) {
	t, err := parseToken(c.Identifier)
	if err != nil || t.kind != tokMaster {
		return nil, wire.Errorf(wire.ClassInvalidToken, "not a token for this protocol")
	}
	out := &pb.FinishApplicationMasterResponseProto{IsUnregistered: proto.Bool(true)}
	if _, _, err := f.current(ctx, t); err != nil {
		if wire.IsClass(err, wire.ClassNoAttempt) {
			return out, nil // over: whoever asks again is told the same
		}
		return nil, err
	}
	how := stateFinished
	if in.GetFinalApplicationStatus() == pb.FinalApplicationStatusProto_APP_FAILED {
		how = stateFailed
	}
	return out, f.end(ctx, &pb.ApplicationIdProto{Id: &t.num, ClusterTimestamp: &t.stamp}, how, func(a *app) {
		a.Diag, a.Final, a.URL = in.GetDiagnostics(), int32(in.GetFinalApplicationStatus()), in.GetTrackingUrl()
	})
}
