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

// engine is a receiver that ignores fencing numbers and records a violation
// when something of an older holder takes effect after that of a newer one.
type engine struct {
	mu      sync.Mutex
	highest uint64
	effects int
	holders map[uint64]int
	err     error
}

func (e *engine) take(fence uint64, holder int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.effects++
	if fence < e.highest && e.err == nil {
		e.err = fmt.Errorf("number %d took effect after %d", fence, e.highest)
	}
	if other, ok := e.holders[fence]; ok && other != holder && e.err == nil {
		e.err = fmt.Errorf("number %d is used by holders %d and %d", fence, other, holder)
	}
	e.holders[fence] = holder
	e.highest = max(e.highest, fence)
}

// party is one process that wants the lease and sends under it.
type party struct {
	index   int
	holder  *lease.Holder
	rand    *rand.Rand
	mu      sync.Mutex
	resumed chan struct{}
	cut     bool        // reaches the table no more
	deaf    bool        // its writes arrive, the replies do not
	late    bool        // its writes arrive ten seconds later and get no reply
	stale   []table.Row // what its reads show, when not nil
	unsafe  bool        // deliberate fault: sends what it once held without a check
	last    uint64
	mute    bool // its words reach nobody
	heard   lease.Announcement
	busy    int           // sends under way
	step    time.Duration // between two steps
	delay   time.Duration // of a word at most
}

// hear takes the word of a holder: the newest fencing number counts, and of that
// the newest row.
func (p *party) hear(w lease.Announcement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.Fence > p.heard.Fence || (w.Fence == p.heard.Fence && !p.heard.Ended && (w.Ended || w.Revision >= p.heard.Revision)) {
		p.heard = w
	}
}

func (p *party) word() (lease.Announcement, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heard, p.heard.Fence > 0
}

