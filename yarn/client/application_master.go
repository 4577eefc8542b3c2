package client

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/yarn/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// AnyNode is the resource name of containers that may run on any node.
const AnyNode = "*"

// ContainerRequest describes one kind of container: its resources, and where it may run.
type ContainerRequest struct {
	Priority      int32
	ResourceName  string // AnyNode, "/rack" or a node
	RelaxLocality bool
	NodeLabel     string
	MemoryMB      int64
	VCores        int32
	GPUs          int64
	GPUName       string
}

// resourceRequest returns a request for a number of such containers.
func (r ContainerRequest) resourceRequest(count int) *pb.ResourceRequestProto {
	capability := &pb.ResourceProto{Memory: proto.Int64(r.MemoryMB), VirtualCores: proto.Int32(r.VCores)}
	if r.GPUs > 0 {
		capability.ResourceValueMap = []*pb.ResourceInformationProto{{Key: proto.String(r.GPUName), Value: proto.Int64(r.GPUs), Units: proto.String("")}}
	}
	out := &pb.ResourceRequestProto{
		Priority:      &pb.PriorityProto{Priority: proto.Int32(r.Priority)},
		ResourceName:  proto.String(r.ResourceName),
		Capability:    capability,
		NumContainers: proto.Int32(int32(count)),
		RelaxLocality: proto.Bool(r.RelaxLocality),
	}
	if r.NodeLabel != "" {
		out.NodeLabelExpression = proto.String(r.NodeLabel)
	}
	return out
}

// matches reports whether an allocated container may be of this kind. GPUs and locality are not
// compared.
func (r ContainerRequest) matches(c *pb.ContainerProto) bool {
	return r.Priority == c.GetPriority().GetPriority() &&
		r.MemoryMB == c.GetResource().GetMemory() && r.VCores == c.GetResource().GetVirtualCores()
}

// Update is what has changed by a heartbeat.
type Update struct {
	Allocated  []*pb.ContainerProto
	Completed  []*pb.ContainerStatusProto
	Preempting []*pb.ContainerIdProto
	Resynced   bool // the master has registered again; its containers keep running
	Shutdown   bool // the application, or this attempt, has ended
}

// ApplicationMaster runs an application's containers. It keeps account of the containers that it
// has requested and of those that it has, also when the service makes it register again. Its
// methods may be called concurrently, but only one of Register, Heartbeat and Run at a time.
type ApplicationMaster struct {
	resourceManager, nodeManager *failoverConn

	mu         sync.Mutex
	responseID int32
	pending    map[ContainerRequest]int  // how many containers are requested and not allocated yet
	unsent     map[ContainerRequest]bool // requests that the next heartbeat has to carry
	releases   []*pb.ContainerIdProto
	blacklist  *pb.ResourceBlacklistRequestProto
	containers map[int64]*pb.ContainerProto
	completed  map[int64]bool
}

// NewApplicationMaster returns a master that authenticates itself with a token.
func NewApplicationMaster(cfg Config, token *pb.TokenProto) *ApplicationMaster {
	return &ApplicationMaster{
		resourceManager: newFailoverConn(cfg, ProtoMaster, token),
		nodeManager:     newFailoverConn(cfg, ProtoManager, nil),
		pending:         map[ContainerRequest]int{},
		unsent:          map[ContainerRequest]bool{},
		containers:      map[int64]*pb.ContainerProto{},
		completed:       map[int64]bool{},
	}
}

// Close closes the master's connections. The application goes on until its master's timeout.
func (m *ApplicationMaster) Close() {
	m.resourceManager.close()
	m.nodeManager.close()
}

// Register begins the master's session.
func (m *ApplicationMaster) Register(ctx context.Context) (*pb.RegisterApplicationMasterResponseProto, error) {
	out, _, err := m.startSession(ctx)
	return out, err
}

