package limit

import "github.com/VictoriaMetrics/metrics"

// Metrics counts what a keeper does. A nil Metrics counts nothing.
type Metrics struct{ rejected *metrics.Counter }

// NewMetrics registers the metrics of a keeper.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{rejected: set.GetOrCreateCounter("cranberrybay_limit_rejected_total")}
}

func (m *Metrics) limited() {
	if m != nil {
		m.rejected.Inc()
	}
}
