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

// checkCoversLayers fails unless the hops cover layers 0 to 8 once and in order.
func checkCoversLayers(t *testing.T, path []relay.Hop) {
	t.Helper()
	at := 0
	for _, h := range path {
		assert.Equal(t, h.From, at, "%v", path)
		at = h.To
	}
	assert.Equal(t, at, 8, "%v", path)
}

// Guards against missing or repeated events in a stream that is resumed on another server, and
// against passing on half an event of the first server.
func TestStreamResumes(t *testing.T) {
	cl := newCluster(t, engineEntry("a", "near", 0, 8), engineEntry("b", "near", 0, 8))
	cl.onSend = func(_ context.Context, n int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
		checkCoversLayers(t, a.Path)
		if n == 1 {
			ans := signedAnswer(http.StatusOK, "")
			ans.Body = &resetBody{strings.NewReader(events(1, 3) + "id: 4\nda")}
			return ans, nil
		}
		assert.Equal(t, a.LastEventID, "3")
		return signedAnswer(http.StatusOK, events(3, 6)), nil // repeats event 3
	}
	checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 6))
}

// resetBody ends with a connection reset.
type resetBody struct{ from *strings.Reader }

func (x *resetBody) Read(b []byte) (int, error) {
	if x.from.Len() == 0 {
		return 0, connectionReset()
	}
	return x.from.Read(b)
}

func (x *resetBody) Close() error { return nil }

// Guards against an incomplete answer that looks complete because no server could finish it.
func TestBrokenStreamIsAnError(t *testing.T) {
	cl := newCluster(t, engineEntry("a", "near", 0, 8), engineEntry("b", "near", 0, 8))
	cl.onSend = func(context.Context, int, *relay.Request, relay.Attempt) (*relay.Answer, error) {
		ans := signedAnswer(http.StatusOK, "")
		ans.Body = &resetBody{strings.NewReader(events(1, 2))}
		return ans, nil
	}
	got := cl.serve(t.Context(), request(config.Stream, 2))
	checkVerdict(t, got, fault.MayHaveRun)
	assert.Equal(t, cl.attemptCount(), 2)
}

// Guards against a stream that waits for a dead engine until its first engine reports it, 200 ms
// late: callers accept gaps of at most 200 ms.
func TestDeadEngineIsReplacedNearby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, engineEntry("a", "near", 0, 2), engineEntry("a2", "near", 2, 4), engineEntry("b", "near", 4, 8), engineEntry("c", "near", 4, 8))
		var movedAfter time.Duration
		start := time.Now()
		resume := make(chan struct{})
		cl.onSend = func(ctx context.Context, _ int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
			cl.kill(a.Path[2].Address)
			return newGatedAnswer(ctx, resume), nil
		}
		cl.onRepath = func(path []relay.Hop) error {
			checkCoversLayers(t, path)
			assert.Assert(t, !cl.isDead(path[2].Address))
			movedAfter = time.Since(start)
			close(resume)
			return nil
		}
		checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 4))
		assert.Assert(t, movedAfter < 180*time.Millisecond, "moved after %v", movedAfter)
		assert.Equal(t, cl.attemptCount(), 1)
	})
}

// Guards against a second attempt on engines that failed together with the one that refused the
// first attempt, and against no second attempt when there is no other failure domain.
func TestSecondAttemptLeavesTheDomain(t *testing.T) {
	for _, far := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			entries := []server.Entry{engineEntry("a", "near", 0, 4), engineEntry("b", "near", 4, 8), engineEntry("c", "near", 4, 8)}
			if far {
				entries = append(entries, slowAccelerator(engineEntry("d", "far", 0, 8)))
			}
			cl := newCluster(t, entries...)
			cl.onSend = func(_ context.Context, n int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
				if n == 1 {
					ans := refusal()
					ans.RefusedBy = a.Path[1].Address
					return ans, nil
				}
				assert.Equal(t, a.Path[0].Address == "d:1", far)
				return signedAnswer(http.StatusOK, events(1, 1)), nil
			}
			checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 1))
		})
	}
}

