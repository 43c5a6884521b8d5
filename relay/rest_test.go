package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
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

// speakers are backend servers that say in their answers that they leave, or refuse with a pause.
type speakers struct {
	*testCluster

	mu      sync.Mutex
	leaving map[string]bool          // by server ID
	pauses  map[string]time.Duration // pause that a server asks for with its next refusals, by server ID
	got     map[string][]time.Time   // requests by server ID
}

func newSpeakers(t *testing.T, entries ...server.Entry) *speakers {
	t.Helper()
	x := &speakers{testCluster: newCluster(t, entries...), leaving: map[string]bool{}, pauses: map[string]time.Duration{}, got: map[string][]time.Time{}}
	x.onSend = func(_ context.Context, _ int, req *relay.Request, a relay.Attempt) (*relay.Answer, error) {
		x.mu.Lock()
		defer x.mu.Unlock()
		id := a.Server.ID()
		x.got[id] = append(x.got[id], time.Now())
		ans := signedAnswer(http.StatusOK, "done")
		if req.Route.Kind() == config.Stream {
			ans = signedAnswer(http.StatusOK, events(1, 3))
			ans.Length = -1
		}
		if d := x.pauses[id]; d > 0 {
			ans = refusal()
			ans.Intake.RestUntil = intake.Now() + d
		}
		ans.Intake.Leaving = x.leaving[id]
		return ans, nil
	}
	return x
}

// play sends requests, one each step, and waits for their answers.
func (x *speakers) play(t *testing.T, kind config.Kind, step, d time.Duration) (results []callerResult) {
	t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for begun, n := time.Now(), 0; time.Since(begun) < d; n++ {
		wg.Go(func() {
			req := request(kind, 2)
			req.ID = fmt.Sprint(n)
			got := x.serve(t.Context(), req)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, got)
		})
		time.Sleep(step)
	}
	wg.Wait()
	return results
}

// set changes what a server says.
func (x *speakers) set(id string, leaving bool, pause time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.leaving[id], x.pauses[id] = leaving, pause
}

// count returns the number of requests that a server got within times after another one.
func (x *speakers) count(id string, since time.Time, from, to time.Duration) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for _, at := range x.got[id] {
		if d := at.Sub(since); d >= from && d < to {
			n++
		}
	}
	return n
}

func checkAllServed(t *testing.T, results []callerResult) {
	t.Helper()
	for _, got := range results {
		assert.NilError(t, got.err)
	}
}

var allKinds = []config.Kind{config.Idempotent, config.AtMostOnce, config.Stream}

// Guards against requests to a server that said that it leaves while the registry still lists it.
func TestServerThatLeavesGetsRequests(t *testing.T) {
	for _, kind := range allKinds {
		t.Run(kind.String(), func(t *testing.T) {
			runVirtual(t, func(t *testing.T) {
				a, b := engineEntry("a", "near", 0, 8), engineEntry("b", "near", 0, 8)
				a.Started, b.Started = 1, 1
				x := newSpeakers(t, a, b)
				x.set("a", true, 0)
				x.table.ByAddress("b:1").Avoid(10 * time.Millisecond)
				begun := time.Now()
				checkAllServed(t, x.play(t, kind, 20*time.Millisecond, 2*time.Second))
				x.table.Apply([]server.Change{{ID: "a", Entry: a}}, false, 0) // a row from before
				checkAllServed(t, x.play(t, kind, 20*time.Millisecond, 2*time.Second))
				assert.Equal(t, x.count("a", begun, 0, time.Hour), 1)

				a.Started = 2
				x.set("a", false, 0)
				x.table.Apply([]server.Change{{ID: "a", Entry: a}}, false, 0)
				x.table.ByAddress("b:1").Avoid(time.Second)
				checkAllServed(t, x.play(t, kind, 20*time.Millisecond, time.Second))
				assert.Assert(t, x.count("a", begun, 4*time.Second, time.Hour) > 40)
			})
		})
	}
}

// Guards against a third request to a server from half a second after it asked for a pause on.
func TestServerAtRestGetsRequests(t *testing.T) {
	for _, kind := range allKinds {
		for _, servers := range []int{1, 3} {
			t.Run(fmt.Sprint(kind, servers), func(t *testing.T) {
				runVirtual(t, func(t *testing.T) {
					var entries []server.Entry
					for i := range servers {
						entries = append(entries, engineEntry(fmt.Sprint("s", i), "near", 0, 8))
					}
					x := newSpeakers(t, entries...)
					const pause = 4 * time.Second
					x.set("s0", false, pause)
					for _, s := range x.table.All() {
						if s.ID() != "s0" {
							s.Avoid(10 * time.Millisecond)
						}
					}
					x.play(t, kind, 20*time.Millisecond, time.Second)
					x.mu.Lock()
					refused := x.got["s0"][0]
					x.mu.Unlock()
					x.set("s0", false, 0)
					x.play(t, kind, 20*time.Millisecond, 2*time.Second)
					n := x.count("s0", refused, 500*time.Millisecond, pause)
					assert.Assert(t, n <= 2, "%d requests", n)
				})
			})
		}
	}
}

