package queue

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrybay/cranberrybay/fault"
)

// harness runs a queue on a manual clock and records the callbacks.
type harness struct {
	q        *Queue
	now      time.Time
	notified []string
	slots    map[string]*Slot
	errs     map[string]error
}

func newHarness(p Policy, slots int) *harness {
	h := &harness{now: time.Unix(1000, 0), slots: map[string]*Slot{}, errs: map[string]error{}}
	h.q = New(Config{Now: func() time.Time { return h.now }, Policy: p})
	if slots > 0 {
		h.q.Observe(Report{Name: "a", Slots: slots})
	}
	return h
}

func (h *harness) enqueue(name, account string, w Request) (*Entry, error) {
	w.Account = account
	if w.Deadline.IsZero() {
		w.Deadline = h.now.Add(time.Minute)
	}
	return h.q.Enqueue(w, func(s *Slot, err error) {
		h.notified = append(h.notified, name)
		h.slots[name], h.errs[name] = s, err
	})
}

func (h *harness) mustEnqueue(t *testing.T, name, account string, w Request) *Entry {
	t.Helper()
	e, err := h.enqueue(name, account, w)
	assert.NilError(t, err)
	return e
}

// train adds 40 answers of the given length to the history of an account and a
// shape.
func (h *harness) train(account string, s Shape, tokens int) {
	for range 40 {
		h.q.cfg.Predictor.Observe(account, s, Prediction{}, tokens)
	}
}

func basicPolicy() Policy { return Policy{Name: "test", Reserve: 0.25, AgingShare: 0.5} }

// Guards against one account with many requests delaying another account.
func TestFairnessBetweenAccounts(t *testing.T) {
	h := newHarness(basicPolicy(), 1)
	h.mustEnqueue(t, "first", "x", Request{Plain: true})
	for i := range 5 {
		h.mustEnqueue(t, fmt.Sprint("big", i), "big", Request{Plain: true})
	}
	h.mustEnqueue(t, "small", "small", Request{Plain: true})
	h.slots["first"].Done(1)
	h.slots["big0"].Done(1)
	assert.Equal(t, h.notified[2], "small")
}

// Guards against account weights that have no effect.
func TestWeights(t *testing.T) {
	h := newHarness(basicPolicy(), 1)
	h.mustEnqueue(t, "first", "x", Request{Plain: true})
	hour := h.now.Add(time.Hour)
	for i := range 30 {
		h.mustEnqueue(t, fmt.Sprint("h", i), "heavy", Request{Plain: true, Weight: 3, Deadline: hour})
		h.mustEnqueue(t, fmt.Sprint("l", i), "light", Request{Plain: true, Weight: 1, Deadline: hour})
	}
	h.slots["first"].Done(1)
	heavy := 0
	for i := 1; i <= 20; i++ {
		if h.notified[i][0] == 'h' {
			heavy++
		}
		h.slots[h.notified[i]].Done(1)
	}
	assert.Assert(t, heavy >= 14 && heavy <= 16, "heavy account got %d of 20", heavy)
}

// Guards against a rejection that comes late, has the wrong verdict, or gives a
// retry time at which the request is rejected again.
func TestRejectsImmediatelyWithUsableRetryTime(t *testing.T) {
	h := newHarness(basicPolicy(), 1)
	h.train("x", Shape{}, 100)
	h.mustEnqueue(t, "0", "x", Request{})
	h.now = h.now.Add(time.Second)
	h.slots["0"].Token()
	h.slots["0"].Done(100)
	var err error
	n := 0
	for ; err == nil; n++ {
		_, err = h.enqueue(fmt.Sprint("r", n), "x", Request{Deadline: h.now.Add(6 * time.Second)})
		assert.Assert(t, n < 50, "no request was rejected")
	}
	assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
	assert.Equal(t, fault.CodeOf(err), fault.Overload)
	at, ok := fault.RetryAt(err)
	assert.Assert(t, ok && at.After(h.now))
	for i := 0; h.now.Before(at); i++ {
		h.now = h.now.Add(time.Second)
		s := h.slots[fmt.Sprint("r", i)]
		s.Token()
		s.Done(100)
	}
	_, err = h.enqueue("again", "x", Request{Deadline: h.now.Add(6 * time.Second)})
	assert.NilError(t, err)
}

