// The simulated cluster: its state, its start and its end.

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

// Cluster is a simulated cluster: the controllers, and the network, key-value store, cloud,
// workers and users around them. Its exported methods are safe for concurrent use. A machine that
// is named in a call must exist, unless the method says otherwise.
type Cluster struct {
	Network  *Network
	Store    *KVStore
	Cloud    *Cloud
	Settings *config.Settings // of the first node

	// Set by New and constant from then on.
	ctx        context.Context
	cancel     context.CancelFunc
	nodes      []*node
	yarn       string // settings of the YARN frontend; empty: none
	metrics    bool
	noWakeUps  bool
	log        *slog.Logger
	httpClient *http.Client

	wg         sync.WaitGroup // all goroutines of the cluster
	violations violationLog

	mu     sync.Mutex // guards the fields below, and the state of machines, tasks, jobs and gangs
	random *rand.Rand

	// Jobs and tasks.
	jobs             map[string]*job              // by id
	knownJobsOnly    bool                         // workers know no jobs other than those that users submitted here
	machinesOfTasks  map[string]map[*machine]bool // machines that have the task and its image, by task name
	gangs            map[taskKey]*gang            // by job id and attempt
	progress         map[string]float64           // checkpointed seconds, by task name or, for gangs, by job id
	fetchingMachines map[string]bool              // names of machines that fetch images

	// Faults in messages to and from workers.
	duplicateOneIn     int               // share of copied heartbeats: one in this number; 0: none
	duplicatesInFlight int               // copies on their way
	capturedHeartbeats map[string][]byte // encoded heartbeat by machine; see CaptureHeartbeat
	failoverCopies     failoverCopies
	commandDelay       commandDelay
	completionCancel   completionCancel

	// Observations.
	answeredHeartbeats map[nodeAndMachine]time.Time // when the machine last sent a heartbeat that the node answered
	acceptedAnswers    map[nodeAndMachine]time.Time // when the machine last sent a heartbeat whose answer with status 200 it accepted
	started            int                          // task starts
	externalStarts     map[string]int               // starts of other frontends' tasks, by task name; each may start once
	startedAfterCancel int                          // task starts after the user was told that the job is cancelled
	expiredLeases      int                          // expired leases of workers that had tasks
	peakFetching       int                          // highest number of machines that fetched images at the same time
	requestClock       uint64                       // logical clock, advanced by users' requests and their answers
	unusualIDs         int                          // ids used so far for jobs that must be refused
	lastFaultAt        time.Time                    // when monitorFaults last saw an injected fault
}

// New starts a cluster. Its controllers run, unless options.ExternalNodes is set. Callers must
// Close it. New panics if the options are invalid.
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
	w.lastFaultAt = time.Now() // the cluster needs as long to settle after its start as after a fault
	w.mu.Unlock()
	w.wg.Go(w.monitorFaults)
	return w
}

// Close ends the cluster and waits until all its goroutines have ended.
func (w *Cluster) Close() {
	for i := range w.nodes {
		w.KillNode(i)
	}
	w.Cloud.close()
	for _, name := range w.Cloud.Machines() {
		w.Cloud.machine(name).kill()
	}
	w.cancel()
	w.Network.deliverAll()
	w.httpClient.CloseIdleConnections()
	w.wg.Wait()
	// Hanging requests end at their own timeouts. The minute passes in simulated time.
	time.Sleep(time.Minute)
}

// senderKey is the context key of a request's sender.
type senderKey struct{}

// senderOf returns the host that a request comes from.
func senderOf(r *http.Request) string {
	s, _ := r.Context().Value(senderKey{}).(string)
	return s
}

// serve runs a server at an address until the cluster ends.
func (w *Cluster) serve(address string, h http.Handler) {
	l, err := w.Network.Listen("tcp", address)
	if err != nil {
		panic(err) // two servers share the address
	}
	srv := &http.Server{Handler: h, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, senderKey{}, c.(*conn).from)
	}}
	w.wg.Go(func() { _ = srv.Serve(l) })
	w.wg.Go(func() { <-w.ctx.Done(); _ = srv.Close() })
}

// pick draws a random number in [0, n). The caller holds the lock.
func (w *Cluster) pick(n int) int { return w.random.IntN(n) }
