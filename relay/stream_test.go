package relay_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/relay"
	"github.com/cranberrybay/cranberrybay/server"
)

// checkTiles fails unless the hops run layers 0 to 8 once and in order.
func checkTiles(t *testing.T, path []relay.Hop) {
	t.Helper()
	at := 0
	for _, h := range path {
		assert.Equal(t, h.From, at, "%v", path)
		at = h.To
	}
	assert.Equal(t, at, 8, "%v", path)
}

// Guards against a gap or a repeat in a stream that goes on at another server,
// and against half an event of the first.
func TestStreamResumes(t *testing.T) {
	w := newWorld(t, engine("a", "near", 0, 8), engine("b", "near", 0, 8))
	w.send = func(_ context.Context, n int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
		checkTiles(t, a.Path)
		if n == 1 {
			ans := answer(http.StatusOK, "")
			ans.Body = &torn{strings.NewReader(events(1, 3) + "id: 4\nda")}
			return ans, nil
		}
		assert.Equal(t, a.LastEvent, "3")
		return answer(http.StatusOK, events(3, 6)), nil // sends event 3 again
	}
	checkServed(t, w.serve(t.Context(), request(config.Stream, 2)), events(1, 6))
}

// torn ends with a reset.
type torn struct{ from *strings.Reader }

func (x *torn) Read(b []byte) (int, error) {
	if x.from.Len() == 0 {
		return 0, lost()
	}
	return x.from.Read(b)
}

func (x *torn) Close() error { return nil }

// Guards against an answer that looks complete although no server could end it.
func TestBrokenStreamIsAnError(t *testing.T) {
	w := newWorld(t, engine("a", "near", 0, 8), engine("b", "near", 0, 8))
	w.send = func(context.Context, int, *relay.Request, relay.Attempt) (*relay.Answer, error) {
		ans := answer(http.StatusOK, "")
		ans.Body = &torn{strings.NewReader(events(1, 2))}
		return ans, nil
	}
	got := w.serve(t.Context(), request(config.Stream, 2))
	checkVerdict(t, got, fault.MayHaveRun)
	assert.Equal(t, w.count(), 2)
}

// Guards against a stream that waits for a dead engine until its first engine
// reports it, 200 ms late: callers expect pauses of at most 200 ms.
func TestDeadEngineIsReplacedNearby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, engine("a", "near", 0, 2), engine("a2", "near", 2, 4), engine("b", "near", 4, 8), engine("c", "near", 4, 8))
		var moved time.Duration
		begun := time.Now()
		more := make(chan struct{})
		w.send = func(ctx context.Context, _ int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
			w.kill(a.Path[2].Address)
			return resumingAnswer(ctx, more), nil
		}
		w.repathed = func(path []relay.Hop) error {
			checkTiles(t, path)
			assert.Assert(t, !w.isDead(path[2].Address))
			moved = time.Since(begun)
			close(more)
			return nil
		}
		checkServed(t, w.serve(t.Context(), request(config.Stream, 2)), events(1, 4))
		assert.Assert(t, moved < 180*time.Millisecond, "moved after %v", moved)
		assert.Equal(t, w.count(), 1)
	})
}

// Guards against a second attempt over engines that died together with the one
// that refused the first, and against none when no other failure domain can serve.
func TestSecondAttemptLeavesTheDomain(t *testing.T) {
	for _, far := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			entries := []server.Entry{engine("a", "near", 0, 4), engine("b", "near", 4, 8), engine("c", "near", 4, 8)}
			if far {
				entries = append(entries, slow(engine("d", "far", 0, 8)))
			}
			w := newWorld(t, entries...)
			w.send = func(_ context.Context, n int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
				if n == 1 {
					ans := refusedAnswer()
					ans.Culprit = a.Path[1].Address
					return ans, nil
				}
				assert.Equal(t, a.Path[0].Address == "d:1", far)
				return answer(http.StatusOK, events(1, 1)), nil
			}
			checkServed(t, w.serve(t.Context(), request(config.Stream, 2)), events(1, 1))
		})
	}
}

