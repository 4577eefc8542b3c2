// Handling of the container requests in a master's heartbeat: a master states how many containers
// of each kind it wants, and the front end reserves or releases tasks accordingly.

package yarn

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	nwire "github.com/umberdeal/umberdeal/wire"
	"github.com/umberdeal/umberdeal/yarn/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// demand is the number of containers of one kind that a master still wants. As in YARN's API, a
// new number replaces the previous one.
type demand struct {
	containerRequest
	count int
}

// applyRequests reserves or releases tasks, so that the number of tasks waiting to be placed equals
// the number of containers that the master still wants.
func (f *Frontend) applyRequests(ctx context.Context, c *wire.Caller, s *session, in []*pb.ResourceRequestProto) error {
	demands, err := f.parseRequests(ctx, in)
	if err != nil {
		return err
	}
	return retry(ctx, func() error {
		snap, err := f.callerApplication(ctx, c, masterToken)
		if err != nil {
			return err
		}
		// Check all demands before committing any, so that an infeasible one changes nothing.
		for i := range demands {
			if demands[i].count == 0 {
				continue
			}
			if _, err := f.feasibleJob(snap.app, &demands[i].containerRequest, min(demands[i].count, maxJobContainers)); err != nil {
				return err
			}
		}
		for i := range demands {
			if err := f.adjustPendingTasks(ctx, snap, s, &demands[i]); err != nil {
				return err
			}
		}
		return nil
	})
}

// requestGroup identifies the requests that together describe where one kind of container may run.
type requestGroup struct {
	priority            int32
	allocationRequestID int64
	label               string
	size                string
}

// parseRequests parses the requests of a heartbeat. The requests of a group become one demand. With
// strict locality they become one demand for each named node or rack.
func (f *Frontend) parseRequests(ctx context.Context, in []*pb.ResourceRequestProto) ([]demand, error) {
	groups := map[requestGroup][]demand{}
	var order []requestGroup
	for _, request := range in {
		d, err := f.parseRequest(request)
		if err != nil {
			return nil, err
		}
		group := requestGroup{d.Priority, d.AllocationRequestID, d.NodeLabel, fmt.Sprint(d.MemoryMB, d.VCores, d.GPUs)}
		if groups[group] == nil {
			order = append(order, group)
		}
		groups[group] = append(groups[group], d)
	}
	var out []demand
	for _, group := range order {
		placed, err := f.resolveLocality(ctx, groups[group])
		if err != nil {
			return nil, err
		}
		out = append(out, placed...)
	}
	return out, nil
}

func (f *Frontend) parseRequest(in *pb.ResourceRequestProto) (demand, error) {
	size, err := f.parseCapability(in.GetCapability())
	if err != nil {
		return demand{}, err
	}
	if in.GetNumContainers() < 0 || in.GetNumContainers() > nwire.MaxTasks {
		return demand{}, wire.Errorf(wire.ClassBadRequest, "Invalid resource request, %d containers", in.GetNumContainers())
	}
	r := containerRequest{
		Priority:            in.GetPriority().GetPriority(),
		AllocationRequestID: in.GetAllocationRequestId(),
		ResourceName:        in.GetResourceName(),
		RelaxLocality:       in.GetRelaxLocality(),
		NodeLabel:           in.GetNodeLabelExpression(),
	}
	if strings.Contains(r.ResourceName+r.NodeLabel, tagSeparator) {
		return demand{}, wire.Errorf(wire.ClassBadRequest, "Invalid resource request, name %q", r.ResourceName)
	}
	r.setCapability(size)
	return demand{r, int(in.GetNumContainers())}, nil
}

// resolveLocality returns the demands of one group with the machines that they may use. If the
// request for any node relaxes locality, the named nodes and racks are only preferences, and
// resolveLocality ignores them. Otherwise only the named nodes and racks are allowed.
func (f *Frontend) resolveLocality(ctx context.Context, group []demand) ([]demand, error) {
	var anywhere *demand
	var named []demand
	for i := range group {
		if group[i].ResourceName == anyNode || group[i].ResourceName == "" {
			anywhere = &group[i]
		} else {
			named = append(named, group[i])
		}
	}
	if anywhere != nil && (anywhere.RelaxLocality || len(named) == 0) {
		anywhere.ResourceName = anyNode
		return []demand{*anywhere}, nil
	}
	if len(named) == 0 {
		return nil, nil
	}
	machines, err := f.machines(ctx)
	if err != nil {
		return nil, err
	}
	return strictDemands(named, machines), nil
}

