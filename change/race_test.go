package change

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/spec"
	"github.com/cranberrybay/cranberrybay/table"
)

// TestMain sets a fixed seed and number of runs for rapid. Flags on the command
// line override them.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// operator edits a directory of documents and publishes it through any process.
type operator struct {
	mu           sync.Mutex
	name, source string
	base         uint64
	files        map[string]string // document texts by account name
	publications int
	busy         bool
}

// accountText returns the text of an account document.
func accountText(name string, rate int) string {
	return fmt.Sprintf("[account]\nname = %q\nkeys = [%q]\nrate = %d\n", name, spec.HashKey(name), rate)
}

// publish makes a random edit in the directory and publishes it through a
// process.
func (o *operator) publish(sim *simulation, p *proc, rnd *rand.Rand) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.busy {
		return
	}
	o.busy, o.publications = true, o.publications+1
	name := fmt.Sprintf("acct-%d", rnd.IntN(6))
	switch n := rnd.IntN(10); {
	case n == 0:
		delete(o.files, name)
	case n == 1 && o.name == "apprentice":
		o.files[name] = strings.Replace(accountText(name, 1), "rate = 1", "rate = -1", 1)
	default:
		o.files[name] = accountText(name, o.publications*10+len(o.name))
	}
	rq := Request{ID: fmt.Sprintf("%s-%d", o.name, o.publications), Author: o.name, Source: o.source, Base: o.base, Adopt: rnd.IntN(3) == 0}
	for _, n := range slices.Sorted(maps.Keys(o.files)) {
		rq.Files = append(rq.Files, File{Path: n + spec.Suffix, Text: o.files[n]})
	}
	go func() {
		res, err := sim.publish(p, rq)
		o.mu.Lock()
		defer o.mu.Unlock()
		if err == nil {
			o.base = res.Version
		} else if c := fault.CodeOf(err); c == fault.Conflict || c == fault.Invalid {
			o.pull(p)
		}
		o.busy = false
	}()
}

// pull replaces the directory by what is in effect in a process, as an operator
// does after a conflict.
func (o *operator) pull(p *proc) {
	st := p.now().store.current.Load()
	o.base, o.files = st.version, map[string]string{}
	for _, d := range st.tree.Documents() {
		if st.lastChanges[d.ID()].Source == o.source {
			o.files[d.Name()] = string(d.Text())
		}
	}
}

// step is one random event of a run.
type step struct {
	Kind, Proc, Count int
	Pause, Length     time.Duration
}

// steps generates the events of a run.
func steps() *rapid.Generator[[]step] {
	ms := func(low, high int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(low, high), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
	}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind: rapid.IntRange(0, 17).Draw(t, "kind"), Proc: rapid.IntRange(0, 3).Draw(t, "proc"),
			Count: rapid.IntRange(1, 3).Draw(t, "count"), Pause: ms(0, 1500).Draw(t, "pause"), Length: ms(100, 15000).Draw(t, "length"),
		}
	}), 40, 120)
}

// run executes the steps in virtual time. It returns the properties that were
// violated.
func run(t *testing.T, seed uint64, all []step, alter func(*simulation)) (err error) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		rnd := rand.New(rand.NewPCG(seed, 2))
		sim := newSimulation(ctx, 4, rnd)
		alter(sim)
		sim.start()
		go sim.watch(ctx)
		ops := []*operator{
			{name: "asha", source: "shop", files: map[string]string{}},
			{name: "bina", source: "shop", files: map[string]string{}},
			{name: "apprentice", source: "night", files: map[string]string{}},
		}
		for _, s := range all {
			sim.step(s, ops, rnd)
			time.Sleep(s.Pause)
		}
		time.Sleep(30 * time.Second) // until the faults have ended
		sim.table.SetFaults(fakes.PlatformFaults{})
		for _, p := range sim.procs {
			p.link.SetFaults(fakes.PlatformFaults{})
		}
		time.Sleep(20 * time.Second)
		err = sim.verify(ctx)
		cancel()
		time.Sleep(time.Minute)
	})
	return err
}

