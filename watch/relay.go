package watch

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/clock"
)

// Watermark says that a process knows all changes of a table up to a moment of the
// platform's clock.
type Watermark struct {
	Changed uint64 // revision of the table's last change
	Clock   time.Duration
}

const (
	// relaySilence is the age of what others tell after which a process polls
	// the platform itself. Pollers poll each second, and what they know is told four times a second;
	// a change must be known within two seconds also when they are cut off.
	relaySilence = 1800 * time.Millisecond
	// laterSilence is that age where another process nearby polls first.
	laterSilence = 2400 * time.Millisecond
	// pageWait is how long a process waits for the changes behind a revision
	// that another one tells, before it asks the platform for them.
	pageWait = 150 * time.Millisecond
	// laterWait is that time where another process nearby asks first.
	laterWait = 600 * time.Millisecond
	// relayTick is the interval of looking at the age.
	relayTick = 200 * time.Millisecond
	// relayedPause is the longest pause between polls of a process that others
	// poll for while the platform does not answer. Those others find out soon
	// that it is back; all processes asking twice a second made 3,000 calls in
	// an outage of 9 s with 76 processes.
	relayedPause = 2 * time.Second
	// maxPages bounds the relayed pages that wait.
	maxPages = 64
)

// relay is what other processes tell of the table.
type relay struct {
	wake chan struct{}

	mu    sync.Mutex
	own   Watermark     // of this process's last poll
	heard Watermark     // the newest that others told
	ahead time.Duration // clock.Now since when heard is ahead of this process; 0 when it is not
	pages []sharedPage
}

type sharedPage struct {
	page           Page
	after, changed uint64
}

func (r *relay) polled(p Page, changed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Clock > 0 {
		r.own = Watermark{Changed: changed, Clock: p.Clock}
	}
}

// Watermark returns the newest that this process's polls and others showed; false when
// there is nothing yet.
func (f *Follower) Watermark() (Watermark, bool) {
	f.relay.mu.Lock()
	defer f.relay.mu.Unlock()
	newest := f.relay.own
	if f.relay.heard.Clock > newest.Clock {
		newest = f.relay.heard
	}
	return newest, newest.Clock > 0
}

// Lag returns how much newer what others told is than this process's last poll.
func (f *Follower) Lag() time.Duration {
	f.relay.mu.Lock()
	defer f.relay.mu.Unlock()
	return f.relay.heard.Clock - f.relay.own.Clock
}

// ObserveWatermark takes what another process knows.
func (f *Follower) ObserveWatermark(s Watermark) {
	f.relay.mu.Lock()
	if s.Clock > f.relay.heard.Clock {
		f.relay.heard = s
	}
	f.relay.mu.Unlock()
	f.wake()
}

// Offer takes changes that another process polled.
// After and changed are the table's last changes before and with them.
func (f *Follower) Offer(p Page, after, changed uint64) {
	f.relay.mu.Lock()
	if len(f.relay.pages) < maxPages {
		f.relay.pages = append(f.relay.pages, sharedPage{page: p, after: after, changed: changed})
	}
	f.relay.mu.Unlock()
	f.ObserveWatermark(Watermark{Changed: changed, Clock: p.Clock})
}

func (f *Follower) wake() {
	select {
	case f.relay.wake <- struct{}{}:
	default:
	}
}

func (f *Follower) relayed() bool { return f.cfg.PolledByPeers != nil && f.cfg.PolledByPeers() }

// follow waits for what other processes tell and applies it. It returns false
// when this process has to poll the platform itself.
func (f *Follower) follow(ctx context.Context) bool {
	if !f.relayed() || !f.skew.known {
		return false
	}
	t := time.NewTimer(relayTick)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return true
	case <-f.relay.wake:
	case <-t.C:
	}
	now := clock.Now()
	known := f.hear(now)
	silence, page := f.patience()
	switch {
	case known:
		f.relay.ahead = 0
		return now < f.due || now-f.answered < silence
	case f.relay.ahead == 0:
		f.relay.ahead = now
	case now-f.relay.ahead > page && now >= f.due:
		f.relay.ahead = 0
		return false
	}
	return true
}

// overtaken tells whether what other processes told makes a call needless.
func (f *Follower) overtaken(now time.Duration) bool {
	known := f.hear(now)
	silence, _ := f.patience()
	return known && f.relayed() && now-f.answered < silence
}

// hear applies what other processes told. It returns false when they know of changes
// that this process does not know.
func (f *Follower) hear(now time.Duration) bool {
	f.relay.mu.Lock()
	pages, heard := f.relay.pages, f.relay.heard
	f.relay.pages = nil
	f.relay.mu.Unlock()
	at := heard.Clock + f.skew.offset
	outage := time.Duration(0)
	if at > f.answered && now-at < lostAfter {
		outage = f.regained(now)
		f.failing, f.pause, f.due = false, firstPause, 0
	}
	for _, x := range pages {
		// The rows hold the state at the page's revision, so that those known
		// already change nothing.
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
	if heard.Changed > f.complete {
		return false
	}
	f.answered = max(f.answered, at)
	f.confirm(at)
	return true
}

// patience returns the age of what others tell, and the wait for changes that they
// tell of, after which this process asks the platform.
func (f *Follower) patience() (silence, page time.Duration) {
	if f.cfg.DefersToPeer != nil && f.cfg.DefersToPeer() {
		return laterSilence, laterWait
	}
	return relaySilence, pageWait
}
