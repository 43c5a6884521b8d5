package beat_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/beat"
	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/watch"
)

// platformFollower follows a table of a platform for a simulated process, as package edge does. Its methods
// do nothing on nil.
type platformFollower struct {
	*watch.Follower
	stop func()

	mu          sync.Mutex
	confirmedAt time.Duration
}

func (f *platformFollower) offer(p beat.Page) {
	if f != nil {
		f.OfferRelayed(watch.Page{Rows: p.Rows, Revision: p.Revision, Clock: p.Clock}, p.After, p.Changed)
	}
}

func (f *platformFollower) observe(w beat.Watermark) {
	if f != nil {
		f.ObserveWatermark(watch.Watermark{Changed: w.Changed, Clock: w.Clock})
	}
}

func (f *platformFollower) watermarks() []beat.Watermark {
	if f == nil {
		return nil
	}
	w, ok := f.Watermark()
	if !ok {
		return nil
	}
	return []beat.Watermark{{Table: "op", Changed: w.Changed, Clock: w.Clock}}
}

func (f *platformFollower) age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return clock.Now() - f.confirmedAt
}

// platformTable is a table of the platform. A call takes 20 ms.
type platformTable struct {
	n *net

	mu       sync.Mutex
	outgoing []func()               // messages to be sent, by the goroutine of the test
	calls    []time.Duration        // clock.Now of each
	cut      func(name string) bool // reports whether the process does not reach the platform; nil for none
}

// call waits for an answer to a process.
func (p *platformTable) call(ctx context.Context, name string, wait time.Duration) (watch.Page, error) {
	p.mu.Lock()
	p.calls = append(p.calls, clock.Now())
	cut := p.cut != nil && p.cut(name)
	p.mu.Unlock()
	if cut {
		<-ctx.Done()
	}
	select {
	case <-ctx.Done():
		return watch.Page{}, ctx.Err()
	case <-time.After(wait + 20*time.Millisecond):
		return watch.Page{Revision: 5, Clock: p.n.platform()}, nil
	}
}

// busiest returns the most calls within a span, and the number of all calls since a time.
func (p *platformTable) busiest(since, span time.Duration) (most, all int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, at := range p.calls {
		if at < since {
			continue
		}
		all++
		in := 0
		for _, other := range p.calls[i:] {
			if other < at+span {
				in++
			}
		}
		most = max(most, in)
	}
	return most, all
}

// follow makes a process follow the table.
func (p *platformTable) follow(x *node) {
	f := &platformFollower{}
	name := x.peer.Name
	f.Follower = watch.New(watch.Config{
		Name: "op", Wait: time.Second, Slack: 700 * time.Millisecond, Log: zerolog.Nop(),
		PolledByPeers: func() bool { return !x.membership.IsPoller() },
		Rank:          x.membership.Rank,
		Share:         func(watch.Page, uint64, uint64) {},
		ShareWatermark: func(w watch.Watermark) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.outgoing = append(p.outgoing, func() { x.membership.ShareWatermark(beat.Watermark{Table: "op", Changed: w.Changed, Clock: w.Clock}) })
		},
		Read: func(ctx context.Context) (watch.Page, error) {
			page, err := p.call(ctx, name, 0)
			page.Whole, page.Rows = true, []watch.Row{{Key: "config", Revision: 5}}
			return page, err
		},
		Poll: func(ctx context.Context, _ uint64, wait time.Duration) (watch.Page, error) {
			return p.call(ctx, name, wait)
		},
		Apply: func(watch.Page, time.Duration) {},
		Confirm: func(at time.Duration) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.confirmedAt = max(f.confirmedAt, at)
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	f.stop = func() { cancel(); <-done }
	x.follower = f
}

// runFollowing lets time pass in small steps and returns the greatest age of the table at a running process
// that reaches the platform.
func (p *platformTable) runFollowing(d time.Duration) (oldest time.Duration) {
	const (
		step      = 5 * time.Millisecond
		ageChecks = 5 // steps between two checks of the ages
	)
	for i := 0; i < int(d/step); i++ {
		for _, name := range p.n.order {
			x := p.n.nodes[name]
			if x.frozen {
				continue
			}
			if !time.Now().Before(x.next) {
				x.state.Settled = !x.follower.CutOff()
				x.membership.SendHeartbeat()
				x.next = time.Now().Add(x.membership.Interval())
			}
			if i%ageChecks == 0 && (p.cut == nil || !p.cut(name)) {
				oldest = max(oldest, x.follower.age())
			}
		}
		p.mu.Lock()
		outgoing := p.outgoing
		p.outgoing = nil
		p.mu.Unlock()
		for _, send := range outgoing {
			send()
		}
		time.Sleep(step)
	}
	return oldest
}

// Guards against calls of all processes to the platform in one moment when a hub is lost, and against
// processes that go on by what a lost hub told them: a change must be known within 2 s.
func TestFleetFollowsPlatform(t *testing.T) {
	const (
		processes, domains = followingProcesses, 5
		span               = 100 * time.Millisecond
		watched            = 5 // seconds
	)
	hubOf := func(domain int) string { return fmt.Sprintf("front-%04d", domain) }
	trouble := map[string]struct {
		frozen, cut []string
		most        int // calls within span
		perSecond   int // calls, on average over the time watched
	}{
		"calm":         {most: 4, perSecond: 3},
		"both pollers": {frozen: []string{hubOf(0), hubOf(1)}, most: 10, perSecond: 6},
		"all hubs":     {frozen: []string{hubOf(0), hubOf(1), hubOf(2), hubOf(3), hubOf(4)}, most: 15, perSecond: 6},
		"all hubs cut": {cut: []string{hubOf(0), hubOf(1), hubOf(2), hubOf(3), hubOf(4)}, most: 15, perSecond: 10},
	}
	for name, x := range trouble {
		t.Run(name, func(t *testing.T) {
			runVirtual(t, func(t *testing.T, n *net) {
				joinFleet(n, processes, domains, 218)
				p := &platformTable{n: n}
				for i, name := range n.order {
					n.nodes[name].next = time.Now().Add(time.Duration(i*7919%300) * time.Millisecond)
				}
				for _, name := range n.order {
					p.follow(n.nodes[name])
				}
				defer func() {
					for _, x := range n.nodes {
						if !x.frozen {
							x.follower.stop()
						}
					}
				}()
				p.runFollowing(4 * time.Second)
				assert.Assert(t, n.agreesOn(processes))
				for _, name := range x.frozen {
					n.nodes[name].frozen = true
					n.nodes[name].follower.stop()
				}
				if len(x.cut) > 0 {
					p.mu.Lock()
					p.cut = func(name string) bool { return slices.Contains(x.cut, name) }
					p.mu.Unlock()
				}
				since := clock.Now()
				oldest := p.runFollowing(watched * time.Second)
				most, all := p.busiest(since, span)
				t.Logf("oldest table %v; %d calls in %d s, at most %d in %v", oldest, all, watched, most, span)
				assert.Assert(t, oldest <= 2*time.Second, "%v", oldest)
				assert.Assert(t, most <= x.most, "%d calls in %v", most, span)
				assert.Assert(t, all <= watched*x.perSecond, "%d calls in %d s", all, watched)
			})
		})
	}
}