// Guards against a first engine that gets more streams than its slots while
// another has some free, and against a refusal when all have a queue.
func TestSlotsOfFirstEngines(t *testing.T) {
	a, b := engine("a", "near", 0, 8), engine("b", "near", 0, 8)
	a.Slots, b.Slots = 2, 2
	w := newWorld(t, a, slow(b))
	first := map[string]int{}
	release := make(chan struct{})
	arrived := make(chan struct{})
	w.send = func(_ context.Context, _ int, _ *relay.Request, x relay.Attempt) (*relay.Answer, error) {
		w.mu.Lock()
		first[x.Path[0].Address]++
		w.mu.Unlock()
		arrived <- struct{}{}
		<-release
		return answer(http.StatusOK, events(1, 1)), nil
	}
	var wg sync.WaitGroup
	for range 5 {
		wg.Go(func() { checkServed(t, w.serve(t.Context(), request(config.Stream, 1)), events(1, 1)) })
		<-arrived
	}
	close(release)
	wg.Wait()
	assert.Assert(t, first["a:1"] >= 2 && first["b:1"] >= 2, "%v", first)
	assert.Equal(t, first["a:1"]+first["b:1"], 5)
}

// Guards against a stream that asks an engine which another process has just
// found dead, and against one that leaves an engine which serves it.
func TestToldStreamMovesWithoutAsking(t *testing.T) {
	dead := func(t *testing.T, told time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, engine("a", "near", 0, 4), engine("b", "near", 4, 8), engine("c", "near", 4, 8))
			begun, more := time.Now(), make(chan struct{})
			w.send = func(ctx context.Context, _ int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
				second := w.table.ByAddress(a.Path[1].Address)
				time.AfterFunc(told, func() { w.relay.Told(second) })
				return resumingAnswer(ctx, more), nil
			}
			w.repathed = func(path []relay.Hop) error { checkTiles(t, path); close(more); return nil }
			checkServed(t, w.serve(t.Context(), request(config.Stream, 2)), events(1, 4))
			assert.Equal(t, w.repaths, 1)
			assert.Equal(t, w.reports, 0)
			took := time.Since(begun)
			assert.Assert(t, took <= max(told, signOfLife)+time.Millisecond, "%v", took)
		})
	}
	t.Run("dead", func(t *testing.T) { dead(t, 65*time.Millisecond) })
	t.Run("dead a moment ago", func(t *testing.T) { dead(t, 10*time.Millisecond) })
	t.Run("serving", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, engine("a", "near", 0, 4), engine("b", "near", 4, 8), engine("c", "near", 4, 8))
			w.send = func(ctx context.Context, _ int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
				second := w.table.ByAddress(a.Path[1].Address)
				time.AfterFunc(25*time.Millisecond, func() { w.relay.Told(second) })
				ans := answer(http.StatusOK, "")
				ans.Body = &paced{ctx: ctx, left: 20}
				return ans, nil
			}
			checkServed(t, w.serve(t.Context(), request(config.Stream, 2)), events(1, 20))
			assert.Equal(t, w.repaths, 0)
		})
	})
}

// signOfLife is more than the age of an event that shows that an engine lives.
const signOfLife = 40 * time.Millisecond

// Guards against a stream whose new path has several new hops, each of which
// reads the prompt after the one before it, and against one that is lost when no
// repeat is left.
func TestSeveralDeadEnginesResumeElsewhere(t *testing.T) {
	for _, repeat := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, engine("a", "near", 0, 4), engine("b", "near", 4, 6), engine("c", "near", 6, 8),
				slow(engine("b2", "near", 4, 6)), slow(engine("c2", "near", 6, 8)), slow(engine("d", "far", 0, 8)))
			if !repeat {
				for w.budget.Repeat() {
				}
			}
			more := make(chan struct{})
			w.send = func(ctx context.Context, n int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
				if n == 2 {
					return answer(http.StatusOK, events(3, 4)), nil
				}
				assert.Equal(t, a.Path[1].Address, "b:1")
				w.kill("b:1")
				return resumingAnswer(ctx, more), nil
			}
			w.repathed = func(path []relay.Hop) error {
				if path[2].Address == "c:1" {
					return &relay.MissingPart{Address: "c:1"}
				}
				close(more)
				return nil
			}
			checkServed(t, w.serve(t.Context(), request(config.Stream, 2)), events(1, 4))
			assert.Equal(t, w.count() == 2, repeat)
		})
	}
}

