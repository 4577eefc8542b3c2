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
	// dialTimeout bounds the wait for a connection, one's own or another caller's dialling.
	dialTimeout = 600 * time.Millisecond
	// dialBackoff is the time without dialling after a Peer was not reached, and
	// deadBackoff that after a connection has brought no answer.
	dialBackoff = 700 * time.Millisecond
	deadBackoff = 300 * time.Millisecond

	userTimeout     = 2500 * time.Millisecond
	recoveryTimeout = 1500 * time.Millisecond
	statusTimeout   = time.Second
)

// Peer sends single requests to another node, over one connection that is dialled when
// it is needed. It is safe for concurrent use.
type Peer struct {
	Name string
	addr string
	dial call.DialFunc

	dialing chan struct{} // held by the one caller that dials
	sending chan struct{} // and by the one that writes a request

	mu        sync.Mutex // guards what follows
	rpcClient *rpc.Client
	redialAt  time.Time // no dialling before this
	failedAt  time.Time // when it last did not answer, unless it has since
}

// NewPeer makes a Peer; it does not dial.
func NewPeer(name, addr string, dial call.DialFunc) *Peer {
	return &Peer{Name: name, addr: addr, dial: dial, dialing: make(chan struct{}, 1), sending: make(chan struct{}, 1)}
}

// FailedAt returns when the node last did not answer; zero if it has since.
func (p *Peer) FailedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failedAt
}

// ForwardUserRequest passes a user's request on.
func (p *Peer) ForwardUserRequest(ctx context.Context, r Request) (Answer, error) {
	return p.ask(ctx, userTimeout, "User", r)
}

// FetchRecoveredRecord asks what the node remembers of a record.
func (p *Peer) FetchRecoveredRecord(ctx context.Context, r Request) (Answer, error) {
	return p.ask(ctx, recoveryTimeout, "Recall", r)
}

func (p *Peer) ask(ctx context.Context, timeout time.Duration, method string, r Request) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var a Answer
	if err := p.call(ctx, method, r.message(), &a); err != nil {
		return Answer{}, err
	}
	return a, nil
}

// Status asks how the node is, and tells it about this one.
func (p *Peer) Status(ctx context.Context, r Request) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var m StatusMessage
	if err := p.call(ctx, "Status", r.message(), &m); err != nil {
		return Status{}, err
	}
	return m.status(), nil
}

// Overview asks for what an operator would, as JSON.
func (p *Peer) Overview(ctx context.Context) ([]byte, error) { return p.fetch(ctx, "Overview") }

// Machines asks for the machines as a leader sees them, as JSON.
func (p *Peer) Machines(ctx context.Context) ([]byte, error) { return p.fetch(ctx, "Machines") }

func (p *Peer) fetch(ctx context.Context, method string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var out []byte
	if err := p.call(ctx, method, RequestMessage{}, &out); err != nil {
		return nil, err
	}
	return out, nil
}

// existing returns the connection there is, if any, and whether one may be dialled.
func (p *Peer) existing() (*rpc.Client, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rpcClient, !time.Now().Before(p.redialAt)
}

// connect connects if need be. Nobody waits for another's dialling longer than
// for an answer.
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

// call calls a method of the node and waits for the answer until ctx ends.
func (p *Peer) call(ctx context.Context, method string, in, out any) error {
	c, err := p.connect(ctx)
	if err != nil {
		p.recordOutcome(err)
		return err
	}
	// net/rpc writes the request before Go returns, and lets one caller write at
	// a time: to a node that reads nothing any more that may take for ever.
	select {
	case p.sending <- struct{}{}:
	case <-ctx.Done():
		return fmt.Errorf("peerrpc: wait to send %s to %s: %w", method, p.Name, ctx.Err())
	}
	done := make(chan *rpc.Call, 1)
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
	var answered rpc.ServerError
	if errors.As(err, &answered) {
		p.recordOutcome(nil)
	} else {
		p.recordOutcome(err)
		p.drop(c) // it may be dead without an error
	}
	return fmt.Errorf("peerrpc: call %s of %s: %w", method, p.Name, err)
}

// recordOutcome takes note of whether the node has answered.
func (p *Peer) recordOutcome(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failedAt = time.Time{}
	if err != nil {
		p.failedAt = time.Now()
	}
}

// drop closes a connection that brings no answer, so that the next call dials.
func (p *Peer) drop(c *rpc.Client) {
	p.mu.Lock()
	if p.rpcClient == c {
		p.rpcClient = nil
		p.redialAt = time.Now().Add(deadBackoff)
	}
	p.mu.Unlock()
	_ = c.Close() // fails only where it is closed already
}
