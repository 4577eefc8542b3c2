// Forwarding of users' requests between controllers. Writes are forwarded to the owner of
// their bucket. While the key-value store does not serve this node, all requests are forwarded
// to a peer.

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

const (
	// bucketOwnerTimeout is how long to wait for the answer of a bucket's owner.
	bucketOwnerTimeout = 1600 * time.Millisecond
	// forwardedWriteTimeout is how long the owner works on a forwarded write. It is shorter
	// than bucketOwnerTimeout, so that an overloaded owner can still answer that it is busy.
	forwardedWriteTimeout = 1000 * time.Millisecond
	// minForwardTime is the time that must be left of a write's deadline for the write to be
	// forwarded again. The owner answers within this time.
	minForwardTime = forwardedWriteTimeout + 100*time.Millisecond
	// unresponsivePeerBackoff is how long a peer owns no bucket after it last failed to
	// answer, or answered that the key-value store does not serve it.
	unresponsivePeerBackoff = 3 * time.Second
	// peerRequestTimeout is how long to wait for one peer. A paused process accepts
	// connections but never responds. The other peers must be tried before the user's
	// request times out.
	peerRequestTimeout = 700 * time.Millisecond
)

// forwardToBucketOwner forwards a submission or a cancellation to the owner of its bucket,
// because writes of several nodes conflict on the bucket's head page. It returns false if the
// request is to be served here. Ownership is not a lock. Any node may change any bucket, and
// the compare-and-swap on the version of the head page keeps concurrent changes safe.
func (n *Node) forwardToBucketOwner(ctx context.Context, id string, request peerrpc.Request) (peerrpc.Answer, bool) {
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
	request.From = n.cfg.Node
	if answer, ok := n.forwardWhileBusy(ctx, owner, request); ok || ctx.Err() != nil {
		return answer, ok
	}
	if next := n.bucketOwner(bucket); next != nil && next != owner {
		return n.forwardWhileBusy(ctx, next, request)
	}
	return peerrpc.Answer{}, false
}

// forwardWhileBusy forwards a write to the owner of its bucket, and repeats it while the owner
// answers that the key-value store is busy. Each such answer shows that the owner is alive. A
// user who was refused instead would retry and reach the same owner. It returns false if the
// write is to be served here.
func (n *Node) forwardWhileBusy(ctx context.Context, owner *peerrpc.Peer, request peerrpc.Request) (peerrpc.Answer, bool) {
	for {
		answer, err := forwardOnce(ctx, owner, request)
		switch {
		case err != nil:
			n.log.Debug("write not forwarded", "op", request.Op, "peer", owner.Name, "err", err)
			return peerrpc.Answer{}, false
		case answer.Status != http.StatusServiceUnavailable:
			return answer, true
		case answer.RetryAfter != busyRetryAfterS:
			// The key-value store does not serve the owner, but it may serve this node.
			// Until it serves the owner again, all other nodes use the next owner instead
			// of writing to the bucket themselves.
			n.recordUnservedPeer(owner.Name)
			return peerrpc.Answer{}, false
		case !kvstore.PauseBeforeRetry(ctx) || !hasTimeLeft(ctx, minForwardTime):
			return answer, true
		}
	}
}

// hasTimeLeft reports whether at least minimum is left until the deadline of ctx. It returns
// true if ctx has no deadline.
func hasTimeLeft(ctx context.Context, minimum time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) >= minimum
}

// forwardOnce forwards a write and waits for the answer for at most bucketOwnerTimeout.
func forwardOnce(ctx context.Context, owner *peerrpc.Peer, request peerrpc.Request) (peerrpc.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, bucketOwnerTimeout)
	defer cancel()
	return owner.ForwardUserRequest(ctx, request)
}

// bucketOwner returns the node that should write to a bucket, or nil if this is the local
// node. It sorts all nodes by name and starts at the bucket's number. The first node that has
// not failed recently is the owner. If nodes disagree about the owner, their writes may
// conflict and are retried, but stay safe.
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

// isUnservedPeer reports whether a peer has recently answered that the key-value store does
// not serve it.
func (n *Node) isUnservedPeer(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, ok := n.unservedPeers[name]
	return ok && time.Since(at) <= unresponsivePeerBackoff
}

// serveForwardedWrite serves a write that a peer has forwarded because this node owns its
// bucket. The answer distinguishes an overloaded owner from an owner that the key-value store
// does not serve. Only in the latter case does the peer serve the write itself.
func (n *Node) serveForwardedWrite(ctx context.Context, request peerrpc.Request) peerrpc.Answer {
	ctx, cancel := context.WithTimeout(ctx, forwardedWriteTimeout)
	defer cancel()
	answer, err := n.serveLocally(ctx, request)
	if err != nil {
		n.log.Debug("forwarded write not served", "op", request.Op, "id", request.ID, "peer", request.From, "err", err)
	}
	switch {
	case err == nil:
		return answer
	case errors.Is(err, kvstore.ErrRateLimited) || ctx.Err() != nil:
		return storeBusy()
	}
	return storeUnreachable()
}

// forwardToPeers forwards a user's request to one peer after the other until one can serve
// it. It starts with the peers that are reachable or failed longest ago. Requests are
// idempotent, so it does no harm if two peers serve the same request. It returns false if no
// peer can serve the request.
func (n *Node) forwardToPeers(ctx context.Context, request peerrpc.Request) (peerrpc.Answer, bool) {
	peers := slices.Clone(n.peers)
	slices.SortStableFunc(peers, func(a, b *peerrpc.Peer) int { return a.FailedAt().Compare(b.FailedAt()) })
	for _, p := range peers {
		if ctx.Err() != nil {
			break
		}
		peerCtx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
		answer, err := p.ForwardUserRequest(peerCtx, request)
		cancel()
		if err == nil && answer.Status != http.StatusServiceUnavailable {
			return answer, true
		}
	}
	return peerrpc.Answer{}, false
}

// HandleUserRequest implements peerrpc.Handler. It serves a user's request that a peer
// forwards. The answer is a 503 if the key-value store does not serve this node.
func (n *Node) HandleUserRequest(ctx context.Context, request peerrpc.Request) peerrpc.Answer {
	if n.kvReachable() {
		if request.From != "" {
			return n.serveForwardedWrite(ctx, request)
		}
		if answer, err := n.serveLocally(ctx, request); err == nil {
			return answer
		}
	}
	return storeUnreachable()
}
