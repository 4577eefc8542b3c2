package calendar

import (
	"fmt"
	"slices"
	"time"
)

// Record is what is committed of a region's nights: those under way and how the
// last ones came out. Times are Unix milliseconds.
type Record struct {
	Region   string    `msgpack:"r" json:"region"`
	AtMs     int64     `msgpack:"at" json:"at_ms"`
	Nights   []Held    `msgpack:"n" json:"nights"`
	Past     []Outcome `msgpack:"p" json:"past"`
	ClosedMs int64     `msgpack:"c" json:"closed_ms"` // the latest opening whose outcome stands in Past, or did
}

// Held is a night under way.
type Held struct {
	Date      string   `msgpack:"d" json:"date"`
	FromMs    int64    `msgpack:"f" json:"from_ms"`
	PromiseMs int64    `msgpack:"pm" json:"promise_ms"`
	OpeningMs int64    `msgpack:"o" json:"opening_ms"`
	Open      []string `msgpack:"j" json:"open"`   // jobs that are not whole, as far as there is room for them
	More      int      `msgpack:"m" json:"more"`   // and how many besides
	Done      int      `msgpack:"dn" json:"done"`  // jobs that are whole, and committed as that
	After     int      `msgpack:"da" json:"after"` // of those, after the opening
	LastMs    int64    `msgpack:"l" json:"last_ms"`
	Cancelled int      `msgpack:"x" json:"cancelled"`
	Lost      int      `msgpack:"u" json:"lost"`      // no record tells how they ended
	AtLeast   bool     `msgpack:"al" json:"at_least"` // a leader may have ended more than it could note
	Forecast  Expected `msgpack:"fc" json:"forecast"`
	Replans   []Replan `msgpack:"rp" json:"replans"` // the last of them
	Replanned int      `msgpack:"rn" json:"replanned"`
}

// Expected is a forecast as it was last made.
type Expected struct {
	AtMs     int64  `msgpack:"at" json:"at_ms"`
	FinishMs int64  `msgpack:"f" json:"finish_ms"` // 0: never, as things are
	LatestMs int64  `msgpack:"l" json:"latest_start_ms"`
	AtRisk   bool   `msgpack:"r" json:"at_risk"`
	Why      string `msgpack:"w" json:"why,omitempty"`
}

// Replan is a forecast that was made again, and why.
type Replan struct {
	AtMs     int64  `msgpack:"at" json:"at_ms"`
	Cause    string `msgpack:"c" json:"cause"`
	FinishMs int64  `msgpack:"f" json:"finish_ms"`
	AtRisk   bool   `msgpack:"r" json:"at_risk"`
	Machines int    `msgpack:"m" json:"machines"`
	Jobs     int    `msgpack:"j" json:"jobs"` // all of the night
}

// How a night came out.
const (
	Met        = "met"
	Late       = "late"       // whole before the opening, but after what was promised
	Incomplete = "incomplete" // at the opening, not all was whole
	Withdrawn  = "withdrawn"  // a plan was applied that has no such night
)

// Outcome is how a night came out. It is decided once.
type Outcome struct {
	Date      string `msgpack:"d" json:"date"`
	PromiseMs int64  `msgpack:"pm" json:"promise_ms"`
	OpeningMs int64  `msgpack:"o" json:"opening_ms"`
	How       string `msgpack:"h" json:"how"`
	LateMs    int64  `msgpack:"l" json:"late_ms"`
	Done      int    `msgpack:"dn" json:"done"` // by the opening
	All       int    `msgpack:"a" json:"all"`
	AtLeast   bool   `msgpack:"al" json:"at_least"`
	AtMs      int64  `msgpack:"at" json:"decided_ms"`
	By        uint64 `msgpack:"by" json:"by"` // the token of the leader that decided
}

// Bounds of a record: with all of them reached it takes about 8 KB, the ids of
// open jobs left out.
const (
	maxPast    = 20
	maxReplans = 8
	maxNights  = 4
)

