package admission

import (
	"net"
	"testing"

	"github.com/umberdeal/umberdeal/internal/memnet"
)

// Connections beyond the limit must be closed at once. The counts by kind must stay right in
// whatever order kinds are set and connections are closed, also when a connection is closed twice.
func TestConnLimiterCountsByKindAndClosesExcess(t *testing.T) {
	listener := memnet.Listen(20)
	limiter := NewConnLimiter(listener, 8)
	var clientConns []net.Conn
	for range 10 {
		client, err := listener.Dial(t.Context(), "", "")
		if err != nil {
			t.Fatal(err)
		}
		clientConns = append(clientConns, client)
	}
	listener.End()
	var accepted []*Conn
	for {
		c, err := limiter.Accept()
		if err != nil {
			break
		}
		accepted = append(accepted, c.(*Conn))
	}
	if len(accepted) != 8 || limiter.Total() != 8 || limiter.Rejected() != 2 {
		t.Fatalf("%d accepted, %d open, %d rejected; want 8, 8, 2", len(accepted), limiter.Total(), limiter.Rejected())
	}
	if _, err := clientConns[9].Read(make([]byte, 1)); err == nil {
		t.Error("the tenth connection was not closed")
	}
	for i, c := range accepted {
		c.SetKind(Kind(1 + i%2))
	}
	if limiter.Count(KindUser) != 4 || limiter.Count(KindWorker) != 4 || limiter.Count(KindUnknown) != 0 {
		t.Errorf("%d users, %d workers, %d unknown; want 4, 4, 0", limiter.Count(KindUser), limiter.Count(KindWorker), limiter.Count(KindUnknown))
	}
	for _, c := range accepted {
		_ = c.Close()
		_ = c.Close()
		c.SetKind(KindUser) // as by a request that was still in progress
	}
	if limiter.Total() != 0 || limiter.Count(KindUser) != 0 || limiter.Count(KindWorker) != 0 {
		t.Errorf("%d connections counted after all were closed: %d users, %d workers", limiter.Total(), limiter.Count(KindUser), limiter.Count(KindWorker))
	}
}
