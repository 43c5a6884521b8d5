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

// TestMain fixes the seed and the number of randomised runs unless the command
// line sets them.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// operator keeps a directory and publishes it through any process.
type operator struct {
	mu           sync.Mutex
	name, source string
	base         uint64
	files        map[string]string // name of the account to its text
	made         int
	busy         bool
}

func accountText(name string, rate int) string {
	return fmt.Sprintf("[account]\nname = %q\nkeys = [%q]\nrate = %d\n", name, spec.HashKey(name), rate)
}

// publish edits the directory and publishes it.
func (o *operator) publish(w *world, p *proc, rnd *rand.Rand) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.busy {
		return
	}
	o.busy, o.made = true, o.made+1
	name := fmt.Sprintf("acct-%d", rnd.IntN(6))
	switch n := rnd.IntN(10); {
	case n == 0:
		delete(o.files, name)
	case n == 1 && o.name == "apprentice":
		o.files[name] = strings.Replace(accountText(name, 1), "rate = 1", "rate = -1", 1)
	default:
		o.files[name] = accountText(name, o.made*10+len(o.name))
	}
	rq := Request{ID: fmt.Sprintf("%s-%d", o.name, o.made), Author: o.name, Source: o.source, Base: o.base, Adopt: rnd.IntN(3) == 0}
	for _, n := range slices.Sorted(maps.Keys(o.files)) {
		rq.Files = append(rq.Files, File{Path: n + spec.Suffix, Text: o.files[n]})
	}
	go func() {
		res, err := w.publish(p, rq)
		o.mu.Lock()
		defer o.mu.Unlock()
		if err == nil {
			o.base = res.Version
		} else if c := fault.CodeOf(err); c == fault.Conflict || c == fault.Invalid {
			o.merge(p)
		}
		o.busy = false
	}()
}

// merge takes over what is in effect at a process, as after reading a conflict.
func (o *operator) merge(p *proc) {
	st := p.now().store.force.Load()
	o.base, o.files = st.version, map[string]string{}
	for _, d := range st.tree.Documents() {
		if st.origins[d.ID()].Source == o.source {
			o.files[d.Name()] = string(d.Text())
		}
	}
}

// step is one event of a run.
type step struct {
	Kind, Proc, Count int
	Pause, Length     time.Duration
}

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

// run carries out the steps in virtual time and returns what was violated.
func run(t *testing.T, seed uint64, all []step, alter func(*world)) (err error) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		rnd := rand.New(rand.NewPCG(seed, 2))
		w := newWorld(ctx, 4, rnd)
		alter(w)
		w.start()
		go w.watch(ctx)
		ops := []*operator{
			{name: "asha", source: "shop", files: map[string]string{}},
			{name: "bina", source: "shop", files: map[string]string{}},
			{name: "apprentice", source: "night", files: map[string]string{}},
		}
		for _, s := range all {
			w.step(s, ops, rnd)
			time.Sleep(s.Pause)
		}
		time.Sleep(30 * time.Second) // faults end
		w.table.SetFaults(fakes.PlatformFaults{})
		for _, p := range w.procs {
			p.link.SetFaults(fakes.PlatformFaults{})
		}
		time.Sleep(20 * time.Second)
		err = w.verify(ctx)
		cancel()
		time.Sleep(time.Minute)
	})
	return err
}

