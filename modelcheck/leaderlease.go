package modelcheck

// leaseValid says whether the leader's lease is valid: no more than one step has passed since
// its last renewal was sent. Only scenarios in which the store refuses the leader look at it.
func (s *System) leaseValid() bool {
	return s.scenario.MaxStoreRefusals == 0 || s.mutation == IgnoreLeaderLease || s.step-s.leaseStart < leaseSteps
}

// renewLease renews the leader's lease with its read barrier, unless the store refuses it.
func (s *System) renewLease() {
	if s.storeRefuses {
		return
	}
	s.leaseStart = s.step
	if s.mutation != SkipReadBarrier {
		s.deliverWatch()
	}
}

// toggleStoreRefusal makes the store refuse the leader alone, just after this has sent a
// renewal, or ends that.
func (s *System) toggleStoreRefusal() {
	s.storeRefuses = !s.storeRefuses
	if !s.storeRefuses {
		s.renewLease()
		return
	}
	s.refusalCount++
	s.renewalSentAt, s.renewalPending = s.step, true
}

// receiveRenewalResponse lets the leader receive the response to the renewal under way. Its
// lease counts from when that was sent.
func (s *System) receiveRenewalResponse() {
	s.renewalPending = false
	if s.mutation == CountLeaseFromRenewalResponse {
		s.renewalSentAt = s.step
	}
	s.leaseStart = max(s.leaseStart, s.renewalSentAt)
}
