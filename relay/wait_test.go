package relay_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/intake"
	"github.com/cranberrybay/cranberrybay/poison"
	"github.com/cranberrybay/cranberrybay/relay"
	"github.com/cranberrybay/cranberrybay/server"
)

const (
	// holdPause is the pause for which server a asks.
	holdPause = 5 * time.Second
	// waitBegun is when a request surely waits, after it came.
	waitBegun = 100 * time.Millisecond
	// atOnce is the time within which a request is answered whose wait has no purpose any more.
	atOnce = time.Millisecond
)

// hold is a reason why a request waits before it is sent, at a cluster with the single server a.
type hold struct {
	name   string
	begin  func(x *speakers)
	length time.Duration // of the wait, at least
	// comesBack is the longest time to come back that a caller may get when the process stops.
	comesBack time.Duration
	queue     bool // the wait is for a place, which may come at any time, so that it lasts until SendBy
}

// holds are all reasons for which a request waits.
var holds = []hold{
	{name: "pause", begin: (*speakers).rest, length: holdPause, comesBack: 150 * time.Millisecond},
	{name: "rate", begin: (*speakers).slowDown, length: 1500 * time.Millisecond, comesBack: 150 * time.Millisecond},
	{name: "trial elsewhere", begin: func(x *speakers) { x.accuse(poison.Now()) }, length: 900 * time.Millisecond, comesBack: 600 * time.Millisecond},
	{name: "trial here", begin: (*speakers).occupyTrial, length: 900 * time.Millisecond, comesBack: 600 * time.Millisecond, queue: true},
}

// rest makes server a rest for holdPause.
func (x *speakers) rest() {
	x.intake.Observe(intake.Statement{Server: x.table.ByAddress("a:1").Incarnation(), ID: "a", Said: intake.Said{RestUntil: intake.Now() + holdPause}})
}

// slowDown makes server a name a rate, whose next request is 2 s away.
func (x *speakers) slowDown() {
	answer := x.onSend
	x.onSend = func(ctx context.Context, n int, req *relay.Request, a relay.Attempt) (*relay.Answer, error) {
		ans, err := answer(ctx, n, req, a)
		ans.Rate = relay.NamedRate{Named: true, Value: 0.5}
		return ans, err
	}
	for range 2 {
		x.serve(context.Background(), heldRequest(config.Idempotent))
	}
}

// accuse records that a server crashed on the request and that another process tries it since a
// time; 0 for none.
func (x *speakers) accuse(triedAt time.Duration) {
	part := poison.RequestPart("POST", "h", "/x/1", "", nil, "", "800", "220") // of request
	r := poison.Record{Part: part, Crashes: []poison.Crash{{Server: 1, Request: 1, At: poison.Now() - 5*time.Second}}, TriedAt: triedAt}
	if triedAt > 0 {
		r.Trial = 1
	}
	x.poison.Merge([]poison.Record{r})
}

// occupyTrial starts a trial of the request that lasts, as its server does not answer.
func (x *speakers) occupyTrial() {
	x.accuse(0)
	answer := x.onSend
	x.onSend = func(ctx context.Context, n int, req *relay.Request, a relay.Attempt) (*relay.Answer, error) {
		if n == 1 {
			<-ctx.Done()
			return nil, connectionReset()
		}
		return answer(ctx, n, req, a)
	}
	ctx, cancel := context.WithTimeout(context.Background(), holdPause)
	go func() { defer cancel(); x.serve(ctx, heldRequest(config.AtMostOnce)) }()
	time.Sleep(waitBegun)
}

// heldRequest returns a request that waits for a rate for up to 2.5 s, at a process that answers within 5 s.
func heldRequest(kind config.Kind) *relay.Request {
	req := request(kind, 1)
	req.Route = config.NewRoute(config.RouteConfig{
		Name: "r", Host: "h", Prefix: "/x/", Kind: kind, Attempts: 2, Resumable: kind == config.Stream,
		TargetLatency: 5 * time.Second, TargetGap: time.Second, Services: []config.WeightedService{{Service: "s", Weight: 1}},
	})
	req.Deadline = req.Arrived.Add(12 * time.Second)
	return req
}

