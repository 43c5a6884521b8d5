package claim_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cranberrybay/cranberrybay/claim"
	"github.com/cranberrybay/cranberrybay/fault"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204") // fixed, so that a failure can be reproduced
	_ = flag.Set("rapid.checks", "12")     // rapid's default of 100 takes 90 s with the race detector
	flag.Parse()
	os.Exit(m.Run())
}

// executions records the work that a simulated service ran and the calls that
// ran it.
type executions struct {
	mu    sync.Mutex
	byKey map[string][]execution
	calls map[string]bool
}

// execution is one run of a piece of work.
type execution struct {
	call string
	at   time.Time
}

func newExecutions() *executions {
	return &executions{byKey: map[string][]execution{}, calls: map[string]bool{}}
}

// record adds an execution and returns the service's answer, which names the
// call.
func (r *executions) record(key, call string) claim.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byKey[key] = append(r.byKey[key], execution{call, time.Now()})
	r.calls[call] = true
	return claim.Outcome{Status: 201, Body: []byte(key + " run by " + call)}
}

// answer is the answer that a caller got to one call.
type answer struct {
	key, call string
	began, at time.Time // when the call arrived, and when it was answered
	verdict   fault.Verdict
	replayed  bool
	body      string
}

// retention is how long the managers of a simulation keep outcomes. A key that
// is used again later names new work.
const retention = 2 * time.Minute

// check returns an error unless, over a whole simulation, no work ran twice
// within the retention (I3), no call that was told not-run has run, and every
// answer is that of the execution (I4).
func (r *executions) check(all []answer) error {
	for key, list := range r.byKey {
		for i := 1; i < len(list); i++ {
			if list[i].at.Sub(list[i-1].at) < retention {
				return fmt.Errorf("work %s ran twice, by %v", key, list)
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
		if want := r.expected(a); !slices.Contains(want, a.body) {
			return fmt.Errorf("call %s was answered %q, the work was %q", a.call, a.body, want)
		}
	}
	return nil
}

// expected returns the bodies that an answer may have. A call that ran the work gets the answer of its
// own execution, however late. A replay gets that of an execution that was the last one of its key at a
// moment between the arrival of the call and its answer.
func (r *executions) expected(a answer) []string {
	var out []string
	list := r.byKey[a.key]
	for i, n := range list {
		body := a.key + " run by " + n.call
		switch {
		case n.at.After(a.at):
		case !a.replayed && n.call == a.call:
			return []string{body}
		case a.replayed && (i+1 == len(list) || list[i+1].at.After(a.began)):
			out = append(out, body)
		}
	}
	return out
}
