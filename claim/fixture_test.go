package claim_test

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cranberrybay/cranberrybay/claim"
	"github.com/cranberrybay/cranberrybay/fault"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204") // a failing run can be repeated
	_ = flag.Set("rapid.checks", "12")     // 100 take 90 s with the race detector
	flag.Parse()
	os.Exit(m.Run())
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
