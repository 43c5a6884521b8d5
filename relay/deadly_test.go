package relay_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/poison"
	"github.com/cranberrybay/cranberrybay/relay"
	"github.com/cranberrybay/cranberrybay/retry"
	"github.com/cranberrybay/cranberrybay/server"
)

const (
	deadlyBody = "deadly"
	// deadlyCrashes is the number of crashes after which the arrivals of a deadly request count.
	deadlyCrashes = 3
	// announceDelay is how long what one process tells takes to reach the others.
	announceDelay = 3 * time.Millisecond
	// registryDelay is how long the registry takes to drop a server that has crashed: three heartbeats.
	registryDelay = 5 * time.Second
)

// deadlyFleet is a fleet of entry processes before servers that crash when they begin to run a
// deadly request.
type deadlyFleet struct {
	*poisonFleet
	tables    []*server.Table
	processes []*relay.Relay
	rng       *rand.Rand
	refuses   bool // servers refuse all requests
	// accepting is how long a server that has crashed still accepts connections when it is probed or
	// queried.
	accepting time.Duration
}

// listens reports whether a server accepts connections, though it may have crashed.
func (f *deadlyFleet) listens(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	down := f.downTill[address]
	return !time.Now().Before(down) || time.Now().Before(down.Add(f.accepting-poisonDown))
}

// errReset is what the query of a server sees that has crashed and still accepts connections.
var errReset = errors.New("connection reset")

func newDeadlyFleet(processes int, entries ...server.Entry) *deadlyFleet {
	f := &deadlyFleet{poisonFleet: newPoisonFleet(), rng: rand.New(rand.NewSource(1))}
	var all []server.Change
	for _, e := range entries {
		all = append(all, server.Change{ID: e.ID, Entry: e})
	}
	var trackers []*poison.Tracker
	f.onCrash = func(address string) {
		incarnation := f.tables[0].ByAddress(address).Incarnation()
		time.AfterFunc(registryDelay, func() {
			for _, x := range trackers {
				x.RecordCrash(incarnation)
			}
		})
	}
	for i := range processes {
		tracker := poison.New(poison.Config{Log: zerolog.Nop(), Announce: func(records []poison.Record) {
			time.AfterFunc(announceDelay, func() {
				for j, o := range trackers {
					if j != i {
						o.Merge(records)
					}
				}
			})
		}})
		trackers = append(trackers, tracker)
		table := server.NewTable(server.Config{Log: zerolog.Nop()})
		table.Apply(all, true, 0)
		budget := retry.New(retry.Config{RetriesPerRequest: 0.2, Burst: 20, Initial: 20})
		f.tables = append(f.tables, table)
		f.processes = append(f.processes, relay.New(relay.Config{
			Servers: table, Poison: tracker, Domain: "near", Log: zerolog.Nop(), Budget: func(string) *retry.Budget { return budget },
			Send: func(ctx context.Context, req *relay.Request, a relay.Attempt) (*relay.Answer, error) {
				return f.serveRun(ctx, req, a)
			},
			FetchReport: func(ctx context.Context, address string) (relay.Report, error) {
				if f.isDown(address) && f.listens(address) {
					return relay.Report{}, errReset
				}
				return f.report(ctx, address)
			},
			Probe: func(_ context.Context, address string) error {
				if !f.listens(address) {
					return syscall.ECONNREFUSED
				}
				return nil
			},
		}))
	}
	return f
}

// serveRun answers an attempt: a stream, or the whole answer of a plain service after some time.
func (f *deadlyFleet) serveRun(ctx context.Context, req *relay.Request, a relay.Attempt) (*relay.Answer, error) {
	address, deadly := a.Server.Address(), string(req.Body) == deadlyBody
	if f.isDown(address) {
		return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unavailable, Reason: "refused", Cause: syscall.ECONNREFUSED})
	}
	if f.refuses {
		f.begin(address, deadly)
		ans := signedAnswer(503, "")
		ans.Refused = true
		return ans, nil
	}
	run := &poisonRun{fleet: f.poisonFleet, ctx: ctx, address: address, deadly: deadly, cut: f.begin(address, deadly), next: 1}
	ans := signedAnswer(200, "")
	if req.Route.Kind() == config.Stream {
		ans.Body = run
		return ans, nil
	}
	run.next = 2
	if _, err := run.Read(make([]byte, 64)); err != nil {
		return nil, err
	}
	return ans, nil
}

