// Connections that fail over between the nodes of the service.

package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/yarn/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// Config contains the addresses of the service and the parameters of connections.
type Config struct {
	Addrs   []string // addresses of the nodes
	Dial    wire.DialFunc
	User    string        // name that the client states; the service does not authenticate it
	Timeout time.Duration // timeout of one attempt at one node; 0 or less means defaultTimeout
}

const defaultTimeout = 5 * time.Second

// ErrNoAddress is the error of a call if the configuration has no address.
var ErrNoAddress = errors.New("yarn client: no address")

// failoverConn is a connection for one protocol to any node that answers. It is safe for concurrent
// use.
type failoverConn struct {
	cfg      Config
	protocol string

	mu    sync.Mutex
	token *pb.TokenProto
	node  int // index in cfg.Addrs modulo its length
	conn  *wire.Conn
}

// newFailoverConn returns a connection that starts with a random node. This distributes clients
// over all nodes. token may be nil.
func newFailoverConn(cfg Config, protocol string, token *pb.TokenProto) *failoverConn {
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	return &failoverConn{cfg: cfg, protocol: protocol, token: token, node: rand.IntN(max(1, len(cfg.Addrs)))}
}

// connect returns the open connection or opens one. If opening fails, the next attempt goes to the
// next node.
func (f *failoverConn) connect(ctx context.Context) (*wire.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != nil && f.conn.Err() == nil {
		return f.conn, nil
	}
	if len(f.cfg.Addrs) == 0 {
		return nil, ErrNoAddress
	}
	addr := f.cfg.Addrs[f.node%len(f.cfg.Addrs)]
	conn, err := wire.Dial(ctx, f.cfg.Dial, addr, f.protocol, f.cfg.User, f.token)
	if err != nil {
		f.node++
		return nil, err
	}
	f.conn = conn
	return conn, nil
}

// abandon closes the connection to a node that does not answer. The next attempt goes to the next
// node.
func (f *failoverConn) abandon(conn *wire.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn == conn && conn != nil {
		f.conn.Close()
		f.conn = nil
		f.node++
	}
}

// setToken sets the token for future connections.
func (f *failoverConn) setToken(token *pb.TokenProto) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.token = token
}

func (f *failoverConn) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != nil {
		f.conn.Close()
	}
}

// isRetriable reports whether a repeated call may succeed. It returns false only if the server has
// answered with a final exception.
func isRetriable(err error) bool {
	var remote *wire.Error
	return !errors.As(err, &remote) || remote.Class == wire.ClassRetriable || remote.Class == wire.ClassStandby
}

// call makes a call and retries it until it gets an answer, a final exception or ctx ends. A node
// that does not answer is replaced by the next node.
func (f *failoverConn) call(ctx context.Context, method string, in, out proto.Message) error {
	for attempt := 0; ; attempt++ {
		err := f.attempt(ctx, method, in, out)
		if err == nil || !isRetriable(err) {
			return err
		}
		timer := time.NewTimer(backoff(attempt))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("yarn client: %s: %w", method, errors.Join(ctx.Err(), err))
		}
	}
}

// attempt makes one call at the current node.
func (f *failoverConn) attempt(ctx context.Context, method string, in, out proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Timeout)
	defer cancel()
	conn, err := f.connect(ctx)
	if err != nil {
		return err
	}
	proto.Reset(out)
	err = conn.Call(ctx, method, in, out)
	var remote *wire.Error
	if err != nil && !errors.As(err, &remote) {
		f.abandon(conn)
	}
	return err
}

// backoff returns the random pause after an attempt. It is at least 50 ms. Its upper bound is 150
// ms after attempt 0 and 1650 ms from attempt 4 on. In between, the range doubles with each
// attempt.
func backoff(attempt int) time.Duration {
	return time.Duration(50+rand.IntN(100<<min(attempt, 4))) * time.Millisecond
}
