package queue

import (
	"fmt"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cranberrybay/cranberrybay/fault"
)

// Metrics records metrics of one queue. A nil Metrics records nothing.
type Metrics struct {
	short           *metrics.Gauge
	long            *metrics.Gauge
	waits           [2]*metrics.Histogram
	predictionError *metrics.Histogram
	mispredicted    [2]*metrics.Counter // wrongly predicted short, wrongly predicted long
	reclassified    *metrics.Counter
	rejections      func(reason string) *metrics.Counter
}

// NewMetrics registers the metrics of one service in set: the number of waiting
// requests, waiting times in seconds, rejections by reason, and prediction errors.
func NewMetrics(set *metrics.Set, service string) *Metrics {
	name := func(base, label, value string) string {
		return fmt.Sprintf("%s{service=%q,%s=%q}", base, service, label, value)
	}
	return &Metrics{
		short: set.GetOrCreateGauge(name("cranberrybay_queue_waiting", "class", "short"), nil),
		long:  set.GetOrCreateGauge(name("cranberrybay_queue_waiting", "class", "long"), nil),
		waits: [2]*metrics.Histogram{
			set.GetOrCreateHistogram(name("cranberrybay_queue_wait_seconds", "class", "short")),
			set.GetOrCreateHistogram(name("cranberrybay_queue_wait_seconds", "class", "long")),
		},
		predictionError: set.GetOrCreateHistogram(fmt.Sprintf("cranberrybay_queue_prediction_error_log2{service=%q}", service)),
		mispredicted: [2]*metrics.Counter{
			set.GetOrCreateCounter(name("cranberrybay_queue_mispredicted_total", "class", "short")),
			set.GetOrCreateCounter(name("cranberrybay_queue_mispredicted_total", "class", "long")),
		},
		reclassified: set.GetOrCreateCounter(fmt.Sprintf("cranberrybay_queue_reclassified_total{service=%q}", service)),
		rejections: func(reason string) *metrics.Counter {
			return set.GetOrCreateCounter(name("cranberrybay_queue_rejected_total", "reason", reason))
		},
	}
}

func (m *Metrics) setWaiting(short, long int) {
	if m == nil {
		return
	}
	m.short.Set(float64(short))
	m.long.Set(float64(long))
}

func (m *Metrics) observeWait(long bool, waited time.Duration) {
	if m == nil {
		return
	}
	class := classShort
	if long {
		class = classLong
	}
	m.waits[class].Update(waited.Seconds())
}

func (m *Metrics) countRejection(err error) {
	if m != nil {
		m.rejections(string(fault.CodeOf(err))).Inc()
	}
}

func (m *Metrics) observePrediction(p Prediction, tokens int, long bool) {
	if m == nil {
		return
	}
	m.predictionError.Update(math.Abs(math.Log2(max(float64(tokens), 1) / max(p.Tokens, 1))))
	switch {
	case long && !p.Long:
		m.mispredicted[classShort].Inc()
	case !long && p.Long:
		m.mispredicted[classLong].Inc()
	}
}

func (m *Metrics) countReclassified() {
	if m != nil {
		m.reclassified.Inc()
	}
}
