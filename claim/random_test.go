package claim_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrybay/cranberrybay/claim"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/table"
)

// process is one incarnation of an entry process. While it is paused, each of
// its calls of a port blocks, as all of its goroutines would.
type process struct {
	fakes.Gate
	book *claim.Manager
	name string
	stop context.CancelFunc
}

// plan is one randomised run. The functions are seams for deliberate faults.
type plan struct {
	seed     int64
	lose     float64 // share of table replies that are lost
	drop     float64 // share of the service's answers that are dropped
	refuse   float64 // share of calls that the service refuses, not run
	troubles int     // pauses, kills, outages
	change   func(table.Batch) table.Batch
	word     func(claim.RunStatus, error) (claim.RunStatus, error)
	verdict  func(fault.Verdict) fault.Verdict
	expire   bool // removes every row after the deadline, also those in state "claimed"
}

func sound(p plan) plan {
	p.word = func(w claim.RunStatus, err error) (claim.RunStatus, error) { return w, err }
	p.verdict = func(v fault.Verdict) fault.Verdict { return v }
	return p
}

// world is the state of one run.
type world struct {
	plan
	table   *fakes.Flaky
	rows    *fakes.Table
	runs    *runs
	mu      sync.Mutex
	rand    *rand.Rand
	fleet   []*process
	made    int
	answers []answer
}

func (w *world) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.Intn(n)
}

func (w *world) chance(p float64) bool { return w.draw(1000) < int(p*1000) }

func (w *world) start() *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.made++
	ctx, stop := context.WithCancel(context.Background())
	p := &process{name: fmt.Sprintf("entry/%d", w.made), stop: stop}
	var n atomic.Int64
	p.book = claim.New(claim.Config{
		Table: w.table.Client(p.Pass), Objects: fakes.NewObjects().Client(), Holder: p.name, Retention: keep, MaxClockSkew: 5 * time.Second, MaxBatchRows: 8,
		Rand:        rand.New(rand.NewSource(w.seed)),
		NewID:       func() string { return fmt.Sprintf("%s/%d", p.name, n.Add(1)) },
		QueryHolder: w.ask,
	})
	go p.book.Run(ctx)
	w.fleet = append(w.fleet, p)
	return p
}

func (w *world) live() []*process {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*process
	for _, p := range w.fleet {
		if !p.Killed() {
			out = append(out, p)
		}
	}
	return out
}

// ask is the link between processes.
func (w *world) ask(ctx context.Context, holder, id string) (claim.RunStatus, error) {
	for _, p := range w.live() {
		if p.name == holder {
			if p.Paused() || w.chance(0.05) {
				<-ctx.Done()
				return w.word(claim.StatusUnknown, ctx.Err())
			}
			return w.word(p.book.RunStatus(id), nil)
		}
	}
	return w.word(claim.StatusUnknown, fakes.ErrKilled)
}

// serve is one call of a plain service as the proxy reports it.
func (w *world) serve(key, call string) (claim.Outcome, error) {
	time.Sleep(time.Duration(w.draw(300)) * time.Millisecond)
	if w.chance(w.refuse) {
		return claim.Outcome{}, fault.New(fault.Config{Verdict: w.verdict(fault.NotRun), Code: fault.Leaving})
	}
	o := w.runs.run(key, call)
	if w.chance(w.drop) {
		return claim.Outcome{}, fault.New(fault.Config{Verdict: w.verdict(fault.MayHaveRun), Code: fault.Unavailable})
	}
	return o, nil
}

// request does at a process what the entry listener does with a call.
func (w *world) request(p *process, key, call string) (a answer) {
	a = answer{key: key, call: call}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	end := func(v fault.Verdict, body string) answer {
		if p.Pass() == nil { // a dead process answers nothing
			a.verdict, a.body, a.at = v, body, time.Now()
		}
		return a
	}
	c, o, err := p.book.Begin(ctx, claim.Key{Key: key}, digest)
	if err != nil {
		return end(fault.VerdictOf(err), "")
	}
	if o != nil {
		a.replayed = true
		return end(fault.Ran, string(o.Body))
	}
	if w.chance(0.1) { // paused between the claim and its use
		p.Pause(time.Duration(w.draw(w.draw(400)+1)) * time.Second)
	}
	if p.Pass() != nil {
		return a
	}
	if err = p.book.Start(ctx, c); err == nil {
		if w.chance(0.1) { // paused between the start and the first byte
			p.Pause(time.Duration(w.draw(w.draw(400)+1)) * time.Second)
		}
		if p.Pass() != nil {
			return a
		}
		var got claim.Outcome
		if got, err = w.serve(key, call); err == nil {
			o = &got
		}
	}
	if p.Pass() != nil {
		return a
	}
	ctx, cancel = context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	switch {
	case err == nil:
		_ = p.book.Finish(ctx, c, *o)
		return end(fault.Ran, string(o.Body))
	case fault.VerdictOf(err) == fault.NotRun:
		_ = p.book.Release(ctx, c)
	default:
		_ = p.book.Abandon(ctx, c)
	}
	return end(fault.VerdictOf(err), "")
}

// caller places its orders one after another, each at several processes.
func (w *world) caller(n, group int) {
	for i := range 6 {
		key := fmt.Sprintf("order-%d-%d", group, i)
		for try := range 6 {
			live := w.live()
			p := live[w.draw(len(live))]
			a := w.request(p, key, fmt.Sprintf("%d-%d-%d", n, i, try))
			w.mu.Lock()
			w.answers = append(w.answers, a)
			w.mu.Unlock()
			if a.verdict == fault.Ran && w.chance(0.7) {
				break
			}
			time.Sleep(time.Duration(w.draw(3000)) * time.Millisecond)
		}
	}
}

