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

// rig drives a queue by hand on a clock of its own.
type rig struct {
	q     *Queue
	now   time.Time
	order []string
	slots map[string]*Slot
	errs  map[string]error
}

func newRig(p Policy, slots int) *rig {
	r := &rig{now: time.Unix(1000, 0), slots: map[string]*Slot{}, errs: map[string]error{}}
	r.q = New(Config{Now: func() time.Time { return r.now }, Policy: p})
	if slots > 0 {
		r.q.Observe(Report{Name: "a", Slots: slots})
	}
	return r
}

func (r *rig) enter(name, account string, w Work) (*Entry, error) {
	w.Account = account
	if w.FirstBy.IsZero() {
		w.FirstBy = r.now.Add(time.Minute)
	}
	return r.q.Enter(w, func(s *Slot, err error) {
		r.order = append(r.order, name)
		r.slots[name], r.errs[name] = s, err
	})
}

func (r *rig) mustEnter(t *testing.T, name, account string, w Work) *Entry {
	t.Helper()
	e, err := r.enter(name, account, w)
	assert.NilError(t, err)
	return e
}

// teach gives an account a history in which a shape is long.
func (r *rig) teach(account string, s Shape, tokens int) {
	for range 40 {
		r.q.cfg.Predictor.Observe(account, s, Prediction{}, tokens)
	}
}

func plain() Policy { return Policy{Name: "test", Reserve: 0.25, Age: 0.5} }

// Guards against one account with many requests delaying another account.
func TestFairBetweenAccounts(t *testing.T) {
	r := newRig(plain(), 1)
	r.mustEnter(t, "first", "x", Work{Plain: true})
	for i := range 5 {
		r.mustEnter(t, fmt.Sprint("big", i), "big", Work{Plain: true})
	}
	r.mustEnter(t, "small", "small", Work{Plain: true})
	r.slots["first"].Done(1)
	r.slots["big0"].Done(1)
	assert.Equal(t, r.order[2], "small")
}

// Guards against weights that have no effect.
func TestWeights(t *testing.T) {
	r := newRig(plain(), 1)
	r.mustEnter(t, "first", "x", Work{Plain: true})
	hour := r.now.Add(time.Hour)
	for i := range 30 {
		r.mustEnter(t, fmt.Sprint("h", i), "heavy", Work{Plain: true, Weight: 3, FirstBy: hour})
		r.mustEnter(t, fmt.Sprint("l", i), "light", Work{Plain: true, Weight: 1, FirstBy: hour})
	}
	r.slots["first"].Done(1)
	heavy := 0
	for i := 1; i <= 20; i++ {
		if r.order[i][0] == 'h' {
			heavy++
		}
		r.slots[r.order[i]].Done(1)
	}
	assert.Assert(t, heavy >= 14 && heavy <= 16, "heavy account got %d of 20", heavy)
}

// Guards against a rejection that is late, has another verdict, or names a
// time at which a retry is rejected again.
func TestRejectsAtOnceWithHonestRetry(t *testing.T) {
	r := newRig(plain(), 1)
	r.teach("x", Shape{}, 100)
	r.mustEnter(t, "0", "x", Work{})
	r.now = r.now.Add(time.Second)
	r.slots["0"].Token()
	r.slots["0"].Done(100)
	var err error
	n := 0
	for ; err == nil; n++ {
		_, err = r.enter(fmt.Sprint("r", n), "x", Work{FirstBy: r.now.Add(6 * time.Second)})
		assert.Assert(t, n < 50, "nothing was rejected")
	}
	assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
	assert.Equal(t, fault.CodeOf(err), fault.Overload)
	at, ok := fault.RetryAt(err)
	assert.Assert(t, ok && at.After(r.now))
	for i := 0; r.now.Before(at); i++ {
		r.now = r.now.Add(time.Second)
		s := r.slots[fmt.Sprint("r", i)]
		s.Token()
		s.Done(100)
	}
	_, err = r.enter("again", "x", Work{FirstBy: r.now.Add(6 * time.Second)})
	assert.NilError(t, err)
}

// Guards against long work that takes the slots reserved for short work.
func TestReserveForShort(t *testing.T) {
	r := newRig(plain(), 8)
	long := Shape{Limit: 8000, Prompt: 5000}
	r.teach("x", Shape{}, 100)
	r.teach("x", long, 3000)
	r.mustEnter(t, "s", "x", Work{})
	for i := range 8 {
		r.mustEnter(t, fmt.Sprint("l", i), "x", Work{Shape: long})
	}
	assert.Equal(t, r.q.running[classLong], 6) // 6 of 8 slots are open to long work
	r.mustEnter(t, "t", "x", Work{})
	assert.Assert(t, r.slots["t"] != nil, "the reserved slot was not there")
	r.now = r.now.Add(time.Minute)
	r.q.Observe(Report{Name: "a", Slots: 8, Running: 8})
	assert.Equal(t, r.q.running[classLong], 6)
}

// Guards against long work that never runs while short work keeps coming.
func TestAgeing(t *testing.T) {
	r := newRig(plain(), 2)
	long := Shape{Limit: 8000, Prompt: 5000}
	r.teach("x", Shape{}, 100)
	r.teach("x", long, 3000)
	r.mustEnter(t, "s0", "x", Work{})
	r.mustEnter(t, "s1", "x", Work{})
	r.mustEnter(t, "long", "x", Work{Shape: long})
	for i := 2; i < 40 && r.slots["long"] == nil; i++ {
		r.mustEnter(t, fmt.Sprint("s", i), "x", Work{})
		r.now = r.now.Add(time.Second)
		r.slots[r.order[len(r.order)-1]].Done(100)
	}
	assert.Assert(t, r.slots["long"] != nil, "long work was starved")
	assert.Assert(t, r.slots["long"].Waited() >= 30*time.Second)
}

