package lease_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/lease"
	"github.com/cranberrybay/cranberrybay/table"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "60")
}

const (
	term = 8 * time.Second
	send = time.Second
)

// receiver ignores fencing numbers and records a violation when a message of an older
// holder takes effect after one of a newer holder.
type receiver struct {
	mu      sync.Mutex
	highest uint64
	effects int
	holders map[uint64]int
	err     error
}

func (recv *receiver) take(fence uint64, holder int) {
	recv.mu.Lock()
	defer recv.mu.Unlock()
	recv.effects++
	if fence < recv.highest && recv.err == nil {
		recv.err = fmt.Errorf("number %d took effect after %d", fence, recv.highest)
	}
	if other, ok := recv.holders[fence]; ok && other != holder && recv.err == nil {
		recv.err = fmt.Errorf("number %d is used by holders %d and %d", fence, other, holder)
	}
	recv.holders[fence] = holder
	recv.highest = max(recv.highest, fence)
}

// contender is a process that competes for the lease and sends under it.
type contender struct {
	index       int
	holder      *lease.Holder
	rand        *rand.Rand
	mu          sync.Mutex
	resumed     chan struct{}
	cut         bool               // can't reach the table
	repliesLost bool               // its writes are applied but the replies are lost
	delayed     bool               // its writes are applied ten seconds later, without a reply
	stale       []table.Row        // what its reads return, unless nil
	unchecked   bool               // injected fault: sends under its last fencing number without a check
	last        uint64             // highest fencing number that MaySend returned; used when unchecked
	silenced    bool               // its announcements are lost
	copy        fakes.TableCopy    // of the table, for a drill
	observed    lease.Announcement // newest announcement of another contender
	inFlight    int                // sends in flight
	step        time.Duration      // between two calls of Step
	delay       time.Duration      // longest delay of an announcement
}

// observe takes an announcement: the highest fencing number wins, then the newest row.
func (p *contender) observe(ann lease.Announcement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ann.Fence > p.observed.Fence || (ann.Fence == p.observed.Fence && !p.observed.Ended && (ann.Ended || ann.Revision >= p.observed.Revision)) {
		p.observed = ann
	}
}

func (p *contender) peerAnnouncement() (lease.Announcement, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.observed, p.observed.Fence > 0
}