// strictDemands returns the demands for named nodes and racks, with the machines that each allows.
// It omits a rack with strict locality if a node in the rack is named too. Then only the demand
// for the node counts.
func strictDemands(named []demand, machines []Machine) []demand {
	var out []demand
	for _, d := range named {
		rack, isRack := strings.CutPrefix(d.ResourceName, "/")
		switch {
		case !isRack:
			d.OnlyMachines = []string{d.ResourceName}
		case !d.RelaxLocality && namesNodeInRack(named, machines, rack):
			continue
		default:
			d.OnlyMachines = append(d.OnlyMachines, machinesInRack(machines, rack)...)
		}
		out = append(out, d)
	}
	return out
}

// namesNodeInRack reports whether any demand is for a node in the rack. A rack is a zone.
func namesNodeInRack(named []demand, machines []Machine, rack string) bool {
	inRack := machinesInRack(machines, rack)
	return slices.ContainsFunc(named, func(d demand) bool { return slices.Contains(inRack, d.ResourceName) })
}

func machinesInRack(machines []Machine, rack string) []string {
	var names []string
	for _, m := range machines {
		if m.Zone == rack {
			names = append(names, m.Name)
		}
	}
	return names
}

// adjustPendingTasks reserves tasks if fewer tasks wait to be placed than the master wants, and
// releases waiting tasks if more do. Allocated containers that were not reported yet count as
// waiting.
func (f *Frontend) adjustPendingTasks(ctx context.Context, snap *snapshot, s *session, d *demand) error {
	tag := d.tag()
	have := 0
	var sameKind []*jobstore.ReservedJob
	for i := range snap.jobs {
		if j := &snap.jobs[i]; j.ID != snap.app.MasterJob && j.Record.Reservation.Tag == tag {
			sameKind = append(sameKind, j)
			have += len(pendingTasks(j)) + s.reported.unreported(j)
		}
	}
	if have < d.count {
		return f.reserveMore(ctx, snap, s, d, d.count-have)
	}
	return f.releasePending(ctx, snap, sameKind, have-d.count)
}

// reserveMore reserves jobs with count tasks in total.
func (f *Frontend) reserveMore(ctx context.Context, snap *snapshot, s *session, d *demand, count int) error {
	for count > 0 {
		n := min(count, maxJobContainers)
		reservation := jobstore.Reservation{Tag: d.tag(), AvoidMachines: s.blacklisted()}
		id, err := f.reserve(ctx, snap, &d.containerRequest, n, reservation)
		if err != nil {
			var conflict *kvstore.ConflictError
			if errors.As(err, &conflict) {
				snap.app.NextJobSeq-- // the reservation was not committed
			}
			return err
		}
		s.reported.openJobs[id] = true
		count -= n
	}
	return nil
}

// releasePending releases up to count tasks that wait to be placed, the newest first.
func (f *Frontend) releasePending(ctx context.Context, snap *snapshot, jobs []*jobstore.ReservedJob, count int) error {
	for i := len(jobs) - 1; i >= 0 && count > 0; i-- {
		pending := pendingTasks(jobs[i])
		n := min(count, len(pending))
		if err := f.releaseTasks(ctx, snap, jobs[i].ID, pending[len(pending)-n:]); err != nil {
			return err
		}
		count -= n
	}
	return nil
}

// pendingTasks returns the tasks of a job that are not placed, ended or released, in ascending
// order.
func pendingTasks(j *jobstore.ReservedJob) []int {
	released := j.Record.Reservation.ReleaseRanges.BitSet(j.Record.Job.Tasks)
	var out []int
	for task := range j.Record.Job.Tasks {
		_, placed := j.Placements[task]
		_, ended := j.Outcomes[task]
		if !placed && !ended && !released.Test(uint(task)) {
			out = append(out, task)
		}
	}
	return out
}
