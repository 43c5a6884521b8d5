package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/relay"
	"github.com/cranberrybay/cranberrybay/server"
)

const (
	deadlyPart = "dead1y"
	// poisonPrefill is how long an engine reads a prompt before it begins to write.
	poisonPrefill = 60 * time.Millisecond
	poisonEvents  = 20 // of a whole answer
	// poisonDown is how long an engine is down after a crash.
	poisonDown = 3 * time.Second
	// maxLateSends is how many requests with a deadly part may reach engines later than
	// poisonWindow after poisonCrashes crashes.
	maxLateSends  = 3
	poisonCrashes = 5
	poisonWindow  = 3 * time.Second
)

// poisonFleet is a fleet of engines that crash when they begin to answer a request with a deadly
// part. A crash cuts all runs on the engine.
type poisonFleet struct {
	mu       sync.Mutex
	downTill map[string]time.Time // by address
	cut      map[string]chan struct{}
	crashes  []time.Time
	sends    []time.Time // of requests with a deadly part
	onCrash  func(address string)
}

func newPoisonFleet() *poisonFleet {
	return &poisonFleet{downTill: map[string]time.Time{}, cut: map[string]chan struct{}{}, onCrash: func(string) {}}
}

func (f *poisonFleet) isDown(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.downTill[address])
}

// begin returns a channel that is closed when the engine crashes.
func (f *poisonFleet) begin(address string, deadly bool) chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if deadly {
		f.sends = append(f.sends, time.Now())
	}
	if f.cut[address] == nil {
		f.cut[address] = make(chan struct{})
	}
	return f.cut[address]
}

func (f *poisonFleet) crash(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Now().Before(f.downTill[address]) {
		return
	}
	f.downTill[address] = time.Now().Add(poisonDown)
	f.crashes = append(f.crashes, time.Now())
	if f.cut[address] != nil {
		close(f.cut[address])
		delete(f.cut, address)
	}
	f.onCrash(address)
}

// lateSends returns how many requests with a deadly part reached engines later than poisonWindow
// after poisonCrashes crashes.
func (f *poisonFleet) lateSends() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < poisonCrashes {
		return 0
	}
	n := 0
	for _, at := range f.sends {
		if at.After(f.crashes[poisonCrashes-1].Add(poisonWindow)) {
			n++
		}
	}
	return n
}

// poisonRun is the body of an answer: events after the prompt was read, until the engine crashes.
type poisonRun struct {
	fleet   *poisonFleet
	ctx     context.Context
	address string
	deadly  bool
	cut     chan struct{}
	next    int
}

func (p *poisonRun) Read(b []byte) (int, error) {
	wait := 30 * time.Millisecond
	if p.next == 1 {
		wait = poisonPrefill
	}
	if p.next > poisonEvents {
		return 0, io.EOF
	}
	select {
	case <-p.ctx.Done():
		return 0, p.ctx.Err()
	case <-p.cut:
		return 0, connectionReset()
	case <-time.After(wait):
	}
	if p.deadly {
		p.fleet.crash(p.address)
		return 0, connectionReset()
	}
	p.next++
	return copy(b, events(p.next-1, p.next-1)), nil
}

func (p *poisonRun) Close() error { return nil }

func (f *poisonFleet) send(ctx context.Context, _ int, req *relay.Request, a relay.Attempt) (*relay.Answer, error) {
	address := a.Server.Address()
	if f.isDown(address) {
		return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unavailable, Reason: "refused", Cause: syscall.ECONNREFUSED})
	}
	deadly := strings.Contains(strings.Join(req.PromptParts, ","), deadlyPart)
	ans := signedAnswer(http.StatusOK, "")
	ans.Body = &poisonRun{fleet: f, ctx: ctx, address: address, deadly: deadly, cut: f.begin(address, deadly), next: 1}
	return ans, nil
}

