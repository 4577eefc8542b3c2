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
	User       string
	Protocol   string
	Identifier []byte // of the token with which it has authenticated itself; nil if it has not
}

// Method is a method of a protocol, made by Handle.
type Method struct {
	newRequest func() proto.Message
	call       func(ctx context.Context, c *Caller, in proto.Message) (proto.Message, error)
}

// Handle returns a Method that a typed function serves.
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
	NeedToken bool // only callers that have authenticated themselves with a token are served
}

// Server serves Hadoop RPC. Each client's memory, number of calls and time are limited, so that
// no client can impair the others.
type Server struct {
	Protocols map[string]Protocol
	// Password returns the password of a token. An *Error means that the token is not valid;
	// with any other error it is not known whether it is, and the client retries. It is
	// called once for each connection that uses a token.
	Password        func(ctx context.Context, identifier []byte) ([]byte, error)
	Allow           func(net.Addr) bool // which addresses may connect; nil: all
	Log             *slog.Logger
	MaxConns        int
	MaxCallsPerConn int           // of one connection at once; further frames are not read until one has ended
	MaxCalls        int           // of all connections at once; further ones are refused with ClassRetriable
	CallTimeout     time.Duration // of one call
	FrameTimeout    time.Duration // for one frame to be received or sent, and for the first bytes of a connection
	IdleTimeout     time.Duration // without a frame; clients ping once a minute
	MaxFrameBytes   int           // 0 means MaxFrame

	callSlots chan struct{}
}

// Defaults of a Server's fields.
const (
	defaultMaxConns        = 256
	defaultMaxCallsPerConn = 16
	defaultMaxCalls        = 256
	defaultCallTimeout     = 20 * time.Second
	defaultFrameTimeout    = 10 * time.Second
	defaultIdleTimeout     = 3 * time.Minute
)

// setDefault sets a field that is not set.
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

// acceptRetryDelay is the pause after accepting a connection has failed.
const acceptRetryDelay = 50 * time.Millisecond

// Serve accepts and serves connections until ctx ends, and waits for those that are open. It
// returns an error if the listener was closed otherwise.
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

// serveAndClose serves one connection until it or ctx ends.
func (s *Server) serveAndClose(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	if err := s.serveConn(ctx, conn); err != nil && !errors.Is(err, io.EOF) && ctx.Err() == nil {
		s.Log.Debug("yarn: connection", "from", conn.RemoteAddr(), "err", err)
	}
}
