package limit

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrybay/cranberrybay/fault"
)

func limits(rate, inflight float64) Limits {
	return Limits{Amounts: Amounts{Rate: rate, Inflight: inflight}, Weight: 1}
}

// admittedShare sends requests to some processes for a while and returns the
// fraction that was admitted in the second half.
func admittedShare(t *testing.T, w *network, account string, processes []string, rate float64, d time.Duration) float64 {
	t.Helper()
	tried, got := 0, 0
	end := w.now.Add(d)
	for i := 0; w.now.Before(end); i++ {
		w.step(i)
		for _, n := range processes {
			if w.rand.Float64() < rate/1000/float64(len(processes)) {
				g := w.admit(n, account)
				if end.Sub(w.now) < d/2 {
					tried++
					if g != nil {
						got++
					}
				}
				if g != nil {
					g.Done(1)
				}
			}
		}
		assert.NilError(t, w.check(account, time.Millisecond))
	}
	return float64(got) / float64(tried)
}

// Guards against a caller that uses a single entry process and gets only 1/n of
// the limit of its account.
func TestUnusedShareIsReallocated(t *testing.T) {
	w := newNetwork(8, 1, map[string]Limits{"a": limits(100, 0)})
	part := admittedShare(t, w, "a", w.names[:1], 70, 6*time.Second)
	assert.Assert(t, part > 0.97, "admitted %.3f of a demand below the limit", part)
}

// Guards against unused shares that were reallocated and can be reclaimed only
// when they expire.
func TestReallocatedShareIsReclaimed(t *testing.T) {
	w := newNetwork(8, 1, map[string]Limits{"a": limits(400, 0)})
	admittedShare(t, w, "a", w.names[:1], 380, 5*time.Second)
	assert.Assert(t, w.limiters["e0"].accounts["a"].share.Share[Rate] > 350)
	for i := range 600 {
		w.step(i)
		w.admit("e0", "a")
		if i%2 == 0 {
			w.admit("e5", "a")
		}
		assert.NilError(t, w.check("a", time.Millisecond))
	}
	share := w.limiters["e5"].accounts["a"].share.Share[Rate]
	assert.Assert(t, share > 150 && share < 250, "the second process has %.0f of 400 after 0.6 s", share)
}

// Guards against integer shares that are all rounded down to zero.
func TestSmallInflightLimit(t *testing.T) {
	w := newNetwork(8, 1, map[string]Limits{"a": limits(0, 5)})
	var held []*Grant
	for i := range 3000 {
		w.step(i)
		if g := w.admit(w.names[i%8], "a"); g != nil {
			held = append(held, g)
		}
		if i%40 == 0 && len(held) > 0 {
			held[0].Done(1)
			held = held[1:]
		}
		if i > 2500 {
			assert.Assert(t, len(held) >= 3 && len(held) <= 8, "%d in flight for a limit of 5 on 8 processes", len(held))
		}
	}
}

// Guards against a rejection without a verdict, or with a retry time at which the
// request is rejected again.
func TestRejection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Config{Self: "e", Incarnation: "e/1", Limits: func(string) (Limits, bool) { return limits(2, 0), true }})
		var err error
		for err == nil {
			_, err = l.Admit("a", 1)
		}
		assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
		assert.Equal(t, fault.CodeOf(err), fault.Limited)
		assert.ErrorContains(t, err, "over its limit of requests a second")
		at, ok := fault.RetryAt(err)
		assert.Assert(t, ok)
		time.Sleep(time.Until(at))
		_, err = l.Admit("a", 1)
		assert.NilError(t, err)
	})
}

// Guards against a rejection that does not name the exceeded limits, so that the
// operator does not know which one to raise.
func TestRejectionNamesLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			amounts Amounts
			want    string
		}{
			{Amounts{Rate: 1}, "limit of requests a second"},
			{Amounts{Tokens: 1}, "limit of tokens a second"},
			{Amounts{Inflight: 1}, "limit of requests in flight"},
			{Amounts{Rate: 1, Inflight: 1}, "limit of requests a second and of requests in flight"},
		} {
			l := New(Config{Self: "e", Incarnation: "e/1", Limits: func(string) (Limits, bool) { return Limits{Amounts: c.amounts, Weight: 1}, true }})
			var err error
			for err == nil {
				_, err = l.Admit("a", 5)
			}
			assert.ErrorContains(t, err, c.want)
		}
	})
}

