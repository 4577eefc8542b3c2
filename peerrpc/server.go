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
	// maxUserRequests is how many users' requests of other nodes are in flight at most.
	maxUserRequests = 256
	// minHeartbeats is how many heartbeats may be in flight in any case.
	minHeartbeats = 64
	// maxServerConns bounds the connections of other nodes.
	maxServerConns = 64
	// handleTimeout bounds the handling of one request.
	handleTimeout = 3 * time.Second
	// acceptRetryDelay is the pause after a connection could not be accepted.
	acceptRetryDelay = 50 * time.Millisecond
)

// ErrOverloaded says that too much is in flight already.
var ErrOverloaded = errors.New("busy")

// Handler serves the requests of other nodes.
type Handler interface {
	HandleHeartbeat(ctx context.Context, r Request) Answer
	HandleUserRequest(ctx context.Context, r Request) Answer
	// RecoverRecord says what this node remembers of a record that can't be read any
	// more.
	RecoverRecord(ctx context.Context, r Request) Answer
	Status(r Request) Status
	Overview() []byte
	Machines() []byte
}

// service is the receiver that net/rpc calls. It is registered as serviceName.
type service struct {
	handler        Handler
	ctx            context.Context // of Serve; net/rpc hands none to its methods
	userSlots      chan struct{}   // one for each user's request in flight
	heartbeatSlots chan struct{}   // one for each heartbeat in flight
}

// handle runs a request of another node, unless all slots are taken.
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

// Report handles a worker's heartbeat that another node received.
func (s *service) Report(m RequestMessage, a *Answer) error {
	return s.handle(s.heartbeatSlots, func(ctx context.Context) { *a = s.handler.HandleHeartbeat(ctx, m.request()) })
}

// User handles a user's request that another node could not serve.
func (s *service) User(m RequestMessage, a *Answer) error {
	return s.handle(s.userSlots, func(ctx context.Context) { *a = s.handler.HandleUserRequest(ctx, m.request()) })
}

// Recall answers what this node remembers of a record that can't be read any more: 200
// with a jobstore.Memory, or 404.
func (s *service) Recall(m RequestMessage, a *Answer) error {
	return s.handle(s.userSlots, func(ctx context.Context) { *a = s.handler.RecoverRecord(ctx, m.request()) })
}

// Status answers how this node is.
func (s *service) Status(m RequestMessage, out *StatusMessage) error {
	status := s.handler.Status(m.request())
	*out = status.message()
	return nil
}

// Overview answers what an operator would ask of this node, as JSON.
func (s *service) Overview(_ RequestMessage, out *[]byte) error {
	*out = s.handler.Overview()
	return nil
}

// Machines lists the machines as a leader sees them, as JSON.
func (s *service) Machines(_ RequestMessage, out *[]byte) error {
	*out = s.handler.Machines()
	return nil
}

// Serve answers other nodes until ctx ends, with at most maxHeartbeats workers'
// heartbeats in flight. The connections that are open then are closed.
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
			return nil //nolint:nilerr // closed by AfterFunc: this is how serving ends
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

// serveConn serves one connection until it or ctx ends.
func serveConn(ctx context.Context, server *rpc.Server, conn net.Conn) {
	batching := newBatchingConn(conn)
	stop := context.AfterFunc(ctx, func() { _ = batching.Close() }) // to end ServeConn
	defer stop()
	defer func() { _ = batching.Close() }() // fails only where it is closed already
	server.ServeConn(batching)
}
