// One connection of the server: reading requests, executing calls and sending answers.

package wire

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// noCallID is the call id of an answer that belongs to no call.
const noCallID = -1

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 8 << 10

// serverConn is the server side of one connection.
type serverConn struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	caller Caller

	writeMu sync.Mutex // serializes the answers to concurrent calls
}

// serveConn reads the first bytes of a connection, authenticates the caller if they request it, and
// serves its calls. It returns the error that ended the connection, which is io.EOF if the client
// closed it between two frames.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &serverConn{server: s, conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}
	_ = conn.SetReadDeadline(time.Now().Add(s.FrameTimeout))
	var opening [openingBytes]byte
	if _, err := io.ReadFull(c.reader, opening[:]); err != nil {
		return err
	}
	if !bytes.Equal(opening[:len(magic)], magic) {
		return fmt.Errorf("%w: connection does not start with hrpc", ErrFrame)
	}
	if opening[versionAt] != Version {
		return errors.Join(ErrFrame, c.sendFatal(noCallID, pb.RpcResponseHeaderProto_FATAL_VERSION_MISMATCH,
			Errorf(ClassVersion, "this server speaks version %d", Version)))
	}
	switch opening[authAt] {
	case authNone:
	case authSasl:
		if err := c.authenticate(ctx); err != nil {
			return err
		}
	default:
		return fmt.Errorf("%w: unknown authentication %d", ErrFrame, opening[authAt])
	}
	return c.serveCalls(ctx)
}

// readFrame reads a frame. The frame has to begin within idle, and to be complete within
// FrameTimeout from its beginning.
func (c *serverConn) readFrame(idle time.Duration) ([]byte, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(idle))
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(c.server.FrameTimeout))
	return ReadFrame(c.reader, c.server.MaxFrameBytes)
}

// send writes one frame with the messages.
func (c *serverConn) send(messages ...proto.Message) error {
	b, err := Frame(messages...)
	if err != nil {
		return err
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.server.FrameTimeout)) // fails only if the connection is closed
	_, err = c.conn.Write(b)
	return err
}

// sendFatal sends a fatal error. The calling function has to close the connection afterwards.
func (c *serverConn) sendFatal(callID int32, code pb.RpcResponseHeaderProto_RpcErrorCodeProto, err error) error {
	return c.send(errorHeader(callID, pb.RpcResponseHeaderProto_FATAL, code, err))
}

// errorHeader returns the header of an answer with an error.
func errorHeader(callID int32, status pb.RpcResponseHeaderProto_RpcStatusProto, code pb.RpcResponseHeaderProto_RpcErrorCodeProto, err error) *pb.RpcResponseHeaderProto {
	e := AsError(err)
	return &pb.RpcResponseHeaderProto{
		CallId:              proto.Uint32(uint32(callID)),
		Status:              status.Enum(),
		ServerIpcVersionNum: proto.Uint32(Version),
		ExceptionClassName:  proto.String(string(e.Class)),
		ErrorMsg:            proto.String(e.Text),
		ErrorDetail:         code.Enum(),
	}
}

// serveCalls reads requests until the connection ends. It serves up to MaxCallsPerConn calls
// concurrently. At this limit it stops reading until a call has ended.
func (c *serverConn) serveCalls(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, c.server.MaxCallsPerConn)
	haveContext := false
	for {
		req, err := c.readRequest()
		if err != nil {
			return err
		}
		if req.Header.GetRpcOp() == pb.RpcRequestHeaderProto_RPC_CLOSE_CONNECTION {
			return nil
		}
		switch id := req.Header.GetCallId(); {
		case id == callPing:
			continue
		case id == callContext && !haveContext:
			if err := c.readContext(req); err != nil {
				return err
			}
			haveContext = true
			continue
		case id < 0 || !haveContext:
			return errors.Join(ErrFrame, c.sendFatal(id, pb.RpcResponseHeaderProto_FATAL_INVALID_RPC_HEADER,
				Errorf(ClassServer, "no connection context, or an unknown call id")))
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		wg.Go(func() {
			defer func() { <-slots }()
			if err := c.serveCall(ctx, req); err != nil {
				c.conn.Close()
			}
		})
	}
}

