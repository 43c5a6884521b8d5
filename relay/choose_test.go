package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/server"
)

// BenchmarkChoose measures the choice of a server and of a path while no server names a rate, leaves
// or rests.
func BenchmarkChoose(b *testing.B) {
	const engines = 40
	accelerator := config.Accelerator{Name: "l4", Memory: 21600, StepFactor: 16, PrefillFactor: 8}
	engine := &config.Engine{
		Layers: 8, LayerMemory: 1750, TokenMemory: 426000, StepTime: time.Millisecond, PrefillRate: 272000, ActivationBytes: 21300, InterDomainMbps: 9300,
		Accelerators: map[string]config.Accelerator{"l4": accelerator},
	}
	var all []server.Change
	for i := range engines {
		e := server.Entry{
			ID: fmt.Sprint("engine-", i), Service: "llm", Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: fmt.Sprint("domain-", i%3),
			Slots: 100, Accelerator: "l4", Started: int64(i + 1), From: 4 * (i % 2), To: 4 + 4*(i%2),
		}
		all = append(all, server.Change{ID: e.ID, Entry: e})
	}
	for i := range 3 {
		e := server.Entry{ID: fmt.Sprint("desk-", i), Service: "desk", Address: fmt.Sprintf("10.0.1.%d:1", i), Domain: "domain-0", Slots: 8, Started: int64(i + 1)}
		all = append(all, server.Change{ID: e.ID, Entry: e})
	}
	table := server.NewTable(server.Config{Log: zerolog.Nop()})
	table.Apply(all, true, 0)
	r := New(Config{Servers: table, Domain: "domain-0", Log: zerolog.Nop()})
	route := config.NewRoute(config.RouteConfig{Name: "r", Kind: config.Stream, Attempts: 2, TargetLatency: time.Second})
	req := &Request{Route: route, Service: config.Service{Name: "llm", Engine: engine}, PromptTokens: 800, MaxAnswerTokens: 220, Deadline: time.Now().Add(time.Hour)}
	b.Run("path", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			t, ok := r.choosePath(req, nil, 0, &choice{})
			if !ok {
				b.Fatal("no path")
			}
			t.release()
		}
	})
	plain := &Request{Route: route, Service: config.Service{Name: "desk"}, Deadline: req.Deadline}
	b.Run("plain", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if s, _ := r.pickAndReserve(plain, nil, 0, &choice{}); s == nil {
				b.Fatal("no server")
			}
		}
	})
}
