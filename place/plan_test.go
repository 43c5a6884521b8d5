package place_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/place"
)

var domains = []string{"thamel", "patan", "bhaktapur"}

// wish returns a wish for copies of two ranges of 100 MB each.
func wish(version string, copies int) place.Wish {
	return place.Wish{Name: "w", Service: "s", Model: "m", Version: version, Ranges: [][2]int{{0, 10}, {10, 20}}, Copies: copies, Memory: 10}
}

// part returns the part of a version with range r of the wish.
func part(version string, r int) engine.Part {
	return engine.Part{Model: "m", Version: version, First: r * 10, Last: r*10 + 10, Size: 100}
}

// server returns an engine that serves the first of its parts.
func server(i, memory int, parts ...engine.Part) place.Server {
	s := place.Server{Name: fmt.Sprintf("e%02d", i), Domain: domains[i%3], Service: "s", Status: place.Known, Memory: memory}
	for k, p := range parts {
		s.Parts = append(s.Parts, engine.PartState{Part: p, Ready: true})
		if k == 0 {
			s.Serve = &p
		}
	}
	return s
}

// applyPlans checks and applies plans until one is empty and returns the engines
// that serve each part.
func applyPlans(t *testing.T, s place.State) map[engine.Part][]place.Server {
	t.Helper()
	for range 50 {
		r := place.Plan(s)
		assert.NilError(t, place.Check(s, r))
		if len(r.Actions) == 0 {
			out := map[engine.Part][]place.Server{}
			for _, sv := range s.Servers {
				if sv.Serve != nil && sv.Status == place.Known {
					out[*sv.Serve] = append(out[*sv.Serve], sv)
				}
			}
			return out
		}
		for _, a := range r.Actions {
			for i := range s.Servers {
				if s.Servers[i].Name == a.Server {
					apply(&s.Servers[i], a)
				}
			}
		}
	}
	t.Fatal("50 plans did not reach a state without further actions")
	return nil
}

// apply carries out an action on an engine.
func apply(sv *place.Server, a place.Action) {
	sv.Parts = nil
	total := 0
	for _, p := range a.Hold {
		sv.Parts = append(sv.Parts, engine.PartState{Part: p, Ready: true})
		total += p.Size
	}
	if total > sv.Memory {
		panic(fmt.Sprintf("%s holds %d MB of %d", sv.Name, total, sv.Memory))
	}
	sv.Serve = a.Serve
}

func fleet(n, memory int, parts func(i int) []engine.Part) []place.Server {
	var out []place.Server
	for i := range n {
		out = append(out, server(i, memory, parts(i)...))
	}
	return out
}

func empty(int) []engine.Part { return nil }

// TestPlan guards against wishes that are not met, copies that share a failure
// domain, and a change of version that does not complete.
func TestPlan(t *testing.T) {
	old := func(i int) []engine.Part { return []engine.Part{part("1", i%2)} }
	cases := []struct {
		name    string
		servers []place.Server
		wish    place.Wish
		copies  int // least copies of each range of the wished version after all plans
	}{
		{"empty engines", fleet(6, 100, empty), wish("1", 2), 2},
		{"too few engines", fleet(3, 100, empty), wish("1", 2), 1},
		{"new version, spare engines", append(fleet(4, 100, old), fleet(8, 100, empty)[4:]...), wish("2", 2), 2},
		{"new version, room for both", fleet(4, 200, old), wish("2", 2), 2},
		{"new version, no room, two copies", fleet(4, 100, old), wish("2", 2), 2},
		{"new version, no room, one copy", fleet(2, 100, old), wish("2", 1), 0},
		{"new version, room for both, one copy", fleet(2, 200, old), wish("2", 1), 1},
		{"too many copies", fleet(6, 100, old), wish("1", 2), 2},
		{"third version over an unused second", fleet(2, 200, func(i int) []engine.Part {
			return []engine.Part{part("1", i%2), part("2", i%2)}
		}), wish("3", 1), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := applyPlans(t, place.State{Wishes: []place.Wish{c.wish}, Servers: c.servers})
			for r := range 2 {
				on := got[part(c.wish.Version, r)]
				assert.Assert(t, len(on) >= c.copies && len(on) <= c.wish.Copies, "range %d has %d copies", r, len(on))
				if c.name == "empty engines" {
					assert.Assert(t, on[0].Domain != on[1].Domain)
				}
			}
		})
	}
}

