// The metrics of transactions of the key-value store.

package metrics

import "github.com/prometheus/client_golang/prometheus"

// Transaction holds the measurements of one compare-and-swap transaction of the key-value store.
type Transaction struct {
	Client          string  // client of the node that sent the transaction: "users" or "node"
	Result          string  // name of a kvstore.Result
	Changes         int     // number of changes
	LimiterSeconds  float64 // delay by the client's rate limits
	ResponseSeconds float64 // from sending the transaction to the response; 0 if it was not sent
}

// transactionMetrics holds the metrics of transactions and of the bucket writers, which combine the
// writes of several users in one transaction.
type transactionMetrics struct {
	changes         *prometheus.HistogramVec // by client and result
	limiterSeconds  *prometheus.HistogramVec // by client
	responseSeconds *prometheus.HistogramVec // by client
	queueSeconds    *prometheus.HistogramVec // by kind and result
	retries         *prometheus.CounterVec   // by kind
}

func newTransactionMetrics(labeled prometheus.Registerer) transactionMetrics {
	seconds := prometheus.ExponentialBuckets(0.002, 2, 14)
	m := transactionMetrics{
		changes: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "umberdeal_transaction_changes",
			Help: "Changes of a transaction of the key-value store, by client and result.", Buckets: []float64{1, 2, 3, 4, 6, 8, 12, 16, 24, 48}}, []string{"client", "result"}),
		limiterSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "umberdeal_transaction_limiter_seconds",
			Help: "How long this node's write limit delayed a transaction.", Buckets: seconds}, []string{"client"}),
		responseSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "umberdeal_transaction_response_seconds",
			Help: "Time from sending a transaction to its response.", Buckets: seconds}, []string{"client"}),
		queueSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "umberdeal_queued_write_seconds",
			Help: "Time of a submission or cancellation in its bucket's queue, retries included.", Buckets: seconds}, []string{"kind", "result"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "umberdeal_queued_write_retries_total",
			Help: "Transactions of a bucket's writer that were refused, and whose writes stayed in the queue."}, []string{"kind"}),
	}
	labeled.MustRegister(m.changes, m.limiterSeconds, m.responseSeconds, m.queueSeconds, m.retries)
	return m
}

// ObserveTransaction records a completed transaction.
func (s *Set) ObserveTransaction(t Transaction) {
	if s == nil {
		return
	}
	s.transactions.changes.WithLabelValues(t.Client, t.Result).Observe(float64(t.Changes))
	s.transactions.limiterSeconds.WithLabelValues(t.Client).Observe(t.LimiterSeconds)
	if t.ResponseSeconds > 0 {
		s.transactions.responseSeconds.WithLabelValues(t.Client).Observe(t.ResponseSeconds)
	}
}

// ObserveQueuedWrite records the time in seconds that a submission or cancellation spent in its
// bucket's queue. kind is a jobstore.WriteKind and result a jobstore.WriteResult.
func (s *Set) ObserveQueuedWrite(kind, result string, seconds float64) {
	if s != nil {
		s.transactions.queueSeconds.WithLabelValues(kind, result).Observe(seconds)
	}
}

// CountQueuedWriteRetry counts a rejected transaction whose writes stay in their bucket's queue. kind
// is a jobstore.WriteKind.
func (s *Set) CountQueuedWriteRetry(kind string) {
	if s != nil {
		s.transactions.retries.WithLabelValues(kind).Inc()
	}
}
