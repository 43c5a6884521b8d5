package stream_test

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fault"
)

// faultEvent is a fault that an engine has for a while.
type faultEvent struct {
	at     time.Duration
	lasts  time.Duration
	engine string
	kind   string
}

// faultPlan is one randomised run: its callers and its faults.
type faultPlan struct {
	seed          int64
	callers       int
	events        []faultEvent
	disconnecting int // callers that close the connection in the middle of an answer
	copies        int // engines of each layer range that may fail, of three
}

var faultKinds = []string{"dead", "restart", "stall", "slow", "cut", "delay", "skip", "double", "duplicate", "late", "crossed", "refuse"}

// drawFaultPlan draws up to most faults for the given number of engines of each
// layer range. Each fault may occur twice.
func drawFaultPlan(rt *rapid.T, copies, most int) faultPlan {
	p := faultPlan{
		copies:        copies,
		seed:          rapid.Int64Range(1, 1<<30).Draw(rt, "seed"),
		callers:       rapid.IntRange(10, 60).Draw(rt, "callers"),
		disconnecting: rapid.IntRange(0, 5).Draw(rt, "leaving"),
	}
	for range rapid.IntRange(1, most).Draw(rt, "faults") {
		e := faultEvent{
			at:     time.Duration(rapid.IntRange(0, 400).Draw(rt, "at")) * time.Millisecond,
			lasts:  time.Duration(rapid.IntRange(20, 3000).Draw(rt, "lasts")) * time.Millisecond,
			engine: fmt.Sprintf("e%d-%d", rapid.IntRange(0, 2).Draw(rt, "range"), rapid.IntRange(0, copies-1).Draw(rt, "copy")),
			kind:   rapid.SampledFrom(faultKinds).Draw(rt, "kind"),
		}
		p.events = append(p.events, e)
		if rapid.Bool().Draw(rt, "twice") { // the same fault again, shortly after the first has ended
			e.at += e.lasts + 50*time.Millisecond
			p.events = append(p.events, e)
		}
	}
	return p
}

// addFault adds a fault to the faults of an engine.
func (tc *testCluster) addFault(e faultEvent, f *fakes.EngineFaults) {
	switch e.kind {
	case "dead":
		f.Dead = true
	case "restart":
		tc.engines[e.engine].Restart()
	case "stall":
		f.Stall = true
	case "slow":
		f.Slow = 30
	case "cut", "delay":
		l := fakes.StageLinkFault{Cut: e.kind == "cut", Delay: 80 * time.Millisecond}
		f.Links = map[string]fakes.StageLinkFault{}
		for _, n := range tc.names {
			f.Links[n+":1"] = l
		}
	case "skip":
		f.SkipLastLayer = true
	case "double":
		f.RepeatLastLayer = true
	case "duplicate":
		f.DuplicateFrames = true
	case "late":
		f.ReorderFrames = true
	case "crossed":
		f.ForeignFrames = true
	case "refuse":
		f.Refuse = true
	}
}

// injectFaults injects the faults of a plan and returns when they have ended.
func (tc *testCluster) injectFaults(p faultPlan, start time.Time) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	faults := map[string][]faultEvent{}
	update := func(name string) {
		var f fakes.EngineFaults
		for _, e := range faults[name] {
			tc.addFault(e, &f)
		}
		tc.setFaults(name, f)
	}
	for _, e := range p.events {
		wg.Go(func() {
			time.Sleep(time.Until(start.Add(e.at)))
			mu.Lock()
			faults[e.engine] = append(faults[e.engine], e)
			update(e.engine)
			mu.Unlock()
			time.Sleep(e.lasts)
			mu.Lock()
			defer mu.Unlock()
			list := faults[e.engine]
			for i := range list {
				if list[i] == e {
					faults[e.engine] = append(list[:i:i], list[i+1:]...)
					break
				}
			}
			update(e.engine)
		})
	}
	wg.Wait()
}

// simulate runs a plan on virtual time. It returns the answers and the number of
// slots that were still held a second after the last one.
func simulate(t *testing.T, p faultPlan) (all []result, held int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3, p.seed, nil)
		rnd := rand.New(rand.NewSource(p.seed))
		all = make([]result, p.callers)
		start := time.Now()
		var wg sync.WaitGroup
		wg.Go(func() { tc.injectFaults(p, start) })
		for i := range all {
			wait := time.Duration(rnd.Intn(300)) * time.Millisecond
			prompt := fmt.Sprintf("caller %d of run %d, words=%d", i, p.seed, 10+rnd.Intn(120))
			wg.Go(func() {
				time.Sleep(wait)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				all[i] = tc.request(ctx, i, prompt, func(n int) {
					if i < p.disconnecting && n == 8 {
						cancel()
					}
				})
			})
		}
		wg.Wait()
		tc.clearFaults()
		time.Sleep(time.Second)
		for i := range all {
			for _, n := range tc.names {
				all[i].ran = all[i].ran || tc.engines[n].HasComputed(fmt.Sprintf("r%d", i))
			}
		}
		for _, n := range tc.names {
			held += tc.engines[n].UsedSlots()
		}
		tc.stop()
	})
	return all, held
}

// verify checks the results of a plan. heldSlots is the number of slots that engines
// still held a second after the last answer.
func (p faultPlan) verify(all []result, heldSlots int) error {
	for i, a := range all {
		if err := a.check(); err != nil {
			return err
		}
		disconnected := i < p.disconnecting && fault.CodeOf(a.err) == fault.Cancelled
		if a.err == nil || disconnected {
			continue
		}
		if _, ok := fault.RetryAt(a.err); !ok {
			return fmt.Errorf("prompt %q: no retry time: %w", a.prompt, a.err)
		}
		if fault.VerdictOf(a.err) == fault.NotRun && a.ran {
			return fmt.Errorf("prompt %q: ran, but the caller was told that it did not: %w", a.prompt, a.err)
		}
		if p.copies < 3 {
			return fmt.Errorf("prompt %q failed after %d tokens and %d attempts: %w", a.prompt, a.out.Tokens, a.out.Attempts, a.err)
		}
	}
	if heldSlots > 0 {
		return fmt.Errorf("%d slots are held a second after the last answer", heldSlots)
	}
	return nil
}

// TestRandomFaults guards invariants I1 and I2 over many concurrent requests while
// stages and links fail at random, also several at once and repeatedly. One engine
// of each layer range has no faults, so that every request must be served.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawFaultPlan(rt, 2, 4)
		all, held := simulate(t, p)
		if err := p.verify(all, held); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestRandomOutage guards against an answer with a gap, a wrong verdict (invariant
// I3) or a missing retry time when all engines of a layer range may have faults.
func TestRandomOutage(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawFaultPlan(rt, 3, 12)
		all, held := simulate(t, p)
		if err := p.verify(all, held); err != nil {
			rt.Fatal(err)
		}
	})
}
