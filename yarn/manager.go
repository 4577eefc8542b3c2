package yarn

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/jobstore"
	nwire "github.com/umberdeal/umberdeal/wire"
	"github.com/umberdeal/umberdeal/yarn/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// This file is ContainerManagementProtocol.

// Context is a launch context as workers read it.
type Context struct {
	Env    map[string]string `msgpack:"env" json:"env"`
	Argv   []string          `msgpack:"cmd" json:"command"`
	Tokens string            `msgpack:"tok,omitempty" json:"tokens,omitempty"` // base64
}

// contextOp is the change that keeps a launch context.
func (f *Frontend) contextOp(key string, in *pb.ContainerLaunchContextProto) (nwire.Op, error) {
	c := Context{Env: map[string]string{}, Argv: in.GetCommand(), Tokens: base64.StdEncoding.EncodeToString(in.GetTokens())}
	size := len(c.Tokens) + 256
	for _, e := range in.GetEnvironment() {
		c.Env[e.GetKey()] = e.GetValue()
		size += 2*len(e.GetKey()) + 2*len(e.GetValue()) + 8
	}
	for _, a := range c.Argv {
		size += 2*len(a) + 4
	}
	if size > f.value {
		return nwire.Op{}, wire.Errorf(wire.ClassYarn, "the launch context takes %d bytes, and %d are kept", size, f.value)
	}
	return nwire.Op{Put: key, Value: c}, nil
}

func (a *app) contextKey(job string, task int) string {
	return fmt.Sprintf("%s%s/%d/%d", ctxKey, a.name(), jobSeq(job), task)
}

// sharedMost bounds the contexts that a job's record leads to; others stand under
// their tasks' own keys.
const sharedMost = 64

// share puts contexts that several containers have in common under one key: a
// start then costs two changes for a whole job, not one for each container. It
// returns the changes, and the references that are new.
func (a *app) share(list []start, refs []jobstore.SharedKey, tasks int) ([]nwire.Op, []jobstore.SharedKey) {
	byKey := map[string][]int{}
	var order []string
	content := map[string]nwire.Op{}
	for i := range list {
		key := ctxKey + a.name() + "/s/" + list[i].content()
		if byKey[key] == nil {
			order = append(order, key)
		}
		byKey[key] = append(byKey[key], i)
		content[key] = nwire.Op{Put: key, Value: list[i].op.Value}
	}
	var ops []nwire.Op
	for _, key := range order {
		at := slices.IndexFunc(refs, func(r jobstore.SharedKey) bool { return r.Key == key })
		if at < 0 && (len(byKey[key]) == 1 || len(refs) >= sharedMost) {
			for _, i := range byKey[key] {
				ops = append(ops, list[i].op)
			}
			continue
		}
		if at < 0 {
			refs = append(refs, jobstore.SharedKey{Key: key})
			at = len(refs) - 1
			ops = append(ops, content[key])
		}
		set := refs[at].TaskRanges.BitSet(tasks)
		for _, i := range byKey[key] {
			set.Set(uint(list[i].task))
		}
		refs[at].TaskRanges = jobstore.RangesOf(set)
	}
	return ops, refs
}

func failed(id *pb.ContainerIdProto, err error) *pb.ContainerExceptionMapProto {
	e := wire.AsError(err)
	return &pb.ContainerExceptionMapProto{ContainerId: id, Exception: &pb.SerializedExceptionProto{Message: &e.Text, ClassName: proto.String(string(e.Class))}}
}

// start is one container that is to be started.
type start struct {
	id   *pb.ContainerIdProto
	job  string
	task int
	op   nwire.Op
}

// startContainers lets containers be launched: their contexts are kept and their
// jobs marked, and the leader launches them with its next answer to the machine.
func (f *Frontend) startContainers(ctx context.Context, c *wire.Caller, in *pb.StartContainersRequestProto) (*pb.StartContainersResponseProto, error) {
	a, _, err := f.caller(ctx, c, tokNode)
	if err != nil {
		return nil, err
	}
	k, err := f.ring(ctx)
	if err != nil {
		return nil, err
	}
	out := &pb.StartContainersResponseProto{}
	byJob := map[string][]start{}
	var order []string
	for _, r := range in.GetStartContainerRequest() {
		s, err := f.checkStart(a, &k, r)
		if err != nil {
			out.FailedRequests = append(out.FailedRequests, failed(s.id, err))
			continue
		}
		if byJob[s.job] == nil {
			order = append(order, s.job)
		}
		byJob[s.job] = append(byJob[s.job], s)
	}
	for _, id := range order {
		for list := byJob[id]; len(list) > 0; {
			n := min(len(list), f.ops-1)
			if alike(list) {
				n = len(list)
			}
			f.startSome(ctx, a, id, list[:n], out)
			list = list[n:]
		}
	}
	return out, nil
}

// checkStart checks a container's token and reads what is to be started.
func (f *Frontend) checkStart(a *app, k *keyring, r *pb.StartContainerRequestProto) (start, error) {
	t, err := parseToken(r.GetContainerToken().GetIdentifier())
	if err != nil {
		return start{}, wire.Errorf(wire.ClassInvalidToken, "%v", err)
	}
	seq, task := splitContainer(t.c)
	s := start{id: a.container(seq, task), job: jobID(a.Num, seq), task: task}
	want, err := k.sign(t.key, t.String())
	if err != nil || t.kind != tokContainer || t.num != a.Num || t.stamp != a.Stamp || t.attempt != a.Attempt ||
		!bytes.Equal(want, r.GetContainerToken().GetPassword()) {
		return s, wire.Errorf(wire.ClassInvalidToken, "the container's token is not valid")
	}
	s.op, err = f.contextOp(a.contextKey(s.job, task), r.GetContainerLaunchContext())
	return s, err
}

