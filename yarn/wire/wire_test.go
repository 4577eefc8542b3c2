// Tests of client, server, frames and SASL over an in-memory network.

package wire

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/internal/memnet"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

const testProtocol = "org.example.Test"

// startServer starts a server for the duration of the test. Its method echo waits for as many
// seconds as the id of the application in the request.
func startServer(t *testing.T, change func(s *Server)) *memnet.Listener {
	t.Helper()
	echo := Handle(func(ctx context.Context, c *Caller, in *pb.KillApplicationRequestProto) (*pb.KillApplicationResponseProto, error) {
		select {
		case <-time.After(time.Duration(in.GetApplicationId().GetId()) * time.Second):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if in.GetDiagnostics() == "no" {
			return nil, Errorf(ClassNoApp, "there is none")
		}
		return &pb.KillApplicationResponseProto{IsKillCompleted: proto.Bool(c.User == "ann")}, nil
	})
	s := &Server{Log: slog.New(slog.DiscardHandler), Protocols: map[string]Protocol{
		testProtocol: {Methods: map[string]Method{"echo": echo}},
		"closed":     {Methods: map[string]Method{"echo": echo}, NeedToken: true},
	}, Password: func(_ context.Context, id []byte) ([]byte, error) {
		switch string(id) {
		case "over":
			return nil, Errorf(ClassNoAttempt, "the application is over")
		case "busy":
			return nil, errors.New("the state service is busy")
		}
		return append([]byte("pw of "), id...), nil
	}}
	if change != nil {
		change(s)
	}
	l := memnet.Listen(0)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		l.End()
		<-done
	})
	return l
}

func call(t *testing.T, c *Conn, seconds int32, text string) (*pb.KillApplicationResponseProto, error) {
	t.Helper()
	var out pb.KillApplicationResponseProto
	err := c.Call(t.Context(), "echo", &pb.KillApplicationRequestProto{ApplicationId: &pb.ApplicationIdProto{Id: &seconds}, Diagnostics: &text}, &out)
	return &out, err
}

// A slow call does not delay the answer to a later call on the same connection. Errors have the
// exception class of their cause.
func TestCallsAreAnsweredInAnyOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := startServer(t, nil)
		c, err := Dial(t.Context(), listener.Dial, "", testProtocol, "ann", nil)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		begun := time.Now()
		var slow, fast time.Duration
		done := make(chan struct{})
		go func() { defer close(done); _, _ = call(t, c, 9, ""); slow = time.Since(begun) }()
		out, err := call(t, c, 1, "")
		if fast = time.Since(begun); err != nil || !out.GetIsKillCompleted() {
			t.Errorf("call: got %v, error %v", out, err)
		}
		if <-done; fast != time.Second || slow != 9*time.Second {
			t.Errorf("answered after %v and %v, want 1s and 9s", fast, slow)
		}
		if _, err := call(t, c, 0, "no"); !IsClass(err, ClassNoApp) {
			t.Errorf("error of the method: got %v, want ClassNoApp", err)
		}
		if err := c.Call(t.Context(), "nothing", &pb.KillApplicationRequestProto{}, &pb.KillApplicationResponseProto{}); !IsClass(err, ClassNoMethod) {
			t.Errorf("unknown method: got error %v, want ClassNoMethod", err)
		}
		other, err := Dial(t.Context(), listener.Dial, "", "nobody", "ann", nil)
		if err != nil {
			t.Fatal(err)
		}
		defer other.Close()
		if _, err := call(t, other, 0, ""); !IsClass(err, ClassNoProtocol) {
			t.Errorf("unknown protocol: got error %v, want ClassNoProtocol", err)
		}
	})
}

