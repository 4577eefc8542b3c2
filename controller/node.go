// Package controller is the controller process: it joins the leader's model
// (package cluster) and the typed stores with sockets, clocks and goroutines, and
// is the only package that does.
//
// A Node serves users (users.go), workers (heartbeat.go), operators (operators.go),
// YARN clients (yarn.go) and other controllers (the methods that implement
// peerrpc.Handler). It takes part in the election, and while it is elected it
// has a leadership, which owns the cluster.Model: loaded at a failover (load.go),
// kept up to date from the watch (job_events.go), advanced by the scheduler
// (scheduler.go) and written behind to the key-value store (committer.go). Its commands
// reach workers in responses to their heartbeats (heartbeat_response.go) and directly
// (direct_commands.go). A follower forwards heartbeats to the leader or
// redirects workers to it (worker_routing.go, heartbeat_forwarding.go), and watches
// whether it responds (leader_monitor.go).
//
// What it guarantees rests on two rules. Every write of a leader is a
// compare-and-swap under its fencing token (leadership.leaderGuard), so that a former
// leader changes nothing. And a worker is answered 200, or sent a command, only
// while the lease is certainly valid (election.Lease.Valid); a node that is not
// sure refuses instead. docs/architecture.md has the way of each request.
package controller

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/umberdeal/umberdeal/admission"
	"github.com/umberdeal/umberdeal/cloud"
	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/election"
	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/liveness"
	"github.com/umberdeal/umberdeal/metrics"
	"github.com/umberdeal/umberdeal/peerrpc"
	"github.com/umberdeal/umberdeal/wire"
	"github.com/umberdeal/umberdeal/worker"
	"github.com/umberdeal/umberdeal/yarn"
)

// Network is how a node reaches others and is reached; tests hand in one in
// memory.
type Network struct {
	Dial   call.DialFunc
	Listen func(network, addr string) (net.Listener, error)
}

// RealNetwork is that of the machine the process runs on.
func RealNetwork() Network { return Network{Dial: call.Dialer(), Listen: net.Listen} }

// Node is one controller process. Every node serves users and workers; at most one
// at a time also leads, and then has an active leadership. Make it with New, and
// run it once with Run.
type Node struct {
	cfg     *config.Settings
	tuning  config.Tuning
	log     *slog.Logger
	network Network

	// Clients of other programs. All are safe for concurrent use.
	kv           *kvstore.Client
	userKV       *kvstore.Client // kv within the rate that users' requests may take
	cloud        *cloud.Client
	workerClient *worker.Client
	jobs         *jobstore.Store
	elector      *election.Elector
	peers        []*peerrpc.Peer
	peerStreams  []*peerrpc.HeartbeatStream // to the same nodes, for heartbeats alone

	// Limits on what is served at once.
	userSlots        chan struct{}              // held by submissions and cancellations in progress
	pollLimiter      *admission.PriorityLimiter // of users' polls
	pollSchedule     admission.PollSchedule     // whose polls come first
	submissionTiers  *admission.TierLimiter     // the part of userSlots that each tier may take
	heartbeatLimiter *admission.PriorityLimiter // the worker whose lease is nearest its end comes first
	connLimiter      *admission.ConnLimiter     // set by Run before anybody is served

	// Detectors with locks of their own.
	stallDetector  liveness.StallDetector
	leaderDetector liveness.FailureDetector

	lastAnswered     *admission.ReplyTimes          // when workers were last answered here
	routingPlan      atomic.Pointer[adoptedPlan]    // where workers send their heartbeats
	moveLimiter      *rate.Limiter                  // paces workers' moves to other nodes
	loadedPlan       atomic.Pointer[cluster.Plan]   // the operators'; nil before it is read
	cachedPriorities atomic.Pointer[planPriorities] // derived from loadedPlan

	metrics      *metrics.Set          // nil unless the operators' address is set
	recentErrors *metrics.RecentErrors // nil likewise

	yarn         *yarn.Frontend // nil unless YARN clients are served
	yarnSettings *yarn.Settings

	// directCommands are the requests to workers in progress. The node owns them, not
	// the leadership, whose end must not wait for a worker that hangs.
	directCommands sync.WaitGroup

	mu              sync.Mutex                // guards all that follows; taken before no other lock but a leadership's
	active          *leadership               // nil unless this node leads
	types           []wire.MachineType        // nil before they are known
	redirects       map[string]redirectRecord // by worker
	relayCandidates map[string]relayCandidate // nodes that have asked this one for its status
	forwarding      forwardingCounts
	lastSeenLeader  string
	lastPeerContact time.Time            // when another node last answered
	everConnected   bool                 // the key-value store or another node has answered once
	unservedPeers   map[string]time.Time // when a peer last said that the key-value store does not serve it
	leaderChanged   chan struct{}        // closed and replaced whenever the leader may have changed
	repairs         repairState
}

