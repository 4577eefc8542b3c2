// Package controller wires a node together: its interfaces, its duties, and
// what it does while it leads.
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

// RealNetwork is the machine's.
func RealNetwork() Network { return Network{Dial: call.Dialer(), Listen: net.Listen} }

// Node is one controller node.
type Node struct {
	cfg     *config.Settings
	tuning  config.Tuning
	log     *slog.Logger
	network Network

	kv               *kvstore.Client
	cloud            *cloud.Client
	workerClient     *worker.Client
	jobs             *jobstore.Store
	elector          *election.Elector
	peers            []*peerrpc.Peer
	peerStreams      []*peerrpc.HeartbeatStream
	userSlots        chan struct{}              // bounds the users' submissions and cancellations under way
	pollLimiter      *admission.PriorityLimiter // and their polls
	pollTurns        admission.PollSchedule     // whose polls come first
	submissionTiers  *admission.TierLimiter     // how many each tier of submissions has of users
	heartbeatLimiter *admission.PriorityLimiter // bounds the workers' reports
	connLimiter      *admission.ConnLimiter     // of users and workers; set before anybody is served
	stalls           liveness.StallDetector
	leaderDetector   liveness.FailureDetector

	lastAnswered     *admission.ReplyTimes          // when workers were last answered here
	routingPlan      atomic.Pointer[adoptedPlan]    // where workers report
	loadedPlan       atomic.Pointer[cluster.Plan]   // what the operators decided; nil before it is read
	cachedPriorities atomic.Pointer[planPriorities] // of that, the order of service
	moveLimiter      *rate.Limiter                  // paces workers' moves to other nodes
	metrics          *metrics.Set                   // nil unless the operators watch
	recentErrors     *metrics.Troubles

	userKV       *kvstore.Client
	yarn         *yarn.Door // nil unless YARN's clients are served
	yarnSettings *yarn.Settings

	mu              sync.Mutex
	active          *leadership // nil unless this node leads
	types           []wire.MachineType
	redirects       map[string]redirectRecord // workers told to go elsewhere
	relayCandidates map[string]relayCandidate // nodes that have asked this one
	forwarding      forwardingCounts
	lastSeenLeader  string
	lastPeerContact time.Time     // when another node was last reached
	everConnected   bool          // the state service or another node has answered once
	leaderChanged   chan struct{} // closed and replaced when there is news of the leader
	repairs         repairMemory
}

const (
	// userRateShare is the part of what the state service takes that is left to
	// users' requests of all nodes when there are too many, beside the leader's.
	userRateShare = 0.5
	// barrierRateShare is how many requests of a node's there may be for each
	// barrier: submissions and final states need theirs.
	barrierRateShare = 2.0
	// pollRound is within what time each job's polls have their turn. A user asks
	// every 5 s, so that up to four times as many polls as can be answered leave
	// none out for longer than a round and a poll.
	pollRound = 45 * time.Second
)

// New makes a node.
func New(cfg *config.Settings, tuning config.Tuning, log *slog.Logger, nw Network) *Node {
	sl := cfg.Cluster.State
	n := &Node{
		cfg: cfg, tuning: tuning, log: log, network: nw,
		kv:               kvstore.New(nw.Dial, cfg.Services.State, sl.RPS*0.6, sl.WriteRPS),
		cloud:            cloud.New(nw.Dial, cfg.Services.Cloud, cfg.Cluster.Cloud.RPS*0.9),
		workerClient:     worker.New(nw.Dial, min(64, cfg.Cluster.Limits.Sockets/20)),
		userSlots:        make(chan struct{}, max(32, cfg.Cluster.Limits.Sockets/8)),
		submissionTiers:  admission.NewTierLimiter(max(32, cfg.Cluster.Limits.Sockets/8)),
		pollLimiter:      admission.NewPriorityLimiter(max(32, cfg.Cluster.Limits.Sockets/8), max(32, cfg.Cluster.Limits.Sockets/8)),
		pollTurns:        admission.PollSchedule{Period: pollRound},
		heartbeatLimiter: admission.NewPriorityLimiter(max(64, cfg.Cluster.Limits.Sockets/2), cfg.Cluster.Limits.Sockets/8),
		lastAnswered:     admission.NewReplyTimes(maxTrackedWorkers), moveLimiter: newMoveLimiter(),
		redirects: map[string]redirectRecord{}, relayCandidates: map[string]relayCandidate{}, leaderChanged: make(chan struct{}),
	}
	n.setUpMetrics()
	log = n.log
	for _, o := range cfg.Cluster.Objectives {
		switch o.Kind {
		case "wait", "finished", "deadline", "guarantee", "price", "cost":
		default:
			// Settings may be newer than the program: it serves what it knows.
			log.Info("an aim of a kind that this program does not know", "kind", o.Kind, "class", o.Class)
		}
	}
	forUsers := n.kv.WithAdaptiveLimits(sl.RPS*0.7, sl.WriteRPS, userRateShare/float64(max(1, cfg.Cluster.Size)))
	n.userKV = forUsers
	n.jobs = jobstore.New(forUsers)
	n.jobs.Limits = jobstore.Limits{TxnOps: sl.TxnOps, ValueKB: sl.ValueKB}
	n.jobs.Log = log
	n.jobs.Tier = func(team, class string) int { return n.priorities().TierOf(team, class) }
	n.jobs.Order = func(id string) float64 { return admission.PollSchedule{Period: pollRound}.Priority(id, time.Now()) }
	n.pollTurns.Tier = n.pollTier
	n.jobs.Gap = func() time.Duration { return config.Seconds(min(barrierRateShare/max(forUsers.RequestRate(), 1), 0.6)) }
	for _, s := range cfg.Siblings {
		n.peers = append(n.peers, peerrpc.NewPeer(s.Name, s.Addr, nw.Dial))
		n.peerStreams = append(n.peerStreams, peerrpc.NewHeartbeatStream(s.Name, s.Addr, nw.Dial, max(64, cfg.Cluster.Limits.Sockets/2)))
	}
	w := cfg.Cluster.Workers
	n.elector = election.New(election.Config{
		Store: n.kv, Node: cfg.Node, LeaseTTL: config.Seconds(w.LeaderLeaseS()), ClockDrift: config.Drift, Log: log,
		Lead: n.runLeader, ReadBarrier: n.readBarrier, OnChange: n.onLeaderChange,
	})
	return n
}

func (n *Node) activeLeadership() *leadership {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.active
}