// call serves a request at a random process.
func (f *deadlyFleet) call(ctx context.Context, req *relay.Request) error {
	f.mu.Lock()
	r := f.processes[f.rng.Intn(len(f.processes))]
	f.mu.Unlock()
	return r.Serve(ctx, req, discard())
}

// callWithRepeat is call of a caller that repeats its request once, as it is told.
func (f *deadlyFleet) callWithRepeat(ctx context.Context, newRequest func() *relay.Request) error {
	err := f.call(ctx, newRequest())
	if err == nil {
		return nil
	}
	if at, ok := fault.RetryAt(err); ok {
		time.Sleep(min(time.Until(at), 3*time.Second))
	}
	return f.call(ctx, newRequest())
}

// lateArrivals returns how many arrivals of the deadly request reached servers later than
// poisonWindow after its third crash.
func (f *deadlyFleet) lateArrivals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < deadlyCrashes {
		return 0
	}
	limit := f.crashes[deadlyCrashes-1].Add(poisonWindow)
	return len(slices.DeleteFunc(slices.Clone(f.sends), func(at time.Time) bool { return !at.After(limit) }))
}

// discard returns a sink that takes everything.
func discard() relay.Sink {
	return relay.Sink{Start: func(int, http.Header, int64) {}, Write: func([]byte) error { return nil }, Flush: func() error { return nil }}
}

// deadlyRequest returns an arrival of the deadly request, or a sound one of the same caller, path and
// parts.
func deadlyRequest(kind config.Kind, n int, deadly bool) *relay.Request {
	req := request(kind, 2)
	req.ID, req.Account = fmt.Sprint("r", n), &config.Account{Name: "account"}
	if req.Body = []byte("popular"); n%3 > 0 { // every third one is sent by many callers alike
		req.Body = []byte(fmt.Sprint("sound ", n))
	}
	own := req.ID
	if deadly {
		req.Body, own = []byte(deadlyBody), "own"
	}
	if kind == config.Stream {
		req.PromptParts = []string{"root", own}
	}
	return req
}

// Guards against one request that comes again and again and crashes server after server, and against
// sound requests of its caller, path and parts that are refused or lost because of it.
func TestDeadlyRequestReachesFewServers(t *testing.T) {
	for name, kind := range map[string]config.Kind{"stream": config.Stream, "idempotent": config.Idempotent, "at most once": config.AtMostOnce} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				defer clock.Replace(func() time.Duration { return time.Since(begun) })()
				var entries []server.Entry
				for i := range 6 {
					e := engineEntry(fmt.Sprint("e", i), "near", 0, 8)
					if kind != config.Stream {
						e = plainEntry(e.ID)
					}
					entries = append(entries, e)
				}
				f := newDeadlyFleet(4, entries...)
				var mu sync.Mutex
				refused, lost, sound := 0, 0, 0
				var wg sync.WaitGroup
				for n := range 750 { // 25 a second for 30 s, every 25th one deadly
					time.Sleep(40 * time.Millisecond)
					wg.Go(func() {
						deadly := n%25 == 0
						err := f.callWithRepeat(t.Context(), func() *relay.Request { return deadlyRequest(kind, n, deadly) })
						if deadly {
							return
						}
						mu.Lock()
						defer mu.Unlock()
						sound++
						switch {
						case err == nil:
						case fault.CodeOf(err) == fault.Quarantined:
							refused++
						default:
							lost++
						}
					})
				}
				wg.Wait()
				t.Logf("%d crashes, %d late arrivals; of %d sound requests %d refused, %d lost", len(f.crashes), f.lateArrivals(), sound, refused, lost)
				assert.Assert(t, f.lateArrivals() <= maxLateSends, "%d arrivals at servers later than %v after the third crash; %d crashes", f.lateArrivals(), poisonWindow, len(f.crashes))
				assert.Equal(t, refused, 0)
				assert.Assert(t, lost <= sound/50, "%d of %d sound requests lost", lost, sound)

				sent := len(f.sends)
				err := f.call(t.Context(), deadlyRequest(kind, 1000, true))
				assert.Equal(t, fault.CodeOf(err), fault.Quarantined)
				assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
				at, ok := fault.RetryAt(err)
				assert.Assert(t, ok && time.Until(at) > time.Minute, "no time to come back")
				assert.Equal(t, len(f.sends), sent)
			})
		})
	}
}

