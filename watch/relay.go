package watch

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/table"
)

// Watermark states the time on the platform's clock up to which a process knows all
// changes of a table.
type Watermark struct {
	Changed uint64 // revision of the table's last change
	Clock   time.Duration
}

const (
	// maxRelayAge is the age of relayed data after which the first process of a failure
	// domain, its hub, polls the platform itself. Pollers poll every second and their
	// watermarks reach the hubs within two heartbeats of 0.25 to 0.33 s.
	maxRelayAge = 1500 * time.Millisecond
	// minMemberRelayAge and maxMemberRelayAge bound this age for the other processes, which
	// poll one after another. The first of them lets the hub go first. The last one has its
	// answer before the two seconds are over within which a change of the configuration, or
	// a server that leaves, must be known, even when no other process reaches the platform.
	minMemberRelayAge = 1700 * time.Millisecond
	maxMemberRelayAge = 1850 * time.Millisecond
	// maxPageWait is how long the hub waits for the changes up to an announced
	// revision before it polls the platform for them.
	maxPageWait = 150 * time.Millisecond
	// minMemberPageWait and maxMemberPageWait bound this wait for the other processes.
	minMemberPageWait = 400 * time.Millisecond
	maxMemberPageWait = 800 * time.Millisecond
	// minSharedLead is how much newer than anything that the others told an answer is
	// when a process that does not poll for them shares it, a little below the ages after
	// which it polls in place of the pollers. An answer to a poll for a lost datagram is
	// rarely that much newer, and need not be told.
	minSharedLead = 1400 * time.Millisecond
	// cutOffLag is how far the last answer to this process is behind what the others
	// know when it counts as cut off from the platform, above the 1.7 s after which one
	// lost answer is noticed.
	cutOffLag = 2 * time.Second
	// cutOffFailures is the least number of failed calls in a row before that.
	cutOffFailures = 2
	// relayCheckInterval is the longest time between two checks of the age of relayed data.
	relayCheckInterval = 200 * time.Millisecond
	// maxRelayedRetryDelay bounds the time between polls of a process that others poll
	// for while the platform does not answer. The pollers detect its return soon; with
	// all processes polling twice a second, 76 processes made 3,000 calls in an outage
	// of 9 s.
	maxRelayedRetryDelay = 2 * time.Second
	// maxPendingPages bounds the relayed pages that are not applied yet; further ones are
	// dropped, so that this process polls for their changes.
	maxPendingPages = 64
)

// relay holds what other processes sent about the table.
type relay struct {
	wake chan struct{}

	mu              sync.Mutex // guards the fields below except aheadSince
	polledWatermark Watermark  // of this process's last answer from the platform
	peerWatermark   Watermark  // the newest of other processes
	// aheadSince is clock.Now since when others know of changes that this process lacks; 0 when they don't.
	// Only the goroutine of Run uses it.
	aheadSince time.Duration
	pages      []relayedPage
	cutOff     bool // others reach the platform and this process does not
	// offered holds rows of other processes that may be newer than those of the platform.
	offered []Row
}

// relayedPage is a page that another process polled.
type relayedPage struct {
	page           Page
	after, changed uint64
}

// recordPoll records the watermark of this process's last answer from the platform. It returns how much
// newer the answer is than anything that other processes told; 0 without the platform's clock.
func (r *relay) recordPoll(p Page, changed uint64) (lead time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Clock == 0 {
		return 0
	}
	r.polledWatermark = Watermark{Changed: changed, Clock: p.Clock}
	return p.Clock - r.peerWatermark.Clock
}

// CutOff reports whether other processes reach the platform and this one does not.
func (f *Follower) CutOff() bool {
	f.relay.mu.Lock()
	defer f.relay.mu.Unlock()
	return f.relay.cutOff
}

// recordCutOff records a failed call. This process counts as cut off if another one has a newer answer.
func (f *Follower) recordCutOff() {
	f.failures++
	f.relay.mu.Lock()
	defer f.relay.mu.Unlock()
	heardAt := f.relay.peerWatermark.Clock + f.clockSkew.offset
	if f.failures < cutOffFailures || !f.clockSkew.known || clock.Now()-heardAt > maxRelayAge || f.relay.cutOff {
		return
	}
	if lag := f.relay.peerWatermark.Clock - f.relay.polledWatermark.Clock; lag > cutOffLag {
		f.relay.cutOff = true
		f.cfg.Log.Warn().Str("table", f.cfg.Name).Dur("lag", lag).Msg("other processes reach the platform, this one does not")
	}
}

// endCutOff records an answer to this process.
func (f *Follower) endCutOff() {
	f.failures = 0
	f.relay.mu.Lock()
	defer f.relay.mu.Unlock()
	if f.relay.cutOff {
		f.relay.cutOff = false
		f.cfg.Log.Info().Str("table", f.cfg.Name).Msg("this process reaches the platform again")
	}
}

// Watermark returns the newest watermark of this process's polls and of other processes,
// and false before there is one.
func (f *Follower) Watermark() (Watermark, bool) {
	f.relay.mu.Lock()
	defer f.relay.mu.Unlock()
	newest := f.relay.polledWatermark
	if f.relay.peerWatermark.Clock > newest.Clock {
		newest = f.relay.peerWatermark
	}
	return newest, newest.Clock > 0
}

// Lag returns how far this process's last poll is behind the newest watermark of other
// processes.
func (f *Follower) Lag() time.Duration {
	f.relay.mu.Lock()
	defer f.relay.mu.Unlock()
	return f.relay.peerWatermark.Clock - f.relay.polledWatermark.Clock
}

