package path_test

import (
	"math"
	"math/rand"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrybay/cranberrybay/path"
)

const layers = 12

func engine(name string, domain, from, to int) path.Engine {
	return path.Engine{Name: name, Domain: domain, From: from, To: to, LayerPass: 1e-4, LayerPrefill: 1e-6, Capacity: 1e6, Slots: 10}
}

func links(domains int) path.LinkCosts {
	l := path.LinkCosts{Near: 1e-4, Token: 2e-5}
	for i := range domains {
		row := make([]float64, domains)
		for j := range row {
			if i != j {
				row[j] = 6e-4
			}
		}
		l.Far = append(l.Far, row)
	}
	return l
}

func want() path.Request {
	return path.Request{Layers: layers, Next: path.NoDomain, Prompt: 800, Answer: 150}
}

// checkTiles fails unless the hops run every layer once and in order, each on an
// engine that holds it, and no engine twice.
func checkTiles(t interface {
	Helper()
	Fatalf(string, ...any)
}, w path.Request, engines []path.Engine, hops []path.Hop,
) {
	t.Helper()
	at, seen := w.From, map[int]bool{}
	for _, h := range hops {
		e := engines[h.Engine]
		if h.From != at || h.To <= h.From || h.From < e.From || h.To > e.To || seen[h.Engine] || w.Excluded[e.Name] {
			t.Fatalf("hop %+v of %v does not fit %+v", h, hops, e)
		}
		at, seen[h.Engine] = h.To, true
	}
	if at != w.Layers {
		t.Fatalf("hops %v end at layer %d of %d", hops, at, w.Layers)
	}
}

// Guards against a path that skips, repeats or reorders layers, for any fleet.
func TestTiles(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		domains := rapid.IntRange(1, 4).Draw(rt, "domains")
		n := rapid.IntRange(1, 25).Draw(rt, "engines")
		r := rand.New(rand.NewSource(rapid.Int64().Draw(rt, "seed")))
		var all []path.Engine
		for i := range n {
			from := r.Intn(layers)
			e := engine(string(rune('a'+i)), r.Intn(domains), from, from+1+r.Intn(layers-from))
			e.LayerPass *= 1 + 10*r.Float64()
			e.Used = 1e6 * r.Float64()
			e.Suspect = r.Intn(5) == 0
			all = append(all, e)
		}
		w := want()
		w.Domain = r.Intn(domains)
		w.Excluded = map[string]bool{"c": true}
		if hops, seconds, ok := path.Choose(w, all, links(domains)); ok {
			checkTiles(rt, w, all, hops)
			if seconds <= 0 || math.IsInf(seconds, 0) {
				rt.Fatalf("cost %v", seconds)
			}
		}
	})
}

func names(engines []path.Engine, hops []path.Hop) string {
	s := ""
	for _, h := range hops {
		s += engines[h.Engine].Name
	}
	return s
}

func checkPath(t *testing.T, w path.Request, engines []path.Engine, want string) {
	t.Helper()
	hops, _, ok := path.Choose(w, engines, links(2))
	assert.Equal(t, ok, want != "")
	assert.Equal(t, names(engines, hops), want)
}

// Guards against prompts on the pipe between failure domains while one domain
// can serve alone: 40 streams at once paused for a second there.
func TestStaysInOneDomain(t *testing.T) {
	engines := []path.Engine{engine("a", 0, 0, 6), engine("b", 0, 6, 12), engine("c", 1, 0, 6), engine("d", 1, 6, 12)}
	engines[1].LayerPass *= 1.5
	checkPath(t, want(), engines, "cd")
	w := want()
	w.Excluded = map[string]bool{"c": true}
	checkPath(t, w, engines, "ab")
	w.Excluded["b"] = true
	checkPath(t, w, engines, "ad")
}

// Guards against a new stream on an engine without memory for it, which would
// preempt the newest of its streams.
func TestFullEngineTakesNothing(t *testing.T) {
	engines := []path.Engine{engine("a", 0, 0, 12), engine("b", 1, 0, 12)}
	engines[0].Used = engines[0].Capacity * 0.98
	checkPath(t, want(), engines, "b")
	engines[1].Used = engines[1].Capacity * 0.98
	checkPath(t, want(), engines, "")
}

// Guards against a suspected engine while another path exists, and against no
// path when none does.
func TestSuspectIsLastResort(t *testing.T) {
	engines := []path.Engine{engine("a", 0, 0, 12), engine("b", 1, 0, 12)}
	engines[0].Suspect = true
	checkPath(t, want(), engines, "b")
	checkPath(t, want(), engines[:1], "a")
}

// Guards against more streams than slots at a first engine.
func TestSlotsOfFirst(t *testing.T) {
	engines := []path.Engine{engine("a", 0, 0, 12), engine("b", 1, 0, 12)}
	engines[0].Entries = engines[0].Slots
	checkPath(t, want(), engines, "b")
}

// Guards against a detour that does not fit the hops around it.
func TestPart(t *testing.T) {
	engines := []path.Engine{engine("a", 0, 0, 5), engine("b", 0, 3, 12), engine("c", 1, 2, 9)}
	w := path.Request{From: 4, Layers: 8, Domain: 0, Next: 0, Prompt: 800, Answer: 150}
	hops, _, ok := path.Choose(w, engines, links(2))
	assert.Assert(t, ok)
	checkTiles(t, w, engines, hops)
	assert.Equal(t, names(engines, hops), "b")
}

func BenchmarkChoose(b *testing.B) {
	var engines []path.Engine
	for d := range 3 {
		for i := range 33 {
			engines = append(engines, engine(string(rune('A'+d))+string(rune('a'+i)), d, i*80/33, (i+1)*80/33))
		}
	}
	w := want()
	w.Layers = 80
	l := links(3)
	for b.Loop() {
		path.Choose(w, engines, l)
	}
}
