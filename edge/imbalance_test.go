package edge

import (
	"bytes"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/server"
)

// Guards against a metric of the imbalance that leaves out the load of the other processes, counts servers without
// layers, or stays when the service has no load, and against log lines of members or about services that are not
// uneven.
func TestImbalance(t *testing.T) {
	now := time.Hour
	defer clock.Replace(func() time.Duration { return now })()
	servers := server.NewTable(server.Config{Log: zerolog.Nop()})
	var changes []server.Change
	for _, e := range []server.Entry{
		{ID: "a", Service: "llm", Address: "a:1", Accelerator: "l4", To: 4},
		{ID: "b", Service: "llm", Address: "b:1", Accelerator: "l4", To: 4},
		{ID: "c", Service: "llm", Address: "c:1", Accelerator: "l4"},
		{ID: "x", Service: "desk", Address: "x:1", Slots: 4},
		{ID: "y", Service: "desk", Address: "y:1", Slots: 1},
	} {
		changes = append(changes, server.Change{ID: e.ID, Entry: e})
	}
	servers.Apply(changes, true, 0)
	conf, err := config.New(config.Content{Version: 1, Services: []config.Service{{Name: "desk"}, {Name: "llm", Engine: &config.Engine{
		Layers: 4, LayerMemory: 1000, TokenMemory: 3906.25, Accelerators: map[string]config.Accelerator{"l4": {StepFactor: 16, Memory: 5024}, "h100": {StepFactor: 1}},
	}}}})
	assert.NilError(t, err)
	var tracker config.Tracker
	tracker.Apply(conf)
	peers := map[string]int{"a": 3, "b": 1, "c": 9, "x": 4, "y": 1}
	var out bytes.Buffer
	hub := false
	w := &imbalanceWatch{
		tracker: &tracker, servers: servers, isHub: func() bool { return hub }, counters: newCounters(), log: zerolog.New(&out),
		peerLoad: func(id string) (int, int64) { return peers[id], int64(peers[id]) << 18 },
	}
	run := func(d time.Duration) string {
		for end := now + d; now < end; now += imbalanceSampleInterval {
			w.sample(now)
		}
		r := httptest.NewRecorder()
		w.counters.ServeHTTP(r, httptest.NewRequest("GET", "/metrics", nil))
		return r.Body.String()
	}
	text := run(6 * time.Second)
	assert.Assert(t, contains(text, `cranberrybay_load_spread{service="llm"} 1.5`), "%s", text)
	assert.Assert(t, contains(text, `cranberrybay_load_spread{service="desk"} 1`), "%s", text)
	assert.Equal(t, out.String(), "")
	hub = true
	run(6 * time.Second)
	assert.Equal(t, bytes.Count(out.Bytes(), []byte("\n")), 1, "%s", out.String())
	for _, want := range []string{`"service":"llm"`, `"spread":1.5`, `"busiest":"a"`, `"highest":0.75`, `"idlest":"b"`, `"message":"load spread"`} {
		assert.Assert(t, contains(out.String(), want), "%s", out.String())
	}
	out.Reset()
	clear(peers)
	text = run(12 * time.Second)
	assert.Assert(t, contains(text, `cranberrybay_load_spread{service="llm"} 0`), "%s", text)
	assert.Assert(t, bytes.Count(out.Bytes(), []byte("\n")) <= 1, "%s", out.String())
}
