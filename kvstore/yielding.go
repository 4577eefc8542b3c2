package kvstore

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	yieldTo    = 0.5                    // of the rate is kept after a refusal
	yieldPause = 250 * time.Millisecond // between two cuts: refusals come in volleys
	climbFor   = 30 * time.Second       // from nothing to the most
)

// yielding is a limit that gives way to the other nodes. With fixed limits that
// are more than the service takes in all, a few hundred users' polls kept it
// refusing nearly everything, the leader's renewals included, for good: what is
// refused is asked again at once.
type yielding struct {
	most, least float64

	mu  sync.Mutex
	lim *rate.Limiter
	per float64
	at  time.Time // of the last cut or climb
	cut time.Time
}

func newYielding(most, least float64) *yielding {
	return &yielding{most: most, least: min(most, least), per: most, at: time.Now(),
		lim: rate.NewLimiter(rate.Limit(most), max(1, int(most)))}
}

// now is the rate of this moment.
func (y *yielding) now() float64 {
	y.mu.Lock()
	defer y.mu.Unlock()
	at := time.Now()
	if up := min(at.Sub(y.at), time.Second); up > 100*time.Millisecond {
		y.set(y.per+y.most*float64(up)/float64(climbFor), at)
	}
	return y.per
}

// set changes the rate; what may come at once shrinks along, so that a node
// that was quiet for long does not join a crowd with a volley.
func (y *yielding) set(per float64, at time.Time) {
	y.per, y.at = max(y.least, min(y.most, per)), at
	y.lim.SetLimitAt(at, rate.Limit(y.per))
	y.lim.SetBurstAt(at, max(4, int(y.per)))
}

func (y *yielding) busy() {
	y.mu.Lock()
	defer y.mu.Unlock()
	if at := time.Now(); at.Sub(y.cut) > yieldPause {
		y.cut = at
		y.set(y.per*yieldTo, at)
	}
}

// WaitN waits for n of what the rate allows.
func (y *yielding) WaitN(ctx context.Context, n int) error {
	y.now()
	return y.lim.WaitN(ctx, n)
}

// spare says whether n can be had without waiting.
func (y *yielding) spare(n int) bool {
	y.now()
	return y.lim.Tokens() >= float64(n)
}
