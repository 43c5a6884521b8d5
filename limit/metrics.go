package limit

import "github.com/VictoriaMetrics/metrics"

// Metrics records metrics of a limiter. A nil Metrics records nothing.
type Metrics struct{ rejected *metrics.Counter }

// NewMetrics registers the metrics of a limiter in set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{rejected: set.GetOrCreateCounter("cranberrybay_limit_rejected_total")}
}

func (m *Metrics) countRejection() {
	if m != nil {
		m.rejected.Inc()
	}
}