// alike says whether all of a list have the same context.
func alike(list []start) bool {
	first := list[0].content()
	return !slices.ContainsFunc(list, func(s start) bool { return s.content() != first })
}

// content tells contexts apart, whatever order their environments come in.
func (s *start) content() string {
	b, err := json.Marshal(s.op.Value) // sorts keys
	if err != nil {
		return fmt.Sprint(s.job, "/", s.task) // like no other
	}
	return fmt.Sprintf("%x", sha256.Sum256(b))
}

// startSome starts containers of one job in one transaction.
func (f *Frontend) startSome(ctx context.Context, a *app, id string, list []start, out *pb.StartContainersResponseProto) {
	var good []start
	err := retry(ctx, func() error {
		_, jobs, err := f.led.OwnedJobs(ctx, a.key())
		if err != nil {
			return err
		}
		good = good[:0]
		i := slices.IndexFunc(jobs, func(j jobstore.ReservedJob) bool { return j.ID == id })
		if i < 0 {
			return nil
		}
		j := &jobs[i]
		goes, drops := j.Record.Reservation.LaunchRanges.BitSet(j.Record.Job.Tasks), j.Record.Reservation.ReleaseRanges.BitSet(j.Record.Job.Tasks)
		var fresh []start
		for _, s := range list {
			if _, placed := j.Placements[s.task]; !placed || drops.Test(uint(s.task)) {
				continue
			}
			good = append(good, s)
			if !goes.Test(uint(s.task)) { // a repeated start changes nothing
				goes.Set(uint(s.task))
				fresh = append(fresh, s)
			}
		}
		if len(fresh) == 0 {
			return nil
		}
		ops, refs := a.share(fresh, slices.Clone(j.Record.Reservation.SharedKeys), j.Record.Job.Tasks)
		return f.led.UpdateReservation(ctx, j, func(r *jobstore.Reservation) { r.LaunchRanges, r.SharedKeys = jobstore.RangesOf(goes), refs }, ops...)
	})
	for _, s := range list {
		switch {
		case err != nil:
			out.FailedRequests = append(out.FailedRequests, failed(s.id, err))
		case slices.ContainsFunc(good, func(g start) bool { return g.task == s.task }):
			out.SucceededRequests = append(out.SucceededRequests, s.id)
		default:
			out.FailedRequests = append(out.FailedRequests, failed(s.id, wire.Errorf(wire.ClassNoContainer, "%s has no place any more", ContainerName(s.id))))
		}
	}
}

func (f *Frontend) stopContainers(ctx context.Context, c *wire.Caller, in *pb.StopContainersRequestProto) (*pb.StopContainersResponseProto, error) {
	a, v, err := f.caller(ctx, c, tokNode)
	if err != nil {
		return nil, err
	}
	out := &pb.StopContainersResponseProto{}
	for _, id := range in.GetContainerId() {
		if err := f.release(ctx, a, v, []*pb.ContainerIdProto{id}); err != nil {
			out.FailedRequests = append(out.FailedRequests, failed(id, err))
			continue
		}
		out.SucceededRequests = append(out.SucceededRequests, id)
	}
	return out, nil
}

func (f *Frontend) containerStatuses(ctx context.Context, c *wire.Caller, in *pb.GetContainerStatusesRequestProto) (*pb.GetContainerStatusesResponseProto, error) {
	a, v, err := f.caller(ctx, c, tokNode)
	if err != nil {
		return nil, err
	}
	out := &pb.GetContainerStatusesResponseProto{}
	for _, id := range in.GetContainerId() {
		seq, task := splitContainer(id.GetId())
		st, err := f.statusOf(ctx, v, jobID(a.Num, seq), task)
		if err != nil {
			out.FailedRequests = append(out.FailedRequests, failed(id, err))
			continue
		}
		st.ContainerId = id
		out.Status = append(out.Status, st)
	}
	return out, nil
}

func (f *Frontend) statusOf(ctx context.Context, v *view, job string, task int) (*pb.ContainerStatusProto, error) {
	i := slices.IndexFunc(v.jobs, func(j jobstore.ReservedJob) bool { return j.ID == job })
	var j jobstore.ReservedJob
	if i >= 0 {
		j = v.jobs[i]
	} else {
		over, found, err := f.led.FinishedReservation(ctx, job)
		if err != nil {
			return nil, err
		}
		if !found {
			return nil, wire.Errorf(wire.ClassNoContainer, "there is no such container")
		}
		j = over
	}
	if how, ok := j.Outcomes[task]; ok {
		status, why := exitStatus(how)
		return &pb.ContainerStatusProto{State: pb.ContainerStateProto_C_COMPLETE.Enum(), ExitStatus: &status, Diagnostics: &why}, nil
	}
	if _, ok := j.Placements[task]; !ok {
		return nil, wire.Errorf(wire.ClassNoContainer, "there is no such container")
	}
	st := pb.ContainerStateProto_C_NEW
	if j.Record.Reservation.LaunchRanges.BitSet(j.Record.Job.Tasks).Test(uint(task)) {
		st = pb.ContainerStateProto_C_RUNNING
	}
	return &pb.ContainerStatusProto{State: &st, Diagnostics: proto.String("")}, nil
}
