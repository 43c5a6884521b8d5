package edge

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cranberrybay/cranberrybay/relay"
	"github.com/cranberrybay/cranberrybay/server"
)

// counters holds the metrics of an entry process.
type counters struct {
	set  *metrics.Set
	more func(w io.Writer) // writes what is counted when it is asked for
}

func newCounters() *counters { return &counters{set: metrics.NewSet()} }

func (c *counters) request(outcome string, took time.Duration) {
	c.set.GetOrCreateCounter(fmt.Sprintf("cranberrybay_requests_total{outcome=%q}", outcome)).Inc()
	c.set.GetOrCreateHistogram(fmt.Sprintf("cranberrybay_request_seconds{outcome=%q}", outcome)).Update(took.Seconds())
}

func (c *counters) event(name string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("cranberrybay_events_total{event=%q}", name)).Inc()
}

// dropped counts a heartbeat that was not believed.
func (c *counters) dropped(reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("cranberrybay_heartbeats_dropped_total{reason=%q}", reason)).Inc()
}

// observe records a measurement of the relay.
func (c *counters) observe(m relay.Measure, value float64) {
	c.set.GetOrCreateHistogram("cranberrybay_" + string(m)).Update(value)
}

// violation counts a promise that was found broken while the process served.
func (c *counters) violation(invariant string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("cranberrybay_violations_total{invariant=%q}", invariant)).Inc()
}

func (c *counters) gauge(name string, f func() float64) {
	c.set.GetOrCreateGauge("cranberrybay_"+name, f)
}

func (c *counters) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	c.set.WritePrometheus(w)
	if c.more != nil {
		c.more(w)
	}
}

// writeServers writes the number of backend servers by state, and for each
// service with layers the copies of the layer that has the fewest.
func writeServers(w io.Writer, all []*server.Server) {
	states := map[[2]string]int{}
	layers := map[string]map[int]int{}
	for _, s := range all {
		e := s.Entry()
		state := "ready"
		switch {
		case e.Draining:
			state = "draining"
		case s.IsAvoided():
			state = "avoided"
		}
		states[[2]string{e.Service, state}]++
		if e.Accelerator == "" {
			continue
		}
		if layers[e.Service] == nil {
			layers[e.Service] = map[int]int{}
		}
		for i := e.From; i < e.To && !e.Draining; i++ {
			layers[e.Service][i]++
		}
	}
	for k, n := range states {
		metrics.WriteGaugeUint64(w, fmt.Sprintf("cranberrybay_servers{service=%q,state=%q}", k[0], k[1]), uint64(n))
	}
	for service, held := range layers {
		least, last := -1, 0
		for i := range held {
			last = max(last, i)
		}
		for i := 0; i <= last; i++ {
			if n := held[i]; least < 0 || n < least {
				least = n
			}
		}
		metrics.WriteGaugeUint64(w, fmt.Sprintf("cranberrybay_layers_least{service=%q}", service), uint64(max(least, 0)))
	}
}