// Guards against long requests that occupy the slots reserved for short ones.
func TestReserveForShort(t *testing.T) {
	h := newHarness(basicPolicy(), 8)
	longShape := Shape{MaxTokens: 8000, PromptBytes: 5000}
	h.train("x", Shape{}, 100)
	h.train("x", longShape, 3000)
	h.mustEnqueue(t, "s", "x", Request{})
	for i := range 8 {
		h.mustEnqueue(t, fmt.Sprint("l", i), "x", Request{Shape: longShape})
	}
	assert.Equal(t, h.q.running[classLong], 6) // 6 of 8 slots are available to long requests
	h.mustEnqueue(t, "t", "x", Request{})
	assert.Assert(t, h.slots["t"] != nil, "no reserved slot was free")
	h.now = h.now.Add(time.Minute)
	h.q.Observe(Report{Name: "a", Slots: 8, Running: 8})
	assert.Equal(t, h.q.running[classLong], 6)
}

// Guards against starvation of long requests while short ones keep arriving.
func TestLongWorkAges(t *testing.T) {
	h := newHarness(basicPolicy(), 2)
	longShape := Shape{MaxTokens: 8000, PromptBytes: 5000}
	h.train("x", Shape{}, 100)
	h.train("x", longShape, 3000)
	h.mustEnqueue(t, "s0", "x", Request{})
	h.mustEnqueue(t, "s1", "x", Request{})
	h.mustEnqueue(t, "long", "x", Request{Shape: longShape})
	for i := 2; i < 40 && h.slots["long"] == nil; i++ {
		h.mustEnqueue(t, fmt.Sprint("s", i), "x", Request{})
		h.now = h.now.Add(time.Second)
		h.slots[h.notified[len(h.notified)-1]].Done(100)
	}
	assert.Assert(t, h.slots["long"] != nil, "long work was starved")
	assert.Assert(t, h.slots["long"].Waited() >= 30*time.Second)
}

// Guards against a long request that was predicted short and occupies a reserved
// slot without being counted as long.
func TestReclassifiedWhileRunning(t *testing.T) {
	h := newHarness(basicPolicy(), 4)
	h.train("x", Shape{}, 100)
	h.mustEnqueue(t, "s", "x", Request{})
	s := h.slots["s"]
	for range 3000 {
		s.Token()
	}
	assert.Assert(t, s.Long())
	assert.Equal(t, h.q.running[classLong], 1)
	s.Done(3000)
	assert.Equal(t, h.q.running[classLong], 0)
	assert.Equal(t, h.q.cfg.Predictor.Errors().LongAsShort, 1)
}

// Guards against a caller that gives up but keeps its position in the queue or its
// slot.
func TestWaitStopsOnCancelAndDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Config{Policy: basicPolicy()})
		q.Observe(Report{Name: "a", Slots: 1})
		s, err := q.Wait(t.Context(), Request{Account: "x", Deadline: time.Now().Add(time.Minute)})
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = q.Wait(ctx, Request{Account: "x", Deadline: time.Now().Add(time.Minute)})
		assert.Equal(t, fault.CodeOf(err), fault.Cancelled)
		assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
		_, err = q.Wait(t.Context(), Request{Account: "x", Deadline: time.Now().Add(5 * time.Second)})
		assert.Equal(t, fault.CodeOf(err), fault.Overload)
		assert.Equal(t, q.Waiting(), 0)
		s.Done(1)
		_, err = q.Wait(t.Context(), Request{Account: "x", Deadline: time.Now().Add(time.Minute)})
		assert.NilError(t, err)
	})
}

