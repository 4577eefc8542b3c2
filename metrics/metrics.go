// Package metrics provides the information that a node shows to operators: counters, gauges
// and histograms in Prometheus' text format (Set), the recent errors of its log (RecentErrors),
// and the overview of `umberdeal status` (Overview).
//
// Package controller and the command line use it. The methods of a nil Set, except Handler, do
// nothing, and List of nil RecentErrors returns nil. A node without an address for operators
// therefore needs no special case. Operators' programs read the metric names, the JSON fields
// and the texts of the table, so these must not change.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Step is one step from a job's submission until its tasks run.
type Step int

// Steps of a submission. Each is measured from the end of the previous step.
const (
	StepAccepted Step = iota // from a submission's arrival at this node to its answer
	StepPlaced               // from a job's acceptance to a task's placement
	StepLaunched             // from the placement to the heartbeat answer with the launch
	StepRunning              // from the launch to the heartbeat that shows the task running
	stepCount
)

var stepMetricNames = [stepCount]string{"submission_to_acceptance", "acceptance_to_placement", "placement_to_launch", "launch_to_running"}

// Set holds the metrics of a node. Its methods are safe for concurrent use.
type Set struct {
	registry              *prometheus.Registry
	stepSeconds           [stepCount]prometheus.Histogram
	leaseLeftSeconds      prometheus.Histogram
	passSeconds           prometheus.Histogram
	preemptionHeldSeconds prometheus.Histogram
	leaderChanges         prometheus.Counter
	refusals              *prometheus.CounterVec
	priorityInversions    *prometheus.CounterVec
	transactions          transactionMetrics
}

// New returns the metrics of the named node, with those of the Go runtime and the process.
func New(node string) *Set {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	labeled := prometheus.WrapRegistererWith(prometheus.Labels{"node": node}, registry)
	s := &Set{registry: registry}
	for i, name := range stepMetricNames {
		s.stepSeconds[i] = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "umberdeal_" + name + "_seconds",
			Help: "Time of this step of a submission or a task.", Buckets: prometheus.ExponentialBuckets(0.01, 2, 16)})
		labeled.MustRegister(s.stepSeconds[i])
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
	labeled.MustRegister(s.leaseLeftSeconds, s.passSeconds, s.preemptionHeldSeconds, s.leaderChanges, s.refusals, s.priorityInversions)
	s.transactions = newTransactionMetrics(labeled)
	return s
}

// RegisterGauge adds a gauge named umberdeal_<name>. Each scrape calls read for its value, possibly
// concurrently.
func (s *Set) RegisterGauge(name, help string, read func() float64) {
	if s != nil {
		s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "umberdeal_" + name, Help: help}, read))
	}
}

// RegisterCounter adds a counter named umberdeal_<name>. Each scrape calls read for its value, possibly
// concurrently.
func (s *Set) RegisterCounter(name, help string, read func() float64) {
	if s != nil {
		s.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "umberdeal_" + name, Help: help}, read))
	}
}

// ObserveStep records the duration of a step. A negative duration counts as 0.
func (s *Set) ObserveStep(step Step, seconds float64) {
	if s != nil {
		s.stepSeconds[step].Observe(max(seconds, 0))
	}
}

// ObserveLeaseLeft records the remaining seconds of a worker's lease when its heartbeat was
// answered. A negative value counts as 0.
func (s *Set) ObserveLeaseLeft(seconds float64) {
	if s != nil {
		s.leaseLeftSeconds.Observe(max(seconds, 0))
	}
}

// ObservePreemptionDelay records the delay of a preemption in seconds. A preemption is delayed until
// the version of the operators' plan that led to it is confirmed as the current one.
func (s *Set) ObservePreemptionDelay(seconds float64) {
	if s != nil {
		s.preemptionHeldSeconds.Observe(max(seconds, 0))
	}
}

// ObserveSchedulingPass records the duration of a scheduling pass.
func (s *Set) ObserveSchedulingPass(seconds float64) {
	if s != nil {
		s.passSeconds.Observe(seconds)
	}
}

// CountLeaderChange counts a change of the leader that this node knows, including a change to none.
func (s *Set) CountLeaderChange() {
	if s != nil {
		s.leaderChanges.Inc()
	}
}

// CountRefusal counts a rejected request by reason, including rejections for overload.
func (s *Set) CountRefusal(why string) {
	if s != nil {
		s.refusals.WithLabelValues(why).Inc()
	}
}

// CountPriorityInversion counts a task that was placed on resources that a waiting job of a higher
// tier could have used. tier is the waiting job's tier.
func (s *Set) CountPriorityInversion(tier, why string) {
	if s != nil {
		s.priorityInversions.WithLabelValues(tier, why).Inc()
	}
}

// Handler returns a handler that serves the metrics in Prometheus' text format. s must not be nil.
func (s *Set) Handler() http.Handler { return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}) }
