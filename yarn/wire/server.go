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

// Caller is whom a connection belongs to.
type Caller struct {
	User       string
	Protocol   string
	Identifier []byte // of the token by which it has authenticated itself; nil without
}

// Method serves one kind of call.
type Method struct {
	newRequest func() proto.Message
	call       func(ctx context.Context, c *Caller, in proto.Message) (proto.Message, error)
}

// Handle makes a method of a function.
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
	NeedToken bool // only a caller that has authenticated itself by a token is served
}

// Server serves Hadoop RPC. A client can take no more than a bounded buffer, a bounded
// number of calls and a limited time, so that none can harm the others.
type Server struct {
	Protocols map[string]Protocol
	// Password finds the password of a token; an *Error says why the token is not
	// valid, any other that this can't be found out now. It is called for each connection.
	Password        func(ctx context.Context, identifier []byte) ([]byte, error)
	Allow           func(net.Addr) bool // which addresses may connect; nil: all
	Log             *slog.Logger
	MaxConns        int
	MaxCallsPerConn int           // of one connection at once
	MaxCalls        int           // of all connections at once; beyond it calls are refused, to be tried again
	CallTimeout     time.Duration // of one call
	FrameTimeout    time.Duration // for a frame to be complete, and for the opening of a connection
	IdleTimeout     time.Duration // without a frame; clients ping once a minute
	MaxFrameBytes   int           // 0 means MaxFrame

	callSlots chan struct{}
}

// What a Server's fields are where they are not set.
const (
	defaultMaxConns        = 256
	defaultMaxCallsPerConn = 16
	defaultMaxCalls        = 256
	defaultCallTimeout     = 20 * time.Second
	defaultFrameTimeout    = 10 * time.Second
	defaultIdleTimeout     = 3 * time.Minute
)

// setDefault sets what is not set yet.
func setDefault[N int | time.Duration](n *N, value N) {
	if *n <= 0 {
		*n = value
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

// acceptRetryDelay is the pause after a connection that could not be accepted.
const acceptRetryDelay = 50 * time.Millisecond

// Serve serves until ctx ends.
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
			s.Log.Info("yarn: refused by address", "from", conn.RemoteAddr())
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

// serveAndClose serves one connection until it ends, or ctx does.
func (s *Server) serveAndClose(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	if err := s.serveConn(ctx, conn); err != nil && !errors.Is(err, io.EOF) && ctx.Err() == nil {
		s.Log.Debug("yarn: connection", "from", conn.RemoteAddr(), "err", err)
	}
}