func (f *poisonFleet) report(_ context.Context, address string) (relay.Report, error) {
	if f.isDown(address) {
		return relay.Report{}, syscall.ECONNREFUSED
	}
	return relay.Report{}, nil
}

// poisonRequest returns the nth request with a first part that others share.
func poisonRequest(n int, parts ...string) *relay.Request {
	req := request(config.Stream, 2)
	req.ID = fmt.Sprint("r", n)
	req.PromptParts = append(append([]string{fmt.Sprint("root", n%5)}, parts...), fmt.Sprint("own", n))
	return req
}

// Guards against requests with one part in their prompts that crash engine after engine, while
// sound requests of the same beginning find none.
func TestDeadlyPartReachesFewEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		defer clock.Replace(func() time.Duration { return time.Since(begun) })()
		var entries []server.Entry
		for i := range 6 {
			entries = append(entries, engineEntry(fmt.Sprint("e", i), "near", 0, 8))
		}
		cl := newCluster(t, entries...)
		fleet := newPoisonFleet()
		cl.onSend, cl.onReport = fleet.send, fleet.report
		served, asked := 0, 0
		var wg sync.WaitGroup
		for n := range 600 { // 20 a second for 30 s, every tenth one deadly
			time.Sleep(50 * time.Millisecond)
			wg.Go(func() {
				if n%10 == 0 {
					cl.serve(t.Context(), poisonRequest(n, deadlyPart))
					return
				}
				got := cl.serve(t.Context(), poisonRequest(n))
				if n > 300 {
					fleet.mu.Lock()
					defer fleet.mu.Unlock()
					asked++
					if got.err == nil {
						served++
					}
				}
			})
		}
		wg.Wait()
		assert.Assert(t, fleet.lateSends() <= maxLateSends, "%d requests with the deadly part reached engines; %d crashes", fleet.lateSends(), len(fleet.crashes))
		assert.Assert(t, 2*served >= asked, "%d of %d sound requests served", served, asked)

		sent := len(fleet.sends)
		got := cl.serve(t.Context(), poisonRequest(1000, deadlyPart))
		checkVerdict(t, got, fault.NotRun)
		assert.Equal(t, fault.CodeOf(got.err), fault.Quarantined)
		assert.Equal(t, got.took, time.Duration(0), "a hopeless request was held")
		assert.Equal(t, len(fleet.sends), sent)
	})
}

// Guards against a plain request that is repeated at one server after the other although a part of
// its prompt crashed them, and against a sound one that is refused.
func TestDeadlyPartOfPlainRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		defer clock.Replace(func() time.Duration { return time.Since(begun) })()
		cl := newCluster(t, plainEntry("a"), plainEntry("b"), plainEntry("c"))
		fleet := newPoisonFleet()
		cl.onSend = func(_ context.Context, _ int, req *relay.Request, a relay.Attempt) (*relay.Answer, error) {
			if !slices.Contains(req.PromptParts, deadlyPart) {
				return signedAnswer(http.StatusOK, "ok"), nil
			}
			fleet.begin(a.Server.Address(), true)
			fleet.crashes = append(fleet.crashes, time.Now())
			e := a.Server.Entry()
			e.Started++ // the server starts again
			time.AfterFunc(time.Second, func() { cl.table.Apply([]server.Change{{ID: e.ID, Entry: e}}, false, 0) })
			return nil, connectionReset()
		}
		for n := range 20 {
			req := request(config.Idempotent, 2)
			req.PromptParts = []string{"root", deadlyPart, fmt.Sprint("own", n)}
			cl.serve(t.Context(), req)
			sound := request(config.Idempotent, 2)
			sound.PromptParts = []string{"root", fmt.Sprint("own", n)}
			checkServed(t, cl.serve(t.Context(), sound), "ok")
			time.Sleep(2 * time.Second)
		}
		assert.Assert(t, fleet.lateSends() <= maxLateSends, "%d requests with the deadly part reached servers; %d crashes", fleet.lateSends(), len(fleet.crashes))
	})
}