// announce sends this contender's announcements to the others until ctx is done. They are
// delayed, and a paused contender receives them when it resumes.
func (p *contender) announce(ctx context.Context, all []*contender) {
	for ctx.Err() == nil {
		p.waitWhilePaused()
		ann, ok := p.holder.Announcement()
		left := time.Until(ann.Until)
		p.mu.Lock()
		silenced := p.silenced
		p.mu.Unlock()
		for _, o := range all {
			if !ok || silenced || o == p {
				continue
			}
			delay := p.random(p.delay)
			time.AfterFunc(delay, func() {
				o.waitWhilePaused()
				said := ann
				said.Until = time.Now().Add(left)
				o.observe(said)
			})
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// waitWhilePaused blocks while the contender is paused.
func (p *contender) waitWhilePaused() {
	for {
		p.mu.Lock()
		c := p.resumed
		p.mu.Unlock()
		if c == nil {
			return
		}
		<-c
	}
}

// random returns a random duration below a bound.
func (p *contender) random(bound time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.rand.Int63n(int64(bound)))
}

func (p *contender) flags() (cut, repliesLost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut, p.repliesLost
}

// rows returns a client whose calls take a while and can be cut off.
func (p *contender) rows(c *table.Client) *table.Client {
	delay := func() { time.Sleep(p.random(300 * time.Millisecond)) }
	return table.New(table.Config{
		Get: func(ctx context.Context, keys ...string) ([]table.Row, error) {
			p.waitWhilePaused()
			defer p.waitWhilePaused()
			delay()
			if cut, _ := p.flags(); cut {
				return nil, table.ErrUnavailable
			}
			p.mu.Lock()
			stale := p.stale
			p.mu.Unlock()
			if stale != nil {
				return stale, nil
			}
			return c.Get(ctx, keys...)
		},
		Commit: func(ctx context.Context, b table.Batch) (uint64, error) {
			p.waitWhilePaused()
			defer p.waitWhilePaused()
			delay()
			cut, repliesLost := p.flags()
			if cut {
				return 0, table.ErrUnavailable
			}
			p.mu.Lock()
			delayed := p.delayed
			p.mu.Unlock()
			if delayed {
				go func() {
					time.Sleep(10 * time.Second)
					_, _ = c.Commit(context.WithoutCancel(ctx), b)
				}()
				return 0, table.ErrUnknown
			}
			r, err := c.Commit(ctx, b)
			delay()
			if repliesLost {
				return 0, table.ErrUnknown
			}
			return r, err
		},
	})
}

// run steps the lease and sends under it until ctx is done.
func (p *contender) run(ctx context.Context, recv *receiver) {
	go func() {
		for ctx.Err() == nil {
			p.waitWhilePaused()
			_ = p.holder.Step(ctx)
			time.Sleep(p.step)
		}
	}()
	for ctx.Err() == nil {
		p.waitWhilePaused()
		time.Sleep(100 * time.Millisecond)
		fence, ok := p.holder.MaySend()
		if p.unchecked {
			p.last = max(p.last, fence)
			fence, ok = p.last, p.last > 0
		}
		if !ok {
			continue
		}
		sendBy := time.Now().Add(send)
		p.sending(1)
		time.Sleep(p.random(send))
		p.waitWhilePaused()
		if time.Now().Before(sendBy) || p.unchecked {
			recv.take(fence, p.index)
		}
		p.sending(-1)
	}
}

func (p *contender) sending(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight += n
}

func (p *contender) sendsInFlight() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFlight > 0
}

type step struct {
	Kind string
	A    int
	Wait int // seconds
}

var steps = rapid.Custom(func(t *rapid.T) step {
	return step{
		Kind: rapid.SampledFrom([]string{"pause", "resume", "cut", "heal", "lose-replies", "keep-replies", "delay-writes", "prompt-writes", "stale", "fresh", "table-down", "table-up", "table-loses-replies", "table-loses-writes", "table-loses-writes", "release", "drop-lease", "drop-lease", "lose-announcements", "keep-announcements"}).Draw(t, "kind"),
		A:    rapid.IntRange(0, 2).Draw(t, "a"),
		Wait: rapid.IntRange(0, 30).Draw(t, "wait"),
	}
})

// restoreSteps adds drills in which the table returns from an older copy.
var restoreSteps = rapid.Custom(func(t *rapid.T) step {
	if rapid.IntRange(0, 2).Draw(t, "drill") == 0 {
		return step{Kind: rapid.SampledFrom([]string{"table-copy", "table-restore", "table-restore"}).Draw(t, "kind"), Wait: rapid.IntRange(0, 12).Draw(t, "wait")}
	}
	return steps.Draw(t, "step")
})

func (p *contender) apply(s step, t *fakes.Table) {
	if s.Kind == "release" {
		_ = p.holder.Release(context.Background())
	}
	var rows []table.Row
	if s.Kind == "stale" {
		rows, _ = t.Client().Get(context.Background(), "lease/place")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch s.Kind {
	case "table-copy":
		p.copy = t.Copy()
	case "table-restore":
		t.Restore(p.copy)
	case "delay-writes", "prompt-writes":
		p.delayed = s.Kind == "delay-writes"
	case "stale", "fresh":
		p.stale = rows
	case "pause":
		if p.resumed == nil {
			p.resumed = make(chan struct{})
		}
	case "resume":
		if p.resumed != nil {
			close(p.resumed)
			p.resumed = nil
		}
	case "lose-announcements", "keep-announcements":
		p.silenced = s.Kind == "lose-announcements"
	case "cut", "heal":
		p.cut = s.Kind == "cut"
	case "lose-replies", "keep-replies":
		p.repliesLost = s.Kind == "lose-replies"
	case "table-down", "table-up":
		t.SetFaults(fakes.PlatformFaults{Down: s.Kind == "table-down"})
	case "table-loses-replies":
		t.SetFaults(fakes.PlatformFaults{LostReplies: 3})
	case "table-loses-writes":
		t.SetFaults(fakes.PlatformFaults{LostCommits: 3})
	case "drop-lease":
		p.holder.Drop()
	}
}

// simulate runs three contenders through a schedule of faults. change may inject a fault
// into the configuration of a contender.
func simulate(t *testing.T, schedule []step, change func(*contender, *lease.Config)) (effects int, err error) {
	synctest.Test(t, func(*testing.T) {
		tb := fakes.NewTable()
		recv := &receiver{holders: map[uint64]int{}}
		ctx, cancel := context.WithCancel(context.Background())
		var all []*contender
		for i := range 3 {
			p := &contender{index: i, rand: rand.New(rand.NewSource(int64(i))), step: term / 8, delay: 2 * time.Second}
			cfg := lease.Config{
				Table: p.rows(tb.Client()), Name: "place", Holder: fmt.Sprint("p/", i), Term: term, SendTimeout: send,
				PeerAnnouncement: p.peerAnnouncement, SendsInFlight: p.sendsInFlight, Era: tb.Era,
				OnViolation: func(reason string) {
					recv.mu.Lock()
					defer recv.mu.Unlock()
					recv.err = fmt.Errorf("invariant: %s", reason)
				},
			}
			change(p, &cfg)
			p.holder = lease.New(cfg)
			all = append(all, p)
			go p.run(ctx, recv)
		}
		for _, p := range all {
			go p.announce(ctx, all)
		}
		for _, s := range schedule {
			p := all[s.A]
			p.mu.Lock()
			paused := p.resumed != nil
			p.mu.Unlock()
			if !paused || s.Kind != "release" {
				p.apply(s, tb)
			}
			time.Sleep(time.Duration(s.Wait) * time.Second)
		}
		for _, k := range []string{"table-up", "resume", "heal", "keep-replies", "prompt-writes", "fresh", "keep-announcements"} {
			for _, p := range all {
				p.apply(step{Kind: k}, tb)
			}
		}
		recv.mu.Lock()
		recv.effects = 0
		recv.mu.Unlock()
		time.Sleep(3 * (term + send))
		cancel()
		time.Sleep(2 * term)
		recv.mu.Lock()
		defer recv.mu.Unlock()
		effects, err = recv.effects, recv.err
	})
	return effects, err
}

// TestRandom guards against sends of two holders that take effect out of order, a fencing
// number that does not grow, and a lease that no process can acquire any more.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		schedule := rapid.SliceOfN(steps, 1, 14).Draw(rt, "schedule")
		effects, err := simulate(t, schedule, func(*contender, *lease.Config) {})
		if err != nil {
			rt.Fatalf("%v", err)
		}
		if effects == 0 {
			rt.Fatalf("no process holds the lease after all faults ended")
		}
	})
}

