package edge

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cranberrybay/cranberrybay/admit"
	"github.com/cranberrybay/cranberrybay/relay"
	"github.com/cranberrybay/cranberrybay/server"
)

// counters holds the metrics of an entry process and serves them in the Prometheus
// text format.
type counters struct {
	set      *metrics.Set
	onScrape func(w io.Writer) // writes the metrics that are computed at each scrape; may be nil
}

func newCounters() *counters { return &counters{set: metrics.NewSet()} }

// request counts a finished call and records its duration.
func (c *counters) request(outcome string, took time.Duration) {
	c.set.GetOrCreateCounter(fmt.Sprintf("cranberrybay_requests_total{outcome=%q}", outcome)).Inc()
	c.set.GetOrCreateHistogram(fmt.Sprintf("cranberrybay_request_seconds{outcome=%q}", outcome)).Update(took.Seconds())
}

// event counts an event by name.
func (c *counters) event(name string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("cranberrybay_events_total{event=%q}", name)).Inc()
}

// droppedHeartbeat counts a heartbeat that was rejected.
func (c *counters) droppedHeartbeat(reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("cranberrybay_heartbeats_dropped_total{reason=%q}", reason)).Inc()
}

// observe records a measurement of the relay.
func (c *counters) observe(m relay.Measure, value float64) {
	c.set.GetOrCreateHistogram("cranberrybay_" + string(m)).Update(value)
}

// refusedStream counts a stream that was refused because the engines have no capacity for it.
func (c *counters) refusedStream(service string, rank int, bound admit.Bound) {
	c.set.GetOrCreateCounter(fmt.Sprintf("cranberrybay_streams_refused_total{service=%q,rank=\"%d\",bound=%q}", service, rank, bound)).Inc()
}

// violation counts a violated invariant that was detected at run time.
func (c *counters) violation(invariant string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("cranberrybay_violations_total{invariant=%q}", invariant)).Inc()
}

// gauge registers a gauge whose value f returns.
func (c *counters) gauge(name string, f func() float64) {
	c.set.GetOrCreateGauge("cranberrybay_"+name, f)
}

func (c *counters) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	c.set.WritePrometheus(w)
	if c.onScrape != nil {
		c.onScrape(w)
	}
}

// writeServers writes the number of backend servers by state, and for each service
// with layers the number of copies of the layer that has the fewest.
func writeServers(w io.Writer, servers []*server.Server) {
	states := map[[2]string]int{}        // number of servers by service and state
	held := map[string][]layerBoundary{} // by service
	for _, s := range servers {
		e := s.Entry()
		state := "ready"
		switch {
		case e.Draining:
			state = "draining"
		case s.SaidLeaving():
			state = "leaving"
		case s.IsAvoided():
			state = "avoided"
		}
		states[[2]string{e.Service, state}]++
		if e.Accelerator == "" {
			continue
		}
		held[e.Service] = append(held[e.Service], layerBoundary{})
		if e.From < e.To && !s.Leaving() {
			held[e.Service] = append(held[e.Service], layerBoundary{at: e.From, change: 1}, layerBoundary{at: e.To, change: -1})
		}
	}
	for k, n := range states {
		metrics.WriteGaugeUint64(w, fmt.Sprintf("cranberrybay_servers{service=%q,state=%q}", k[0], k[1]), uint64(n))
	}
	for service, boundaries := range held {
		metrics.WriteGaugeUint64(w, fmt.Sprintf("cranberrybay_layers_least{service=%q}", service), uint64(leastCopies(boundaries)))
	}
}

// layerBoundary is a layer from which on the number of copies is another.
type layerBoundary struct{ at, change int }

// leastCopies returns the number of copies of the layer that has the fewest, from the first layer
// to the last one that is held; 0 if none is.
func leastCopies(boundaries []layerBoundary) int {
	slices.SortFunc(boundaries, func(a, b layerBoundary) int { return cmp.Compare(a.at, b.at) })
	least, copies := -1, 0
	for i, b := range boundaries {
		copies += b.change
		if i+1 < len(boundaries) && boundaries[i+1].at > b.at && (least < 0 || copies < least) {
			least = copies
		}
	}
	return max(least, 0)
}