// Guards against a wrong prediction that holds a reserved slot unseen.
func TestReclassifiedInFlight(t *testing.T) {
	r := newRig(plain(), 4)
	r.teach("x", Shape{}, 100)
	r.mustEnter(t, "s", "x", Work{})
	s := r.slots["s"]
	for range 3000 {
		s.Token()
	}
	assert.Assert(t, s.Long())
	assert.Equal(t, r.q.running[classLong], 1)
	s.Done(3000)
	assert.Equal(t, r.q.running[classLong], 0)
	assert.Equal(t, r.q.cfg.Predictor.Errors().Short, 1)
}

// Guards against a caller that leaves and keeps its place or its slot.
func TestWaitEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Config{Policy: plain()})
		q.Observe(Report{Name: "a", Slots: 1})
		s, err := q.Wait(t.Context(), Work{Account: "x", FirstBy: time.Now().Add(time.Minute)})
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = q.Wait(ctx, Work{Account: "x", FirstBy: time.Now().Add(time.Minute)})
		assert.Equal(t, fault.CodeOf(err), fault.Cancelled)
		assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
		_, err = q.Wait(t.Context(), Work{Account: "x", FirstBy: time.Now().Add(5 * time.Second)})
		assert.Equal(t, fault.CodeOf(err), fault.Overload)
		assert.Equal(t, q.Waiting(), 0)
		s.Done(1)
		_, err = q.Wait(t.Context(), Work{Account: "x", FirstBy: time.Now().Add(time.Minute)})
		assert.NilError(t, err)
	})
}

// Guards against requests that wait for their deadline although no server is
// left that could serve them.
func TestLastServerGone(t *testing.T) {
	r := newRig(plain(), 1)
	r.mustEnter(t, "runs", "x", Work{})
	r.mustEnter(t, "waits", "x", Work{})
	r.q.Forget("a")
	assert.Equal(t, fault.CodeOf(r.errs["waits"]), fault.Unavailable)
	assert.Equal(t, fault.VerdictOf(r.errs["waits"]), fault.NotRun)
	_, err := r.enter("late", "x", Work{})
	assert.Equal(t, fault.CodeOf(err), fault.Unavailable)
	r.slots["runs"].Done(10)
	assert.Equal(t, r.q.Waiting(), 0)
}

// conserving checks the queue's invariants after each step. It is a seam: the
// test of the check itself breaks the state first.
func conserving(q *Queue) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	own := 0
	for n, s := range q.servers {
		own += s.own
		if s.own < 0 || s.own > s.report.Slots+s.over {
			return fmt.Errorf("server %s has %d requests of this process for %d slots", n, s.own, s.report.Slots)
		}
		if q.short.count > 0 && s.room(q.cfg.Policy, 1) {
			return fmt.Errorf("server %s has room while %d short requests wait", n, q.short.count)
		}
	}
	if own != q.running[0]+q.running[1] {
		return fmt.Errorf("%d requests on servers, %d running", own, q.running[0]+q.running[1])
	}
	return nil
}

// Guards against lost wake-ups, slots given twice, and callbacks that come
// twice or never, over random sequences of arrivals, ends, cancellations and
// reports.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Current()
		r := newRig(p, 0)
		r.q.cfg.Rand = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		long := Shape{Limit: 8000, Prompt: 5000}
		r.teach("x", long, 3000)
		calls := map[*Entry]int{}
		entries, live := []*Entry{}, []*Slot{}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			r.now = r.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				w := Work{Account: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "account"), FirstBy: r.now.Add(5 * time.Second)}
				if rapid.IntRange(0, 9).Draw(t, "long") == 0 {
					w.Shape = long
				}
				var e *Entry
				ended := 0
				e, err := r.q.Enter(w, func(s *Slot, _ error) {
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
					if e.Leave() {
						calls[e]++
					}
				}
			case 4:
				n := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server")
				own := 0
				if s := r.q.servers[n]; s != nil {
					own = s.own
				}
				r.q.Observe(Report{Name: n, Slots: 4, Running: min(4, own), Waiting: max(0, own-4)})
			}
			if err := conserving(r.q); err != nil {
				t.Fatal(err)
			}
		}
		r.now = r.now.Add(time.Hour)
		for len(live) > 0 {
			s := live[0]
			live = live[1:]
			s.Done(10)
		}
		for _, e := range entries {
			if e.Leave() {
				calls[e]++
			}
			if calls[e] != 1 {
				t.Fatalf("entry %d ended %d times", e.number, calls[e])
			}
		}
	})
}

// Shows that the invariant check fails when a wake-up is lost.
func TestInvariantCheckFails(t *testing.T) {
	r := newRig(plain(), 1)
	r.mustEnter(t, "a", "x", Work{})
	r.mustEnter(t, "b", "x", Work{})
	assert.NilError(t, conserving(r.q))
	r.q.servers["a"].report.Slots = 2 // a report whose dispatch is left out
	assert.ErrorContains(t, conserving(r.q), "has room while 1 short requests wait")
}