// TestRandomRestores guards against two holders, and against a fencing number that is used again, after
// the table returned from an older copy without the rows of later holders.
func TestRandomRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		schedule := rapid.SliceOfN(restoreSteps, 4, 20).Draw(rt, "schedule")
		effects, err := simulate(t, schedule, func(*contender, *lease.Config) {})
		if err != nil {
			rt.Fatalf("%v", err)
		}
		if effects == 0 {
			rt.Fatalf("no process holds the lease after all faults ended")
		}
	})
}

// TestRestoreOfAReleasedLease guards against a successor that takes the lease at once from a row that was
// released before the copy was made, while a later holder still sends.
func TestRestoreOfAReleasedLease(t *testing.T) {
	for _, lostRow := range []bool{false, true} {
		t.Run(fmt.Sprint("row lost ", lostRow), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := fakes.NewTable()
				cut := tb.Link()
				newHolder := func(name string, c *table.Client) *lease.Holder {
					return lease.New(lease.Config{Table: c, Name: "place", Holder: name, Term: term, SendTimeout: send, Era: tb.Era})
				}
				a, b, c := newHolder("a", tb.Client()), newHolder("b", cut.Client()), newHolder("c", tb.Client())
				older := tb.Copy()
				if !lostRow {
					assert.NilError(t, a.Step(t.Context()))
					assert.NilError(t, a.Release(t.Context()))
					older = tb.Copy()
				}
				assert.NilError(t, b.Step(t.Context()))
				last, ok := b.MaySend()
				assert.Assert(t, ok)
				cut.SetFaults(fakes.PlatformFaults{Down: true})
				tb.Restore(older)
				for {
					assert.NilError(t, c.Step(t.Context()))
					fence, held := c.MaySend()
					if _, still := b.MaySend(); held {
						assert.Assert(t, !still, "two holders")
						assert.Assert(t, fence > last, "fencing number %d after %d", fence, last)
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		})
	}
}

// TestHolderOutlivesARestore guards against a holder that gives up its lease because the table returned
// from a copy that is older than the lease.
func TestHolderOutlivesARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := fakes.NewTable()
		a := lease.New(lease.Config{Table: tb.Client(), Name: "place", Holder: "a", Term: term, SendTimeout: send, Era: tb.Era})
		b := lease.New(lease.Config{Table: tb.Client(), Name: "place", Holder: "b", Term: term, SendTimeout: send, Era: tb.Era})
		assert.NilError(t, a.Step(t.Context()))
		assert.NilError(t, a.Release(t.Context()))
		older := tb.Copy()
		assert.NilError(t, b.Step(t.Context()))
		fence, _, _ := b.Held()
		tb.Restore(older)
		for range 3 * int(term/time.Second) {
			time.Sleep(time.Second)
			assert.NilError(t, a.Step(t.Context()))
			assert.NilError(t, b.Step(t.Context()))
			now, ok := b.MaySend()
			assert.Assert(t, ok && now == fence, "lease lost")
		}
	})
}