// Guards against the streams of many entry processes that all leave a dead engine
// for the same other one, which then reads all their prompts one by one.
func TestDetoursSpread(t *testing.T) {
	const processes = 80
	chosen := map[string]int{}
	for range processes {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, engine("a", "near", 0, 4), engine("b", "near", 4, 8), engine("c", "near", 4, 8), engine("d", "near", 4, 8), engine("e", "near", 4, 8))
			more := make(chan struct{})
			w.send = func(ctx context.Context, _ int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
				w.kill(a.Path[1].Address)
				return resumingAnswer(ctx, more), nil
			}
			w.repathed = func(path []relay.Hop) error { chosen[path[1].Address]++; close(more); return nil }
			checkServed(t, w.serve(t.Context(), request(config.Stream, 2)), events(1, 4))
		})
	}
	for address, n := range chosen {
		assert.Assert(t, n <= processes/2, "%s has %d of %d streams", address, n, processes)
	}
}

// resuming gives some events, waits, and gives others.
type resuming struct {
	first, then *strings.Reader
	more        chan struct{}
	ctx         context.Context
}

func (x *resuming) Read(b []byte) (int, error) {
	if x.first.Len() > 0 {
		return x.first.Read(b)
	}
	select {
	case <-x.more:
		return x.then.Read(b)
	case <-x.ctx.Done():
		return 0, x.ctx.Err()
	}
}

func (x *resuming) Close() error { return nil }

// resumingAnswer gives events 1 and 2, and 3 and 4 once more is closed.
func resumingAnswer(ctx context.Context, more chan struct{}) *relay.Answer {
	ans := answer(http.StatusOK, "")
	ans.Body = &resuming{first: strings.NewReader(events(1, 2)), then: strings.NewReader(events(3, 4)), more: more, ctx: ctx}
	return ans
}

// Guards against activations of all tokens on the pipe between failure domains:
// without an engine nearby the stream is resumed on a whole path elsewhere.
func TestDeadEngineResumesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, engine("a", "near", 0, 4), engine("b", "near", 4, 8), slow(engine("c", "far", 0, 8)))
		w.send = func(ctx context.Context, n int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
			if n == 1 {
				assert.Equal(t, len(a.Path), 2)
				w.kill("b:1")
				return stallingAnswer(ctx, events(1, 2)), nil
			}
			assert.Equal(t, a.Path[0].Address, "c:1")
			return answer(http.StatusOK, events(3, 4)), nil
		}
		w.repathed = func([]relay.Hop) error { t.Error("path changed over the pipe"); return nil }
		got := w.serve(t.Context(), request(config.Stream, 2))
		checkServed(t, got, events(1, 4))
		assert.Assert(t, got.took < 300*time.Millisecond, "%v", got.took)
	})
}

// Guards against a running answer that is given up without a repeat left, which
// cuts it off (LOST on three days of the grown deployment).
func TestNoRepeatLeftTakesTheDetour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, engine("a", "near", 0, 4), engine("b", "near", 4, 8), slow(engine("c", "far", 0, 8)))
		for w.budget.Repeat() {
		}
		more := make(chan struct{})
		w.send = func(ctx context.Context, _ int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
			w.kill("b:1")
			return resumingAnswer(ctx, more), nil
		}
		w.repathed = func(path []relay.Hop) error {
			checkTiles(t, path)
			assert.Equal(t, path[1].Address, "c:1")
			close(more)
			return nil
		}
		checkServed(t, w.serve(t.Context(), request(config.Stream, 2)), events(1, 4))
	})
}

