package controller

import (
	"context"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	typesRefreshInterval = 60 * time.Second
	typesRetryInterval   = 3 * time.Second
)

// refreshMachineTypes keeps the catalogue of machine types, from the cloud or else
// from the copy that the leader leaves in the key-value store.
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

// storedMachineTypes is the leader's copy, nil where there is none or it can't be read.
func (n *Node) storedMachineTypes(ctx context.Context) []wire.MachineType {
	e, err := n.kv.Get(ctx, jobstore.MachineTypesKey)
	var t wire.Types
	if err != nil || e.Version == 0 || wire.Unmarshal(e.Value, &t) != nil {
		return nil
	}
	return t.Types
}

// adoptMachineTypes makes types the node's, and the model's if this node leads.
func (n *Node) adoptMachineTypes(types []wire.MachineType) {
	n.mu.Lock()
	n.types = types
	l := n.active
	n.mu.Unlock()
	if l != nil {
		l.setTypes(types)
	}
}

// machineTypes is the catalogue as far as it is known, nil before it is.
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

// saveMachineTypes leaves the catalogue where nodes find it during an outage of the
// cloud.
func (l *leadership) saveMachineTypes(ctx context.Context) bool {
	types := l.node.machineTypes()
	if types == nil {
		return false
	}
	return l.putOwnRecord(ctx, jobstore.MachineTypesKey, wire.Types{Types: types}) == nil
}