// holderPaused returns a schedule that pauses whichever process holds the lease for longer
// than a term.
func holderPaused() []step {
	var s []step
	for i := range 3 {
		s = append(s, step{"pause", (i + 1) % 3, 0}, step{"pause", (i + 2) % 3, 15}, step{"resume", (i + 1) % 3, 0}, step{"resume", (i + 2) % 3, 0},
			step{"pause", i, 20}, step{"resume", i, 20})
	}
	return s
}

// TestRules shows that the check of TestRandom fails without either of the two rules and
// passes with both.
func TestRules(t *testing.T) {
	schedule := holderPaused()
	_, err := simulate(t, schedule, func(*contender, *lease.Config) {})
	assert.NilError(t, err)
	_, err = simulate(t, schedule, func(p *contender, _ *lease.Config) { p.unchecked = true })
	assert.ErrorContains(t, err, "took effect after", "a holder that does not check its deadline")
	_, err = simulate(t, schedule, func(p *contender, c *lease.Config) {
		// A successor that does not wait: no holder is visible to it in the rows,
		// and it adds no send timeout.
		c.Table, c.Term, c.SendTimeout = hideHolders(c.Table), term, 0
	})
	assert.ErrorContains(t, err, "took effect after", "a successor that does not wait")
}

// TestAnnouncementRules shows that the check of TestRandom fails when an announced
// deadline is not bound to the row it was announced for, or when a holder announces the
// end while a send is in flight.
func TestAnnouncementRules(t *testing.T) {
	// The announcements of a holder that renews are lost.
	var lostAnnouncements, repeatedDrops []step
	for i := range 30 {
		lostAnnouncements = append(lostAnnouncements, step{"lose-announcements", i % 3, 20}, step{"keep-announcements", i % 3, 5})
	}
	for range 300 {
		repeatedDrops = append(repeatedDrops, step{"drop-lease", 0, 1}, step{"drop-lease", 1, 1}, step{"drop-lease", 2, 2})
	}
	_, err := simulate(t, lostAnnouncements, func(*contender, *lease.Config) {})
	assert.NilError(t, err)
	_, err = simulate(t, lostAnnouncements, func(p *contender, c *lease.Config) {
		c.PeerAnnouncement = func() (lease.Announcement, bool) {
			ann, ok := p.peerAnnouncement()
			ann.Ended = ann.Ended || !time.Now().Before(ann.Until) // regardless of the row
			return ann, ok
		}
	})
	assert.ErrorContains(t, err, "took effect after", "an announcement that outlives its row")
	fastSteps := func(p *contender, _ *lease.Config) { p.step, p.delay = 50*time.Millisecond, 10*time.Millisecond }
	_, err = simulate(t, repeatedDrops, fastSteps)
	assert.NilError(t, err)
	_, err = simulate(t, repeatedDrops, func(p *contender, c *lease.Config) {
		fastSteps(p, c)
		c.SendsInFlight = func() bool { return false }
	})
	assert.ErrorContains(t, err, "took effect after", "an end that is announced while a send is in flight")
}