// TestCopiesSpreadOverDomains guards against copies that stay in one failure domain
// although an engine in another domain is empty.
func TestCopiesSpreadOverDomains(t *testing.T) {
	servers := []place.Server{server(0, 100, part("1", 0)), server(3, 100, part("1", 0)), server(1, 100, part("1", 1)), server(2, 100, part("1", 1)), server(4, 100)}
	got := applyPlans(t, place.State{Wishes: []place.Wish{wish("1", 2)}, Servers: servers})
	on := got[part("1", 0)]
	assert.Equal(t, len(on), 2)
	assert.Assert(t, on[0].Domain != on[1].Domain)
}

// TestLostEngineIsReplaced guards against an engine that is not replaced after it
// is gone, and against one that is replaced after a single missed answer.
func TestLostEngineIsReplaced(t *testing.T) {
	servers := fleet(5, 100, func(i int) []engine.Part {
		if i == 4 {
			return nil
		}
		return []engine.Part{part("1", i%2)}
	})
	s := place.State{Wishes: []place.Wish{wish("1", 2)}, Servers: servers}
	s.Servers[0].Status = place.Uncertain
	assert.Equal(t, len(place.Plan(s).Actions), 0)
	s.Servers[0].Status = place.Gone
	r := place.Plan(s)
	assert.Equal(t, len(r.Actions), 1)
	assert.Equal(t, r.Actions[0].Server, "e04")
	assert.Equal(t, r.Actions[0].LoadMB, 100)
}

// TestCheckFindsLostCopy shows that Check rejects a plan that unloads a last copy.
func TestCheckFindsLostCopy(t *testing.T) {
	s := place.State{Servers: fleet(2, 100, func(i int) []engine.Part { return []engine.Part{part("1", i)} })}
	bad := place.Result{Actions: []place.Action{{Server: "e01"}}}
	assert.ErrorContains(t, place.Check(s, bad), "last ready copy")
}

// TestShortfallIsReported guards against a wish that can't be met and is not
// reported.
func TestShortfallIsReported(t *testing.T) {
	r := place.Plan(place.State{Wishes: []place.Wish{wish("1", 2)}, Servers: fleet(3, 100, empty)})
	assert.Equal(t, len(r.Shortfalls), 1)
}

// largeState returns a state of n engines that serve 8 ranges of each model; one
// engine is empty, as after its replacement.
func largeState(n int) place.State {
	var s place.State
	models := max(1, n/444)
	for i := range n {
		m := fmt.Sprintf("m%d", i%models)
		k := i / models
		p := engine.Part{Model: m, Version: "1", First: k % 8 * 10, Last: k%8*10 + 10, Size: 100}
		sv := server(i, 200, p)
		sv.Name, sv.Service = fmt.Sprintf("e%05d", i), m
		s.Servers = append(s.Servers, sv)
	}
	s.Servers[0].Parts, s.Servers[0].Serve = nil, nil
	for m := range models {
		w := place.Wish{Name: fmt.Sprint("w", m), Service: fmt.Sprint("m", m), Model: fmt.Sprint("m", m), Version: "1", Copies: n / models / 8, Memory: 10}
		for r := range 8 {
			w.Ranges = append(w.Ranges, [2]int{r * 10, r*10 + 10})
		}
		s.Wishes = append(s.Wishes, w)
	}
	return s
}

// BenchmarkPlan measures one plan and its check, after the replacement of an engine
// and after a change of version.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{40, 400, 4000} {
		for _, version := range []string{"1", "2"} {
			s := largeState(n)
			for i := range s.Wishes {
				s.Wishes[i].Version = version
			}
			b.Run(fmt.Sprintf("workers=%d/version=%s", n, version), func(b *testing.B) {
				for b.Loop() {
					r := place.Plan(s)
					if place.Check(s, r) != nil {
						b.Fatal("unsafe plan")
					}
				}
			})
		}
	}
}
