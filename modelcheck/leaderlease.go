// The leader's lease and its renewal while the store refuses the leader.

package modelcheck

// leaseValid reports whether the leader's lease is valid: fewer than leaseSteps have passed since
// its last renewal was sent. In scenarios without store refusals the lease is always valid.
func (s *System) leaseValid() bool {
	return s.scenario.MaxStoreRefusals == 0 || s.mutation == IgnoreLeaderLease || s.step-s.leaseStart < leaseSteps
}

// renewLease renews the leader's lease unless the store refuses the leader. As a read barrier, the
// leader reads the changes of job records with each renewal.
func (s *System) renewLease() {
	if s.storeRefuses {
		return
	}
	s.leaseStart = s.step
	if s.mutation != SkipReadBarrier {
		s.deliverWatch()
	}
}

// toggleStoreRefusal makes the store refuse only the leader, or ends the refusal. The refusal
// starts just after the leader has sent a renewal.
func (s *System) toggleStoreRefusal() {
	s.storeRefuses = !s.storeRefuses
	if !s.storeRefuses {
		s.renewLease()
		return
	}
	s.refusalCount++
	s.renewalSentAt, s.renewalPending = s.step, true
}

// receiveRenewalResponse lets the leader receive the response to the pending renewal. The lease
// counts from when the renewal was sent.
func (s *System) receiveRenewalResponse() {
	s.renewalPending = false
	if s.mutation == CountLeaseFromRenewalResponse {
		s.renewalSentAt = s.step
	}
	s.leaseStart = max(s.leaseStart, s.renewalSentAt)
}
