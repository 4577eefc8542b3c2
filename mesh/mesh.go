// Package mesh is what the controller nodes say to one another, over net/rpc.
package mesh

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
)

// Request is a report or a user's request, passed on as it came.
type Request struct {
	Op   string // of a user's request
	ID   string
	Body []byte
}

// Answer is what came of it.
type Answer struct {
	Status     int
	Body       []byte
	RetryAfter int
}

// Status is what a node says of itself.
type Status struct {
	Node    string
	Leader  string
	StateOK bool
}

// Handler serves the other nodes.
type Handler interface {
	Report(ctx context.Context, body []byte) Answer
	User(ctx context.Context, r Request) Answer
	Status() Status
}

// Mesh is the service as net/rpc sees it.
type Mesh struct {
	h   Handler
	ctx context.Context
	sem chan struct{}
}

var errBusy = errors.New("busy")

// serve runs a request of another node, as long as not too many are under way.
func (m *Mesh) serve(f func(ctx context.Context)) error {
	select {
	case m.sem <- struct{}{}:
		defer func() { <-m.sem }()
	default:
		return errBusy
	}
	ctx, cancel := context.WithTimeout(m.ctx, 3*time.Second)
	defer cancel()
	f(ctx)
	return nil
}

// Report handles a worker's report that another node received.
func (m *Mesh) Report(r Request, a *Answer) error {
	return m.serve(func(ctx context.Context) { *a = m.h.Report(ctx, r.Body) })
}

// User handles a user's request that another node could not serve.
func (m *Mesh) User(r Request, a *Answer) error {
	return m.serve(func(ctx context.Context) { *a = m.h.User(ctx, r) })
}

// Status says how this node is.
func (m *Mesh) Status(_ Request, s *Status) error {
	*s = m.h.Status()
	return nil
}

// Serve answers other nodes until ctx ends.
func Serve(ctx context.Context, l net.Listener, h Handler) error {
	srv := rpc.NewServer()
	if err := srv.Register(&Mesh{h: h, ctx: ctx, sem: make(chan struct{}, 64)}); err != nil {
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
			end := context.AfterFunc(ctx, func() { conn.Close() })
			defer end()
			srv.ServeConn(conn)
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

	mu     sync.Mutex
	c      *rpc.Client
	bad    time.Time // no dialling before this
	missed time.Time // when it last did not answer, unless it has since
}

// Missed says when the node last did not answer; zero if it has since.
func (p *Peer) Missed() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.missed
}

func (p *Peer) note(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.missed = time.Time{}
	if err != nil {
		p.missed = time.Now()
	}
}

// NewPeer makes a peer.
func NewPeer(name, addr string, dial call.DialFunc) *Peer {
	return &Peer{Name: name, addr: addr, dial: dial, dialing: make(chan struct{}, 1), sending: make(chan struct{}, 1)}
}

// open returns the connection there is, if any, and whether one may be dialled.
func (p *Peer) open() (*rpc.Client, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.c, !time.Now().Before(p.bad)
}

// client connects if need be. Nobody waits for another's dialling longer than
// for an answer.
func (p *Peer) client(ctx context.Context) (*rpc.Client, error) {
	ctx, cancel := context.WithTimeout(ctx, 600*time.Millisecond)
	defer cancel()
	if c, _ := p.open(); c != nil {
		return c, nil
	}
	select {
	case p.dialing <- struct{}{}:
		defer func() { <-p.dialing }()
	case <-ctx.Done():
		return nil, fmt.Errorf("mesh: %s: %w", p.Name, ctx.Err())
	}
	c, may := p.open()
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
		p.bad = time.Now().Add(700 * time.Millisecond)
		return nil, fmt.Errorf("mesh: %w", err)
	}
	p.c = rpc.NewClient(conn)
	return p.c, nil
}

func (p *Peer) call(ctx context.Context, method string, in, out any) error {
	c, err := p.client(ctx)
	if err != nil {
		p.note(err)
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
		p.note(nil)
	} else {
		p.note(err)
	}
	if err != nil && !errors.As(err, &said) {
		// The connection may be dead without an error: begin anew.
		p.mu.Lock()
		if p.c == c {
			p.c = nil
			p.bad = time.Now().Add(300 * time.Millisecond)
		}
		p.mu.Unlock()
		c.Close()
	}
	if err != nil {
		return fmt.Errorf("mesh: %s %s: %w", p.Name, method, err)
	}
	return nil
}

// Report passes a report on.
func (p *Peer) Report(ctx context.Context, body []byte) (a Answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2500*time.Millisecond)
	defer cancel()
	err = p.call(ctx, "Report", Request{Body: body}, &a)
	return a, err
}

// User passes a user's request on.
func (p *Peer) User(ctx context.Context, r Request) (a Answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2500*time.Millisecond)
	defer cancel()
	err = p.call(ctx, "User", r, &a)
	return a, err
}

// Status asks how the node is.
func (p *Peer) Status(ctx context.Context) (s Status, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	err = p.call(ctx, "Status", Request{}, &s)
	return s, err
}
