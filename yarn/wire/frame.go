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
	// MaxFrame is the largest frame that is read, in bytes.
	MaxFrame = 4 << 20

	authNone = 0
	authSasl = 0xdf // -33

	callContext = -3
	callPing    = -4
	callSasl    = -33
)

var magic = []byte("hrpc")

// ErrFrame marks input that is no frame of Hadoop RPC.
var ErrFrame = errors.New("yarn: malformed frame")

// frameStep is how much room is made for a frame at a time: a length that is
// only claimed costs no more than this beyond what really arrives.
const frameStep = 16 << 10

// ReadFrame reads one frame: its length in four bytes, and that many more.
func ReadFrame(r io.Reader, most int) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := int64(int32(binary.BigEndian.Uint32(head[:])))
	if n < 1 || n > int64(most) {
		return nil, fmt.Errorf("%w: length %d", ErrFrame, n)
	}
	var buf bytes.Buffer
	for left := n; left > 0; {
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

// Frame makes a frame of messages, each preceded by its length.
func Frame(ms ...proto.Message) ([]byte, error) {
	out := make([]byte, 4, 256)
	for _, m := range ms {
		b, err := proto.Marshal(m)
		if err != nil {
			return nil, fmt.Errorf("yarn: %w", err)
		}
		out = append(protowire.AppendVarint(out, uint64(len(b))), b...)
	}
	binary.BigEndian.PutUint32(out, uint32(len(out)-4))
	return out, nil
}

// part takes the next message off a frame. Fields that it does not know are
// kept, and no error.
func part(rest *bytes.Reader, m proto.Message) error {
	if err := (protodelim.UnmarshalOptions{MaxSize: int64(rest.Len())}).UnmarshalFrom(rest, m); err != nil {
		// A message that ends too soon is malformed, and no end of its connection.
		return fmt.Errorf("%w: %s: %v", ErrFrame, m.ProtoReflect().Descriptor().Name(), err) //nolint:errorlint // callers ask for io.EOF
	}
	return nil
}

// Request is a call as it came.
type Request struct {
	Header *pb.RpcRequestHeaderProto
	Method *pb.RequestHeaderProto // nil for what is no call
	rest   *bytes.Reader
}

// ParseRequest takes a request's frame apart as far as its method.
func ParseRequest(frame []byte) (*Request, error) {
	r := &Request{Header: &pb.RpcRequestHeaderProto{}, rest: bytes.NewReader(frame)}
	if err := part(r.rest, r.Header); err != nil {
		return nil, err
	}
	if r.Header.GetCallId() < 0 {
		return r, nil
	}
	if k := r.Header.GetRpcKind(); k != pb.RpcKindProto_RPC_PROTOCOL_BUFFER {
		return r, fmt.Errorf("%w: rpc kind %v", ErrFrame, k)
	}
	r.Method = &pb.RequestHeaderProto{}
	return r, part(r.rest, r.Method)
}

// Body reads what the call carries.
func (r *Request) Body(m proto.Message) error { return part(r.rest, m) }