// Guards against a request that holds several servers at once after a server crashed on it.
func TestSuspectHoldsOneServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		defer clock.Replace(func() time.Duration { return time.Since(begun) })()
		var entries []server.Entry
		for i := range 6 {
			entries = append(entries, plainEntry(fmt.Sprint("e", i)))
		}
		f := newDeadlyFleet(4, entries...)
		assert.Assert(t, f.call(t.Context(), deadlyRequest(config.AtMostOnce, 0, true)) != nil)
		assert.Equal(t, len(f.crashes), 1)
		time.Sleep(10 * announceDelay)
		var wg sync.WaitGroup
		for n := range 40 {
			wg.Go(func() { _ = f.call(t.Context(), deadlyRequest(config.Idempotent, 1+n, true)) })
		}
		wg.Wait()
		assert.Equal(t, len(f.crashes), 2)
	})
}

// Guards against requests that are told from each other by less than a caller would repeat.
func TestIdentityOfRequests(t *testing.T) {
	base := func() *relay.Request { return deadlyRequest(config.Idempotent, 1, true) }
	for name, change := range map[string]func(req *relay.Request){
		"body":    func(req *relay.Request) { req.Body = []byte("other") },
		"account": func(req *relay.Request) { req.Account = &config.Account{Name: "other"} },
		"path":    func(req *relay.Request) { req.Target = "/x/2" },
		"query":   func(req *relay.Request) { req.Target += "?page=2" },
		"host":    func(req *relay.Request) { req.Host = "other" },
		"method":  func(req *relay.Request) { req.Method = "PUT" },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				defer clock.Replace(func() time.Duration { return time.Since(begun) })()
				f := newDeadlyFleet(1, plainEntry("a"), plainEntry("b"), plainEntry("c"), plainEntry("d"))
				for range 3 {
					_ = f.call(t.Context(), base())
					time.Sleep(11 * time.Second)
				}
				assert.Equal(t, fault.CodeOf(f.call(t.Context(), base())), fault.Quarantined)
				other := base()
				change(other)
				if strings.Contains(string(other.Body), deadlyBody) {
					other.Method += "X" // keeps the servers alive
					other.Body = []byte("sound")
				}
				assert.NilError(t, f.call(t.Context(), other))
			})
		})
	}
}

// soundStream returns a stream that differs from others in its prompt only, or in nothing.
func soundStream(n int, ownPrompt bool) *relay.Request {
	req := deadlyRequest(config.Stream, n, false)
	req.Body, req.PromptParts = []byte("body"), []string{"root", "own"}
	if ownPrompt {
		req.PromptParts = []string{fmt.Sprint("root", n), fmt.Sprint("own", n)}
	}
	return req
}

// Guards against sound requests that are refused because the request that crashed servers has their path, caller and
// body, though servers are given another prompt.
func TestPromptTellsRequestsApart(t *testing.T) {
	base := func() *relay.Request {
		req := deadlyRequest(config.Stream, 1, true)
		req.PromptTokens, req.MaxAnswerTokens, req.Model = 100, 50, "m"
		return req
	}
	for name, change := range map[string]func(req *relay.Request){
		"own part":      func(req *relay.Request) { req.PromptParts[1] = "other" },
		"shared part":   func(req *relay.Request) { req.PromptParts[0] = "other" },
		"fewer parts":   func(req *relay.Request) { req.PromptParts = req.PromptParts[1:] },
		"parts joined":  func(req *relay.Request) { req.PromptParts = []string{strings.Join(req.PromptParts, "")} },
		"no part":       func(req *relay.Request) { req.PromptParts = nil },
		"prompt tokens": func(req *relay.Request) { req.PromptTokens++ },
		"answer tokens": func(req *relay.Request) { req.MaxAnswerTokens++ },
		"model":         func(req *relay.Request) { req.Model = "other" },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				defer clock.Replace(func() time.Duration { return time.Since(begun) })()
				f := newDeadlyFleet(1, serverEntries(config.Stream, 6)...)
				for range 3 {
					_ = f.call(t.Context(), base())
					time.Sleep(11 * time.Second)
				}
				assert.Equal(t, fault.CodeOf(f.call(t.Context(), base())), fault.Quarantined)
				other := base()
				change(other)
				sent := len(f.sends)
				_ = f.call(t.Context(), other) // its repeat may be refused for the parts that it shares
				assert.Assert(t, len(f.sends) > sent)
			})
		})
	}
}

