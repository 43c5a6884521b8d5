package proxy

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/fleet"
)

// fakeServers is a pool of servers whose answers depend on the server and on the
// number of the call.
type fakeServers struct {
	mu       sync.Mutex
	calls    []string
	inflight map[string]int
	pool     *Pool
}

func newFakeServers(servers int, do func(ctx context.Context, server string, n int) (int, error)) *fakeServers {
	s := &fakeServers{inflight: map[string]int{}}
	addInflight := func(name string, d int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.inflight[name] += d
	}
	s.pool = NewPool(PoolConfig{
		Rand: rand.New(rand.NewSource(1)),
		Servers: func(string) []fleet.Candidate {
			var out []fleet.Candidate
			for i := range servers {
				c := fleet.Candidate{State: fleet.State{Name: fmt.Sprint(i), Address: fmt.Sprint(i), Slots: 16}}
				s.mu.Lock()
				c.Inflight = s.inflight[c.Name]
				s.mu.Unlock()
				out = append(out, c)
			}
			return out
		},
		OnStart: func(n string) { addInflight(n, 1) }, OnEnd: func(n string) { addInflight(n, -1) }, OnFailure: func(string) {}, OnSuccess: func(string) {},
		Do: func(ctx context.Context, server string, _ Call) (*Answer, error) {
			s.mu.Lock()
			s.calls = append(s.calls, server)
			n := len(s.calls)
			s.mu.Unlock()
			status, err := do(ctx, server, n)
			if err != nil {
				return nil, err
			}
			return &Answer{Status: status, Body: io.NopCloser(strings.NewReader(server))}, nil
		},
	})
	return s
}

func (s *fakeServers) send(call Call) error {
	a, err := s.pool.Send(context.Background(), "desk", call)
	if err == nil {
		_ = a.Body.Close()
	}
	return err
}

func errorWith(v fault.Verdict) error {
	return fault.New(fault.Config{Verdict: v, Code: fault.Unavailable})
}

// TestRetries guards against a retry of a call that may have run, a verdict that
// ignores an earlier attempt, and unlimited retries.
func TestRetries(t *testing.T) {
	lookup := Call{Method: "GET", Idempotent: true}
	for name, c := range map[string]struct {
		call    Call
		first   error
		status  int
		second  error
		calls   int
		verdict fault.Verdict
		ok      bool
	}{
		"order not run":             {call: order, first: errorWith(fault.NotRun), calls: 2, ok: true},
		"order may have run":        {call: order, first: errorWith(fault.MayHaveRun), calls: 1, verdict: fault.MayHaveRun},
		"order failed with 500":     {call: order, status: 500, calls: 1, ok: true},
		"lookup may have run":       {call: lookup, first: errorWith(fault.MayHaveRun), calls: 2, ok: true},
		"lookup failed with 500":    {call: lookup, status: 500, calls: 2, ok: true},
		"lookup, then refused":      {call: lookup, first: errorWith(fault.MayHaveRun), second: errorWith(fault.NotRun), calls: 3, verdict: fault.MayHaveRun},
		"order refused everywhere":  {call: order, first: errorWith(fault.NotRun), second: errorWith(fault.NotRun), calls: 3, verdict: fault.NotRun},
		"order refused, then error": {call: order, first: errorWith(fault.NotRun), second: errorWith(fault.MayHaveRun), calls: 2, verdict: fault.MayHaveRun},
	} {
		// Uses virtual time: on a busy machine a lookup was hedged after 2 ms, and
		// the test saw a third call.
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeServers(4, func(_ context.Context, _ string, n int) (int, error) {
					switch {
					case n == 1 && c.status != 0:
						return c.status, nil
					case n == 1:
						return 200, c.first
					}
					return 200, c.second
				})
				err := s.send(c.call)
				assert.Equal(t, len(s.calls), c.calls)
				assert.Equal(t, err == nil, c.ok, "%v", err)
				if err != nil {
					assert.Equal(t, fault.VerdictOf(err), c.verdict)
					_, ok := fault.RetryAt(err)
					assert.Assert(t, ok, "no retry time")
				}
			})
		})
	}
	t.Run("budget", func(t *testing.T) {
		s := newFakeServers(4, func(context.Context, string, int) (int, error) { return 0, errorWith(fault.NotRun) })
		for range 1000 {
			assert.Assert(t, s.send(order) != nil)
		}
		assert.Assert(t, len(s.calls) <= 1000+initialBudget+100, "%d calls for 1000 requests", len(s.calls))
	})
	t.Run("no server", func(t *testing.T) {
		wantError(t, newFakeServers(0, nil).send(order), fault.NotRun, fault.Unavailable)
	})
}