// Guards against sending more streams to a first engine than it has slots while another has free
// ones, and against refusing streams when all engines have a queue.
func TestSlotsOfFirstEngines(t *testing.T) {
	a, b := engineEntry("a", "near", 0, 8), engineEntry("b", "near", 0, 8)
	a.Slots, b.Slots = 2, 2
	cl := newCluster(t, a, slowAccelerator(b))
	first := map[string]int{}
	release := make(chan struct{})
	arrived := make(chan struct{})
	cl.onSend = func(_ context.Context, _ int, _ *relay.Request, x relay.Attempt) (*relay.Answer, error) {
		cl.mu.Lock()
		first[x.Path[0].Address]++
		cl.mu.Unlock()
		arrived <- struct{}{}
		<-release
		return signedAnswer(http.StatusOK, events(1, 1)), nil
	}
	var wg sync.WaitGroup
	for range 5 {
		wg.Go(func() { checkServed(t, cl.serve(t.Context(), request(config.Stream, 1)), events(1, 1)) })
		<-arrived
	}
	close(release)
	wg.Wait()
	assert.Assert(t, first["a:1"] >= 2 && first["b:1"] >= 2, "%v", first)
	assert.Equal(t, first["a:1"]+first["b:1"], 5)
}

// Guards against a stream that queries an engine which another process has just found dead, and
// against one that leaves an engine which still serves it.
func TestAnnouncedDeadEngineIsLeftWithoutQuery(t *testing.T) {
	dead := func(t *testing.T, announcedAfter time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			cl := newCluster(t, engineEntry("a", "near", 0, 4), engineEntry("b", "near", 4, 8), engineEntry("c", "near", 4, 8))
			start, resume := time.Now(), make(chan struct{})
			cl.onSend = func(ctx context.Context, _ int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
				second := cl.table.ByAddress(a.Path[1].Address)
				time.AfterFunc(announcedAfter, func() { cl.relay.MarkDead(second) })
				return newGatedAnswer(ctx, resume), nil
			}
			cl.onRepath = func(path []relay.Hop) error { checkCoversLayers(t, path); close(resume); return nil }
			checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 4))
			assert.Equal(t, cl.repaths, 1)
			assert.Equal(t, cl.reportQueries, 0)
			took := time.Since(start)
			assert.Assert(t, took <= max(announcedAfter, liveEventAge)+time.Millisecond, "%v", took)
		})
	}
	t.Run("dead", func(t *testing.T) { dead(t, 65*time.Millisecond) })
	t.Run("dead a moment ago", func(t *testing.T) { dead(t, 10*time.Millisecond) })
	t.Run("serving", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			cl := newCluster(t, engineEntry("a", "near", 0, 4), engineEntry("b", "near", 4, 8), engineEntry("c", "near", 4, 8))
			cl.onSend = func(ctx context.Context, _ int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
				second := cl.table.ByAddress(a.Path[1].Address)
				time.AfterFunc(25*time.Millisecond, func() { cl.relay.MarkDead(second) })
				ans := signedAnswer(http.StatusOK, "")
				ans.Body = &pacedBody{ctx: ctx, left: 20}
				return ans, nil
			}
			checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 20))
			assert.Equal(t, cl.repaths, 0)
		})
	})
}

// liveEventAge is longer than the age up to which an event shows that an engine is alive.
const liveEventAge = 40 * time.Millisecond

