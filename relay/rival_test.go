package relay

import (
	"context"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/pacer"
	"github.com/cranberrybay/cranberrybay/server"
)

// Guards against the rate of an engine that counts for another entry with its address.
func TestRateOfAnEngineWithASecondEntry(t *testing.T) {
	table := server.NewTable(server.Config{Log: zerolog.Nop()})
	entry := func(id string, started int64) server.Change {
		return server.Change{ID: id, Entry: server.Entry{ID: id, Service: "s", Address: "a:1", Domain: "d", Slots: 8, Started: started}}
	}
	table.Apply([]server.Change{entry("a", 1), entry("x", 1<<41)}, true, 0)
	p := pacer.New(pacer.Config{Log: zerolog.Nop()})
	r := New(Config{Servers: table, Domain: "d", Log: zerolog.Nop(), Pacer: p, FetchReport: func(context.Context, string) (Report, error) {
		return Report{Rate: NamedRate{Named: true, Value: 5}}, nil
	}})
	table.ByID("x").RecordMisdirected()
	_, err := r.fetchReport(t.Context(), "a:1")
	assert.NilError(t, err)
	assert.Equal(t, len(p.Records()), 1)
	assert.Equal(t, p.Records()[0].Server, table.ByID("a").Incarnation())
}
