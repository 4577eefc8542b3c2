package fake

import (
	"fmt"
	"time"
)

// This file has the list of the rules that were broken.

func (w *Cluster) breaks(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaksLocked(format, args...)
}

func (w *Cluster) breaksLocked(format string, args ...any) {
	if len(w.violations) < 20 {
		said := fmt.Sprintf(format, args...)
		if !w.interactionAt.IsZero() {
			said += fmt.Sprintf(" (%.1f s after the troubles met)", time.Since(w.interactionAt).Seconds())
		}
		w.violations = append(w.violations, said)
	}
}

// Violations lists the rules that were broken.
func (w *Cluster) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.violations...)
}

// MarkInteraction notes that a scenario's troubles have met: rules broken from now on are said with
// how long after.
func (w *Cluster) MarkInteraction() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.interactionAt = time.Now()
}