// Guards against callers that wait for a server at rest although they can't be served in time, and that
// return before its pause ends.
func TestRequestsDuringAPauseAreRefusedAtOnce(t *testing.T) {
	for _, kind := range allKinds {
		t.Run(kind.String(), func(t *testing.T) {
			runVirtual(t, func(t *testing.T) {
				x := newSpeakers(t, engineEntry("a", "near", 0, 8))
				x.set("a", false, 20*time.Second)
				for range 3 {
					got := x.serve(t.Context(), request(kind, 2))
					checkVerdict(t, got, fault.NotRun)
					assert.Assert(t, got.took < 50*time.Millisecond, got.took)
					at, _ := fault.RetryAt(got.err)
					assert.Assert(t, time.Until(at) > 19*time.Second && time.Until(at) < 26*time.Second, time.Until(at))
				}
				assert.Equal(t, x.attemptCount(), 1)
				assert.Assert(t, x.log.contains("backend servers rest"))
			})
		})
	}
}

// Guards against requests that are refused although the server is back well before their deadline, the
// one that it turned away among them.
func TestRequestsWaitForTheEndOfAPause(t *testing.T) {
	for _, kind := range allKinds {
		t.Run(kind.String(), func(t *testing.T) {
			runVirtual(t, func(t *testing.T) {
				x := newSpeakers(t, engineEntry("a", "near", 0, 8))
				x.set("a", false, time.Second)
				time.AfterFunc(500*time.Millisecond, func() { x.set("a", false, 0) })
				results := x.play(t, kind, 50*time.Millisecond, 900*time.Millisecond)
				checkAllServed(t, results)
				for _, got := range results {
					assert.Assert(t, got.took < 2*time.Second, got.took)
				}
			})
		})
	}
}

// Guards against a burst of all waiting requests when a pause ends.
func TestWaitingRequestsReturnAtOnce(t *testing.T) {
	runVirtual(t, func(t *testing.T) {
		x := newSpeakers(t, engineEntry("a", "near", 0, 8))
		x.set("a", false, time.Second)
		time.AfterFunc(500*time.Millisecond, func() { x.set("a", false, 0) })
		answer := x.onSend
		x.onSend = func(ctx context.Context, n int, req *relay.Request, a relay.Attempt) (*relay.Answer, error) {
			ans, err := answer(ctx, n, req, a)
			if !ans.Refused {
				time.Sleep(50 * time.Millisecond)
			}
			return ans, err
		}
		results := x.play(t, config.Idempotent, 10*time.Millisecond, 900*time.Millisecond)
		checkAllServed(t, results)
		x.mu.Lock()
		var back time.Time
		for _, at := range x.got["a"] {
			if back.IsZero() && at.Sub(x.got["a"][0]) > 900*time.Millisecond {
				back = at
			}
		}
		x.mu.Unlock()
		assert.Equal(t, x.count("a", back, 0, 45*time.Millisecond), 1)
		n := x.count("a", back, 0, 95*time.Millisecond)
		assert.Assert(t, n <= 3, n)
	})
}

// Guards against a request that waits for the rate of a server and is sent although the server began to
// leave or to rest meanwhile.
func TestServerTurnsAwayARequestThatWaits(t *testing.T) {
	for _, kind := range []config.Kind{config.Idempotent, config.Stream} {
		for _, said := range []string{"leaving", "pause"} {
			t.Run(fmt.Sprint(kind, " ", said), func(t *testing.T) {
				runVirtual(t, func(t *testing.T) {
					x := newSpeakers(t, engineEntry("a", "near", 0, 8), engineEntry("b", "near", 0, 8))
					a := x.table.ByAddress("a:1")
					x.table.ByAddress("b:1").Avoid(time.Hour)
					answer := x.onSend
					x.onSend = func(ctx context.Context, n int, req *relay.Request, at relay.Attempt) (*relay.Answer, error) {
						ans, err := answer(ctx, n, req, at)
						if at.Server.ID() == "a" {
							ans.Rate = relay.NamedRate{Named: true, Value: 25}
						}
						return ans, err
					}
					assert.NilError(t, x.serve(t.Context(), request(kind, 2)).err)
					assert.NilError(t, x.serve(t.Context(), request(kind, 2)).err)
					sent := x.attemptCount()
					time.AfterFunc(5*time.Millisecond, func() {
						s := intake.Statement{Server: a.Incarnation(), ID: "a", Said: intake.Said{Leaving: true}}
						if said == "pause" {
							s.Said = intake.Said{RestUntil: intake.Now() + time.Minute}
						}
						x.intake.Observe(s)
					})
					assert.NilError(t, x.serve(t.Context(), request(kind, 2)).err)
					assert.Equal(t, x.attempts[sent].Server.ID(), "b")
				})
			})
		}
	}
}