// Book keeps a region's nights: what a leader knows of them beyond the record.
type Book struct {
	rec   Record
	open  map[string]map[string]bool // by date: jobs that are not whole, in the leader's model
	ask   map[string]string          // jobs that an earlier leader left open, and that are over since: their nights' dates
	token uint64

	settle time.Duration
	gen    uint64 // counts changes that are to be committed
}

// NewBook opens a region's book for the leader of a token. was is what earlier
// leaders left; settle is for how long after a moment something accepted before
// it may still come to be known.
func NewBook(region string, was Record, token uint64, settle time.Duration) *Book {
	was.Region, was.Nights, was.Past = region, slices.Clone(was.Nights), slices.Clone(was.Past)
	b := &Book{rec: was, open: map[string]map[string]bool{}, ask: map[string]string{}, token: token, settle: settle}
	for i := range b.rec.Nights {
		n := &b.rec.Nights[i]
		n.AtLeast = true
		b.open[n.Date] = map[string]bool{}
		for _, id := range n.Open {
			b.ask[id] = n.Date
		}
	}
	return b
}

// Gen grows with each change that is to be committed.
func (b *Book) Gen() uint64 { return b.gen }

// held finds the night of a date, or begins it. Nights that are decided, and those
// before them, are never begun again.
func (b *Book) held(n Night) *Held {
	if h := b.find(n.Date); h != nil {
		return h
	}
	if n.Opening.UnixMilli() <= b.rec.ClosedMs || len(b.rec.Nights) >= maxNights ||
		slices.ContainsFunc(b.rec.Past, func(o Outcome) bool { return o.Date == n.Date && o.How != Withdrawn }) {
		return nil
	}
	b.rec.Nights = append(b.rec.Nights, Held{Date: n.Date, FromMs: n.From.UnixMilli(), PromiseMs: n.Promise.UnixMilli(), OpeningMs: n.Opening.UnixMilli()})
	slices.SortFunc(b.rec.Nights, func(x, y Held) int { return int(min(1, max(-1, x.OpeningMs-y.OpeningMs))) })
	b.open[n.Date] = map[string]bool{}
	b.gen++
	return b.find(n.Date)
}

func (b *Book) find(date string) *Held {
	for i := range b.rec.Nights {
		if b.rec.Nights[i].Date == date {
			return &b.rec.Nights[i]
		}
	}
	return nil
}

// See takes in which jobs are not whole now, by their nights. Those that were
// there before, and have not ended by Ended, were cancelled, or belong elsewhere.
func (b *Book) See(jobs map[string]Night) {
	for id, n := range jobs {
		if b.held(n) == nil {
			continue
		}
		if open := b.open[n.Date]; !open[id] {
			open[id] = true
			b.gen++
		}
		delete(b.ask, id)
	}
	for i := range b.rec.Nights {
		n := &b.rec.Nights[i]
		for id := range b.open[n.Date] {
			now, still := jobs[id]
			if !still {
				n.Cancelled++
				b.gen++
			}
			if now.Date != n.Date {
				delete(b.open[n.Date], id)
			}
		}
	}
}

// Ended takes in that a job is whole, and that this is committed.
func (b *Book) Ended(id string, n Night, at time.Time) {
	h := b.held(n)
	if h == nil {
		return
	}
	delete(b.open[n.Date], id)
	delete(b.ask, id)
	b.ended(h, at.UnixMilli())
}

func (b *Book) ended(h *Held, atMs int64) {
	h.Done++
	h.LastMs = max(h.LastMs, atMs)
	if atMs > h.OpeningMs {
		h.After++
	}
	b.gen++
}

