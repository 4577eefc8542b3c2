package client

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/yarn/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// Ask is one kind of container.
type Ask struct {
	Priority int32
	Name     string // "*", "/rack" or a node
	Relax    bool
	Label    string
	MemoryMB int64
	VCores   int32
	GPUs     int64
	GPUName  string
}

func (a Ask) request(n int) *pb.ResourceRequestProto {
	r := &pb.ResourceProto{Memory: proto.Int64(a.MemoryMB), VirtualCores: proto.Int32(a.VCores)}
	if a.GPUs > 0 {
		r.ResourceValueMap = []*pb.ResourceInformationProto{{Key: proto.String(a.GPUName), Value: proto.Int64(a.GPUs), Units: proto.String("")}}
	}
	out := &pb.ResourceRequestProto{Priority: &pb.PriorityProto{Priority: proto.Int32(a.Priority)}, ResourceName: proto.String(a.Name), Capability: r,
		NumContainers: proto.Int32(int32(n)), RelaxLocality: proto.Bool(a.Relax)}
	if a.Label != "" {
		out.NodeLabelExpression = proto.String(a.Label)
	}
	return out
}

// News is what a heartbeat brought.
type News struct {
	Allocated  []*pb.ContainerProto
	Completed  []*pb.ContainerStatusProto
	Preempting []*pb.ContainerIdProto
	Resynced   bool // registered anew; what ran goes on
	Shutdown   bool // the application is over
}

// Master is an application master. It keeps what it wants and what it has, and
// brings both into a new session whenever the service asks it to.
type Master struct {
	rm, nm *link

	mu       sync.Mutex
	response int32
	wants    map[Ask]int // still wanted
	say      map[Ask]bool
	release  []*pb.ContainerIdProto
	shun     *pb.ResourceBlacklistRequestProto
	has      map[int64]*pb.ContainerProto
	ended    map[int64]bool
}

// NewMaster makes a master with its token.
func NewMaster(cfg Config, token *pb.TokenProto) *Master {
	return &Master{rm: newLink(cfg, ProtoMaster, token), nm: newLink(cfg, ProtoManager, nil),
		wants: map[Ask]int{}, say: map[Ask]bool{}, has: map[int64]*pb.ContainerProto{}, ended: map[int64]bool{}}
}

// Close ends its connections, without a word to the service.
func (m *Master) Close() {
	m.rm.close()
	m.nm.close()
}

// Register begins the session.
func (m *Master) Register(ctx context.Context) (*pb.RegisterApplicationMasterResponseProto, error) {
	out, _, err := m.register(ctx)
	return out, err
}

func (m *Master) register(ctx context.Context) (*pb.RegisterApplicationMasterResponseProto, []*pb.ContainerProto, error) {
	var out pb.RegisterApplicationMasterResponseProto
	err := m.rm.call(ctx, "registerApplicationMaster", &pb.RegisterApplicationMasterRequestProto{Host: proto.String(""), RpcPort: proto.Int32(-1)}, &out)
	if err != nil {
		return nil, nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.response = 0
	// What was allocated and not heard of is ours all the same, and no longer
	// wanted.
	var fresh []*pb.ContainerProto
	for _, c := range out.GetContainersFromPreviousAttempts() {
		if m.take(c) {
			fresh = append(fresh, c)
		}
	}
	for _, t := range out.GetNmTokensFromPreviousAttempts() {
		m.nm.use(t.GetToken())
	}
	for a := range m.wants {
		m.say[a] = true
	}
	return &out, fresh, nil
}

// take counts a container as had; false if it was already.
func (m *Master) take(c *pb.ContainerProto) bool {
	id := c.GetId().GetId()
	if m.has[id] != nil || m.ended[id] {
		return false
	}
	m.has[id] = c
	for a, n := range m.wants {
		if n > 0 && a.Priority == c.GetPriority().GetPriority() && a.MemoryMB == c.GetResource().GetMemory() && a.VCores == c.GetResource().GetVirtualCores() {
			m.wants[a] = n - 1
			break
		}
	}
	return true
}

// Want says how many more containers of a kind are wanted than are had.
func (m *Master) Want(a Ask, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wants[a], m.say[a] = n, true
}

// Wanted is how many containers are still waited for.
func (m *Master) Wanted() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, k := range m.wants {
		n += k
	}
	return n
}

// Release gives a container back.
func (m *Master) Release(id *pb.ContainerIdProto) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.release = append(m.release, id)
}

// Shun changes the blacklist: no container is wanted on nodes that are added.
func (m *Master) Shun(add, remove []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shun = &pb.ResourceBlacklistRequestProto{BlacklistAdditions: add, BlacklistRemovals: remove}
}

// Has lists the containers that are had.
func (m *Master) Has() []*pb.ContainerProto {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*pb.ContainerProto
	for _, c := range m.has {
		out = append(out, c)
	}
	return out
}

