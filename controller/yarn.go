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

// This file connects a node to package yarn, which serves YARN's clients.

// OpenYARN makes the node serve YARN's clients as well. It must be called before Run;
// without it no port is opened and nothing is kept for them.
func (n *Node) OpenYARN(s *yarn.Settings) {
	n.jobs.TrackReservations()
	n.yarnSettings = s
	sl := n.cfg.Cluster.State
	n.yarn = yarn.New(s, n.userKV, n.jobs, yarnController{n}, n.log, yarn.StoreLimits{TxnOps: sl.TxnOps, ValueBytes: int(sl.ValueKB*1024) - 512})
}

// serveYARN serves YARN's RPC protocols until ctx ends.
func (n *Node) serveYARN(ctx context.Context) error {
	l, err := n.network.Listen("tcp", n.yarnSettings.Listen)
	if err != nil {
		return fmt.Errorf("yarn: listen: %w", err)
	}
	return n.yarn.Server().Serve(ctx, l)
}

// serveYARNREST serves YARN's REST interface until ctx ends.
func (n *Node) serveYARNREST(ctx context.Context) error {
	srv := &http.Server{Handler: n.yarn.REST(), WriteTimeout: 15 * time.Second, IdleTimeout: time.Minute}
	return n.serveHTTP(ctx, srv, "yarn: rest", n.yarnSettings.REST, n.yarnSettings.MaxConns)
}

// yarnController is the node as package yarn sees it.
type yarnController struct{ node *Node }

func (c yarnController) CheckFeasible(j *wire.Job) (int, error) { return c.node.checkFeasible(j) }
func (c yarnController) MachineTypes() []wire.MachineType       { return c.node.machineTypes() }
func (c yarnController) IsLeader() bool                         { return c.node.isLeader() }

// Machines returns the machines as the leader sees them, from a peer unless this node
// leads.
func (c yarnController) Machines(ctx context.Context) ([]yarn.Machine, error) {
	if b := c.node.Machines(); b != nil {
		return decodeMachines(b)
	}
	leader := c.node.peerNamed(c.node.elector.Leader())
	if leader == nil {
		return nil, errNoLeader
	}
	b, err := leader.Machines(ctx)
	if err != nil {
		return nil, err
	}
	return decodeMachines(b)
}

var (
	errNoLeader           = errors.New("no leader is known")
	errLeaderUnresponsive = errors.New("the leader does not answer")
)

func decodeMachines(b []byte) ([]yarn.Machine, error) {
	var out []yarn.Machine
	if len(b) == 0 {
		return nil, errLeaderUnresponsive
	}
	if err := json.Unmarshal(b, &out); err != nil {
		return out, fmt.Errorf("decode the leader's machines: %w", err)
	}
	return out, nil
}

// Machines implements peerrpc.Handler: it returns the machines as JSON if this node
// leads, and nil otherwise.
func (n *Node) Machines() []byte {
	l := n.activeLeadership()
	if l == nil || !l.lease.Valid() {
		return nil
	}
	now := time.Now()
	out := []yarn.Machine{}
	l.mu.Lock()
	for _, m := range l.model.Machines {
		if m.Gone || m.AgentEpoch == 0 || m.Zone < 0 {
			continue
		}
		out = append(out, yarn.Machine{Name: m.Name, Type: m.TypeName, Zone: l.model.Zones[m.Zone], Spot: m.Spot, Up: l.model.Ready(m, now),
			Tasks: len(m.Tasks), CPUs: m.Used.CPU, GPUs: m.Used.GPU, MemGB: m.Used.Mem})
	}
	l.mu.Unlock()
	b, err := json.Marshal(out)
	if err != nil {
		return nil
	}
	return b
}
