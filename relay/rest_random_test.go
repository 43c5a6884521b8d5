package relay_test

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/intake"
	"github.com/cranberrybay/cranberrybay/relay"
	"github.com/cranberrybay/cranberrybay/server"
)

// Bounds of the users' pages: a server that said that it leaves gets no request that a caller sent later
// than drainBound after the answer was passed on, and maxInPause requests at most from pauseSlack after it
// asked for a pause until the end of the pause.
const (
	drainBound = 2 * time.Second
	pauseSlack = 500 * time.Millisecond
	maxInPause = 2
	// randomRun is the length of a run of random changes.
	randomRun = 20 * time.Second
)

// randomServer is a backend server that leaves, pauses and starts again at random.
type randomServer struct {
	entry   server.Entry
	leaving bool
	busy    bool          // refuses with a pause
	pause   time.Duration // that it asks for
}

// seenBy is what one process did at one incarnation of a server.
type seenBy struct {
	passedOn time.Time // first answer that said leaving
	pauses   []pauseSeen
}

// pauseSeen is a pause that a server asked one process for, and the requests in it.
type pauseSeen struct {
	from, until time.Time
	requests    int
}

// randomFleet is processes in front of random servers, and checks the bounds from what these see.
type randomFleet struct {
	t  *testing.T
	mu sync.Mutex
	r  *rand.Rand

	servers   []*randomServer
	processes []*testCluster
	seen      map[string]*seenBy // by process and incarnation
	announce  bool               // what one process hears of leaving reaches the others
}

func newRandomFleet(t *testing.T, seed int64) *randomFleet {
	f := &randomFleet{t: t, r: rand.New(rand.NewSource(seed)), seen: map[string]*seenBy{}}
	f.announce = seed%2 == 0
	var entries []server.Entry
	for i := range 4 {
		e := engineEntry(fmt.Sprint("s", i), "near", 0, 8)
		e.Started = 1
		f.servers = append(f.servers, &randomServer{entry: e})
		entries = append(entries, e)
	}
	for i := range 3 {
		cl := newCluster(t, entries...)
		cl.onSend = func(_ context.Context, _ int, req *relay.Request, a relay.Attempt) (*relay.Answer, error) {
			return f.answer(i, req, a), nil
		}
		f.processes = append(f.processes, cl)
	}
	return f
}

// answer answers a request of a process.
func (f *randomFleet) answer(process int, req *relay.Request, a relay.Attempt) *relay.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, cl := time.Now(), f.processes[process]
	var s *randomServer
	for _, x := range f.servers {
		if x.entry.Address == a.Server.Address() {
			s = x
		}
	}
	if s.entry.ID != a.Server.ID() {
		ans := refusal()
		ans.Misdirected, ans.Intake.Leaving = true, s.leaving
		return ans
	}
	key := fmt.Sprint(process, s.entry.ID, s.entry.Started)
	seen := f.seen[key]
	if seen == nil {
		seen = &seenBy{}
		f.seen[key] = seen
	}
	// Until the registry tells, the process takes a new run for the one before it, and forgets what it said.
	known := a.Server.Entry().Started == s.entry.Started
	if known {
		assert.Check(f.t, seen.passedOn.IsZero() || req.Arrived.Sub(seen.passedOn) <= drainBound, "%s got a request %v after it said that it leaves", key, req.Arrived.Sub(seen.passedOn))
	}
	for i := range seen.pauses {
		p := &seen.pauses[i]
		if now.Sub(p.from) > pauseSlack && now.Before(p.until) {
			p.requests++
			assert.Check(f.t, p.requests <= maxInPause, "%s got %d requests in a pause", key, p.requests)
		}
	}
	if s.busy {
		ans := refusal()
		ans.Intake.RestUntil, ans.Intake.Leaving = intake.Now()+s.pause, s.leaving
		if known {
			seen.pauses = append(seen.pauses, pauseSeen{from: now, until: now.Add(s.pause)})
		}
		return ans
	}
	if s.leaving && known && seen.passedOn.IsZero() {
		seen.passedOn = now
		if f.announce {
			records := []intake.Record{{Server: a.Server.Incarnation(), At: intake.Now()}}
			for _, other := range f.processes {
				if other != cl {
					time.AfterFunc(5*time.Millisecond, func() { other.intake.Merge(records) })
				}
			}
		}
	}
	ans := signedAnswer(http.StatusOK, "done")
	if req.Route.Kind() == config.Stream {
		ans = signedAnswer(http.StatusOK, events(1, 3))
		ans.Length = -1
	}
	ans.Intake.Leaving = s.leaving
	return ans
}

// change makes one random change of a server. The registry tells it later, or never for a while.
func (f *randomFleet) change() {
	f.mu.Lock()
	s := f.servers[f.r.Intn(len(f.servers))]
	old := s.entry
	lag := time.Duration(f.r.Intn(8)) * time.Second
	switch f.r.Intn(5) {
	case 0, 1:
		s.busy, s.pause = !s.busy, time.Duration(100+f.r.Intn(5000))*time.Millisecond
	case 2:
		s.leaving = true
	case 3: // another server at the same address
		s.entry.ID, s.entry.Started = fmt.Sprintf("%s-%d", s.entry.ID[:2], f.r.Intn(1e6)), time.Now().UnixMilli()
		s.leaving, s.busy = false, false
	case 4: // the same name again
		s.entry.Started = time.Now().UnixMilli()
		s.leaving, s.busy = false, false
	}
	now := s.entry
	f.mu.Unlock()
	time.AfterFunc(lag, func() {
		for _, cl := range f.processes {
			if old.ID != now.ID {
				cl.table.Apply([]server.Change{{ID: old.ID, Removed: true}}, false, 0)
			}
			if known := cl.table.ByAddress(now.Address); known == nil || known.Entry().Started <= now.Started {
				cl.table.Apply([]server.Change{{ID: now.ID, Entry: now}}, false, 0)
			}
		}
	})
}

// Guards against requests that servers did not want, while they leave, pause, start again and hand their
// addresses on in any order and the registry lags, and against requests that are held past their deadline
// or that fail with no need.
func TestRandomServersThatLeaveAndPause(t *testing.T) {
	for _, seed := range []int64{1, 9, 16, 20} {
		for _, kind := range []config.Kind{config.Idempotent, config.Stream} {
			t.Run(fmt.Sprint(kind, " ", seed), func(t *testing.T) {
				runVirtual(t, func(t *testing.T) {
					f := newRandomFleet(t, seed)
					var wg sync.WaitGroup
					served, refused, next := 0, 0, time.Now()
					var mu sync.Mutex
					for n, begun := 0, time.Now(); time.Since(begun) < randomRun; n++ {
						if time.Now().After(next) {
							f.change()
							next = time.Now().Add(time.Duration(100+n%7*150) * time.Millisecond)
						}
						wg.Go(func() {
							req := request(kind, 2)
							req.ID, req.Deadline = fmt.Sprint(n), time.Now().Add(3*time.Second)
							got := f.processes[n%len(f.processes)].serve(t.Context(), req)
							mu.Lock()
							defer mu.Unlock()
							assert.Check(t, got.took <= 3*time.Second, "%v", got.took)
							if got.err == nil {
								served++
								return
							}
							refused++
							assert.Check(t, fault.VerdictOf(got.err) == fault.NotRun, "%v", got.err)
						})
						time.Sleep(25 * time.Millisecond)
					}
					wg.Wait()
					time.Sleep(10 * time.Second) // late rows
					t.Logf("%d served, %d refused", served, refused)
					assert.Assert(t, served > 0)
				})
			})
		}
	}
}
