package wire

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// DialFunc opens connections.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// ErrLost says that a connection ended while a call was under way: it may or
// may not have been carried out.
var ErrLost = errors.New("yarn: connection lost")

// Conn is a client's connection, for calls of one protocol. Calls may be under
// way at once.
type Conn struct {
	c        net.Conn
	protocol string
	client   []byte
	limit    int

	wmu sync.Mutex

	mu    sync.Mutex
	next  int32
	calls map[int32]chan answered
	err   error
}

type answered struct {
	rest *bytes.Reader
	err  error
}

// openFor is how long the opening of a connection may take.
const openFor = 5 * time.Second

// Dial opens a connection; with a token it is authenticated by that.
func Dial(ctx context.Context, dial DialFunc, addr, protocol, user string, token *pb.TokenProto) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, openFor)
	defer cancel()
	raw, err := dial(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("yarn: %w", err)
	}
	c := &Conn{c: raw, protocol: protocol, client: make([]byte, 16), limit: 64 << 20, calls: map[int32]chan answered{}}
	_, _ = rand.Read(c.client) // never fails
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	err = c.open(user, token)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		raw.Close()
		return nil, err
	}
	go c.read()
	return c, nil
}

func (c *Conn) open(user string, token *pb.TokenProto) error {
	head := append(bytes.Clone(magic), Version, 0, authNone)
	if token != nil {
		head[6] = authSasl
	}
	if _, err := c.c.Write(head); err != nil {
		return fmt.Errorf("yarn: %w", err)
	}
	if token != nil {
		if err := c.authenticate(token); err != nil {
			return err
		}
	}
	return c.write(callContext, &pb.IpcConnectionContextProto{UserInfo: &pb.UserInformationProto{EffectiveUser: &user}, Protocol: &c.protocol})
}

func (c *Conn) write(id int32, ms ...proto.Message) error {
	h := &pb.RpcRequestHeaderProto{RpcKind: pb.RpcKindProto_RPC_PROTOCOL_BUFFER.Enum(), RpcOp: pb.RpcRequestHeaderProto_RPC_FINAL_PACKET.Enum(),
		CallId: &id, ClientId: c.client}
	b, err := Frame(append([]proto.Message{h}, ms...)...)
	if err != nil {
		return err
	}
	c.wmu.Lock()
	defer c.wmu.Unlock()
	_ = c.c.SetWriteDeadline(time.Now().Add(openFor)) // fails only where the connection is closed
	if _, err := c.c.Write(b); err != nil {
		return fmt.Errorf("%w: %w", ErrLost, err)
	}
	return nil
}

func (c *Conn) authenticate(token *pb.TokenProto) error {
	say := func(m *pb.RpcSaslProto) (*pb.RpcSaslProto, error) {
		if err := c.write(callSasl, m); err != nil {
			return nil, err
		}
		f, err := ReadFrame(c.c, c.limit)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrLost, err)
		}
		rest := bytes.NewReader(f)
		if _, err := header(rest); err != nil {
			return nil, err
		}
		var out pb.RpcSaslProto
		return &out, part(rest, &out)
	}
	offer, err := say(&pb.RpcSaslProto{State: pb.RpcSaslProto_NEGOTIATE.Enum()})
	if err != nil {
		return err
	}
	for _, a := range offer.GetAuths() {
		if a.GetMethod() != saslMethod {
			continue
		}
		proof, expect, err := respond(a.GetChallenge(), token.GetIdentifier(), token.GetPassword())
		if err != nil {
			return err
		}
		a.Challenge = nil
		done, err := say(&pb.RpcSaslProto{State: pb.RpcSaslProto_INITIATE.Enum(), Token: proof, Auths: []*pb.RpcSaslProto_SaslAuth{a}})
		if err != nil {
			return err
		}
		if done.GetState() != pb.RpcSaslProto_SUCCESS || string(done.GetToken()) != "rspauth="+expect {
			return fmt.Errorf("%w: the server did not prove that it knows the token", ErrAuth)
		}
		return nil
	}
	return fmt.Errorf("%w: the server takes no tokens", ErrAuth)
}

// header reads a response's header; an error that it carries is returned.
func header(rest *bytes.Reader) (*pb.RpcResponseHeaderProto, error) {
	var h pb.RpcResponseHeaderProto
	if err := part(rest, &h); err != nil {
		return nil, err
	}
	if h.GetStatus() != pb.RpcResponseHeaderProto_SUCCESS {
		return &h, &Error{Class: h.GetExceptionClassName(), Text: h.GetErrorMsg()}
	}
	return &h, nil
}

func (c *Conn) read() {
	for {
		f, err := ReadFrame(c.c, c.limit)
		if err != nil {
			c.end(fmt.Errorf("%w: %w", ErrLost, err))
			return
		}
		rest := bytes.NewReader(f)
		h, err := header(rest)
		if h == nil {
			c.end(err)
			return
		}
		c.mu.Lock()
		done := c.calls[int32(h.GetCallId())]
		delete(c.calls, int32(h.GetCallId()))
		c.mu.Unlock()
		if done != nil {
			done <- answered{rest, err}
		}
		if h.GetStatus() == pb.RpcResponseHeaderProto_FATAL {
			c.end(err)
			return
		}
	}
}

func (c *Conn) end(err error) {
	c.c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
	}
	for id, done := range c.calls {
		delete(c.calls, id)
		done <- answered{err: c.err}
	}
}

// Call makes a call. An *Error is what the server said; ErrLost leaves open
// whether the call was carried out.
func (c *Conn) Call(ctx context.Context, method string, in, out proto.Message) error {
	done := make(chan answered, 1)
	c.mu.Lock()
	if c.err != nil {
		defer c.mu.Unlock()
		return c.err
	}
	c.next++
	id := c.next
	c.calls[id] = done
	c.mu.Unlock()
	version := uint64(1)
	if err := c.write(id, &pb.RequestHeaderProto{MethodName: &method, DeclaringClassProtocolName: &c.protocol, ClientProtocolVersion: &version}, in); err != nil {
		c.end(err)
		return err
	}
	select {
	case a := <-done:
		if a.err != nil {
			return a.err
		}
		return part(a.rest, out)
	case <-ctx.Done():
		c.mu.Lock()
		delete(c.calls, id)
		c.mu.Unlock()
		return fmt.Errorf("%w: %w", ErrLost, ctx.Err())
	}
}

// Err says why the connection has ended, nil while it has not.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Close ends the connection.
func (c *Conn) Close() { c.end(net.ErrClosed) }
