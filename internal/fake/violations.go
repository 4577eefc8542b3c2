// The list of violations of the protocol's rules that the checker has found.

package fake

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// maxViolations is the number of violations after which further ones are dropped. Many violations
// have the same cause.
const maxViolations = 20

// violationLog is the list of violations of the protocol's rules. Its lock is taken last: the
// checks of the key-value store add violations while they hold the store's lock, and other checks
// while they hold the cluster's.
type violationLog struct {
	mu            sync.Mutex
	violations    []string
	interactionAt time.Time // when several faults of a scenario coincided; zero: not yet
}

// add appends a violation.
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

// Violations returns the first violations of the protocol's rules, at most 20. Each begins with the
// name of the rule or with a description.
func (w *Cluster) Violations() []string {
	w.violations.mu.Lock()
	defer w.violations.mu.Unlock()
	return slices.Clone(w.violations.violations)
}

// MarkInteraction records that several faults of a scenario coincide now. Later violations state
// the time since then.
func (w *Cluster) MarkInteraction() {
	w.violations.mu.Lock()
	defer w.violations.mu.Unlock()
	w.violations.interactionAt = time.Now()
}