// Guards against a stream whose new path has several new hops, each of which reads the prompt
// after the one before it, and against losing the stream when no retry is left.
func TestSeveralDeadEnginesResumeElsewhere(t *testing.T) {
	for _, repeat := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			cl := newCluster(t, engineEntry("a", "near", 0, 4), engineEntry("b", "near", 4, 6), engineEntry("c", "near", 6, 8),
				slowAccelerator(engineEntry("b2", "near", 4, 6)), slowAccelerator(engineEntry("c2", "near", 6, 8)), slowAccelerator(engineEntry("d", "far", 0, 8)))
			if !repeat {
				for cl.budget.TryRetry() {
				}
			}
			resume := make(chan struct{})
			cl.onSend = func(ctx context.Context, n int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
				if n == 2 {
					return signedAnswer(http.StatusOK, events(3, 4)), nil
				}
				assert.Equal(t, a.Path[1].Address, "b:1")
				cl.kill("b:1")
				return newGatedAnswer(ctx, resume), nil
			}
			cl.onRepath = func(path []relay.Hop) error {
				if path[2].Address == "c:1" {
					return &relay.PathRejectedError{Address: "c:1"}
				}
				close(resume)
				return nil
			}
			checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 4))
			assert.Equal(t, cl.attemptCount() == 2, repeat)
		})
	}
}

// Guards against many entry processes moving their streams from a dead engine to the same other
// engine, which then reads all their prompts one after another.
func TestDetoursSpread(t *testing.T) {
	const processes = 80
	chosen := map[string]int{}
	for range processes {
		synctest.Test(t, func(t *testing.T) {
			cl := newCluster(t, engineEntry("a", "near", 0, 4), engineEntry("b", "near", 4, 8), engineEntry("c", "near", 4, 8), engineEntry("d", "near", 4, 8), engineEntry("e", "near", 4, 8))
			resume := make(chan struct{})
			cl.onSend = func(ctx context.Context, _ int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
				cl.kill(a.Path[1].Address)
				return newGatedAnswer(ctx, resume), nil
			}
			cl.onRepath = func(path []relay.Hop) error { chosen[path[1].Address]++; close(resume); return nil }
			checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 4))
		})
	}
	for address, n := range chosen {
		assert.Assert(t, n <= processes/2, "%s has %d of %d streams", address, n, processes)
	}
}

// gatedBody returns some events, blocks until resume is closed, and then returns others.
type gatedBody struct {
	before, after *strings.Reader
	resume        chan struct{}
	ctx           context.Context
}

func (x *gatedBody) Read(b []byte) (int, error) {
	if x.before.Len() > 0 {
		return x.before.Read(b)
	}
	select {
	case <-x.resume:
		return x.after.Read(b)
	case <-x.ctx.Done():
		return 0, x.ctx.Err()
	}
}

func (x *gatedBody) Close() error { return nil }

// newGatedAnswer returns events 1 and 2, and events 3 and 4 once resume is closed.
func newGatedAnswer(ctx context.Context, resume chan struct{}) *relay.Answer {
	ans := signedAnswer(http.StatusOK, "")
	ans.Body = &gatedBody{before: strings.NewReader(events(1, 2)), after: strings.NewReader(events(3, 4)), resume: resume, ctx: ctx}
	return ans
}

// Guards against sending the activations of all tokens over the link between failure domains: if
// there is no engine nearby, the stream is resumed on another whole path.
func TestDeadEngineResumesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, engineEntry("a", "near", 0, 4), engineEntry("b", "near", 4, 8), slowAccelerator(engineEntry("c", "far", 0, 8)))
		cl.onSend = func(ctx context.Context, n int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
			if n == 1 {
				assert.Equal(t, len(a.Path), 2)
				cl.kill("b:1")
				return newStallingAnswer(ctx, events(1, 2)), nil
			}
			assert.Equal(t, a.Path[0].Address, "c:1")
			return signedAnswer(http.StatusOK, events(3, 4)), nil
		}
		cl.onRepath = func([]relay.Hop) error { t.Error("path changed over the link between failure domains"); return nil }
		got := cl.serve(t.Context(), request(config.Stream, 2))
		checkServed(t, got, events(1, 4))
		assert.Assert(t, got.took < 300*time.Millisecond, "%v", got.took)
	})
}