// Guards against a stream that goes on at a server after its caller has left.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, engine("a", "near", 0, 8))
		stopped := false
		w.send = func(ctx context.Context, _ int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
			context.AfterFunc(ctx, func() { stopped = true })
			return stallingAnswer(ctx, events(1, 2)), nil
		}
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(300*time.Millisecond, leave)
		got := w.serve(ctx, request(config.Stream, 2))
		synctest.Wait()
		assert.Assert(t, got.err != nil && stopped)
		assert.Equal(t, w.count(), 1)
	})
}

// Guards against a request that waits when no engines hold all layers.
func TestNoPathIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, engine("a", "near", 0, 4))
		got := w.serve(t.Context(), request(config.Stream, 2))
		checkVerdict(t, got, fault.NotRun)
		assert.Equal(t, got.took, time.Duration(0))
	})
}

// Guards against a refusal of one path that ends a request which another path
// would take.
func TestRefusedPathIsAvoided(t *testing.T) {
	w := newWorld(t, engine("a", "near", 0, 8), engine("b", "far", 0, 8))
	w.send = func(_ context.Context, n int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
		if n == 1 {
			ans := refusedAnswer()
			ans.Culprit = a.Path[0].Address
			return ans, nil
		}
		return answer(http.StatusOK, events(1, 1)), nil
	}
	checkServed(t, w.serve(t.Context(), request(config.Stream, 2)), events(1, 1))
	assert.Assert(t, w.sends[0].Path[0] != w.sends[1].Path[0])
}

// Guards against a started stream that ends because one server refused to go on
// with it (LOST on a day with three releases at once).
func TestStartedStreamOutlivesARefusal(t *testing.T) {
	w := newWorld(t, engine("a", "near", 0, 8), engine("b", "near", 0, 8), engine("c", "near", 0, 8))
	w.send = func(_ context.Context, n int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
		switch n {
		case 1:
			ans := answer(http.StatusOK, "")
			ans.Body = &torn{strings.NewReader(events(1, 2))}
			return ans, nil
		case 2:
			ans := refusedAnswer()
			ans.Culprit = a.Path[0].Address
			return ans, nil
		default:
			return answer(http.StatusOK, events(3, 4)), nil
		}
	}
	checkServed(t, w.serve(t.Context(), request(config.Stream, 2)), events(1, 4))
	assert.Equal(t, w.count(), 3)
}

// Guards against a stream that loses an engine which drains, and against a pause
// for each stream that would have ended before that.
func TestLongStreamLeavesADrainingEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, c := engine("b", "near", 4, 8), engine("c", "near", 4, 8)
		w := newWorld(t, engine("a", "near", 0, 4), b, c)
		begun := time.Now()
		var moved time.Duration
		w.send = func(ctx context.Context, _ int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
			for _, e := range []server.Entry{b, c} {
				if e.Address == a.Path[1].Address {
					e.Draining = true
					w.table.Apply([]server.Change{{ID: e.ID, Entry: e}}, false, 0)
				}
			}
			ans := answer(http.StatusOK, "")
			ans.Body = &paced{ctx: ctx, left: 200}
			return ans, nil
		}
		w.repathed = func(path []relay.Hop) error { moved = time.Since(begun); checkTiles(t, path); return nil }
		checkServed(t, w.serve(t.Context(), request(config.Stream, 2)), events(1, 200))
		assert.Equal(t, w.repaths, 1)
		assert.Assert(t, moved > time.Second && moved < 2*time.Second, "%v", moved)
	})
}

// paced gives an event every 20 ms until its context ends.
type paced struct {
	ctx  context.Context
	sent int
	left int
	end  error // after the last event; nil for io.EOF
}

func (p *paced) Read(b []byte) (int, error) {
	if p.left == 0 && p.end != nil {
		return 0, p.end
	}
	if p.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(20 * time.Millisecond)
	if p.ctx.Err() != nil {
		return 0, p.ctx.Err()
	}
	p.left--
	p.sent++
	return copy(b, events(p.sent, p.sent)), nil
}

