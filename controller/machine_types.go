// The catalog of machine types, from the cloud or from its copy in the key-value store.

package controller

import (
	"context"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	typesRefreshInterval = 60 * time.Second
	typesRetryInterval   = 3 * time.Second
)

// refreshMachineTypes keeps the catalog of machine types up to date until ctx ends. It reads
// the catalog from the cloud. If the cloud fails before any catalog is known, it reads the
// leader's copy in the key-value store.
func (n *Node) refreshMachineTypes(ctx context.Context) {
	for {
		wait := typesRefreshInterval
		types, err := n.cloud.MachineTypes(ctx)
		if err != nil || len(types) == 0 {
			wait = typesRetryInterval
			if n.machineTypes() == nil {
				if stored := n.storedMachineTypes(ctx); stored != nil {
					types = stored
				}
			}
			if err != nil {
				n.log.Info("machine types not loaded, retrying", "err", err)
			}
		}
		if len(types) > 0 {
			n.adoptMachineTypes(types)
		}
		if !call.Pause(ctx, wait) {
			return
		}
	}
}

// storedMachineTypes returns the leader's copy of the catalog, or nil if there is none or it
// can't be read.
func (n *Node) storedMachineTypes(ctx context.Context) []wire.MachineType {
	entry, err := n.kv.Get(ctx, jobstore.MachineTypesKey)
	var stored wire.Types
	if err != nil || entry.Version == 0 || wire.Unmarshal(entry.Value, &stored) != nil {
		return nil
	}
	return stored.Types
}

// adoptMachineTypes replaces the catalog of the node, and that of the model if this node
// leads.
func (n *Node) adoptMachineTypes(types []wire.MachineType) {
	n.mu.Lock()
	n.types = types
	l := n.active
	n.mu.Unlock()
	if l != nil {
		l.setTypes(types)
	}
}

// machineTypes returns the catalog, or nil if none is known yet.
func (n *Node) machineTypes() []wire.MachineType {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.types
}

func (l *leadership) setTypes(types []wire.MachineType) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.model.SetMachineTypes(types)
}

// saveMachineTypes copies the catalog to the key-value store, where nodes find it during an
// outage of the cloud. It reports whether it has written the copy, or the store has rejected it
// and would do so again.
func (l *leadership) saveMachineTypes(ctx context.Context) (done bool) {
	types := l.node.machineTypes()
	if types == nil {
		return false
	}
	err := l.putOwnRecord(ctx, jobstore.MachineTypesKey, wire.Types{Types: types})
	if kvstore.IsRejected(err) {
		l.log.Error("copy of the machine types not saved", "count", len(types), "err", err)
		return true
	}
	return err == nil
}
