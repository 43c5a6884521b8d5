package edge

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/relay"
	"github.com/cranberrybay/cranberrybay/server"
)

// The metrics that docs/OPERATIONS.md names must exist under these names.
func TestMetrics(t *testing.T) {
	c := newCounters()
	c.request("served", 30*time.Millisecond)
	c.event("late")
	c.gauge("inflight", func() float64 { return 3 })
	servers := server.NewTable(server.Config{Log: zerolog.Nop()})
	var changes []server.Change
	for _, e := range []server.Entry{
		{ID: "a", Service: "s", Address: "a:1", Accelerator: "l4", From: 0, To: 4},
		{ID: "b", Service: "s", Address: "b:1", Accelerator: "l4", From: 2, To: 4},
		{ID: "c", Service: "s", Address: "c:1", Accelerator: "l4", From: 0, To: 4, Draining: true},
		{ID: "d", Service: "desk", Address: "d:1"},
		{ID: "e", Service: "s", Address: "e:1", Accelerator: "l4", From: 0, To: 4},
	} {
		changes = append(changes, server.Change{ID: e.ID, Entry: e})
	}
	servers.Apply(changes, true, 0)
	servers.ByAddress("d:1").Avoid(time.Hour)
	servers.MarkLeaving([]uint64{servers.ByAddress("e:1").Incarnation()})
	c.observe(relay.MeasureGap, 0.2)
	c.violation("refusal")
	budgets := newRetryBudgets(Settings{Bounds: Bounds{RetryRatio: 0.2, RetrySlack: 80 / budgetFraction}})
	budgets.of("s")
	c.onScrape = func(w io.Writer) { writeServers(w, servers.All()); budgets.writeMetrics(w) }
	w := httptest.NewRecorder()
	c.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`cranberrybay_requests_total{outcome="served"} 1`, `cranberrybay_request_seconds_count{outcome="served"} 1`,
		`cranberrybay_events_total{event="late"} 1`, `cranberrybay_inflight 3`,
		`cranberrybay_servers{service="s",state="ready"} 2`, `cranberrybay_servers{service="s",state="draining"} 1`,
		`cranberrybay_servers{service="s",state="leaving"} 1`,
		`cranberrybay_gap_seconds_count 1`, `cranberrybay_violations_total{invariant="refusal"} 1`,
		`cranberrybay_budget_left{service="s"} 10`,
		`cranberrybay_servers{service="desk",state="avoided"} 1`, `cranberrybay_layers_least{service="s"} 1`,
	} {
		assert.Assert(t, contains(w.Body.String(), want), "%s is missing in\n%s", want, w.Body.String())
	}
}

// Guards against a scrape that takes the memory of the VM because of the layers that the registry lists for an engine.
func TestServerMetricsOfHugeLayerRange(t *testing.T) {
	servers := server.NewTable(server.Config{Log: zerolog.Nop()})
	var changes []server.Change
	for _, e := range []server.Entry{
		{ID: "odd", Service: "s", Address: "odd:1", Accelerator: "l4", From: 0, To: 1 << 40},
		{ID: "a", Service: "s", Address: "a:1", Accelerator: "l4", From: 0, To: 4},
	} {
		changes = append(changes, server.Change{ID: e.ID, Entry: e})
	}
	servers.Apply(changes, true, 0)
	var out strings.Builder
	writeServers(&out, servers.All())
	assert.Assert(t, contains(out.String(), `cranberrybay_layers_least{service="s"} 1`), "%s", out.String())
}
