package controller

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/peerrpc"
)

// This file forwards users' requests between controllers: writes to the owner of their
// bucket, and everything to a peer while the key-value store does not serve this node.

const (
	// bucketOwnerTimeout is how long to wait for a bucket's owner, and
	// forwardedWriteTimeout how long the owner works on a forwarded write. The latter is
	// shorter, so that an overloaded owner can still respond that it is.
	bucketOwnerTimeout    = 1600 * time.Millisecond
	forwardedWriteTimeout = 1000 * time.Millisecond
	// minForwardTime is what a write must have left to be forwarded again: the time in which
	// the owner answers.
	minForwardTime = forwardedWriteTimeout + 100*time.Millisecond
	// unresponsivePeerBackoff is how long a peer owns no bucket after it last failed to
	// answer, or answered that the key-value store does not serve it.
	unresponsivePeerBackoff = 3 * time.Second
	// peerRequestTimeout is how long to wait for one peer. A paused process still accepts
	// connections but never responds, and the other peers must be tried before the user's
	// request times out.
	peerRequestTimeout = 700 * time.Millisecond
)

// forwardToBucketOwner forwards a submission or a cancellation to the owner of its
// bucket, where several nodes would conflict on the bucket's head page. It returns false
// where the request is to be served here. Ownership avoids conflicts but is not a lock:
// any node may change any bucket, and the compare-and-swap on the version of the head
// page keeps concurrent changes safe.
func (n *Node) forwardToBucketOwner(ctx context.Context, id string, r peerrpc.Request) (peerrpc.Answer, bool) {
	schema := n.jobs.Schema()
	if schema.Version < jobstore.SchemaJobPages {
		return peerrpc.Answer{}, false
	}
	bucket := schema.Bucket(id)
	if !n.jobs.ShouldRouteToOwner(bucket) {
		return peerrpc.Answer{}, false
	}
	owner := n.bucketOwner(bucket)
	if owner == nil {
		return peerrpc.Answer{}, false
	}
	r.From = n.cfg.Node
	if a, ok := n.forwardWhileBusy(ctx, owner, r); ok || ctx.Err() != nil {
		return a, ok
	}
	if next := n.bucketOwner(bucket); next != nil && next != owner {
		return n.forwardWhileBusy(ctx, next, r)
	}
	return peerrpc.Answer{}, false
}

// forwardWhileBusy forwards a write to the owner of its bucket, again and again while the owner answers
// that the key-value store is busy: each answer shows that the owner works on it, and a user who was sent
// away instead would come back to it later. It returns false if the write is to be served here.
func (n *Node) forwardWhileBusy(ctx context.Context, owner *peerrpc.Peer, r peerrpc.Request) (peerrpc.Answer, bool) {
	for {
		a, err := forwardOnce(ctx, owner, r)
		switch {
		case err != nil:
			n.log.Debug("write not forwarded", "op", r.Op, "peer", owner.Name, "err", err)
			return peerrpc.Answer{}, false
		case a.Status != http.StatusServiceUnavailable:
			return a, true
		case a.RetryAfter != busyRetryAfterS:
			// The owner's store connection fails, ours may not. Until it works again, all other nodes
			// agree on the next owner, instead of each writing to the bucket itself.
			n.recordUnservedPeer(owner.Name)
			return peerrpc.Answer{}, false
		case !kvstore.PauseBeforeRetry(ctx) || !hasTimeLeft(ctx, minForwardTime):
			return a, true
		}
	}
}

// hasTimeLeft reports whether a context's deadline is at least so far away.
func hasTimeLeft(ctx context.Context, least time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) >= least
}

// forwardOnce forwards a write and waits for the answer, at most for bucketOwnerTimeout.
func forwardOnce(ctx context.Context, owner *peerrpc.Peer, r peerrpc.Request) (peerrpc.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, bucketOwnerTimeout)
	defer cancel()
	return owner.ForwardUserRequest(ctx, r)
}

// bucketOwner returns the node that should write to a bucket, or nil for this node. All
// nodes are sorted by name; starting at the bucket's number, the first one that has not
// failed recently is the owner. Nodes may disagree about that, which costs conflicts only.
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
		if p := n.peerNamed(name); p != nil && time.Since(p.FailedAt()) > unresponsivePeerBackoff && !n.isUnservedPeer(name) {
			return p
		}
	}
	return nil
}

// recordUnservedPeer records that the key-value store does not serve a peer at present.
func (n *Node) recordUnservedPeer(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unservedPeers[name] = time.Now()
}

// isUnservedPeer reports whether a peer has recently said that the key-value store does not serve it.
func (n *Node) isUnservedPeer(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, ok := n.unservedPeers[name]
	return ok && time.Since(at) <= unresponsivePeerBackoff
}

// serveForwardedWrite serves a write that a peer has forwarded because this node owns
// its bucket. The response distinguishes an overloaded owner from one that can't reach
// the store: only in the latter case does the peer serve the write itself.
func (n *Node) serveForwardedWrite(ctx context.Context, r peerrpc.Request) peerrpc.Answer {
	ctx, cancel := context.WithTimeout(ctx, forwardedWriteTimeout)
	defer cancel()
	a, err := n.serveLocally(ctx, r)
	if err != nil {
		n.log.Debug("forwarded write not served", "op", r.Op, "id", r.ID, "peer", r.From, "err", err)
	}
	switch {
	case err == nil:
		return a
	case errors.Is(err, kvstore.ErrRateLimited) || ctx.Err() != nil:
		return storeBusy()
	}
	return storeUnreachable()
}

// forwardToPeers forwards a user's request to one peer after the other, least recently
// failed first, until one can serve it. Requests are idempotent, so that it is harmless
// if two peers serve the same one.
func (n *Node) forwardToPeers(ctx context.Context, r peerrpc.Request) (peerrpc.Answer, bool) {
	peers := slices.Clone(n.peers)
	slices.SortStableFunc(peers, func(a, b *peerrpc.Peer) int { return a.FailedAt().Compare(b.FailedAt()) })
	for _, p := range peers {
		if ctx.Err() != nil {
			break
		}
		pctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
		a, err := p.ForwardUserRequest(pctx, r)
		cancel()
		if err == nil && a.Status != http.StatusServiceUnavailable {
			return a, true
		}
	}
	return peerrpc.Answer{}, false
}

// HandleUserRequest implements peerrpc.Handler: it serves a request that a peer forwards.
func (n *Node) HandleUserRequest(ctx context.Context, r peerrpc.Request) peerrpc.Answer {
	if n.kvReachable() {
		if r.From != "" {
			return n.serveForwardedWrite(ctx, r)
		}
		if a, err := n.serveLocally(ctx, r); err == nil {
			return a
		}
	}
	return storeUnreachable()
}