// Unknown lists jobs that an earlier leader left open and that are over since: who
// keeps the book must be told how they ended.
func (b *Book) Unknown() []string {
	out := make([]string, 0, len(b.ask))
	for id := range b.ask {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// How a job of which nothing was known has ended.
type End int

// Ends of jobs.
const (
	Whole End = iota
	Taken     // cancelled by its user
	Gone      // no record tells
)

// Told takes in how a job ended that was asked for: of one that is whole, to which
// night of the region it belongs, if it still does, and when it ended.
func (b *Book) Told(id string, how End, n Night, belongs bool, at time.Time) {
	h := b.find(b.ask[id])
	delete(b.ask, id)
	b.gen++
	switch {
	case how == Whole && belongs:
		b.Ended(id, n, at)
	case h == nil:
	case how == Taken:
		h.Cancelled++
	case how == Gone:
		h.Lost++
	}
}

// Replan brings the nights in line with a region's new openings. A night keeps
// its date where there is one, takes the one that its evening now leads to where
// not, and is withdrawn where there is neither. Which jobs belong to each is to be
// seen anew.
func (b *Book) Replan(r *Region, now time.Time) {
	was := b.rec.Nights
	b.rec.Nights, b.open = nil, map[string]map[string]bool{}
	b.gen += uint64(len(was))
	for i := range was {
		h := was[i]
		n, ok := Night{}, false
		if r != nil {
			if n, ok = r.On(h.Date); !ok {
				n, ok = r.Night(time.UnixMilli(h.FromMs))
			}
		}
		if !ok {
			b.close(&h, Withdrawn, 0, now)
			continue
		}
		for id, date := range b.ask {
			if date == h.Date {
				b.ask[id] = n.Date
			}
		}
		h.Date, h.FromMs, h.PromiseMs, h.OpeningMs = n.Date, n.From.UnixMilli(), n.Promise.UnixMilli(), n.Opening.UnixMilli()
		b.open[h.Date] = map[string]bool{}
		if into := b.find(h.Date); into != nil {
			into.Done, into.After, into.LastMs = into.Done+h.Done, into.After+h.After, max(into.LastMs, h.LastMs)
			into.Cancelled, into.Lost, into.AtLeast = into.Cancelled+h.Cancelled, into.Lost+h.Lost, into.AtLeast || h.AtLeast
			continue
		}
		b.rec.Nights = append(b.rec.Nights, h)
	}
}

// flipsApart is how far apart changes between at risk and not are recorded that
// nothing else has caused.
const flipsApart = time.Minute

// Expected takes a forecast of a night in. A cause says why it was made again, and
// is recorded with it; without one it only shows what is expected now.
func (b *Book) Expected(date string, f Forecast, cause string, machines int, now time.Time) {
	h := b.find(date)
	if h == nil {
		return
	}
	was := h.Forecast
	if b.left(h) == 0 {
		// Nothing of it is left, as far as it has come.
		f = Forecast{Finish: time.UnixMilli(h.LastMs), Latest: f.Latest}
	}
	h.Forecast = Expected{AtMs: now.UnixMilli(), FinishMs: ms(f.Finish), LatestMs: ms(f.Latest), AtRisk: f.AtRisk, Why: f.Why}
	if k := len(h.Replans); cause == "" && was.AtRisk != f.AtRisk && k > 0 && now.UnixMilli()-h.Replans[k-1].AtMs > flipsApart.Milliseconds() {
		cause = "goes faster than expected"
		if f.AtRisk {
			cause = "goes slower than expected"
		}
	}
	if cause == "" {
		return
	}
	h.Replanned++
	h.Replans = append(h.Replans, Replan{AtMs: now.UnixMilli(), Cause: cause, FinishMs: h.Forecast.FinishMs, AtRisk: f.AtRisk, Machines: machines, Jobs: b.all(h)})
	h.Replans = h.Replans[max(0, len(h.Replans)-maxReplans):]
	b.gen++
}

func ms(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// left is how many jobs of a night are not known to be over.
func (b *Book) left(h *Held) int {
	n := len(b.open[h.Date])
	for _, date := range b.ask {
		if date == h.Date {
			n++
		}
	}
	return n
}

func (b *Book) all(h *Held) int { return b.left(h) + h.Done + h.Lost }

// Close decides the nights whose time has come, and returns those decided. It waits
// for what it must be told first, and for what may still come to be known.
func (b *Book) Close(now time.Time) (out []Outcome) {
	keep := b.rec.Nights[:0]
	for i := range b.rec.Nights {
		h := b.rec.Nights[i]
		if how, late, ok := b.verdict(&h, now.Add(-b.settle).UnixMilli()); ok {
			out = append(out, b.close(&h, how, late, now))
			continue
		}
		keep = append(keep, h)
	}
	b.rec.Nights = keep
	if len(out) > 0 {
		b.gen++
	}
	return out
}

func (b *Book) verdict(h *Held, nowMs int64) (how string, late int64, ok bool) {
	if nowMs < h.PromiseMs {
		return "", 0, false
	}
	for _, date := range b.ask {
		if date == h.Date {
			return "", 0, false
		}
	}
	open := b.left(h) + h.Lost
	switch {
	case open == 0 && h.LastMs <= h.PromiseMs:
		return Met, 0, true
	case open == 0 && h.LastMs <= h.OpeningMs:
		return Late, h.LastMs - h.PromiseMs, true
	case open > 0 && nowMs < h.OpeningMs:
		return "", 0, false
	}
	return Incomplete, 0, true
}

// close takes a night off the book. One to which nothing belonged leaves no trace.
func (b *Book) close(h *Held, how string, late int64, now time.Time) Outcome {
	o := Outcome{Date: h.Date, PromiseMs: h.PromiseMs, OpeningMs: h.OpeningMs, How: how, LateMs: late,
		Done: h.Done - h.After, All: b.all(h), AtLeast: h.AtLeast, AtMs: now.UnixMilli(), By: b.token}
	delete(b.open, h.Date)
	if how != Withdrawn {
		b.rec.ClosedMs = max(b.rec.ClosedMs, h.OpeningMs)
	}
	if o.All > 0 {
		b.rec.Past = append(b.rec.Past, o)
		b.rec.Past = b.rec.Past[max(0, len(b.rec.Past)-maxPast):]
	}
	return o
}

// Record is the book as it is to be committed, a copy. The ids of open jobs take
// at most so many bytes.
func (b *Book) Record(now time.Time, most int) Record {
	rec := b.rec
	rec.AtMs = now.UnixMilli()
	rec.Nights, rec.Past = slices.Clone(rec.Nights), slices.Clone(rec.Past)
	for i := range rec.Nights {
		n := &rec.Nights[i]
		n.Replans = slices.Clone(n.Replans)
		var ids []string
		for id := range b.open[n.Date] {
			ids = append(ids, id)
		}
		for id, date := range b.ask {
			if date == n.Date {
				ids = append(ids, id)
			}
		}
		slices.Sort(ids)
		fit := 0
		for fit < len(ids) && len(ids[fit])+3 <= most {
			most -= len(ids[fit]) + 3
			fit++
		}
		n.Open, n.More = ids[:fit], len(ids)-fit
	}
	return rec
}

// All is how many jobs belong to the night, those cancelled left out.
func (h *Held) All() int { return len(h.Open) + h.More + h.Done + h.Lost }

// String says in a few words how a night came out.
func (o *Outcome) String() string {
	least := ""
	if o.AtLeast {
		least = "at least "
	}
	s := fmt.Sprintf("%s %s, %s%d of %d done", o.Date, o.How, least, o.Done, o.All)
	if o.How == Late {
		s += fmt.Sprintf(", %v late", (time.Duration(o.LateMs) * time.Millisecond).Round(time.Second))
	}
	return s
}

// UnderWay says whether a night is not decided yet.
func (b *Book) UnderWay() bool { return len(b.rec.Nights) > 0 }

// Promised lists the nights that are not decided yet.
func (b *Book) Promised() []Night {
	var out []Night
	for i := range b.rec.Nights {
		h := &b.rec.Nights[i]
		out = append(out, Night{Date: h.Date, From: time.UnixMilli(h.FromMs), Promise: time.UnixMilli(h.PromiseMs), Opening: time.UnixMilli(h.OpeningMs)})
	}
	return out
}

// Count is how many jobs are known of a night, those cancelled left out, and how
// many of them are not known to be over.
func (b *Book) Count(date string) (all, left int) {
	h := b.find(date)
	if h == nil {
		return 0, 0
	}
	return b.all(h), b.left(h)
}
