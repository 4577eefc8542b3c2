// Options of a simulated cluster, and the settings of its controllers that follow from them.

package fake

import (
	"fmt"
	"log/slog"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

// Options configure a Cluster. The zero value of each field selects its default.
type Options struct {
	Nodes              int                // controllers; 0 means 3
	Machines           int                // running at the start, alternating between the zones
	Capacity           int                // most machines that the cloud rents out at once; 0 means Machines + 4
	Types              []wire.MachineType // empty means DefaultType
	Teams              []config.Team      // empty means a single team, "core", without limits
	Seed               uint64             // of the random number generator
	Log                *slog.Logger       // of the controllers; nil discards the log
	ExternalNodes      bool               // the controllers are external processes, and New starts none
	Metrics            bool               // each controller serves its metrics at port 9464
	NoWakeUps          bool               // launches wait for workers' heartbeats instead of waking the workers
	YARN               string             // settings of the YARN frontend without its addresses; empty: no frontend
	Sockets            int                // limit of each controller; 0 means a setting of 800 that is not enforced
	HeartbeatIntervalS float64            // seconds between heartbeats; 0 means 1.5
	LeaseS             float64            // seconds of a worker's lease; 0 means 12; cancel_s is 20 more
	OlderSchema        []int              // indexes of controllers that use the previous schema version; see UpgradeSchema
	StateRPS           float64            // key-value store: requests per second; 0 means a setting of 200 that is not enforced
	StateWPS           float64            // key-value store: changes per second; 0 means a setting of 60 that is not enforced
}

// Zones are the zones of every cluster.
var Zones = []string{"a", "b"}

// DefaultType is the machine type of clusters whose options name none.
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

// Addresses of the key-value store and the cloud.
const (
	stateAddr = stateHost + ":1"
	cloudAddr = cloudHost + ":1"
)

// Limits that are in the controllers' settings and that the fakes enforce.
const (
	transactionOps   = 12  // operations per transaction
	cloudListingLagS = 5.0 // seconds until the cloud lists a new machine, or the end of its boot
)

// nodeSettings returns the settings of the i-th controller.
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

// setLimits applies the options that replace default limits to the controllers' settings, and
// makes the key-value store and the network enforce theirs.
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