// heldCall is a request that waits.
type heldCall struct {
	*speakers
	hold   hold
	leave  context.CancelFunc // the caller leaves
	sent   int                // attempts before the request
	denied atomic.Bool        // the configuration does not allow the request any more
}

// endsAtOnce ends the wait by change and checks that the request gets its answer at once.
func (c *heldCall) endsAtOnce(t *testing.T, done <-chan callerResult, change func()) callerResult {
	t.Helper()
	change()
	begun := time.Now()
	got := <-done
	assert.Assert(t, time.Since(begun) <= atOnce, "answered after %v", time.Since(begun))
	assert.Equal(t, c.attemptCount(), c.sent)
	return got
}

// checkStopped checks the refusal of a request by a process that stops.
func checkStopped(t *testing.T, got callerResult, comesBack time.Duration) {
	t.Helper()
	checkVerdict(t, got, fault.NotRun)
	assert.Equal(t, fault.CodeOf(got.err), fault.Leaving, "%v", got.err)
	at, _ := fault.RetryAt(got.err)
	assert.Assert(t, time.Until(at) <= comesBack, "time to come back %v", time.Until(at))
}

// stopAfter returns a stop whose moments are times from now.
func stopAfter(sendBy, answerBy time.Duration) relay.Stop {
	return relay.Stop{SendBy: time.Now().Add(sendBy), AnswerBy: time.Now().Add(answerBy)}
}

// deniedBy returns the function Allowed of a request that the configuration denies once denied is set.
func deniedBy(denied *atomic.Bool) func() error {
	return func() error {
		if denied.Load() {
			return errGone
		}
		return nil
	}
}

var errGone = fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unauthorized, Reason: "the key is unknown"})

// ends are all ways in which a wait ends; each returns once it is checked.
var ends = []struct {
	name string
	end  func(t *testing.T, c *heldCall, done <-chan callerResult)
}{
	{"stop too early", func(t *testing.T, c *heldCall, done <-chan callerResult) {
		if c.hold.queue {
			c.relay.Stop(stopAfter(300*time.Millisecond, 20*time.Second))
			time.Sleep(299 * time.Millisecond)
		}
		got := c.endsAtOnce(t, done, func() {
			if c.hold.queue {
				time.Sleep(time.Millisecond)
			} else {
				c.relay.Stop(stopAfter(300*time.Millisecond, 20*time.Second))
			}
		})
		checkStopped(t, got, c.hold.comesBack)
	}},
	{"stop late enough", func(t *testing.T, c *heldCall, done <-chan callerResult) {
		c.relay.Stop(stopAfter(10*time.Second, 20*time.Second))
		assert.NilError(t, (<-done).err)
	}},
	{"stop without time for the answer", func(t *testing.T, c *heldCall, done <-chan callerResult) {
		got := c.endsAtOnce(t, done, func() { c.relay.Stop(stopAfter(4*time.Second, 5*time.Second)) })
		checkStopped(t, got, c.hold.comesBack)
	}},
	{"route or key gone", func(t *testing.T, c *heldCall, done <-chan callerResult) {
		got := c.endsAtOnce(t, done, func() { c.denied.Store(true); c.relay.Recheck() })
		assert.Equal(t, fault.CodeOf(got.err), fault.Unauthorized, "%v", got.err)
	}},
	{"other change", func(t *testing.T, c *heldCall, done <-chan callerResult) {
		c.relay.Recheck()
		assert.NilError(t, (<-done).err)
	}},
	{"servers gone", func(t *testing.T, c *heldCall, done <-chan callerResult) {
		gone := func() { c.table.Apply(nil, true, 0); c.relay.Recheck() }
		if c.hold.name == "pause" {
			checkVerdict(t, c.endsAtOnce(t, done, gone), fault.NotRun)
			return
		}
		gone() // the other waits are short
		checkVerdict(t, <-done, fault.NotRun)
		assert.Equal(t, c.attemptCount(), c.sent)
	}},
	{"another server", func(t *testing.T, c *heldCall, done <-chan callerResult) {
		b := engineEntry("b", "near", 0, 8)
		c.table.Apply([]server.Change{{ID: "b", Entry: b}}, false, 0)
		begun := time.Now()
		c.relay.Recheck()
		assert.NilError(t, (<-done).err)
		if c.hold.name == "pause" {
			assert.Assert(t, time.Since(begun) <= atOnce, "served after %v", time.Since(begun))
		}
	}},
	{"caller gone", func(t *testing.T, c *heldCall, done <-chan callerResult) {
		got := c.endsAtOnce(t, done, c.leave)
		assert.Equal(t, fault.VerdictOf(got.err), fault.NotRun)
	}},
}

