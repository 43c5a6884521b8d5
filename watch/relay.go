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
	// maxRelayAge is the age of relayed data after which a process polls the platform
	// itself. Pollers poll every second and their watermarks are sent four times a
	// second; a change must be known within two seconds even when the pollers are cut
	// off from the platform.
	maxRelayAge = 1800 * time.Millisecond
	// maxRelayAgeDeferred applies instead when another process nearby polls first.
	maxRelayAgeDeferred = 2400 * time.Millisecond
	// maxPageWait is how long a process waits for the changes up to an announced
	// revision before it polls the platform for them.
	maxPageWait = 150 * time.Millisecond
	// maxPageWaitDeferred applies instead when another process nearby polls first.
	maxPageWaitDeferred = 600 * time.Millisecond
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
	// offered holds rows of other processes that may be newer than those of the platform.
	offered []Row
}

// relayedPage is a page that another process polled.
type relayedPage struct {
	page           Page
	after, changed uint64
}

// recordPoll records the watermark of this process's last answer from the platform.
func (r *relay) recordPoll(p Page, changed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Clock > 0 {
		r.polledWatermark = Watermark{Changed: changed, Clock: p.Clock}
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
	return known && f.polledByPeers() && now-f.lastAnswer < maxAge
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
	at := newest.Clock + f.clockSkew.offset
	outage := time.Duration(0)
	if at > f.lastAnswer && now-at < lostAfter {
		outage = f.endOutage(now)
		f.failing, f.retryDelay, f.retryAt = false, firstRetryDelay, 0
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

// relayLimits returns the age of relayed data, and the wait for announced changes, after
// which this process polls the platform.
func (f *Follower) relayLimits() (maxAge, pageWait time.Duration) {
	if f.cfg.DefersToPeer != nil && f.cfg.DefersToPeer() {
		return maxRelayAgeDeferred, maxPageWaitDeferred
	}
	return maxRelayAge, maxPageWait
}
