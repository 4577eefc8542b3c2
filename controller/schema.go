package controller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/peerrpc"
	"github.com/umberdeal/umberdeal/wire"
)

// This file is about the form of the records, and about which node adds jobs to
// a bucket (docs/jobstore.md).

// schemaVersion is the newest form of records that this node is to have written.
func (n *Node) schemaVersion() int {
	if !n.tuning.Ledger.Intake {
		return jobstore.SchemaJobKeys
	}
	return jobstore.LatestSchema
}

// migrateSchema has records written in the newest form once every node says that it
// reads that. While one is of an earlier version, or can't be asked, the form
// stays as it is, so that that version can be gone back to.
func (l *leadership) migrateSchema(ctx context.Context) {
	if l.node.schemaVersion() < jobstore.SchemaJobPages {
		return
	}
	wait := 300 * time.Millisecond
	for ctx.Err() == nil {
		done, err := l.tryMigrateSchema(ctx)
		if done {
			// Higher once somebody wants a plan.
			select {
			case <-ctx.Done():
				return
			case <-l.schemaWake:
			}
			wait = 300 * time.Millisecond
			continue
		}
		if err != nil {
			l.log.Debug("the form of the records stays", "why", err)
		}
		if !call.Pause(ctx, wait) {
			return
		}
		wait = min(2*wait, 5*time.Second)
	}
}

// targetSchemaVersion is the form that records are to be written in. As long as nobody
// wants a plan, it is one that the version before reads as well.
func (l *leadership) targetSchemaVersion(ctx context.Context) (int, error) {
	asked, err := l.node.kv.Get(ctx, jobstore.PlanRequestedKey)
	if err != nil {
		return 0, err
	}
	if asked.Version != 0 {
		return jobstore.SchemaPlans, nil
	}
	return jobstore.SchemaJobPages, nil
}

func (l *leadership) tryMigrateSchema(ctx context.Context) (done bool, err error) {
	form, err := l.targetSchemaVersion(ctx)
	if err != nil {
		return false, err
	}
	for _, p := range l.node.peers {
		s, err := p.Status(ctx, l.node.statusRequest())
		if err != nil {
			return false, err
		}
		if s.Form < form {
			return false, fmt.Errorf("%s reads form %d", p.Name, s.Form)
		}
	}
	e, err := l.node.kv.Get(ctx, jobstore.SchemaKey)
	if err != nil {
		return false, err
	}
	var now jobstore.SchemaRecord
	if e.Version != 0 {
		if now, err = jobstore.DecodeSchema(e.Value); err != nil {
			return false, err
		}
	}
	if max(now.Version, form) >= jobstore.SchemaPlans {
		l.markPlanRequested() // also where this one's commit is applied and its answer lost
	}
	if now.Version >= form {
		return true, l.ensureSchemaCopy(ctx, now, e.Version)
	}
	next := jobstore.SchemaRecord{Version: form, Buckets: max(1, len(l.node.peers)+1)}
	if now.Buckets > 0 {
		next.Buckets = now.Buckets
	}
	_, err = l.node.kv.CompareAndSwap(ctx, []wire.Guard{l.leaderGuard(), {Key: jobstore.SchemaKey, Version: e.Version}},
		[]wire.Op{{Put: jobstore.SchemaKey, Value: next}, {Put: jobstore.SchemaCopyKey, Value: next}})
	if err != nil {
		return false, err
	}
	l.log.Info("records are written in a new form; earlier versions can't read it", "form", next.Version, "buckets", next.Buckets)
	return true, nil
}

// ensureSchemaCopy sees to it that the form's copy is there: a version before has written
// none.
func (l *leadership) ensureSchemaCopy(ctx context.Context, form jobstore.SchemaRecord, version uint64) error {
	if version == 0 {
		return nil
	}
	e, err := l.node.kv.Get(ctx, jobstore.SchemaCopyKey)
	if err != nil {
		return err
	}
	if was, err := jobstore.DecodeSchema(e.Value); err == nil && was == form {
		return nil
	}
	_, err = l.node.kv.CompareAndSwap(ctx, []wire.Guard{l.leaderGuard(), {Key: jobstore.SchemaKey, Version: version}},
		[]wire.Op{{Put: jobstore.SchemaCopyKey, Value: form}})
	return err
}

const (
	// bucketOwnerTimeout is how long the node that adds jobs to a bucket is waited for, and
	// bucketWithin how long that one takes at most: then it says that it is busy.
	bucketOwnerTimeout    = 1600 * time.Millisecond
	forwardedWriteTimeout = 1200 * time.Millisecond
	// unresponsivePeerBackoff is for how long a node that did not answer is passed over.
	unresponsivePeerBackoff = 3 * time.Second
)

// forwardToBucketOwner hands a submission or a cancellation to the node that adds jobs to
// its bucket, where several nodes would be in one another's way. It is a matter of
// speed only: any node may change any bucket, and the head's version tells who was
// first.
func (n *Node) forwardToBucketOwner(ctx context.Context, id string, r peerrpc.Request) (peerrpc.Answer, bool) {
	form := n.jobs.Schema()
	if form.Version < jobstore.SchemaJobPages {
		return peerrpc.Answer{}, false
	}
	bucket := form.Bucket(id)
	if !n.jobs.Contended(bucket) {
		return peerrpc.Answer{}, false
	}
	p := n.bucketOwner(bucket)
	if p == nil {
		return peerrpc.Answer{}, false
	}
	pctx, cancel := context.WithTimeout(ctx, bucketOwnerTimeout)
	defer cancel()
	r.From = n.cfg.Node
	a, err := p.ForwardUserRequest(pctx, r)
	switch {
	case err != nil:
		n.log.Debug("not passed on", "op", r.Op, "to", p.Name, "err", err)
		return peerrpc.Answer{}, false
	case a.Status == http.StatusServiceUnavailable && a.RetryAfter != busyRetryAfterS:
		return peerrpc.Answer{}, false // it is that node's trouble
	}
	return a, true
}

// bucketOwner is the node that adds jobs to a bucket: the first, counted from the
// bucket's own, that has answered lately; nil is this one.
func (n *Node) bucketOwner(bucket int) *peerrpc.Peer {
	names := []string{n.cfg.Node}
	for _, p := range n.peers {
		names = append(names, p.Name)
	}
	slices.Sort(names)
	for i := range names {
		name := names[(bucket+i)%len(names)]
		if name == n.cfg.Node {
			return nil
		}
		if p := n.peerNamed(name); p != nil && time.Since(p.FailedAt()) > unresponsivePeerBackoff {
			return p
		}
	}
	return nil
}

// serveForwardedWrite serves a submission that another node has passed on because it belongs
// to this node's bucket.
func (n *Node) serveForwardedWrite(ctx context.Context, r peerrpc.Request) peerrpc.Answer {
	ctx, cancel := context.WithTimeout(ctx, forwardedWriteTimeout)
	defer cancel()
	a, err := n.serveLocally(ctx, r)
	switch {
	case err == nil:
		return a
	case errors.Is(err, kvstore.ErrRateLimited) || ctx.Err() != nil:
		return newAnswer(http.StatusServiceUnavailable, wire.Error{Error: "the state service is busy"}, busyRetryAfterS)
	}
	return newAnswer(http.StatusServiceUnavailable, wire.Error{Error: "the state service is not reached"}, 1)
}
