// Package mesh is what the controller nodes say to one another, over net/rpc.
package peerrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"golang.org/x/net/netutil"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/routing"
)

// Request is a report or a user's request, passed on as it came.
type Request struct {
	Op   string // of a user's request
	ID   string
	Body []byte

	From string  // the node that asks; of a user's request: that has passed it on to its bucket's node
	Room int     // how many workers' connections it keeps
	AgoS float64 // of a report: seconds since the worker's last answer there; negative if not known

	Lost   string // of a status: a record that the node that asks can't read; of a recall: where it stood before
	LostAt uint64 // in which version
	At     uint64 // of a recall: the version of the record ID
}

// Answer is what came of it.
type Answer struct {
	Status     int
	Body       []byte
	RetryAfter int
	Repeated   bool // of a report that had been answered before: nobody may wait for this answer
}

// Status is what a node says of itself.
type Status struct {
	Node    string
	Leader  string
	StateOK bool
	Plan    *routing.Plan // of the leader: where workers report
	Form    int           // the newest form of records that the node reads
}

// Handler serves the other nodes.
type Handler interface {
	HandleHeartbeat(ctx context.Context, r Request) Answer
	HandleUserRequest(ctx context.Context, r Request) Answer
	Status(asks Request) Status
	RecoverRecord(ctx context.Context, r Request) Answer
	Overview() []byte
	Machines() []byte
}

// Mesh is the service as net/rpc sees it.
type Mesh struct {
	h   Handler
	ctx context.Context
	sem chan struct{} // users' requests under way
	rep chan struct{} // reports under way
}

// ErrOverloaded says that too much is under way already.
var ErrOverloaded = errors.New("busy")

// serve runs a request of another node, as long as not too many are under way.
func (m *Mesh) serve(sem chan struct{}, f func(ctx context.Context)) error {
	select {
	case sem <- struct{}{}:
		defer func() { <-sem }()
	default:
		return ErrOverloaded
	}
	ctx, cancel := context.WithTimeout(m.ctx, 3*time.Second)
	defer cancel()
	f(ctx)
	return nil
}

// Report handles a worker's report that another node received.
func (m *Mesh) Report(r Request, a *Answer) error {
	return m.serve(m.rep, func(ctx context.Context) { *a = m.h.HandleHeartbeat(ctx, r) })
}

// User handles a user's request that another node could not serve.
func (m *Mesh) User(r Request, a *Answer) error {
	return m.serve(m.sem, func(ctx context.Context) { *a = m.h.HandleUserRequest(ctx, r) })
}

// Recall says what this node remembers of a record that can't be read any more: 200
// with a jobstore.RecoveryCopy, or 404.
func (m *Mesh) Recall(r Request, a *Answer) error {
	return m.serve(m.sem, func(ctx context.Context) { *a = m.h.RecoverRecord(ctx, r) })
}

// Status says how this node is.
func (m *Mesh) Status(r Request, s *Status) error {
	*s = m.h.Status(r)
	return nil
}

// Overview says what an operator would ask of this node, as JSON.
func (m *Mesh) Overview(_ Request, out *[]byte) error {
	*out = m.h.Overview()
	return nil
}

// Machines lists the machines as a leader sees them, as JSON.
func (m *Mesh) Machines(_ Request, out *[]byte) error {
	*out = m.h.Machines()
	return nil
}

// maxUserRequests is how many users' requests of other nodes are under way at most.
const maxUserRequests = 256

// Serve answers other nodes until ctx ends, with at most so many workers'
// reports under way.
func Serve(ctx context.Context, l net.Listener, h Handler, reports int) error {
	srv := rpc.NewServer()
	m := &Mesh{h: h, ctx: ctx, sem: make(chan struct{}, maxUserRequests), rep: make(chan struct{}, max(64, reports))}
	if err := srv.Register(m); err != nil {
		return fmt.Errorf("mesh: %w", err)
	}
	l = netutil.LimitListener(l, 64)
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() {
				continue
			}
			time.Sleep(50 * time.Millisecond)
			if errors.Is(err, net.ErrClosed) {
				return fmt.Errorf("mesh: %w", err)
			}
			continue
		}
		go func() {
			g := newBatchingConn(conn)
			end := context.AfterFunc(ctx, func() { g.Close() })
			defer end()
			defer g.Close()
			srv.ServeConn(g)
		}()
	}
}

