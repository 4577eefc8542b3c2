// The client that forwards heartbeats to another node.

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
	// forwardTimeout bounds the wait for the answer to a forwarded heartbeat. Together with
	// dialTimeout it stays below the 4 s after which the worker gives up.
	forwardTimeout = 3 * time.Second
	// maxSilence is the time without received data after which a heartbeat's timeout makes
	// the connection count as dead. A late answer alone is no evidence, because the leader
	// may delay a single answer.
	maxSilence = 1500 * time.Millisecond
	// streamBackoff is the time before the next dial after a failed dial or a dropped
	// connection.
	streamBackoff = time.Second
)

// errBackoff means that the node was not dialed because an attempt has failed recently.
var errBackoff = errors.New("connection failed recently, waiting to dial again")

// HeartbeatStream forwards workers' heartbeats to another node, many concurrently over
// one connection. Answers arrive in any order, so a delayed answer does not delay other
// heartbeats. The connection carries only heartbeats, so users' requests, which a Peer
// sends, never queue behind them. A HeartbeatStream is safe for concurrent use.
type HeartbeatStream struct {
	Name string // of the node
	addr string // host:port of the node
	dial call.DialFunc

	dialing  chan struct{} // semaphore: one caller dials at a time
	inFlight chan struct{} // semaphore: one item for each heartbeat in flight

	mu       sync.Mutex // guards the fields below
	conn     *streamConn
	redialAt time.Time // earliest time of the next dial
}

// streamConn is a connection of a stream, with its RPC client.
type streamConn struct {
	*batchingConn
	rpcClient *rpc.Client
}

// NewHeartbeatStream returns a stream to the node at addr. It permits maxInFlight
// heartbeats in flight, or one if maxInFlight is smaller. It does not dial.
func NewHeartbeatStream(name, addr string, dial call.DialFunc, maxInFlight int) *HeartbeatStream {
	return &HeartbeatStream{Name: name, addr: addr, dial: dial, dialing: make(chan struct{}, 1), inFlight: make(chan struct{}, max(1, maxInFlight))}
}

// InFlight returns the number of heartbeats that wait for an answer.
func (s *HeartbeatStream) InFlight() int { return len(s.inFlight) }

// Reachable reports whether Forward would use a connection or dial one now. It is false
// during the backoff after a failure. The value true does not prove that the node answers.
func (s *HeartbeatStream) Reachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn != nil || !time.Now().Before(s.redialAt)
}

// existing returns the current connection, or nil if there is none and the backoff permits
// a dial. During the backoff the error wraps errBackoff.
func (s *HeartbeatStream) existing() (*streamConn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil && time.Now().Before(s.redialAt) {
		return nil, fmt.Errorf("peerrpc: %s: %w", s.Name, errBackoff)
	}
	return s.conn, nil
}

// connect returns the current connection, or dials one. It waits for at most dialTimeout.
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

// Forward sends a worker's heartbeat to the node and returns its answer. It waits for less
// time than the worker itself waits. The error wraps ErrOverloaded if this stream has too
// many heartbeats in flight.
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
	pending := c.rpcClient.Go(serviceName+".Report", r.message(), &a, make(chan *rpc.Call, 1))
	timedOut := false
	select {
	case <-pending.Done:
		err = pending.Error
	case <-ctx.Done():
		err, timedOut = ctx.Err(), true
	}
	if err == nil {
		return a, nil
	}
	var serverError rpc.ServerError
	alive := errors.As(err, &serverError) || timedOut && c.sinceLastRead() < maxSilence
	if !alive {
		s.drop(c)
	}
	return Answer{}, fmt.Errorf("peerrpc: forward a heartbeat to %s: %w", s.Name, err)
}

// drop closes a connection, so that a later Forward dials a new one after the backoff.
func (s *HeartbeatStream) drop(c *streamConn) {
	s.mu.Lock()
	if s.conn == c {
		s.conn = nil
		s.redialAt = time.Now().Add(streamBackoff)
	}
	s.mu.Unlock()
	_ = c.rpcClient.Close() // fails only if already closed
}

// Close closes the current connection, if any. A later Forward may dial a new one.
func (s *HeartbeatStream) Close() {
	s.mu.Lock()
	c := s.conn
	s.mu.Unlock()
	if c != nil {
		s.drop(c)
	}
}
