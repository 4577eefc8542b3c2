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
	Accepted Step = iota // from a submission's arrival here to its answer
	Placed               // from a job's acceptance to a task's placement
	Launched             // from its placement to the answer with its launch
	Running              // from its launch to the report that it runs
	steps
)

var stepNames = [steps]string{"submission_to_acceptance", "acceptance_to_placement", "placement_to_launch", "launch_to_running"}

// Set is a node's instruments.
type Set struct {
	reg     *prometheus.Registry
	steps   [steps]prometheus.Histogram
	lease   prometheus.Histogram
	passes  prometheus.Histogram
	held    prometheus.Histogram
	leaders prometheus.Counter
	refused *prometheus.CounterVec
	departs *prometheus.CounterVec
}

// New makes a node's instruments.
func New(node string) *Set {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	in := prometheus.WrapRegistererWith(prometheus.Labels{"node": node}, reg)
	s := &Set{reg: reg}
	for i, name := range stepNames {
		s.steps[i] = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "umberdeal_" + name + "_seconds",
			Help: "Time of this step of a submission or a task.", Buckets: prometheus.ExponentialBuckets(0.01, 2, 16)})
		in.MustRegister(s.steps[i])
	}
	s.lease = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "umberdeal_lease_left_seconds",
		Help: "What a worker's lease had left when its report was answered.", Buckets: prometheus.LinearBuckets(0, 2, 20)})
	s.passes = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "umberdeal_pass_seconds",
		Help: "Length of a scheduling pass.", Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14)})
	s.held = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "umberdeal_stop_held_seconds",
		Help: "How long a stop waited until the plan it was decided by was compared.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 14)})
	s.leaders = prometheus.NewCounter(prometheus.CounterOpts{Name: "umberdeal_leader_changes_total",
		Help: "Times that this node has seen another leader, or none."})
	s.refused = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "umberdeal_refused_total",
		Help: "Requests that were given a final answer other than what they asked for, by reason."}, []string{"why"})
	s.departs = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "umberdeal_order_departures_total",
		Help: "Tasks placed on room that a waiting job of a higher tier could have had, by that tier and reason."}, []string{"tier", "why"})
	in.MustRegister(s.lease, s.passes, s.held, s.leaders, s.refused, s.departs)
	return s
}

// Gauge adds a value that is read when somebody asks.
func (s *Set) Gauge(name, help string, read func() float64) {
	if s != nil {
		s.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "umberdeal_" + name, Help: help}, read))
	}
}

// Counter adds a value that only grows and is read when somebody asks.
func (s *Set) Counter(name, help string, read func() float64) {
	if s != nil {
		s.reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "umberdeal_" + name, Help: help}, read))
	}
}

// Took takes in how long a step took.
func (s *Set) Took(step Step, seconds float64) {
	if s != nil {
		s.steps[step].Observe(max(seconds, 0))
	}
}

// LeaseLeft takes in how many seconds a worker's lease had left.
func (s *Set) LeaseLeft(seconds float64) {
	if s != nil {
		s.lease.Observe(max(seconds, 0))
	}
}

// PreemptionHeld takes in how long a stop waited until the plan was compared.
func (s *Set) PreemptionHeld(seconds float64) {
	if s != nil {
		s.held.Observe(max(seconds, 0))
	}
}

// Pass takes in the length of a scheduling pass.
func (s *Set) Pass(seconds float64) {
	if s != nil {
		s.passes.Observe(seconds)
	}
}

// LeaderChanged counts a change of leader.
func (s *Set) LeaderChanged() {
	if s != nil {
		s.leaders.Inc()
	}
}

// Refused counts a request that was refused or shed.
func (s *Set) Refused(why string) {
	if s != nil {
		s.refused.WithLabelValues(why).Inc()
	}
}

// PriorityInversion counts a departure from the operators' order.
func (s *Set) PriorityInversion(tier, why string) {
	if s != nil {
		s.departs.WithLabelValues(tier, why).Inc()
	}
}

// Handler serves the text format.
func (s *Set) Handler() http.Handler { return promhttp.HandlerFor(s.reg, promhttp.HandlerOpts{}) }
