package entry_test

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrybay/cranberrybay/entry"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/proxy"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204") // fixed, so that a failing run can be repeated
	_ = flag.Set("rapid.checks", "12")     // 100 take a minute with the race detector
	flag.Parse()
	os.Exit(m.Run())
}

// faultTrial runs callers against whole entry processes while it injects random
// faults.
type faultTrial struct {
	*system
	t          *testing.T
	seed       int64
	faultCount int  // faults to inject
	skipDrain  bool // deliberate bug: a planned stop closes connections at once
	mu         sync.Mutex
	rand       *rand.Rand
	results    []callResult
	drains     int      // planned stops
	busyDrains int      // planned stops with requests in flight
	truncated  []string // answers cut off by a process that was not killed
	killed     map[*node]bool
}

// callResult is the answer that a caller got to one attempt to place an order.
type callResult struct {
	order   string
	request string // X-Request-Id
	verdict string
	ranBy   string // ID of the request that ran the order, according to the answer
}

// intn returns a random number below n.
func (r *faultTrial) intn(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rand.Intn(n)
}

// node returns a random live process.
func (r *faultTrial) node() *node {
	all := r.live()
	return all[r.intn(len(all))]
}

// placeOrder sends an order once and records the answer. It returns whether the
// order ran.
func (r *faultTrial) placeOrder(n *node, order, key string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	rs, text, err := r.call(ctx, n.name, "POST", "/services/desk/orders", order, "Idempotency-Key", key)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		var refused interface{ Timeout() bool }
		if ctx.Err() == nil && !r.killed[n] && !errors.As(err, &refused) {
			r.truncated = append(r.truncated, fmt.Sprintf("%s at %s: %v", order, n.name, err))
		}
		return false
	}
	res := callResult{order: order, request: rs.Header.Get("X-Request-Id"), verdict: fault.Ran.String()}
	var body struct{ Request, Verdict string }
	_ = json.Unmarshal([]byte(text), &body)
	res.ranBy = body.Request
	if rs.StatusCode != http.StatusCreated {
		res.verdict = body.Verdict
	}
	r.results = append(r.results, res)
	return rs.StatusCode == http.StatusCreated
}

// runCaller places orders. It sends each order to several processes until the
// answer says that it ran, and sometimes once more. A third of the keys are
// tickets.
func (r *faultTrial) runCaller(n int) {
	for i := range 5 {
		order := fmt.Sprintf("work-%d-%d", n/2, i)
		key := order
		if n/2%3 == 0 {
			var tk entry.Tickets
			rs, text, err := r.call(context.Background(), r.node().name, "POST", "/tickets", "")
			if err != nil || rs.StatusCode != http.StatusCreated || json.Unmarshal([]byte(text), &tk) != nil {
				continue
			}
			order, key = fmt.Sprintf("ticket-%d-%d", n, i), tk.Tickets[0]
		}
		for range 5 {
			if r.placeOrder(r.node(), order, key) && r.intn(3) > 0 {
				break
			}
			time.Sleep(time.Duration(r.intn(2000)) * time.Millisecond)
		}
	}
}

// injectFaults injects faultCount random faults. It then ends the faults of the servers
// and the outages of the table service; some of its calls stay lost or slow.
func (r *faultTrial) injectFaults() {
	for range r.faultCount {
		time.Sleep(time.Duration(r.intn(2500)) * time.Millisecond)
		sv := r.services[r.intn(len(r.services))]
		switch r.intn(8) {
		case 0:
			n := r.node()
			r.mu.Lock()
			r.killed[n] = true
			r.mu.Unlock()
			r.start(r.t)
			n.kill()
		case 1:
			r.node().Pause(time.Duration(r.intn(60)) * time.Second)
		case 2:
			sv.SetFaults(fakes.ServiceFaults{LostReplies: r.intn(4), LostCalls: r.intn(3), TruncatedReplies: r.intn(3), FailedCalls: r.intn(2)})
		case 3:
			sv.SetFaults(fakes.ServiceFaults{Refuse: r.intn(2) == 0, Delay: time.Duration(r.intn(6000)) * time.Millisecond})
		case 4:
			sv.SetLeaving(r.intn(2) == 0)
		case 5:
			down, hang := r.intn(2) == 0, r.intn(3) == 0
			r.flakyTable.UpdateFaults(func(t *fakes.FlakyFaults) { t.Down, t.Hang = down, hang })
		case 6:
			r.drain()
		default:
			r.resetTableFaults()
		}
	}
	r.resetTableFaults()
	for _, sv := range r.services {
		sv.SetLeaving(false)
		sv.SetFaults(fakes.ServiceFaults{})
	}
}