// Guards against a path over an engine that rests or leaves, at any hop, while there is another one, and
// against an engine that counts as leaving because another one refused.
func TestPathOverAnEngineAtRest(t *testing.T) {
	runVirtual(t, func(t *testing.T) {
		x := newSpeakers(t, engineEntry("a", "near", 0, 4), engineEntry("b", "near", 4, 8), engineEntry("c", "near", 4, 8), engineEntry("d", "near", 0, 4))
		answer := x.onSend
		refused := ""
		x.onSend = func(ctx context.Context, n int, req *relay.Request, a relay.Attempt) (*relay.Answer, error) {
			if n > 1 {
				return answer(ctx, n, req, a)
			}
			ans := refusal()
			refused = a.Path[1].Address
			ans.RefusedBy, ans.Intake = refused, intake.Said{RestUntil: intake.Now() + 10*time.Second}
			return ans, nil
		}
		time.Sleep(time.Second)
		checkAllServed(t, x.play(t, config.Stream, 20*time.Millisecond, 5*time.Second))
		first := x.attempts[0].Path[0].Address
		for _, a := range x.attempts[1:] {
			assert.Assert(t, a.Path[1].Address != refused && a.Path[0].Address != first, "%v", a.Path)
		}
		assert.Assert(t, !x.table.ByAddress(refused).Leaving() && !x.table.ByAddress(first).Leaving())
	})
}

// Guards against an end of the service when all of its servers say that they leave, and against requests
// to them later than the platform allows.
func TestAllServersOfAServiceLeave(t *testing.T) {
	runVirtual(t, func(t *testing.T) {
		x := newSpeakers(t, plainEntry("a"), plainEntry("b"))
		x.set("a", true, 0)
		x.set("b", true, 0)
		checkAllServed(t, x.play(t, config.Idempotent, 20*time.Millisecond, 900*time.Millisecond))
		time.Sleep(200 * time.Millisecond)
		sent := x.attemptCount()
		for _, got := range x.play(t, config.Idempotent, 20*time.Millisecond, 3*time.Second) {
			checkVerdict(t, got, fault.NotRun)
		}
		assert.Equal(t, x.attemptCount(), sent)
		x.table.Apply([]server.Change{{ID: "new", Entry: plainEntry("new")}}, false, 0)
		checkAllServed(t, x.play(t, config.Idempotent, 20*time.Millisecond, time.Second))
	})
}

// Guards against a long stream that stays on an engine that said in its answer that it leaves, and loses it.
func TestStreamStaysOnAnEngineThatSaidItLeaves(t *testing.T) {
	runVirtual(t, func(t *testing.T) {
		cl := newCluster(t, engineEntry("a", "near", 0, 8), slowAccelerator(engineEntry("b", "near", 0, 8)))
		old := &pacedBody{left: 200}
		cl.onSend = func(ctx context.Context, n int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
			if n > 1 {
				return newResumedAnswer(ctx, a), nil
			}
			ans := signedAnswer(http.StatusOK, "")
			old.ctx, ans.Body, ans.Intake.Leaving = ctx, old, true
			return ans, nil
		}
		checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 200))
		assert.Equal(t, cl.attemptCount(), 2)
		assert.Equal(t, cl.attempts[1].Server.ID(), "b")
		assert.Assert(t, old.left > 50, "the old run was read up to event %d", old.sent)
	})
}

// Guards against a request that is sent after its wait for a server at rest although a part of its prompt
// was quarantined meanwhile.
func TestQuarantineBeginsDuringAPause(t *testing.T) {
	for _, kind := range []config.Kind{config.Idempotent, config.Stream} {
		t.Run(kind.String(), func(t *testing.T) {
			runVirtual(t, func(t *testing.T) {
				x := newSpeakers(t, engineEntry("a", "near", 0, 8))
				x.intake.Observe(intake.Statement{Server: x.table.ByAddress("a:1").Incarnation(), ID: "a", Said: intake.Said{RestUntil: intake.Now() + time.Second}})
				time.AfterFunc(500*time.Millisecond, func() {
					now := poison.Now()
					x.poison.Merge([]poison.Record{{Part: poison.Part{Service: "s", ID: deadlyPart}, Since: now, Until: now + time.Minute, Terms: 1}})
				})
				req := request(kind, 2)
				req.PromptParts = []string{deadlyPart, "own"}
				checkVerdict(t, x.serve(t.Context(), req), fault.NotRun)
				assert.Equal(t, x.attemptCount(), 0)
			})
		})
	}
}

// Guards against a stream that is refused during a pause because an engine without layers rests neither.
func TestEngineWithoutLayersDuringAPause(t *testing.T) {
	runVirtual(t, func(t *testing.T) {
		x := newSpeakers(t, engineEntry("a", "near", 0, 8), engineEntry("empty", "near", 0, 0))
		x.intake.Observe(intake.Statement{Server: x.table.ByAddress("a:1").Incarnation(), ID: "a", Said: intake.Said{RestUntil: intake.Now() + time.Second}})
		assert.NilError(t, x.serve(t.Context(), request(config.Stream, 2)).err)
	})
}
