// Network partitions of machines, controllers and zones, in one direction or both.

package fake

// Names of hosts other than controllers and machines.
const (
	stateHost = "state" // the key-value store
	cloudHost = "cloud"
	userHost  = "user"
)

// Names of groups of hosts in the arguments of PartitionNode and HealNode.
const (
	allWorkers = "workers"
	allNodes   = "nodes"
)

// PartitionNode cuts the i-th controller off from hosts. A host is "state", "cloud", "user",
// "workers" (all existing machines), "nodes" (all other controllers) or a host's name.
func (w *Cluster) PartitionNode(i int, hosts ...string) {
	w.eachHost(i, hosts, w.Network.Cut)
}

// HealNode ends the cuts between a node and hosts, named as in PartitionNode.
func (w *Cluster) HealNode(i int, hosts ...string) {
	w.eachHost(i, hosts, w.Network.Heal)
}

// eachHost calls do for the links between a controller and hosts, named as in PartitionNode.
func (w *Cluster) eachHost(i int, hosts []string, do func(node, host string)) {
	name := w.nodes[i].name
	for _, h := range hosts {
		switch h {
		case allWorkers:
			for _, m := range w.Cloud.Machines() {
				do(name, m)
			}
		case allNodes:
			for k, other := range w.nodes {
				if k != i {
					do(name, other.name)
				}
			}
		default:
			do(name, h)
		}
	}
}

// IsolateToWorkers cuts the i-th controller off from the key-value store and the other controllers.
// Workers, users and the cloud still reach it.
func (w *Cluster) IsolateToWorkers(i int) { w.PartitionNode(i, stateHost, allNodes) }

// HealNodeIsolation ends the fault of IsolateToWorkers.
func (w *Cluster) HealNodeIsolation(i int) { w.HealNode(i, stateHost, allNodes) }

// PartitionMachine cuts a machine off from every controller.
func (w *Cluster) PartitionMachine(name string) {
	for _, n := range w.nodes {
		w.Network.Cut(n.name, name)
	}
}

// HealMachine ends the cuts between a machine and the controllers.
func (w *Cluster) HealMachine(name string) {
	for _, n := range w.nodes {
		w.Network.Heal(n.name, name)
	}
}

// BlockHeartbeats keeps a machine from opening connections to controllers. Direct commands still
// reach it and are answered.
func (w *Cluster) BlockHeartbeats(name string) {
	for _, n := range w.nodes {
		w.Network.BlockOutgoing(name, n.name)
	}
}

// UnblockHeartbeats ends the fault of BlockHeartbeats.
func (w *Cluster) UnblockHeartbeats(name string) {
	for _, n := range w.nodes {
		w.Network.UnblockOutgoing(name, n.name)
	}
}

// BlockRepliesTo holds all data that controllers send to a machine. The machine's heartbeats still
// arrive.
func (w *Cluster) BlockRepliesTo(name string) {
	for _, n := range w.nodes {
		w.Network.BlockOneWay(n.name, name)
	}
}

// UnblockRepliesTo ends the fault of BlockRepliesTo. Held data arrives now, unless the machine has
// closed the connection.
func (w *Cluster) UnblockRepliesTo(name string) {
	for _, n := range w.nodes {
		w.Network.UnblockOneWay(n.name, name)
	}
}

// PartitionZone cuts the machines of a zone off from every controller.
func (w *Cluster) PartitionZone(zone string) {
	for _, name := range w.machinesIn(zone) {
		w.PartitionMachine(name)
	}
}

// HealZonePartition ends the fault of PartitionZone.
func (w *Cluster) HealZonePartition(zone string) {
	for _, name := range w.machinesIn(zone) {
		w.HealMachine(name)
	}
}

// machinesIn returns the names of the machines in a zone.
func (w *Cluster) machinesIn(zone string) (names []string) {
	for _, name := range w.Cloud.Machines() {
		if w.ZoneOf(name) == zone {
			names = append(names, name)
		}
	}
	return names
}

// IsolateZone cuts the controllers and machines of a zone off from all hosts outside of it. Users,
// the cloud and the key-value store belong to no zone, and so are outside.
func (w *Cluster) IsolateZone(zone string) { w.eachLinkOut(zone, w.Network.Cut) }

// HealZoneIsolation ends the fault of IsolateZone.
func (w *Cluster) HealZoneIsolation(zone string) { w.eachLinkOut(zone, w.Network.Heal) }

// eachLinkOut calls do for the links between hosts in a zone and hosts outside of it.
func (w *Cluster) eachLinkOut(zone string, do func(inside, outside string)) {
	var inside []string
	outside := []string{stateHost, cloudHost, userHost}
	classify := func(name, hostZone string) {
		if hostZone == zone {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	for _, n := range w.nodes {
		classify(n.name, n.cfg.Zone)
	}
	for _, name := range w.Cloud.Machines() {
		classify(name, w.ZoneOf(name))
	}
	for _, a := range inside {
		for _, b := range outside {
			do(a, b)
		}
	}
}
