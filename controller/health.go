// Health checks: whether the key-value store and the peers respond, and whether this process
// stalls.

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
	"github.com/umberdeal/umberdeal/peerrpc"
)

// kvReachable reports whether the key-value store serves this node. This is the case if its
// last response was successful and recent.
func (n *Node) kvReachable() bool {
	lastSuccess, lastFailure := n.kv.LastOutcomes()
	return lastSuccess.After(lastFailure) && time.Since(lastSuccess) < 5*time.Second
}

const (
	kvProbeTimeout = 900 * time.Millisecond
	// kvProbeRateShare is the share of the key-value store's request rate that the probes of
	// all nodes may take together.
	kvProbeRateShare = 0.05
	// kvRetryInterval is the probe interval while the store does not answer.
	kvRetryInterval = time.Second
	// failedPeerProbeInterval is the pause between probes of a node that has not answered.
	// failedPeerProbeTimeout is how long to wait for the answer to a probe. For the sum of
	// both, after such a node recovers, other nodes may still write to its buckets and
	// conflict with the node itself.
	failedPeerProbeInterval = 300 * time.Millisecond
	failedPeerProbeTimeout  = 500 * time.Millisecond
)

// monitorKV probes the key-value store until ctx ends. While the store fails, it also probes
// the other nodes. It logs each change once, so that a wrong address or an outage is visible
// but does not flood the log.
func (n *Node) monitorKV(ctx context.Context) {
	reachable := true
	interval := config.Seconds(max(1, float64(n.cfg.Cluster.Size)/(kvProbeRateShare*n.cfg.Cluster.State.RPS)))
	for {
		err := n.probeKV(ctx)
		if ctx.Err() == nil && reachable != (err == nil) {
			reachable = err == nil
			if reachable {
				n.log.Info("key-value store reachable again")
			} else {
				n.log.Info("key-value store unreachable, retrying", "err", err)
			}
		}
		wait := interval
		if err == nil {
			n.mu.Lock()
			n.everConnected = true
			n.mu.Unlock()
		} else {
			n.probePeers(ctx)
			wait = kvRetryInterval
		}
		if !call.Pause(ctx, wait) {
			return
		}
	}
}

// probeKV sends one request to the key-value store. It returns nil if the store answers,
// also if it answers that it is busy.
func (n *Node) probeKV(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, kvProbeTimeout)
	defer cancel()
	_, err := n.kv.Get(ctx, election.LeaderKey)
	if errors.Is(err, kvstore.ErrRateLimited) {
		return nil
	}
	return err
}

// probePeers requests the status of all other nodes at once and waits for their answers. The
// results show which nodes can serve users' requests and heartbeats.
func (n *Node) probePeers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, p := range n.peers {
		wg.Go(func() {
			if _, err := p.Status(ctx, n.statusRequest()); err == nil {
				n.mu.Lock()
				n.lastPeerContact, n.everConnected = time.Now(), true
				n.mu.Unlock()
			}
		})
	}
	wg.Wait()
}

// monitorFailedPeers repeatedly probes the nodes that did not answer their last call, until
// ctx ends, so that no user's write has to wait for a node that is still down.
func (n *Node) monitorFailedPeers(ctx context.Context) {
	for call.Pause(ctx, failedPeerProbeInterval) {
		var probes sync.WaitGroup
		for _, p := range n.peers {
			if !p.FailedAt().IsZero() {
				probes.Go(func() { n.probeFailedPeer(ctx, p) })
			}
		}
		probes.Wait()
	}
}

// probeFailedPeer requests the status of a node once. The peerrpc.Peer records whether the
// node answered.
func (n *Node) probeFailedPeer(ctx context.Context, p *peerrpc.Peer) {
	ctx, cancel := context.WithTimeout(ctx, failedPeerProbeTimeout)
	defer cancel()
	if _, err := p.Status(ctx, n.statusRequest()); err == nil {
		n.log.Debug("peer answers again", "peer", p.Name)
	}
}

// ready reports whether this node can take requests, because the key-value store serves it or
// another node answers. During an outage of the store all nodes stay ready. Taking them out of
// service would not help users and would prolong the outage for them.
func (n *Node) ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.everConnected && (n.kvReachable() || time.Since(n.lastPeerContact) < 4*time.Second)
}

// stallCheckInterval is the time between two checks for a stall. It is a fraction of
// liveness.StallThreshold, so that no stall goes undetected.
const stallCheckInterval = 250 * time.Millisecond

// monitorStalls checks for stalls of this process until ctx ends, and logs each one. The
// scheduler and the scaler also check before they act on timeouts, because after a stall they
// may run before the next check of this loop.
func (n *Node) monitorStalls(ctx context.Context) {
	var reported time.Time
	for {
		n.stallDetector.Observe(time.Now())
		if resumed, duration := n.stallDetector.LastStall(); resumed.After(reported) {
			reported = resumed
			n.log.Info("process stalled", "seconds", duration.Round(time.Millisecond).Seconds(), "leading", n.activeLeadership() != nil)
		}
		if !call.Pause(ctx, stallCheckInterval) {
			return
		}
	}
}