// readRequest reads a request. If the request is malformed, it sends a fatal error and fails.
func (c *serverConn) readRequest() (*Request, error) {
	frame, err := c.readFrame(c.server.IdleTimeout)
	if err != nil {
		return nil, err
	}
	req, err := ParseRequest(frame)
	if err != nil {
		id := int32(noCallID)
		if req != nil {
			id = req.Header.GetCallId()
		}
		return nil, errors.Join(err, c.sendFatal(id, pb.RpcResponseHeaderProto_FATAL_INVALID_RPC_HEADER, Errorf(ClassServer, "%s", err)))
	}
	return req, nil
}

// readContext sets the user and the protocol of the caller from the connection context.
func (c *serverConn) readContext(req *Request) error {
	var m pb.IpcConnectionContextProto
	if err := req.Body(&m); err != nil {
		return err
	}
	c.caller.User, c.caller.Protocol = m.GetUserInfo().GetEffectiveUser(), m.GetProtocol()
	return nil
}

// serveCall executes one call and sends the answer. It fails only if the answer can't be sent.
func (c *serverConn) serveCall(ctx context.Context, req *Request) error {
	out, failure := c.execute(ctx, req)
	if failure != nil {
		h := errorHeader(req.Header.GetCallId(), pb.RpcResponseHeaderProto_ERROR, failure.code, failure.err)
		h.ClientId = req.Header.GetClientId()
		return c.send(h)
	}
	return c.send(&pb.RpcResponseHeaderProto{
		CallId:   proto.Uint32(uint32(req.Header.GetCallId())),
		Status:   pb.RpcResponseHeaderProto_SUCCESS.Enum(),
		ClientId: req.Header.GetClientId(),
	}, out)
}

// callFailure is the error of a call with its error code in Hadoop RPC.
type callFailure struct {
	code pb.RpcResponseHeaderProto_RpcErrorCodeProto
	err  error
}

// execute runs the method of a request and returns the answer or the failure.
func (c *serverConn) execute(ctx context.Context, req *Request) (proto.Message, *callFailure) {
	protocolName, methodName := req.Method.GetDeclaringClassProtocolName(), req.Method.GetMethodName()
	protocol, ok := c.server.Protocols[protocolName]
	if !ok {
		return nil, &callFailure{pb.RpcResponseHeaderProto_ERROR_NO_SUCH_PROTOCOL, Errorf(ClassNoProtocol, "unknown protocol %s", protocolName)}
	}
	if protocol.NeedToken && c.caller.Identifier == nil {
		return nil, &callFailure{pb.RpcResponseHeaderProto_ERROR_APPLICATION, Errorf(ClassAccess, "%s needs a token", protocolName)}
	}
	method, ok := protocol.Methods[methodName]
	if !ok {
		return nil, &callFailure{pb.RpcResponseHeaderProto_ERROR_NO_SUCH_METHOD, Errorf(ClassNoMethod, "%s is not supported", methodName)}
	}
	in := method.newRequest()
	if err := req.Body(in); err != nil {
		return nil, &callFailure{pb.RpcResponseHeaderProto_FATAL_DESERIALIZING_REQUEST, Errorf(ClassServer, "%v", err)}
	}
	select {
	case c.server.callSlots <- struct{}{}:
		defer func() { <-c.server.callSlots }()
	default:
		return nil, &callFailure{pb.RpcResponseHeaderProto_ERROR_APPLICATION, Errorf(ClassRetriable, "too many calls under way")}
	}
	ctx, cancel := context.WithTimeout(ctx, c.server.CallTimeout)
	defer cancel()
	out, err := method.call(ctx, &c.caller, in)
	if err != nil {
		return nil, &callFailure{pb.RpcResponseHeaderProto_ERROR_APPLICATION, err}
	}
	return out, nil
}