// TestHedging guards against hedging of calls that are not idempotent, unlimited
// hedging, and exchanges that are never closed.
func TestHedging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(n int) bool { return n > 50 && n%10 == 0 }
		s := newFakeServers(4, func(ctx context.Context, _ string, n int) (int, error) {
			wait := 10 * time.Millisecond
			if slow(n) {
				wait = 10 * time.Second
			}
			select {
			case <-time.After(wait):
				return 200, nil
			case <-ctx.Done():
				return 0, errorWith(fault.MayHaveRun)
			}
		})
		hedged := func(call Call) (int, time.Duration) {
			before, start := len(s.calls), time.Now()
			for range 200 {
				assert.NilError(t, s.send(call))
			}
			return len(s.calls) - before - 200, time.Since(start)
		}
		n, took := hedged(Call{Method: "GET", Idempotent: true})
		assert.Assert(t, n >= 10 && n <= initialBudget+200/20, "%d hedges", n)
		assert.Assert(t, took < 60*time.Second, "200 lookups took %v", took)
		n, _ = hedged(order)
		assert.Equal(t, n, 0)
		synctest.Wait()
		for name, n := range s.inflight {
			assert.Equal(t, n, 0, "server %s has open exchanges", name)
		}
	})
}

// TestSlowServer guards against a slow server that gets as much work as fast ones,
// and against a server that gets no work after it has recovered.
func TestSlowServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recovered := false
		s := newFakeServers(3, func(_ context.Context, server string, _ int) (int, error) {
			if server == "0" && !recovered {
				time.Sleep(200 * time.Millisecond)
			}
			time.Sleep(10 * time.Millisecond)
			return 200, nil
		})
		share := func(during time.Duration) float64 {
			s.calls = nil
			var wg sync.WaitGroup
			for range 6 {
				wg.Go(func() {
					for end := time.Now().Add(during); time.Now().Before(end); {
						_ = s.send(order)
					}
				})
			}
			wg.Wait()
			n := 0
			for _, c := range s.calls {
				if c == "0" {
					n++
				}
			}
			return float64(n) / float64(len(s.calls))
		}
		assert.Assert(t, share(30*time.Second) < 0.05)
		recovered = true
		share(20 * time.Second) // the old mean decays
		assert.Assert(t, share(30*time.Second) > 0.2)
	})
}

// TestFailedHedgeEndsNoCall guards against a lookup that gets the failure of a hedge
// although the first server, which was silent for a while, answers it.
func TestFailedHedgeEndsNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := false
		s := newFakeServers(2, func(ctx context.Context, server string, _ int) (int, error) {
			switch {
			case silent && server == "1":
				return 500, nil
			case silent:
				select {
				case <-time.After(1200 * time.Millisecond):
				case <-ctx.Done():
					return 0, errorWith(fault.MayHaveRun)
				}
			}
			return 200, nil
		})
		lookup := Call{Method: "GET", Idempotent: true}
		assert.NilError(t, s.send(lookup)) // measures the latency after which lookups are hedged
		silent = true
		s.pool.latencies.add("desk", "1", 10*time.Second) // server 0 is tried first
		a, err := s.pool.Send(context.Background(), "desk", lookup)
		assert.NilError(t, err)
		assert.Equal(t, a.Status, 200)
		assert.NilError(t, a.Body.Close())
		synctest.Wait()
		assert.DeepEqual(t, s.inflight, map[string]int{"0": 0, "1": 0})
	})
}

// TestSilentServerGetsTheCall guards against a call that is refused because the only
// server took no connection for a while, and against one that is tried beyond its
// deadline.
func TestSilentServerGetsTheCall(t *testing.T) {
	for name, c := range map[string]struct {
		silence time.Duration
		ok      bool
	}{"returns": {1200 * time.Millisecond, true}, "does not return": {time.Hour, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				s := newFakeServers(1, func(context.Context, string, int) (int, error) {
					if time.Since(start) > c.silence {
						return 201, nil
					}
					time.Sleep(dialTimeout)
					return 0, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unavailable, Cause: &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}})
				})
				s.pool.retries = newBudget(1e-9)
				for s.pool.retries.TryRetry() {
				}
				call := order
				call.Deadline = start.Add(5 * time.Second)
				err := s.send(call)
				assert.Equal(t, err == nil, c.ok, "%v", err)
				assert.Assert(t, time.Since(start) <= 5*time.Second+dialTimeout, "%v", time.Since(start))
				if !c.ok {
					wantError(t, err, fault.NotRun, fault.Unavailable)
				}
			})
		})
	}
}
