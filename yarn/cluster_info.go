// The calls of ApplicationClientProtocol that inspect nodes and queues.

package yarn

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/yarn/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// machines returns the machines as the leader sees them. If they can't be read, the client retries.
func (f *Frontend) machines(ctx context.Context) ([]Machine, error) {
	machines, err := f.controller.Machines(ctx)
	if err != nil {
		return nil, wire.Errorf(wire.ClassRetriable, "%v", err)
	}
	return machines, nil
}

func (f *Frontend) getClusterMetrics(ctx context.Context, _ *wire.Caller, _ *pb.GetClusterMetricsRequestProto) (*pb.GetClusterMetricsResponseProto, error) {
	machines, err := f.machines(ctx)
	if err != nil {
		return nil, err
	}
	up := 0
	for _, m := range machines {
		if m.Up {
			up++
		}
	}
	return &pb.GetClusterMetricsResponseProto{ClusterMetrics: &pb.YarnClusterMetricsProto{
		NumNodeManagers:      proto.Int32(int32(len(machines))),
		NumActiveNms:         proto.Int32(int32(up)),
		NumLostNms:           proto.Int32(int32(len(machines) - up)),
		NumDecommissionedNms: proto.Int32(0),
	}}, nil
}

// nodeManagerPort is the port in the id of a node. Nothing listens on it: clients connect to the
// address in the token for the node, which is the address of this front end.
const nodeManagerPort = 8041

func nodeID(machine string) *pb.NodeIdProto {
	return &pb.NodeIdProto{Host: proto.String(machine), Port: proto.Int32(nodeManagerPort)}
}

func (f *Frontend) nodeReport(m *Machine) *pb.NodeReportProto {
	state := pb.NodeStateProto_NS_RUNNING
	if !m.Up {
		state = pb.NodeStateProto_NS_LOST
	}
	report := &pb.NodeReportProto{
		NodeId:        nodeID(m.Name),
		HttpAddress:   proto.String(""),
		RackName:      proto.String("/" + m.Zone),
		NodeState:     &state,
		NumContainers: proto.Int32(int32(m.Tasks)),
		Used:          f.resourceProto(capabilityOf(m.CPUs, m.GPUs, m.MemGB)),
		NodeLabels:    []string{m.Type},
	}
	for _, t := range f.controller.MachineTypes() {
		if t.Name == m.Type {
			report.Capability = f.resourceProto(capabilityOf(t.CPUs, t.GPUs, t.MemoryGB))
		}
	}
	return report
}

func (f *Frontend) getClusterNodes(ctx context.Context, _ *wire.Caller, in *pb.GetClusterNodesRequestProto) (*pb.GetClusterNodesResponseProto, error) {
	machines, err := f.machines(ctx)
	if err != nil {
		return nil, err
	}
	out := &pb.GetClusterNodesResponseProto{}
	for i := range machines {
		if report := f.nodeReport(&machines[i]); matchesAny(in.GetNodeStates(), report.GetNodeState()) {
			out.NodeReports = append(out.NodeReports, report)
		}
	}
	return out, nil
}

// rootQueue is the parent of all queues.
const rootQueue = "root"

// queueInfo returns a queue without its applications. Its capacities are placeholders, since teams
// are guaranteed amounts and not shares.
func queueInfo(q *Queue) *pb.QueueInfoProto {
	return &pb.QueueInfoProto{
		QueueName:       proto.String(leafName(q.Path)),
		State:           pb.QueueStateProto_Q_RUNNING.Enum(),
		Capacity:        proto.Float32(0),
		MaximumCapacity: proto.Float32(1),
		CurrentCapacity: proto.Float32(0),
	}
}

// queueApplications returns the unfinished applications of a queue.
func (f *Frontend) queueApplications(ctx context.Context, q *Queue) ([]*pb.ApplicationReportProto, error) {
	return f.listApplications(ctx, applicationFilter{queues: []string{q.Path}, states: unfinishedStates})
}

// requestedQueue returns a queue. It includes the applications if the request asks for them.
func (f *Frontend) requestedQueue(ctx context.Context, q *Queue, in *pb.GetQueueInfoRequestProto) (*pb.QueueInfoProto, error) {
	info := queueInfo(q)
	if !in.GetIncludeApplications() {
		return info, nil
	}
	var err error
	info.Applications, err = f.queueApplications(ctx, q)
	return info, err
}

func (f *Frontend) getQueueInfo(ctx context.Context, _ *wire.Caller, in *pb.GetQueueInfoRequestProto) (*pb.GetQueueInfoResponseProto, error) {
	if in.GetQueueName() == rootQueue {
		root, err := f.rootQueueInfo(ctx, in)
		if err != nil {
			return nil, err
		}
		return &pb.GetQueueInfoResponseProto{QueueInfo: root}, nil
	}
	q, ok := f.settings.queue(in.GetQueueName())
	if !ok {
		return nil, wire.Errorf(wire.ClassYarn, "there is no queue %q", in.GetQueueName())
	}
	info, err := f.requestedQueue(ctx, q, in)
	return &pb.GetQueueInfoResponseProto{QueueInfo: info}, err
}

// rootQueueInfo returns the root queue. It includes all queues below if the request asks for them.
func (f *Frontend) rootQueueInfo(ctx context.Context, in *pb.GetQueueInfoRequestProto) (*pb.QueueInfoProto, error) {
	root := &pb.QueueInfoProto{
		QueueName:       proto.String(rootQueue),
		State:           pb.QueueStateProto_Q_RUNNING.Enum(),
		Capacity:        proto.Float32(1),
		MaximumCapacity: proto.Float32(1),
	}
	for i := range f.settings.Queues {
		child, err := f.requestedQueue(ctx, &f.settings.Queues[i], in)
		if err != nil {
			return nil, err
		}
		if in.GetIncludeChildQueues() || in.GetRecursive() {
			root.ChildQueues = append(root.ChildQueues, child)
		}
	}
	return root, nil
}
