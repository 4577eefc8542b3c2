package metrics

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"
)

// Trouble is a line of the log that an operator would want to see again.
type Trouble struct {
	At   time.Time `json:"at"`
	Text string    `json:"text"`
}

// troubleMessages are the messages that count; errors always do.
var troubleMessages = []string{
	"process stalled", "machine lease expired", "no heartbeats reach this leader, resigning",
	"key-value store unreachable, retrying", "key-value store reachable again", "leader unresponsive",
	"leader responsive again", "leadership ended", "elected", "job fails everywhere", "machine suspected",
	"machine types not loaded, retrying", "machine late", "scale in failed, retrying", "lease valid again",
	"records not loaded, retrying", "watch fell behind, resigning",
}

const troublesKept = 64

// Troubles is a log handler that passes everything on and keeps the last
// troubles.
type Troubles struct {
	slog.Handler
	kept  *kept
	attrs []slog.Attr
}

type kept struct {
	mu   sync.Mutex
	last []Trouble
}

// NewTroubles wraps a handler.
func NewTroubles(h slog.Handler) *Troubles { return &Troubles{Handler: h, kept: &kept{}} }

// Enabled keeps info lines coming where the log itself shows errors only.
func (t *Troubles) Enabled(ctx context.Context, l slog.Level) bool {
	return l >= slog.LevelInfo || t.Handler.Enabled(ctx, l)
}

// Handle implements slog.Handler.
func (t *Troubles) Handle(ctx context.Context, r slog.Record) error {
	if r.Level >= slog.LevelError || slices.Contains(troubleMessages, r.Message) {
		var b strings.Builder
		b.WriteString(r.Message)
		say := func(a slog.Attr) bool {
			b.WriteString(" " + a.Key + "=" + a.Value.String())
			return true
		}
		for _, a := range t.attrs {
			say(a)
		}
		r.Attrs(say)
		t.kept.mu.Lock()
		t.kept.last = append(t.kept.last, Trouble{At: r.Time, Text: b.String()})
		if n := len(t.kept.last); n > troublesKept {
			t.kept.last = slices.Clone(t.kept.last[n-troublesKept:])
		}
		t.kept.mu.Unlock()
	}
	if !t.Handler.Enabled(ctx, r.Level) {
		return nil
	}
	return t.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (t *Troubles) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Troubles{Handler: t.Handler.WithAttrs(attrs), kept: t.kept, attrs: append(slices.Clone(t.attrs), attrs...)}
}

// WithGroup implements slog.Handler.
func (t *Troubles) WithGroup(name string) slog.Handler {
	return &Troubles{Handler: t.Handler.WithGroup(name), kept: t.kept, attrs: t.attrs}
}

// Last is what was kept, oldest first.
func (t *Troubles) Last() []Trouble {
	if t == nil {
		return nil
	}
	t.kept.mu.Lock()
	defer t.kept.mu.Unlock()
	return slices.Clone(t.kept.last)
}
