package member

import (
	"context"
	"math/rand"
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/table"
	"github.com/cranberrybay/cranberrybay/watch"
)

// Config configures a Membership.
type Config struct {
	Self  Member            // this process; the Membership maintains Leaving and Sequence
	Table *table.Client     // holds the member rows
	Seeds map[string]string // peer addresses by name, used when the table service is down at start

	// Ping and SendEvents call a peer. An error that wraps ErrReplaced proves
	// that the wanted incarnation is dead.
	Ping       func(ctx context.Context, to Member, h PingPayload) (PingPayload, error)
	SendEvents func(ctx context.Context, to Member, msg EventMessage) (EventReply, error)

	// Version returns version and digest of the configuration in effect.
	Version func() (version, digest uint64)
	// OnPingPayload is called with every PingPayload received from a known member; may be nil.
	OnPingPayload func(from Member, h PingPayload)

	PauseDetector *PauseDetector // default a new one on time.Now
	BeforeStep    func()         // called before each step of the loops; a test blocks it to pause the process
	Rand          *rand.Rand     // default a random seed
	Log           zerolog.Logger
}

// state says whether this process takes a member for alive.
type state uint8

const (
	unverified  state = iota // known from a row only, or not heard since this process resumed from a pause
	live                     // answered this process, or is in the list of a peer that did
	unreachable              // does not answer; pinged again from time to time
)

// peerRecord is what this process knows about one other process.
type peerRecord struct {
	member           Member
	state            state
	lastHeard        time.Time // last direct answer or call
	misses           int       // consecutive pings without an answer
	confirming       bool      // other processes are being asked whether it is dead
	pinging          bool      // a ping is in flight
	ackedSequence    uint64    // latest own sequence that the peer has seen
	unreachableSince time.Time
	revision         uint64    // of its row; 0 when it has none
	revisionSeen     time.Time // when this process first saw that revision
}

// Membership is the membership as one process sees it.
type Membership struct {
	cfg     Config
	pauses  *PauseDetector
	ctx     context.Context
	cancel  context.CancelFunc
	scanNow chan struct{} // asks the scan loop to run now
	odd     *watch.OddRows

	spawnMu sync.Mutex // orders the start of goroutines before StopSilently waits for them
	halted  bool
	wg      sync.WaitGroup

	mu             sync.Mutex
	rand           *rand.Rand
	self           Member
	revision       uint64                 // of the own row
	peers          map[string]*peerRecord // by name
	superseded     bool
	scanned        time.Time // last successful scan
	resumedAt      time.Time // when the last pause was noticed; zero before the first
	started        time.Time
	nextRandomPing time.Time   // when a random member is pinged next
	recentDeaths   []time.Time // deaths confirmed by this process, which widen the set of members it pings
}

// New returns a Membership that knows no other process. Start runs it.
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
	if cfg.OnPingPayload == nil {
		cfg.OnPingPayload = func(Member, PingPayload) {}
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewSource(time.Now().UnixNano()))
	}
	ms := &Membership{cfg: cfg, pauses: cfg.PauseDetector, rand: cfg.Rand, self: cfg.Self, peers: map[string]*peerRecord{}, scanNow: make(chan struct{}, 1), started: time.Now(), odd: watch.NewOddRows("member", cfg.Log)}
	// Of two incarnations of one name the one with the higher sequence is the
	// newer. join raises the sequence above that of an older row when the table
	// service answers.
	ms.self.Sequence = uint64(time.Now().UnixMilli())
	ms.ctx, ms.cancel = context.WithCancel(context.Background())
	ms.pauses.OnResume(ms.onResume)
	return ms
}

// Start joins the membership and starts the loops, which run until Stop. It
// returns after one attempt to join; the loops retry.
func (ms *Membership) Start(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if err := ms.join(ctx); err != nil {
		ms.cfg.Log.Warn().Err(err).Msg("joined without the table service")
	}
	ms.syncLists(ctx)
	ms.loop(func() time.Duration { return pauseCheckInterval }, func(context.Context) {})
	ms.loop(func() time.Duration { return pingInterval }, ms.pingMembers)
	ms.loop(ms.refreshInterval, ms.refreshOwnRow)
	ms.spawn(ms.scanLoop)
	ms.spawn(func() { ms.Broadcast(ms.ctx, ms.eventSender(Event{Kind: Joined, Member: ms.Self()}), RelayRange{}) })
}

// loop runs step at an interval, each time after a check for pauses.
func (ms *Membership) loop(interval func() time.Duration, step func(context.Context)) {
	ms.spawn(func() {
		for {
			select {
			case <-ms.ctx.Done():
				return
			case <-time.After(interval()):
			}
			ms.cfg.BeforeStep()
			ms.pauses.Check()
			step(ms.ctx)
		}
	})
}

// Leave tells all other processes that this process drains, so that they no longer
// hand out its address. It returns when they know, or when ctx ends.
func (ms *Membership) Leave(ctx context.Context) {
	ms.mu.Lock()
	ms.self.Leaving = true
	ms.self.Sequence++
	self := ms.self
	ms.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { ms.refreshOwnRow(ctx) })
	wg.Go(func() { ms.Broadcast(ctx, ms.eventSender(Event{Kind: Leaving, Member: self}), RelayRange{}) })
	wg.Wait()
}

