package fake

import (
	"math/rand/v2"
	"net/http"
	"time"
)

// lagging is what becomes of transactions whose answers are lost. The state's lock
// guards it.
type lagging struct {
	late, lost float64 // shares
	rnd        *rand.Rand
	unanswered int // so many were not answered
	carriedOut int // and so many of them have been gone through by now
}

// draw says whether a transaction with so many changes is left without an answer, and
// how long after its request it is carried out.
func (l *lagging) draw(changes int) (by time.Duration, unanswered bool) {
	if changes == 0 || l.late+l.lost == 0 {
		return 0, false
	}
	x := l.rnd.Float64()
	switch {
	case x < l.late:
		by = 2*time.Second + time.Duration(l.rnd.Int64N(int64(10*time.Second)))
	case x >= l.late+l.lost:
		return 0, false
	}
	l.unanswered++
	return by, true
}

// unheard is an answer that nobody gets.
type unheard struct{ http.ResponseWriter }

func (unheard) Write(b []byte) (int, error) { return len(b), nil }
func (unheard) WriteHeader(int)             {}

// LoseAnswers leaves shares of the transactions that change something without an
// answer: those late are carried out 2 s to 12 s later, after newer ones of the same
// node, and the others at once, so that all but their sender know of them. Zeros end it.
func (s *State) LoseAnswers(late, atOnce float64, seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lagging.late, s.lagging.lost = late, atOnce
	s.lagging.rnd = rand.New(rand.NewPCG(seed, 17))
}

// Unanswered is how many transactions were left without an answer, and how many of
// them have been gone through by now.
func (s *State) Unanswered() (sent, carriedOut int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lagging.unanswered, s.lagging.carriedOut
}
