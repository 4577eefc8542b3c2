// Package metrics is what a node tells those who watch it: counters, gauges and
// histograms in Prometheus' text format, the last troubles, and an overview. It
// decides nothing, and a nil Set takes everything in and keeps nothing, so that
// a node without an operators' address pays nothing for it.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Step is a part of a job's or task's way from its submission until it runs.
type Step int

// Steps, each measured from the one before, in seconds.
const (
	StepAccepted Step = iota // from a submission's arrival here to its answer
	StepPlaced               // from a job's acceptance to a task's placement
	StepLaunched             // from its placement to the answer with its launch
	StepRunning              // from its launch to the report that it runs
	stepCount
)

var stepMetricNames = [stepCount]string{"submission_to_acceptance", "acceptance_to_placement", "placement_to_launch", "launch_to_running"}

// Set is a node's instruments.
type Set struct {
	registry              *prometheus.Registry
	stepSeconds           [stepCount]prometheus.Histogram
	leaseLeftSeconds      prometheus.Histogram
	passSeconds           prometheus.Histogram
	preemptionHeldSeconds prometheus.Histogram
	leaderChanges         prometheus.Counter
	refusals              *prometheus.CounterVec
	priorityInversions    *prometheus.CounterVec
}

// New makes a node's instruments.
func New(node string) *Set {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	in := prometheus.WrapRegistererWith(prometheus.Labels{"node": node}, reg)
	s := &Set{registry: reg}
	for i, name := range stepMetricNames {
		s.stepSeconds[i] = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "umberdeal_" + name + "_seconds",
			Help: "Time of this step of a submission or a task.", Buckets: prometheus.ExponentialBuckets(0.01, 2, 16)})
		in.MustRegister(s.stepSeconds[i])
	}
	s.leaseLeftSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "umberdeal_lease_left_seconds",
		Help: "What a worker's lease had left when its report was answered.", Buckets: prometheus.LinearBuckets(0, 2, 20)})
	s.passSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "umberdeal_pass_seconds",
		Help: "Length of a scheduling pass.", Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14)})
	s.preemptionHeldSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "umberdeal_stop_held_seconds",
		Help: "How long a stop waited until the plan it was decided by was compared.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 14)})
	s.leaderChanges = prometheus.NewCounter(prometheus.CounterOpts{Name: "umberdeal_leader_changes_total",
		Help: "Times that this node has seen another leader, or none."})
	s.refusals = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "umberdeal_refused_total",
		Help: "Requests that were given a final answer other than what they asked for, by reason."}, []string{"why"})
	s.priorityInversions = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "umberdeal_order_departures_total",
		Help: "Tasks placed on room that a waiting job of a higher tier could have had, by that tier and reason."}, []string{"tier", "why"})
	in.MustRegister(s.leaseLeftSeconds, s.passSeconds, s.preemptionHeldSeconds, s.leaderChanges, s.refusals, s.priorityInversions)
	return s
}

// Gauge adds a value that is read when somebody asks.
func (s *Set) RegisterGauge(name, help string, read func() float64) {
	if s != nil {
		s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "umberdeal_" + name, Help: help}, read))
	}
}

// Counter adds a value that only grows and is read when somebody asks.
func (s *Set) RegisterCounter(name, help string, read func() float64) {
	if s != nil {
		s.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "umberdeal_" + name, Help: help}, read))
	}
}

// Took takes in how long a step took.
func (s *Set) ObserveStep(step Step, seconds float64) {
	if s != nil {
		s.stepSeconds[step].Observe(max(seconds, 0))
	}
}

// LeaseLeft takes in how many seconds a worker's lease had left.
func (s *Set) LeaseLeft(seconds float64) {
	if s != nil {
		s.leaseLeftSeconds.Observe(max(seconds, 0))
	}
}

// PreemptionHeld takes in how long a stop waited until the plan was compared.
func (s *Set) PreemptionHeld(seconds float64) {
	if s != nil {
		s.preemptionHeldSeconds.Observe(max(seconds, 0))
	}
}

// Pass takes in the length of a scheduling pass.
func (s *Set) ObserveSchedulingPass(seconds float64) {
	if s != nil {
		s.passSeconds.Observe(seconds)
	}
}

// LeaderChanged counts a change of leader.
func (s *Set) CountLeaderChange() {
	if s != nil {
		s.leaderChanges.Inc()
	}
}

// Refused counts a request that was refused or shed.
func (s *Set) CountRefusal(why string) {
	if s != nil {
		s.refusals.WithLabelValues(why).Inc()
	}
}

// PriorityInversion counts a departure from the operators' order.
func (s *Set) PriorityInversion(tier, why string) {
	if s != nil {
		s.priorityInversions.WithLabelValues(tier, why).Inc()
	}
}

// Handler serves the text format.
func (s *Set) Handler() http.Handler { return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}) }