const (
	// userRateShare is the share of the key-value store's request rate that users'
	// requests of all nodes together may take; the rest is for the leader.
	userRateShare = 0.5
	// barrierRateShare is how many requests of a node's there may be for each
	// barrier: submissions and final states need theirs.
	barrierRateShare = 2.0
	// pollPeriod is within what time each job's polls have their turn. A user asks
	// every 5 s, so that up to four times as many polls as can be answered leave
	// none out for longer than a round and a poll.
	pollPeriod = 45 * time.Second
)

// New makes a node that does nothing yet but hold its clients and limits; Run
// starts it. Nothing is dialled here.
func New(cfg *config.Settings, tuning config.Tuning, log *slog.Logger, nw Network) *Node {
	store, sockets := cfg.Cluster.State, cfg.Cluster.Limits.Sockets
	n := &Node{
		cfg: cfg, tuning: tuning, log: log, network: nw,
		kv:               kvstore.New(nw.Dial, cfg.Services.State, store.RPS*0.6, store.WriteRPS),
		cloud:            cloud.New(nw.Dial, cfg.Services.Cloud, cfg.Cluster.Cloud.RPS*0.9),
		workerClient:     worker.New(nw.Dial, min(64, sockets/20)),
		userSlots:        make(chan struct{}, max(32, sockets/8)),
		submissionTiers:  admission.NewTierLimiter(max(32, sockets/8)),
		pollLimiter:      admission.NewPriorityLimiter(max(32, sockets/8), max(32, sockets/8)),
		pollSchedule:     admission.PollSchedule{Period: pollPeriod},
		heartbeatLimiter: admission.NewPriorityLimiter(max(64, sockets/2), sockets/8),
		lastAnswered:     admission.NewReplyTimes(maxTrackedWorkers),
		moveLimiter:      newMoveLimiter(),
		redirects:        map[string]redirectRecord{},
		unservedPeers:    map[string]time.Time{},
		relayCandidates:  map[string]relayCandidate{},
		leaderChanged:    make(chan struct{}),
	}
	n.setUpMetrics() // first of all, since it wraps the log
	n.kv = n.kv.WithObserver(n.transactionObserver("node"))
	n.logUnknownObjectives()
	n.setUpJobStore()
	n.setUpPeers()
	n.elector = election.New(election.Config{
		Store: n.kv, Node: cfg.Node, LeaseTTL: config.Seconds(cfg.Cluster.Workers.LeaderLeaseS()), ClockDrift: config.ClockDrift, Log: n.log,
		Lead: n.runLeader, ReadBarrier: n.readBarrier, OnChange: n.onLeaderChange,
	})
	return n
}

// logUnknownObjectives tells the operator which objectives of the settings have no
// effect. Settings may be newer than the program, which serves what it knows.
func (n *Node) logUnknownObjectives() {
	for _, o := range n.cfg.Cluster.Objectives {
		if !o.Kind.Known() {
			n.log.Info("unknown kind of service-level objective ignored", "kind", o.Kind, "class", o.Class)
		}
	}
}

// setUpJobStore opens the records of jobs through a client that is limited to the
// users' share of the store's rate, so that users never starve the leader's writes.
func (n *Node) setUpJobStore() {
	store := n.cfg.Cluster.State
	n.userKV = n.kv.WithAdaptiveLimits(store.RPS*0.7, store.WriteRPS, userRateShare/float64(max(1, n.cfg.Cluster.Size))).
		WithObserver(n.transactionObserver("users"))
	n.jobs = jobstore.New(n.userKV, jobstore.Config{
		Limits: jobstore.Limits{TxnOps: store.TxnOps, ValueKB: store.ValueKB},
		BarrierInterval: func() time.Duration {
			return config.Seconds(min(barrierRateShare/max(n.userKV.RequestRate(), 1), 0.6))
		},
		SubmissionTier:        func(team, class string) int { return n.priorities().TierOf(team, class) },
		FinalReadOrder:        func(id string) float64 { return admission.PollSchedule{Period: pollPeriod}.Priority(id, time.Now()) },
		ObserveQueuedWrite:    n.observeQueuedWrite,
		CountQueuedWriteRetry: func(kind jobstore.WriteKind) { n.metrics.CountQueuedWriteRetry(string(kind)) },
		Log:                   n.log,
	})
	n.pollSchedule.Tier = n.pollTier
}

// setUpPeers makes the clients of the other controllers.
func (n *Node) setUpPeers() {
	for _, s := range n.cfg.Peers {
		n.peers = append(n.peers, peerrpc.NewPeer(s.Name, s.Addr, n.network.Dial))
		n.peerStreams = append(n.peerStreams, peerrpc.NewHeartbeatStream(s.Name, s.Addr, n.network.Dial, max(64, n.cfg.Cluster.Limits.Sockets/2)))
	}
}

// activeLeadership is this node's leadership, nil unless it leads. Whether it is
// sure of its lease is another question: see isLeader.
func (n *Node) activeLeadership() *leadership {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.active
}
