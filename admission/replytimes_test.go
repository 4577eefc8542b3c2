package admission

import (
	"testing"
	"time"
)

// What is remembered of workers is bounded, and what goes is the oldest.
func TestReplyTimesEvictOldest(t *testing.T) {
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
