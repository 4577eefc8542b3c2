// Package controller implements the controller process. It connects the in-memory model
// (package cluster) and the typed stores to the network, the clock and goroutines. No other
// package does this.
//
// A Node serves users (users.go), workers (heartbeat.go), operators (operators.go),
// YARN clients (yarn.go) and other controllers (the methods that implement
// peerrpc.Handler). It also takes part in the leader election.
//
// An elected node has a leadership, which owns the cluster.Model. The model is loaded at a
// failover (load.go), kept up to date from the watch (job_events.go) and advanced by the
// scheduler (scheduler.go). Its changes are written behind to the key-value store
// (committer.go). The leader's commands reach workers in the responses to their heartbeats
// (heartbeat_response.go) or directly (direct_commands.go).
//
// A follower forwards heartbeats to the leader or redirects workers to other nodes
// (worker_routing.go, heartbeat_forwarding.go). It also monitors whether the leader
// responds (leader_monitor.go).
//
// Two rules ensure safety. Every write of a leader is a compare-and-swap under its fencing
// token (leadership.leaderGuard), so a former leader can't change anything. A worker
// receives a 200 or a command only while the leader lease is certainly valid
// (election.Lease.Valid). Otherwise the node refuses the request. docs/architecture.md
// describes the path of each request.
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

// Network opens the outgoing connections and the listeners of a node. Tests use an
// in-memory implementation.
type Network struct {
	Dial   call.DialFunc
	Listen func(network, addr string) (net.Listener, error)
}

// RealNetwork returns the network of the operating system.
func RealNetwork() Network { return Network{Dial: call.Dialer(), Listen: net.Listen} }

// Node is one controller process. Every node serves users and workers. At most one node at
// a time can write as the leader. A Node is created with New, and Run may be called once.
type Node struct {
	cfg     *config.Settings
	tuning  config.Tuning
	log     *slog.Logger
	network Network

	// Clients of other programs. All are safe for concurrent use.
	kv           *kvstore.Client
	userKV       *kvstore.Client // kv limited to the request rate of users
	cloud        *cloud.Client
	workerClient *worker.Client
	jobs         *jobstore.Store
	elector      *election.Elector
	peers        []*peerrpc.Peer
	peerStreams  []*peerrpc.HeartbeatStream // one to each peer, for heartbeats only

	// Limits on concurrent requests.
	userSlots        chan struct{}              // held by submissions and cancellations in progress
	pollLimiter      *admission.PriorityLimiter // polls in progress
	pollSchedule     admission.PollSchedule     // order of polls under overload
	submissionTiers  *admission.TierLimiter     // share of userSlots that each tier may take
	heartbeatLimiter *admission.PriorityLimiter // the worker whose lease expires first has priority
	connLimiter      *admission.ConnLimiter     // set by Run before the first connection is accepted

	// Detectors that are safe for concurrent use.
	stallDetector  liveness.StallDetector
	leaderDetector liveness.FailureDetector

	lastAnswered     *admission.ReplyTimes          // when this node last answered each worker
	routingPlan      atomic.Pointer[adoptedPlan]    // decides where heartbeats go; nil while none is adopted
	moveLimiter      *rate.Limiter                  // limits the rate of redirects that balance connections
	loadedPlan       atomic.Pointer[cluster.Plan]   // the operators' plan, nil before it is read
	cachedPriorities atomic.Pointer[planPriorities] // derived from loadedPlan

	metrics      *metrics.Set          // nil unless the address of the operators' interface is set
	recentErrors *metrics.RecentErrors // nil if metrics is nil

	yarn         *yarn.Frontend // nil unless YARN clients are served
	yarnSettings *yarn.Settings

	// directCommands counts direct requests to workers in progress. It belongs to the node
	// because the end of a leadership must not wait for a worker that hangs.
	directCommands sync.WaitGroup

	mu              sync.Mutex                // guards all fields below; only a leadership's mu may be acquired while it is held
	active          *leadership               // nil unless this node leads
	types           []wire.MachineType        // nil before they are known
	redirects       map[string]redirectRecord // by worker name
	relayCandidates map[string]relayCandidate // nodes that have requested this node's status, by name
	forwarding      forwardingCounts
	lastSeenLeader  string
	lastPeerContact time.Time            // when another node last answered a probe
	everConnected   bool                 // the key-value store or another node has answered at least once
	unservedPeers   map[string]time.Time // when a peer last reported that the key-value store does not serve it
	leaderChanged   chan struct{}        // closed and replaced whenever the leader may have changed
	repairs         repairState
}

const (
	// userRateShare is the share of the key-value store's rate limits for users, on all nodes
	// together. It is the least to which the users' clients reduce their rates when the store
	// refuses requests. The rest is reserved for the leader.
	userRateShare = 0.5
	// nodeRequestRateShare, userRequestRateShare and cloudRequestRateShare are the shares of a
	// service's request rate that one client of a node may take: the client of the key-value
	// store for the node's own requests, the client for users' requests, and the client of
	// the cloud. The users' client starts at its share and adapts to load.
	nodeRequestRateShare  = 0.6
	userRequestRateShare  = 0.7
	cloudRequestRateShare = 0.9
	// requestsPerBarrier is the interval between read barriers, as the number of requests
	// that the rate limit allows in this time. It leaves enough requests for submissions and
	// final states.
	requestsPerBarrier = 2.0
	// maxBarrierIntervalS bounds the interval between read barriers, in seconds.
	maxBarrierIntervalS = 0.6
	// pollPeriod is the time within which the polls of each job have priority once. Users
	// poll every 5 s. With up to four times as many polls as can be answered, no job
	// therefore goes without an answer for longer than one period and one poll interval.
	pollPeriod = 45 * time.Second
)

