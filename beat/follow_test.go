package beat_test

import (
	"context"
	"fmt"
	"math/rand"
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
	revision    uint64 // of the last change that was applied
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

// knownRevision returns the revision of the last change that the process applied.
func (f *platformFollower) knownRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// firstRevision is the revision of a platformTable before its first change.
const firstRevision = 5

// platformTable is a table of the platform. A call takes 20 ms.
type platformTable struct {
	n     *net
	batch time.Duration                   // pause of the processes after a page with changes
	delay func(name string) time.Duration // added to the calls of a process; nil for none

	mu       sync.Mutex
	outgoing []func()               // messages to be sent, by the goroutine of the test
	calls    []time.Duration        // clock.Now of each
	cut      func(name string) bool // reports whether the process does not reach the platform; nil for none
	changes  []time.Duration        // clock.Now of each change after firstRevision
	changed  chan struct{}          // closed at the next change; nil without waiting calls
}

// change changes the row of the table.
func (p *platformTable) change() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, clock.Now())
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// revision returns the revision of the last change, and a channel that is closed at the next one.
func (p *platformTable) revision() (revision uint64, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return firstRevision + uint64(len(p.changes)), p.changed
}

// call waits for an answer to a process that knows the changes up to a revision.
func (p *platformTable) call(ctx context.Context, name string, after uint64, wait time.Duration) (watch.Page, error) {
	p.mu.Lock()
	p.calls = append(p.calls, clock.Now())
	cut := p.cut != nil && p.cut(name)
	p.mu.Unlock()
	if cut {
		<-ctx.Done()
	}
	took := 20 * time.Millisecond
	if p.delay != nil {
		took += p.delay(name)
	}
	if revision, changed := p.revision(); revision <= after && wait > 0 {
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(wait):
		}
	}
	select {
	case <-ctx.Done():
		return watch.Page{}, ctx.Err()
	case <-time.After(took):
	}
	page := watch.Page{Clock: p.n.platform()}
	if page.Revision, _ = p.revision(); page.Revision > after {
		page.Rows = []watch.Row{{Key: "config", Revision: page.Revision}}
	}
	return page, nil
}

