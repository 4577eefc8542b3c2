// Package controller wires a node together: its interfaces, its duties, and
// what it does while it leads.
package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
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

// NewPlan makes a node.
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

// Run serves until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l, err := n.network.Listen("tcp", n.cfg.Bind)
	if err != nil {
		return fmt.Errorf("bind: %w", err)
	}
	ml, err := n.network.Listen("tcp", n.cfg.MeshListen)
	if err != nil {
		l.Close()
		return fmt.Errorf("mesh_addr: %w", err)
	}
	srv := &http.Server{
		Handler:           n.handler(),
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       10 * time.Second,
		WriteTimeout:      15 * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    16 << 10,
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnContext:       admission.ConnContext,
	}
	n.connLimiter = admission.NewConnLimiter(l, max(16, int(connShare*float64(n.cfg.Cluster.Limits.Sockets))))
	var wg sync.WaitGroup
	duty := func(f func(context.Context)) {
		wg.Add(1)
		go func() { defer wg.Done(); f(ctx) }()
	}
	errs := make(chan error, 5)
	if n.yarn != nil {
		duty(n.yarn.Run)
		duty(func(ctx context.Context) {
			if err := n.serveYARN(ctx); err != nil {
				errs <- err
			}
		})
		if n.yarnSettings.REST != "" {
			duty(func(ctx context.Context) {
				if err := n.serveYARNREST(ctx); err != nil {
					errs <- err
				}
			})
		}
	}
	if n.tuning.Metrics.Listen != "" {
		duty(func(ctx context.Context) {
			if err := n.serveOperators(ctx); err != nil {
				errs <- err
			}
		})
	}
	duty(func(context.Context) {
		if err := srv.Serve(n.connLimiter); !errors.Is(err, http.ErrServerClosed) {
			errs <- fmt.Errorf("bind: %w", err)
		}
	})
	duty(func(ctx context.Context) {
		if err := peerrpc.Serve(ctx, ml, n, max(64, n.cfg.Cluster.Limits.Sockets/2)); err != nil {
			errs <- err
		}
	})
	duty(n.jobs.Run)
	duty(n.monitorKV)
	duty(n.monitorStalls)
	duty(n.monitorLeader)
	duty(n.publishRoutingPlan)
	duty(n.refreshMachineTypes)
	duty(n.watchOperatorPlan)
	duty(n.elector.Run)
	n.log.Info("serving", "node", n.cfg.Node, "zone", n.cfg.Zone, "bind", n.cfg.Bind)
	select {
	case <-ctx.Done():
		err = nil
	case err = <-errs:
	}
	cancel()
	sctx, scancel := context.WithTimeout(context.Background(), time.Second)
	defer scancel()
	_ = srv.Shutdown(sctx) // what is still open is closed next
	_ = srv.Close()
	wg.Wait()
	for _, lane := range n.peerStreams {
		lane.Close()
	}
	return err
}

// kvReachable says whether the state service serves this node.
func (n *Node) kvReachable() bool {
	ok, bad := n.kv.LastOutcomes()
	return ok.After(bad) && time.Since(ok) < 5*time.Second
}

// monitorKV probes the state service, and the other nodes while it fails. An
// operator who gave a wrong address, or whose service is out, is told so once.
func (n *Node) monitorKV(ctx context.Context) {
	served := true
	// Total nodes' probes together are a twentieth of what the service takes.
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

// refreshMachineTypes keeps the catalogue, from the cloud or else from the copy that the
// leader leaves in the state service.
func (n *Node) refreshMachineTypes(ctx context.Context) {
	for {
		wait := 60 * time.Second
		types, err := n.cloud.Types(ctx)
		if err != nil || len(types) == 0 {
			wait = 3 * time.Second
			if n.machineTypes() == nil {
				e, gerr := n.kv.Get(ctx, jobstore.MachineTypesKey)
				var t wire.Types
				if gerr == nil && e.Version != 0 && wire.Unmarshal(e.Value, &t) == nil {
					types = t.Types
				}
			}
			if err != nil {
				n.log.Info("machine types not read, retrying", "err", err)
			}
		}
		if len(types) > 0 {
			n.mu.Lock()
			n.types = types
			l := n.active
			n.mu.Unlock()
			if l != nil {
				l.setTypes(types)
			}
		}
		if !call.Pause(ctx, wait) {
			return
		}
	}
}

func (n *Node) machineTypes() []wire.MachineType {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.types
}

func (n *Node) activeLeadership() *leadership {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.active
}