// Limits that depend on the node's socket limit. The socket limit is divided by a number, and a
// lower or an upper bound applies.
const (
	// minUserSlots and socketsPerUserSlot bound the concurrent submissions and cancellations,
	// and separately the concurrent and the queued polls.
	minUserSlots       = 32
	socketsPerUserSlot = 8
	// minHeartbeatSlots and socketsPerHeartbeatSlot bound the concurrent heartbeats of workers,
	// and separately those forwarded to a peer and those received from peers.
	minHeartbeatSlots       = 64
	socketsPerHeartbeatSlot = 2
	// socketsPerQueuedHeartbeat bounds the heartbeats that wait for a slot.
	socketsPerQueuedHeartbeat = 8
	// maxWorkerClientConns and socketsPerWorkerClientConn bound the idle connections to workers
	// and the wake-ups in progress.
	maxWorkerClientConns       = 64
	socketsPerWorkerClientConn = 20
)

// New returns a node that is not running yet. It opens no connections and starts no
// goroutines.
func New(cfg *config.Settings, tuning config.Tuning, log *slog.Logger, network Network) *Node {
	store, sockets := cfg.Cluster.State, cfg.Cluster.Limits.Sockets
	n := &Node{
		cfg: cfg, tuning: tuning, log: log, network: network,
		kv:               kvstore.New(network.Dial, cfg.Services.State, store.RPS*nodeRequestRateShare, store.WriteRPS),
		cloud:            cloud.New(network.Dial, cfg.Services.Cloud, cfg.Cluster.Cloud.RPS*cloudRequestRateShare),
		workerClient:     worker.New(network.Dial, min(maxWorkerClientConns, sockets/socketsPerWorkerClientConn)),
		userSlots:        make(chan struct{}, max(minUserSlots, sockets/socketsPerUserSlot)),
		submissionTiers:  admission.NewTierLimiter(max(minUserSlots, sockets/socketsPerUserSlot)),
		pollLimiter:      admission.NewPriorityLimiter(max(minUserSlots, sockets/socketsPerUserSlot), max(minUserSlots, sockets/socketsPerUserSlot)),
		pollSchedule:     admission.PollSchedule{Period: pollPeriod},
		heartbeatLimiter: admission.NewPriorityLimiter(max(minHeartbeatSlots, sockets/socketsPerHeartbeatSlot), sockets/socketsPerQueuedHeartbeat),
		lastAnswered:     admission.NewReplyTimes(maxTrackedWorkers),
		moveLimiter:      newMoveLimiter(),
		redirects:        map[string]redirectRecord{},
		unservedPeers:    map[string]time.Time{},
		relayCandidates:  map[string]relayCandidate{},
		leaderChanged:    make(chan struct{}),
	}
	n.setUpMetrics() // must come first because it replaces n.log
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

// logUnknownObjectives logs the objectives of the settings that have no effect because
// this version of the program does not know their kind. Settings may be newer than the
// program, so this is not an error.
func (n *Node) logUnknownObjectives() {
	for _, objective := range n.cfg.Cluster.Objectives {
		if !objective.Kind.Known() {
			n.log.Info("unknown kind of service-level objective ignored", "kind", objective.Kind, "class", objective.Class)
		}
	}
}

// setUpJobStore creates the job store. Its client is limited to the users' share of the
// key-value store's request rate, so that users' requests never starve the leader's writes.
func (n *Node) setUpJobStore() {
	limits := n.cfg.Cluster.State
	n.userKV = n.kv.WithAdaptiveLimits(limits.RPS*userRequestRateShare, limits.WriteRPS, userRateShare/float64(max(1, n.cfg.Cluster.Size))).
		WithObserver(n.transactionObserver("users"))
	n.jobs = jobstore.New(n.userKV, jobstore.Config{
		Limits: jobstore.LimitsOf(limits),
		BarrierInterval: func() time.Duration {
			return config.Seconds(min(requestsPerBarrier/max(n.userKV.RequestRate(), 1), maxBarrierIntervalS))
		},
		SubmissionTier:        func(team, class string) int { return n.priorities().TierOf(team, class) },
		FinalReadOrder:        func(id string) float64 { return admission.PollSchedule{Period: pollPeriod}.Priority(id, time.Now()) },
		ObserveQueuedWrite:    n.observeQueuedWrite,
		CountQueuedWriteRetry: func(kind jobstore.WriteKind) { n.metrics.CountQueuedWriteRetry(string(kind)) },
		Log:                   n.log,
	})
	n.pollSchedule.Tier = n.pollTier
}

// setUpPeers creates the clients for the other controllers.
func (n *Node) setUpPeers() {
	for _, peer := range n.cfg.Peers {
		n.peers = append(n.peers, peerrpc.NewPeer(peer.Name, peer.Addr, n.network.Dial))
		n.peerStreams = append(n.peerStreams, peerrpc.NewHeartbeatStream(peer.Name, peer.Addr, n.network.Dial,
			max(minHeartbeatSlots, n.cfg.Cluster.Limits.Sockets/socketsPerHeartbeatSlot)))
	}
}

// activeLeadership returns this node's leadership, or nil if this node does not lead. The
// leader lease of the returned leadership may be invalid; see isLeader.
func (n *Node) activeLeadership() *leadership {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.active
}
