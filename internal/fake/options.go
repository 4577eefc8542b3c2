package fake

import (
	"fmt"
	"log/slog"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

// This file has the options of a cluster, and the settings that its nodes are given.

// Options shape a cluster.
type Options struct {
	Nodes              int                // 0 means 3
	Machines           int                // up at the start, alternating between the zones
	Capacity           int                // machines that the cloud has; 0 means four more than at the start
	Types              []wire.MachineType // empty means DefaultType
	Teams              []config.Team      // empty means one, core, without limits
	Seed               uint64             // of what is drawn at random
	Log                *slog.Logger       // of the nodes; nil discards it
	ExternalNodes      bool               // the controllers are real processes: none is started
	Metrics            bool               // each node serves its metrics at port 9464
	NoWakeUps          bool               // launches wait for workers' heartbeats
	YARN               string             // settings of the YARN frontend, without its address; empty: none
	Sockets            int                // of each node; 0 means 800, unenforced
	HeartbeatIntervalS float64            // seconds between heartbeats; 0 means 1.5
	LeaseS             float64            // seconds of a worker's lease; 0 means 12
	OlderSchema        []int              // nodes that read records of the schema version before; see UpgradeSchema
	StateRPS           float64            // the key-value store's limit of requests a second; 0 means 200, unenforced
	StateWPS           float64            // and of changes; 0 means 60, unenforced
}

// Zones of every cluster.
var Zones = []string{"a", "b"}

// DefaultType is the machine type of clusters that name none.
var DefaultType = wire.MachineType{Name: "m8", CPUs: 8, GPUs: 2, MemoryGB: 64, CacheGB: 50, FetchGBPS: 1,
	Price: 1, SpotPrice: 0.4, BootS: 10, Zones: Zones}

func (o *Options) setDefaults() {
	if o.Nodes == 0 {
		o.Nodes = 3
	}
	if len(o.Types) == 0 {
		o.Types = []wire.MachineType{DefaultType}
	}
	if o.Capacity == 0 {
		o.Capacity = o.Machines + 4
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if len(o.Teams) == 0 {
		o.Teams = []config.Team{{Name: "core"}}
	}
}

// Where the fakes serve.
const (
	stateAddr = stateHost + ":1"
	cloudAddr = cloudHost + ":1"
)

// Limits that the nodes' settings state and the fakes enforce.
const (
	transactionOps   = 12  // operations of one transaction
	cloudListingLagS = 5.0 // seconds until the cloud lists a machine as it is
)

// nodeSettings is the settings file of the i-th controller.
func (o *Options) nodeSettings(i int) *config.Settings {
	name := nodeName(i)
	cfg := &config.Settings{Node: name, Zone: Zones[i%2], Bind: name + ":80", PeerListen: name + ":81",
		Services: config.Services{Cloud: cloudAddr, State: stateAddr},
		Cluster: config.Cluster{Size: o.Nodes, Zones: Zones, SkewMs: 5, Teams: o.Teams,
			Workers: config.Workers{HeartbeatS: 1.5, LeaseS: 12, GangWaitS: 30, GangPeerS: 6, CancelS: 32},
			State:   config.StateLimits{RPS: 200, WriteRPS: 60, ValueKB: 16, TxnOps: transactionOps},
			Cloud:   config.CloudLimits{RPS: 4, ListLagS: cloudListingLagS},
			Limits:  config.Limits{CPU: 0.2, MemMB: 100, Sockets: 800}}}
	for k := range o.Nodes {
		if k != i {
			cfg.Peers = append(cfg.Peers, config.Peer{Name: nodeName(k), Zone: Zones[k%2], Addr: nodeName(k) + ":81"})
		}
	}
	return cfg
}

func nodeName(i int) string { return fmt.Sprintf("n-%d", i) }

// setLimits applies the options that differ from the default settings, to the nodes'
// settings and, where the option says so, to the fakes that enforce them.
func (w *Cluster) setLimits(o Options) {
	if o.StateRPS > 0 {
		w.Store.LimitRequests(o.StateRPS)
	}
	if o.StateWPS > 0 {
		w.Store.LimitWrites(o.StateWPS)
	}
	for _, n := range w.nodes {
		c := &n.cfg.Cluster
		if o.Sockets > 0 {
			c.Limits.Sockets = o.Sockets
			w.Network.LimitSockets(n.name, o.Sockets)
		}
		if o.HeartbeatIntervalS > 0 {
			c.Workers.HeartbeatS = o.HeartbeatIntervalS
		}
		if o.LeaseS > 0 {
			c.Workers.LeaseS, c.Workers.CancelS = o.LeaseS, o.LeaseS+20
		}
		if o.StateRPS > 0 {
			c.State.RPS = o.StateRPS
		}
		if o.StateWPS > 0 {
			c.State.WriteRPS = o.StateWPS
		}
	}
}
