package route_test

import (
	"flag"
	"fmt"
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/route"
)

// The command line may name another seed.
func init() { _ = flag.Set("rapid.seed", "20261204") }

func add(t *fleet.Table, name, domain, version string, first, last int) {
	t.Listed(fleet.State{Name: name, Address: name, Domain: domain, Service: "m"})
	t.Observe(name, fleet.State{Boot: "1", Kind: "a", Model: "m", Version: version, First: first, Last: last, Slots: 8, Ready: true})
}

func chooser(t *fleet.Table, c *route.Cache) *route.Chooser {
	return route.New(route.Config{Fleet: t, Cache: c, Rand: rand.New(rand.NewSource(7))})
}

func want() route.Want { return route.Want{Service: "m", Layers: 24, Domain: "patan"} }

// count chooses n routes and counts the uses of each server.
func count(t *testing.T, c *route.Chooser, w route.Want, n int) map[string]int {
	t.Helper()
	out := map[string]int{}
	for range n {
		r, err := c.Choose(w)
		assert.NilError(t, err)
		assert.Assert(t, r.Tiles(24))
		for _, s := range r.Stages {
			out[s.Name]++
		}
	}
	return out
}

// TestTiles guards against a route that skips or repeats a layer, mixes
// versions or uses a server that it must avoid, over random fleets; and
// against none where one exists.
func TestTiles(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tab := fleet.New(fleet.Config{})
		version := map[string]string{}
		for i := range rapid.IntRange(1, 24).Draw(rt, "servers") {
			first := rapid.IntRange(0, 5).Draw(rt, "first")
			last := rapid.IntRange(first+1, 6).Draw(rt, "last")
			name := fmt.Sprintf("s%d", i)
			version[name] = rapid.SampledFrom([]string{"1", "2"}).Draw(rt, "version")
			add(tab, name, rapid.SampledFrom([]string{"patan", "thamel"}).Draw(rt, "domain"), version[name], first*4, last*4)
		}
		w := want()
		w.Avoid = map[string]bool{"s0": true}
		r, err := chooser(tab, nil).Choose(w)
		if err != nil {
			if exists(tab, w, version, "1", 0) || exists(tab, w, version, "2", 0) {
				rt.Fatalf("a route exists: %v", err)
			}
			if fault.VerdictOf(err) != fault.NotRun {
				rt.Fatalf("verdict %v", fault.VerdictOf(err))
			}
			return
		}
		if !r.Tiles(24) || r.Has("s0") {
			rt.Fatalf("route %v", r)
		}
		for _, s := range r.Stages {
			if version[s.Name] != r.Version {
				rt.Fatalf("route of version %s has %v of version %s", r.Version, s, version[s.Name])
			}
		}
	})
}

// exists searches all routes of a version from a layer on.
func exists(tab *fleet.Table, w route.Want, version map[string]string, v string, at int) bool {
	if at == w.Layers {
		return true
	}
	for _, s := range tab.Servers("m") {
		if s.First == at && version[s.Name] == v && !w.Avoid[s.Name] && exists(tab, w, version, v, s.Last) {
			return true
		}
	}
	return false
}

// three returns a table of three ranges with n servers each, by domain.
func three(n int, domains ...string) *fleet.Table {
	tab := fleet.New(fleet.Config{})
	for r := range 3 {
		for i := range n {
			add(tab, fmt.Sprintf("e%d-%d", r, i), domains[i%len(domains)], "1", r*8, r*8+8)
		}
	}
	return tab
}

// TestHerd guards against all requests of a moment going to the same servers
// while load reports are old.
func TestHerd(t *testing.T) {
	used := count(t, chooser(three(4, "patan"), nil), want(), 400)
	for name, n := range used {
		assert.Assert(t, n > 50 && n < 150, "%s got %d of 400", name, n)
	}
	assert.Equal(t, len(used), 12)
}

// TestLoadSpread guards against work that piles up where this process has
// sent some since the last report.
func TestLoadSpread(t *testing.T) {
	tab := three(4, "patan")
	for range 24 {
		tab.Begin("e1-0")
	}
	assert.Equal(t, count(t, chooser(tab, nil), want(), 100)["e1-0"], 0)
}

