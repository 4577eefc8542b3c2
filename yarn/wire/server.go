package wire

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// Exception classes that clients know, as published.
const (
	ClassRuntime      = "java.lang.RuntimeException"
	ClassUnsupported  = "java.lang.UnsupportedOperationException"
	ClassRetriable    = "org.apache.hadoop.ipc.RetriableException"
	ClassStandby      = "org.apache.hadoop.ipc.StandbyException"
	ClassAccess       = "org.apache.hadoop.security.AccessControlException"
	ClassInvalidToken = "org.apache.hadoop.security.token.SecretManager$InvalidToken"
	ClassNoMethod     = "org.apache.hadoop.ipc.RpcNoSuchMethodException"
	ClassNoProtocol   = "org.apache.hadoop.ipc.RpcNoSuchProtocolException"
	ClassServer       = "org.apache.hadoop.ipc.RpcServerException"
	ClassVersion      = "org.apache.hadoop.ipc.RPC$VersionMismatch"
	ClassYarn         = "org.apache.hadoop.yarn.exceptions.YarnException"
	ClassNoApp        = "org.apache.hadoop.yarn.exceptions.ApplicationNotFoundException"
	ClassNoAttempt    = "org.apache.hadoop.yarn.exceptions.ApplicationAttemptNotFoundException"
	ClassNotReg       = "org.apache.hadoop.yarn.exceptions.ApplicationMasterNotRegisteredException"
	ClassBadRequest   = "org.apache.hadoop.yarn.exceptions.InvalidResourceRequestException"
	ClassBadMaster    = "org.apache.hadoop.yarn.exceptions.InvalidApplicationMasterRequestException"
	ClassBadRelease   = "org.apache.hadoop.yarn.exceptions.InvalidContainerReleaseException"
	ClassNoContainer  = "org.apache.hadoop.yarn.exceptions.ContainerNotFoundException"
)

// Error is what the other side answered, or is to be answered.
type Error struct {
	Class string
	Text  string
}

func (e *Error) Error() string { return e.Class + ": " + e.Text }

// Errorf makes an Error.
func Errorf(class, format string, args ...any) error {
	return &Error{Class: class, Text: fmt.Sprintf(format, args...)}
}

// IsClass says whether an error is of a class.
func IsClass(err error, class string) bool {
	var e *Error
	return errors.As(err, &e) && e.Class == class
}

// Caller is whom a connection belongs to.
type Caller struct {
	User       string
	Protocol   string
	Identifier []byte // of the token it has proved to know; nil without
}

// Method serves one kind of call.
type Method struct {
	new  func() proto.Message
	call func(ctx context.Context, c *Caller, in proto.Message) (proto.Message, error)
}

// Handle makes a method of a function.
func Handle[In, Out any, PI interface {
	*In
	proto.Message
}, PO interface {
	*Out
	proto.Message
}](f func(ctx context.Context, c *Caller, in PI) (PO, error)) Method {
	return Method{
		new: func() proto.Message { return PI(new(In)) },
		call: func(ctx context.Context, c *Caller, in proto.Message) (proto.Message, error) {
			out, err := f(ctx, c, in.(PI))
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
	NeedToken bool // only a caller with a token is served
}

// Server serves Hadoop RPC. What one client does costs a bounded buffer, a
// bounded number of calls and a deadline, and nobody else notices.
type Server struct {
	Protocols map[string]Protocol
	// Password finds the password of a token; an *Error says why the token is not
	// valid, any other that this is not known now. It is asked at each connection.
	Password  func(ctx context.Context, identifier []byte) ([]byte, error)
	Allow     func(net.Addr) bool
	Log       *slog.Logger
	MaxConns  int
	MaxCalls  int           // of one connection at once
	MaxAll    int           // of all connections at once; beyond it calls are told to come again
	CallFor   time.Duration // until a call is given up
	FrameFor  time.Duration // for a frame to be complete, and for the opening
	IdleFor   time.Duration // without a frame; clients ping once a minute
	MaxFrames int           // bytes of one frame; 0 means MaxFrame

	all chan struct{}
}

func (s *Server) defaults() {
	def := func(n *int, d int) {
		if *n <= 0 {
			*n = d
		}
	}
	span := func(n *time.Duration, d time.Duration) {
		if *n <= 0 {
			*n = d
		}
	}
	def(&s.MaxConns, 256)
	def(&s.MaxCalls, 16)
	def(&s.MaxAll, 256)
	def(&s.MaxFrames, MaxFrame)
	span(&s.CallFor, 20*time.Second)
	span(&s.FrameFor, 10*time.Second)
	span(&s.IdleFor, 3*time.Minute)
	s.all = make(chan struct{}, s.MaxAll)
}

// Serve serves until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	s.defaults()
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, s.MaxConns)
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return fmt.Errorf("yarn: %w", err)
			}
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if s.Allow != nil && !s.Allow(c.RemoteAddr()) {
			s.Log.Info("yarn: refused by address", "from", c.RemoteAddr())
			c.Close()
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			c.Close() // it tries another node
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			end := context.AfterFunc(ctx, func() { c.Close() })
			defer end()
			defer c.Close()
			if err := s.conn(ctx, c); err != nil && !errors.Is(err, io.EOF) && ctx.Err() == nil {
				s.Log.Debug("yarn: connection", "from", c.RemoteAddr(), "err", err)
			}
		}()
	}
}

