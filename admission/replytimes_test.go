package admission

import (
	"testing"
	"time"
)

// The number of recorded workers must stay bounded. Evictions remove the oldest entries and never
// the most recent one.
func TestReplyTimesEvictOldest(t *testing.T) {
	times := NewReplyTimes(100)
	start := time.Unix(1000, 0)
	for i := range 1000 {
		times.Record(string(rune('a'+i%26))+string(rune('0'+i/26)), start.Add(time.Duration(i)*time.Second))
	}
	now := start.Add(1000 * time.Second)
	if n := times.CountWithin(now, time.Hour); n > 100 || n < 30 {
		t.Errorf("%d workers are recorded, want 30 to 100", n)
	}
	if ago, ok := times.Since(string(rune('a'+999%26))+string(rune('0'+999/26)), now); !ok || ago != time.Second {
		t.Errorf("last worker: answered %v ago, known %v; want 1s, true", ago, ok)
	}
}
