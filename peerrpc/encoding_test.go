package peerrpc

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/internal/golden"
)

// The messages between controllers as the program version that recorded the golden files
// sends them. gob matches fields by name, and net/rpc matches the service and its methods
// by name, so these names are part of the protocol. The types are deliberate copies, so
// that a rename in the product does not rename them too.
type (
	sentRequest struct {
		Op     string
		ID     string
		Body   []byte
		From   string
		Room   int
		AgoS   float64
		Lost   string
		LostAt uint64
		At     uint64
	}
	sentAnswer struct {
		Status     int
		Body       []byte
		RetryAfter int
		Repeated   bool
	}
	sentStatus struct {
		Node    string
		Leader  string
		StateOK bool
		Plan    *sentPlan
		Form    int
	}
	sentPlan struct {
		Leader  string
		Token   uint64
		Workers int
		Direct  int
		Relays  []sentNode
	}
	sentNode struct {
		Name string
		Room int
	}
)

// recordingHandler is a Handler that records the requests it receives.
type recordingHandler struct {
	mu    sync.Mutex
	asked []string
}

func (s *recordingHandler) note(method string, r Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = append(s.asked, fmt.Sprint(method, " ", r))
}

func (s *recordingHandler) HandleHeartbeat(_ context.Context, r Request) Answer {
	s.note("Report", r)
	return golden.Filled[Answer]()
}

func (s *recordingHandler) HandleUserRequest(_ context.Context, r Request) Answer {
	s.note("User", r)
	return golden.Filled[Answer]()
}

func (s *recordingHandler) RecoverRecord(_ context.Context, r Request) Answer {
	s.note("Recall", r)
	return golden.Filled[Answer]()
}

func (s *recordingHandler) Status(r Request) Status {
	s.note("Status", r)
	return golden.Filled[Status]()
}

func (s *recordingHandler) Overview() []byte { return []byte("overview") }
func (s *recordingHandler) Machines() []byte { return []byte("machines") }

// exchange is a request and its answer.
type exchange struct {
	method string
	sends  any // request in the recorded version's type
	gets   any // answer in the recorded version's type
	call   func(ctx context.Context, p *Peer, l *HeartbeatStream) (any, error)
	want   any // result of call
}

func exchanges() []exchange {
	request, answer, status := golden.Filled[sentRequest](), golden.Filled[sentAnswer](), golden.Filled[sentStatus]()
	currentRequest, currentAnswer, currentStatus := golden.Filled[Request](), golden.Filled[Answer](), golden.Filled[Status]()
	return []exchange{
		{"Report", request, answer, func(ctx context.Context, _ *Peer, l *HeartbeatStream) (any, error) {
			return l.Forward(ctx, currentRequest)
		}, currentAnswer},
		{"User", request, answer, func(ctx context.Context, p *Peer, _ *HeartbeatStream) (any, error) {
			return p.ForwardUserRequest(ctx, currentRequest)
		}, currentAnswer},
		{"Recall", request, answer, func(ctx context.Context, p *Peer, _ *HeartbeatStream) (any, error) {
			return p.FetchRecoveredRecord(ctx, currentRequest)
		}, currentAnswer},
		{"Status", request, status, func(ctx context.Context, p *Peer, _ *HeartbeatStream) (any, error) {
			return p.Status(ctx, currentRequest)
		}, currentStatus},
		{"Overview", sentRequest{}, []byte("overview"), func(ctx context.Context, p *Peer, _ *HeartbeatStream) (any, error) { return p.Overview(ctx) }, []byte("overview")},
		{"Machines", sentRequest{}, []byte("machines"), func(ctx context.Context, p *Peer, _ *HeartbeatStream) (any, error) { return p.Machines(ctx) }, []byte("machines")},
	}
}

// recordingConn records the data written to and read from a connection.
type recordingConn struct {
	net.Conn
	mu            sync.Mutex
	written, read bytes.Buffer
}

func (c *recordingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.written.Write(b)
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *recordingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	c.read.Write(b[:n])
	c.mu.Unlock()
	return n, err
}