// Stop tells the others that this process ends, ends the loops and deletes the own
// row.
func (ms *Membership) Stop(ctx context.Context) {
	ms.Broadcast(ctx, ms.eventSender(Event{Kind: Stopped, Member: ms.Self()}), RelayRange{})
	ms.StopSilently()
	ms.mu.Lock()
	b := table.Batch{}
	b.Expect(rowKey(ms.self.Name), ms.revision).Delete(rowKey(ms.self.Name))
	known := ms.revision != 0 && !ms.superseded
	ms.mu.Unlock()
	if known {
		if _, err := ms.cfg.Table.Commit(ctx, b); err != nil {
			ms.cfg.Log.Info().Err(err).Msg("own row was not deleted, peers delete it later")
		}
	}
}

// StopSilently ends the loops without notice to other processes, as a crash would.
func (ms *Membership) StopSilently() {
	ms.spawnMu.Lock()
	ms.halted = true
	ms.spawnMu.Unlock()
	ms.cancel()
	ms.wg.Wait()
}

// spawn runs f on a goroutine that StopSilently waits for. After StopSilently it
// does nothing.
func (ms *Membership) spawn(f func()) {
	ms.spawnMu.Lock()
	defer ms.spawnMu.Unlock()
	if !ms.halted {
		ms.wg.Go(f)
	}
}

// Self returns the current description of this process.
func (ms *Membership) Self() Member {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.self
}

// Leaving reports whether this process drains.
func (ms *Membership) Leaving() bool { return ms.Self().Leaving }

// Superseded reports whether a newer incarnation uses the name of this process,
// for example because its VM was replaced while the process was paused. A
// superseded process must not serve.
func (ms *Membership) Superseded() bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.superseded
}

// Live returns the members that are alive, this process included, ordered by
// name. It includes members that are leaving.
func (ms *Membership) Live() []Member {
	ms.pauses.Check()
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.liveLocked()
}

// liveLocked is Live for callers that hold ms.mu.
func (ms *Membership) liveLocked() []Member {
	out := make([]Member, 0, len(ms.peers)+1)
	if !ms.superseded {
		out = append(out, ms.self)
	}
	for _, rec := range ms.peers {
		if rec.state == live {
			out = append(out, rec.member)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Find returns the live member with the given incarnation.
func (ms *Membership) Find(incarnation string) (Member, bool) {
	for _, m := range ms.Live() {
		if m.Incarnation == incarnation {
			return m, true
		}
	}
	return Member{}, false
}

// onResume runs when this process notices that it was paused. What it knew of other
// members may be outdated, so they are unverified until they are heard again.
func (ms *Membership) onResume(gap time.Duration) {
	ms.mu.Lock()
	ms.resumedAt = time.Now()
	for _, rec := range ms.peers {
		if rec.state == live {
			rec.state = unverified
		}
		rec.misses, rec.confirming = 0, false
	}
	ms.mu.Unlock()
	ms.cfg.Log.Warn().Dur("gap", gap).Msg("process was paused, verifying all members again")
	ms.requestScan()
}

// requestScan asks the scan loop for a scan without waiting for it.
func (ms *Membership) requestScan() {
	select {
	case ms.scanNow <- struct{}{}:
	default:
	}
}

// merge records a description of a member and returns the member's record, or nil
// when the description is of this process or of an older incarnation. The caller
// holds ms.mu.
func (ms *Membership) merge(m Member) *peerRecord {
	if m.Name == ms.self.Name {
		if m.Incarnation != ms.self.Incarnation && m.Sequence > ms.self.Sequence && !ms.superseded {
			ms.superseded = true
			ms.cfg.Log.Error().Str("other", m.Incarnation).Msg("another incarnation has taken this name")
		}
		return nil
	}
	rec := ms.peers[m.Name]
	switch {
	case rec == nil:
		rec = &peerRecord{member: m}
		ms.peers[m.Name] = rec
	case rec.member.Incarnation == m.Incarnation:
		if m.Sequence > rec.member.Sequence {
			rec.member = m
		}
	case m.Sequence > rec.member.Sequence:
		*rec = peerRecord{member: m}
	default:
		return nil
	}
	return rec
}

// recordCall records that a member called this process. Right after a pause the call
// may have waited in a socket and its sender may have died since, so that it is
// ignored. The caller holds ms.mu.
func (ms *Membership) recordCall(rec *peerRecord) {
	if !ms.mayBeBacklogged() {
		ms.markLive(rec)
	}
}

// mayBeBacklogged reports whether calls that arrive now may have been sent before
// this process resumed from a pause. The caller holds ms.mu.
func (ms *Membership) mayBeBacklogged() bool {
	return !ms.resumedAt.IsZero() && time.Since(ms.resumedAt) < backlogWindow
}

// markLive records that a member answered, or made a call that was not backlogged.
// The caller holds ms.mu.
func (ms *Membership) markLive(rec *peerRecord) {
	rec.lastHeard, rec.misses, rec.confirming = time.Now(), 0, false
	if rec.state != live {
		rec.state = live
	}
}