// Guards against a new limit that starts with the debt of what was used before it
// was published.
func TestNewLimitStartsWithFullBuckets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		amounts := Amounts{}
		l := New(Config{Self: "e", Incarnation: "e/1", Limits: func(string) (Limits, bool) { return Limits{Amounts: amounts, Weight: 1}, true }})
		for range 100 {
			g, err := l.Admit("a", 50)
			assert.NilError(t, err)
			g.Done(50)
		}
		amounts = Amounts{Rate: 10, Tokens: 20}
		_, err := l.Admit("a", 50)
		assert.NilError(t, err)
	})
}

// Guards against an account that gets its full weight on each of several
// processes.
func TestWeightFollowsDemand(t *testing.T) {
	w := newNetwork(4, 1, map[string]Limits{"big": limits(0, 0), "small": limits(0, 0)})
	for i := range 3000 {
		w.step(i)
		for _, n := range w.names {
			if g := w.admit(n, "big"); g != nil {
				g.Done(1)
			}
		}
		if g := w.admit("e1", "small"); g != nil {
			g.Done(1)
		}
	}
	sum := 0.0
	for _, n := range w.names {
		sum += w.limiters[n].Weight("big")
	}
	assert.Assert(t, sum > 0.9 && sum < 1.1, "weights of the large account add up to %.2f", sum)
	small := w.limiters["e1"].Weight("small")
	assert.Assert(t, small > 0.9, "the small account has weight %.2f on its only process", small)
}

// runFaults runs random demand with message loss, delays, partitions, pauses and
// restarted processes, and checks the bounds after every millisecond.
func runFaults(w *network, steps int) error {
	var held []*Grant
	for i := range steps {
		w.step(i)
		switch r := w.rand.IntN(2000); {
		case r == 0:
			w.restart(w.names[w.rand.IntN(len(w.names))])
			w.updateMembers()
		case r == 1:
			w.paused[w.names[w.rand.IntN(len(w.names))]] = w.now.Add(time.Duration(w.rand.IntN(4000)) * time.Millisecond)
		case r == 2:
			// The lists of members change immediately. Failure detection takes
			// seconds, and a later change would let shares expire first.
			w.changePartition(func() {
				for _, n := range w.names {
					w.side[n] = w.rand.IntN(2)
				}
			})
		case r == 3:
			w.changePartition(func() { clear(w.side) })
		}
		if w.running(w.names[0]) {
			w.activeTime += time.Millisecond
		}
		for range w.rand.IntN(3) {
			if g := w.admit(w.names[w.rand.IntN(len(w.names))], "a"); g != nil {
				held = append(held, g)
			}
		}
		if g := w.admit(w.names[0], "small"); g != nil {
			g.Done(1)
		}
		if len(held) > 0 && w.rand.IntN(2) == 0 {
			j := w.rand.IntN(len(held))
			held[j].Done(float64(w.rand.IntN(3)))
			held = append(held[:j], held[j+1:]...)
		}
		for _, a := range []string{"a", "small"} {
			if err := w.check(a, time.Millisecond); err != nil {
				return fmt.Errorf("after %d ms: %w", i, err)
			}
		}
	}
	return nil
}

func faultyNetwork(seed uint64) *network {
	w := newNetwork(5, seed, map[string]Limits{"a": limits(100, 20), "small": limits(10, 5)})
	r := rand.New(rand.NewPCG(seed, 9))
	w.loss, w.delay = r.Float64()*0.3, time.Duration(1+r.IntN(1500))*time.Millisecond
	return w
}

// Guards against shares that add up to more than the limit, and against starvation
// of a small account, under any order of failures.
func TestBoundsUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := faultyNetwork(rapid.Uint64().Draw(t, "seed"))
		if err := runFaults(w, 5000); err != nil {
			t.Fatal(err)
		}
		// Without any share, the only process that serves the account may use 10/5
		// per second while it is not paused.
		if least := int(2*0.9*w.activeTime.Seconds()) - 1; w.admitted["small"] < least {
			t.Fatalf("the small account was admitted %d requests in %v, want at least %d", w.admitted["small"], w.activeTime, least)
		}
	})
}

