package controller

import (
	"context"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

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
