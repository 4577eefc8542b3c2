// The client side of Hadoop RPC.

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

// DialFunc opens a network connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// ErrLost is the error of a call that got no answer, since the connection or the context of the
// call ended. The server may or may not have executed the call.
var ErrLost = errors.New("yarn: connection lost")

const (
	// dialTimeout is the timeout of opening a connection, including authentication, and of each
	// write.
	dialTimeout = 5 * time.Second
	// maxResponseBytes is the largest frame that a client reads.
	maxResponseBytes = 64 << 20
	clientIDBytes    = 16
	// protocolVersion is the version of all of YARN's protocols.
	protocolVersion = 1
)

// Conn is a client connection for calls of one protocol. It is safe for concurrent use.
type Conn struct {
	conn     net.Conn
	protocol string
	clientID []byte

	writeMu sync.Mutex

	mu         sync.Mutex
	lastCallID int32
	pending    map[int32]chan<- response // by call id
	err        error                     // why the connection has ended; nil while it is open
}

// response is the outcome of a call: an error, or the rest of the frame after the response header.
type response struct {
	rest *bytes.Reader
	err  error
}

// Dial opens a connection to addr for calls of a protocol. With a token, client and server
// authenticate each other. Without a token (nil), there is no authentication. An *Error is the
// server's refusal.
func Dial(ctx context.Context, dial DialFunc, addr, protocol, user string, token *pb.TokenProto) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := dial(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("yarn: %w", err)
	}
	c := &Conn{conn: raw, protocol: protocol, clientID: make([]byte, clientIDBytes), pending: map[int32]chan<- response{}}
	_, _ = rand.Read(c.clientID) // never fails
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	err = c.open(user, token)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		raw.Close()
		return nil, err
	}
	go c.readResponses()
	return c, nil
}

// open sends the first bytes of the connection, authenticates if there is a token, and sends the
// connection context.
func (c *Conn) open(user string, token *pb.TokenProto) error {
	auth := byte(authNone)
	if token != nil {
		auth = authSasl
	}
	if _, err := c.conn.Write(append(bytes.Clone(magic), Version, serviceClass, auth)); err != nil {
		return fmt.Errorf("yarn: %w", err)
	}
	if token != nil {
		if err := c.authenticate(token); err != nil {
			return err
		}
	}
	return c.write(callContext, &pb.IpcConnectionContextProto{UserInfo: &pb.UserInformationProto{EffectiveUser: &user}, Protocol: &c.protocol})
}

// write sends a request: its header and messages in one frame.
func (c *Conn) write(callID int32, messages ...proto.Message) error {
	header := &pb.RpcRequestHeaderProto{
		RpcKind:  pb.RpcKindProto_RPC_PROTOCOL_BUFFER.Enum(),
		RpcOp:    pb.RpcRequestHeaderProto_RPC_FINAL_PACKET.Enum(),
		CallId:   &callID,
		ClientId: c.clientID,
	}
	b, err := Frame(append([]proto.Message{header}, messages...)...)
	if err != nil {
		return err
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_ = c.conn.SetWriteDeadline(time.Now().Add(dialTimeout)) // fails only if the connection is closed
	if _, err := c.conn.Write(b); err != nil {
		return fmt.Errorf("%w: %w", ErrLost, err)
	}
	return nil
}

// authenticate proves to the server that the client knows the token's password, and checks the
// server's proof of the same.
func (c *Conn) authenticate(token *pb.TokenProto) error {
	offer, err := c.exchangeSASL(&pb.RpcSaslProto{State: pb.RpcSaslProto_NEGOTIATE.Enum()})
	if err != nil {
		return err
	}
	for _, auth := range offer.GetAuths() {
		if auth.GetMethod() != saslMethodToken {
			continue
		}
		response, expected, err := answerChallenge(auth.GetChallenge(), token.GetIdentifier(), token.GetPassword())
		if err != nil {
			return err
		}
		auth.Challenge = nil
		done, err := c.exchangeSASL(&pb.RpcSaslProto{State: pb.RpcSaslProto_INITIATE.Enum(), Token: response, Auths: []*pb.RpcSaslProto_SaslAuth{auth}})
		if err != nil {
			return err
		}
		if done.GetState() != pb.RpcSaslProto_SUCCESS || string(done.GetToken()) != expected {
			return fmt.Errorf("%w: the server did not prove that it knows the token", ErrAuth)
		}
		return nil
	}
	return fmt.Errorf("%w: the server does not offer token authentication", ErrAuth)
}

// exchangeSASL sends a SASL message and returns the answer. An *Error is the server's refusal.
func (c *Conn) exchangeSASL(message *pb.RpcSaslProto) (*pb.RpcSaslProto, error) {
	if err := c.write(callSasl, message); err != nil {
		return nil, err
	}
	frame, err := ReadFrame(c.conn, maxResponseBytes)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrLost, err)
	}
	rest := bytes.NewReader(frame)
	if _, err := readResponseHeader(rest); err != nil {
		return nil, err
	}
	var out pb.RpcSaslProto
	return &out, readMessage(rest, &out)
}