// Guards against giving up a running stream when no retry is left, which cuts it. Streams were
// lost this way in three runs of a grown deployment.
func TestNoRetryLeftTakesDetour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, engineEntry("a", "near", 0, 4), engineEntry("b", "near", 4, 8), slowAccelerator(engineEntry("c", "far", 0, 8)))
		for cl.budget.TryRetry() {
		}
		resume := make(chan struct{})
		cl.onSend = func(ctx context.Context, _ int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
			cl.kill("b:1")
			return newGatedAnswer(ctx, resume), nil
		}
		cl.onRepath = func(path []relay.Hop) error {
			checkCoversLayers(t, path)
			assert.Equal(t, path[1].Address, "c:1")
			close(resume)
			return nil
		}
		checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 4))
	})
}

// Guards against a stream that keeps running on a server after its caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, engineEntry("a", "near", 0, 8))
		stopped := false
		cl.onSend = func(ctx context.Context, _ int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
			context.AfterFunc(ctx, func() { stopped = true })
			return newStallingAnswer(ctx, events(1, 2)), nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(300*time.Millisecond, cancel)
		got := cl.serve(ctx, request(config.Stream, 2))
		synctest.Wait()
		assert.Assert(t, got.err != nil && stopped)
		assert.Equal(t, cl.attemptCount(), 1)
	})
}

// Guards against a request that waits when the engines do not cover all layers.
func TestNoPathIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, engineEntry("a", "near", 0, 4))
		got := cl.serve(t.Context(), request(config.Stream, 2))
		checkVerdict(t, got, fault.NotRun)
		assert.Equal(t, got.took, time.Duration(0))
	})
}

// Guards against a request that ends with a refusal on one path although another path would take
// it.
func TestRefusedPathIsAvoided(t *testing.T) {
	cl := newCluster(t, engineEntry("a", "near", 0, 8), engineEntry("b", "far", 0, 8))
	cl.onSend = func(_ context.Context, n int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
		if n == 1 {
			ans := refusal()
			ans.RefusedBy = a.Path[0].Address
			return ans, nil
		}
		return signedAnswer(http.StatusOK, events(1, 1)), nil
	}
	checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 1))
	assert.Assert(t, cl.attempts[0].Path[0] != cl.attempts[1].Path[0])
}

// Guards against a started stream that ends because one server refused to resume it. Seen in a
// run with three releases at once.
func TestStartedStreamSurvivesRefusal(t *testing.T) {
	cl := newCluster(t, engineEntry("a", "near", 0, 8), engineEntry("b", "near", 0, 8), engineEntry("c", "near", 0, 8))
	cl.onSend = func(_ context.Context, n int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
		switch n {
		case 1:
			ans := signedAnswer(http.StatusOK, "")
			ans.Body = &resetBody{strings.NewReader(events(1, 2))}
			return ans, nil
		case 2:
			ans := refusal()
			ans.RefusedBy = a.Path[0].Address
			return ans, nil
		default:
			return signedAnswer(http.StatusOK, events(3, 4)), nil
		}
	}
	checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 4))
	assert.Equal(t, cl.attemptCount(), 3)
}

// Guards against a long stream that loses a draining engine, and against a pause for each stream
// that would have ended before that.
func TestLongStreamLeavesADrainingEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, c := engineEntry("b", "near", 4, 8), engineEntry("c", "near", 4, 8)
		cl := newCluster(t, engineEntry("a", "near", 0, 4), b, c)
		start := time.Now()
		var movedAfter time.Duration
		cl.onSend = func(ctx context.Context, _ int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
			for _, e := range []server.Entry{b, c} {
				if e.Address == a.Path[1].Address {
					e.Draining = true
					cl.table.Apply([]server.Change{{ID: e.ID, Entry: e}}, false, 0)
				}
			}
			ans := signedAnswer(http.StatusOK, "")
			ans.Body = &pacedBody{ctx: ctx, left: 200}
			return ans, nil
		}
		cl.onRepath = func(path []relay.Hop) error { movedAfter = time.Since(start); checkCoversLayers(t, path); return nil }
		checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 200))
		assert.Equal(t, cl.repaths, 1)
		assert.Assert(t, movedAfter > time.Second && movedAfter < 2*time.Second, "%v", movedAfter)
	})
}

