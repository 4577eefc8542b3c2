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
	// maxUserRequests bounds the users' requests and recoveries of other nodes in flight.
	maxUserRequests = 256
	// minHeartbeats is the smallest limit of heartbeats in flight.
	minHeartbeats = 64
	// maxServerConns bounds the connections from other nodes.
	maxServerConns = 64
	// handleTimeout is the deadline of a heartbeat's, user request's or recovery's handler.
	handleTimeout = 3 * time.Second
	// acceptRetryDelay is the pause after a failed Accept.
	acceptRetryDelay = 50 * time.Millisecond
)

// ErrOverloaded means that the limit of requests in flight is reached. From a server it
// arrives as an rpc.ServerError with the same text, which errors.Is does not match.
var ErrOverloaded = errors.New("busy")

// Handler serves the requests of other nodes. Its methods are called concurrently.
type Handler interface {
	HandleHeartbeat(ctx context.Context, r Request) Answer
	HandleUserRequest(ctx context.Context, r Request) Answer
	// RecoverRecord returns this node's copy of a record that can't be decoded any more:
	// status 200 with a jobstore.RecoveryCopy, or 404 if it has none.
	RecoverRecord(ctx context.Context, r Request) Answer
	Status(r Request) Status
	Overview() []byte
	Machines() []byte
}

// service is the receiver that net/rpc calls. It is registered as serviceName.
type service struct {
	handler        Handler
	ctx            context.Context // of Serve, since net/rpc passes no context to methods
	userSlots      chan struct{}   // semaphore of users' requests and recoveries
	heartbeatSlots chan struct{}   // semaphore of heartbeats
}

// handle runs f if a slot is free, and returns ErrOverloaded otherwise.
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

// Serve serves other nodes' requests from l until ctx ends, and then closes l and all
// connections, without waiting for requests that are being handled. Heartbeats beyond
// maxHeartbeats in flight (at least minHeartbeats), and users' requests and recoveries
// beyond their common limit, are refused with ErrOverloaded; Status, Overview and
// Machines are not limited.
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
			return nil //nolint:nilerr // the AfterFunc closed the listener: the regular end
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
	defer func() { _ = batching.Close() }() // fails only if it is closed already
	server.ServeConn(batching)
}
