package member

import (
	"context"
	"math/rand"
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/table"
)

// Config holds the parts of a Table.
type Config struct {
	Self  Member            // Leaving and Sequence are set by the Table
	Table *table.Client     // table service
	Seeds map[string]string // name to address for peers, used when the table service is down at start

	// Ping and News call a peer. An error that wraps ErrGone proves that the
	// wanted incarnation is dead.
	Ping       func(ctx context.Context, to Member, h Health) (Health, error)
	SendEvents func(ctx context.Context, to Member, n EventMessage) (EventReply, error)

	// Version returns version and digest of the configuration in effect.
	Version func() (version, digest uint64)
	// OnHealth is called with each health that a peer states; may be nil.
	OnHealth func(from Member, h Health)

	PauseDetector *PauseDetector // nil for one of its own
	BeforeStep    func()         // called before each step of the loops; a test blocks it to pause the process
	Rand          *rand.Rand
	Log           zerolog.Logger
}

// state says how sure this process is that a member is alive.
type state uint8

const (
	unproven state = iota // known from a row only, or not yet heard since this process woke
	live                  // answered this process, or is in the list of a peer that did
	lost                  // gives no answer; tried again now and then
)

// entry is what is known of one other process.
type entry struct {
	member   Member
	state    state
	heard    time.Time // last direct answer or call
	misses   int       // pings without an answer in a row
	judging  bool      // a check of its death is running
	pinging  bool      // a ping is in flight
	told     uint64    // own sequence that the peer has seen
	lostAt   time.Time
	revision uint64    // of its row; 0 when it has none
	moved    time.Time // when this process first saw that revision
}

// Membership is the membership as one process sees it.
type Membership struct {
	cfg    Config
	pulse  *PauseDetector
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{} // asks the scan loop to run now

	spawnMu sync.Mutex // guards the start of goroutines against Abandon
	ended   bool
	wg      sync.WaitGroup

	mu         sync.Mutex
	rand       *rand.Rand
	self       Member
	revision   uint64 // of the own row
	entries    map[string]*entry
	superseded bool
	scanned    time.Time // last scan that worked
	awoke      time.Time // when a pause was last noticed; zero before the first
	started    time.Time
	probe      time.Time   // next ping of a random member
	deaths     []time.Time // deaths found by this process, for the width of the watch
}

// New returns a Table. Start runs it.
func New(cfg Config) *Membership {
	if cfg.PauseDetector == nil {
		cfg.PauseDetector = NewPauseDetector(time.Now)
	}
	if cfg.BeforeStep == nil {
		cfg.BeforeStep = func() {}
	}
	if cfg.Version == nil {
		cfg.Version = func() (uint64, uint64) { return 0, 0 }
	}
	if cfg.OnHealth == nil {
		cfg.OnHealth = func(Member, Health) {}
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewSource(time.Now().UnixNano()))
	}
	t := &Membership{cfg: cfg, pulse: cfg.PauseDetector, rand: cfg.Rand, self: cfg.Self, entries: map[string]*entry{}, wake: make(chan struct{}, 1), started: time.Now()}
	// Of two incarnations of one name the one with the higher sequence is the
	// newer. Join raises it above that of the old row when the table answers.
	t.self.Sequence = uint64(time.Now().UnixMilli())
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.pulse.OnResume(t.woke)
	return t
}

// Start joins the membership and runs the loops until Stop. It returns after
// one attempt to join; the loops go on trying.
func (t *Membership) Start(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if err := t.join(ctx); err != nil {
		t.cfg.Log.Warn().Err(err).Msg("joined without the table service")
	}
	t.sync(ctx)
	t.loop(func() time.Duration { return beatInterval }, func(context.Context) {})
	t.loop(func() time.Duration { return pingInterval }, t.tick)
	t.loop(t.refreshInterval, t.refresh)
	t.spawn(t.scanLoop)
	t.spawn(func() { t.Broadcast(t.ctx, t.sendNews(Event{Kind: Joined, Member: t.Self()}), RelayRange{}) })
}

// loop runs step at an interval, each time after a heartbeat.
func (t *Membership) loop(interval func() time.Duration, step func(context.Context)) {
	t.spawn(func() {
		for {
			select {
			case <-t.ctx.Done():
				return
			case <-time.After(interval()):
			}
			t.cfg.BeforeStep()
			t.pulse.Check()
			step(t.ctx)
		}
	})
}