func (p *paced) Close() error { return nil }

// Guards against an engine whose one late answer moves the streams of all entry
// processes (300 moves in a second without a crash on a grown day), and against a
// dead one that they are not told of.
func TestSilentEngineIsAskedTwiceBeforeAnAlert(t *testing.T) {
	for _, dead := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, engine("a", "near", 0, 4), engine("b", "near", 4, 8), engine("c", "near", 4, 8))
			more := make(chan struct{})
			w.send = func(ctx context.Context, _ int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
				if dead {
					w.kill(a.Path[1].Address)
				}
				w.mu.Lock()
				w.late[a.Path[1].Address] = 1
				w.mu.Unlock()
				return resumingAnswer(ctx, more), nil
			}
			w.repathed = func([]relay.Hop) error { close(more); return nil }
			checkServed(t, w.serve(t.Context(), request(config.Stream, 2)), events(1, 4))
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			assert.Equal(t, len(w.alerts) == 1, dead, "%v", w.alerts)
		})
	}
}

// Guards against a dead engine that other processes are not told of, and against
// an alert for one that refuses and lives.
func TestDeadCulpritIsTold(t *testing.T) {
	for _, dead := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, engine("a", "near", 0, 4), engine("b", "near", 4, 8), engine("c", "near", 4, 8))
			w.send = func(_ context.Context, n int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
				if n == 1 {
					if dead {
						w.kill(a.Path[1].Address)
					}
					ans := refusedAnswer()
					ans.Culprit = a.Path[1].Address
					return ans, nil
				}
				return answer(http.StatusOK, events(1, 1)), nil
			}
			checkServed(t, w.serve(t.Context(), request(config.Stream, 2)), events(1, 1))
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			assert.Equal(t, len(w.alerts) == 1, dead, "%v", w.alerts)
		})
	}
}

// Guards against a process with a slow link that takes all engines for dead, gives
// its streams up and tells the others so (a day of the grown deployment, where a
// body of 4 MB takes a link of 20 Mbit/s for 1.7 s).
func TestSlowLinkIsNoDeadEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, engine("a", "near", 0, 2), engine("b", "near", 2, 5), engine("c", "near", 5, 8))
		more := make(chan struct{})
		w.send = func(ctx context.Context, _ int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
			for _, address := range []string{"a:1", "b:1", "c:1"} {
				w.kill(address)
			}
			time.AfterFunc(time.Second, func() { close(more) })
			return resumingAnswer(ctx, more), nil
		}
		w.repathed = func([]relay.Hop) error { t.Error("path changed"); return nil }
		checkServed(t, w.serve(t.Context(), request(config.Stream, 2)), events(1, 4))
		assert.Equal(t, len(w.alerts), 0)
	})
}

// Guards against questions without end while a stream waits and has nowhere to go
// (84,121 on one day of neonsabha-grown, 12,350 for 4,268 requests on one of
// leoben-sohle).
func TestLongPauseCostsFewQuestions(t *testing.T) {
	for name, silent := range map[string][]string{"slow link": {"a:1", "b:1", "c:1"}, "long prompt": nil, "no other path": {"b:1"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, engine("a", "near", 0, 2), engine("b", "near", 2, 5), engine("c", "near", 5, 8))
				for w.budget.Repeat() {
				}
				more := make(chan struct{})
				w.send = func(ctx context.Context, _ int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
					for _, address := range silent {
						w.kill(address)
					}
					time.AfterFunc(4*time.Second, func() { close(more) })
					return resumingAnswer(ctx, more), nil
				}
				checkServed(t, w.serve(t.Context(), request(config.Stream, 2)), events(1, 4))
				assert.Assert(t, w.reports <= 30, "%d questions in a pause of 4 s", w.reports)
			})
		})
	}
}