// TestAnnouncement guards against a successor that waits a whole term and a send timeout
// after the holder was killed or lost the store: for 6 to 8 s no process repaired the path
// after an engine was lost.
func TestAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := fakes.NewTable()
		cfg := lease.Config{Table: tb.Client(), Name: "place", Holder: "a/1", Term: term, SendTimeout: send}
		a := lease.New(cfg)
		cfg.Holder = "b/1"
		said := lease.Announcement{}
		cfg.PeerAnnouncement = func() (lease.Announcement, bool) { return said, said.Fence > 0 }
		b := lease.New(cfg)
		ctx := t.Context()
		assert.NilError(t, a.Step(ctx))
		said, _ = a.Announcement()
		time.Sleep(term / 2)
		assert.NilError(t, b.Step(ctx)) // sees the row for the first time
		assert.Assert(t, !b.Vacant())
		time.Sleep(term / 2)
		assert.Assert(t, b.Vacant())
		assert.NilError(t, b.Step(ctx))
		_, _, ok := b.Held()
		assert.Assert(t, ok, "the announced time has passed")
		assert.Assert(t, !b.Vacant())

		cfg.Holder = "c/1"
		c := lease.New(cfg)
		b.Drop()
		_, ok = b.Announcement()
		assert.Assert(t, !ok, "a send may be in flight")
		time.Sleep(send + time.Millisecond)
		said, ok = b.Announcement()
		assert.Assert(t, ok && said.Ended)
		assert.NilError(t, c.Step(ctx))
		fence, _, ok := c.Held()
		assert.Assert(t, ok, "the holder announced the end")
		assert.Equal(t, fence, uint64(3))
	})
}

// hideHolders returns a client whose reads show no holder, so that a contender acquires
// the lease at once.
func hideHolders(c *table.Client) *table.Client {
	return table.New(table.Config{Commit: c.Commit, Get: func(ctx context.Context, keys ...string) ([]table.Row, error) {
		rows, err := c.Get(ctx, keys...)
		for i, r := range rows {
			v := r.Value()
			if at := bytes.Index(v, []byte(`"holder":"p/`)); at >= 0 {
				v = append(append(append([]byte(nil), v[:at]...), []byte(`"holder":"",`)...), v[at+len(`"holder":"p/0",`):]...)
			}
			rows[i] = table.NewRow(r.Key(), v, r.Revision())
		}
		return rows, err
	}})
}

// TestRelease guards against a planned stop that leaves the lease unused for a term.
func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := fakes.NewTable()
		cfg := lease.Config{Table: tb.Client(), Name: "place", Holder: "a/1", Term: term, SendTimeout: send}
		a := lease.New(cfg)
		cfg.Holder = "b/1"
		b := lease.New(cfg)
		ctx := t.Context()
		assert.NilError(t, a.Step(ctx))
		first, _, ok := a.Held()
		assert.Assert(t, ok)
		assert.NilError(t, b.Step(ctx))
		_, _, ok = b.Held()
		assert.Assert(t, !ok)
		assert.NilError(t, a.Release(ctx))
		assert.NilError(t, b.Step(ctx))
		second, _, ok := b.Held()
		assert.Assert(t, ok && second > first)
		time.Sleep(term - send)
		_, ok = b.MaySend()
		assert.Assert(t, !ok, "a send would outlast the lease")
		_, _, ok = b.Held()
		assert.Assert(t, ok)
	})
}
