// The server for the requests of other nodes.

package peerrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"time"

	"golang.org/x/net/netutil"
)

const (
	// maxUserRequests bounds the users' requests and recoveries in flight from all nodes.
	maxUserRequests = 256
	// minHeartbeats is the smallest limit of heartbeats in flight. It applies if Serve's
	// maxHeartbeats is smaller.
	minHeartbeats = 64
	// maxServerConns bounds the connections from other nodes.
	maxServerConns = 64
	// handleTimeout bounds the handling of a heartbeat, user's request or recovery.
	handleTimeout = 3 * time.Second
	// acceptRetryDelay is the pause after a failed Accept.
	acceptRetryDelay = 50 * time.Millisecond
)

// ErrOverloaded means that the limit of requests in flight is reached. The error of a
// remote server arrives as an rpc.ServerError with the same text, so errors.Is does not
// match it.
var ErrOverloaded = errors.New("busy")

// Handler serves the requests of other nodes. Its methods are called concurrently.
type Handler interface {
	// HandleHeartbeat handles a worker's heartbeat and returns the answer for the worker.
	HandleHeartbeat(ctx context.Context, r Request) Answer
	// HandleUserRequest handles a user's request and returns the answer for the user.
	HandleUserRequest(ctx context.Context, r Request) Answer
	// RecoverRecord returns this node's copy of a record that can no longer be decoded. The
	// answer has status 200 and a jobstore.RecoveryCopy, or 404 if there is no copy.
	RecoverRecord(ctx context.Context, r Request) Answer
	// Status returns this node's status. r holds the capacity and the unreadable record of the
	// node that asks.
	Status(r Request) Status
	// Overview returns this node's overview for operators, as JSON.
	Overview() []byte
	// Machines returns the machines as JSON if this node leads, and nothing otherwise.
	Machines() []byte
}

// service is the receiver that net/rpc calls. It is registered as serviceName.
type service struct {
	handler        Handler
	ctx            context.Context // of Serve, because net/rpc passes no context to methods
	userSlots      chan struct{}   // semaphore for users' requests and recoveries
	heartbeatSlots chan struct{}   // semaphore for heartbeats
}

// handle runs f with a deadline if a slot is free, and returns ErrOverloaded otherwise.
func (s *service) handle(slots chan struct{}, f func(ctx context.Context)) error {
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	default:
		return ErrOverloaded
	}
	ctx, cancel := context.WithTimeout(s.ctx, handleTimeout)
	defer cancel()
	f(ctx)
	return nil
}

// Report handles a worker's heartbeat that another node forwarded.
func (s *service) Report(m RequestMessage, a *Answer) error {
	return s.handle(s.heartbeatSlots, func(ctx context.Context) { *a = s.handler.HandleHeartbeat(ctx, m.request()) })
}

// User handles a user's request that another node forwarded.
func (s *service) User(m RequestMessage, a *Answer) error {
	return s.handle(s.userSlots, func(ctx context.Context) { *a = s.handler.HandleUserRequest(ctx, m.request()) })
}

// Recall handles the recovery of an unreadable record; see Handler.RecoverRecord.
func (s *service) Recall(m RequestMessage, a *Answer) error {
	return s.handle(s.userSlots, func(ctx context.Context) { *a = s.handler.RecoverRecord(ctx, m.request()) })
}

// Status returns this node's status.
func (s *service) Status(m RequestMessage, out *StatusMessage) error {
	status := s.handler.Status(m.request())
	*out = status.message()
	return nil
}

// Overview returns this node's overview for operators, as JSON.
func (s *service) Overview(_ RequestMessage, out *[]byte) error {
	*out = s.handler.Overview()
	return nil
}

// Machines returns the machines as JSON if this node leads, and nothing otherwise.
func (s *service) Machines(_ RequestMessage, out *[]byte) error {
	*out = s.handler.Machines()
	return nil
}

// Serve serves the requests of other nodes that connect to l. When ctx ends, it closes l
// and all connections and returns nil without waiting for the requests in flight. It
// returns an error if l is closed before.
//
// Serve rejects heartbeats with ErrOverloaded if more than maxHeartbeats (at least
// minHeartbeats) would be in flight. Users' requests and recoveries share the limit
// maxUserRequests. Status, Overview and Machines are not limited.
func Serve(ctx context.Context, l net.Listener, h Handler, maxHeartbeats int) error {
	server := rpc.NewServer()
	s := &service{handler: h, ctx: ctx, userSlots: make(chan struct{}, maxUserRequests), heartbeatSlots: make(chan struct{}, max(minHeartbeats, maxHeartbeats))}
	if err := server.RegisterName(serviceName, s); err != nil {
		return fmt.Errorf("peerrpc: register: %w", err)
	}
	l = netutil.LimitListener(l, maxServerConns)
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if err == nil {
			go serveConn(ctx, server, conn)
			continue
		}
		if ctx.Err() != nil {
			return nil //nolint:nilerr // the AfterFunc has closed the listener, which ends Serve regularly
		}
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() {
			continue
		}
		time.Sleep(acceptRetryDelay)
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("peerrpc: accept: %w", err)
		}
	}
}

// serveConn serves one connection until it is closed or ctx ends.
func serveConn(ctx context.Context, server *rpc.Server, conn net.Conn) {
	batching := newBatchingConn(conn)
	stop := context.AfterFunc(ctx, func() { _ = batching.Close() }) // makes ServeConn return
	defer stop()
	defer func() { _ = batching.Close() }() // fails only if already closed
	server.ServeConn(batching)
}