// checkAfterTwoCrashes fails if sound streams are refused after two engines crashed near in time, at processes that know
// no answer yet.
func checkAfterTwoCrashes(t *testing.T, ownPrompt bool) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		defer clock.Replace(func() time.Duration { return time.Since(begun) })()
		f := newDeadlyFleet(4, engineEntry("e0", "near", 0, 8), engineEntry("e1", "near", 0, 8))
		refused, served := 0, 0
		var wg sync.WaitGroup
		call := func(n int) {
			wg.Go(func() {
				err := f.call(t.Context(), soundStream(n, ownPrompt))
				f.mu.Lock()
				defer f.mu.Unlock()
				switch {
				case fault.CodeOf(err) == fault.Quarantined:
					refused++
				case err == nil:
					served++
				}
			})
		}
		for n := range 24 {
			call(n)
			time.Sleep(time.Millisecond / 4)
		}
		f.crash("e0:1")
		time.Sleep(40 * time.Millisecond)
		f.crash("e1:1")
		wg.Wait()
		time.Sleep(poisonDown)
		served = 0
		for n := range 40 {
			call(100 + n)
			time.Sleep(50 * time.Millisecond)
		}
		wg.Wait()
		assert.Equal(t, len(f.crashes), 2)
		assert.Equal(t, refused, 0)
		assert.Assert(t, served >= 36, "%d of 40 served", served)
	})
}

// Guards against sound requests of one caller, path and body that are all refused after two servers crashed near in
// time.
func TestSoundRequestsAfterTwoCrashes(t *testing.T) {
	for name, ownPrompt := range map[string]bool{"prompts differ": true, "equal prompts": false} {
		for round := range 12 { // streams choose their engines with some jitter
			t.Run(fmt.Sprint(name, " ", round), func(t *testing.T) { checkAfterTwoCrashes(t, ownPrompt) })
		}
	}
}

// serverEntries returns the entries of engines, or of plain servers.
func serverEntries(kind config.Kind, count int) []server.Entry {
	var out []server.Entry
	for i := range count {
		e := engineEntry(fmt.Sprint("e", i), "near", 0, 8)
		if kind != config.Stream {
			e = plainEntry(e.ID)
		}
		out = append(out, e)
	}
	return out
}

// Guards against a deadly request that each process sends once more, while only one of them has seen that it cut a run
// on a server that still accepts connections.
func TestCrashThatIsConfirmedLate(t *testing.T) {
	for name, kind := range map[string]config.Kind{"stream": config.Stream, "idempotent": config.Idempotent, "at most once": config.AtMostOnce} {
		for _, accepting := range []time.Duration{20 * time.Millisecond, 500 * time.Millisecond, poisonDown} {
			t.Run(fmt.Sprint(name, " ", accepting), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					begun := time.Now()
					defer clock.Replace(func() time.Duration { return time.Since(begun) })()
					f := newDeadlyFleet(8, serverEntries(kind, 12)...)
					f.accepting = accepting
					var wg sync.WaitGroup
					for n := range 200 {
						time.Sleep(200 * time.Millisecond)
						wg.Go(func() { _ = f.call(t.Context(), deadlyRequest(kind, n, true)) })
					}
					wg.Wait()
					t.Logf("%d crashes, %d late arrivals", len(f.crashes), f.lateArrivals())
					assert.Assert(t, f.lateArrivals() <= maxLateSends, "%d arrivals at servers later than %v after the third crash; %d crashes", f.lateArrivals(), poisonWindow, len(f.crashes))
				})
			})
		}
	}
}

// Guards against a crash that is confirmed by the registry only, seconds later, though the server refuses connections
// soon after it has cut its runs, so that the request crashes more servers meanwhile.
func TestCrashIsConfirmedOnceConnectionsAreRefused(t *testing.T) {
	for name, kind := range map[string]config.Kind{"stream": config.Stream, "idempotent": config.Idempotent, "at most once": config.AtMostOnce} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				defer clock.Replace(func() time.Duration { return time.Since(begun) })()
				f := newDeadlyFleet(8, serverEntries(kind, 12)...)
				f.accepting = 20 * time.Millisecond
				for n := range 12 { // over 2.4 s, less than registryDelay
					time.Sleep(200 * time.Millisecond)
					_ = f.call(t.Context(), deadlyRequest(kind, n, true))
				}
				assert.Assert(t, len(f.crashes) <= deadlyCrashes, "%d crashes", len(f.crashes))
			})
		})
	}
}

