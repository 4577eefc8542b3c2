package fake

import "testing"

// Workers look jobs up in the key-value store while they hold the cluster's lock, so that
// the store must not need that lock to report a violation.
func TestStoreReportsViolationWhileTheClusterIsLocked(t *testing.T) {
	withCheckedCluster(t, func(w *Cluster, _ *machine, _ *job) {
		w.mu.Lock()
		w.Store.reportViolation("a rule")
		w.mu.Unlock()
		wantViolation(t, w, "a rule")
	})
}
