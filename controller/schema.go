// Migration of the stored records to a newer schema during a rolling upgrade; see
// docs/jobstore.md.

package controller

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/peerrpc"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	schemaRetryMin = 300 * time.Millisecond
	schemaRetryMax = 5 * time.Second
)

// schemaVersion returns the newest schema that this node allows to be written.
func (n *Node) schemaVersion() int {
	if !n.tuning.JobStore.SharedPages {
		return jobstore.SchemaJobKeys
	}
	return jobstore.LatestSchema
}

// schemaMigration raises the schema once every controller can read the newer one. While a
// controller runs an earlier program or does not answer, the schema stays as it is, so that
// the upgrade can be rolled back. A schemaMigration belongs to one leadership. Every write is
// conditional on its fencing token.
type schemaMigration struct {
	kv           *kvstore.Client
	leaderGuard  wire.Guard
	peers        []*peerrpc.Peer
	request      func() peerrpc.Request // makes the status request sent to each peer
	onPlanSchema func()                 // called before a schema that allows plans is committed
	wake         <-chan struct{}        // signals that a plan may have been requested
	log          *slog.Logger
}

// migrateSchema migrates the schema until ctx ends. It does nothing if this node's settings
// don't allow newer schemas.
func (l *leadership) migrateSchema(ctx context.Context) {
	if l.node.schemaVersion() < jobstore.SchemaJobPages {
		return
	}
	m := &schemaMigration{
		kv: l.node.kv, leaderGuard: l.leaderGuard(), peers: l.node.peers, request: l.node.statusRequest,
		onPlanSchema: l.markPlanRequested, wake: l.schemaWake, log: l.log,
	}
	m.run(ctx)
}

func (m *schemaMigration) run(ctx context.Context) {
	wait := schemaRetryMin
	for ctx.Err() == nil {
		done, err := m.tryMigrate(ctx)
		if done {
			// The target is raised when an operator first requests a plan.
			select {
			case <-ctx.Done():
				return
			case <-m.wake:
			}
			wait = schemaRetryMin
			continue
		}
		if err != nil {
			m.log.Debug("schema migration deferred", "err", err)
		}
		if !call.Pause(ctx, wait) {
			return
		}
		wait = min(2*wait, schemaRetryMax)
	}
}

// targetSchemaVersion returns the schema version that records are to be written in. It is
// SchemaPlans only after an operator has requested a plan. Until then the previous program
// version can read the schema too, so that an upgrade can be rolled back.
func targetSchemaVersion(ctx context.Context, kv *kvstore.Client) (int, error) {
	requested, err := kv.Get(ctx, jobstore.PlanRequestedKey)
	if err != nil {
		return 0, err
	}
	if requested.Version != 0 {
		return jobstore.SchemaPlans, nil
	}
	return jobstore.SchemaJobPages, nil
}

// tryMigrate raises the schema if this is possible now. If done is true, the stored schema is
// at least the target. err may still be set then, if its copy could not be written.
func (m *schemaMigration) tryMigrate(ctx context.Context) (done bool, err error) {
	target, err := targetSchemaVersion(ctx, m.kv)
	if err != nil {
		return false, err
	}
	if err := m.checkPeers(ctx, target); err != nil {
		return false, err
	}
	entry, err := m.kv.Get(ctx, jobstore.SchemaKey)
	if err != nil {
		return false, err
	}
	var current jobstore.SchemaRecord
	if entry.Version != 0 {
		if current, err = jobstore.DecodeSchema(entry.Value); err != nil {
			return false, err
		}
	}
	if max(current.Version, target) >= jobstore.SchemaPlans {
		m.onPlanSchema() // before the commit, which may succeed although its response is lost
	}
	if current.Version >= target {
		return true, m.ensureCopy(ctx, current, entry.Version)
	}
	next := jobstore.SchemaRecord{Version: target, Buckets: max(1, len(m.peers)+1)}
	if current.Buckets > 0 {
		next.Buckets = current.Buckets
	}
	_, err = m.kv.CompareAndSwap(ctx, []wire.Guard{m.leaderGuard, {Key: jobstore.SchemaKey, Version: entry.Version}},
		[]wire.Op{{Put: jobstore.SchemaKey, Value: next}, {Put: jobstore.SchemaCopyKey, Value: next}})
	if err != nil {
		return false, err
	}
	m.log.Info("schema migrated; earlier program versions can't read it", "schema", next.Version, "buckets", next.Buckets)
	return true, nil
}

// checkPeers returns an error unless every peer answers and reads the given schema.
func (m *schemaMigration) checkPeers(ctx context.Context, version int) error {
	for _, p := range m.peers {
		status, err := p.Status(ctx, m.request())
		if err != nil {
			return fmt.Errorf("ask %s which schema it reads: %w", p.Name, err)
		}
		if status.SchemaVersion < version {
			return fmt.Errorf("%s reads schema %d", p.Name, status.SchemaVersion)
		}
	}
	return nil
}

// ensureCopy writes the stored copy of the schema record if it is missing or different. The
// first program versions with a schema did not write the copy.
func (m *schemaMigration) ensureCopy(ctx context.Context, schema jobstore.SchemaRecord, version uint64) error {
	if version == 0 {
		return nil
	}
	entry, err := m.kv.Get(ctx, jobstore.SchemaCopyKey)
	if err != nil {
		return err
	}
	if stored, err := jobstore.DecodeSchema(entry.Value); err == nil && stored == schema {
		return nil
	}
	_, err = m.kv.CompareAndSwap(ctx, []wire.Guard{m.leaderGuard, {Key: jobstore.SchemaKey, Version: version}},
		[]wire.Op{{Put: jobstore.SchemaCopyKey, Value: schema}})
	return err
}