// ObserveWatermark takes the watermark of another process.
func (f *Follower) ObserveWatermark(s Watermark) {
	f.relay.mu.Lock()
	if s.Clock > f.relay.peerWatermark.Clock {
		f.relay.peerWatermark = s
	}
	f.relay.mu.Unlock()
	f.wake()
}

// OfferRelayed takes changes that another process polled. after and changed are the revisions of
// the table's last change before the page and with it.
func (f *Follower) OfferRelayed(p Page, after, changed uint64) {
	f.relay.mu.Lock()
	if len(f.relay.pages) < maxPendingPages {
		f.relay.pages = append(f.relay.pages, relayedPage{page: p, after: after, changed: changed})
	}
	f.relay.mu.Unlock()
	f.ObserveWatermark(Watermark{Changed: changed, Clock: p.Clock})
}

// OfferRows takes rows that another process keeps in a newer state than the platform, which returned from
// an older copy.
func (f *Follower) OfferRows(rows []Row) {
	f.relay.mu.Lock()
	f.relay.offered = rows
	f.relay.mu.Unlock()
	f.wake()
}

// wake makes the Run loop look at relayed data.
func (f *Follower) wake() {
	select {
	case f.relay.wake <- struct{}{}:
	default:
	}
}

// polledByPeers reports whether other processes poll the platform for this one.
func (f *Follower) polledByPeers() bool { return f.cfg.PolledByPeers != nil && f.cfg.PolledByPeers() }

// followPeers waits for relayed data and applies it. It returns false when this process
// has to poll the platform itself.
func (f *Follower) followPeers(ctx context.Context) bool {
	if !f.polledByPeers() || !f.clockSkew.known {
		return false
	}
	if left := f.pollAt() - clock.Now(); left > 0 {
		t := time.NewTimer(min(left, relayCheckInterval))
		defer t.Stop()
		select {
		case <-ctx.Done():
			return true
		case <-f.relay.wake:
		case <-t.C:
		}
	}
	now := clock.Now()
	switch known := f.applyRelayed(now); {
	case known:
		f.relay.aheadSince = 0
	case f.relay.aheadSince == 0:
		f.relay.aheadSince = now
	}
	if now < f.pollAt() {
		return true
	}
	f.relay.aheadSince = 0
	return false
}

// pollAt returns the time of package clock at which this process polls the platform itself unless
// others supply newer data.
func (f *Follower) pollAt() time.Duration {
	if f.CutOff() {
		return f.retryAt // notices when it reaches the platform again
	}
	maxAge, pageWait := f.relayLimits()
	at := f.lastAnswer + maxAge
	if f.relay.aheadSince > 0 {
		at = min(at, f.relay.aheadSince+pageWait)
	}
	return max(at, f.retryAt)
}

// superseded reports whether relayed data makes a call in progress unnecessary.
func (f *Follower) superseded(now time.Duration) bool {
	known := f.applyRelayed(now)
	maxAge, _ := f.relayLimits()
	return known && f.polledByPeers() && now-f.lastAnswer < maxAge && !f.CutOff()
}

// applyRelayed applies relayed pages and the newest watermark of other processes. When this
// process knows all changes up to that watermark, its table counts as confirmed at the
// watermark's clock. It returns false when other processes know of changes that this one
// lacks.
func (f *Follower) applyRelayed(now time.Duration) bool {
	f.relay.mu.Lock()
	pages, newest, offered := f.relay.pages, f.relay.peerWatermark, f.relay.offered
	f.relay.pages, f.relay.offered = nil, nil
	f.relay.mu.Unlock()
	f.adoptOffered(offered)
	at := f.clockSkew.toLocal(newest.Clock, now)
	outage := time.Duration(0)
	if at > f.lastAnswer && now-at < lostAfter {
		outage = f.endOutage(now)
		f.failing = false
		if !f.CutOff() {
			f.retryDelay, f.retryAt = firstRetryDelay, 0
		}
	}
	for _, x := range pages {
		// Rows hold the state at the page's revision, so applying known ones again
		// has no effect.
		if x.after <= f.complete && x.changed > f.complete {
			f.revision, f.changed = max(f.revision, x.page.Revision), max(f.changed, x.changed)
			f.complete = x.changed
			f.apply(x.page, outage)
			outage = 0
		}
	}
	if outage > 0 {
		f.apply(Page{}, outage)
	}
	if newest.Changed > f.complete {
		return false
	}
	if table.Era(newest.Changed) < table.Era(f.complete) {
		return true // its sender does not know yet that the platform returned from an older copy
	}
	f.lastAnswer = max(f.lastAnswer, at)
	f.confirm(at)
	return true
}

// rank returns how many processes nearby poll the platform before this one.
func (f *Follower) rank() int {
	if f.cfg.Rank == nil {
		return 0
	}
	return f.cfg.Rank()
}

// relayLimits returns the age of relayed data, and the wait for announced changes, after
// which this process polls the platform.
func (f *Follower) relayLimits() (maxAge, pageWait time.Duration) {
	rank := time.Duration(f.rank())
	if rank == 0 {
		return maxRelayAge, maxPageWait
	}
	// Each further process waits for a growing share of the time: half, two thirds and so on. A call and
	// its relay take some 30 ms, so that one of the first answers spares the others theirs.
	return maxMemberRelayAge - (maxMemberRelayAge-minMemberRelayAge)/rank, maxMemberPageWait - (maxMemberPageWait-minMemberPageWait)/rank
}
