package config

import (
	"fmt"
	"math"
	"strings"
	"testing"
)

// with returns the settings of good with the given report_s, lease_s and cancel_s.
func with(report, lease, cancel float64) string {
	return strings.NewReplacer("report_s = 1.5", fmt.Sprintf("report_s = %.3f", report),
		"lease_s = 12.0", fmt.Sprintf("lease_s = %.3f", lease), "cancel_s = 32.0", fmt.Sprintf("cancel_s = %.3f", cancel)).Replace(good)
}

// The settings of existing deployments must stay valid and result in unchanged leases.
func TestLeasesOfKnownDeployments(t *testing.T) {
	for _, c := range []struct{ report, lease, cancel, leader, gone float64 }{
		{1.5, 12, 32, 7, 19.31},
		{4, 22, 42, 10, 32.32},
		{3, 27, 47, 8, 35.32},
		{5, 27, 47, 10, 37.32},
	} {
		s, err := Parse(with(c.report, c.lease, c.cancel))
		if err != nil {
			t.Errorf("%+v: %v", c, err)
			continue
		}
		w := s.Cluster.Workers
		if w.LeaderLeaseS() != c.leader || math.Abs(w.CancelledGoneWithinS()-c.gone) > 0.01 {
			t.Errorf("%+v: got a leader's lease of %g s and tasks gone within %.3f s", c, w.LeaderLeaseS(), w.CancelledGoneWithinS())
		}
	}
}

// With all accepted settings, the tasks of a cancelled job must end within cancel_s. The test computes
// their end independently of CancelledGoneWithinS. A lease starts when its renewal is sent, a worker
// sends its last heartbeat before the leader's last answer, and both clocks are slow.
func TestAcceptedTimesLetCancelledTasksBeGoneInTime(t *testing.T) {
	accepted, refused := 0, 0
	for _, report := range []float64{0.05, 0.5, 1.5, 4, 30, 100} {
		for _, lease := range []float64{0.1, 1, 3, 4, 5, 12, 22, 27, 120, 1200, 3600, 40000} {
			for _, above := range []float64{0.001, 0.2, 1.99, 2, 2.01, 3, 5, 10, 20, 40, 400} {
				s, err := Parse(with(report, lease, lease+above))
				if err != nil {
					refused++
					if !strings.Contains(err.Error(), "cluster.workers.cancel_s") {
						t.Errorf("report %g, lease %g, cancel %g: %v", report, lease, lease+above, err)
					}
					if above >= 2.01 && lease <= 1200 {
						t.Errorf("report %g, lease %g, cancel %g is rejected without need: %v", report, lease, lease+above, err)
					}
					continue
				}
				accepted++
				w := s.Cluster.Workers
				if w.LeaderLeaseS() < 1 {
					t.Errorf("%+v: got a leader's lease of %g s, want at least 1 s", w, w.LeaderLeaseS())
				}
				answered := w.LeaderLeaseS() * 1.0005 // the leader's last answer, in seconds after the confirmation
				if killed := answered + w.LeaseS*1.0005; killed > w.CancelS-0.29 {
					t.Errorf("%+v: tasks may run for %.3f s after the confirmation", w, killed)
				}
			}
		}
	}
	if accepted < 200 || refused < 200 {
		t.Errorf("got %d accepted and %d rejected settings, want at least 200 each", accepted, refused)
	}
}
