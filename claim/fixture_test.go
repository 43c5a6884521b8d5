package claim_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cranberrybay/cranberrybay/claim"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/table"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204") // a failing run can be repeated
	_ = flag.Set("rapid.checks", "20")     // 100 take 90 s with the race detector
	flag.Parse()
	os.Exit(m.Run())
}

// weather is a table with faults drawn from a seed: replies lost before or
// after the write, writes applied later, slow calls, outages.
type weather struct {
	table *fakes.Table
	mu    sync.Mutex
	rand  *rand.Rand
	rate  float64 // share of commits with a lost reply
	slow  time.Duration
	down  bool
	hole  bool // calls hang until their context ends
	// change is a seam for deliberate faults.
	change func(table.Batch) table.Batch
}

func newWeather(seed int64, rate float64) *weather {
	return &weather{table: fakes.NewTable(), rand: rand.New(rand.NewSource(seed)), rate: rate, change: same}
}

func same(b table.Batch) table.Batch { return b }

func (w *weather) lose(rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rate = rate
}

func (w *weather) set(down, hole bool, slow time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down, w.hole, w.slow = down, hole, slow
}

// draw returns a random number and the time by which a call is slowed.
func (w *weather) draw() (float64, time.Duration, bool, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// The number is scaled so that values below 1 stand for lost replies.
	return w.rand.Float64() / max(w.rate, 1e-9), time.Duration(w.rand.Int63n(int64(w.slow) + int64(time.Millisecond))), w.down, w.hole
}

// client returns a client whose calls pass through gate, which blocks while
// the calling process is paused and fails when it is dead.
func (w *weather) client(gate func() error) *table.Client {
	inner := w.table.Client()
	enter := func(ctx context.Context) (float64, error) {
		if err := gate(); err != nil {
			return 0, table.ErrUnavailable
		}
		n, slow, down, hole := w.draw()
		if hole {
			<-ctx.Done()
			return 0, table.ErrUnknown
		}
		time.Sleep(slow)
		if down {
			return 0, table.ErrUnavailable
		}
		return n, nil
	}
	return table.New(table.Config{
		Get: func(ctx context.Context, keys ...string) ([]table.Row, error) {
			if _, err := enter(ctx); err != nil {
				return nil, table.ErrUnavailable
			}
			rows, err := inner.Get(ctx, keys...)
			return rows, errors.Join(err, gate())
		},
		Scan: func(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
			return inner.Scan(ctx, prefix, after, limit)
		},
		Commit: func(ctx context.Context, b table.Batch) (uint64, error) {
			n, err := enter(ctx)
			if err != nil {
				return 0, err
			}
			b = w.change(b)
			if n >= 1 {
				rev, err := inner.Commit(context.Background(), b)
				if g := gate(); g != nil {
					return 0, table.ErrUnknown
				}
				return rev, err
			}
			switch {
			case n < 1.0/3: // lost before it was applied
			case n < 2.0/3:
				_, _ = inner.Commit(context.Background(), b)
			default: // applied later, after reads that found nothing
				go func() {
					time.Sleep(time.Duration(n * float64(8*time.Second)))
					_, _ = inner.Commit(context.Background(), b)
				}()
			}
			return 0, table.ErrUnknown
		},
	})
}

// runs records what a service ran.
type runs struct {
	mu    sync.Mutex
	byKey map[string][]run
	calls map[string]bool
}

type run struct {
	call string
	at   time.Time
}

func newRuns() *runs { return &runs{byKey: map[string][]run{}, calls: map[string]bool{}} }

func (r *runs) run(key, call string) claim.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byKey[key] = append(r.byKey[key], run{call, time.Now()})
	r.calls[call] = true
	return claim.Outcome{Status: 201, Body: []byte(key + " run by " + call)}
}

// answer is what a caller was told.
type answer struct {
	key, call string
	at        time.Time
	verdict   fault.Verdict
	replayed  bool
	body      string
}

// keep is how long the books of a run keep outcomes. A key that is used again
// later names new work.
const keep = 2 * time.Minute

// check asserts I3 and I4 over a whole run.
func (r *runs) check(all []answer) error {
	for key, runs := range r.byKey {
		for i := 1; i < len(runs); i++ {
			if runs[i].at.Sub(runs[i-1].at) < keep {
				return fmt.Errorf("work %s ran twice, by %v", key, runs)
			}
		}
	}
	for _, a := range all {
		if a.verdict == fault.NotRun && r.calls[a.call] {
			return fmt.Errorf("call %s was told not-run and ran", a.call)
		}
		if a.verdict != fault.Ran {
			continue
		}
		last := ""
		for _, n := range r.byKey[a.key] {
			if !n.at.After(a.at) {
				last = a.key + " run by " + n.call
			}
		}
		if a.body != last {
			return fmt.Errorf("call %s was answered %q, the work was %q", a.call, a.body, last)
		}
	}
	return nil
}