// A protocol that needs a token serves only clients that know the password of a valid token.
func TestTokenAuthentication(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := startServer(t, nil)
		token := func(id, pw string) *pb.TokenProto {
			return &pb.TokenProto{Identifier: []byte(id), Password: []byte(pw), Kind: proto.String("k"), Service: proto.String("")}
		}
		c, err := Dial(t.Context(), listener.Dial, "", "closed", "ann", token("app-1", "pw of app-1"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := call(t, c, 0, ""); err != nil {
			t.Errorf("call with a valid token: %v", err)
		}
		c.Close()
		for name, tok := range map[string]*pb.TokenProto{"wrong password": token("app-1", "pw of app-2"), "over": token("over", "pw of over"), "empty": token("", "")} {
			if c, err := Dial(t.Context(), listener.Dial, "", "closed", "ann", tok); err == nil || IsClass(err, ClassRuntime) {
				c.Close()
				t.Errorf("%s: connection is accepted", name)
			}
		}
		// An application master gives up for good if its token is invalid. So a failed lookup of
		// the password must be answered with a retriable error.
		if _, err := Dial(t.Context(), listener.Dial, "", "closed", "ann", token("busy", "pw of busy")); !IsClass(err, ClassRetriable) {
			t.Errorf("failed password lookup: got error %v, want ClassRetriable", err)
		}
		if _, err := Dial(t.Context(), listener.Dial, "", "closed", "ann", token("over", "pw of over")); !IsClass(err, ClassInvalidToken) {
			t.Errorf("token of an ended application: got error %v, want ClassInvalidToken", err)
		}
		c, err = Dial(t.Context(), listener.Dial, "", "closed", "ann", nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := call(t, c, 0, ""); !IsClass(err, ClassAccess) {
			t.Errorf("call without a token: got error %v, want ClassAccess", err)
		}
		c.Close()
	})
}

func TestDigestMatchesExampleOfRFC2831(t *testing.T) {
	d := digest{
		username:   "chris",
		realm:      "elwood.innosoft.com",
		password:   "secret",
		nonce:      "OA6MG9tEQGm2hh",
		cnonce:     "OA6MHXh6VqTrRk",
		nonceCount: "00000001",
		uri:        "imap/elwood.innosoft.com",
	}
	if got := d.response(clientDigestMethod); got != "d388dad90d4bbd760a152321f2143af7" {
		t.Errorf("digest is %s", got)
	}
}

// Clients send malformed or incomplete input, such as a huge length. Each of their connections must
// be closed within its deadline, little memory be allocated, and other clients be served meanwhile.
func TestMalformedInputDoesNotAffectOtherClients(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := startServer(t, nil)
		good, err := Dial(t.Context(), listener.Dial, "", testProtocol, "ann", nil)
		if err != nil {
			t.Fatal(err)
		}
		defer good.Close()
		ctx, _ := Frame(&pb.RpcRequestHeaderProto{CallId: proto.Int32(callContext), ClientId: []byte{1}}, &pb.IpcConnectionContextProto{})
		open := append([]byte("hrpc\x09\x00\x00"), ctx...)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		var left atomic.Int32
		for name, b := range map[string][]byte{
			"garbage": []byte("GET / HTTP/1.1\r\n\r\n"), "old version": []byte("hrpc\x04\x00\x00"),
			"nothing": nil, "half an opening": []byte("hrp"),
			"a huge length": append(bytes.Clone(open), 0x7f, 0xff, 0xff, 0xff), "a negative one": append(bytes.Clone(open), 0xff, 0xff, 0xff, 0xff),
			"half a frame":   append(bytes.Clone(open), 0, 0x30, 0, 0, 1, 2, 3),
			"a bad header":   append(bytes.Clone(open), 0, 0, 0, 3, 0xff, 0xff, 0xff),
			"unknown SASL":   []byte("hrpc\x09\x00\xdf\x00\x00\x00\x01\x00"),
			"no call before": append([]byte("hrpc\x09\x00\x00"), 0, 0, 0, 2, 1, 0),
		} {
			a, _ := listener.Dial(t.Context(), "", "")
			left.Add(1)
			go func() { _, _ = a.Write(b) }()
			go func() {
				begun := time.Now()
				_, _ = io.Copy(io.Discard, a)
				if d := time.Since(begun); d > 11*time.Second {
					t.Errorf("%s: open for %v", name, d)
				}
				a.Close()
				left.Add(-1)
			}()
		}
		if _, err := call(t, good, 1, ""); err != nil {
			t.Errorf("call of a valid client: %v", err)
		}
		time.Sleep(12 * time.Second)
		runtime.ReadMemStats(&after)
		if left.Load() != 0 || after.TotalAlloc-before.TotalAlloc > 2<<20 {
			t.Errorf("%d connections are still open, %d bytes were allocated", left.Load(), after.TotalAlloc-before.TotalAlloc)
		}
		if _, err := call(t, good, 1, ""); err != nil {
			t.Errorf("later call of a valid client: %v", err)
		}
	})
}