// readResponseHeader reads the header of a response. If the header has an exception, it returns
// both the header and the exception as an *Error. If the header is malformed, it returns nil and an
// error.
func readResponseHeader(rest *bytes.Reader) (*pb.RpcResponseHeaderProto, error) {
	var header pb.RpcResponseHeaderProto
	if err := readMessage(rest, &header); err != nil {
		return nil, err
	}
	if header.GetStatus() != pb.RpcResponseHeaderProto_SUCCESS {
		return &header, &Error{Class: ExceptionClass(header.GetExceptionClassName()), Text: header.GetErrorMsg()}
	}
	return &header, nil
}

// readResponses delivers responses to the waiting calls until the connection ends.
func (c *Conn) readResponses() {
	for {
		frame, err := ReadFrame(c.conn, maxResponseBytes)
		if err != nil {
			c.fail(fmt.Errorf("%w: %w", ErrLost, err))
			return
		}
		rest := bytes.NewReader(frame)
		header, err := readResponseHeader(rest)
		if header == nil {
			c.fail(err)
			return
		}
		if waiting := c.takePending(int32(header.GetCallId())); waiting != nil {
			waiting <- response{rest, err}
		}
		if header.GetStatus() == pb.RpcResponseHeaderProto_FATAL {
			c.fail(err)
			return
		}
	}
}

// takePending removes and returns the channel of a pending call, or returns nil if there is no such
// call.
func (c *Conn) takePending(callID int32) chan<- response {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := c.pending[callID]
	delete(c.pending, callID)
	return waiting
}

// fail closes the connection and fails all pending calls. The connection keeps the first error.
func (c *Conn) fail(err error) {
	c.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
	}
	for id, waiting := range c.pending {
		delete(c.pending, id)
		waiting <- response{err: c.err}
	}
}

// addPending returns the id of a new call and registers the channel for its response. It fails if
// the connection has ended.
func (c *Conn) addPending(waiting chan<- response) (callID int32, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, c.err
	}
	c.lastCallID++
	c.pending[c.lastCallID] = waiting
	return c.lastCallID, nil
}

// Call calls a method and reads the answer into out. An *Error is the server's answer. After
// ErrLost it is unknown whether the server executed the call.
func (c *Conn) Call(ctx context.Context, method string, in, out proto.Message) error {
	waiting := make(chan response, 1) // buffered, so that a late response does not block readResponses
	id, err := c.addPending(waiting)
	if err != nil {
		return err
	}
	header := &pb.RequestHeaderProto{
		MethodName:                 &method,
		DeclaringClassProtocolName: &c.protocol,
		ClientProtocolVersion:      proto.Uint64(protocolVersion),
	}
	if err := c.write(id, header, in); err != nil {
		c.fail(err)
		return err
	}
	select {
	case answer := <-waiting:
		if answer.err != nil {
			return answer.err
		}
		return readMessage(answer.rest, out)
	case <-ctx.Done():
		c.takePending(id)
		return fmt.Errorf("%w: %w", ErrLost, ctx.Err())
	}
}

// Err returns the error that ended the connection, or nil while the connection is open.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Close closes the connection. Pending calls fail.
func (c *Conn) Close() { c.fail(net.ErrClosed) }
