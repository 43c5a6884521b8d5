package member

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Times and numbers of pings.
const (
	pingInterval = time.Second
	pingTimeout  = 900 * time.Millisecond // below the interval, so that one ping is in flight
	maxMisses    = 3
	askTimeout   = 2 * time.Second // a helper pings once before it answers
	proveCount   = 16              // unproven members that are pinged at once
	staleCount   = 4               // members whose row stands still that are pinged at once
	probeRate    = 32              // pings of random members a second of all processes together
	freshTime    = 2 * time.Second // an answer this recent refutes a death

	// backlogTime is how long after a pause calls are taken for old ones. A
	// peer gives up a call after at most askTimeout, so by then the calls that
	// waited in sockets have been read.
	backlogTime = askTimeout
)

// youngTime is how long after its start a process pings every member that it
// has not heard yet. The news of its start does not reach members that join at
// the same time, whom those who pass it on do not know yet. 980 members take
// 61 s.
const youngTime = 2 * time.Minute

// tick pings the neighbours on the ring, members that are not proven yet, one
// lost member, and now and then a random one. The last two find again who was
// lost in a partition, and find deaths whose news did not arrive, without the
// table. A random member every second cost 3.5 KB/s at 128 processes, since
// each ping opens a session.
func (t *Membership) tick(ctx context.Context) {
	now := time.Now()
	t.mu.Lock()
	chosen := map[string]bool{}
	for _, n := range t.watch(now) {
		chosen[n] = true
	}
	var idle, waiting, gone, still []string
	expiry := t.expiry()
	young := now.Sub(t.started) < youngTime
	known := now.Sub(t.scanned) < 2*t.each(scanRate)
	for n, e := range t.entries {
		switch {
		case chosen[n]:
		case e.state == unproven || young && e.state == live && e.heard.IsZero():
			waiting = append(waiting, n)
		case e.state == lost:
			gone = append(gone, n)
		case known && now.Sub(e.moved) > expiry && now.Sub(e.heard) > maxMisses*pingInterval:
			still = append(still, n)
		default:
			idle = append(idle, n)
		}
	}
	t.pick(chosen, waiting, proveCount)
	t.pick(chosen, gone, 1)
	t.pick(chosen, still, staleCount)
	if !now.Before(t.probe) {
		t.probe = now.Add(max(pingInterval, time.Duration(t.count())*time.Second/probeRate))
		t.pick(chosen, idle, 1)
	}
	var to []Member
	for n := range chosen {
		if e := t.entries[n]; !e.pinging {
			e.pinging = true
			to = append(to, e.member)
		}
	}
	t.mu.Unlock()
	for _, m := range to {
		t.spawn(func() { t.ping(ctx, m) })
	}
}

// pick adds up to n random names. It needs the lock.
func (t *Membership) pick(into map[string]bool, from []string, n int) {
	t.rand.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	for _, name := range from[:min(n, len(from))] {
		into[name] = true
	}
}

// health returns what this process states in a ping. With full it describes
// itself.
func (t *Membership) health(full bool) Health {
	v, d := t.cfg.Version()
	self := t.Self()
	h := Health{Version: v, Digest: d, Leaving: self.Leaving, Sequence: self.Sequence}
	if full {
		h.Self = &self
	}
	return h
}

// current returns the entry of an incarnation, or nil. It needs the lock.
func (t *Membership) current(m Member) *entry {
	if e := t.entries[m.Name]; e != nil && e.member.Incarnation == m.Incarnation {
		return e
	}
	return nil
}

// ping asks one member once and records the result, unless this process was
// paused in between.
func (t *Membership) ping(ctx context.Context, m Member) bool {
	epoch := t.pulse.Check()
	t.mu.Lock()
	full := true
	if e := t.current(m); e != nil {
		full = e.told != t.self.Sequence
	}
	t.mu.Unlock()
	cctx, cancel := context.WithTimeout(ctx, pingTimeout)
	sent := t.health(full)
	h, err := t.cfg.Ping(cctx, m, sent)
	cancel()
	same := t.pulse.Check() == epoch
	t.mu.Lock()
	e := t.current(m)
	if e == nil {
		t.mu.Unlock()
		return err == nil
	}
	e.pinging = false
	if err != nil || !same { // an answer from before a pause proves nothing
		if same && ctx.Err() == nil {
			t.missed(e, errors.Is(err, ErrReplaced))
		}
		t.mu.Unlock()
		return false
	}
	found := e.state == lost
	e.told = sent.Sequence
	if h.Self != nil && sent.Self == nil {
		e.told = 0 // the peer does not know this process
	}
	t.states(e, h)
	t.proved(e)
	m = e.member
	t.mu.Unlock()
	t.cfg.OnHealth(m, h)
	if found {
		t.cfg.Log.Info().Str("member", m.Name).Msg("lost member answers again")
		t.swap(ctx, m)
	}
	return true
}

// states merges what a member says of itself in a ping. It needs the lock.
func (t *Membership) states(e *entry, h Health) {
	if h.Self != nil && h.Self.Name == e.member.Name {
		t.merge(*h.Self)
	}
	if h.Sequence >= e.member.Sequence {
		e.member.Leaving, e.member.Sequence = h.Leaving, h.Sequence
	}
}

// missed counts a ping without an answer. It needs the lock.
func (t *Membership) missed(e *entry, gone bool) {
	e.misses++
	if e.state == unproven && (gone || e.misses >= maxMisses) {
		e.state, e.lostAt = lost, time.Now()
		return
	}
	if e.state != live || e.judging || !gone && e.misses < maxMisses {
		return
	}
	e.judging = true
	m := e.member
	t.spawn(func() { t.judge(t.ctx, m, gone) })
}

// judge asks other watchers whether they reach a member that does not answer
// this process. Only when none does, the member is dead; a link that is cut
// between two processes does not remove either of them.
func (t *Membership) judge(ctx context.Context, m Member, gone bool) {
	epoch := t.pulse.Check()
	if !gone && t.reached(ctx, m) || t.pulse.Check() != epoch {
		t.mu.Lock()
		if e := t.current(m); e != nil {
			e.misses, e.judging = 0, false
		}
		t.mu.Unlock()
		return
	}
	t.mu.Lock()
	e := t.current(m)
	if e == nil || !e.judging || e.state != live {
		if e != nil {
			e.judging = false
		}
		t.mu.Unlock()
		return // it was heard in the meantime
	}
	e.state, e.judging, e.lostAt = lost, false, time.Now()
	t.deaths = append(t.deaths, e.lostAt)
	t.mu.Unlock()
	t.cfg.Log.Warn().Str("member", m.Name).Str("incarnation", m.Incarnation).Msg("member is dead")
	t.Broadcast(ctx, t.sendNews(Event{Kind: Dead, Member: m}), RelayRange{})
}

// reached asks the helpers and returns whether one of them reaches m.
func (t *Membership) reached(ctx context.Context, m Member) bool {
	t.mu.Lock()
	helpers := t.helpers(m.Name)
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	yes := make([]bool, len(helpers))
	var wg sync.WaitGroup
	for i, h := range helpers {
		wg.Go(func() {
			v, err := t.cfg.SendEvents(ctx, h, EventMessage{Events: []Event{{Kind: Suspect, Member: m}}})
			yes[i] = err == nil && len(v.Alive) == 1 && v.Alive[0]
		})
	}
	wg.Wait()
	for _, y := range yes {
		if y {
			return true
		}
	}
	return false
}
