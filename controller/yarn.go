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

// This file is where YARN's clients come in; the door itself is package yarn.

// OpenYARN makes the node serve YARN's clients as well. It is to be called before
// Run; without it no port is opened and nothing is kept for them.
func (n *Node) OpenYARN(s *yarn.Settings) {
	n.jobs.TrackReservations()
	n.yarnSettings = s
	sl := n.cfg.Cluster.State
	n.yarn = yarn.New(s, n.userKV, n.jobs, yarnCore{n}, n.log, sl.TxnOps, int(sl.ValueKB*1024)-512)
}

// serveYARN serves the door until ctx ends.
func (n *Node) serveYARN(ctx context.Context) error {
	l, err := n.network.Listen("tcp", n.yarnSettings.Listen)
	if err != nil {
		return fmt.Errorf("yarn: listen: %w", err)
	}
	return n.yarn.Server().Serve(ctx, l)
}

// serveYARNREST serves its REST interface until ctx ends.
func (n *Node) serveYARNREST(ctx context.Context) error {
	srv := &http.Server{Handler: n.yarn.REST(), WriteTimeout: 15 * time.Second, IdleTimeout: time.Minute}
	return n.serveHTTP(ctx, srv, "yarn: rest", n.yarnSettings.REST, n.yarnSettings.MaxConns)
}

// yarnCore is the node as the door sees it.
type yarnCore struct{ n *Node }

func (c yarnCore) Judge(j *wire.Job) (int, error) { return c.n.checkFeasible(j) }
func (c yarnCore) Types() []wire.MachineType      { return c.n.machineTypes() }
func (c yarnCore) Leads() bool                    { return c.n.isLeader() }

// Machines are the leader's.
func (c yarnCore) Machines(ctx context.Context) ([]yarn.Machine, error) {
	if b := c.n.Machines(); b != nil {
		return readMachines(b)
	}
	p := c.n.peerNamed(c.n.elector.Leader())
	if p == nil {
		return nil, errors.New("no leader is known")
	}
	b, err := p.Machines(ctx)
	if err != nil {
		return nil, err
	}
	return readMachines(b)
}

func readMachines(b []byte) ([]yarn.Machine, error) {
	var out []yarn.Machine
	if len(b) == 0 {
		return nil, errors.New("the leader does not answer")
	}
	err := json.Unmarshal(b, &out)
	return out, err
}

// Machines implements peerrpc.Handler: the machines as this node sees them if it
// leads, as JSON; nil otherwise.
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
