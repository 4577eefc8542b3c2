package fake

// This file cuts machines, nodes and zones off from others, one way or both.

// Names of hosts besides nodes and machines.
const (
	stateHost = "state" // the key-value store
	cloudHost = "cloud"
	userHost  = "user"
)

// Names that PartitionNode takes for several hosts.
const (
	allWorkers = "workers"
	allNodes   = "nodes"
)

// PartitionNode cuts a node off from hosts: "state", "cloud", "user", "workers" (all
// machines that exist) and "nodes" (all others).
func (w *Cluster) PartitionNode(i int, hosts ...string) {
	w.eachHost(i, hosts, w.Network.Cut)
}

// HealNode ends the cuts between a node and hosts, named as in PartitionNode.
func (w *Cluster) HealNode(i int, hosts ...string) {
	w.eachHost(i, hosts, w.Network.Heal)
}

// eachHost does something to the links between a node and hosts.
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

// IsolateToWorkers cuts a node off from the key-value store and the other nodes, but
// not from workers.
func (w *Cluster) IsolateToWorkers(i int) { w.PartitionNode(i, stateHost, allNodes) }

// HealNodeIsolation ends what IsolateToWorkers began.
func (w *Cluster) HealNodeIsolation(i int) { w.HealNode(i, stateHost, allNodes) }

// PartitionMachine cuts a machine off from every node.
func (w *Cluster) PartitionMachine(name string) {
	for _, n := range w.nodes {
		w.Network.Cut(n.name, name)
	}
}

// HealMachine ends the cuts between a machine and the nodes.
func (w *Cluster) HealMachine(name string) {
	for _, n := range w.nodes {
		w.Network.Heal(n.name, name)
	}
}

// BlockHeartbeats lets a machine open no connection to any node, while direct
// commands reach it and are answered.
func (w *Cluster) BlockHeartbeats(name string) {
	for _, n := range w.nodes {
		w.Network.BlockOutgoing(name, n.name)
	}
}

// UnblockHeartbeats ends what BlockHeartbeats began.
func (w *Cluster) UnblockHeartbeats(name string) {
	for _, n := range w.nodes {
		w.Network.UnblockOutgoing(name, n.name)
	}
}

// BlockRepliesTo lets a machine's heartbeats arrive while nothing reaches it from the nodes.
func (w *Cluster) BlockRepliesTo(name string) {
	for _, n := range w.nodes {
		w.Network.BlockOneWay(n.name, name)
	}
}

// UnblockRepliesTo ends what BlockRepliesTo began. What was sent meanwhile arrives now,
// where it is still awaited.
func (w *Cluster) UnblockRepliesTo(name string) {
	for _, n := range w.nodes {
		w.Network.UnblockOneWay(n.name, name)
	}
}

// PartitionZone cuts the machines of a zone off from every node.
func (w *Cluster) PartitionZone(zone string) {
	for _, name := range w.machinesIn(zone) {
		w.PartitionMachine(name)
	}
}

// HealZonePartition ends what PartitionZone began.
func (w *Cluster) HealZonePartition(zone string) {
	for _, name := range w.machinesIn(zone) {
		w.HealMachine(name)
	}
}

// machinesIn lists the machines of a zone.
func (w *Cluster) machinesIn(zone string) (names []string) {
	for _, name := range w.Cloud.Machines() {
		if w.ZoneOf(name) == zone {
			names = append(names, name)
		}
	}
	return names
}

// IsolateZone cuts the nodes and the machines of a zone off from all that is not
// in it. Users, cloud and key-value store belong to no zone.
func (w *Cluster) IsolateZone(zone string) { w.eachLinkOut(zone, w.Network.Cut) }

// HealZoneIsolation ends what IsolateZone began.
func (w *Cluster) HealZoneIsolation(zone string) { w.eachLinkOut(zone, w.Network.Heal) }

// eachLinkOut does something to the links between what is in a zone and what is not.
func (w *Cluster) eachLinkOut(zone string, do func(inside, outside string)) {
	var inside []string
	outside := []string{stateHost, cloudHost, userHost}
	place := func(name, z string) {
		if z == zone {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	for _, n := range w.nodes {
		place(n.name, n.cfg.Zone)
	}
	for _, name := range w.Cloud.Machines() {
		place(name, w.ZoneOf(name))
	}
	for _, a := range inside {
		for _, b := range outside {
			do(a, b)
		}
	}
}
