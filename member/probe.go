package member

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	pingInterval       = time.Second
	pingTimeout        = 900 * time.Millisecond // below pingInterval, so that one ping to a member is in flight
	maxMisses          = 3                      // consecutive pings without an answer before a member is suspected
	eventTimeout       = 2 * time.Second        // a helper pings once before it answers
	maxUnverifiedPings = 16                     // unverified members pinged in one round
	maxStalePings      = 4                      // members with an unchanged row pinged in one round
	randomPingRate     = 32                     // pings/s of random members by all processes together
	recentWindow       = 2 * time.Second        // an answer this recent refutes a report of a death

	// backlogWindow is the time after a pause in which received calls may be
	// outdated. A peer gives up a call after at most eventTimeout, so by then
	// the calls that waited in sockets have been read.
	backlogWindow = eventTimeout
)

// startupPeriod is how long after its start a process pings every member that it
// has not heard yet. Its Joined event does not reach members that join at the
// same time, since the processes that relay it do not know them yet. With 980
// members this takes 61 s.
const startupPeriod = 2 * time.Minute

// pingMembers runs one round of pings: of the successors on the ring, of
// unverified members, of live members whose row has not changed for rowExpiry, of
// one unreachable member and, at a longer interval, of a random member. The last two
// find members again after a partition, and deaths whose events did not arrive,
// without the table service. The rate of random pings
// is limited because each ping opens a session: one every second cost 3.5 KB/s at
// 128 processes.
func (ms *Membership) pingMembers(ctx context.Context) {
	now := time.Now()
	ms.mu.Lock()
	targets := map[string]bool{}
	for _, n := range ms.watchTargets(now) {
		targets[n] = true
	}
	var others, toVerify, lost, stale []string
	expiry := ms.rowExpiry()
	startingUp := now.Sub(ms.started) < startupPeriod
	rowsCurrent := now.Sub(ms.scanned) < 2*ms.intervalPerProcess(scanRate)
	for n, rec := range ms.peers {
		switch {
		case targets[n]:
		case rec.state == unverified || startingUp && rec.state == live && rec.lastHeard.IsZero():
			toVerify = append(toVerify, n)
		case rec.state == unreachable:
			lost = append(lost, n)
		case rowsCurrent && now.Sub(rec.revisionSeen) > expiry && now.Sub(rec.lastHeard) > maxMisses*pingInterval:
			stale = append(stale, n)
		default:
			others = append(others, n)
		}
	}
	ms.addRandom(targets, toVerify, maxUnverifiedPings)
	ms.addRandom(targets, lost, 1)
	ms.addRandom(targets, stale, maxStalePings)
	if !now.Before(ms.nextRandomPing) {
		ms.nextRandomPing = now.Add(max(pingInterval, time.Duration(ms.processCount())*time.Second/randomPingRate))
		ms.addRandom(targets, others, 1)
	}
	var to []Member
	for n := range targets {
		if rec := ms.peers[n]; !rec.pinging {
			rec.pinging = true
			to = append(to, rec.member)
		}
	}
	ms.mu.Unlock()
	for _, m := range to {
		ms.spawn(func() { ms.ping(ctx, m) })
	}
}

// addRandom adds up to n random names from a list to a set. The caller holds ms.mu.
func (ms *Membership) addRandom(into map[string]bool, from []string, n int) {
	ms.rand.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	for _, name := range from[:min(n, len(from))] {
		into[name] = true
	}
}

// pingPayload returns the content of a ping by this process or of its reply. With full
// it includes the description of this process, which a member that has acknowledged the
// current sequence does not need.
func (ms *Membership) pingPayload(full bool) PingPayload {
	v, d := ms.cfg.Version()
	self := ms.Self()
	h := PingPayload{Version: v, Digest: d, Leaving: self.Leaving, Sequence: self.Sequence}
	if full {
		h.Self = &self
	}
	return h
}

// current returns the record of an incarnation, or nil. The caller holds ms.mu.
func (ms *Membership) current(m Member) *peerRecord {
	if rec := ms.peers[m.Name]; rec != nil && rec.member.Incarnation == m.Incarnation {
		return rec
	}
	return nil
}

