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
// its calls to the table or another process blocks, as all of its goroutines
// would.
type process struct {
	fakes.Gate
	manager *claim.Manager
	name    string
	stop    context.CancelFunc
}

// plan holds the parameters of one simulation. The functions let a test add
// deliberate defects.
type plan struct {
	seed          int64
	lose          float64 // share of table replies that are lost
	drop          float64 // share of the service's answers that are dropped
	refuse        float64 // share of calls that the service refuses with verdict NotRun
	disturbances  int     // number of pauses, kills and outages
	alterBatch    func(table.Batch) table.Batch
	alterStatus   func(claim.RunStatus, error) (claim.RunStatus, error)
	verdict       func(fault.Verdict) fault.Verdict
	deleteOldRows bool // deletes every row after the retention, also those in state "claimed"
}

// withoutDefects returns the plan with functions that change nothing.
func withoutDefects(p plan) plan {
	p.alterStatus = func(s claim.RunStatus, err error) (claim.RunStatus, error) { return s, err }
	p.verdict = func(v fault.Verdict) fault.Verdict { return v }
	return p
}

// simulation is the state of one run of a plan.
type simulation struct {
	plan
	table      *fakes.FlakyTable
	rows       *fakes.Table
	executions *executions
	mu         sync.Mutex
	rand       *rand.Rand
	processes  []*process
	started    int
	answers    []answer
}

func (s *simulation) intn(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Intn(n)
}

func (s *simulation) chance(p float64) bool { return s.intn(1000) < int(p*1000) }

func (s *simulation) start() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started++
	ctx, stop := context.WithCancel(context.Background())
	p := &process{name: fmt.Sprintf("entry/%d", s.started), stop: stop}
	var n atomic.Int64
	p.manager = claim.New(claim.Config{
		Table: s.table.Client(p.Wait), Objects: fakes.NewObjectStore().Client(), Holder: p.name, Retention: retention, MaxClockSkew: 5 * time.Second, MaxBatchRows: 8,
		Rand:        rand.New(rand.NewSource(s.seed)),
		NewID:       func() string { return fmt.Sprintf("%s/%d", p.name, n.Add(1)) },
		QueryHolder: s.ask,
	})
	go p.manager.Run(ctx)
	s.processes = append(s.processes, p)
	return p
}

func (s *simulation) live() []*process {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*process
	for _, p := range s.processes {
		if !p.Killed() {
			out = append(out, p)
		}
	}
	return out
}

// ask carries a query for a claim's status between processes.
func (s *simulation) ask(ctx context.Context, holder, id string) (claim.RunStatus, error) {
	for _, p := range s.live() {
		if p.name == holder {
			if p.Paused() || s.chance(0.05) {
				<-ctx.Done()
				return s.alterStatus(claim.StatusUnknown, ctx.Err())
			}
			return s.alterStatus(p.manager.RunStatus(id), nil)
		}
	}
	return s.alterStatus(claim.StatusUnknown, fakes.ErrKilled)
}

// serve simulates one call of a plain service and returns what the proxy reports.
func (s *simulation) serve(key, call string) (claim.Outcome, error) {
	time.Sleep(time.Duration(s.intn(300)) * time.Millisecond)
	if s.chance(s.refuse) {
		return claim.Outcome{}, fault.New(fault.Config{Verdict: s.verdict(fault.NotRun), Code: fault.Leaving})
	}
	o := s.executions.record(key, call)
	if s.chance(s.drop) {
		return claim.Outcome{}, fault.New(fault.Config{Verdict: s.verdict(fault.MayHaveRun), Code: fault.Unavailable})
	}
	return o, nil
}