// Guards against a deadly request that goes on to reach servers because they refuse it.
func TestRefusedTrialsAreFew(t *testing.T) {
	for name, kind := range map[string]config.Kind{"stream": config.Stream, "idempotent": config.Idempotent, "at most once": config.AtMostOnce} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				defer clock.Replace(func() time.Duration { return time.Since(begun) })()
				f := newDeadlyFleet(4, serverEntries(kind, 6)...)
				for n := 0; len(f.crashes) < 2; n++ {
					_ = f.call(t.Context(), deadlyRequest(kind, n, true))
					time.Sleep(500 * time.Millisecond)
				}
				f.refuses = true
				sent := len(f.sends)
				for n := range 60 {
					time.Sleep(500 * time.Millisecond)
					_ = f.call(t.Context(), deadlyRequest(kind, 100+n, true))
				}
				assert.Assert(t, len(f.sends)-sent <= maxLateSends, "%d arrivals at servers in 30 s", len(f.sends)-sent)
			})
		})
	}
}

// Guards against one engine that is gone and counts as several crashes, at each check of a stream that
// nothing can take over.
func TestGoneEngineCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		defer clock.Replace(func() time.Duration { return time.Since(begun) })()
		cl := newSilentCluster(t, 0, nil, engineEntry("a", "near", 0, 4), engineEntry("b", "near", 4, 8))
		cl.onSend = func(ctx context.Context, _ int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
			ans := signedAnswer(http.StatusOK, "")
			ans.Body = &pausingBody{pacedBody: pacedBody{ctx: ctx, left: 1}, pause: 9 * time.Second}
			return ans, nil
		}
		cl.onReport = func(_ context.Context, address string) (relay.Report, error) {
			if address == "b:1" {
				return relay.Report{}, syscall.ECONNREFUSED
			}
			return relay.Report{}, nil
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = cl.serve(t.Context(), request(config.Stream, 1))
		}()
		time.Sleep(8900 * time.Millisecond)
		records := cl.poison.Records()
		<-done
		assert.Equal(t, len(records), 1)
		assert.Equal(t, len(records[0].Crashes), 1, "%v", records[0].Crashes)
	})
}

// Guards against sound streams that are lost after the crash of an engine, since they wait for each other's
// trials.
func TestManyStreamsOnACrashedEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		defer clock.Replace(func() time.Duration { return time.Since(begun) })()
		var entries []server.Entry
		for i := range 8 {
			entries = append(entries, engineEntry(fmt.Sprint("e", i), "near", 0, 8))
		}
		f := newDeadlyFleet(1, entries...)
		var mu sync.Mutex
		var untried []error
		var wg sync.WaitGroup
		for n := range 120 {
			wg.Go(func() {
				err := f.call(t.Context(), deadlyRequest(config.Stream, n, false))
				mu.Lock()
				defer mu.Unlock()
				if err != nil && strings.Contains(err.Error(), "one at a time") {
					untried = append(untried, err)
				}
			})
		}
		time.Sleep(10 * time.Millisecond)
		f.crash("e0:1")
		wg.Wait()
		assert.Equal(t, len(untried), 0)
	})
}

// Guards against a request that comes to all processes at the same moment and is tried by each of them.
func TestDeadlyRequestAtAllProcessesAtOnce(t *testing.T) {
	for name, kind := range map[string]config.Kind{"stream": config.Stream, "idempotent": config.Idempotent, "at most once": config.AtMostOnce} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				defer clock.Replace(func() time.Duration { return time.Since(begun) })()
				var entries []server.Entry
				for i := range 6 {
					e := engineEntry(fmt.Sprint("e", i), "near", 0, 8)
					if kind != config.Stream {
						e = plainEntry(e.ID)
					}
					entries = append(entries, e)
				}
				f := newDeadlyFleet(4, entries...)
				var wg sync.WaitGroup
				for n := range 30 {
					time.Sleep(time.Second)
					for _, r := range f.processes {
						wg.Go(func() { _ = r.Serve(t.Context(), deadlyRequest(kind, n, true), discard()) })
					}
				}
				wg.Wait()
				t.Logf("%d crashes, %d late arrivals", len(f.crashes), f.lateArrivals())
				assert.Assert(t, f.lateArrivals() <= maxLateSends, "%d arrivals at servers later than %v after the third crash; %d crashes", f.lateArrivals(), poisonWindow, len(f.crashes))
			})
		})
	}
}