// Guards against a request that waits for what can't come before its process ends, and against one that is
// sent after its wait although the configuration or the registry no longer allows it.
func TestWaitsEnd(t *testing.T) {
	for _, h := range holds {
		for _, e := range ends {
			for _, kind := range allKinds {
				t.Run(fmt.Sprint(h.name, "/", e.name, "/", kind), func(t *testing.T) {
					runVirtual(t, func(t *testing.T) {
						x := newSpeakers(t, engineEntry("a", "near", 0, 8))
						h.begin(x)
						ctx, leave := context.WithCancel(t.Context())
						defer time.Sleep(holdPause) // for the trial that another request has
						defer leave()
						c := &heldCall{speakers: x, hold: h, leave: leave, sent: x.attemptCount()}
						req := heldRequest(kind)
						req.Allowed = deniedBy(&c.denied)
						done := make(chan callerResult, 1)
						go func() { done <- x.serve(ctx, req) }()
						time.Sleep(waitBegun)
						assert.Equal(t, x.attemptCount(), c.sent, "the request does not wait")
						e.end(t, c, done)
					})
				})
			}
		}
	}
}

// Guards against a wait that outlasts the deadline of its request. Requests that would wait for a pause or a
// rate beyond their deadline are refused without a wait.
func TestWaitsEndAtTheDeadline(t *testing.T) {
	for _, h := range holds {
		for _, kind := range allKinds {
			t.Run(fmt.Sprint(h.name, "/", kind), func(t *testing.T) {
				runVirtual(t, func(t *testing.T) {
					x := newSpeakers(t, engineEntry("a", "near", 0, 8))
					h.begin(x)
					sent := x.attemptCount()
					defer time.Sleep(holdPause)
					req := heldRequest(kind)
					req.Deadline = req.Arrived.Add(500 * time.Millisecond)
					got := x.serve(t.Context(), req)
					checkVerdict(t, got, fault.NotRun)
					assert.Assert(t, got.took <= 500*time.Millisecond+atOnce, got.took)
					assert.Equal(t, x.attemptCount(), sent)
				})
			})
		}
	}
}

// lastSend is SendBy of a stop, from its begin. Twice that is less than the time after which an idempotent
// request is also sent to a second server.
const lastSend = 10 * time.Millisecond

// Guards against a request that comes to a process that stops and waits there, and against one that a server
// turned away and that is sent to another server so late that no answer can come.
func TestRequestsDuringAStop(t *testing.T) {
	for _, kind := range allKinds {
		t.Run(kind.String(), func(t *testing.T) {
			runVirtual(t, func(t *testing.T) {
				x := newSpeakers(t, engineEntry("a", "near", 0, 8), engineEntry("b", "near", 0, 8))
				x.relay.Stop(stopAfter(lastSend, 7*time.Second))
				assert.NilError(t, x.serve(t.Context(), request(kind, 2)).err)
				x.onSend = func(context.Context, int, *relay.Request, relay.Attempt) (*relay.Answer, error) {
					time.Sleep(2 * lastSend)
					return refusal(), nil
				}
				checkStopped(t, x.serve(t.Context(), request(kind, 2)), 150*time.Millisecond)
				assert.Equal(t, x.attemptCount(), 2)
				got := x.serve(t.Context(), request(kind, 2))
				checkStopped(t, got, 150*time.Millisecond)
				assert.Assert(t, got.took <= atOnce, got.took)
				assert.Equal(t, x.attemptCount(), 2)
			})
			runVirtual(t, func(t *testing.T) {
				x := newSpeakers(t, engineEntry("a", "near", 0, 8))
				x.rest()
				x.relay.Stop(stopAfter(3*time.Second, 7*time.Second))
				got := x.serve(t.Context(), request(kind, 2))
				checkStopped(t, got, 150*time.Millisecond)
				assert.Assert(t, got.took <= atOnce, got.took)
			})
		})
	}
}