// ping pings a member once and records the result, unless this process was paused
// in between. It returns whether the member answered.
func (ms *Membership) ping(ctx context.Context, m Member) bool {
	pauses := ms.pauses.Check()
	ms.mu.Lock()
	full := true
	if rec := ms.current(m); rec != nil {
		full = rec.ackedSequence != ms.self.Sequence
	}
	ms.mu.Unlock()
	cctx, cancel := context.WithTimeout(ctx, pingTimeout)
	sent := ms.pingPayload(full)
	h, err := ms.cfg.Ping(cctx, m, sent)
	cancel()
	notPaused := ms.pauses.Check() == pauses
	ms.mu.Lock()
	rec := ms.current(m)
	if rec == nil {
		ms.mu.Unlock()
		return err == nil
	}
	rec.pinging = false
	if err != nil || !notPaused { // an answer from before a pause may be outdated
		if notPaused && ctx.Err() == nil {
			ms.recordMiss(rec, errors.Is(err, ErrReplaced))
		}
		ms.mu.Unlock()
		return false
	}
	recovered := rec.state == unreachable
	rec.ackedSequence = sent.Sequence
	if h.Self != nil && sent.Self == nil {
		rec.ackedSequence = 0 // the peer does not know this process
	}
	ms.mergePingPayload(rec, h)
	ms.markLive(rec)
	m = rec.member
	ms.mu.Unlock()
	ms.cfg.OnPingPayload(m, h)
	if recovered {
		ms.cfg.Log.Info().Str("member", m.Name).Msg("unreachable member answers again")
		ms.exchangeLists(ctx, m)
	}
	return true
}

// mergePingPayload merges what a member states about itself in a ping. The caller holds
// ms.mu.
func (ms *Membership) mergePingPayload(rec *peerRecord, h PingPayload) {
	if h.Self != nil && h.Self.Name == rec.member.Name {
		ms.merge(*h.Self)
	}
	if h.Sequence >= rec.member.Sequence {
		rec.member.Leaving, rec.member.Sequence = h.Leaving, h.Sequence
	}
}

// recordMiss counts a ping without an answer; replaced tells that another
// incarnation answered. After maxMisses pings, or when it was replaced, an
// unverified member becomes unreachable, and confirmDeath starts for a live one.
// The caller holds ms.mu.
func (ms *Membership) recordMiss(rec *peerRecord, replaced bool) {
	rec.misses++
	if rec.state == unverified && (replaced || rec.misses >= maxMisses) {
		rec.state, rec.unreachableSince = unreachable, time.Now()
		return
	}
	if rec.state != live || rec.confirming || !replaced && rec.misses < maxMisses {
		return
	}
	rec.confirming = true
	m := rec.member
	ms.spawn(func() { ms.confirmDeath(ms.ctx, m, replaced) })
}

// confirmDeath asks the other processes that ping a member whether they reach it.
// The member is taken for dead only when none does, so that a broken link between
// two processes removes neither of them. A replaced member is dead without a
// question.
func (ms *Membership) confirmDeath(ctx context.Context, m Member, replaced bool) {
	pauses := ms.pauses.Check()
	if !replaced && ms.reachedByHelpers(ctx, m) || ms.pauses.Check() != pauses {
		ms.mu.Lock()
		if rec := ms.current(m); rec != nil {
			rec.misses, rec.confirming = 0, false
		}
		ms.mu.Unlock()
		return
	}
	ms.mu.Lock()
	rec := ms.current(m)
	if rec == nil || !rec.confirming || rec.state != live {
		if rec != nil {
			rec.confirming = false
		}
		ms.mu.Unlock()
		return // it was heard in the meantime
	}
	rec.state, rec.confirming, rec.unreachableSince = unreachable, false, time.Now()
	ms.recentDeaths = append(ms.recentDeaths, rec.unreachableSince)
	ms.mu.Unlock()
	ms.cfg.Log.Warn().Str("member", m.Name).Str("incarnation", m.Incarnation).Msg("member is dead")
	ms.Broadcast(ctx, ms.eventSender(Event{Kind: Dead, Member: m}), RelayRange{})
}

// reachedByHelpers reports whether one of the helpers reaches m.
func (ms *Membership) reachedByHelpers(ctx context.Context, m Member) bool {
	ms.mu.Lock()
	helpers := ms.helpers(m.Name)
	ms.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	reached := make([]bool, len(helpers))
	var wg sync.WaitGroup
	for i, h := range helpers {
		wg.Go(func() {
			reply, err := ms.cfg.SendEvents(ctx, h, EventMessage{Events: []Event{{Kind: Suspect, Member: m}}})
			reached[i] = err == nil && len(reply.Alive) == 1 && reply.Alive[0]
		})
	}
	wg.Wait()
	for _, ok := range reached {
		if ok {
			return true
		}
	}
	return false
}