// tell sends this party's word to the others until ctx ends. Words are delayed, and
// a party that is paused hears them when it wakes.
func (p *party) tell(ctx context.Context, all []*party) {
	for ctx.Err() == nil {
		p.gate()
		w, ok := p.holder.Announcement()
		left := time.Until(w.Until)
		p.mu.Lock()
		mute := p.mute
		p.mu.Unlock()
		for _, o := range all {
			if !ok || mute || o == p {
				continue
			}
			delay := p.random(p.delay)
			time.AfterFunc(delay, func() {
				o.gate()
				said := w
				said.Until = time.Now().Add(left)
				o.hear(said)
			})
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (p *party) gate() {
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

// random returns a random time below a bound.
func (p *party) random(bound time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.rand.Int63n(int64(bound)))
}

func (p *party) flags() (cut, deaf bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut, p.deaf
}

// rows returns a client whose calls can be cut off and take a while.
func (p *party) rows(c *table.Client) *table.Client {
	delay := func() { time.Sleep(p.random(300 * time.Millisecond)) }
	return table.New(table.Config{
		Get: func(ctx context.Context, keys ...string) ([]table.Row, error) {
			p.gate()
			defer p.gate()
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
			p.gate()
			defer p.gate()
			delay()
			cut, deaf := p.flags()
			if cut {
				return 0, table.ErrUnavailable
			}
			p.mu.Lock()
			late := p.late
			p.mu.Unlock()
			if late {
				go func() {
					time.Sleep(10 * time.Second)
					_, _ = c.Commit(context.WithoutCancel(ctx), b)
				}()
				return 0, table.ErrUnknown
			}
			r, err := c.Commit(ctx, b)
			delay()
			if deaf {
				return 0, table.ErrUnknown
			}
			return r, err
		},
	})
}

// run steps the lease and sends under it until ctx ends.
func (p *party) run(ctx context.Context, e *engine) {
	go func() {
		for ctx.Err() == nil {
			p.gate()
			_ = p.holder.Step(ctx)
			time.Sleep(p.step)
		}
	}()
	for ctx.Err() == nil {
		p.gate()
		time.Sleep(100 * time.Millisecond)
		fence, ok := p.holder.MaySend()
		if p.unsafe {
			p.last = max(p.last, fence)
			fence, ok = p.last, p.last > 0
		}
		if !ok {
			continue
		}
		sendBy := time.Now().Add(send)
		p.sending(1)
		time.Sleep(p.random(send))
		p.gate()
		if time.Now().Before(sendBy) || p.unsafe {
			e.take(fence, p.index)
		}
		p.sending(-1)
	}
}

func (p *party) sending(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy += n
}

func (p *party) isBusy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.busy > 0
}

type step struct {
	Kind string
	A    int
	Wait int // seconds
}

var steps = rapid.Custom(func(t *rapid.T) step {
	return step{
		Kind: rapid.SampledFrom([]string{"pause", "resume", "cut", "heal", "deaf", "hear", "late", "prompt", "stale", "fresh", "down", "up", "lose", "drop", "drop", "release", "forget", "forget", "mute", "speak"}).Draw(t, "kind"),
		A:    rapid.IntRange(0, 2).Draw(t, "a"),
		Wait: rapid.IntRange(0, 30).Draw(t, "wait"),
	}
})

func (p *party) apply(s step, t *fakes.Table) {
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
	case "late", "prompt":
		p.late = s.Kind == "late"
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
	case "mute", "speak":
		p.mute = s.Kind == "mute"
	case "cut", "heal":
		p.cut = s.Kind == "cut"
	case "deaf", "hear":
		p.deaf = s.Kind == "deaf"
	case "down", "up":
		t.SetFaults(fakes.Faults{Down: s.Kind == "down"})
	case "lose":
		t.SetFaults(fakes.Faults{Lose: 3})
	case "drop":
		t.SetFaults(fakes.Faults{Drop: 3})
	case "forget":
		p.holder.Drop()
	}
}

// play runs three parties through a schedule. change may build in a fault.
func play(t *testing.T, schedule []step, change func(*party, *lease.Config)) (effects int, err error) {
	synctest.Test(t, func(*testing.T) {
		tb := fakes.NewTable()
		e := &engine{holders: map[uint64]int{}}
		ctx, cancel := context.WithCancel(context.Background())
		var all []*party
		for i := range 3 {
			p := &party{index: i, rand: rand.New(rand.NewSource(int64(i))), step: term / 8, delay: 2 * time.Second}
			cfg := lease.Config{
				Rows: p.rows(tb.Client()), Name: "place", Holder: fmt.Sprint("p/", i), Term: term, SendTimeout: send,
				PeerAnnouncement: p.word, SendsInFlight: p.isBusy,
				OnViolation: func(reason string) {
					e.mu.Lock()
					defer e.mu.Unlock()
					e.err = fmt.Errorf("invariant: %s", reason)
				},
			}
			change(p, &cfg)
			p.holder = lease.New(cfg)
			all = append(all, p)
			go p.run(ctx, e)
		}
		for _, p := range all {
			go p.tell(ctx, all)
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
		for _, k := range []string{"up", "resume", "heal", "hear", "prompt", "fresh", "speak"} {
			for _, p := range all {
				p.apply(step{Kind: k}, tb)
			}
		}
		e.mu.Lock()
		e.effects = 0
		e.mu.Unlock()
		time.Sleep(3 * (term + send))
		cancel()
		time.Sleep(2 * term)
		e.mu.Lock()
		defer e.mu.Unlock()
		effects, err = e.effects, e.err
	})
	return effects, err
}

// TestRandom guards against two holders whose orders take effect, a fencing
// number that does not grow, and a lease that nobody gets any more.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		schedule := rapid.SliceOfN(steps, 1, 14).Draw(rt, "schedule")
		effects, err := play(t, schedule, func(*party, *lease.Config) {})
		if err != nil {
			rt.Fatalf("%v", err)
		}
		if effects == 0 {
			rt.Fatalf("nobody holds the lease after all faults ended")
		}
	})
}

