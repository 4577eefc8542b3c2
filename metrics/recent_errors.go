// The recent errors of a node's log, kept for the overview.

package metrics

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"
)

// RecentError is a log line that an Overview shows. Text is the message with its attributes.
type RecentError struct {
	At   time.Time `json:"at"`
	Text string    `json:"text"`
}

// notableMessages lists the messages of log lines that are kept at any level. Lines of level error
// are kept regardless of their message.
var notableMessages = []string{
	"process stalled", "machine lease expired", "no heartbeats reach this leader, resigning",
	"key-value store unreachable, retrying", "key-value store reachable again", "leader unresponsive",
	"leader responsive again", "leadership ended", "elected", "job fails everywhere", "machine suspected",
	"machine types not loaded, retrying", "machine late", "scale in failed, retrying", "lease valid again",
	"records not loaded, retrying", "watch fell behind, resigning",
}

// maxRecentErrors is the largest number of lines kept.
const maxRecentErrors = 64

// RecentErrors is a log handler that passes every line to another handler and keeps the most recent
// errors and notable lines. It is safe for concurrent use.
type RecentErrors struct {
	slog.Handler
	buffer *errorBuffer // shared with the handlers that WithAttrs and WithGroup derive
	attrs  []slog.Attr
}

// errorBuffer holds the kept lines, oldest first.
type errorBuffer struct {
	mu      sync.Mutex
	entries []RecentError
}

// add appends a line and drops the oldest lines beyond maxRecentErrors.
func (b *errorBuffer) add(e RecentError) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = append(b.entries, e)
	if n := len(b.entries); n > maxRecentErrors {
		b.entries = slices.Clone(b.entries[n-maxRecentErrors:])
	}
}

// NewRecentErrors returns a handler that passes lines to h.
func NewRecentErrors(h slog.Handler) *RecentErrors {
	return &RecentErrors{Handler: h, buffer: &errorBuffer{}}
}

// Enabled implements slog.Handler. Lines of level info and above are handled even if the wrapped
// handler ignores them, because their messages may be notable.
func (r *RecentErrors) Enabled(ctx context.Context, level slog.Level) bool {
	return level >= slog.LevelInfo || r.Handler.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (r *RecentErrors) Handle(ctx context.Context, record slog.Record) error {
	if record.Level >= slog.LevelError || slices.Contains(notableMessages, record.Message) {
		r.buffer.add(RecentError{At: record.Time, Text: r.text(record)})
	}
	if !r.Handler.Enabled(ctx, record.Level) {
		return nil
	}
	return r.Handler.Handle(ctx, record)
}

// text returns a line's message followed by its attributes, those of the handler first. It omits
// groups.
func (r *RecentErrors) text(record slog.Record) string {
	var text strings.Builder
	text.WriteString(record.Message)
	write := func(a slog.Attr) bool {
		text.WriteString(" " + a.Key + "=" + a.Value.String())
		return true
	}
	for _, a := range r.attrs {
		write(a)
	}
	record.Attrs(write)
	return text.String()
}

// WithAttrs implements slog.Handler.
func (r *RecentErrors) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &RecentErrors{Handler: r.Handler.WithAttrs(attrs), buffer: r.buffer, attrs: append(slices.Clone(r.attrs), attrs...)}
}

// WithGroup implements slog.Handler.
func (r *RecentErrors) WithGroup(name string) slog.Handler {
	return &RecentErrors{Handler: r.Handler.WithGroup(name), buffer: r.buffer, attrs: r.attrs}
}

// List returns a copy of the kept lines, oldest first. It returns nil if r is nil.
func (r *RecentErrors) List() []RecentError {
	if r == nil {
		return nil
	}
	r.buffer.mu.Lock()
	defer r.buffer.mu.Unlock()
	return slices.Clone(r.buffer.entries)
}
