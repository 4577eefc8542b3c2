// SASL authentication of a server connection.

package wire

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// maxSASLMessages is the number of messages in which a client has to authenticate itself.
const maxSASLMessages = 4

// saslCallID is callSasl as the unsigned number in answers.
const saslCallID = uint32(0xffffffff + callSasl + 1)

// authenticate performs the SASL negotiation. The client either authenticates itself with a token
// (TOKEN) or does not authenticate itself (SIMPLE).
func (c *serverConn) authenticate(ctx context.Context) error {
	nonce, err := newNonce()
	if err != nil {
		return err
	}
	for range maxSASLMessages {
		message, err := c.readSASL()
		if err != nil {
			return err
		}
		switch message.GetState() {
		case pb.RpcSaslProto_NEGOTIATE:
			if err := c.sendSASL(negotiation(nonce)); err != nil {
				return err
			}
		case pb.RpcSaslProto_INITIATE, pb.RpcSaslProto_RESPONSE:
			if len(message.Auths) == 1 && message.Auths[0].GetMethod() == saslMethodSimple {
				return c.sendSASL(&pb.RpcSaslProto{State: pb.RpcSaslProto_SUCCESS.Enum()})
			}
			return c.authenticateToken(ctx, nonce, message.GetToken())
		default:
			return fmt.Errorf("%w: SASL state %v", ErrFrame, message.GetState())
		}
	}
	return ErrAuth
}

// negotiation returns the offer of authentication methods: TOKEN with a challenge, and SIMPLE.
func negotiation(nonce string) *pb.RpcSaslProto {
	return &pb.RpcSaslProto{State: pb.RpcSaslProto_NEGOTIATE.Enum(), Auths: []*pb.RpcSaslProto_SaslAuth{
		{
			Method:    proto.String(saslMethodToken),
			Mechanism: proto.String(saslMechanism),
			Protocol:  proto.String(""),
			ServerId:  proto.String(saslRealm),
			Challenge: challenge(nonce),
		},
		{Method: proto.String(saslMethodSimple), Mechanism: proto.String("")},
	}}
}

// authenticateToken verifies the client's response to the challenge and sends the server's proof.
func (c *serverConn) authenticateToken(ctx context.Context, nonce string, response []byte) error {
	identifier, proof, err := verifyResponse(response, nonce, func(identifier []byte) ([]byte, error) {
		return c.password(ctx, identifier)
	})
	if errors.Is(err, ErrAuth) {
		return errors.Join(err, c.sendFatal(callSasl, pb.RpcResponseHeaderProto_FATAL_UNAUTHORIZED, Errorf(ClassInvalidToken, "%s", err)))
	}
	if err != nil {
		// An application master gives up for good if its token is invalid. So a failed lookup of
		// the password, for example due to overload, is answered with a retriable error.
		return errors.Join(err, c.sendFatal(callSasl, pb.RpcResponseHeaderProto_FATAL_UNKNOWN, Errorf(ClassRetriable, "%s", err)))
	}
	c.caller.Identifier = identifier
	return c.sendSASL(&pb.RpcSaslProto{State: pb.RpcSaslProto_SUCCESS.Enum(), Token: proof})
}

func (c *serverConn) password(ctx context.Context, identifier []byte) ([]byte, error) {
	if c.server.Password == nil {
		return nil, Errorf(ClassInvalidToken, "no tokens here")
	}
	ctx, cancel := context.WithTimeout(ctx, c.server.CallTimeout)
	defer cancel()
	return c.server.Password(ctx, identifier)
}

func (c *serverConn) readSASL() (*pb.RpcSaslProto, error) {
	frame, err := c.readFrame(c.server.FrameTimeout)
	if err != nil {
		return nil, err
	}
	req, err := ParseRequest(frame)
	if err != nil || req.Header.GetCallId() != callSasl {
		return nil, errors.Join(ErrFrame, err)
	}
	var message pb.RpcSaslProto
	return &message, req.Body(&message)
}

func (c *serverConn) sendSASL(message *pb.RpcSaslProto) error {
	return c.send(&pb.RpcResponseHeaderProto{
		CallId:              proto.Uint32(saslCallID),
		Status:              pb.RpcResponseHeaderProto_SUCCESS.Enum(),
		ServerIpcVersionNum: proto.Uint32(Version),
	}, message)
}
