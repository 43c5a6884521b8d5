package poison

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Crashes returns the number of servers that are known to have crashed on a request since one answered it,
// less those that are expected of one that is answered all the time.
func (t *Tracker) Crashes(p Part) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[p]
	switch {
	case e == nil:
		return 0
	case e.answeredBefore():
		return max(len(e.confirmed())-minCrashesOfAnswered/2, 0)
	default:
		return len(e.confirmed())
	}
}

// TrialIn returns how long the trial of a suspected request has to wait: until the evidence of its last
// crash is known to all processes, and until no other process may be trying it. ordered means that this
// process has no other trial of it.
func (t *Tracker) TrialIn(p Part, ordered bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[p]
	if e == nil {
		return 0
	}
	return e.trialIn(Now(), ordered)
}

// triedHere reports whether the last trial is that of this process.
func (e *entry) triedHere() bool { return e.ownTrial != 0 && e.ownTrial == e.Trial }

// trialIn is TrialIn of an entry. The caller holds mu.
func (e *entry) trialIn(now time.Duration, ordered bool) time.Duration {
	wait := e.settlesIn(now)
	if e.TriedAt > 0 && !(ordered && e.triedHere()) {
		wait = max(wait, e.TriedAt+MaxTrial-now)
	}
	return max(wait, 0)
}

// TryAlone claims the trial of a suspected request, which it tells the other processes, and returns 0 once
// it may begin, or how long to wait before the next call. ordered means that this process has no other
// trial of it.
func (t *Tracker) TryAlone(p Part, ordered bool) time.Duration {
	now := Now()
	t.mu.Lock()
	e := t.records[p]
	if e == nil || len(e.confirmed()) == 0 {
		t.mu.Unlock()
		return 0
	}
	wait := e.trialIn(now, ordered)
	if wait == 0 && e.triedHere() && now < e.TriedAt+MaxTrial/2 {
		wait = max(e.TriedAt+claimTime-now, 0)
	} else if wait == 0 {
		e.ownTrial = max(rand.Uint64()&^unconfirmed, 1)
		e.TriedAt, e.Trial = now, e.ownTrial
		e.changedAt, e.ownAt = now, now
		record := e.Record.clone()
		t.mu.Unlock()
		t.announce([]Record{record})
		return claimTime
	}
	t.mu.Unlock()
	return wait
}

// RecordRefused records that a server refused a request that was sent alone. One that was suspended is
// suspended again: each further arrival would reach a server while none can run it.
func (t *Tracker) RecordRefused(p Part) {
	now := Now()
	t.mu.Lock()
	e := t.records[p]
	if e == nil || e.Terms == 0 || e.Quarantined(now) {
		t.mu.Unlock()
		return
	}
	e.Until = now + suspension
	t.update(e, now)
	record := e.Record.clone()
	t.mu.Unlock()
	t.logQuarantined([]Record{record}, "servers refused its trial")
	t.announce([]Record{record})
}

// ownTrial returns the last trial that this process claimed of the request among the parts, or 0. The caller
// holds mu.
func (t *Tracker) ownTrial(parts []Part) uint64 {
	for _, p := range parts {
		if e := t.records[p]; e != nil && p.IsRequest() {
			return e.ownTrial
		}
	}
	return 0
}

// leads reports whether no other request that shares the last crash of a record has as many crashes.
// The crash of a server cuts many sound requests, but few of them twice. Those that many callers send
// are on each crash, but they are answered in between. The caller holds mu.
func (t *Tracker) leads(e *entry) bool {
	crashes := e.confirmed()
	if !e.Part.IsRequest() || len(crashes) == 0 {
		return false
	}
	last := crashes[len(crashes)-1]
	for p, o := range t.records {
		if o == e || !p.IsRequest() || o.answeredBefore() || len(o.Crashes) < len(crashes) {
			continue
		}
		if others := o.confirmed(); len(others) >= len(crashes) && slices.ContainsFunc(others, last.same) {
			return false
		}
	}
	return true
}