// request handles one call at a process as the entry listener does.
func (s *simulation) request(p *process, key, call string) (a answer) {
	a = answer{key: key, call: call, began: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	end := func(v fault.Verdict, body string) answer {
		if p.Wait() == nil { // a killed process answers nothing
			a.verdict, a.body, a.at = v, body, time.Now()
		}
		return a
	}
	c, o, err := p.manager.Begin(ctx, claim.Key{Key: key}, digest)
	if err != nil {
		return end(fault.VerdictOf(err), "")
	}
	if o != nil {
		a.replayed = true
		return end(fault.Ran, string(o.Body))
	}
	if s.chance(0.1) { // a pause between the claim and its start
		p.Pause(time.Duration(s.intn(s.intn(400)+1)) * time.Second)
	}
	if p.Wait() != nil {
		return a
	}
	if err = p.manager.Start(ctx, c); err == nil {
		if s.chance(0.1) { // a pause between the start and the first byte sent
			p.Pause(time.Duration(s.intn(s.intn(400)+1)) * time.Second)
		}
		if p.Wait() != nil {
			return a
		}
		var got claim.Outcome
		if got, err = s.serve(key, call); err == nil {
			o = &got
		}
	}
	if p.Wait() != nil {
		return a
	}
	ctx, cancel = context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	switch {
	case err == nil:
		_ = p.manager.Finish(ctx, c, *o)
		return end(fault.Ran, string(o.Body))
	case fault.VerdictOf(err) == fault.NotRun:
		_ = p.manager.Release(ctx, c)
	default:
		_ = p.manager.Abandon(ctx, c)
	}
	return end(fault.VerdictOf(err), "")
}

// caller sends its orders one after another, and repeats each at several
// processes.
func (s *simulation) caller(n, group int) {
	for i := range 6 {
		key := fmt.Sprintf("order-%d-%d", group, i)
		for try := range 6 {
			live := s.live()
			p := live[s.intn(len(live))]
			a := s.request(p, key, fmt.Sprintf("%d-%d-%d", n, i, try))
			s.mu.Lock()
			s.answers = append(s.answers, a)
			s.mu.Unlock()
			if a.verdict == fault.Ran && s.chance(0.7) {
				break
			}
			time.Sleep(time.Duration(s.intn(3000)) * time.Millisecond)
		}
	}
}

// disturb pauses, kills and replaces processes, and makes the table fail, hang or
// slow.
func (s *simulation) disturb() {
	for range s.disturbances {
		time.Sleep(time.Duration(s.intn(4000)) * time.Millisecond)
		live := s.live()
		switch p := live[s.intn(len(live))]; s.intn(6) {
		case 0:
			p.Pause(time.Duration(s.intn(4)*s.intn(30)) * time.Second)
		case 1:
			p.Pause(3 * retention) // longer than the retention
		case 2:
			s.start()
			p.Kill()
			p.stop()
		case 3:
			down, hang := s.chance(0.5), s.chance(0.3)
			s.table.UpdateFaults(func(t *fakes.FlakyFaults) { t.Down, t.Hang = down, hang })
			time.Sleep(time.Duration(s.intn(20)) * time.Second)
			s.restoreTable()
		case 4:
			s.table.UpdateFaults(func(t *fakes.FlakyFaults) { t.MaxDelay = 2 * time.Second })
		default:
			s.restoreTable()
		}
	}
	s.restoreTable()
}

// restoreTable ends all faults of the table except lost replies.
func (s *simulation) restoreTable() {
	s.table.UpdateFaults(func(t *fakes.FlakyFaults) { *t = fakes.FlakyFaults{LossRate: s.lose} })
}

// deleteRows deletes rows that have not changed for longer than the retention.
func (s *simulation) deleteRows() {
	c, seen := s.rows.Client(), map[string]time.Time{}
	for range 200 {
		time.Sleep(5 * time.Second)
		rows, _ := c.ScanAll(context.Background(), "claim/")
		for _, r := range rows {
			id := fmt.Sprint(r.Key(), r.Revision())
			if at, ok := seen[id]; !ok {
				seen[id] = time.Now()
			} else if time.Since(at) > retention {
				var b table.Batch
				_, _ = c.Commit(context.Background(), *b.Delete(r.Key()))
			}
		}
	}
}

// simulate runs a plan and returns the violation that the check finds.
func simulate(t *testing.T, p plan) (*simulation, error) {
	rows := fakes.NewTable()
	s := &simulation{plan: p, rows: rows, table: fakes.NewFlakyTable(rows, p.seed), executions: newExecutions(), rand: rand.New(rand.NewSource(p.seed))}
	s.table.RewriteBatch = p.alterBatch
	s.restoreTable()
	synctest.Test(t, func(*testing.T) {
		for range 3 {
			s.start()
		}
		var wg sync.WaitGroup
		for n := range 12 {
			wg.Go(func() { s.caller(n, n/2) }) // two callers share each key
		}
		wg.Go(s.disturb)
		if p.deleteOldRows {
			wg.Go(s.deleteRows)
		}
		wg.Wait()
		time.Sleep(4 * retention) // paused processes resume
		s.lose = 0
		s.restoreTable()
		s.caller(12, 0) // repeats after all faults have ended
		for _, p := range s.live() {
			p.stop()
		}
		time.Sleep(time.Minute)
	})
	return s, s.executions.check(s.answers)
}

// TestAtMostOnceInRandomRuns checks invariants I3 and I4: in randomised simulations with
// several entry processes no work runs twice, no call answered with not-run has
// run, and every replay equals the first answer.
func TestAtMostOnceInRandomRuns(t *testing.T) {
	count := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		p := withoutDefects(plan{
			seed: rapid.Int64().Draw(rt, "seed"), lose: rapid.Float64Range(0, 0.4).Draw(rt, "lose"),
			drop: rapid.Float64Range(0, 0.3).Draw(rt, "drop"), refuse: rapid.Float64Range(0, 0.3).Draw(rt, "refuse"),
			disturbances: rapid.IntRange(0, 25).Draw(rt, "disturbances"),
		})
		s, err := simulate(t, p)
		if err != nil {
			rt.Fatalf("%v (seed %d)", err, p.seed)
		}
		for _, a := range s.answers {
			count[a.verdict.String()]++
			if a.replayed {
				count["replayed"]++
			}
		}
		count["works"] += len(s.executions.byKey)
	})
	t.Log(count)
	for _, name := range []string{"ran", "not-run", "may-have-run", "replayed", "works"} {
		assert.Assert(t, count[name] > 100, "the simulations hardly reach %s: %v", name, count)
	}
}