func (w *world) step(s step, ops []*operator, rnd *rand.Rand) {
	p, now := w.procs[s.Proc], time.Now()
	faults := func(set func(*fakes.PlatformFaults), unset func(*fakes.PlatformFaults)) {
		w.table.UpdateFaults(set)
		time.AfterFunc(s.Length, func() { w.table.UpdateFaults(unset) })
	}
	switch s.Kind {
	default:
		ops[rnd.IntN(len(ops))].publish(w, p, rnd)
	case 9:
		w.disturbed(now.Add(s.Length), w.procs...)
		faults(func(f *fakes.PlatformFaults) { f.Down = true }, func(f *fakes.PlatformFaults) { f.Down = false })
	case 10:
		w.disturbed(now.Add(s.Length), p)
		p.link.SetFaults(fakes.PlatformFaults{Down: true})
		time.AfterFunc(s.Length, func() { p.link.SetFaults(fakes.PlatformFaults{}) })
	case 11:
		// Up to 0.25 s a call. At 0.5 s and one publication a second a process
		// that starts can need more than 5 s to read a head row that stays.
		faults(func(f *fakes.PlatformFaults) { f.Delay = s.Length / 60 }, func(f *fakes.PlatformFaults) { f.Delay = 0 })
	case 12:
		faults(func(f *fakes.PlatformFaults) { f.LostReplies = s.Count }, func(*fakes.PlatformFaults) {})
	case 13:
		faults(func(f *fakes.PlatformFaults) { f.LostCommits = s.Count }, func(*fakes.PlatformFaults) {})
	case 14:
		faults(func(f *fakes.PlatformFaults) { f.LateCommits, f.CommitDelay = s.Count, s.Length/2 }, func(*fakes.PlatformFaults) {})
	case 15:
		faults(func(f *fakes.PlatformFaults) { f.StaleReads = s.Count }, func(*fakes.PlatformFaults) {})
	case 16:
		p.pause(s.Length)
	case 17:
		p.restart()
	}
}

// TestRace guards against a lost change, a process that goes back, a version
// that is not in effect within 5 s, and an audit trail that differs from the
// accepted history, under races and faults.
func TestRace(t *testing.T) {
	versions := uint64(0)
	rapid.Check(t, func(rt *rapid.T) {
		all := steps().Draw(rt, "steps")
		seed := rapid.Uint64().Draw(rt, "seed")
		var w *world
		if err := run(t, seed, all, func(n *world) { w = n }); err != nil {
			rt.Fatal(err)
		}
		versions += uint64(len(w.applied))
	})
	t.Logf("%d versions were accepted", versions)
}

// TestRaceChecks shows that each check of TestRace can fail.
func TestRaceChecks(t *testing.T) {
	for name, tc := range map[string]struct {
		want  string
		alter func(*world)
	}{
		"no condition": {"lost: publication", func(w *world) {
			w.commit = func(next *table.Client, ctx context.Context, b table.Batch) (uint64, error) {
				b.Conditions = nil
				return next.Commit(ctx, b)
			}
		}},
		"no base": {"its operator saw version", func(w *world) {
			w.adjust = func(p *Publisher) { p.plan = planWithoutBase }
		}},
		"guess": {"was refused and is in effect", func(w *world) {
			w.adjust = func(p *Publisher) {
				p.readBack = func(p *Publisher, ctx context.Context, a *attempt) (outcome, error) {
					if o, err := p.readRecord(ctx, a); err != nil || o == applied {
						return o, err
					}
					return refused, nil
				}
			}
		}},
		"old snapshot": {"went back", func(w *world) {
			w.fetch = func(*proc, uint64) ([]Record, error) { return nil, nil }
		}},
		"slow": {"is not in effect after", func(w *world) {
			w.setup = func(c *StoreConfig) { c.Announce, c.Live = nil, func() int { return 1000 } }
		}},
		"no audit": {"audit", func(w *world) {
			w.commit = func(next *table.Client, ctx context.Context, b table.Batch) (uint64, error) {
				b.Writes = slices.DeleteFunc(slices.Clone(b.Writes), func(x table.Write) bool { return strings.HasPrefix(x.Key, auditPrefix) })
				return next.Commit(ctx, b)
			}
		}},
		"altered record": {"violations", func(w *world) {
			w.fetch = func(from *proc, after uint64) ([]Record, error) {
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

func planWithoutBase(st *state, rq *Request, docs []*spec.Document, engines []spec.Engine, now time.Time) (*plan, error) {
	blind := *rq
	blind.Base = st.version
	return newPlan(st, &blind, docs, engines, now)
}