// Guards against questions at every event of streams that are slow as a whole, and at
// every first event while all streams wait for theirs: 26,000 of the questions of one
// day asked all engines of a path in pauses that ended by themselves.
func TestSlowStreamsCostFewQuestions(t *testing.T) {
	const slowEvents, streams = 40, 30
	for name, x := range map[string]struct {
		first, pause time.Duration
		events       int
	}{"every pause": {first: 50 * time.Millisecond, pause: 250 * time.Millisecond, events: slowEvents}, "first events": {first: 900 * time.Millisecond, pause: 10 * time.Millisecond, events: 2}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, engine("a", "near", 0, 2), engine("b", "near", 2, 5), engine("c", "near", 5, 8))
				w.send = func(context.Context, int, *relay.Request, relay.Attempt) (*relay.Answer, error) {
					ans := answer(http.StatusOK, "")
					ans.Body = &steady{first: x.first, pause: x.pause, left: x.events}
					return ans, nil
				}
				for range streams {
					checkServed(t, w.serve(t.Context(), request(config.Stream, 2)), events(1, x.events))
				}
				// Three engines at each pause would be 3 * streams * events.
				assert.Assert(t, w.reports <= streams*8, "%d questions for %d streams", w.reports, streams)
			})
		})
	}
}

// steady sends events with a pause before each.
type steady struct {
	first, pause time.Duration
	sent, left   int
}

func (p *steady) Read(b []byte) (int, error) {
	if p.left == 0 {
		return 0, io.EOF
	}
	pause := p.pause
	if p.sent == 0 {
		pause = p.first
	}
	time.Sleep(pause)
	p.left--
	p.sent++
	return copy(b, events(p.sent, p.sent)), nil
}

func (p *steady) Close() error { return nil }

// Guards against "not run" for a stream of which one attempt may have run and
// another was refused, or found no path.
func TestStreamUnclearGoesBeforeRefused(t *testing.T) {
	for _, x := range []struct {
		name    string
		servers []server.Entry
	}{
		{"refused", []server.Entry{engine("a", "near", 0, 8), engine("b", "near", 0, 8)}},
		{"no path", []server.Entry{engine("a", "near", 0, 8)}},
	} {
		t.Run(x.name, func(t *testing.T) {
			w := newWorld(t, x.servers...)
			w.send = func(_ context.Context, n int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
				if n == 1 {
					return nil, lost()
				}
				return refusedAnswer(), nil
			}
			checkVerdict(t, w.serve(t.Context(), request(config.Stream, 2)), fault.MayHaveRun)
		})
	}
}

// uneven gives nine events 10 ms apart and the tenth after a longer pause, as
// engines do that read a long prompt between two steps.
type uneven struct {
	sent, left int
}

const longPause = 60 * time.Millisecond

func (u *uneven) Read(b []byte) (int, error) {
	if u.left == 0 {
		return 0, io.EOF
	}
	pause := 10 * time.Millisecond
	if u.left%10 == 0 {
		pause = longPause
	}
	time.Sleep(pause)
	u.left--
	u.sent++
	return copy(b, events(u.sent, u.sent)), nil
}

func (u *uneven) Close() error { return nil }

// Guards against questions to the engines at every pause that a long prompt
// makes (17,800 on a calm day of the grown deployment).
func TestOrdinaryPausesCostFewQuestions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pauses, streams = 60, 2
		w := newWorld(t, engine("a", "near", 0, 4), engine("b", "near", 4, 8))
		w.send = func(context.Context, int, *relay.Request, relay.Attempt) (*relay.Answer, error) {
			ans := answer(http.StatusOK, "")
			ans.Body = &uneven{left: 10 * pauses}
			return ans, nil
		}
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() {
				rq := request(config.Stream, 2)
				rq.Answer = 10 * pauses
				checkServed(t, w.serve(t.Context(), rq), events(1, 10*pauses))
			})
		}
		wg.Wait()
		// One question to each of two engines at each pause would be 120.
		assert.Assert(t, w.reports <= 90, "%d questions for %d pauses", w.reports, pauses)
	})
}
