// The connection between a node and package yarn, which serves YARN clients.

package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/umberdeal/umberdeal/wire"
	"github.com/umberdeal/umberdeal/yarn"
)

// OpenYARN makes the node also serve YARN clients. It must be called before Run. If it is not
// called, the node opens no port and keeps no data for YARN clients.
func (n *Node) OpenYARN(settings *yarn.Settings) {
	n.jobs.TrackReservations()
	n.yarnSettings = settings
	limits := n.cfg.Cluster.State
	n.yarn = yarn.New(settings, n.userKV, n.jobs, yarnController{n}, n.log, yarn.StoreLimits{TxnOps: limits.TxnOps, ValueBytes: int(limits.ValueKB*1024) - 512})
}

// serveYARN serves YARN's RPC protocols until ctx ends.
func (n *Node) serveYARN(ctx context.Context) error {
	listener, err := n.network.Listen("tcp", n.yarnSettings.Listen)
	if err != nil {
		return fmt.Errorf("yarn: listen: %w", err)
	}
	return n.yarn.Server().Serve(ctx, listener)
}

// serveYARNREST serves YARN's REST interface until ctx ends.
func (n *Node) serveYARNREST(ctx context.Context) error {
	srv := &http.Server{Handler: n.yarn.REST(), WriteTimeout: 15 * time.Second, IdleTimeout: time.Minute}
	return n.serveHTTP(ctx, srv, "yarn: rest", n.yarnSettings.REST, n.yarnSettings.MaxConns)
}

// yarnController implements the interface through which package yarn uses a node.
type yarnController struct{ node *Node }

func (c yarnController) CheckFeasible(j *wire.Job) (int, error) { return c.node.checkFeasible(j) }
func (c yarnController) MachineTypes() []wire.MachineType       { return c.node.machineTypes() }
func (c yarnController) IsLeader() bool                         { return c.node.isLeader() }

// Machines returns the machines in the leader's model. If this node does not lead, it asks the
// leader. It returns an error if no leader is known or the leader does not answer.
func (c yarnController) Machines(ctx context.Context) ([]yarn.Machine, error) {
	if encoded := c.node.Machines(); encoded != nil {
		return decodeMachines(encoded)
	}
	leader := c.node.peerNamed(c.node.elector.Leader())
	if leader == nil {
		return nil, errNoLeader
	}
	encoded, err := leader.Machines(ctx)
	if err != nil {
		return nil, err
	}
	return decodeMachines(encoded)
}

var (
	errNoLeader           = errors.New("no leader is known")
	errLeaderUnresponsive = errors.New("the leader does not answer")
)

// decodeMachines decodes the leader's answer. An empty answer means that the node asked does not
// lead, and is an error.
func decodeMachines(encoded []byte) ([]yarn.Machine, error) {
	var machines []yarn.Machine
	if len(encoded) == 0 {
		return nil, errLeaderUnresponsive
	}
	if err := json.Unmarshal(encoded, &machines); err != nil {
		return machines, fmt.Errorf("decode the leader's machines: %w", err)
	}
	return machines, nil
}

// Machines implements peerrpc.Handler. If this node leads with a valid lease, it returns the
// machines that are present, as a JSON list of yarn.Machine. Otherwise it returns nil.
func (n *Node) Machines() []byte {
	l := n.activeLeadership()
	if l == nil || !l.lease.Valid() {
		return nil
	}
	now := time.Now()
	machines := []yarn.Machine{}
	l.mu.Lock()
	for _, m := range l.model.Machines {
		if m.Gone || m.AgentEpoch == 0 || m.Zone < 0 {
			continue
		}
		machines = append(machines, yarn.Machine{Name: m.Name, Type: m.TypeName, Zone: l.model.Zones[m.Zone], Spot: m.Spot, Up: l.model.Ready(m, now),
			Tasks: len(m.Tasks), CPUs: m.Used.CPU, GPUs: m.Used.GPU, MemGB: m.Used.Mem})
	}
	l.mu.Unlock()
	encoded, err := json.Marshal(machines)
	if err != nil {
		return nil
	}
	return encoded
}