// trouble pauses, kills and replaces processes and disturbs the table.
func (w *world) trouble() {
	for range w.troubles {
		time.Sleep(time.Duration(w.draw(4000)) * time.Millisecond)
		live := w.live()
		switch p := live[w.draw(len(live))]; w.draw(6) {
		case 0:
			p.Pause(time.Duration(w.draw(4)*w.draw(30)) * time.Second)
		case 1:
			p.Pause(3 * keep) // longer than outcomes are kept
		case 2:
			w.start()
			p.Kill()
			p.stop()
		case 3:
			down, hang := w.chance(0.5), w.chance(0.3)
			w.table.Set(func(t *fakes.Trouble) { t.Down, t.Hang = down, hang })
			time.Sleep(time.Duration(w.draw(20)) * time.Second)
			w.heal()
		case 4:
			w.table.Set(func(t *fakes.Trouble) { t.Slow = 2 * time.Second })
		default:
			w.heal()
		}
	}
	w.heal()
}

// heal ends all trouble of the table but for lost replies.
func (w *world) heal() { w.table.Set(func(t *fakes.Trouble) { *t = fakes.Trouble{Lose: w.lose} }) }

// removeAll removes rows that are older than outcomes are kept.
func (w *world) removeAll() {
	c, seen := w.rows.Client(), map[string]time.Time{}
	for range 200 {
		time.Sleep(5 * time.Second)
		rows, _ := c.ScanAll(context.Background(), "claim/")
		for _, r := range rows {
			id := fmt.Sprint(r.Key(), r.Revision())
			if at, ok := seen[id]; !ok {
				seen[id] = time.Now()
			} else if time.Since(at) > keep {
				var b table.Batch
				_, _ = c.Commit(context.Background(), *b.Delete(r.Key()))
			}
		}
	}
}

// play runs a plan and returns what the check finds.
func play(t *testing.T, p plan) (*world, error) {
	rows := fakes.NewTable()
	w := &world{plan: p, rows: rows, table: fakes.NewFlaky(rows, p.seed), runs: newRuns(), rand: rand.New(rand.NewSource(p.seed))}
	w.table.Change = p.change
	w.heal()
	synctest.Test(t, func(*testing.T) {
		for range 3 {
			w.start()
		}
		var wg sync.WaitGroup
		for n := range 12 {
			wg.Go(func() { w.caller(n, n/2) }) // two callers share each key
		}
		wg.Go(w.trouble)
		if p.expire {
			wg.Go(w.removeAll)
		}
		wg.Wait()
		time.Sleep(4 * keep) // paused processes wake up
		w.lose = 0
		w.heal()
		w.caller(12, 0) // repeats after everything has healed
		for _, p := range w.live() {
			p.stop()
		}
		time.Sleep(time.Minute)
	})
	return w, w.runs.check(w.answers)
}

// TestAtMostOnce guards I3 and I4: over randomised runs with several entry
// processes no work runs twice, nothing that was answered not-run has run, and
// every replay equals the first answer.
func TestAtMostOnce(t *testing.T) {
	count := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		p := sound(plan{
			seed: rapid.Int64().Draw(rt, "seed"), lose: rapid.Float64Range(0, 0.4).Draw(rt, "lose"),
			drop: rapid.Float64Range(0, 0.3).Draw(rt, "drop"), refuse: rapid.Float64Range(0, 0.3).Draw(rt, "refuse"),
			troubles: rapid.IntRange(0, 25).Draw(rt, "troubles"),
		})
		w, err := play(t, p)
		if err != nil {
			rt.Fatalf("%v (plan %+v)", err, p.seed)
		}
		for _, a := range w.answers {
			count[a.verdict.String()]++
			if a.replayed {
				count["replayed"]++
			}
		}
		count["works"] += len(w.runs.byKey)
	})
	t.Log(count)
	for _, name := range []string{"ran", "not-run", "may-have-run", "replayed", "works"} {
		assert.Assert(t, count[name] > 100, "the runs hardly reach %s: %v", name, count)
	}
}

// TestCheckFails shows that the check finds each kind of violation, by faults
// put in through seams.
func TestCheckFails(t *testing.T) {
	base := plan{lose: 0.2, drop: 0.3, refuse: 0.1, troubles: 20}
	for name, spoil := range map[string]func(*plan){
		"takeover of an unreachable holder's claim": func(p *plan) {
			p.word = func(w claim.RunStatus, err error) (claim.RunStatus, error) {
				if err != nil {
					return claim.StatusNotRun, nil
				}
				return w, nil
			}
		},
		"writes without conditions": func(p *plan) {
			p.change = func(b table.Batch) table.Batch { b.Conditions = nil; return b }
		},
		"rows of paused holders removed": func(p *plan) { p.expire = true },
		"changed outcome": func(p *plan) {
			p.change = func(b table.Batch) table.Batch {
				b.Writes = append([]table.Write(nil), b.Writes...)
				for i, o := range b.Writes {
					b.Writes[i].Value = bytes.Replace(o.Value, []byte(`"body":"`), []byte(`"body":"AAAA`), 1)
				}
				return b
			}
		},
		"dropped answer taken as not run": func(p *plan) {
			p.verdict = func(fault.Verdict) fault.Verdict { return fault.NotRun }
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(30) {
				p := sound(base)
				p.seed = seed
				spoil(&p)
				if _, err := play(t, p); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("30 runs with the fault passed the check")
		})
	}
}
