package spread_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/path"
	"github.com/cranberrybay/cranberrybay/spread"
)

// present takes the best path by the last reports, as relay does for services that are not uneven.
func present(*sim, int, []path.Engine) map[string]bool { return nil }

// corrected is the rule of the package.
func corrected(s *sim, c int, engines []path.Engine) map[string]bool {
	view := s.viewOf(c)
	s.change(c, engines, func(own, reported, perStream float64) float64 {
		return view.Correction(spread.Load{Streams: own, Tokens: own * perStream}, spread.Load{Streams: reported, Tokens: reported * perStream}, perStream).Streams
	})
	return nil
}

// drawn adds a random number of streams to each engine, in the mean share times those that the others have begun
// since their report. Paths stay in a failure domain only if local is set.
func drawn(share float64, local bool) rule {
	return func(s *sim, c int, engines []path.Engine) map[string]bool {
		unseen := share * s.viewOf(c).Unseen()
		s.change(c, engines, func(float64, float64, float64) float64 { return unseen * s.r.ExpFloat64() })
		s.local = local
		return nil
	}
}

// change adds what f returns to the streams of each engine, as relay does.
func (s *sim) change(c int, engines []path.Engine, f func(own, reported, perStream float64) float64) {
	s.local = true
	for i := range engines {
		e := &engines[i]
		own, reported := float64(s.own[c][i]), s.reported(c, i)
		perStream := (simPrompt + simAnswer) * float64(e.To-e.From)
		x := f(own, reported, perStream)
		e.Unseen = x * perStream
		e.LayerSeconds *= s.engines[i].layerSeconds(own+reported+x) / s.engines[i].layerSeconds(own+reported)
	}
}

// twoChoices leaves two random engines of each range and failure domain.
func twoChoices(s *sim, _ int, engines []path.Engine) map[string]bool {
	excluded := map[string]bool{}
	for _, i := range s.r.Perm(len(engines)) {
		if s.keptOf(excluded, i) > 2 {
			excluded[engines[i].Name] = true
		}
	}
	return excluded
}

// subset leaves each chooser the same half of the engines at all times.
func subset(s *sim, c int, _ []path.Engine) map[string]bool { return s.subsets[c] }

// quotas gives each chooser an equal share of the room of each engine, which it knows exactly.
func quotas(s *sim, c int, engines []path.Engine) map[string]bool {
	for i := range engines {
		engines[i] = s.candidate(i, float64(s.own[c][i]*s.choosers))
	}
	return nil
}

// trend continues the change between the last two reports.
func trend(s *sim, c int, engines []path.Engine) map[string]bool {
	last := s.report(c)
	before := last
	for _, r := range s.reports[c%simDomains] {
		if r.at < last.at {
			before = r
		}
	}
	if before.at == last.at {
		return nil
	}
	for i := range engines {
		change := float64(last.total[i]-before.total[i]) / (last.at - before.at).Seconds() * (s.now - last.at).Seconds()
		engines[i] = s.candidate(i, max(float64(last.total[i])+change, 0))
	}
	return nil
}

// ownTimesAll takes each other chooser to have sent to each engine what this one has since the report.
func ownTimesAll(s *sim, c int, engines []path.Engine) map[string]bool {
	last := s.report(c)
	sent := map[int]int{}
	for _, x := range s.sent[c] {
		if x.at > last.at {
			for _, i := range x.engines {
				sent[i]++
			}
		}
	}
	for i := range engines {
		engines[i] = s.candidate(i, float64(last.total[i]+sent[i]*s.choosers))
	}
	return nil
}

// answers takes the load of the last answer of an engine if it is newer than the report.
func answers(s *sim, c int, engines []path.Engine) map[string]bool {
	last := s.report(c)
	for i := range engines {
		if x := s.seen[c][i]; x.at > last.at {
			engines[i] = s.candidate(i, float64(x.streams))
		}
	}
	return nil
}

var rules = []struct {
	name  string
	apply rule
}{
	{"present", present},
	{"two choices", twoChoices},
	{"subset", subset},
	{"quotas", quotas},
	{"trend", trend},
	{"own x n", ownTimesAll},
	{"answers", answers},
	{"drawn 1/4", drawn(0.25, true)},
	{"drawn 1", drawn(1, true)},
	{"drawn 1 wide", drawn(1, false)},
	{"corrected", corrected},
}