// pacedBody returns an event every 20 ms until its context ends.
type pacedBody struct {
	ctx    context.Context
	sent   int
	left   int
	endErr error // returned after the last event; nil for io.EOF
}

func (p *pacedBody) Read(b []byte) (int, error) {
	if p.left == 0 && p.endErr != nil {
		return 0, p.endErr
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

func (p *pacedBody) Close() error { return nil }

// Guards against moving the streams of all entry processes because of one late answer (300 moves
// within a second were seen in a run of a grown deployment without a crash), and against a dead
// engine that is not announced.
func TestSilentEngineIsQueriedTwiceBeforeAnnouncement(t *testing.T) {
	for _, dead := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			cl := newCluster(t, engineEntry("a", "near", 0, 4), engineEntry("b", "near", 4, 8), engineEntry("c", "near", 4, 8))
			resume := make(chan struct{})
			cl.onSend = func(ctx context.Context, _ int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
				if dead {
					cl.kill(a.Path[1].Address)
				}
				cl.mu.Lock()
				cl.lateReports[a.Path[1].Address] = 1
				cl.mu.Unlock()
				return newGatedAnswer(ctx, resume), nil
			}
			cl.onRepath = func([]relay.Hop) error { close(resume); return nil }
			checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 4))
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			assert.Equal(t, len(cl.announced) == 1, dead, "%v", cl.announced)
		})
	}
}

// Guards against a dead engine that is not announced to the other processes, and against
// announcing one that refuses but is alive.
func TestDeadRefuserIsAnnounced(t *testing.T) {
	for _, dead := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			cl := newCluster(t, engineEntry("a", "near", 0, 4), engineEntry("b", "near", 4, 8), engineEntry("c", "near", 4, 8))
			cl.onSend = func(_ context.Context, n int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
				if n == 1 {
					if dead {
						cl.kill(a.Path[1].Address)
					}
					ans := refusal()
					ans.RefusedBy = a.Path[1].Address
					return ans, nil
				}
				return signedAnswer(http.StatusOK, events(1, 1)), nil
			}
			checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 1))
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			assert.Equal(t, len(cl.announced) == 1, dead, "%v", cl.announced)
		})
	}
}

// Guards against a process with a slow network link that takes all engines for dead, gives its
// streams up and announces the engines as dead. Seen in a grown deployment, where a body of
// 4 MB occupies a link of 20 Mbit/s for 1.7 s.
func TestSlowLinkDoesNotMarkEnginesDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, engineEntry("a", "near", 0, 2), engineEntry("b", "near", 2, 5), engineEntry("c", "near", 5, 8))
		resume := make(chan struct{})
		cl.onSend = func(ctx context.Context, _ int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
			for _, address := range []string{"a:1", "b:1", "c:1"} {
				cl.kill(address)
			}
			time.AfterFunc(time.Second, func() { close(resume) })
			return newGatedAnswer(ctx, resume), nil
		}
		cl.onRepath = func([]relay.Hop) error { t.Error("path changed"); return nil }
		checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 4))
		assert.Equal(t, len(cl.announced), 0)
	})
}

