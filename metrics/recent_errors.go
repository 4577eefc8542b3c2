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
type RecentError struct {
	At   time.Time `json:"at"`
	Text string    `json:"text"`
}

// troubleMessages are the messages that count; errors always do.
var notableMessages = []string{
	"process stalled", "machine lease expired", "no heartbeats reach this leader, resigning",
	"key-value store unreachable, retrying", "key-value store reachable again", "leader unresponsive",
	"leader responsive again", "leadership ended", "elected", "job fails everywhere", "machine suspected",
	"machine types not loaded, retrying", "machine late", "scale in failed, retrying", "lease valid again",
	"records not loaded, retrying", "watch fell behind, resigning",
}

const maxRecentErrors = 64

// Troubles is a log handler that passes everything on and keeps the last
// troubles.
type RecentErrors struct {
	slog.Handler
	buffer *errorBuffer
	attrs  []slog.Attr
}

type errorBuffer struct {
	mu      sync.Mutex
	entries []RecentError
}

// NewTroubles wraps a handler.
func NewRecentErrors(h slog.Handler) *RecentErrors {
	return &RecentErrors{Handler: h, buffer: &errorBuffer{}}
}

// Enabled keeps info lines coming where the log itself shows errors only.
func (t *RecentErrors) Enabled(ctx context.Context, l slog.Level) bool {
	return l >= slog.LevelInfo || t.Handler.Enabled(ctx, l)
}

// Handle implements slog.Handler.
func (t *RecentErrors) Handle(ctx context.Context, r slog.Record) error {
	if r.Level >= slog.LevelError || slices.Contains(notableMessages, r.Message) {
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
		t.buffer.mu.Lock()
		t.buffer.entries = append(t.buffer.entries, RecentError{At: r.Time, Text: b.String()})
		if n := len(t.buffer.entries); n > maxRecentErrors {
			t.buffer.entries = slices.Clone(t.buffer.entries[n-maxRecentErrors:])
		}
		t.buffer.mu.Unlock()
	}
	if !t.Handler.Enabled(ctx, r.Level) {
		return nil
	}
	return t.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (t *RecentErrors) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &RecentErrors{Handler: t.Handler.WithAttrs(attrs), buffer: t.buffer, attrs: append(slices.Clone(t.attrs), attrs...)}
}

// WithGroup implements slog.Handler.
func (t *RecentErrors) WithGroup(name string) slog.Handler {
	return &RecentErrors{Handler: t.Handler.WithGroup(name), buffer: t.buffer, attrs: t.attrs}
}

// Last is what was kept, oldest first.
func (t *RecentErrors) List() []RecentError {
	if t == nil {
		return nil
	}
	t.buffer.mu.Lock()
	defer t.buffer.mu.Unlock()
	return slices.Clone(t.buffer.entries)
}