// Peer is another node, dialled when it is needed.
type Peer struct {
	Name string
	addr string
	dial call.DialFunc

	dialing chan struct{} // held by the one caller that dials
	sending chan struct{} // and by the one that writes a request

	mu        sync.Mutex
	rpcClient *rpc.Client
	redialAt  time.Time // no dialling before this
	failedAt  time.Time // when it last did not answer, unless it has since
}

// FailedAt says when the node last did not answer; zero if it has since.
func (p *Peer) FailedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failedAt
}

func (p *Peer) recordOutcome(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failedAt = time.Time{}
	if err != nil {
		p.failedAt = time.Now()
	}
}

// NewPeer makes a peer.
func NewPeer(name, addr string, dial call.DialFunc) *Peer {
	return &Peer{Name: name, addr: addr, dial: dial, dialing: make(chan struct{}, 1), sending: make(chan struct{}, 1)}
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
	ctx, cancel := context.WithTimeout(ctx, 600*time.Millisecond)
	defer cancel()
	if c, _ := p.existing(); c != nil {
		return c, nil
	}
	select {
	case p.dialing <- struct{}{}:
		defer func() { <-p.dialing }()
	case <-ctx.Done():
		return nil, fmt.Errorf("mesh: %s: %w", p.Name, ctx.Err())
	}
	c, may := p.existing()
	if c != nil {
		return c, nil
	}
	if !may {
		return nil, fmt.Errorf("mesh: %s was not reached a moment ago", p.Name)
	}
	conn, err := p.dial(ctx, "tcp", p.addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.redialAt = time.Now().Add(700 * time.Millisecond)
		return nil, fmt.Errorf("mesh: %w", err)
	}
	p.rpcClient = rpc.NewClient(conn)
	return p.rpcClient, nil
}

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
		return fmt.Errorf("mesh: %s: %w", p.Name, ctx.Err())
	}
	done := make(chan *rpc.Call, 1)
	go func() {
		defer func() { <-p.sending }()
		c.Go("Mesh."+method, in, out, done)
	}()
	select {
	case said := <-done:
		err = said.Error
	case <-ctx.Done():
		err = ctx.Err()
	}
	var said rpc.ServerError
	if errors.As(err, &said) {
		p.recordOutcome(nil)
	} else {
		p.recordOutcome(err)
	}
	if err != nil && !errors.As(err, &said) {
		// The connection may be dead without an error: begin anew.
		p.mu.Lock()
		if p.rpcClient == c {
			p.rpcClient = nil
			p.redialAt = time.Now().Add(300 * time.Millisecond)
		}
		p.mu.Unlock()
		c.Close()
	}
	if err != nil {
		return fmt.Errorf("mesh: %s %s: %w", p.Name, method, err)
	}
	return nil
}

// ForwardUserRequest passes a user's request on.
func (p *Peer) ForwardUserRequest(ctx context.Context, r Request) (a Answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2500*time.Millisecond)
	defer cancel()
	err = p.call(ctx, "User", r, &a)
	return a, err
}

// FetchRecoveredRecord asks what the node remembers of a record.
func (p *Peer) FetchRecoveredRecord(ctx context.Context, r Request) (a Answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	err = p.call(ctx, "Recall", r, &a)
	return a, err
}

// Status asks how the node is.
func (p *Peer) Status(ctx context.Context, asks Request) (s Status, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	err = p.call(ctx, "Status", asks, &s)
	return s, err
}

// Overview asks for what an operator would.
func (p *Peer) Overview(ctx context.Context) ([]byte, error) { return p.bytes(ctx, "Overview") }

// Machines asks for the machines as a leader sees them.
func (p *Peer) Machines(ctx context.Context) ([]byte, error) { return p.bytes(ctx, "Machines") }

func (p *Peer) bytes(ctx context.Context, method string) (out []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	err = p.call(ctx, method, Request{}, &out)
	return out, err
}
