package admission

import (
	"net"
	"testing"

	"github.com/umberdeal/umberdeal/internal/memnet"
)

// Beyond its limit the limiter closes what comes, and it counts whose connections
// are open whatever order they are told apart and closed in.
func TestConnLimiterCountsByKindAndClosesExcess(t *testing.T) {
	p := memnet.Listen(20)
	d := NewConnLimiter(p, 8)
	var far []net.Conn
	for range 10 {
		a, err := p.Dial(t.Context(), "", "")
		if err != nil {
			t.Fatal(err)
		}
		far = append(far, a)
	}
	p.End()
	var got []*Conn
	for {
		c, err := d.Accept()
		if err != nil {
			break
		}
		got = append(got, c.(*Conn))
	}
	if len(got) != 8 || d.Total() != 8 || d.Rejected() != 2 {
		t.Fatalf("%d accepted, %d open, %d closed", len(got), d.Total(), d.Rejected())
	}
	if _, err := far[9].Read(make([]byte, 1)); err == nil {
		t.Error("the tenth was not closed")
	}
	for i, c := range got {
		c.SetKind(Kind(1 + i%2))
	}
	if d.Count(KindUser) != 4 || d.Count(KindWorker) != 4 || d.Count(KindUnknown) != 0 {
		t.Errorf("%d users, %d workers, %d unknown", d.Count(KindUser), d.Count(KindWorker), d.Count(KindUnknown))
	}
	for _, c := range got {
		_ = c.Close()
		_ = c.Close()
		c.SetKind(KindUser) // a request that was under way
	}
	if d.Total() != 0 || d.Count(KindUser) != 0 || d.Count(KindWorker) != 0 {
		t.Errorf("%d open after all were closed: %d users, %d workers", d.Total(), d.Count(KindUser), d.Count(KindWorker))
	}
}
