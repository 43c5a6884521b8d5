package relay

import (
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/server"
)

// TestFirstEngineRemovedDuringChoice guards against a stream that is sent to an engine which
// is not the first of its path: the registry drops the first engine after the path was chosen
// and before the stream is added to its load.
func TestFirstEngineRemovedDuringChoice(t *testing.T) {
	table := server.NewTable(server.Config{Log: zerolog.Nop()})
	entry := func(id string, from, to int) server.Change {
		return server.Change{ID: id, Entry: server.Entry{ID: id, Service: "s", Address: id + ":1", Domain: "d", Slots: 8, Accelerator: "l4", From: from, To: to}}
	}
	table.Apply([]server.Change{entry("a", 0, 4), entry("b", 4, 8)}, true, 0)
	r := New(Config{Servers: table, Domain: "d", Log: zerolog.Nop()})
	req := &Request{Service: config.Service{Name: "s", Engine: &config.Engine{Layers: 8, Accelerators: map[string]config.Accelerator{"l4": {}}}}}
	ps := r.newPathSearch(req, table.Servers("s"), false)
	table.Apply([]server.Change{{ID: "a", Removed: true}}, false, 0)
	p := ps.activate([]Hop{{Address: "a:1", From: 0, To: 4}, {Address: "b:1", From: 4, To: 8}})
	if p.first != nil {
		assert.Equal(t, p.first.Address(), p.hops[0].Address)
	}
}