// serverConn is one connection; the lock orders what is written.
type serverConn struct {
	s      *Server
	c      net.Conn
	r      *bufio.Reader
	caller Caller
	mu     sync.Mutex
}

func (c *serverConn) send(ms ...proto.Message) error {
	b, err := Frame(ms...)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.c.SetWriteDeadline(time.Now().Add(c.s.FrameFor)) // fails only where the connection is closed
	_, err = c.c.Write(b)
	return err
}

func (c *serverConn) fail(id int32, client []byte, status pb.RpcResponseHeaderProto_RpcStatusProto, code pb.RpcResponseHeaderProto_RpcErrorCodeProto, class, text string) error {
	h := &pb.RpcResponseHeaderProto{CallId: proto.Uint32(uint32(id)), Status: status.Enum(), ServerIpcVersionNum: proto.Uint32(Version),
		ExceptionClassName: &class, ErrorMsg: &text, ErrorDetail: code.Enum(), ClientId: client}
	return c.send(h)
}

func (s *Server) conn(ctx context.Context, raw net.Conn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &serverConn{s: s, c: raw, r: bufio.NewReaderSize(raw, 8<<10)}
	_ = raw.SetReadDeadline(time.Now().Add(s.FrameFor))
	var head [7]byte
	if _, err := io.ReadFull(c.r, head[:]); err != nil {
		return err
	}
	if !bytes.Equal(head[:4], magic) {
		return fmt.Errorf("%w: no hrpc", ErrFrame)
	}
	if head[4] != Version {
		return errors.Join(ErrFrame, c.fail(-1, nil, pb.RpcResponseHeaderProto_FATAL, pb.RpcResponseHeaderProto_FATAL_VERSION_MISMATCH,
			ClassVersion, fmt.Sprintf("this server speaks version %d", Version)))
	}
	switch head[6] {
	case authNone:
	case authSasl:
		if err := c.authenticate(ctx); err != nil {
			return err
		}
	default:
		return fmt.Errorf("%w: authentication %d", ErrFrame, head[6])
	}
	return c.serve(ctx)
}

// frame reads a frame: it may be long in coming, but not in arriving.
func (c *serverConn) frame(idle time.Duration) ([]byte, error) {
	_ = c.c.SetReadDeadline(time.Now().Add(idle))
	if _, err := c.r.Peek(1); err != nil {
		return nil, err
	}
	_ = c.c.SetReadDeadline(time.Now().Add(c.s.FrameFor))
	return ReadFrame(c.r, c.s.MaxFrames)
}

func (c *serverConn) sasl(m *pb.RpcSaslProto) error {
	h := &pb.RpcResponseHeaderProto{CallId: proto.Uint32(uint32(0xffffffff + callSasl + 1)), Status: pb.RpcResponseHeaderProto_SUCCESS.Enum(), ServerIpcVersionNum: proto.Uint32(Version)}
	return c.send(h, m)
}

// authenticate goes through SASL: by a token, or simply.
func (c *serverConn) authenticate(ctx context.Context) error {
	n, err := nonce()
	if err != nil {
		return err
	}
	for range 4 {
		f, err := c.frame(c.s.FrameFor)
		if err != nil {
			return err
		}
		req, err := ParseRequest(f)
		if err != nil || req.Header.GetCallId() != callSasl {
			return errors.Join(ErrFrame, err)
		}
		var m pb.RpcSaslProto
		if err := req.Body(&m); err != nil {
			return err
		}
		switch m.GetState() {
		case pb.RpcSaslProto_NEGOTIATE:
			err = c.sasl(&pb.RpcSaslProto{State: pb.RpcSaslProto_NEGOTIATE.Enum(), Auths: []*pb.RpcSaslProto_SaslAuth{
				{Method: proto.String(saslMethod), Mechanism: proto.String(saslMechanism), Protocol: proto.String(""), ServerId: proto.String(saslRealm), Challenge: challenge(n)},
				{Method: proto.String("SIMPLE"), Mechanism: proto.String("")},
			}})
			if err != nil {
				return err
			}
		case pb.RpcSaslProto_INITIATE, pb.RpcSaslProto_RESPONSE:
			if len(m.Auths) == 1 && m.Auths[0].GetMethod() == "SIMPLE" {
				return c.sasl(&pb.RpcSaslProto{State: pb.RpcSaslProto_SUCCESS.Enum()})
			}
			id, proof, err := verify(m.GetToken(), n, func(id []byte) ([]byte, error) {
				if c.s.Password == nil {
					return nil, Errorf(ClassInvalidToken, "no tokens here")
				}
				pctx, cancel := context.WithTimeout(ctx, c.s.CallFor)
				defer cancel()
				return c.s.Password(pctx, id)
			})
			if err != nil && !errors.Is(err, ErrAuth) {
				// A busy state service is no reason to call a token invalid: a
				// master would give up for good.
				return errors.Join(err, c.fail(callSasl, nil, pb.RpcResponseHeaderProto_FATAL, pb.RpcResponseHeaderProto_FATAL_UNKNOWN, ClassRetriable, err.Error()))
			}
			if err != nil {
				return errors.Join(err, c.fail(callSasl, nil, pb.RpcResponseHeaderProto_FATAL, pb.RpcResponseHeaderProto_FATAL_UNAUTHORIZED, ClassInvalidToken, err.Error()))
			}
			c.caller.Identifier = id
			return c.sasl(&pb.RpcSaslProto{State: pb.RpcSaslProto_SUCCESS.Enum(), Token: proof})
		default:
			return fmt.Errorf("%w: SASL state %v", ErrFrame, m.GetState())
		}
	}
	return ErrAuth
}

