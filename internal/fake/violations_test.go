package fake

import "testing"

// Workers read jobs from the key-value store while they hold the cluster's lock. If the store took
// that lock to report a violation, both would deadlock.
func TestStoreReportsViolationWhileTheClusterIsLocked(t *testing.T) {
	withCheckedCluster(t, func(w *Cluster, _ *machine, _ *job) {
		w.mu.Lock()
		w.Store.reportViolation("a rule")
		w.mu.Unlock()
		wantViolation(t, w, "a rule")
	})
}
