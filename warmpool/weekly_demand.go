package warmpool

import (
	"encoding/base64"
	"fmt"
	"math"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

// hoursPerWeek are counted from Monday 0 o'clock UTC: bursts that follow a clock
// that is put forward move by an hour once, and are learnt anew in two weeks.
const hoursPerWeek = 7 * 24

const (
	relativeAccuracy = 0.001 // of a peak
	weeklyDecay      = 0.75  // of what is known of an hour is kept with each week
	minWeight        = 0.02  // what counts for less than that of a week is dropped: 14 weeks are kept
)

// WeeklyDemand is what a model's peaks have been, by hour of the week: for each hour a
// sketch of how many replicas were wanted at once. It is bounded whatever comes.
type WeeklyDemand struct {
	sketches    [hoursPerWeek]*ddsketch.DDSketch
	currentHour int64 // hours since 1970 of the hour that is not over, 0: none
	currentPeak int   // of it, so far
}

func newSketch() *ddsketch.DDSketch {
	m, err := mapping.NewLogarithmicMapping(relativeAccuracy)
	if err != nil {
		panic(err) // the error is a constant
	}
	return ddsketch.NewDDSketch(m, store.NewSparseStore(), store.NewSparseStore())
}

// HourOfWeek is the hour of the week that a time lies in.
func HourOfWeek(t time.Time) int {
	t = t.UTC()
	return (int(t.Weekday())+6)%7*24 + t.Hour()
}

func hoursSinceEpoch(t time.Time) int64 { return t.Unix() / 3600 }

// Observe takes in how many replicas are wanted now. It returns the days of the week,
// Monday being 0, whose records have changed: those of hours that are over.
func (w *WeeklyDemand) Observe(n int, now time.Time) (changed []int) {
	h := hoursSinceEpoch(now)
	if w.currentHour == 0 || h < w.currentHour { // the first, or a clock that is behind
		if w.currentHour == 0 {
			w.currentHour, w.currentPeak = h, n
		}
		w.currentPeak = max(w.currentPeak, n)
		return nil
	}
	// Hours in which nobody led are unknown, not empty: only the one that was
	// watched is taken down.
	if h > w.currentHour {
		slot := HourOfWeek(time.Unix(w.currentHour*3600, 0))
		w.addPeak(slot, w.currentPeak)
		changed = append(changed, slot/24)
		w.currentHour, w.currentPeak = h, 0
	}
	w.currentPeak = max(w.currentPeak, n)
	return changed
}

// Current is the hour that is not over, in hours since 1970, and its peak so far.
func (w *WeeklyDemand) Current() (hour int64, peak int) { return w.currentHour, w.currentPeak }

// Resume takes in what an earlier leader saw of an hour. Whether it is over is
// found with the next Want.
func (w *WeeklyDemand) Resume(hour int64, peak int) {
	if hour > w.currentHour {
		w.currentHour, w.currentPeak = hour, peak
	} else if hour == w.currentHour {
		w.currentPeak = max(w.currentPeak, peak)
	}
}

func (w *WeeklyDemand) addPeak(slot, peak int) {
	s := newSketch()
	if old := w.sketches[slot]; old != nil {
		old.ForEach(func(v, count float64) bool {
			if count *= weeklyDecay; count >= minWeight {
				_ = s.AddWithCount(v, count) // fails for values that no peak has
			}
			return false
		})
	}
	_ = s.Add(float64(peak))
	w.sketches[slot] = s
}

// Quantile is the most that a share q of the peaks has needed in any of the hours
// from now until lead is over; what this hour has already needed counts too.
func (w *WeeklyDemand) Quantile(now time.Time, lead time.Duration, q float64) int {
	most := 0
	if hoursSinceEpoch(now) == w.currentHour {
		most = w.currentPeak
	}
	// This hour may yet bring what it brings every week.
	for h := hoursSinceEpoch(now); h <= hoursSinceEpoch(now.Add(lead)); h++ {
		s := w.sketches[HourOfWeek(time.Unix(h*3600, 0))]
		if s == nil || s.IsEmpty() {
			continue
		}
		if v, err := s.GetValueAtQuantile(q); err == nil {
			most = max(most, int(math.Round(v)))
		}
	}
	return most
}

// EncodeDay writes what is known of a day's hours as text, for a record; an hour of
// which nothing is known is empty.
func (w *WeeklyDemand) EncodeDay(day int) []string {
	out := make([]string, 24)
	for i := range out {
		if s := w.sketches[day*24+i]; s != nil && !s.IsEmpty() {
			var b []byte
			s.Encode(&b, true)
			out[i] = base64.RawStdEncoding.EncodeToString(b)
		}
	}
	return out
}

// LoadDay takes in what Day wrote. An hour that can't be read is left out and
// named.
func (w *WeeklyDemand) LoadDay(day int, text []string) error {
	if day < 0 || day > 6 {
		return fmt.Errorf("pools: there is no day %d", day)
	}
	var first error
	for i := 0; i < len(text) && i < 24; i++ {
		if text[i] == "" {
			continue
		}
		s, err := decodeSketch(text[i])
		if err != nil {
			if first == nil {
				first = fmt.Errorf("pools: hour %d of day %d: %w", i, day, err)
			}
			continue
		}
		w.sketches[day*24+i] = s
	}
	return first
}

func decodeSketch(text string) (*ddsketch.DDSketch, error) {
	b, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return nil, err
	}
	s := newSketch()
	if err := s.DecodeAndMergeWith(b); err != nil {
		return nil, err
	}
	return s, nil
}