func (c *serverConn) serve(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	calls := make(chan struct{}, c.s.MaxCalls)
	known := false
	for {
		f, err := c.frame(c.s.IdleFor)
		if err != nil {
			return err
		}
		req, err := ParseRequest(f)
		if err != nil {
			id := int32(-1)
			if req != nil {
				id = req.Header.GetCallId()
			}
			return errors.Join(err, c.fail(id, nil, pb.RpcResponseHeaderProto_FATAL, pb.RpcResponseHeaderProto_FATAL_INVALID_RPC_HEADER, ClassServer, err.Error()))
		}
		if req.Header.GetRpcOp() == pb.RpcRequestHeaderProto_RPC_CLOSE_CONNECTION {
			return nil
		}
		switch id := req.Header.GetCallId(); {
		case id == callPing:
			continue
		case id == callContext && !known:
			var m pb.IpcConnectionContextProto
			if err := req.Body(&m); err != nil {
				return err
			}
			c.caller.User, c.caller.Protocol = m.GetUserInfo().GetEffectiveUser(), m.GetProtocol()
			known = true
			continue
		case id < 0 || !known:
			return errors.Join(ErrFrame, c.fail(id, nil, pb.RpcResponseHeaderProto_FATAL, pb.RpcResponseHeaderProto_FATAL_INVALID_RPC_HEADER, ClassServer, "no connection context, or an unknown call id"))
		}
		select {
		case calls <- struct{}{}: // beyond that, the client's frames wait in its own connection
		case <-ctx.Done():
			return ctx.Err()
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-calls }()
			if err := c.call(ctx, req); err != nil {
				c.c.Close()
			}
		}()
	}
}

func (c *serverConn) call(ctx context.Context, req *Request) error {
	id, client := req.Header.GetCallId(), req.Header.GetClientId()
	fail := func(code pb.RpcResponseHeaderProto_RpcErrorCodeProto, class, format string, args ...any) error {
		return c.fail(id, client, pb.RpcResponseHeaderProto_ERROR, code, class, fmt.Sprintf(format, args...))
	}
	p, ok := c.s.Protocols[req.Method.GetDeclaringClassProtocolName()]
	if !ok {
		return fail(pb.RpcResponseHeaderProto_ERROR_NO_SUCH_PROTOCOL, ClassNoProtocol, "unknown protocol %s", req.Method.GetDeclaringClassProtocolName())
	}
	if p.NeedToken && c.caller.Identifier == nil {
		return fail(pb.RpcResponseHeaderProto_ERROR_APPLICATION, ClassAccess, "%s needs a token", req.Method.GetDeclaringClassProtocolName())
	}
	m, ok := p.Methods[req.Method.GetMethodName()]
	if !ok {
		return fail(pb.RpcResponseHeaderProto_ERROR_NO_SUCH_METHOD, ClassNoMethod, "%s is not supported", req.Method.GetMethodName())
	}
	in := m.new()
	if err := req.Body(in); err != nil {
		return fail(pb.RpcResponseHeaderProto_FATAL_DESERIALIZING_REQUEST, ClassServer, "%v", err)
	}
	select {
	case c.s.all <- struct{}{}:
		defer func() { <-c.s.all }()
	default:
		return fail(pb.RpcResponseHeaderProto_ERROR_APPLICATION, ClassRetriable, "too many calls under way")
	}
	ctx, cancel := context.WithTimeout(ctx, c.s.CallFor)
	defer cancel()
	out, err := m.call(ctx, &c.caller, in)
	if err != nil {
		var e *Error
		if !errors.As(err, &e) {
			e = &Error{Class: ClassRetriable, Text: err.Error()}
		}
		return fail(pb.RpcResponseHeaderProto_ERROR_APPLICATION, e.Class, "%s", e.Text)
	}
	return c.send(&pb.RpcResponseHeaderProto{CallId: proto.Uint32(uint32(id)), Status: pb.RpcResponseHeaderProto_SUCCESS.Enum(), ClientId: client}, out)
}