// step executes one event.
func (sim *simulation) step(s step, ops []*operator, rnd *rand.Rand) {
	p, now := sim.procs[s.Proc], time.Now()
	faults := func(set func(*fakes.PlatformFaults), unset func(*fakes.PlatformFaults)) {
		sim.table.UpdateFaults(set)
		time.AfterFunc(s.Length, func() { sim.table.UpdateFaults(unset) })
	}
	switch s.Kind {
	default:
		ops[rnd.IntN(len(ops))].publish(sim, p, rnd)
	case 9: // the table is unavailable to all processes
		sim.disturbed(now.Add(s.Length), sim.procs...)
		faults(func(f *fakes.PlatformFaults) { f.Down = true }, func(f *fakes.PlatformFaults) { f.Down = false })
	case 10: // the table is unavailable to one process
		sim.disturbed(now.Add(s.Length), p)
		p.link.SetFaults(fakes.PlatformFaults{Down: true})
		time.AfterFunc(s.Length, func() { p.link.SetFaults(fakes.PlatformFaults{}) })
	case 11: // slow table calls
		// The delay is up to 0.25 s a call. With 0.5 s and one publication a
		// second, a starting process can need more than 5 s to read a head row
		// that does not change during the load.
		faults(func(f *fakes.PlatformFaults) { f.Delay = s.Length / 60 }, func(f *fakes.PlatformFaults) { f.Delay = 0 })
	case 12: // lost replies
		faults(func(f *fakes.PlatformFaults) { f.LostReplies = s.Count }, func(*fakes.PlatformFaults) {})
	case 13: // dropped transactions
		faults(func(f *fakes.PlatformFaults) { f.LostCommits = s.Count }, func(*fakes.PlatformFaults) {})
	case 14: // transactions applied late
		faults(func(f *fakes.PlatformFaults) { f.LateCommits, f.CommitDelay = s.Count, s.Length/2 }, func(*fakes.PlatformFaults) {})
	case 15: // stale reads
		faults(func(f *fakes.PlatformFaults) { f.StaleReads = s.Count }, func(*fakes.PlatformFaults) {})
	case 16:
		p.pause(s.Length)
	case 17:
		p.restart()
	}
}

// TestRace checks under concurrent publications and faults that no accepted
// change is lost, that no process returns to an older version, that every
// accepted version is in effect within 5 s, and that the audit trail matches
// the accepted publications.
func TestRace(t *testing.T) {
	versions := uint64(0)
	rapid.Check(t, func(rt *rapid.T) {
		all := steps().Draw(rt, "steps")
		seed := rapid.Uint64().Draw(rt, "seed")
		var sim *simulation
		if err := run(t, seed, all, func(s *simulation) { sim = s }); err != nil {
			rt.Fatal(err)
		}
		versions += uint64(len(sim.applied))
	})
	t.Logf("%d versions were accepted", versions)
}

// TestRaceChecks checks that TestRace detects each kind of fault: it injects
// the fault and expects the failure.
func TestRaceChecks(t *testing.T) {
	for name, tc := range map[string]struct {
		want  string
		alter func(*simulation)
	}{
		"no condition on the head row": {"lost: publication", func(sim *simulation) {
			sim.commit = func(next *table.Client, ctx context.Context, b table.Batch) (uint64, error) {
				b.Conditions = nil
				return next.Commit(ctx, b)
			}
		}},
		"base version ignored": {"its operator saw version", func(sim *simulation) {
			sim.adjust = func(p *Publisher) { p.plan = planWithoutBase }
		}},
		"guessed outcome": {"was refused and is in effect", func(sim *simulation) {
			sim.adjust = func(p *Publisher) {
				p.readOutcome = func(p *Publisher, ctx context.Context, a *transaction) (outcome, error) {
					if o, err := p.readOutcomeFromRecord(ctx, a); err != nil || o == outcomeApplied {
						return o, err
					}
					return outcomeRejected, nil
				}
			}
		}},
		"old snapshot trusted": {"returned from version", func(sim *simulation) {
			sim.fetch = func(*proc, uint64) ([]Record, error) { return nil, nil }
		}},
		"slow polling": {"is not in effect after", func(sim *simulation) {
			sim.setup = func(c *StoreConfig) { c.Announce, c.Live = nil, func() int { return 1000 } }
		}},
		"no audit entry": {"audit", func(sim *simulation) {
			sim.commit = func(next *table.Client, ctx context.Context, b table.Batch) (uint64, error) {
				b.Writes = slices.DeleteFunc(slices.Clone(b.Writes), func(x table.Write) bool { return strings.HasPrefix(x.Key, auditPrefix) })
				return next.Commit(ctx, b)
			}
		}},
		"altered record": {"violations", func(sim *simulation) {
			sim.fetch = func(from *proc, after uint64) ([]Record, error) {
				rs, err := from.now().store.Records(after)
				for i := range rs {
					rs[i].Docs = nil
				}
				return rs, err
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			var err error
			for seed := range 40 {
				err = run(t, uint64(seed), steps().Example(seed), tc.alter)
				if err != nil && strings.Contains(err.Error(), tc.want) {
					return
				}
			}
			assert.ErrorContains(t, errors.Join(err, errors.New("last of 40 runs")), tc.want)
		})
	}
}

// planWithoutBase is newPlan without the check of the version that the operator
// saw.
func planWithoutBase(st *state, rq *Request, docs []*spec.Document, engines []spec.EngineCapacity, now time.Time) (*plan, error) {
	unchecked := *rq
	unchecked.Base = st.version
	return newPlan(st, &unchecked, docs, engines, now)
}