// TestLink guards against routes over a link that was measured as bad.
func TestLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := three(4, "patan", "thamel")
		c := chooser(tab, nil)
		for range 10 {
			tab.Hop("patan", "thamel", 200*time.Millisecond)
			tab.Hop("thamel", "patan", 200*time.Millisecond)
		}
		for range 100 {
			r, err := c.Choose(want())
			assert.NilError(t, err)
			for _, s := range r.Stages {
				assert.Equal(t, s.Domain, "patan")
			}
		}
	})
}

// TestSpeed guards against a slow accelerator kind that gets as much work as
// a fast one.
func TestSpeed(t *testing.T) {
	tab := three(4, "patan")
	for r := range 3 {
		for i := range 4 {
			step := 4 * time.Millisecond
			if i == 3 {
				step = 11 * time.Millisecond // under the ratio of ejection
			}
			for range 5 {
				tab.Measured(fmt.Sprintf("e%d-%d", r, i), step)
			}
		}
	}
	assert.Equal(t, count(t, chooser(tab, nil), want(), 100)["e0-3"], 0)
}

// TestKeep guards against a recovery that moves stages which still hold the
// KV cache, or that uses a pair of neighbours whose link failed.
func TestKeep(t *testing.T) {
	tab := three(3, "patan")
	w := want()
	w.Avoid = map[string]bool{"e1-0": true}
	w.Keep = map[string]bool{"e0-0": true, "e2-0": true}
	w.Prompt = 500
	used := count(t, chooser(tab, nil), w, 50)
	assert.Equal(t, used["e0-0"], 50)
	assert.Equal(t, used["e2-0"], 50)

	w.Avoid, w.Pairs = nil, map[route.Pair]bool{{"e0-0", "e1-0"}: true, {"e1-0", "e2-0"}: true}
	w.Keep = map[string]bool{"e0-0": true, "e1-0": true, "e2-0": true}
	used = count(t, chooser(tab, nil), w, 50)
	assert.Equal(t, used["e1-0"], 0)
	assert.Equal(t, used["e0-0"]+used["e2-0"], 100)
}

// TestAffinity guards against a prompt that is sent past its cached prefix,
// and against trust in entries that a gap has made doubtful.
func TestAffinity(t *testing.T) {
	tab, cache := three(4, "patan"), route.NewCache()
	w := want()
	w.Prompt, w.Blocks = 2000, []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}
	var ev []engine.CacheEvent
	for i, b := range w.Blocks {
		ev = append(ev, engine.CacheEvent{Number: uint64(i + 1), Block: b, Stored: true})
	}
	for r := range 3 {
		cache.Merge(fmt.Sprintf("e%d-2", r), engine.CacheEvents{Boot: "1", Events: ev})
	}
	used := count(t, chooser(tab, cache), w, 50)
	assert.Equal(t, used["e0-2"], 50)

	for range 16 {
		tab.Begin("e0-2") // a hint does not outweigh a full server
	}
	assert.Equal(t, count(t, chooser(tab, cache), w, 50)["e0-2"], 0)

	cache.Merge("e1-2", engine.CacheEvents{Boot: "1", Events: []engine.CacheEvent{{Number: 20, Block: 99, Stored: true}}})
	assert.Equal(t, cache.Match("e1-2", w.Blocks), 0, "a gap clears the entries")
	assert.Equal(t, cache.Match("e1-2", []uint64{99}), 1)
	cache.Merge("e2-2", engine.CacheEvents{Boot: "2"})
	assert.Equal(t, cache.Match("e2-2", w.Blocks), 0, "a new incarnation has an empty cache")
}

// TestSeed guards against a choice that the seed does not determine.
func TestSeed(t *testing.T) {
	tab := three(4, "patan")
	a, b := chooser(tab, nil), chooser(tab, nil)
	for range 50 {
		x, err := a.Choose(want())
		assert.NilError(t, err)
		y, err := b.Choose(want())
		assert.NilError(t, err)
		assert.DeepEqual(t, x, y)
	}
}
