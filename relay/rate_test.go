package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/pacer"
	"github.com/cranberrybay/cranberrybay/relay"
	"github.com/cranberrybay/cranberrybay/server"
)

// limitedFleet is entry processes in front of servers of which some name a rate.
type limitedFleet struct {
	processes []*testCluster
	namedAt   time.Time // when the first server named a rate

	mu    sync.Mutex
	rates map[string]float64     // by server ID
	got   map[string][]time.Time // requests by server ID
}

func newLimitedFleet(t *testing.T, processes int, rates map[string]float64, entries ...server.Entry) *limitedFleet {
	t.Helper()
	f := &limitedFleet{rates: rates, got: map[string][]time.Time{}, namedAt: time.Now()}
	fleet := pacer.Fleet{Domain: "near", Domains: []string{"near"}, Size: processes}
	for i := range processes {
		fleet.Members = append(fleet.Members, fmt.Sprint("p", i))
	}
	for i := range processes {
		cl := newCluster(t, entries...)
		cl.fleet = fleet
		cl.fleet.Self = fleet.Members[i]
		cl.onSend = func(_ context.Context, _ int, req *relay.Request, a relay.Attempt) (*relay.Answer, error) {
			ans := signedAnswer(http.StatusOK, "done")
			if req.Route.Kind() == config.Stream {
				ans = signedAnswer(http.StatusOK, events(1, 3))
				ans.Length = -1
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			f.got[a.Server.ID()] = append(f.got[a.Server.ID()], time.Now())
			if rate, ok := f.rates[a.Server.ID()]; ok {
				ans.Rate = relay.NamedRate{Named: true, Value: rate}
			}
			return ans, nil
		}
		f.processes = append(f.processes, cl)
	}
	return f
}

// play sends requests to the processes in turn, at a rate per second, and returns how many were
// served, and the longest time that a refused one took.
func (f *limitedFleet) play(t *testing.T, kind config.Kind, perSecond int, d time.Duration) (sent, served int, slowestRefusal time.Duration) {
	t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for begun := time.Now(); time.Since(begun) < d; sent++ {
		cl, id := f.processes[sent%len(f.processes)], fmt.Sprint(sent)
		wg.Go(func() {
			req := request(kind, 2)
			req.ID = id
			got := cl.serve(t.Context(), req)
			mu.Lock()
			defer mu.Unlock()
			if got.err == nil {
				served++
			} else {
				slowestRefusal = max(slowestRefusal, got.took)
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
	return sent, served, slowestRefusal
}

// checkRate checks that a server got no more in any 4 s than one and a half times its rate and 5
// requests, from 3 s after it named the rate.
func (f *limitedFleet) checkRate(t *testing.T, id string) {
	t.Helper()
	const window = 4 * time.Second
	allowed := int(1.5*f.rates[id]*window.Seconds()) + 5
	times := f.got[id]
	for i, from := range times {
		if from.Sub(f.namedAt) < 3*time.Second {
			continue
		}
		n := 0
		for _, at := range times[i:] {
			if at.Sub(from) < window {
				n++
			}
		}
		assert.Assert(t, n <= allowed, "%s got %d requests in the 4 s from %v on, %d allowed", id, n, from.Sub(f.namedAt), allowed)
	}
}

func runVirtual(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		base := time.Now()
		t.Cleanup(clock.Replace(func() time.Duration { return time.Since(base) + time.Hour }))
		f(t)
	})
}

// Guards against a server that gets more requests from all processes than the rate that it names.
func TestNamedRateIsExceeded(t *testing.T) {
	const processes = 8
	for _, rate := range []float64{0, 0.5, 2, 15} {
		t.Run(fmt.Sprintf("plain %v", rate), func(t *testing.T) {
			runVirtual(t, func(t *testing.T) {
				f := newLimitedFleet(t, processes, map[string]float64{"a": rate}, plainEntry("a"), plainEntry("b"))
				sent, served, _ := f.play(t, config.Idempotent, 60, 20*time.Second)
				f.checkRate(t, "a")
				assert.Equal(t, served, sent) // b takes the rest
			})
		})
		t.Run(fmt.Sprintf("streams %v", rate), func(t *testing.T) {
			runVirtual(t, func(t *testing.T) {
				f := newLimitedFleet(t, processes, map[string]float64{"a": rate}, engineEntry("a", "near", 0, 4), engineEntry("b", "near", 0, 4), engineEntry("c", "near", 4, 8))
				sent, served, _ := f.play(t, config.Stream, 60, 20*time.Second)
				f.checkRate(t, "a")
				assert.Equal(t, served, sent)
			})
		})
	}
}

// Guards against callers that wait for a server until their deadline when its rate is used up, and
// against a server that gets much less than it takes.
func TestRequestsOverTheRateAreRefusedAtOnce(t *testing.T) {
	for _, kind := range []config.Kind{config.Idempotent, config.Stream} {
		t.Run(kind.String(), func(t *testing.T) {
			runVirtual(t, func(t *testing.T) {
				f := newLimitedFleet(t, 8, map[string]float64{"a": 12}, engineEntry("a", "near", 0, 8))
				_, served, slowest := f.play(t, kind, 60, 20*time.Second)
				f.checkRate(t, "a")
				assert.Assert(t, slowest <= 50*time.Millisecond, slowest) // half of the target time
				assert.Assert(t, served >= 20*12*8/10, served)
			})
		})
	}
}

// Guards against callers that are kept away for long by a process without a share, although another one
// has a request left.
func TestRefusalWithoutAShareSendsCallersElsewhereSoon(t *testing.T) {
	runVirtual(t, func(t *testing.T) {
		cl := newCluster(t, plainEntry("a"))
		cl.onSend = func(context.Context, int, *relay.Request, relay.Attempt) (*relay.Answer, error) {
			ans := signedAnswer(http.StatusOK, "done")
			ans.Rate = relay.NamedRate{Named: true, Value: 0.2}
			return ans, nil
		}
		checkServed(t, cl.serve(t.Context(), request(config.Idempotent, 1)), "done")
		for _, tc := range []struct {
			name          string
			fleet         pacer.Fleet
			atLeast, most time.Duration
		}{
			{"share", cl.fleet, time.Second, 6 * time.Second},
			{"no share", pacer.Fleet{}, 0, time.Second},
		} {
			cl.fleet = tc.fleet
			time.Sleep(time.Second)
			got := cl.serve(t.Context(), request(config.Idempotent, 1))
			checkVerdict(t, got, fault.NotRun)
			at, _ := fault.RetryAt(got.err)
			assert.Assert(t, time.Until(at) >= tc.atLeast && time.Until(at) <= tc.most, "%s: %v", tc.name, time.Until(at))
		}
	})
}
