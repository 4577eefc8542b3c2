// The client for single requests to another node.

package peerrpc

import (
	"context"
	"errors"
	"fmt"
	"net/rpc"
	"sync"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
)

const (
	// dialTimeout bounds the wait for a connection, also if another caller dials it.
	dialTimeout = 600 * time.Millisecond
	// dialBackoff is the time before the next dial after a failed dial.
	dialBackoff = 700 * time.Millisecond
	// deadBackoff is the time before the next dial after a connection was dropped because
	// a call on it failed.
	deadBackoff = 300 * time.Millisecond

	userTimeout     = 2500 * time.Millisecond
	recoveryTimeout = 1500 * time.Millisecond
	statusTimeout   = time.Second
)

// Peer sends single requests to another node over one connection, which it dials on
// demand. It is safe for concurrent use.
type Peer struct {
	Name string // of the node
	addr string // host:port of the node
	dial call.DialFunc

	dialing chan struct{} // semaphore: one caller dials at a time
	sending chan struct{} // semaphore: one request is written at a time

	mu         sync.Mutex // guards the fields below
	rpcClient  *rpc.Client
	redialAt   time.Time // earliest time of the next dial
	failedAt   time.Time // time of the last unanswered call; zero if a later call was answered
	answeredAt time.Time // time of the last answer
}

// NewPeer returns a Peer for the node at addr. It does not dial.
func NewPeer(name, addr string, dial call.DialFunc) *Peer {
	return &Peer{Name: name, addr: addr, dial: dial, dialing: make(chan struct{}, 1), sending: make(chan struct{}, 1)}
}

// FailedAt returns the time when the node last failed to answer. It returns the zero time
// if the node has answered since then, or was never called.
func (p *Peer) FailedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failedAt
}

// ForwardUserRequest sends a user's request to the node and returns its answer. It waits for at most
// userTimeout. After an error it is unknown whether the node has handled the request.
func (p *Peer) ForwardUserRequest(ctx context.Context, r Request) (Answer, error) {
	return p.ask(ctx, userTimeout, "User", r)
}

// FetchRecoveredRecord asks the node for its copy of a record that can no longer be
// decoded. It waits for at most recoveryTimeout. See Handler.RecoverRecord for the answer.
func (p *Peer) FetchRecoveredRecord(ctx context.Context, r Request) (Answer, error) {
	return p.ask(ctx, recoveryTimeout, "Recall", r)
}

// ask calls a method that returns an Answer, within timeout.
func (p *Peer) ask(ctx context.Context, timeout time.Duration, method string, r Request) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var a Answer
	if err := p.call(ctx, method, r.message(), &a); err != nil {
		return Answer{}, err
	}
	return a, nil
}

// Status returns the node's status. The request also tells the node about this node's
// capacity and unreadable record.
func (p *Peer) Status(ctx context.Context, r Request) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var m StatusMessage
	if err := p.call(ctx, "Status", r.message(), &m); err != nil {
		return Status{}, err
	}
	return m.status(), nil
}

// Overview returns the node's overview for operators, as JSON.
func (p *Peer) Overview(ctx context.Context) ([]byte, error) { return p.fetch(ctx, "Overview") }

// Machines returns the machines in the leader's model, as JSON. The result is empty if the
// node does not lead.
func (p *Peer) Machines(ctx context.Context) ([]byte, error) { return p.fetch(ctx, "Machines") }

// fetch calls a method that needs no request data and returns bytes.
func (p *Peer) fetch(ctx context.Context, method string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var out []byte
	if err := p.call(ctx, method, RequestMessage{}, &out); err != nil {
		return nil, err
	}
	return out, nil
}

// existing returns the current connection, or nil if there is none. mayDial reports
// whether the backoff permits a dial.
func (p *Peer) existing() (current *rpc.Client, mayDial bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rpcClient, !time.Now().Before(p.redialAt)
}

// connect returns the current connection, or dials one. It waits for at most dialTimeout,
// including the time that another caller takes to dial.
func (p *Peer) connect(ctx context.Context) (*rpc.Client, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if c, _ := p.existing(); c != nil {
		return c, nil
	}
	select {
	case p.dialing <- struct{}{}:
		defer func() { <-p.dialing }()
	case <-ctx.Done():
		return nil, fmt.Errorf("peerrpc: wait for a connection to %s: %w", p.Name, ctx.Err())
	}
	c, mayDial := p.existing()
	if c != nil {
		return c, nil
	}
	if !mayDial {
		return nil, fmt.Errorf("peerrpc: %s: %w", p.Name, errBackoff)
	}
	conn, err := p.dial(ctx, "tcp", p.addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.redialAt = time.Now().Add(dialBackoff)
		return nil, fmt.Errorf("peerrpc: dial %s: %w", p.Name, err)
	}
	p.rpcClient = rpc.NewClient(conn)
	return p.rpcClient, nil
}

// call calls a method of the node and waits for its answer until ctx ends.
func (p *Peer) call(ctx context.Context, method string, in, out any) error {
	c, err := p.connect(ctx)
	if err != nil {
		p.recordOutcome(err)
		return err
	}
	// rpc.Client.Go returns only after it has written the request, and holds a lock
	// until then. If the node has stopped reading, the write may block indefinitely. The
	// call therefore runs in a goroutine of its own, and only one of them runs at a time.
	select {
	case p.sending <- struct{}{}:
	case <-ctx.Done():
		return fmt.Errorf("peerrpc: wait to send %s to %s: %w", method, p.Name, ctx.Err())
	}
	done := make(chan *rpc.Call, 1)
	began := time.Now()
	go func() { // ends at the latest when the connection is dropped
		defer func() { <-p.sending }()
		c.Go(serviceName+"."+method, in, out, done)
	}()
	select {
	case finished := <-done:
		err = finished.Error
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err == nil {
		p.recordOutcome(nil)
		return nil
	}
	var serverError rpc.ServerError
	switch {
	case errors.As(err, &serverError):
		p.recordOutcome(nil)
	case ctx.Err() != nil && p.answeredSince(began):
		// The node answers other calls, and only this one exceeds its timeout. Closing the
		// connection would make the other calls on it fail.
	default:
		p.recordOutcome(err)
		p.drop(c) // also after a timeout, because a dead connection may report no error
	}
	return fmt.Errorf("peerrpc: call %s of %s: %w", method, p.Name, err)
}

// recordOutcome records whether the node answered. err is nil if the node answered, even
// with an error of its own.
func (p *Peer) recordOutcome(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failedAt = time.Now()
		return
	}
	p.failedAt, p.answeredAt = time.Time{}, time.Now()
}

// answeredSince reports whether the node has answered a call after t.
func (p *Peer) answeredSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answeredAt.After(t)
}

// drop closes a connection on which a call failed, so that a later call dials a new one.
func (p *Peer) drop(c *rpc.Client) {
	p.mu.Lock()
	if p.rpcClient == c {
		p.rpcClient = nil
		p.redialAt = time.Now().Add(deadBackoff)
	}
	p.mu.Unlock()
	_ = c.Close() // fails only if already closed
}