// unknownFor returns how long a process has not known a change.
func (p *platformTable) unknownFor(f *platformFollower) time.Duration {
	next := f.knownRevision() - firstRevision
	p.mu.Lock()
	defer p.mu.Unlock()
	if next >= uint64(len(p.changes)) {
		return 0
	}
	return clock.Now() - p.changes[next]
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
	send := func(message func()) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.outgoing = append(p.outgoing, message)
	}
	f.Follower = watch.New(watch.Config{
		Name: "op", Wait: time.Second, Slack: 700 * time.Millisecond, BatchDelay: p.batch, Log: zerolog.Nop(),
		PolledByPeers: func() bool { return !x.membership.IsPoller() },
		Rank:          x.membership.Rank,
		Share: func(page watch.Page, after, changed uint64) {
			send(func() {
				x.membership.ShareChanges(beat.Page{Watermark: beat.Watermark{Table: "op", Changed: changed, Clock: page.Clock}, After: after, Revision: page.Revision, Rows: page.Rows})
			})
		},
		ShareWatermark: func(w watch.Watermark) {
			send(func() { x.membership.ShareWatermark(beat.Watermark{Table: "op", Changed: w.Changed, Clock: w.Clock}) })
		},
		Read: func(ctx context.Context) (watch.Page, error) {
			page, err := p.call(ctx, name, 0, 0)
			page.Whole = true
			return page, err
		},
		Poll: func(ctx context.Context, after uint64, wait time.Duration) (watch.Page, error) {
			return p.call(ctx, name, after, wait)
		},
		Apply: func(page watch.Page, _ time.Duration) {
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, r := range page.Rows {
				f.revision = max(f.revision, r.Revision)
			}
		},
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

// followAll makes all processes follow the table until stop is called.
func (p *platformTable) followAll() (stop func()) {
	for _, name := range p.n.order {
		p.follow(p.n.nodes[name])
	}
	return func() {
		for _, x := range p.n.nodes {
			if !x.frozen {
				x.follower.stop()
			}
		}
	}
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
				defer p.followAll()()
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

// troubledHubs are ways in which the hubs of all failure domains are in trouble, while the other processes reach
// the platform and each other.
var troubledHubs = map[string]func(n *net, p *platformTable, hub func(name string) bool){
	"cut off": func(_ *net, p *platformTable, hub func(string) bool) { p.cut = hub },
	"cut off in turns": func(_ *net, p *platformTable, hub func(string) bool) {
		p.cut = func(name string) bool { return hub(name) && inTurns() }
	},
	"mute": func(n *net, _ *platformTable, hub func(string) bool) {
		n.cut = func(from, _ string) bool { return hub(from) }
	},
	"mute in turns": func(n *net, _ *platformTable, hub func(string) bool) {
		n.cut = func(from, _ string) bool { return hub(from) && inTurns() }
	},
	"deaf": func(n *net, _ *platformTable, hub func(string) bool) {
		n.cut = func(_, to string) bool { return hub(to) }
	},
	"cut off and deaf": func(n *net, p *platformTable, hub func(string) bool) {
		p.cut, n.cut = hub, func(_, to string) bool { return hub(to) }
	},
	"heard by some": func(n *net, _ *platformTable, hub func(string) bool) {
		n.cut = func(from, to string) bool { return hub(from) && !hub(to) && to[len(to)-1]%2 == 0 }
	},
	"losing datagrams": func(n *net, _ *platformTable, hub func(string) bool) {
		r := rand.New(rand.NewSource(1))
		n.cut = func(from, to string) bool { return (hub(from) || hub(to)) && r.Intn(2) == 0 }
	},
	"slow at the platform": func(_ *net, p *platformTable, hub func(string) bool) {
		p.delay = func(name string) time.Duration {
			if hub(name) {
				return 650 * time.Millisecond // a call that takes 0.7 s longer than its wait has failed
			}
			return 0
		}
	},
	"cut off, in a failure domain of its own": func(n *net, p *platformTable, hub func(string) bool) {
		apart := func(name string) bool { return n.nodes[name].peer.Domain == "domain-0" }
		p.cut = func(name string) bool { return hub(name) && apart(name) }
		n.cut = func(from, to string) bool { return apart(from) != apart(to) }
	},
}

// inTurns reports whether a trouble that comes and goes is on: for 2 of 2.5 s.
func inTurns() bool { return clock.Now()%(2500*time.Millisecond) < 2*time.Second }

// Guards against a change of the configuration or of the servers that a process which reaches the platform does
// not know within 2 s, because the hub of its failure domain is cut off, half cut off or slow.
func TestChangesDespiteTroubledHubs(t *testing.T) {
	const (
		bound   = 2 * time.Second
		gap     = 330 * time.Millisecond // between two changes
		check   = 30 * time.Millisecond  // between two checks
		changes = 24
	)
	fleets := []struct{ processes, domains int }{{3, 1}, {8, 3}}
	if *large {
		fleets = append(fleets, []struct{ processes, domains int }{{2, 1}, {30, 3}, {85, 4}}...)
	}
	for name, begin := range troubledHubs {
		for _, fleet := range fleets {
			for _, batch := range []time.Duration{0, 250 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s/%d in %d/%v", name, fleet.processes, fleet.domains, batch), func(t *testing.T) {
					runVirtual(t, func(t *testing.T, n *net) {
						joinFleet(n, fleet.processes, fleet.domains, 99)
						p := &platformTable{n: n, batch: batch}
						defer p.followAll()()
						p.runFollowing(4 * time.Second)
						hub := func(name string) bool { return name < fmt.Sprintf("front-%04d", fleet.domains) }
						p.mu.Lock()
						begin(n, p, hub)
						p.mu.Unlock()
						for range changes {
							p.change()
							for range gap / check {
								p.runFollowing(check)
								for _, name := range n.order {
									unknown := p.unknownFor(n.nodes[name].follower)
									assert.Assert(t, hub(name) || unknown <= bound, "%s does not know a change after %v", name, unknown)
								}
							}
						}
					})
				})
			}
		}
	}
}
