// Demand statistics of a warm pool by hour of the week.

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

// hoursPerWeek is the number of hours of the week, which are counted from Monday 00:00 UTC. Bursts
// that follow local time move by one hour when daylight saving time changes. The new hour is
// learned within two weeks.
const hoursPerWeek = 7 * 24

const (
	relativeAccuracy = 0.001 // accuracy of a peak in a sketch
	weeklyDecay      = 0.75  // factor by which the weight of past peaks shrinks each week
	minWeight        = 0.02  // peaks of less weight are dropped, which keeps 14 weeks
)

// WeeklyDemand records a model's past peaks by hour of the week. For each hour it holds a sketch
// of the highest number of replicas wanted at once. Its size is bounded. The zero value is empty
// and ready to use.
type WeeklyDemand struct {
	sketches    [hoursPerWeek]*ddsketch.DDSketch
	currentHour int64 // the hour being observed, in hours since 1970; 0: none
	currentPeak int   // peak of currentHour so far
}

func newSketch() *ddsketch.DDSketch {
	indexMapping, err := mapping.NewLogarithmicMapping(relativeAccuracy)
	if err != nil {
		panic(err) // depends only on the constant relativeAccuracy
	}
	return ddsketch.NewDDSketch(indexMapping, store.NewSparseStore(), store.NewSparseStore())
}

// HourOfWeek returns the hour of the week of a time in UTC, from 0 (Monday 00:00) to 167.
func HourOfWeek(t time.Time) int {
	t = t.UTC()
	return (int(t.Weekday())+6)%7*24 + t.Hour()
}

// hoursSinceEpoch returns the number of full hours from 1970 to t.
func hoursSinceEpoch(t time.Time) int64 { return t.Unix() / 3600 }

// Observe records the number of replicas wanted now. When an hour has ended, its peak is added to
// the statistics. Observe returns the days of the week (0 is Monday) whose encoding has changed by
// that.
func (w *WeeklyDemand) Observe(replicas int, now time.Time) (changedDays []int) {
	hour := hoursSinceEpoch(now)
	if w.currentHour == 0 || hour < w.currentHour { // the first observation, or a clock that is behind
		if w.currentHour == 0 {
			w.currentHour, w.currentPeak = hour, replicas
		}
		w.currentPeak = max(w.currentPeak, replicas)
		return nil
	}
	// Hours without a leader count as unknown rather than as hours without demand. So only the
	// observed hour is added.
	if hour > w.currentHour {
		hourOfWeek := HourOfWeek(time.Unix(w.currentHour*3600, 0))
		w.addPeak(hourOfWeek, w.currentPeak)
		changedDays = append(changedDays, hourOfWeek/24)
		w.currentHour, w.currentPeak = hour, 0
	}
	w.currentPeak = max(w.currentPeak, replicas)
	return changedDays
}

// Current returns the hour being observed, in hours since 1970, and its peak so far. The hour is 0
// before the first observation.
func (w *WeeklyDemand) Current() (hour int64, peak int) { return w.currentHour, w.currentPeak }

// Resume restores the hour that an earlier leader was observing, and its peak. An hour before the
// current one is ignored. If the hour has ended since, the next Observe adds its peak.
func (w *WeeklyDemand) Resume(hour int64, peak int) {
	if hour > w.currentHour {
		w.currentHour, w.currentPeak = hour, peak
	} else if hour == w.currentHour {
		w.currentPeak = max(w.currentPeak, peak)
	}
}

// addPeak adds a peak to the sketch of an hour of the week. It reduces the weight of the earlier
// peaks and drops those below minWeight.
func (w *WeeklyDemand) addPeak(hourOfWeek, peak int) {
	sketch := newSketch()
	if previous := w.sketches[hourOfWeek]; previous != nil {
		previous.ForEach(func(value, count float64) bool {
			if count *= weeklyDecay; count >= minWeight {
				_ = sketch.AddWithCount(value, count) // fails only for values that no peak has
			}
			return false
		})
	}
	_ = sketch.Add(float64(peak))
	w.sketches[hourOfWeek] = sketch
}

// Quantile returns the number of replicas that covers the share q (0 to 1) of the past peaks in
// each hour of the week from now until the end of lead. It is at least the current hour's peak so
// far. Without data it is 0.
func (w *WeeklyDemand) Quantile(now time.Time, lead time.Duration, q float64) int {
	highest := 0
	if hoursSinceEpoch(now) == w.currentHour {
		highest = w.currentPeak
	}
	// The current hour is included, because its usual peak may still come.
	for hour := hoursSinceEpoch(now); hour <= hoursSinceEpoch(now.Add(lead)); hour++ {
		sketch := w.sketches[HourOfWeek(time.Unix(hour*3600, 0))]
		if sketch == nil || sketch.IsEmpty() {
			continue
		}
		if value, err := sketch.GetValueAtQuantile(q); err == nil {
			highest = max(highest, int(math.Round(value)))
		}
	}
	return highest
}

// EncodeDay returns the sketches of the 24 hours of a day of the week (0 is Monday) as texts for a
// record. The text of an hour without data is empty.
func (w *WeeklyDemand) EncodeDay(day int) []string {
	texts := make([]string, 24)
	for i := range texts {
		if sketch := w.sketches[day*24+i]; sketch != nil && !sketch.IsEmpty() {
			var encoded []byte
			sketch.Encode(&encoded, true)
			texts[i] = base64.RawStdEncoding.EncodeToString(encoded)
		}
	}
	return texts
}

// LoadDay restores the texts that EncodeDay returned for a day of the week (0 is Monday). Hours
// that can't be decoded are skipped. The error is that of the first such hour.
func (w *WeeklyDemand) LoadDay(day int, texts []string) error {
	if day < 0 || day > 6 {
		return fmt.Errorf("pools: invalid day of the week %d", day)
	}
	var firstErr error
	for i := 0; i < len(texts) && i < 24; i++ {
		if texts[i] == "" {
			continue
		}
		sketch, err := decodeSketch(texts[i])
		if err != nil {
			if firstErr == nil {
				firstErr = fmt.Errorf("pools: decode hour %d of day %d: %w", i, day, err)
			}
			continue
		}
		w.sketches[day*24+i] = sketch
	}
	return firstErr
}

func decodeSketch(text string) (*ddsketch.DDSketch, error) {
	encoded, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return nil, err
	}
	sketch := newSketch()
	if err := sketch.DecodeAndMergeWith(encoded); err != nil {
		return nil, err
	}
	return sketch, nil
}