// Beat is a heartbeat. Where the service does not know the session any more, the
// master registers anew and asks again for what it still wants.
func (m *Master) Beat(ctx context.Context) (News, error) {
	var news News
	for {
		in, asked := m.heartbeat()
		var out pb.AllocateResponseProto
		err := m.rm.call(ctx, "allocate", in, &out)
		resync := wire.IsClass(err, wire.ClassNotReg) || err == nil && out.AMCommand != nil && out.GetAMCommand() == pb.AMCommandProto_AM_RESYNC
		if resync {
			_, fresh, err := m.register(ctx)
			if err != nil {
				return news, err
			}
			news.Resynced = true
			news.Allocated = append(news.Allocated, fresh...)
			continue
		}
		if err != nil {
			return news, err
		}
		m.digest(&out, in, asked, &news)
		return news, nil
	}
}

// heartbeat is what the next one says: what has changed only.
func (m *Master) heartbeat() (*pb.AllocateRequestProto, []Ask) {
	m.mu.Lock()
	defer m.mu.Unlock()
	in := &pb.AllocateRequestProto{ResponseId: proto.Int32(m.response), Progress: proto.Float32(0)}
	var asked []Ask
	for a := range m.say {
		in.Ask = append(in.Ask, a.request(m.wants[a]))
		asked = append(asked, a)
	}
	in.Release = append(in.Release, m.release...)
	in.BlacklistRequest = m.shun
	return in, asked
}

func (m *Master) digest(out *pb.AllocateResponseProto, in *pb.AllocateRequestProto, asked []Ask, news *News) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if out.AMCommand != nil && out.GetAMCommand() == pb.AMCommandProto_AM_SHUTDOWN {
		news.Shutdown = true
		return
	}
	m.response = out.GetResponseId()
	for _, a := range asked {
		delete(m.say, a)
	}
	m.release = m.release[len(in.Release):]
	if m.shun == in.BlacklistRequest {
		m.shun = nil
	}
	if t := out.GetAmRmToken(); t != nil {
		m.rm.use(t)
	}
	for _, t := range out.GetNmTokens() {
		m.nm.use(t.GetToken())
	}
	for _, c := range out.GetAllocatedContainers() {
		if m.take(c) {
			news.Allocated = append(news.Allocated, c)
		}
	}
	for _, s := range out.GetCompletedContainerStatuses() {
		id := s.GetContainerId().GetId()
		if m.ended[id] {
			continue
		}
		m.ended[id] = true
		delete(m.has, id)
		news.Completed = append(news.Completed, s)
	}
	for _, p := range out.GetPreempt().GetStrictContract().GetContainer() {
		news.Preempting = append(news.Preempting, p.GetId())
	}
}

// Start starts containers; failed ones are returned with the reason.
func (m *Master) Start(ctx context.Context, launch *pb.ContainerLaunchContextProto, cs ...*pb.ContainerProto) (map[int64]string, error) {
	in := &pb.StartContainersRequestProto{}
	for _, c := range cs {
		in.StartContainerRequest = append(in.StartContainerRequest, &pb.StartContainerRequestProto{ContainerLaunchContext: launch, ContainerToken: c.GetContainerToken()})
	}
	var out pb.StartContainersResponseProto
	if err := m.nm.call(ctx, "startContainers", in, &out); err != nil {
		return nil, err
	}
	failed := map[int64]string{}
	for _, f := range out.GetFailedRequests() {
		failed[f.GetContainerId().GetId()] = f.GetException().GetMessage()
	}
	return failed, nil
}

// Stop stops containers.
func (m *Master) Stop(ctx context.Context, ids ...*pb.ContainerIdProto) error {
	return m.nm.call(ctx, "stopContainers", &pb.StopContainersRequestProto{ContainerId: ids}, &pb.StopContainersResponseProto{})
}

// Statuses asks how containers are.
func (m *Master) Statuses(ctx context.Context, ids ...*pb.ContainerIdProto) ([]*pb.ContainerStatusProto, error) {
	var out pb.GetContainerStatusesResponseProto
	err := m.nm.call(ctx, "getContainerStatuses", &pb.GetContainerStatusesRequestProto{ContainerId: ids}, &out)
	return out.GetStatus(), err
}

// Finish ends the application. A token that was good and is refused now says that
// the application is over: by an earlier try whose answer was lost, or for another
// reason, which its report tells.
func (m *Master) Finish(ctx context.Context, ok bool, why string) error {
	st := pb.FinalApplicationStatusProto_APP_SUCCEEDED
	if !ok {
		st = pb.FinalApplicationStatusProto_APP_FAILED
	}
	var out pb.FinishApplicationMasterResponseProto
	err := m.rm.call(ctx, "finishApplicationMaster", &pb.FinishApplicationMasterRequestProto{Diagnostics: &why, FinalApplicationStatus: &st}, &out)
	if wire.IsClass(err, wire.ClassInvalidToken) {
		return nil
	}
	if err != nil {
		return err
	}
	if !out.GetIsUnregistered() {
		return fmt.Errorf("yarn client: not unregistered")
	}
	return nil
}

// Serve heartbeats every so often, and hands what it brings to take until that
// returns false, the application is over, or ctx ends.
func (m *Master) Serve(ctx context.Context, every time.Duration, take func(News) bool) error {
	for {
		news, err := m.Beat(ctx)
		if err != nil {
			return err
		}
		if !take(news) || news.Shutdown {
			return nil
		}
		t := time.NewTimer(every)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
	}
}