// connListener is a listener that accepts the connections sent to the channel conns.
type connListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *connListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *connListener) Addr() net.Addr { return &net.UnixAddr{Name: "conns"} }

// startServer runs this version's server for a test. The returned function opens a connection to it.
func startServer(t *testing.T, h Handler) func() net.Conn {
	t.Helper()
	l := &connListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- Serve(ctx, l, h, 100) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return func() net.Conn {
		a, b := net.Pipe()
		l.conns <- b
		return a
	}
}

// ask sends the request with this version's client over a connection.
func (x *exchange) ask(t *testing.T, c net.Conn) (any, error) {
	t.Helper()
	dial := func(context.Context, string, string) (net.Conn, error) { return c, nil }
	l := NewHeartbeatStream("n-1", "n-1:81", dial, 10)
	defer l.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return x.call(ctx, NewPeer("n-1", "n-1:81", dial), l)
}

// decode decodes a header and a body, compares the body with want and returns the header.
func decode[H any](t *testing.T, what string, d *gob.Decoder, want any) (h H) {
	t.Helper()
	if err := d.Decode(&h); err != nil {
		t.Fatalf("%s: header: %v", what, err)
	}
	body := reflect.New(reflect.TypeOf(want))
	if err := d.DecodeValue(body); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	if got := body.Elem().Interface(); !reflect.DeepEqual(got, want) {
		t.Errorf("%s: got\n %+v\nwant\n %+v", what, got, want)
	}
	return h
}

// During a rolling restart, controllers of two versions call each other. The recorded version
// must be able to read the requests and answers of this version, and the reverse. The test does not
// compare bytes, because gob's type numbers depend on the types that a process has sent before.
func TestControllersOfTwoVersionsInteroperate(t *testing.T) {
	f := golden.Open(t, "exchanges.golden")
	for _, x := range exchanges() {
		node := &recordingHandler{}
		dial := startServer(t, node)
		c := &recordingConn{Conn: dial()}
		if got, err := x.ask(t, c); err != nil || !reflect.DeepEqual(got, x.want) {
			t.Fatalf("%s among nodes of this version: got %+v, %v, want %+v", x.method, got, err, x.want)
		}
		c.Close()
		asked := node.asked
		c.mu.Lock()
		sent, got := c.written.Bytes(), c.read.Bytes()
		c.mu.Unlock()
		if h := decode[rpc.Request](t, x.method+": this version's request", gob.NewDecoder(bytes.NewReader(sent)), x.sends); h.ServiceMethod != "Mesh."+x.method {
			t.Errorf("%s: got the service method %q", x.method, h.ServiceMethod)
		}
		decode[rpc.Response](t, x.method+": this version's answer", gob.NewDecoder(bytes.NewReader(got)), x.gets)
		if golden.Updating() {
			f.Bytes(x.method+", request", sent)
			f.Bytes(x.method+", answer", got)
			continue
		}

		node.asked = nil
		raw := dial()
		if _, err := raw.Write(f.Recorded(x.method + ", request")); err != nil {
			t.Fatal(err)
		}
		if h := decode[rpc.Response](t, x.method+": answer to the recorded request", gob.NewDecoder(raw), x.gets); h.Error != "" {
			t.Errorf("%s: the recorded request is rejected: %s", x.method, h.Error)
		}
		raw.Close()
		if !reflect.DeepEqual(node.asked, asked) {
			t.Errorf("%s: the recorded request: got %v, want %v", x.method, node.asked, asked)
		}

		near, far := net.Pipe()
		recorded := f.Recorded(x.method + ", answer")
		go func() {
			// The request is checked above, so its content is ignored here.
			d := gob.NewDecoder(far)
			if d.Decode(&rpc.Request{}) == nil && d.Decode(&sentRequest{}) == nil {
				_, _ = far.Write(recorded) // the caller checks the answer
			}
		}()
		if got, err := x.ask(t, near); err != nil || !reflect.DeepEqual(got, x.want) {
			t.Errorf("%s: the recorded answer: got %+v, %v, want %+v", x.method, got, err, x.want)
		}
		near.Close()
	}
}
