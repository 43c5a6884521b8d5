package member

import (
	"context"
	"sync"
	"time"
)

// verifySpread is the time for each member over which the pings are spread
// that follow the news of a death, so that a live process that was reported
// dead is not called by all others at once.
const verifySpread = 2 * time.Millisecond

// sendNews returns a function that sends one event, for Spread.
func (t *Membership) sendNews(e Event) func(context.Context, Member, RelayRange) error {
	return func(ctx context.Context, to Member, r RelayRange) error {
		_, err := t.cfg.SendEvents(ctx, to, EventMessage{Events: []Event{e}, RelayRange: r})
		return err
	}
}

// HandlePing answers a ping of an authenticated peer.
func (t *Membership) HandlePing(name, incarnation string, h Health) Health {
	t.cfg.BeforeStep()
	t.pulse.Check()
	t.mu.Lock()
	if h.Self != nil && h.Self.Name == name && h.Self.Incarnation == incarnation {
		t.merge(*h.Self)
	}
	e := t.current(Member{Name: name, Incarnation: incarnation})
	var from Member
	if e != nil {
		t.states(e, h)
		t.called(e)
		from = e.member
	}
	t.mu.Unlock()
	if e != nil {
		t.cfg.OnHealth(from, h)
	}
	// A full reply to a short ping asks the sender to describe itself.
	return t.health(e == nil || h.Self != nil)
}

// HandleEvents takes news of an authenticated peer, answers it, and passes it on
// when it is asked to.
func (t *Membership) HandleEvents(ctx context.Context, name, incarnation string, n EventMessage) EventReply {
	t.cfg.BeforeStep()
	t.pulse.Check()
	t.mu.Lock()
	if e := t.current(Member{Name: name, Incarnation: incarnation}); e != nil {
		t.called(e)
	}
	t.mu.Unlock()
	out := EventReply{Alive: make([]bool, len(n.Events))}
	var pass []Event
	for i, e := range n.Events {
		switch e.Kind {
		case Suspect:
			out.Alive[i] = t.check(ctx, e.Member)
			continue
		case Dead:
			out.Alive[i] = t.reportedDead(e.Member)
		case Stopped:
			t.stopped(e.Member)
		case Joined, Leaving:
			t.announced(e.Member, e.Member.Incarnation == incarnation)
		default:
			continue
		}
		pass = append(pass, e)
	}
	if n.WantMembers {
		out.Members = t.Live()
	}
	if n.RelayRange.Relay && len(pass) > 0 {
		t.spawn(func() {
			t.Broadcast(t.ctx, func(ctx context.Context, to Member, r RelayRange) error {
				_, err := t.cfg.SendEvents(ctx, to, EventMessage{Events: pass, RelayRange: r})
				return err
			}, RelayRange{First: n.RelayRange.First, End: n.RelayRange.End})
		})
	}
	return out
}

// fresh tells whether a member was heard a moment ago. It needs the lock.
func (t *Membership) fresh(e *entry) bool { return time.Since(e.heard) < freshTime }

// check tells a peer whether this process reaches a member.
func (t *Membership) check(ctx context.Context, m Member) bool {
	t.mu.Lock()
	if m.Incarnation == t.self.Incarnation {
		t.mu.Unlock()
		return true
	}
	e := t.current(m)
	fresh := e != nil && t.fresh(e)
	t.mu.Unlock()
	if fresh {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := t.cfg.Ping(ctx, m, t.health(true))
	return err == nil
}

// reportedDead checks the news of a death with a ping of its own before it
// believes it. It returns true when the member was heard a moment ago.
func (t *Membership) reportedDead(m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.Incarnation == t.self.Incarnation {
		return true
	}
	e := t.current(m)
	switch {
	case e == nil || e.state == lost:
		return false
	case t.fresh(e):
		// It may have died right after it was heard: look again later.
		t.spawn(func() { t.verify(m, freshTime) })
		return true
	}
	wait := time.Duration(t.rand.Int63n(int64(t.count()+1))) * verifySpread
	t.spawn(func() { t.verify(m, wait) })
	return false
}

// verify pings a member that was reported dead and removes it when it gives no
// answer.
func (t *Membership) verify(m Member, wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-t.ctx.Done():
		return
	}
	t.cfg.BeforeStep()
	epoch := t.pulse.Check()
	if t.ping(t.ctx, m) || t.pulse.Check() != epoch {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.current(m); e != nil && e.state != lost && !t.fresh(e) {
		e.state, e.lostAt, e.judging = lost, time.Now(), false
	}
}

// stopped removes a member that said that it ends.
func (t *Membership) stopped(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.current(m); e != nil {
		e.state, e.lostAt = lost, time.Now()
	}
}

// announced adds a member of which a call tells. Right after a pause the call
// may be old, so the member is pinged before it is listed.
func (t *Membership) announced(m Member, direct bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.merge(m)
	switch {
	case e == nil:
	case t.backlogged():
		t.doubted(e)
	case direct:
		t.proved(e)
	default:
		t.vouched(e)
	}
}

// vouched records that a live member has e in its list. A member that gives no
// answer here is pinged first. It needs the lock.
func (t *Membership) vouched(e *entry) {
	if e.state == unproven {
		e.state = live
		return
	}
	t.doubted(e)
}

// doubted has a lost member pinged again. It needs the lock.
func (t *Membership) doubted(e *entry) {
	if e.state == lost {
		e.state, e.misses = unproven, 0
	}
}

// swap tells a member about this process and takes over its list.
func (t *Membership) swap(ctx context.Context, to Member) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	epoch := t.pulse.Check()
	v, err := t.cfg.SendEvents(ctx, to, EventMessage{Events: []Event{{Kind: Joined, Member: t.Self()}}, WantMembers: true})
	if err != nil || t.pulse.Check() != epoch {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range v.Members {
		if e := t.merge(m); e != nil {
			t.vouched(e)
		}
	}
	return true
}

// syncPeers is how many members are asked for their list at once.
const syncPeers = 3

// sync takes over the lists of a few members when this process has proof of
// none: after its start and after a pause.
func (t *Membership) sync(ctx context.Context) {
	var to []Member
	t.mu.Lock()
	for _, e := range t.entries {
		switch {
		case e.state == live:
			t.mu.Unlock()
			return
		case e.state == unproven:
			to = append(to, e.member)
		}
	}
	if len(to) == 0 {
		for name, address := range t.cfg.Seeds {
			if name != t.self.Name {
				to = append(to, Member{Name: name, PeerAddress: address})
			}
		}
	}
	t.rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	t.mu.Unlock()
	var wg sync.WaitGroup
	for _, m := range to[:min(syncPeers, len(to))] {
		wg.Go(func() { t.swap(ctx, m) })
	}
	wg.Wait()
}