// expectCheckFailure runs random cases with an injected fault until the check
// fails. A single case may not reach a state in which the fault matters.
func expectCheckFailure(t *testing.T, fault func(w *network)) {
	t.Helper()
	var err error
	for seed := uint64(1); err == nil && seed <= 12; seed++ {
		w := faultyNetwork(seed)
		fault(w)
		err = runFaults(w, 20000)
	}
	assert.ErrorContains(t, err, "valid shares of")
}

// Verifies that the check fails when a home issues more than the limit, loses its
// record of issued shares or does not wait, and when a late message extends a
// share.
func TestCheckFails(t *testing.T) {
	t.Run("home issues more than the limit", func(t *testing.T) {
		expectCheckFailure(t, func(w *network) {
			w.corruptShare = func(s *Share) {
				for i := range s.Accounts {
					s.Accounts[i].Share[Rate] *= 1.5
				}
			}
		})
	})
	t.Run("home loses its record of issued shares", func(t *testing.T) {
		expectCheckFailure(t, func(w *network) {
			w.corruptShare = func(*Share) {
				for _, l := range w.limiters {
					for _, b := range l.records {
						for _, h := range b.holders {
							h.issued = nil
						}
					}
				}
			}
		})
	})
	t.Run("new home does not wait for the shares of the old one", func(t *testing.T) {
		expectCheckFailure(t, func(w *network) {
			w.corruptMembers = func() {
				for _, l := range w.limiters {
					l.pastMembers = nil
				}
			}
		})
	})
	t.Run("receiver counts the validity from the receipt", func(t *testing.T) {
		// Random cases rarely delay one message while all others are lost.
		assert.NilError(t, runDelayedShare(nil))
		err := runDelayedShare(func(l *Limiter, s *Share) {
			l.sent[s.ReportNumber%maxSentReports] = sentReport{s.ReportNumber, l.cfg.Now()}
		})
		assert.ErrorContains(t, err, "valid shares of")
	})
}

// runDelayedShare delays one share by 1.9 s and loses all later messages.
func runDelayedShare(arrive func(*Limiter, *Share)) error {
	w := newNetwork(2, 1, map[string]Limits{"a": limits(100, 0)})
	w.corruptReceiver = arrive
	home, other := Home(w.names, "a"), w.names[0]
	if other == home {
		other = w.names[1]
	}
	for i := range 5500 {
		w.step(i)
		if i == 2100 { // a new home issues no share before
			w.admit(other, "a")
		}
		if w.loss == 0 && len(w.inFlight) > 0 && w.inFlight[0].to == other {
			w.inFlight[0].at, w.loss = w.now.Add(1900*time.Millisecond), 1
		}
		if w.loss > 0 {
			w.admit(home, "a")
		}
		if err := w.check("a", time.Millisecond); err != nil {
			return err
		}
	}
	if w.loss == 0 {
		return errors.New("no share was sent")
	}
	return nil
}

// Guards against more reports than steady demand needs, and against an increase
// that waits for the next periodic report.
func TestSteadyReports(t *testing.T) {
	now := time.Unix(1000, 0)
	var home, far *Limiter
	reports := 0
	cfg := func(self string) Config {
		return Config{
			Self: self, Incarnation: self, Now: func() time.Time { return now },
			Limits:     func(string) (Limits, bool) { return limits(1000, 100), true },
			SendReport: func(_ string, r Report) { reports++; home.HandleReport(r) },
			SendShare:  func(_ string, s Share) { far.HandleShare(s) },
		}
	}
	home, far = New(cfg("home")), New(cfg("far"))
	members := []string{"far", "home"}
	home.SetMembers(members)
	far.SetMembers(members)
	name := ""
	for i := 0; name == "" || Home(members, name) != "home"; i++ {
		name = fmt.Sprint("a", i)
	}
	run := func(d time.Duration, pause time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(pause) {
			if g, err := far.Admit(name, 1); err == nil {
				g.Done(1)
			}
			if now.UnixMilli()%ReportInterval.Milliseconds() == 0 {
				far.Tick()
			}
		}
	}
	run(10*time.Second, 50*time.Millisecond)
	reports = 0
	run(10*time.Second, 50*time.Millisecond)
	assert.Assert(t, reports <= 14, "%d reports in 10 s of steady demand", reports)
	before := reports
	run(ReportInterval+50*time.Millisecond, 10*time.Millisecond)
	assert.Assert(t, reports > before, "a fivefold rise was not reported at once")
}