// TestCheckOfLateAnswers guards against a check that takes the late answer of a paused process for that
// of another run, and against one that accepts any run.
func TestCheckOfLateAnswers(t *testing.T) {
	minute := func(n int) time.Time { return time.Time{}.Add(time.Duration(n) * time.Minute) }
	runs := newExecutions()
	runs.byKey["k"] = []execution{{"a", minute(6)}, {"b", minute(9)}, {"c", minute(14)}}
	runs.calls = map[string]bool{"a": true, "b": true, "c": true}
	for _, tc := range []struct {
		name string
		answer
		ok bool
	}{
		{"own run, process paused past the retention", answer{call: "a", began: minute(6), at: minute(12), body: "k run by a"}, true},
		{"run of another call", answer{call: "a", began: minute(6), at: minute(12), body: "k run by b"}, false},
		{"answer without a run of its own", answer{call: "d", began: minute(9), at: minute(10), body: "k run by b"}, false},
		{"replay of the last run", answer{call: "d", began: minute(10), at: minute(11), replayed: true, body: "k run by b"}, true},
		{"replay of a run before the last one", answer{call: "d", began: minute(10), at: minute(11), replayed: true, body: "k run by a"}, false},
		{"replay read before a pause", answer{call: "d", began: minute(8), at: minute(11), replayed: true, body: "k run by a"}, true},
		{"replay of a later run", answer{call: "d", began: minute(10), at: minute(11), replayed: true, body: "k run by c"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.key, tc.verdict = "k", fault.Ran
			err := runs.check([]answer{tc.answer})
			assert.Equal(t, err == nil, tc.ok, "%v", err)
		})
	}
}

// TestCheckDetectsViolations shows that the check finds each kind of violation, by
// plans with deliberate defects.
func TestCheckDetectsViolations(t *testing.T) {
	base := plan{lose: 0.2, drop: 0.3, refuse: 0.1, disturbances: 20}
	for name, addDefect := range map[string]func(*plan){
		"takeover of an unreachable holder's claim": func(p *plan) {
			p.alterStatus = func(s claim.RunStatus, err error) (claim.RunStatus, error) {
				if err != nil {
					return claim.StatusNotRun, nil
				}
				return s, nil
			}
		},
		"writes without conditions": func(p *plan) {
			p.alterBatch = func(b table.Batch) table.Batch { b.Conditions = nil; return b }
		},
		"rows of paused holders removed": func(p *plan) { p.deleteOldRows = true },
		"changed outcome": func(p *plan) {
			p.alterBatch = func(b table.Batch) table.Batch {
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
				p := withoutDefects(base)
				p.seed = seed
				addDefect(&p)
				if _, err := simulate(t, p); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("30 simulations with the defect passed the check")
		})
	}
}