// Guards against a request that may run again and is given up after its server has cut it, although another
// one answers before the process ends.
func TestRepeatDuringAStop(t *testing.T) {
	for _, kind := range []config.Kind{config.Idempotent, config.Stream} {
		t.Run(kind.String(), func(t *testing.T) {
			runVirtual(t, func(t *testing.T) {
				x := newSpeakers(t, engineEntry("a", "near", 0, 8), engineEntry("b", "near", 0, 8))
				answer := x.onSend
				x.onSend = func(ctx context.Context, n int, req *relay.Request, a relay.Attempt) (*relay.Answer, error) {
					if n == 1 {
						time.Sleep(2 * lastSend)
						return nil, connectionReset()
					}
					return answer(ctx, n, req, a)
				}
				x.relay.Stop(stopAfter(lastSend, 7*time.Second))
				assert.NilError(t, x.serve(t.Context(), request(kind, 2)).err)
				assert.Equal(t, x.attemptCount(), 2)
			})
		})
	}
}

// Guards against a request that a server has and that gets no answer before its process ends, or one that
// says that it did not run; and against a change that ends a request that a server has.
func TestRequestsWithAServer(t *testing.T) {
	const lasts = 8 * time.Second // the server's work on a request
	body := func(ctx context.Context, req *relay.Request, begun bool) (*relay.Answer, error) {
		if begun {
			return newStallingAnswer(ctx, events(1, 2)), nil
		}
		select {
		case <-time.After(lasts):
			ans := signedAnswer(200, "done")
			if req.Route.Kind() == config.Stream {
				ans = signedAnswer(200, events(1, 3))
				ans.Length = -1
			}
			return ans, nil
		case <-ctx.Done():
			return nil, fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: "the server did not answer", Cause: ctx.Err()})
		}
	}
	dial := func(ctx context.Context) (*relay.Answer, error) {
		<-ctx.Done()
		return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unavailable, Reason: "the server can't be reached", Cause: ctx.Err()})
	}
	for _, state := range []string{"dial", "header", "begun"} {
		for _, end := range []string{"stop", "other changes", "deadline", "caller gone"} {
			for _, kind := range allKinds {
				if state == "begun" && kind != config.Stream || state != "header" && end == "other changes" {
					continue
				}
				t.Run(fmt.Sprint(state, "/", end, "/", kind), func(t *testing.T) {
					runVirtual(t, func(t *testing.T) {
						x := newSpeakers(t, engineEntry("a", "near", 0, 8))
						x.onSend = func(ctx context.Context, _ int, req *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
							if state == "dial" {
								return dial(ctx)
							}
							return body(ctx, req, state == "begun")
						}
						ctx, leave := context.WithCancel(t.Context())
						defer leave()
						req := heldRequest(kind)
						var denied atomic.Bool
						req.Allowed = deniedBy(&denied)
						want := map[string]time.Duration{"stop": 7 * time.Second, "other changes": lasts, "deadline": 2 * time.Second, "caller gone": time.Second}[end]
						time.AfterFunc(time.Second, func() {
							switch end {
							case "stop":
								x.relay.Stop(stopAfter(2*time.Second, 6*time.Second))
							case "other changes":
								x.table.Apply(nil, true, 0)
								denied.Store(true)
								x.relay.Recheck()
							case "caller gone":
								leave()
							}
						})
						if end == "deadline" {
							req.Deadline = req.Arrived.Add(want)
						}
						got := x.serve(ctx, req)
						assert.Assert(t, got.took >= want && got.took <= want+100*time.Millisecond, got.took)
						assert.Equal(t, x.attemptCount(), 1)
						switch {
						case end == "other changes":
							assert.NilError(t, got.err)
						case end == "stop" && state == "dial":
							checkStopped(t, got, 150*time.Millisecond)
						case end == "stop":
							checkVerdict(t, got, fault.MayHaveRun)
							assert.Equal(t, fault.CodeOf(got.err), fault.Leaving)
							assert.Equal(t, got.status != 0, state == "begun")
						case state == "dial":
							checkVerdict(t, got, fault.NotRun)
						default:
							checkVerdict(t, got, fault.MayHaveRun)
						}
					})
				})
			}
		}
	}
}