// Guards against unbounded report queries while a stream waits and there is no other path: 84,121
// were seen in one run of the test deployment neonsabha-grown, and 12,350 for 4,268 requests in
// one of leoben-sohle.
func TestLongGapCausesFewQueries(t *testing.T) {
	for name, deadAddresses := range map[string][]string{"slow link": {"a:1", "b:1", "c:1"}, "long prompt": nil, "no other path": {"b:1"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, engineEntry("a", "near", 0, 2), engineEntry("b", "near", 2, 5), engineEntry("c", "near", 5, 8))
				for cl.budget.TryRetry() {
				}
				resume := make(chan struct{})
				cl.onSend = func(ctx context.Context, _ int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
					for _, address := range deadAddresses {
						cl.kill(address)
					}
					time.AfterFunc(4*time.Second, func() { close(resume) })
					return newGatedAnswer(ctx, resume), nil
				}
				checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 4))
				assert.Assert(t, cl.reportQueries <= 30, "%d queries in a gap of 4 s", cl.reportQueries)
			})
		})
	}
}

// Guards against report queries at every event of streams that are slow throughout, and at every
// first event while all streams wait for theirs. In one run, 26,000 queries went to all engines
// of a path in gaps that ended by themselves.
func TestSlowStreamsCauseFewQueries(t *testing.T) {
	const slowEvents, streams = 40, 30
	for name, x := range map[string]struct {
		first, delay time.Duration
		events       int
	}{"every pause": {first: 50 * time.Millisecond, delay: 250 * time.Millisecond, events: slowEvents}, "first events": {first: 900 * time.Millisecond, delay: 10 * time.Millisecond, events: 2}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, engineEntry("a", "near", 0, 2), engineEntry("b", "near", 2, 5), engineEntry("c", "near", 5, 8))
				cl.onSend = func(context.Context, int, *relay.Request, relay.Attempt) (*relay.Answer, error) {
					ans := signedAnswer(http.StatusOK, "")
					ans.Body = &scriptedBody{first: x.first, delay: x.delay, left: x.events}
					return ans, nil
				}
				for range streams {
					checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, x.events))
				}
				// Querying three engines in each gap would be 3 * streams * events.
				assert.Assert(t, cl.reportQueries <= streams*8, "%d queries for %d streams", cl.reportQueries, streams)
			})
		})
	}
}

// scriptedBody returns events with a delay before each.
type scriptedBody struct {
	first, delay time.Duration
	sent, left   int
}

func (p *scriptedBody) Read(b []byte) (int, error) {
	if p.left == 0 {
		return 0, io.EOF
	}
	delay := p.delay
	if p.sent == 0 {
		delay = p.first
	}
	time.Sleep(delay)
	p.left--
	p.sent++
	return copy(b, events(p.sent, p.sent)), nil
}

func (p *scriptedBody) Close() error { return nil }

// Guards against reporting a stream as not run when one attempt may have run and another was
// refused or found no path.
func TestStreamMayHaveRunPrecedesRefusal(t *testing.T) {
	for _, x := range []struct {
		name    string
		servers []server.Entry
	}{
		{"refused", []server.Entry{engineEntry("a", "near", 0, 8), engineEntry("b", "near", 0, 8)}},
		{"no path", []server.Entry{engineEntry("a", "near", 0, 8)}},
	} {
		t.Run(x.name, func(t *testing.T) {
			cl := newCluster(t, x.servers...)
			cl.onSend = func(_ context.Context, n int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
				if n == 1 {
					return nil, connectionReset()
				}
				return refusal(), nil
			}
			checkVerdict(t, cl.serve(t.Context(), request(config.Stream, 2)), fault.MayHaveRun)
		})
	}
}

// unevenBody returns the first of every ten events after a longer delay and the others 10 ms apart,
// as engines do that read a long prompt between two steps.
type unevenBody struct {
	sent, left int
}

const longDelay = 60 * time.Millisecond

func (u *unevenBody) Read(b []byte) (int, error) {
	if u.left == 0 {
		return 0, io.EOF
	}
	delay := 10 * time.Millisecond
	if u.left%10 == 0 {
		delay = longDelay
	}
	time.Sleep(delay)
	u.left--
	u.sent++
	return copy(b, events(u.sent, u.sent)), nil
}