// Fields that only newer clients know are accepted and kept.
func TestUnknownFieldsAreKept(t *testing.T) {
	b, _ := proto.Marshal(&pb.ApplicationIdProto{Id: proto.Int32(7)})
	b = protowire.AppendString(protowire.AppendTag(b, 99, protowire.BytesType), "novelty")
	var m pb.ApplicationIdProto
	if err := proto.Unmarshal(b, &m); err != nil || m.GetId() != 7 {
		t.Fatal(err)
	}
	if again, _ := proto.Marshal(&m); !bytes.Contains(again, []byte("novelty")) {
		t.Error("the unknown field is dropped")
	}
}

// Calls beyond the limit are answered with RetriableException. Connections beyond the limit are
// closed at once.
func TestCallsAndConnectionsBeyondLimitsAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := startServer(t, func(s *Server) { s.MaxCalls, s.MaxConns = 4, 2 })
		c, err := Dial(t.Context(), listener.Dial, "", testProtocol, "ann", nil)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		var refused atomic.Int32
		for range 10 {
			go func() {
				if _, err := call(t, c, 5, ""); IsClass(err, ClassRetriable) {
					refused.Add(1)
				}
			}()
		}
		time.Sleep(time.Second)
		if refused.Load() != 6 {
			t.Errorf("%d of 10 calls were refused, want 6 with a limit of 4", refused.Load())
		}
		d, err := Dial(t.Context(), listener.Dial, "", testProtocol, "ann", nil)
		if err != nil {
			t.Fatal(err)
		}
		defer d.Close()
		a, _ := listener.Dial(t.Context(), "", "")
		if _, err := a.Read(make([]byte, 1)); err == nil {
			t.Error("a third connection is accepted with a limit of two")
		}
		time.Sleep(10 * time.Second)
	})
}

func FuzzReadFrame(f *testing.F) {
	good, _ := Frame(&pb.RpcRequestHeaderProto{CallId: proto.Int32(1), ClientId: []byte("0123456789abcdef"), RpcKind: pb.RpcKindProto_RPC_PROTOCOL_BUFFER.Enum()},
		&pb.RequestHeaderProto{MethodName: proto.String("m"), DeclaringClassProtocolName: proto.String("p"), ClientProtocolVersion: proto.Uint64(1)})
	f.Add(good)
	f.Add(good[:7])
	f.Add([]byte{0x7f, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		frame, err := ReadFrame(bytes.NewReader(b), 1<<16)
		if err != nil {
			return
		}
		if len(frame)+4 > len(b) {
			t.Fatalf("read a frame of %d bytes from %d bytes", len(frame), len(b))
		}
		r, err := ParseRequest(frame)
		if err == nil && r.Header == nil {
			t.Fatal("no header and no error")
		}
		if r != nil && r.Method != nil {
			_ = r.Body(&pb.AllocateRequestProto{}) // may fail, must not panic
		}
	})
}

func FuzzDirectives(f *testing.F) {
	f.Add([]byte(`realm="default",nonce="a\"b",qop=auth`))
	f.Add([]byte(`=,,="`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if d, err := parseDirectives(b); err == nil && len(d) > len(b) {
			t.Fatal("more directives than bytes")
		}
		_, _, _ = verifyResponse(b, "n", func([]byte) ([]byte, error) { return nil, fmt.Errorf("none") })
	})
}
