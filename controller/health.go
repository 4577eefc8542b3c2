package controller

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/election"
	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/kvstore"
)

// kvReachable says whether the state service serves this node.
func (n *Node) kvReachable() bool {
	ok, bad := n.kv.LastOutcomes()
	return ok.After(bad) && time.Since(ok) < 5*time.Second
}

// monitorKV probes the state service, and the other nodes while it fails. An
// operator who gave a wrong address, or whose service is out, is told so once.
func (n *Node) monitorKV(ctx context.Context) {
	served := true
	// All nodes' probes together are a twentieth of what the service takes.
	every := config.Seconds(max(1, float64(n.cfg.Cluster.Size)/(0.05*n.cfg.Cluster.State.RPS)))
	for {
		pctx, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
		_, err := n.kv.Get(pctx, election.LeaderKey)
		cancel()
		if errors.Is(err, kvstore.ErrRateLimited) {
			err = nil // it is there, and busy
		}
		if ctx.Err() == nil && served != (err == nil) {
			served = err == nil
			if served {
				n.log.Info("state service reached again")
			} else {
				n.log.Info("state service not reached, retrying", "err", err)
			}
		}
		if err == nil {
			n.mu.Lock()
			n.everConnected = true
			n.mu.Unlock()
		} else {
			n.probePeers(ctx)
		}
		wait := time.Second
		if err == nil {
			wait = every
		}
		if !call.Pause(ctx, wait) {
			return
		}
	}
}

func (n *Node) probePeers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, p := range n.peers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if _, err := p.Status(ctx, n.statusRequest()); err == nil {
				n.mu.Lock()
				n.lastPeerContact, n.everConnected = time.Now(), true
				n.mu.Unlock()
			}
		}()
	}
	wg.Wait()
}

// ready says whether this node can take requests: the state service serves it,
// or another node can be asked. In an outage of the state service every node
// stays ready, since going away would only make its end later for the users.
func (n *Node) ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.everConnected && (n.kvReachable() || time.Since(n.lastPeerContact) < 4*time.Second)
}

// stallCheckInterval is how often the process is observed: several times within
// liveness.StallThreshold, so that no stall goes unnoticed.
const stallCheckInterval = 250 * time.Millisecond

// monitorStalls observes the process until ctx ends, and tells the operator of each
// stall. The scheduler and the scaler observe as well, before they act on timeouts,
// so that none of them acts between a stall and the next tick here.
func (n *Node) monitorStalls(ctx context.Context) {
	var reported time.Time
	for {
		n.stalls.Observe(time.Now())
		if resumed, duration := n.stalls.LastStall(); resumed.After(reported) {
			reported = resumed
			n.log.Info("process stalled", "seconds", duration.Round(time.Millisecond).Seconds(), "leading", n.activeLeadership() != nil)
		}
		if !call.Pause(ctx, stallCheckInterval) {
			return
		}
	}
}