// drain starts a new process and drains the one with the most requests in flight.
func (r *faultTrial) drain() {
	n := r.node()
	for _, other := range r.live() {
		if other.handler.Inflight() > n.handler.Inflight() {
			n = other
		}
	}
	r.start(r.t)
	r.drains++
	if n.handler.Inflight() > 0 {
		r.busyDrains++
	}
	if r.skipDrain {
		_ = n.server.Close()
		return
	}
	n.handler.Drain()
	go func() {
		n.handler.WaitDrained(context.Background(), time.Now().Add(2*time.Second))
		_ = n.handler.Shutdown(context.Background(), n.server, n.listener)
	}()
}

// resetTableFaults ends outages of the table service and leaves it with some lost
// and slow calls.
func (r *faultTrial) resetTableFaults() {
	lose := float64(r.intn(30)) / 100
	r.flakyTable.UpdateFaults(func(t *fakes.FlakyFaults) {
		*t = fakes.FlakyFaults{LossRate: lose, MaxDelay: time.Duration(lose * float64(time.Second))}
	})
}

// checkInvariants checks over the whole trial that verdicts are true (I3), that no
// order ran twice (I4) and that a planned stop cut off no answer (I6).
func (r *faultTrial) checkInvariants() error {
	ran, byRequest := map[string][]string{}, map[string]bool{}
	for _, sv := range r.services {
		for _, o := range sv.ExecutedOrders() {
			ran[o.Body] = append(ran[o.Body], o.Request)
			byRequest[o.Request] = true
		}
	}
	for order, requests := range ran {
		if len(requests) > 1 {
			return fmt.Errorf("%s ran %d times", order, len(requests))
		}
	}
	for _, res := range r.results {
		if res.verdict == fault.NotRun.String() && byRequest[res.request] {
			return fmt.Errorf("a request for %s was told not-run and ran", res.order)
		}
		if res.ranBy != "" && (len(ran[res.order]) != 1 || ran[res.order][0] != res.ranBy) {
			return fmt.Errorf("%s was answered as run by %s, it was run by %v", res.order, res.ranBy, ran[res.order])
		}
	}
	if len(r.truncated) > 0 {
		return fmt.Errorf("answers were cut off by a planned stop: %v", r.truncated)
	}
	return nil
}

// runTrial runs one trial. modify may put in a deliberate bug.
func runTrial(t *testing.T, seed int64, faultCount int, modify func(*faultTrial)) (r *faultTrial, err error) {
	synctest.Test(t, func(t *testing.T) {
		r = &faultTrial{system: newSystem(t, seed, 2), t: t, seed: seed, faultCount: faultCount, rand: rand.New(rand.NewSource(seed)), killed: map[*node]bool{}}
		modify(r)
		r.resetTableFaults()
		for range 3 {
			r.start(t)
		}
		time.Sleep(time.Second)
		var wg sync.WaitGroup
		for n := range 10 {
			wg.Go(func() { r.runCaller(n) })
		}
		wg.Go(r.injectFaults)
		wg.Wait()
		time.Sleep(2 * time.Minute) // paused processes resume
		for n := range 2 {
			r.runCaller(n + 2) // repeats after all faults have ended
		}
		err = r.checkInvariants()
		for _, n := range r.live() {
			n.kill()
		}
		time.Sleep(3 * time.Minute) // calls that outlived their callers end
	})
	return r, err
}

// TestRandomFaults guards invariants I3, I4 and I6 over whole entry processes:
// real handlers, proxies and claim managers over in-memory connections.
func TestRandomFaults(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		seed, faultCount := rapid.Int64().Draw(rt, "seed"), rapid.IntRange(5, 40).Draw(rt, "faults")
		r, err := runTrial(t, seed, faultCount, func(*faultTrial) {})
		if err != nil {
			rt.Fatal(err)
		}
		for _, res := range r.results {
			counts[res.verdict]++
		}
		counts["drains"] += r.drains
		counts["drains with requests in flight"] += r.busyDrains
	})
	t.Log(counts)
	for v, least := range map[string]int{"ran": 100, "not-run": 10, "may-have-run": 10, "drains with requests in flight": 0} {
		assert.Assert(t, counts[v] > least, "the trials produced too few %s: %v", v, counts)
	}
}

// TestRandomFaultsDetectsViolations shows that checkInvariants finds violations:
// it must fail for deliberate bugs in the proxy and in the planned stop.
func TestRandomFaultsDetectsViolations(t *testing.T) {
	for name, modify := range map[string]func(*faultTrial){
		"every failure taken as not run": func(r *faultTrial) {
			r.doCall = func(c *proxy.Client) func(context.Context, string, proxy.Call) (*proxy.Answer, error) {
				return func(ctx context.Context, address string, call proxy.Call) (*proxy.Answer, error) {
					res, err := c.Do(ctx, address, call)
					if err != nil {
						err = fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unavailable, Cause: err})
					}
					return res, err
				}
			}
		},
		"process stops without draining": func(r *faultTrial) { r.skipDrain = true },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(10) {
				if _, err := runTrial(t, seed, 40, modify); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("10 trials with the bug passed the check")
		})
	}
}
