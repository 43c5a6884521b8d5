package edge

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// counters holds the metrics of an entry process.
type counters struct{ set *metrics.Set }

func newCounters() *counters { return &counters{set: metrics.NewSet()} }

func (c *counters) request(outcome string, took time.Duration) {
	c.set.GetOrCreateCounter(fmt.Sprintf("cranberrybay_requests_total{outcome=%q}", outcome)).Inc()
	c.set.GetOrCreateHistogram(fmt.Sprintf("cranberrybay_request_seconds{outcome=%q}", outcome)).Update(took.Seconds())
}

func (c *counters) event(name string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("cranberrybay_events_total{event=%q}", name)).Inc()
}

func (c *counters) gauge(name string, f func() float64) {
	c.set.GetOrCreateGauge("cranberrybay_"+name, f)
}

func (c *counters) ServeHTTP(w http.ResponseWriter, _ *http.Request) { c.set.WritePrometheus(w) }
