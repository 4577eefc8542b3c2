// The client library for application masters.

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

// ContainerRequest describes one kind of container: its resources and where it may run.
type ContainerRequest struct {
	Priority      int32
	ResourceName  string // AnyNode, "/" and the name of a rack, or the name of a node
	RelaxLocality bool   // as in YARN's ResourceRequest
	NodeLabel     string // empty: none
	MemoryMB      int64
	VCores        int32
	GPUs          int64
	GPUName       string // resource name of the GPUs, such as "yarn.io/gpu"
}

// resourceRequest returns the message that requests count containers of this kind.
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

// matches reports whether an allocated container may be of this kind. It does not compare GPUs and
// locality.
func (r ContainerRequest) matches(c *pb.ContainerProto) bool {
	return r.Priority == c.GetPriority().GetPriority() &&
		r.MemoryMB == c.GetResource().GetMemory() && r.VCores == c.GetResource().GetVirtualCores()
}

// Update contains the changes that a heartbeat has reported.
type Update struct {
	Allocated  []*pb.ContainerProto       // new containers, to be started
	Completed  []*pb.ContainerStatusProto // ended containers
	Preempting []*pb.ContainerIdProto     // containers that the service is about to stop
	Resynced   bool                       // whether the master has registered again; its containers keep running
	Shutdown   bool                       // whether the application or this attempt has ended
}

// ApplicationMaster runs the containers of an application. It tracks the requested and the
// allocated containers, also when the service makes it register again. Its methods are safe for
// concurrent use, but only one call of Register, Heartbeat or Run may run at a time.
type ApplicationMaster struct {
	resourceManager, nodeManager *failoverConn

	mu         sync.Mutex
	responseID int32
	pending    map[ContainerRequest]int          // number of containers that are requested and not allocated yet
	unsent     map[ContainerRequest]bool         // requests that the next heartbeat sends
	releases   []*pb.ContainerIdProto            // releases that the next heartbeat sends
	blacklist  *pb.ResourceBlacklistRequestProto // change that the next heartbeat sends; nil: none
	containers map[int64]*pb.ContainerProto      // allocated and not completed, by container number
	completed  map[int64]bool                    // by container number
}

// NewApplicationMaster returns a master that authenticates itself with a token.
func NewApplicationMaster(cfg Config, token *pb.TokenProto) *ApplicationMaster {
	return &ApplicationMaster{
		resourceManager: newFailoverConn(cfg, ProtoApplicationMaster, token),
		nodeManager:     newFailoverConn(cfg, ProtoContainerManagement, nil),
		pending:         map[ContainerRequest]int{},
		unsent:          map[ContainerRequest]bool{},
		containers:      map[int64]*pb.ContainerProto{},
		completed:       map[int64]bool{},
	}
}

// Close closes the connections of the master. It does not end the application: the service ends it
// after the master timeout.
func (m *ApplicationMaster) Close() {
	m.resourceManager.close()
	m.nodeManager.close()
}

// Register registers the master and returns the answer of the service.
func (m *ApplicationMaster) Register(ctx context.Context) (*pb.RegisterApplicationMasterResponseProto, error) {
	out, _, err := m.startSession(ctx)
	return out, err
}

// startSession registers the master. It also returns the containers in the response that the master
// did not know, since the response that allocated them was lost.
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

// addContainer adds an allocated container and lowers the pending number of its kind. It returns
// false if the container was added before. The caller must hold mu.
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

// Request sets the number of containers of a kind that the master wants in addition to the
// allocated ones. It replaces an earlier number. The next heartbeat sends it.
func (m *ApplicationMaster) Request(request ContainerRequest, count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending[request], m.unsent[request] = count, true
}

// Pending returns the number of containers that are requested and not allocated yet.
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

// UpdateBlacklist changes the blacklist with the next heartbeat. The service allocates no container
// on nodes in the blacklist. The change replaces an earlier change that was not sent yet.
func (m *ApplicationMaster) UpdateBlacklist(additions, removals []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.blacklist = &pb.ResourceBlacklistRequestProto{BlacklistAdditions: additions, BlacklistRemovals: removals}
}

// Containers returns the containers that are allocated and not completed, in no particular order.
func (m *ApplicationMaster) Containers() []*pb.ContainerProto {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*pb.ContainerProto
	for _, c := range m.containers {
		out = append(out, c)
	}
	return out
}

// Heartbeat sends the changes since the last heartbeat and returns the news in the answer. If the
// service has lost the session of the master, Heartbeat registers again and repeats the requests.
// With an error, the Update still contains the containers that were found by registering again.
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

// needsResync reports whether the answer to a heartbeat says that the service does not know the
// session.
func needsResync(out *pb.AllocateResponseProto, err error) bool {
	if err != nil {
		return wire.IsClass(err, wire.ClassNotReg)
	}
	return out.AMCommand != nil && out.GetAMCommand() == pb.AMCommandProto_AM_RESYNC
}

// allocateRequest returns the next heartbeat and the container requests in it. The heartbeat
// contains only changes.
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

// applyResponse applies the answer to a heartbeat to the state of the master and adds the news to
// update. It ignores parts that repeat earlier answers.
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

// Start starts containers, all with the same launch context. It returns the error texts of the
// containers that could not be started, by container number. The error is set only if the call as
// a whole has failed.
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

// Stop asks the service to stop containers. It does not report failures of single containers.
func (m *ApplicationMaster) Stop(ctx context.Context, ids ...*pb.ContainerIdProto) error {
	return m.nodeManager.call(ctx, "stopContainers", &pb.StopContainersRequestProto{ContainerId: ids}, &pb.StopContainersResponseProto{})
}

// Statuses returns the statuses of containers. It omits containers whose status the service could
// not read.
func (m *ApplicationMaster) Statuses(ctx context.Context, ids ...*pb.ContainerIdProto) ([]*pb.ContainerStatusProto, error) {
	var out pb.GetContainerStatusesResponseProto
	err := m.nodeManager.call(ctx, "getContainerStatuses", &pb.GetContainerStatusesRequestProto{ContainerId: ids}, &out)
	return out.GetStatus(), err
}

// ErrNotUnregistered is returned by Finish if the service did not end the application.
var ErrNotUnregistered = errors.New("yarn client: application master not unregistered")

// Finish ends the application with a final status. It also returns nil if the token is refused,
// since the application has ended already. Either the answer to an earlier call was lost, or the
// report of the application tells the reason.
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

// Run sends a heartbeat every interval and calls handle with its Update. It returns nil when handle
// returns false or the application has ended. It returns an error if a heartbeat fails or ctx ends.
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
