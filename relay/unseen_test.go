package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/path"
	"github.com/cranberrybay/cranberrybay/server"
)

// newBalancedRelay returns one of 50 processes and a request. The engines of two ranges are in two failure domains;
// the others report that the first of each range has the least load.
func newBalancedRelay(s config.Service) (*Relay, *Request) {
	table := server.NewTable(server.Config{Log: zerolog.Nop()})
	var all []server.Change
	for i := range 12 {
		from := 4 * (i % 2)
		e := server.Entry{ID: fmt.Sprint(i), Service: "s", Address: fmt.Sprintf("%d:1", i), Domain: fmt.Sprint("d", i/6), Slots: 100, Accelerator: "l4", From: from, To: from + 4}
		all = append(all, server.Change{ID: e.ID, Entry: e})
	}
	table.Apply(all, true, 0)
	s.Name = "s"
	s.Engine.Layers, s.Engine.LayerMemory, s.Engine.TokenMemory = 8, 1750, 426000
	s.Engine.StepTime, s.Engine.StepTimePerRequest, s.Engine.InterDomainMbps, s.Engine.ActivationBytes = time.Millisecond, 100*time.Microsecond, 9300, 21300
	r := New(Config{
		Servers: table, Domain: "d0", Log: zerolog.Nop(),
		PeerReport: func() (time.Duration, int) { return time.Second / 2, 50 },
		PeerLoad: func(id string) (int, int64) {
			if id == "0" || id == "1" {
				return 10, 1000
			}
			return 14, 1400
		},
	})
	return r, &Request{Service: s, PromptTokens: 100, MaxAnswerTokens: 100}
}

func service(competing bool, factors ...float64) config.Service {
	s := config.Service{Engine: &config.Engine{Accelerators: map[string]config.Accelerator{}}}
	for i, f := range factors {
		s.Engine.Accelerators[fmt.Sprint("k", i)] = config.Accelerator{StepFactor: f}
	}
	if competing {
		s.Urgencies = []config.Urgency{{Route: 0}, {Route: 1}}
	}
	s.Engine.Accelerators["l4"] = config.Accelerator{Memory: 21600, StepFactor: 16}
	return s
}

// Guards against corrected loads for services whose engines are alike: their choice must not change.
func TestOtherServicesKeepReportedLoad(t *testing.T) {
	for name, c := range map[string]struct {
		service   config.Service
		corrected bool
	}{
		"alike": {service(false, 5.6), false}, "uneven": {service(false, 2), true}, "competing": {service(true, 5.6), true},
	} {
		t.Run(name, func(t *testing.T) {
			r, req := newBalancedRelay(c.service)
			r.spread.Begin("s", 0)
			all := r.cfg.Servers.Servers("s")
			ps := r.newPathSearch(req, all, false)
			assert.Equal(t, ps.view != nil, c.corrected)
			for _, s := range all {
				got := r.candidate(s, ps)
				streams, tokens := r.cfg.PeerLoad(s.ID())
				assert.Equal(t, got.Used, float64(tokens)) // what an engine can still take is decided by reports
				if c.corrected {
					assert.Assert(t, got.Unseen != 0)
					continue
				}
				assert.Equal(t, got.Unseen, 0.0)
				assert.Equal(t, got.LayerSeconds, (0.001+float64(streams)*0.0001)*16/8)
			}
			assert.Equal(t, ps.staysLocal(path.Request{To: 8, NextDomain: path.NoDomain}), c.corrected)
		})
	}
}

// Guards against streams that all take the engines with the least reported load, and against paths across failure
// domains for it.
func TestCorrectedLoadSpreadsStreams(t *testing.T) {
	r, req := newBalancedRelay(service(false, 2))
	used := map[string]int{}
	for range 200 {
		p, ok := r.searchPath(req, nil, 0, &choice{})
		assert.Assert(t, ok && len(p.hops) == 2)
		used[p.hops[0].Address]++
		used[p.hops[1].Address]++
		assert.Equal(t, p.serverAt(p.hops[0].Address).Domain(), p.serverAt(p.hops[1].Address).Domain())
		p.release()
	}
	assert.Assert(t, len(used) >= 8, "%v", used)
	assert.Assert(t, used["0:1"] < 150 && used["1:1"] < 150, "%v", used)
}

// Guards against a service without a path because no failure domain holds all of its layers.
func TestPathAcrossDomainsIfNecessary(t *testing.T) {
	r, req := newBalancedRelay(service(false, 2))
	var gone []server.Change
	for _, s := range r.cfg.Servers.Servers("s") {
		if (s.Domain() == "d0") == (s.Entry().From == 0) {
			gone = append(gone, server.Change{ID: s.ID(), Removed: true})
		}
	}
	r.cfg.Servers.Apply(gone, false, 0)
	p, ok := r.searchPath(req, nil, 0, &choice{})
	assert.Assert(t, ok && len(p.hops) == 2)
}
