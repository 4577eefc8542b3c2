package fake

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// maxViolations bounds the violations that are listed: many have the same cause.
const maxViolations = 20

// violationLog is the list of the rules that were broken. It has a lock of its own, under
// which no other is taken: the checks of the key-value store report while they hold the
// store's, and the others while they hold the cluster's.
type violationLog struct {
	mu            sync.Mutex
	violations    []string
	interactionAt time.Time // when a scenario's faults met; zero: not yet
}

// add reports that a rule is broken.
func (l *violationLog) add(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.violations) >= maxViolations {
		return
	}
	violation := fmt.Sprintf(format, args...)
	if !l.interactionAt.IsZero() {
		violation += fmt.Sprintf(" (%.1f s after the troubles met)", time.Since(l.interactionAt).Seconds())
	}
	l.violations = append(l.violations, violation)
}

// Violations lists the rules that were broken.
func (w *Cluster) Violations() []string {
	w.violations.mu.Lock()
	defer w.violations.mu.Unlock()
	return slices.Clone(w.violations.violations)
}

// MarkInteraction notes that a scenario's faults have met: violations from now on say how
// long after.
func (w *Cluster) MarkInteraction() {
	w.violations.mu.Lock()
	defer w.violations.mu.Unlock()
	w.violations.interactionAt = time.Now()
}
