// Frames and request headers of Hadoop RPC.

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
	// Version is the version of Hadoop RPC.
	Version = 9
	// MaxFrame is the default of Server.MaxFrameBytes.
	MaxFrame = 4 << 20
)

// A connection begins with magic and one byte each for version, service class and authentication.
const (
	openingBytes = 7
	versionAt    = 4
	authAt       = 6

	serviceClass = 0
	authNone     = 0
	authSasl     = 0xdf // -33 as a signed byte
)

var magic = []byte("hrpc")

// Call ids of requests that are not calls.
const (
	callContext = -3 // connection context
	callPing    = -4
	callSasl    = -33
)

// ErrFrame is the error for input that is not valid Hadoop RPC.
var ErrFrame = errors.New("yarn: malformed frame")

// lengthBytes is the size of the length field before a frame.
const lengthBytes = 4

// frameReadBytes is the number of bytes of a frame that are read at a time. It bounds the memory
// for a frame that a client announces and does not send.
const frameReadBytes = 16 << 10

// ReadFrame reads the length of a frame and then returns its content. It fails with ErrFrame if the
// length is less than 1 or more than maxBytes. It fails with io.EOF if r ends before the frame
// begins, and with io.ErrUnexpectedEOF if r ends within the frame.
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
		step := min(left, frameReadBytes)
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

// Frame returns an encoded frame, including its length field, with the messages. Each message is
// preceded by its length.
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

// readMessage reads the next message of a frame. It keeps unknown fields. It fails with ErrFrame if
// the message is malformed.
func readMessage(rest *bytes.Reader, message proto.Message) error {
	if err := (protodelim.UnmarshalOptions{MaxSize: int64(rest.Len())}).UnmarshalFrom(rest, message); err != nil {
		// io.EOF is not wrapped. Callers would take it for the end of the connection, but the
		// message is malformed.
		return fmt.Errorf("%w: %s: %v", ErrFrame, message.ProtoReflect().Descriptor().Name(), err) //nolint:errorlint // callers check for io.EOF
	}
	return nil
}

// Request is a received request.
type Request struct {
	Header *pb.RpcRequestHeaderProto
	Method *pb.RequestHeaderProto // nil if the request is not a call
	rest   *bytes.Reader          // the part of the frame that Body reads
}

// ParseRequest parses the headers of a request. Body reads the rest of the frame. If only the
// method header is invalid, ParseRequest returns both the request and an error, so that the caller
// knows the call id. If the request header is invalid, the request is nil.
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

// Body reads the parameters of a call or, if the request is not a call, its message.
func (r *Request) Body(message proto.Message) error { return readMessage(r.rest, message) }