// startSession registers the master. It also returns the containers that the service lists and
// of which the master did not know, since the response that allocated them was lost.
func (m *ApplicationMaster) startSession(ctx context.Context) (*pb.RegisterApplicationMasterResponseProto, []*pb.ContainerProto, error) {
	var out pb.RegisterApplicationMasterResponseProto
	in := &pb.RegisterApplicationMasterRequestProto{Host: proto.String(""), RpcPort: proto.Int32(-1)}
	if err := m.resourceManager.call(ctx, "registerApplicationMaster", in, &out); err != nil {
		return nil, nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.responseID = 0
	var unknown []*pb.ContainerProto
	for _, c := range out.GetContainersFromPreviousAttempts() {
		if m.addContainer(c) {
			unknown = append(unknown, c)
		}
	}
	for _, t := range out.GetNmTokensFromPreviousAttempts() {
		m.nodeManager.setToken(t.GetToken())
	}
	for request := range m.pending {
		m.unsent[request] = true
	}
	return &out, unknown, nil
}

// addContainer adds an allocated container; it returns false if it was added before.
func (m *ApplicationMaster) addContainer(c *pb.ContainerProto) bool {
	id := c.GetId().GetId()
	if m.containers[id] != nil || m.completed[id] {
		return false
	}
	m.containers[id] = c
	for request, n := range m.pending {
		if n > 0 && request.matches(c) {
			m.pending[request] = n - 1
			break
		}
	}
	return true
}

// Request sets how many containers of a kind are wanted in addition to those allocated. It
// replaces an earlier number, and is sent with the next heartbeat.
func (m *ApplicationMaster) Request(request ContainerRequest, count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending[request], m.unsent[request] = count, true
}

// Pending returns how many containers are requested and not allocated yet.
func (m *ApplicationMaster) Pending() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := 0
	for _, n := range m.pending {
		total += n
	}
	return total
}

// Release releases a container with the next heartbeat.
func (m *ApplicationMaster) Release(id *pb.ContainerIdProto) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.releases = append(m.releases, id)
}

// UpdateBlacklist changes the blacklist with the next heartbeat: no container is allocated on
// the nodes that are in it. A change that was not sent yet is replaced.
func (m *ApplicationMaster) UpdateBlacklist(additions, removals []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.blacklist = &pb.ResourceBlacklistRequestProto{BlacklistAdditions: additions, BlacklistRemovals: removals}
}

// Containers lists the containers that are allocated and not completed.
func (m *ApplicationMaster) Containers() []*pb.ContainerProto {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*pb.ContainerProto
	for _, c := range m.containers {
		out = append(out, c)
	}
	return out
}

// Heartbeat sends what has changed and returns what is new in the answer. If the service does
// not know the master's session any more, the master registers again and repeats its requests.
func (m *ApplicationMaster) Heartbeat(ctx context.Context) (Update, error) {
	var update Update
	for {
		in, sent := m.allocateRequest()
		var out pb.AllocateResponseProto
		err := m.resourceManager.call(ctx, "allocate", in, &out)
		if needsResync(&out, err) {
			_, unknown, err := m.startSession(ctx)
			if err != nil {
				return update, err
			}
			update.Resynced = true
			update.Allocated = append(update.Allocated, unknown...)
			continue
		}
		if err != nil {
			return update, err
		}
		m.applyResponse(&out, in, sent, &update)
		return update, nil
	}
}

// needsResync reports whether the answer to a heartbeat is that the session is not known.
func needsResync(out *pb.AllocateResponseProto, err error) bool {
	if err != nil {
		return wire.IsClass(err, wire.ClassNotReg)
	}
	return out.AMCommand != nil && out.GetAMCommand() == pb.AMCommandProto_AM_RESYNC
}

// allocateRequest returns the next heartbeat, which has only what has changed, and the container
// requests in it.
func (m *ApplicationMaster) allocateRequest() (*pb.AllocateRequestProto, []ContainerRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	in := &pb.AllocateRequestProto{ResponseId: proto.Int32(m.responseID), Progress: proto.Float32(0)}
	var sent []ContainerRequest
	for request := range m.unsent {
		in.Ask = append(in.Ask, request.resourceRequest(m.pending[request]))
		sent = append(sent, request)
	}
	in.Release = append(in.Release, m.releases...)
	in.BlacklistRequest = m.blacklist
	return in, sent
}