// Guards against moments of the stop at which a request would be sent and not answered, or refused though it
// can be answered.
func TestStopAllows(t *testing.T) {
	now := time.Now()
	s := &relay.Stop{SendBy: now.Add(3 * time.Second), AnswerBy: now.Add(7 * time.Second)}
	for _, x := range []struct {
		at, answer time.Duration
		sent, want bool
	}{
		{0, time.Second, false, true},
		{3 * time.Second, time.Second, false, true},
		{3*time.Second + 1, time.Second, false, false},
		{3*time.Second + 1, time.Second, true, true},
		{6 * time.Second, time.Second, true, true},
		{6*time.Second + 1, time.Second, true, false},
		{0, 7 * time.Second, false, true},
		{1, 7 * time.Second, false, false},
	} {
		assert.Equal(t, s.Allows(now.Add(x.at), x.sent, x.answer), x.want, "%+v", x)
	}
	var none *relay.Stop
	assert.Assert(t, none.Allows(now.Add(time.Hour), false, time.Hour))
}

// Guards against a request that waits though nothing is awaited: without servers, without a path of engines and
// without a repeat left.
func TestRequestsThatDoNotWait(t *testing.T) {
	for name, servers := range map[string][]server.Entry{"no servers": nil, "no path": {engineEntry("a", "near", 0, 4)}, "no repeat": {engineEntry("a", "near", 0, 8), engineEntry("b", "near", 0, 8)}} {
		for _, kind := range allKinds {
			if name == "no path" && kind != config.Stream {
				continue
			}
			t.Run(fmt.Sprint(name, "/", kind), func(t *testing.T) {
				runVirtual(t, func(t *testing.T) {
					x, want := newSpeakers(t, servers...), fault.NotRun
					if name == "no repeat" {
						want = fault.MayHaveRun
						x.onSend = func(context.Context, int, *relay.Request, relay.Attempt) (*relay.Answer, error) {
							return nil, connectionReset()
						}
						for x.budget.TryRetry() { //nolint:revive // uses up the budget
						}
					}
					got := x.serve(t.Context(), request(kind, 2))
					checkVerdict(t, got, want)
					assert.Assert(t, got.took <= 50*time.Millisecond, got.took) // a query whether the server has crashed
				})
			})
		}
	}
}

// Guards against a request that waits for a place among the first ones after a pause, in a process that stops
// before.
func TestReturnsAfterAPauseDuringAStop(t *testing.T) {
	for _, kind := range allKinds {
		t.Run(kind.String(), func(t *testing.T) {
			runVirtual(t, func(t *testing.T) {
				x := newSpeakers(t, engineEntry("a", "near", 0, 8))
				x.rest()
				x.onSend = hangs
				time.Sleep(holdPause + 250*time.Millisecond) // and the random addition to it
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go x.serve(ctx, heldRequest(config.AtMostOnce)) // the first one, without an answer so far
				time.Sleep(time.Millisecond)
				done := make(chan callerResult, 1)
				go func() { done <- x.serve(ctx, heldRequest(kind)) }()
				time.Sleep(time.Millisecond)
				assert.Equal(t, x.attemptCount(), 1, "the request does not wait")
				x.relay.Stop(stopAfter(time.Millisecond, 20*time.Second))
				begun := time.Now()
				checkStopped(t, <-done, 150*time.Millisecond)
				assert.Assert(t, time.Since(begun) <= 10*time.Millisecond, time.Since(begun))
				assert.Equal(t, x.attemptCount(), 1)
			})
		})
	}
}

// hangs is a server that does not answer.
func hangs(ctx context.Context, _ int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
	<-ctx.Done()
	return nil, connectionReset()
}