// scenarios are the simulated deployments. The room is such that the fast engines of a range can't take all streams.
func scenarios() (names []string, all map[string]scenario) {
	base := scenario{choosers: 102, age: 500 * time.Millisecond, stages: 2, rate: 300, room: 1}
	all = map[string]scenario{}
	add := func(name string, change func(sc *scenario)) {
		sc := base
		change(&sc)
		names = append(names, name)
		all[name] = sc
	}
	add("102 choosers", func(*scenario) {})
	for _, n := range []int{8, 61, 300} {
		add(fmt.Sprintf("%d choosers", n), func(sc *scenario) { sc.choosers = n })
	}
	for _, age := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second} {
		add("age "+age.String(), func(sc *scenario) { sc.age = age })
	}
	add("one range", func(sc *scenario) { sc.stages = 1 })
	add("three ranges", func(sc *scenario) { sc.stages = 3 })
	add("copies", func(sc *scenario) { sc.stages, sc.room = 0, 1.4 })
	add("waves", func(sc *scenario) { sc.stages, sc.room, sc.waves = 0, 1.4, true })
	add("20 of 102 active", func(sc *scenario) { sc.active = 20 })
	add("copies, 20 of 102 active", func(sc *scenario) { sc.active, sc.stages, sc.room = 20, 0, 1.4 })
	add("restart", func(sc *scenario) { sc.room, sc.restart = 1.2, true })
	add("misreport", func(sc *scenario) { sc.lies = true })
	add("fourfold room", func(sc *scenario) { sc.room = 4 })
	add("little room", func(sc *scenario) { sc.room = 0.7 })
	add("copies, little room", func(sc *scenario) { sc.stages, sc.room = 0, 1 })
	add("copies, overload", func(sc *scenario) { sc.stages, sc.room = 0, 0.7 })
	return names, all
}

// TestTable prints the figures of docs/design/spread.md if SPREAD_TABLE is set.
func TestTable(t *testing.T) {
	if os.Getenv("SPREAD_TABLE") == "" {
		t.Skip("set SPREAD_TABLE to print the figures")
	}
	names, all := scenarios()
	const seeds = 3
	for _, name := range names {
		fmt.Printf("%s\n%-12s %7s %7s %7s %7s %7s %7s %7s\n", name, "rule", "spread", "idle", "over", "refused", "wide", "restart", "took")
		for _, r := range rules {
			var sum result
			for seed := range uint64(seeds) {
				sum.add(run(all[name], r.apply, seed))
			}
			fmt.Printf("%-12s %7.2f %7.3f %7.3f %7.3f %7.3f %7.2f %7.2f\n", r.name, sum.spread/seeds, sum.idle/seeds, sum.over/seeds,
				sum.refused/seeds, sum.wide/seeds, sum.restarted/seeds, sum.took/seeds)
		}
	}
}

// Guards against choosers that all take the same engines by an old report (herd effect), against a correction that
// does not work for few or many choosers, for reports of any age or for layered paths, and against one that refuses
// streams or sends them across failure domains for it. Reports of 100 ms cause hardly any imbalance.
func TestCorrectedChoiceIsEven(t *testing.T) {
	names, all := scenarios()
	for _, name := range names {
		if name == "copies, overload" {
			continue // more load than all engines can take, which admission control has to refuse
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before, after := run(all[name], present, 1), run(all[name], corrected, 1)
			assert.Assert(t, after.spread < before.spread, "spread %v, was %v", after.spread, before.spread)
			assert.Assert(t, after.idle <= max(before.idle/2, 0.02), "idle %v, was %v", after.idle, before.idle)
			assert.Assert(t, after.over <= max(before.over/2, 0.01), "over %v, was %v", after.over, before.over)
			assert.Assert(t, after.refused == 0 && after.wide == 0, "%+v", after)
		})
	}
}

// Guards against an engine that is overrun when it is back without streams.
func TestRestartedEngineIsNotOverrun(t *testing.T) {
	_, all := scenarios()
	before, after := run(all["restart"], present, 2), run(all["restart"], corrected, 2)
	assert.Assert(t, after.restarted > 0.5 && after.restarted < before.restarted/2, "%v times the mean, was %v", after.restarted, before.restarted)
	assert.Assert(t, after.over < 0.01, "%v", after.over)
}

// Guards against a choice that trusts what engines report of their load.
func TestMisreportedLoadHasNoEffect(t *testing.T) {
	_, all := scenarios()
	assert.DeepEqual(t, run(all["misreport"], corrected, 3), run(all["102 choosers"], corrected, 3), cmp.AllowUnexported(result{}))
}
