package guard_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/guard"
	"github.com/cranberrybay/cranberrybay/poison"
)

func virtually(t *testing.T, f func(t *testing.T, g *guard.Guard)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		defer clock.Replace(func() time.Duration { return time.Since(start) })()
		f(t, guard.New(guard.Config{}))
	})
}

func request(account, body string) guard.Request {
	return guard.NewRequest(guard.RequestConfig{Service: "desk", Account: account, Method: "POST", Path: "/orders", Body: []byte(body)})
}

// crash records that servers crashed under a request.
func crash(c *guard.Case, server string, n int, gap time.Duration) {
	for i := range n {
		s := guard.Server(fmt.Sprint(server, i), "boot")
		c.RecordCut(s)
		c.RecordCrash(s)
		time.Sleep(gap)
	}
}

func admit(c *guard.Case) error {
	return c.Admit(context.Background(), time.Now().Add(time.Second), c.Suspect())
}

// TestQuarantineOfOneRequest guards against a request that crashes servers again under
// another case, and against one of the same caller that is refused with it.
func TestQuarantineOfOneRequest(t *testing.T) {
	virtually(t, func(t *testing.T, g *guard.Guard) {
		c := g.Open(request("hotel", "deadly"))
		assert.NilError(t, admit(c))
		crash(c, "server-", 3, time.Second)
		err := admit(c)
		assert.Equal(t, fault.CodeOf(err), fault.Crashed)
		_, ok := fault.RetryAt(err)
		assert.Assert(t, ok, "no time to come back")
		c.Close()
		sent := g.Open(request("hotel", "deadly"))
		err = sent.Admit(context.Background(), time.Time{}, true)
		assert.Equal(t, fault.CodeOf(err), fault.Crashed, "sent before the quarantine")
		assert.Equal(t, fault.VerdictOf(err), fault.MayHaveRun)
		err = admit(g.Open(request("hotel", "deadly")))
		assert.Equal(t, fault.CodeOf(err), fault.Quarantined)
		assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
		_, ok = fault.RetryAt(err)
		assert.Assert(t, ok)
		for _, r := range []guard.Request{request("hotel", "sound"), request("shop", "deadly"), {}} {
			assert.NilError(t, admit(g.Open(r)))
		}
	})
}

// TestSuspectsRunAlone guards against suspects that are on servers at the same time,
// and against one that is stopped by another one without end.
func TestSuspectsRunAlone(t *testing.T) {
	virtually(t, func(t *testing.T, g *guard.Guard) {
		var suspects []*guard.Case
		for n := range 3 {
			c := g.Open(request("hotel", fmt.Sprint(n)))
			crash(c, fmt.Sprint("server-", n, "-"), 2, 10*time.Millisecond)
			suspects = append(suspects, c)
		}
		assert.NilError(t, admit(suspects[0]))
		err := admit(suspects[1])
		assert.Equal(t, fault.CodeOf(err), fault.Timeout)
		assert.Equal(t, fault.VerdictOf(err), fault.MayHaveRun)
		assert.NilError(t, admit(g.Open(request("hotel", "new"))))
		suspects[0].RecordAnswered()
		assert.NilError(t, admit(suspects[1]))
		time.Sleep(5 * time.Second) // a turn ends
		assert.NilError(t, admit(suspects[2]))
		suspects[1].Close()
		suspects[2].Close()
	})
}

// TestRequestThatWaitedHasNotRun guards against a request that was never sent, waited in
// vain for its turn alone, and is answered as one that may have run: its caller could
// not send it again.
func TestRequestThatWaitedHasNotRun(t *testing.T) {
	virtually(t, func(t *testing.T, g *guard.Guard) {
		first := g.Open(request("hotel", "deadly"))
		assert.NilError(t, admit(first))
		crash(first, "server-", 2, 10*time.Millisecond)
		assert.NilError(t, admit(first)) // has the turn
		again := g.Open(request("hotel", "deadly"))
		assert.Assert(t, again.Alone())
		err := again.Admit(context.Background(), time.Now().Add(time.Second), false)
		assert.Equal(t, fault.CodeOf(err), fault.Timeout)
		assert.Equal(t, fault.VerdictOf(err), fault.NotRun, "%v", err)
		err = again.Admit(context.Background(), time.Now().Add(time.Second), true)
		assert.Equal(t, fault.VerdictOf(err), fault.MayHaveRun, "%v", err)
		first.Close()
		again.Close()
	})
}

// TestUnconfirmedCrashesHoldBackRequests guards against a request that crashes a server in each process, since none of
// them knows yet that the server which another one lost has crashed: it neither answers nor refuses connections.
func TestUnconfirmedCrashesHoldBackRequests(t *testing.T) {
	for name, crashed := range map[string]bool{"server has crashed": true, "link was cut": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				defer clock.Replace(func() time.Duration { return time.Since(start) })()
				var trackers []*poison.Tracker
				var guards []*guard.Guard
				for i := range 2 {
					trackers = append(trackers, poison.New(poison.Config{Announce: func(all []poison.Record) { trackers[1-i].Merge(all) }}))
					guards = append(guards, guard.New(guard.Config{Tracker: trackers[i]}))
				}
				first, second := guards[0].Open(request("hotel", "deadly")), guard.Server("desk-1", "boot")
				crash(first, "desk-", 1, time.Second)
				first.RecordCut(second)
				first.RecordProbe(second, "boot", engine.LoadReport{}, context.DeadlineExceeded)
				first.Close()
				other := guards[1].Open(request("hotel", "deadly"))
				err := admit(other)
				assert.Equal(t, fault.CodeOf(err), fault.Quarantined)
				assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
				time.Sleep(time.Second)
				if crashed {
					guards[0].RecordCrash(second) // another incarnation answers
				}
				time.Sleep(6 * time.Second)
				assert.NilError(t, admit(guards[1].Open(request("hotel", "sound"))))
				err = admit(guards[1].Open(request("hotel", "deadly")))
				if !crashed {
					assert.NilError(t, err)
					return
				}
				assert.Equal(t, fault.CodeOf(err), fault.Quarantined)
			})
		})
	}
}
