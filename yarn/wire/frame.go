package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

const (
	// Version of Hadoop RPC.
	Version = 9
	// MaxFrame is the largest frame that a server reads by default, in bytes.
	MaxFrame = 4 << 20
)

// The first bytes of a connection: magic, then one byte each for version, service class and
// authentication.
const (
	openingBytes = 7
	versionAt    = 4
	authAt       = 6

	serviceClass = 0
	authNone     = 0
	authSasl     = 0xdf // -33 as a signed byte
)

var magic = []byte("hrpc")

// Call ids of frames that are not calls.
const (
	callContext = -3
	callPing    = -4
	callSasl    = -33
)

// ErrFrame is the error for input that is not valid Hadoop RPC.
var ErrFrame = errors.New("yarn: malformed frame")

// lengthBytes is the size of the length that precedes a frame.
const lengthBytes = 4

// frameStep is how much of a frame is read at a time, in bytes: if a client announces a long frame
// and does not send it, little more memory is allocated than for what has arrived.
const frameStep = 16 << 10

// ReadFrame reads one frame: its length, and that many bytes. It fails with ErrFrame if the
// length is less than 1 or more than maxBytes.
func ReadFrame(r io.Reader, maxBytes int) ([]byte, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	length := int64(int32(binary.BigEndian.Uint32(head[:])))
	if length < 1 || length > int64(maxBytes) {
		return nil, fmt.Errorf("%w: length %d", ErrFrame, length)
	}
	var buf bytes.Buffer
	for left := length; left > 0; {
		step := min(left, frameStep)
		got, err := io.CopyN(&buf, r, step)
		left -= got
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return buf.Bytes(), nil
}

// Frame returns a frame with messages, each preceded by its length.
func Frame(messages ...proto.Message) ([]byte, error) {
	out := make([]byte, lengthBytes, 256)
	for _, message := range messages {
		b, err := proto.Marshal(message)
		if err != nil {
			return nil, fmt.Errorf("yarn: %w", err)
		}
		out = append(protowire.AppendVarint(out, uint64(len(b))), b...)
	}
	binary.BigEndian.PutUint32(out, uint32(len(out)-lengthBytes))
	return out, nil
}

// readMessage reads the next message of a frame. Unknown fields are kept, and are not an error.
func readMessage(rest *bytes.Reader, message proto.Message) error {
	if err := (protodelim.UnmarshalOptions{MaxSize: int64(rest.Len())}).UnmarshalFrom(rest, message); err != nil {
		// io.EOF is not wrapped: the message is malformed, which is not the end of the connection.
		return fmt.Errorf("%w: %s: %v", ErrFrame, message.ProtoReflect().Descriptor().Name(), err) //nolint:errorlint // callers ask for io.EOF
	}
	return nil
}

// Request is a received request.
type Request struct {
	Header *pb.RpcRequestHeaderProto
	Method *pb.RequestHeaderProto // nil if the request is not a call
	rest   *bytes.Reader
}

// ParseRequest parses a request's frame up to its method; Body reads the rest. If only the method
// is invalid, the request is returned with the error, for its call id.
func ParseRequest(frame []byte) (*Request, error) {
	r := &Request{Header: &pb.RpcRequestHeaderProto{}, rest: bytes.NewReader(frame)}
	if err := readMessage(r.rest, r.Header); err != nil {
		return nil, err
	}
	if r.Header.GetCallId() < 0 {
		return r, nil
	}
	if k := r.Header.GetRpcKind(); k != pb.RpcKindProto_RPC_PROTOCOL_BUFFER {
		return r, fmt.Errorf("%w: rpc kind %v", ErrFrame, k)
	}
	r.Method = &pb.RequestHeaderProto{}
	return r, readMessage(r.rest, r.Method)
}

// Body reads the parameters of a call, or the message of a request that is not a call.
func (r *Request) Body(message proto.Message) error { return readMessage(r.rest, message) }