// applyResponse applies the answer to a heartbeat to the master's state, and adds what is new to
// the update. An answer may repeat parts of earlier ones.
func (m *ApplicationMaster) applyResponse(out *pb.AllocateResponseProto, in *pb.AllocateRequestProto, sent []ContainerRequest, update *Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if out.AMCommand != nil && out.GetAMCommand() == pb.AMCommandProto_AM_SHUTDOWN {
		update.Shutdown = true
		return
	}
	m.responseID = out.GetResponseId()
	for _, request := range sent {
		delete(m.unsent, request)
	}
	m.releases = m.releases[len(in.Release):]
	if m.blacklist == in.BlacklistRequest {
		m.blacklist = nil
	}
	if token := out.GetAmRmToken(); token != nil {
		m.resourceManager.setToken(token)
	}
	for _, token := range out.GetNmTokens() {
		m.nodeManager.setToken(token.GetToken())
	}
	for _, c := range out.GetAllocatedContainers() {
		if m.addContainer(c) {
			update.Allocated = append(update.Allocated, c)
		}
	}
	for _, status := range out.GetCompletedContainerStatuses() {
		id := status.GetContainerId().GetId()
		if m.completed[id] {
			continue
		}
		m.completed[id] = true
		delete(m.containers, id)
		update.Completed = append(update.Completed, status)
	}
	for _, c := range out.GetPreempt().GetStrictContract().GetContainer() {
		update.Preempting = append(update.Preempting, c.GetId())
	}
}

// Start starts containers. For those that could not be started it returns the reason, by
// container number.
func (m *ApplicationMaster) Start(ctx context.Context, launch *pb.ContainerLaunchContextProto, containers ...*pb.ContainerProto) (map[int64]string, error) {
	in := &pb.StartContainersRequestProto{}
	for _, c := range containers {
		in.StartContainerRequest = append(in.StartContainerRequest, &pb.StartContainerRequestProto{ContainerLaunchContext: launch, ContainerToken: c.GetContainerToken()})
	}
	var out pb.StartContainersResponseProto
	if err := m.nodeManager.call(ctx, "startContainers", in, &out); err != nil {
		return nil, err
	}
	failed := map[int64]string{}
	for _, f := range out.GetFailedRequests() {
		failed[f.GetContainerId().GetId()] = f.GetException().GetMessage()
	}
	return failed, nil
}

// Stop stops containers.
func (m *ApplicationMaster) Stop(ctx context.Context, ids ...*pb.ContainerIdProto) error {
	return m.nodeManager.call(ctx, "stopContainers", &pb.StopContainersRequestProto{ContainerId: ids}, &pb.StopContainersResponseProto{})
}

// Statuses returns the statuses of containers.
func (m *ApplicationMaster) Statuses(ctx context.Context, ids ...*pb.ContainerIdProto) ([]*pb.ContainerStatusProto, error) {
	var out pb.GetContainerStatusesResponseProto
	err := m.nodeManager.call(ctx, "getContainerStatuses", &pb.GetContainerStatusesRequestProto{ContainerId: ids}, &out)
	return out.GetStatus(), err
}

// ErrNotUnregistered is returned by Finish if the service did not end the application.
var ErrNotUnregistered = errors.New("yarn client: not unregistered")

// Finish ends the application with a final status. It also returns nil if the token is refused:
// the application has ended already, by an earlier call whose answer was lost, or for another
// reason, which is in the application's report.
func (m *ApplicationMaster) Finish(ctx context.Context, status pb.FinalApplicationStatusProto, diagnostics string) error {
	in := &pb.FinishApplicationMasterRequestProto{Diagnostics: &diagnostics, FinalApplicationStatus: &status}
	var out pb.FinishApplicationMasterResponseProto
	err := m.resourceManager.call(ctx, "finishApplicationMaster", in, &out)
	if wire.IsClass(err, wire.ClassInvalidToken) {
		return nil
	}
	if err != nil {
		return err
	}
	if !out.GetIsUnregistered() {
		return ErrNotUnregistered
	}
	return nil
}

// Run sends a heartbeat every interval and calls handle with its Update, until handle returns
// false, the application has ended, a heartbeat fails, or ctx ends.
func (m *ApplicationMaster) Run(ctx context.Context, interval time.Duration, handle func(Update) bool) error {
	for {
		update, err := m.Heartbeat(ctx)
		if err != nil {
			return err
		}
		if !handle(update) || update.Shutdown {
			return nil
		}
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}
