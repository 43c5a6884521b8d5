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
	return path.Engine{Name: name, Domain: domain, From: from, To: to, LayerSeconds: 1e-4, LayerPrefill: 1e-6, Capacity: 1e6, Slots: 10}
}

func linkCosts(domains int) path.LinkCosts {
	l := path.LinkCosts{SameDomain: 1e-4, LinkPerToken: 2e-5}
	for i := range domains {
		row := make([]float64, domains)
		for j := range row {
			if i != j {
				row[j] = 6e-4
			}
		}
		l.CrossDomain = append(l.CrossDomain, row)
	}
	return l
}

func request() path.Request {
	return path.Request{To: layers, NextDomain: path.NoDomain, Prompt: 800, Answer: 150}
}

// checkCoverage fails unless the hops run every layer once and in order, each on an engine
// that holds it, and no engine twice.
func checkCoverage(t interface {
	Helper()
	Fatalf(string, ...any)
}, req path.Request, engines []path.Engine, hops []path.Hop,
) {
	t.Helper()
	at, seen := req.From, map[int]bool{}
	for _, h := range hops {
		e := engines[h.Engine]
		if h.From != at || h.To <= h.From || h.From < e.From || h.To > e.To || seen[h.Engine] || req.Excluded[e.Name] {
			t.Fatalf("hop %+v of %v does not fit %+v", h, hops, e)
		}
		at, seen[h.Engine] = h.To, true
	}
	if at != req.To {
		t.Fatalf("hops %v end at layer %d of %d", hops, at, req.To)
	}
}

// Guards against a path that skips, repeats or reorders layers, for random fleets.
func TestPathCoversEachLayerOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		domains := rapid.IntRange(1, 4).Draw(rt, "domains")
		n := rapid.IntRange(1, 25).Draw(rt, "engines")
		r := rand.New(rand.NewSource(rapid.Int64().Draw(rt, "seed")))
		var all []path.Engine
		for i := range n {
			from := r.Intn(layers)
			e := engine(string(rune('a'+i)), r.Intn(domains), from, from+1+r.Intn(layers-from))
			e.LayerSeconds *= 1 + 10*r.Float64()
			e.Used = 1e6 * r.Float64()
			e.Suspect = r.Intn(5) == 0
			all = append(all, e)
		}
		req := request()
		req.Domain = r.Intn(domains)
		req.Excluded = map[string]bool{"c": true}
		if hops, seconds, ok := path.Choose(req, all, linkCosts(domains)); ok {
			checkCoverage(rt, req, all, hops)
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

func checkPath(t *testing.T, req path.Request, engines []path.Engine, want string) {
	t.Helper()
	hops, _, ok := path.Choose(req, engines, linkCosts(2))
	assert.Equal(t, ok, want != "")
	assert.Equal(t, names(engines, hops), want)
}

// Guards against transferring prompts over the link between failure domains while one
// domain can serve alone: 40 streams at once paused for a second there.
func TestPathStaysInOneDomain(t *testing.T) {
	engines := []path.Engine{engine("a", 0, 0, 6), engine("b", 0, 6, 12), engine("c", 1, 0, 6), engine("d", 1, 6, 12)}
	engines[1].LayerSeconds *= 1.5
	checkPath(t, request(), engines, "cd")
	req := request()
	req.Excluded = map[string]bool{"c": true}
	checkPath(t, req, engines, "ab")
	req.Excluded["b"] = true
	checkPath(t, req, engines, "ad")
}

// Guards against a new stream on an engine without memory for it, which would preempt the
// newest of its streams.
func TestFullEngineIsNotChosen(t *testing.T) {
	engines := []path.Engine{engine("a", 0, 0, 12), engine("b", 1, 0, 12)}
	engines[0].Used = engines[0].Capacity * 0.98
	checkPath(t, request(), engines, "b")
	engines[1].Used = engines[1].Capacity * 0.98
	checkPath(t, request(), engines, "")
}

// Guards against choosing a suspected engine while another path exists, and against finding
// no path when there is no other engine.
func TestSuspectIsLastResort(t *testing.T) {
	engines := []path.Engine{engine("a", 0, 0, 12), engine("b", 1, 0, 12)}
	engines[0].Suspect = true
	checkPath(t, request(), engines, "b")
	checkPath(t, request(), engines[:1], "a")
}

// Guards against more streams than slots at a first engine.
func TestSlotsOfFirstEngine(t *testing.T) {
	engines := []path.Engine{engine("a", 0, 0, 12), engine("b", 1, 0, 12)}
	engines[0].FirstStreams = engines[0].Slots
	checkPath(t, request(), engines, "b")
}

// Guards against a replacement for a layer range that does not fit the hops around it.
func TestPathForLayerRange(t *testing.T) {
	engines := []path.Engine{engine("a", 0, 0, 5), engine("b", 0, 3, 12), engine("c", 1, 2, 9)}
	req := path.Request{From: 4, To: 8, Domain: 0, NextDomain: 0, Prompt: 800, Answer: 150}
	hops, _, ok := path.Choose(req, engines, linkCosts(2))
	assert.Assert(t, ok)
	checkCoverage(t, req, engines, hops)
	assert.Equal(t, names(engines, hops), "b")
}

// Guards against unseen load that excludes an engine or does not count: it raises the cost above the share of the
// cache that is scarce, and no engine is refused for it.
func TestUnseenLoadNeverExcludes(t *testing.T) {
	engines := []path.Engine{engine("a", 0, 0, 12), engine("b", 1, 0, 12)}
	engines[0].Unseen = 5 * engines[0].Capacity
	checkPath(t, request(), engines, "b")
	checkPath(t, request(), engines[:1], "a")
	engines[1].Unseen = 6 * engines[1].Capacity
	checkPath(t, request(), engines, "a")
	engines[0].Used = engines[0].Capacity
	engines[0].Unseen = -engines[0].Capacity
	checkPath(t, request(), engines, "b")
}

// Guards against a local path over engines of two failure domains or over a suspected one.
func TestLocalPath(t *testing.T) {
	engines := []path.Engine{engine("a", 0, 0, 6), engine("b", 0, 6, 12), engine("c", 1, 0, 6), engine("d", 1, 6, 12)}
	engines[1].LayerSeconds *= 1e4
	engines[2].LayerSeconds *= 1e4
	checkPath(t, request(), engines, "ad")
	req := request()
	req.Local = true
	engines[1].LayerSeconds *= 2
	checkPath(t, req, engines, "cd")
	engines[3].Suspect = true
	checkPath(t, req, engines, "ab")
	engines[0].Suspect = true
	checkPath(t, req, engines, "")
}

func BenchmarkChoose(b *testing.B) {
	var engines []path.Engine
	for d := range 3 {
		for i := range 33 {
			engines = append(engines, engine(string(rune('A'+d))+string(rune('a'+i)), d, i*80/33, (i+1)*80/33))
		}
	}
	req := request()
	req.To = 80
	l := linkCosts(3)
	for b.Loop() {
		path.Choose(req, engines, l)
	}
}