// Guards against requests that wait until their deadline although no server is
// left.
func TestLastServerRemoved(t *testing.T) {
	h := newHarness(basicPolicy(), 1)
	h.mustEnqueue(t, "runs", "x", Request{})
	h.mustEnqueue(t, "waits", "x", Request{})
	h.q.RemoveServer("a")
	assert.Equal(t, fault.CodeOf(h.errs["waits"]), fault.Unavailable)
	assert.Equal(t, fault.VerdictOf(h.errs["waits"]), fault.NotRun)
	_, err := h.enqueue("late", "x", Request{})
	assert.Equal(t, fault.CodeOf(err), fault.Unavailable)
	h.slots["runs"].Done(10)
	assert.Equal(t, h.q.Waiting(), 0)
}

// checkInvariants verifies the invariants of the queue. It is a separate function
// so that TestInvariantCheckFails can call it on an invalid state.
func checkInvariants(q *Queue) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	own := 0
	for n, s := range q.servers {
		own += s.ownRequests
		if s.ownRequests < 0 || s.ownRequests > s.report.Slots+s.overcommit {
			return fmt.Errorf("server %s has %d requests of this process for %d slots", n, s.ownRequests, s.report.Slots)
		}
		if q.short.count > 0 && s.hasRoom(q.cfg.Policy, 1) {
			return fmt.Errorf("server %s has room while %d short requests wait", n, q.short.count)
		}
	}
	if own != q.running[0]+q.running[1] {
		return fmt.Errorf("%d requests on servers, %d running", own, q.running[0]+q.running[1])
	}
	return nil
}

// Guards against lost wake-ups, slots assigned twice, and callbacks that are
// called twice or never, in random sequences of arrivals, completions,
// cancellations and load reports.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Current()
		h := newHarness(p, 0)
		h.q.cfg.Rand = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		longShape := Shape{MaxTokens: 8000, PromptBytes: 5000}
		h.train("x", longShape, 3000)
		calls := map[*Entry]int{}
		entries, live := []*Entry{}, []*Slot{}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				w := Request{Account: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "account"), Deadline: h.now.Add(5 * time.Second)}
				if rapid.IntRange(0, 9).Draw(t, "long") == 0 {
					w.Shape = longShape
				}
				var e *Entry
				ended := 0
				e, err := h.q.Enqueue(w, func(s *Slot, _ error) {
					ended++
					if e != nil {
						calls[e]++
					}
					if s != nil {
						live = append(live, s)
					}
				})
				if err == nil {
					calls[e] = ended
					entries = append(entries, e)
				}
			case 2:
				if len(live) > 0 {
					s := live[0]
					live = live[1:]
					s.Token()
					s.Done(rapid.IntRange(1, 4000).Draw(t, "tokens"))
				}
			case 3:
				if len(entries) > 0 {
					e := rapid.SampledFrom(entries).Draw(t, "leaver")
					if e.Cancel() {
						calls[e]++
					}
				}
			case 4:
				n := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server")
				own := 0
				if s := h.q.servers[n]; s != nil {
					own = s.ownRequests
				}
				h.q.Observe(Report{Name: n, Slots: 4, Running: min(4, own), Waiting: max(0, own-4)})
			}
			if err := checkInvariants(h.q); err != nil {
				t.Fatal(err)
			}
		}
		h.now = h.now.Add(time.Hour)
		for len(live) > 0 {
			s := live[0]
			live = live[1:]
			s.Done(10)
		}
		for _, e := range entries {
			if e.Cancel() {
				calls[e]++
			}
			if calls[e] != 1 {
				t.Fatalf("entry %d ended %d times", e.number, calls[e])
			}
		}
	})
}

// Verifies that the invariant check fails when a wake-up is lost.
func TestInvariantCheckFails(t *testing.T) {
	h := newHarness(basicPolicy(), 1)
	h.mustEnqueue(t, "a", "x", Request{})
	h.mustEnqueue(t, "b", "x", Request{})
	assert.NilError(t, checkInvariants(h.q))
	h.q.servers["a"].report.Slots = 2 // a report without the dispatch that follows it
	assert.ErrorContains(t, checkInvariants(h.q), "has room while 1 short requests wait")
}