func (u *unevenBody) Close() error { return nil }

// Guards against report queries in every gap that a long prompt causes: 17,800 were seen in one
// run of a grown deployment without failures.
func TestOrdinaryGapsCauseFewQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pauses, streams = 60, 2
		cl := newCluster(t, engineEntry("a", "near", 0, 4), engineEntry("b", "near", 4, 8))
		cl.onSend = func(context.Context, int, *relay.Request, relay.Attempt) (*relay.Answer, error) {
			ans := signedAnswer(http.StatusOK, "")
			ans.Body = &unevenBody{left: 10 * pauses}
			return ans, nil
		}
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() {
				req := request(config.Stream, 2)
				req.MaxAnswerTokens = 10 * pauses
				checkServed(t, cl.serve(t.Context(), req), events(1, 10*pauses))
			})
		}
		wg.Wait()
		// One query to each of two engines in each gap would be 120.
		assert.Assert(t, cl.reportQueries <= 90, "%d queries for %d gaps", cl.reportQueries, pauses)
	})
}

// Guards against a stream that breaks off inside an event, or between two reads of one, and looks
// complete to its caller: its answer may have neither a length nor chunks, so the connection that
// ends is the only sign.
func TestStreamThatEndsInsideAnEvent(t *testing.T) {
	for name, tail := range map[string]string{"in the data": "id: 4\ndata: 4", "before the blank line": "id: 4\ndata: 4\n", "in the number": "id:"} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t, engineEntry("a", "near", 0, 8), engineEntry("b", "near", 0, 8))
			cl.onSend = func(_ context.Context, n int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
				ans := signedAnswer(http.StatusOK, events(1, 3)+tail)
				if n == 2 {
					assert.Equal(t, a.LastEventID, "3")
					ans = signedAnswer(http.StatusOK, events(4, 6))
				}
				ans.Length = -1
				return ans, nil
			}
			checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 6))
			assert.Equal(t, cl.attemptCount(), 2)

			// Without a second attempt the caller must not get half an event, nor a success.
			cl.attempts = nil
			cl.onSend = func(context.Context, int, *relay.Request, relay.Attempt) (*relay.Answer, error) {
				return signedAnswer(http.StatusOK, events(1, 3)+tail), nil
			}
			got := cl.serve(t.Context(), request(config.Stream, 1))
			checkVerdict(t, got, fault.MayHaveRun)
			assert.Equal(t, got.body, events(1, 3))
		})
	}
}

// Guards against a server that ends its connection before the first event and passes for one that
// has nothing to say.
func TestStreamThatEndsBeforeItsFirstEvent(t *testing.T) {
	cl := newCluster(t, engineEntry("a", "near", 0, 8), engineEntry("b", "near", 0, 8))
	cl.onSend = func(_ context.Context, n int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
		ans := signedAnswer(http.StatusOK, "")
		if n == 2 {
			ans = signedAnswer(http.StatusOK, events(1, 6))
		}
		ans.Length, ans.Unframed = -1, true
		return ans, nil
	}
	checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 6))
}

// Guards against an earlier refusal that the server writes once more and that is taken for the answer
// to the second attempt at the same server: the two have the same ID.
func TestSecondAttemptAtAServerUsesANewConnection(t *testing.T) {
	cl := newCluster(t, engineEntry("a", "near", 0, 4), engineEntry("b", "near", 4, 8), engineEntry("c", "near", 4, 8))
	cl.onSend = func(_ context.Context, n int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
		assert.Equal(t, a.Server.ID(), "a")
		assert.Equal(t, a.ReuseConnection, n == 1)
		if n == 1 {
			ans := refusal()
			ans.RefusedBy = a.Path[1].Address
			return ans, nil
		}
		return signedAnswer(http.StatusOK, events(1, 1)), nil
	}
	checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 1))
	assert.Equal(t, cl.attemptCount(), 2)
}
