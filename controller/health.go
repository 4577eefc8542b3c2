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

// kvReachable reports whether the key-value store serves this node: its last response was
// successful and recent.
func (n *Node) kvReachable() bool {
	ok, bad := n.kv.LastOutcomes()
	return ok.After(bad) && time.Since(ok) < 5*time.Second
}

const (
	kvProbeTimeout = 900 * time.Millisecond
	// kvProbeRateShare is what all nodes' probes together take of the store's rate.
	kvProbeRateShare = 0.05
	// kvRetryInterval is the probe interval while the store does not answer.
	kvRetryInterval = time.Second
	// failedPeerProbeInterval is the probe interval of a node that has not answered, and
	// failedPeerProbeTimeout how long to wait for it. Together they are how long the other nodes write
	// to its buckets after it answers again, beside the node itself.
	failedPeerProbeInterval = 300 * time.Millisecond
	failedPeerProbeTimeout  = 500 * time.Millisecond
)

// monitorKV probes the key-value store, and the other nodes while the store fails. It logs
// each change once, so that a wrong address or an outage is visible without flooding the
// log.
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

// probeKV asks the store once. A store that is there and busy is no failure.
func (n *Node) probeKV(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, kvProbeTimeout)
	defer cancel()
	_, err := n.kv.Get(ctx, election.LeaderKey)
	if errors.Is(err, kvstore.ErrRateLimited) {
		return nil
	}
	return err
}

// probePeers asks all other nodes at once and waits for their answers, so that it
// is known which of them could serve a user or a worker.
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

// monitorFailedPeers asks each node that did not answer the last call again and again, until ctx ends or
// the node answers, so that users' writes need not find out.
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

// probeFailedPeer asks a node once. The peer itself records whether it answered.
func (n *Node) probeFailedPeer(ctx context.Context, p *peerrpc.Peer) {
	ctx, cancel := context.WithTimeout(ctx, failedPeerProbeTimeout)
	defer cancel()
	if _, err := p.Status(ctx, n.statusRequest()); err == nil {
		n.log.Debug("peer answers again", "peer", p.Name)
	}
}

// ready says whether this node can take requests: the key-value store serves it,
// or another node can be asked. During an outage of the store all nodes stay ready: taking
// them out of service would not help users, and would prolong the outage for them.
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
