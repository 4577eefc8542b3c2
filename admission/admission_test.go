package admission

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umberdeal/umberdeal/internal/memnet"
)

// Half a fleet comes back in one second: whose lease is nearest its end goes
// first, and where too many wait, whoever has most time is turned away.
func TestTheGateLetsTheMostUrgentThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewPriorityLimiter(1, 3)
		if err := g.Acquire(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
		var mu sync.Mutex
		var order []float64
		refused := 0
		for _, left := range []float64{20, 3, 11, 7, 25} {
			go func() {
				err := g.Acquire(t.Context(), left)
				mu.Lock()
				defer mu.Unlock()
				if errors.Is(err, ErrQueueFull) {
					refused++
					return
				}
				order = append(order, left)
				g.Release()
			}()
			synctest.Wait()
		}
		if g.Waiting() != 3 || g.Rejected() != 2 || refused != 2 {
			t.Errorf("%d wait, %d were shed", g.Waiting(), g.Rejected())
		}
		g.Release()
		synctest.Wait()
		if len(order) != 3 || order[0] != 3 || order[1] != 7 || order[2] != 11 {
			t.Errorf("let through in the order %v", order)
		}
	})
}

// A worker that gives up leaves no hole in the queue, and a place that is given
// to it at that very moment goes on to the next.
func TestWhoGivesUpTakesNoPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewPriorityLimiter(2, 100)
		for i := range 200 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+i%7)*time.Millisecond)
			defer cancel()
			go func() {
				if g.Acquire(ctx, float64(i%13)) == nil {
					time.Sleep(time.Duration(1+i%3) * time.Millisecond)
					g.Release()
				}
			}()
		}
		time.Sleep(time.Second)
		if g.Waiting() != 0 || g.available != 2 {
			t.Errorf("%d wait, %d of 2 places are free", g.Waiting(), g.available)
		}
	})
}

// Beyond its limit a door closes what comes, and it counts whose connections
// are open whatever order they are told apart and closed in.
func TestTheDoorCountsAndCloses(t *testing.T) {
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

// What is remembered of workers is bounded, and what goes is the oldest.
func TestAnsweredForgetsTheOldest(t *testing.T) {
	a := NewReplyTimes(100)
	at := time.Unix(1000, 0)
	for i := range 1000 {
		a.Record(string(rune('a'+i%26))+string(rune('0'+i/26)), at.Add(time.Duration(i)*time.Second))
	}
	now := at.Add(1000 * time.Second)
	if n := a.CountWithin(now, time.Hour); n > 100 || n < 30 {
		t.Errorf("%d are remembered, of at most 100", n)
	}
	if ago, ok := a.Since(string(rune('a'+999%26))+string(rune('0'+999/26)), now); !ok || ago != time.Second {
		t.Errorf("the last was answered %v ago, known %v", ago, ok)
	}
}
