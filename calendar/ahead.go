package calendar

import (
	"math"
	"slices"
	"time"
)

// This file says how many places the nights lack, and until when more must be
// ordered.

// Want is places, each room for the loads' usual task, that the nights lack.
type Want struct {
	Places int       // 0: they lack none, or more would not help
	By     time.Time // when so many must be ordered at the latest; after that, more are wanted
}

const (
	coarsePlaces = 256  // of more, several are followed as one
	coarseStep   = 1.25 // tasks that take as long within this are taken for alike
	nearlyBest   = 0.05 // of what places can gain at all is let go for fewer of them
)

// Ahead says how many places more keep the nights, if each is there boot seconds
// after it is ordered; free is when each of the present ones can be had, in seconds
// from now. At most so many are asked for. Of what can't be in time at all, it wants
// what makes it the least late.
func Ahead(now time.Time, loads []Load, free []float64, boot float64, most int) Want {
	for {
		a := coarse(now, loads, free, boot, most)
		w := a.want(now)
		if a.each == 1 || w.Places == 0 || 4*w.Places > most {
			return w
		}
		most = 2 * w.Places // looked at more closely
	}
}

func (a *aheads) want(now time.Time) Want {
	without := a.late(0, 0)
	if without == 0 || a.most == 0 {
		return Want{}
	}
	best := a.late(a.most, 0)
	if best >= without {
		return Want{}
	}
	if best > 0 {
		best += nearlyBest * min(without-best, 20*best)
	}
	low, high := 0, a.most // lacking, enough
	for high-low > 1 {
		if k := (low + high) / 2; a.late(k, 0) <= best {
			high = k
		} else {
			low = k
		}
	}
	w := Want{Places: high * a.each, By: now}
	if best > 0 {
		return w // it is late as it is
	}
	in, late := 0.0, a.last
	for late-in > 1 {
		if d := (in + late) / 2; a.late(high, d) == 0 {
			in = d
		} else {
			late = d
		}
	}
	w.By = now.Add(seconds(in))
	return w
}

// aheads is nights' loads made small enough to be played a few dozen times: each
// place stands for so many.
type aheads struct {
	loads []coarseLoad // by what is promised
	free  places
	boot  float64
	each  int
	most  int     // places more, of that size
	last  float64 // until the last promise
}

type coarseLoad struct {
	due     float64 // seconds from now
	running float64
	batches []Batch
}

func coarse(now time.Time, loads []Load, free []float64, boot float64, most int) *aheads {
	a := &aheads{boot: boot}
	tasks := 0.0
	for i := range loads {
		for _, b := range loads[i].Batches {
			if !b.Vain {
				tasks += float64(b.Tasks) * max(1, math.Ceil(b.Wide-0.01))
			}
		}
	}
	most = min(most, int(min(tasks, math.MaxInt32)))
	a.each = (len(free)+most)/coarsePlaces + 1
	a.most = (most + a.each - 1) / a.each
	sorted := slices.Clone(free)
	slices.Sort(sorted)
	for i := a.each - 1; i < len(sorted); i += a.each {
		a.free = append(a.free, sorted[i])
	}
	for i := range loads {
		l := coarseLoad{due: loads[i].Promise.Sub(now).Seconds(), running: loads[i].Running, batches: a.alike(loads[i].Batches)}
		a.last = max(a.last, l.due)
		a.loads = append(a.loads, l)
	}
	slices.SortStableFunc(a.loads, func(x, y coarseLoad) int { return int(min(1, max(-1, x.due-y.due))) })
	return a
}

// alike puts batches together that take about as long.
func (a *aheads) alike(batches []Batch) []Batch {
	type key struct{ wide, step int }
	sums := map[key]*Batch{}
	var keys []key
	for _, b := range batches {
		if b.Vain || b.Tasks == 0 {
			continue
		}
		k := key{int(math.Ceil(b.Wide - 0.01)), int(math.Log(max(b.Seconds, 1)) / math.Log(coarseStep))}
		s := sums[k]
		if s == nil {
			s = &Batch{}
			sums[k], keys = s, append(keys, k)
		}
		n, m := float64(s.Tasks), float64(b.Tasks)
		s.Seconds, s.Wide = (s.Seconds*n+b.Seconds*m)/(n+m), (s.Wide*n+b.Wide*m)/(n+m)
		s.Tasks += b.Tasks
	}
	out := make([]Batch, 0, len(keys))
	for _, k := range keys {
		b := *sums[k]
		if wide := math.Ceil(b.Wide - 0.01); wide > 1 && a.each > 1 {
			// A few of the places that stand for several have room for it.
			b.Tasks, b.Wide = int(math.Ceil(float64(b.Tasks)*wide/float64(a.each))), 1
		} else {
			b.Tasks = (b.Tasks + a.each - 1) / a.each
		}
		out = append(out, b)
	}
	return out
}

// late is by how many seconds the nights are late in all that can't be risked, with
// so many places more that are ordered after a delay.
func (a *aheads) late(more int, delay float64) float64 {
	p := make(places, 0, len(a.free)+more)
	p = append(p, a.free...)
	for range more {
		p = append(p, a.boot+delay)
	}
	slices.Sort(p)
	sum := 0.0
	for i := range a.loads {
		l := &a.loads[i]
		if len(p) == 0 && len(l.batches) > 0 {
			return math.Inf(1)
		}
		sum += max(0, max(l.running, p.serve(l.batches))*(1+riskShare)-l.due)
	}
	return sum
}