// Leave takes this process off the lists of all others. It returns when they
// know, or when ctx ends.
func (t *Membership) Leave(ctx context.Context) {
	t.mu.Lock()
	t.self.Leaving = true
	t.self.Sequence++
	self := t.self
	t.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { t.refresh(ctx) })
	wg.Go(func() { t.Broadcast(ctx, t.sendNews(Event{Kind: Leaving, Member: self}), RelayRange{}) })
	wg.Wait()
}

// Stop ends the loops and tells the others that this process ends.
func (t *Membership) Stop(ctx context.Context) {
	t.Broadcast(ctx, t.sendNews(Event{Kind: Stopped, Member: t.Self()}), RelayRange{})
	t.StopSilently()
	t.mu.Lock()
	b := table.Batch{}
	b.Expect(rowKey(t.self.Name), t.revision).Delete(rowKey(t.self.Name))
	known := t.revision != 0 && !t.superseded
	t.mu.Unlock()
	if known {
		if _, err := t.cfg.Table.Commit(ctx, b); err != nil {
			t.cfg.Log.Info().Err(err).Msg("own row was not deleted, peers delete it later")
		}
	}
}

// StopSilently ends the loops without telling anybody, as a crash would.
func (t *Membership) StopSilently() {
	t.spawnMu.Lock()
	t.ended = true
	t.spawnMu.Unlock()
	t.cancel()
	t.wg.Wait()
}

// spawn runs f on a goroutine that Abandon waits for. After Abandon it does
// nothing.
func (t *Membership) spawn(f func()) {
	t.spawnMu.Lock()
	defer t.spawnMu.Unlock()
	if !t.ended {
		t.wg.Go(f)
	}
}

// Self returns this process as it describes itself now.
func (t *Membership) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Leaving tells whether this process drains.
func (t *Membership) Leaving() bool { return t.Self().Leaving }

// Superseded tells whether a newer incarnation has taken the name of this
// process, for example after its VM was replaced while it was paused. Such a
// process must not serve.
func (t *Membership) Superseded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.superseded
}

// Live returns the members that are alive, this process included, ordered by
// name. Members that are leaving are part of it.
func (t *Membership) Live() []Member {
	t.pulse.Check()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.liveLocked()
}

func (t *Membership) liveLocked() []Member {
	out := make([]Member, 0, len(t.entries)+1)
	if !t.superseded {
		out = append(out, t.self)
	}
	for _, e := range t.entries {
		if e.state == live {
			out = append(out, e.member)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Find returns a live member by incarnation.
func (t *Membership) Find(incarnation string) (Member, bool) {
	for _, m := range t.Live() {
		if m.Incarnation == incarnation {
			return m, true
		}
	}
	return Member{}, false
}

// woke runs when this process noticed that it was paused: what it remembers
// of others proves nothing until they are heard again.
func (t *Membership) woke(gap time.Duration) {
	t.mu.Lock()
	t.awoke = time.Now()
	for _, e := range t.entries {
		if e.state == live {
			e.state = unproven
		}
		e.misses, e.judging = 0, false
	}
	t.mu.Unlock()
	t.cfg.Log.Warn().Dur("gap", gap).Msg("process was paused, membership is read again")
	t.scanSoon()
}

func (t *Membership) scanSoon() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// merge records what is said of a member and returns its entry, or nil when
// it is about this process or about an older incarnation. It needs the lock.
func (t *Membership) merge(m Member) *entry {
	if m.Name == t.self.Name {
		if m.Incarnation != t.self.Incarnation && m.Sequence > t.self.Sequence && !t.superseded {
			t.superseded = true
			t.cfg.Log.Error().Str("other", m.Incarnation).Msg("another incarnation has taken this name")
		}
		return nil
	}
	e := t.entries[m.Name]
	switch {
	case e == nil:
		e = &entry{member: m}
		t.entries[m.Name] = e
	case e.member.Incarnation == m.Incarnation:
		if m.Sequence > e.member.Sequence {
			e.member = m
		}
	case m.Sequence > e.member.Sequence:
		*e = entry{member: m}
	default:
		return nil
	}
	return e
}

// called records that a member called this process. A call that waited in a
// socket during a pause may come from a member that has died since, so it
// proves nothing. It needs the lock.
func (t *Membership) called(e *entry) {
	if !t.backlogged() {
		t.proved(e)
	}
}

// backlogged tells whether calls that arrive now may have been sent before
// this process woke. It needs the lock.
func (t *Membership) backlogged() bool {
	return !t.awoke.IsZero() && time.Since(t.awoke) < backlogTime
}

// proved records that a member answered, or called outside the time after a
// pause. It needs the lock.
func (t *Membership) proved(e *entry) {
	e.heard, e.misses, e.judging = time.Now(), 0, false
	if e.state != live {
		e.state = live
	}
}
