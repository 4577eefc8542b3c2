// The server side of Hadoop RPC: configuration, limits and accepting of connections.

package wire

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
)

// Caller is the client of a connection.
type Caller struct {
	User       string // as the client states it; not authenticated
	Protocol   string
	Identifier []byte // identifier of the token that authenticates the client; nil without a token
}

// Method is a method of a protocol. Handle creates it.
type Method struct {
	newRequest func() proto.Message
	call       func(ctx context.Context, c *Caller, in proto.Message) (proto.Message, error)
}

// Handle returns a Method that calls a function with typed messages. An *Error of the function is
// the answer to the client. With any other error the client retries (AsError).
func Handle[In, Out any, PI interface {
	*In
	proto.Message
}, PO interface {
	*Out
	proto.Message
}](handle func(ctx context.Context, c *Caller, in PI) (PO, error)) Method {
	return Method{
		newRequest: func() proto.Message { return PI(new(In)) },
		call: func(ctx context.Context, c *Caller, in proto.Message) (proto.Message, error) {
			out, err := handle(ctx, c, in.(PI))
			if err != nil {
				return nil, err
			}
			return out, nil
		},
	}
}

// Protocol is a set of methods by name.
type Protocol struct {
	Methods   map[string]Method
	NeedToken bool // whether callers must have authenticated themselves with a token
}

// Server serves Hadoop RPC. It limits the memory, number of calls and time of each client, so that
// no client can impair others. A limit or timeout of 0 or less means its default.
type Server struct {
	Protocols map[string]Protocol // by name
	// Password returns the password of a token. An *Error means that the token is not valid. With
	// any other error it is unknown whether the token is valid, and the client retries. Password
	// is called once for each connection that uses a token. If Password is nil, no token is valid.
	Password        func(ctx context.Context, identifier []byte) ([]byte, error)
	Allow           func(net.Addr) bool // whether an address may connect; nil: all may
	Log             *slog.Logger
	MaxConns        int           // maximum number of connections; further ones are closed
	MaxCallsPerConn int           // concurrent calls of one connection; at the limit, its frames are not read
	MaxCalls        int           // concurrent calls of all connections; further ones are refused with ClassRetriable
	CallTimeout     time.Duration // limit for one call
	FrameTimeout    time.Duration // limit for receiving or sending a frame, and for the first bytes of a connection
	IdleTimeout     time.Duration // limit between two frames; clients ping once a minute
	MaxFrameBytes   int           // size of the largest accepted frame

	callSlots chan struct{}
}

// Defaults of the fields of Server.
const (
	defaultMaxConns        = 256
	defaultMaxCallsPerConn = 16
	defaultMaxCalls        = 256
	defaultCallTimeout     = 20 * time.Second
	defaultFrameTimeout    = 10 * time.Second
	defaultIdleTimeout     = 3 * time.Minute
)

// setDefault sets a field that is 0 or negative.
func setDefault[N int | time.Duration](field *N, value N) {
	if *field <= 0 {
		*field = value
	}
}

func (s *Server) setDefaults() {
	setDefault(&s.MaxConns, defaultMaxConns)
	setDefault(&s.MaxCallsPerConn, defaultMaxCallsPerConn)
	setDefault(&s.MaxCalls, defaultMaxCalls)
	setDefault(&s.MaxFrameBytes, MaxFrame)
	setDefault(&s.CallTimeout, defaultCallTimeout)
	setDefault(&s.FrameTimeout, defaultFrameTimeout)
	setDefault(&s.IdleTimeout, defaultIdleTimeout)
	s.callSlots = make(chan struct{}, s.MaxCalls)
}

// acceptRetryDelay is the pause after a failure to accept a connection.
const acceptRetryDelay = 50 * time.Millisecond

// Serve accepts and serves connections until ctx ends. Then it closes the listener and all
// connections, waits for them and returns nil. It returns an error if the listener is closed before
// ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	s.setDefaults()
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	connSlots := make(chan struct{}, s.MaxConns)
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return fmt.Errorf("yarn: %w", err)
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		if s.Allow != nil && !s.Allow(conn.RemoteAddr()) {
			s.Log.Info("yarn: connection refused by address", "from", conn.RemoteAddr())
			conn.Close()
			continue
		}
		select {
		case connSlots <- struct{}{}:
		default:
			conn.Close() // the client tries another node
			continue
		}
		wg.Go(func() {
			defer func() { <-connSlots }()
			s.serveAndClose(ctx, conn)
		})
	}
}

// serveAndClose serves one connection until the client closes it, an error occurs or ctx ends.
func (s *Server) serveAndClose(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	if err := s.serveConn(ctx, conn); err != nil && !errors.Is(err, io.EOF) && ctx.Err() == nil {
		s.Log.Debug("yarn: connection failed", "from", conn.RemoteAddr(), "err", err)
	}
}
