package fake

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/umberdeal/umberdeal/config"
)

// Cluster is everything around the controllers, and the controllers.
type Cluster struct {
	Network  *Network
	Store    *KVStore
	Cloud    *Cloud
	Settings *config.Settings // of the first node

	// Set by New, and not changed afterwards.
	ctx        context.Context
	cancel     context.CancelFunc
	nodes      []*node
	yarn       string
	metrics    bool
	noWakeUps  bool
	log        *slog.Logger
	httpClient *http.Client

	wg         sync.WaitGroup // all goroutines of the cluster
	violations violationLog

	mu     sync.Mutex // guards all that follows, and what machines, tasks, jobs and gangs hold
	random *rand.Rand

	// What runs where.
	jobs             map[string]*job
	knownJobsOnly    bool                         // workers know users' jobs only
	machinesOfTasks  map[string]map[*machine]bool // that have the task and its image, by its name
	gangs            map[taskKey]*gang
	progress         map[string]float64 // checkpointed seconds, by task, or by job for gangs
	fetchingMachines map[string]bool    // machines that fetch images

	// Faults in messages of workers.
	duplicateOneIn     int // one in so many heartbeats is copied; 0: none
	duplicatesInFlight int
	capturedHeartbeats map[string][]byte // a heartbeat of each machine, for scenarios of late ones
	failoverCopies     failoverCopies
	commandDelay       commandDelay
	completionCancel   completionCancel

	// What was observed.
	answeredHeartbeats map[nodeAndMachine]time.Time // when a machine last sent a report that a node answered
	acceptedAnswers    map[nodeAndMachine]time.Time // and one whose 200 it accepted
	started            int                          // task starts
	externalStarts     map[string]int               // by task, of jobs of other frontends, each of which runs once
	startedAfterCancel int                          // task starts after the user was told that the job is cancelled
	expiredLeases      int                          // of workers that had tasks
	peakFetching       int                          // most machines that fetched images at the same time
	requestClock       uint64                       // counts users' requests and the answers to them
	unusualIDs         int                          // ids used for jobs that can't be accepted
	lastFaultAt        time.Time                    // when a fault was last seen to be injected
}

// New makes a cluster whose controllers are running, unless they are external.
func New(options Options) *Cluster {
	options.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	w := &Cluster{
		Network:            NewNetwork(),
		Store:              NewKVStore(transactionOps),
		ctx:                ctx,
		cancel:             cancel,
		log:                options.Log,
		yarn:               options.YARN,
		metrics:            options.Metrics,
		noWakeUps:          options.NoWakeUps,
		random:             rand.New(rand.NewPCG(options.Seed, 7)),
		jobs:               map[string]*job{},
		machinesOfTasks:    map[string]map[*machine]bool{},
		gangs:              map[taskKey]*gang{},
		progress:           map[string]float64{},
		fetchingMachines:   map[string]bool{},
		capturedHeartbeats: map[string][]byte{},
		answeredHeartbeats: map[nodeAndMachine]time.Time{},
		acceptedAnswers:    map[nodeAndMachine]time.Time{},
		externalStarts:     map[string]int{},
	}
	w.Store.reportViolation = w.violations.add
	w.Cloud = &Cloud{cluster: w, types: options.Types, capacity: options.Capacity, listingLag: secs(cloudListingLagS),
		rentals: map[string][]string{}, machines: map[string]*machine{}}
	w.serve(stateAddr, w.Store)
	w.serve(cloudAddr, w.Cloud)
	w.httpClient = &http.Client{Transport: &http.Transport{DialContext: w.Network.Dial(userHost), DisableKeepAlives: true}}
	for i := range options.Nodes {
		cfg := options.nodeSettings(i)
		w.nodes = append(w.nodes, &node{name: cfg.Node, addr: cfg.Bind, cfg: cfg, olderSchema: slices.Contains(options.OlderSchema, i)})
	}
	w.setLimits(options)
	w.Settings = w.nodes[0].cfg
	w.Cloud.mu.Lock()
	for i := range options.Machines {
		w.Cloud.rent(options.Types[i%len(options.Types)].Name, Zones[i%2], false, 0)
	}
	w.Cloud.mu.Unlock()
	for i := range w.nodes {
		if !options.ExternalNodes {
			w.StartNode(i)
		}
	}
	w.mu.Lock()
	w.lastFaultAt = time.Now() // the beginning is no better than a fault
	w.mu.Unlock()
	w.wg.Go(w.monitorFaults)
	return w
}

// Close ends the cluster; nothing of it runs afterwards.
func (w *Cluster) Close() {
	for i := range w.nodes {
		w.KillNode(i)
	}
	w.Cloud.close()
	for _, n := range w.Cloud.Machines() {
		w.Cloud.machine(n).kill()
	}
	w.cancel()
	w.Network.deliverAll()
	w.httpClient.CloseIdleConnections()
	w.wg.Wait()
	// Requests that hang are given up in their own time, which is simulated.
	time.Sleep(time.Minute)
}

// senderKey is the key of a request's context under which its sender stands.
type senderKey struct{}

// senderOf is the host that a request comes from.
func senderOf(r *http.Request) string {
	s, _ := r.Context().Value(senderKey{}).(string)
	return s
}

// serve runs a server at an address until the cluster ends.
func (w *Cluster) serve(at string, h http.Handler) {
	l, err := w.Network.Listen("tcp", at)
	if err != nil {
		panic(err) // a cluster is made wrong
	}
	srv := &http.Server{Handler: h, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, senderKey{}, c.(*conn).from)
	}}
	w.wg.Go(func() { _ = srv.Serve(l) })
	w.wg.Go(func() { <-w.ctx.Done(); _ = srv.Close() })
}

// pick draws a number below n; the lock is held.
func (w *Cluster) pick(n int) int { return w.random.IntN(n) }