// holderPaused pauses whichever process holds the lease, longer than a term.
func holderPaused() []step {
	var s []step
	for i := range 3 {
		s = append(s, step{"pause", (i + 1) % 3, 0}, step{"pause", (i + 2) % 3, 15}, step{"resume", (i + 1) % 3, 0}, step{"resume", (i + 2) % 3, 0},
			step{"pause", i, 20}, step{"resume", i, 20})
	}
	return s
}

// TestRules shows that the check of TestRandom fails without each of the two
// rules, and that it holds with them.
func TestRules(t *testing.T) {
	schedule := holderPaused()
	_, err := play(t, schedule, func(*party, *lease.Config) {})
	assert.NilError(t, err)
	_, err = play(t, schedule, func(p *party, _ *lease.Config) { p.unsafe = true })
	assert.ErrorContains(t, err, "took effect after", "a holder that does not check its deadline")
	_, err = play(t, schedule, func(p *party, c *lease.Config) {
		// A successor that does not wait: it counts no term and no send time,
		// and reads rows that state none.
		c.Rows, c.Term, c.SendTimeout = hasty(c.Rows), term, 0
	})
	assert.ErrorContains(t, err, "took effect after", "a successor that does not wait")
}

// TestWordRules shows that the check of TestRandom fails for words that are not
// bound to the row of which the time was told, or that tell of an end while
// something is under way.
func TestWordRules(t *testing.T) {
	// The word of a holder that renews is lost.
	var silenced, given []step
	for i := range 30 {
		silenced = append(silenced, step{"mute", i % 3, 20}, step{"speak", i % 3, 5})
	}
	for range 300 {
		given = append(given, step{"forget", 0, 1}, step{"forget", 1, 1}, step{"forget", 2, 2})
	}
	_, err := play(t, silenced, func(*party, *lease.Config) {})
	assert.NilError(t, err)
	_, err = play(t, silenced, func(p *party, c *lease.Config) {
		c.PeerAnnouncement = func() (lease.Announcement, bool) {
			w, ok := p.word()
			w.Ended = w.Ended || !time.Now().Before(w.Until) // of whatever row
			return w, ok
		}
	})
	assert.ErrorContains(t, err, "took effect after", "a word that outlives its row")
	quick := func(p *party, _ *lease.Config) { p.step, p.delay = 50*time.Millisecond, 10*time.Millisecond }
	_, err = play(t, given, quick)
	assert.NilError(t, err)
	_, err = play(t, given, func(p *party, c *lease.Config) {
		quick(p, c)
		c.SendsInFlight = func() bool { return false }
	})
	assert.ErrorContains(t, err, "took effect after", "an end that is told while something is under way")
}

// TestWord guards against a successor that waits a whole term and a send timeout
// after the holder was killed or lost the store: for 6 to 8 s nobody closed the gap
// of a lost engine.
func TestWord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := fakes.NewTable()
		cfg := lease.Config{Rows: tb.Client(), Name: "place", Holder: "a/1", Term: term, SendTimeout: send}
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
		assert.Assert(t, ok, "the time that the holder told has passed")
		assert.Assert(t, !b.Vacant())

		cfg.Holder = "c/1"
		c := lease.New(cfg)
		b.Drop()
		_, ok = b.Announcement()
		assert.Assert(t, !ok, "a send may be under way")
		time.Sleep(send + time.Millisecond)
		said, ok = b.Announcement()
		assert.Assert(t, ok && said.Ended)
		assert.NilError(t, c.Step(ctx))
		fence, _, ok := c.Held()
		assert.Assert(t, ok, "the holder said that it has ended")
		assert.Equal(t, fence, uint64(3))
	})
}

// hasty hides other holders from a reader, so that it takes the lease at once.
func hasty(c *table.Client) *table.Client {
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

// TestRelease guards against a planned stop that leaves the lease unused for
// a term.
func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := fakes.NewTable()
		cfg := lease.Config{Rows: tb.Client(), Name: "place", Holder: "a/1", Term: term, SendTimeout: send}
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
