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
	// forwardTimeout is how long a heartbeat that is forwarded waits for its answer: the
	// worker gives up after 4 s.
	forwardTimeout = 3 * time.Second
	// maxSilence is how long a stream with heartbeats in flight may bring nothing at all
	// before it counts as dead. One answer that is late says nothing.
	maxSilence = 1500 * time.Millisecond
	// streamBackoff is the time without dialling after a stream failed or the node was
	// not reached.
	streamBackoff = time.Second
)

// errBackoff says that a node is not dialled because it was not reached just before.
var errBackoff = errors.New("was not reached a moment ago")

// HeartbeatStream forwards workers' heartbeats to another node: many at once over one
// connection of its own, each answered by itself and in any order, so that a heartbeat
// whose answer is held back holds up no other, and a user's request never stands behind
// a thousand heartbeats. It is safe for concurrent use.
type HeartbeatStream struct {
	Name string
	addr string
	dial call.DialFunc

	dialing  chan struct{} // held by the one caller that dials
	inFlight chan struct{} // one for each heartbeat in flight

	mu       sync.Mutex // guards what follows
	conn     *streamConn
	redialAt time.Time // no dialling before this
}

// streamConn is one connection of a stream.
type streamConn struct {
	*batchingConn
	rpcClient *rpc.Client
}

// NewHeartbeatStream makes a stream for at most maxInFlight heartbeats at once; it does
// not dial.
func NewHeartbeatStream(name, addr string, dial call.DialFunc, maxInFlight int) *HeartbeatStream {
	return &HeartbeatStream{Name: name, addr: addr, dial: dial, dialing: make(chan struct{}, 1), inFlight: make(chan struct{}, max(1, maxInFlight))}
}

// InFlight is how many heartbeats wait for their answers.
func (s *HeartbeatStream) InFlight() int { return len(s.inFlight) }

// Reachable reports whether a heartbeat that is forwarded now has a chance: false for a
// moment after the node was not reached.
func (s *HeartbeatStream) Reachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn != nil || !time.Now().Before(s.redialAt)
}

// existing returns the connection there is, nil if one may be dialled.
func (s *HeartbeatStream) existing() (*streamConn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil && time.Now().Before(s.redialAt) {
		return nil, fmt.Errorf("peerrpc: %s: %w", s.Name, errBackoff)
	}
	return s.conn, nil
}

// connect connects if need be.
func (s *HeartbeatStream) connect(ctx context.Context) (*streamConn, error) {
	if c, err := s.existing(); c != nil || err != nil {
		return c, err
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	select {
	case s.dialing <- struct{}{}:
		defer func() { <-s.dialing }()
	case <-ctx.Done():
		return nil, fmt.Errorf("peerrpc: wait for a connection to %s: %w", s.Name, ctx.Err())
	}
	if c, err := s.existing(); c != nil || err != nil {
		return c, err
	}
	conn, err := s.dial(ctx, "tcp", s.addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.redialAt = time.Now().Add(streamBackoff)
		return nil, fmt.Errorf("peerrpc: dial %s: %w", s.Name, err)
	}
	batching := newBatchingConn(conn)
	s.conn = &streamConn{batchingConn: batching, rpcClient: rpc.NewClient(batching)}
	return s.conn, nil
}

// Forward passes a worker's heartbeat on and waits for the answer, at most as long as
// the worker does. ErrOverloaded: too many are in flight.
func (s *HeartbeatStream) Forward(ctx context.Context, r Request) (Answer, error) {
	select {
	case s.inFlight <- struct{}{}:
		defer func() { <-s.inFlight }()
	default:
		return Answer{}, fmt.Errorf("%s: %w", s.Name, ErrOverloaded)
	}
	c, err := s.connect(ctx)
	if err != nil {
		return Answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	var a Answer
	sent := c.rpcClient.Go(serviceName+".Report", r.message(), &a, make(chan *rpc.Call, 1))
	late := false
	select {
	case <-sent.Done:
		err = sent.Error
	case <-ctx.Done():
		err, late = ctx.Err(), true
	}
	if err == nil {
		return a, nil
	}
	var answered rpc.ServerError
	alive := errors.As(err, &answered) || late && c.sinceLastRead() < maxSilence
	if !alive {
		s.drop(c)
	}
	return Answer{}, fmt.Errorf("peerrpc: forward a heartbeat to %s: %w", s.Name, err)
}

// drop closes a connection that brings nothing any more.
func (s *HeartbeatStream) drop(c *streamConn) {
	s.mu.Lock()
	if s.conn == c {
		s.conn = nil
		s.redialAt = time.Now().Add(streamBackoff)
	}
	s.mu.Unlock()
	_ = c.rpcClient.Close() // fails only where it is closed already
}

// Close closes the stream's connection.
func (s *HeartbeatStream) Close() {
	s.mu.Lock()
	c := s.conn
	s.mu.Unlock()
	if c != nil {
		s.drop(c)
	}
}
