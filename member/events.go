package member

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/clock"
)

// verifyDelayPerMember times the number of members is the longest random delay
// before a process pings a member that was reported dead. It keeps all processes
// from pinging a live member at once after a wrong report.
const verifyDelayPerMember = 2 * time.Millisecond

// eventSender returns a function that sends one event, for Broadcast.
func (ms *Membership) eventSender(e Event) func(context.Context, Member, RelayRange) error {
	return func(ctx context.Context, to Member, r RelayRange) error {
		_, err := ms.cfg.SendEvents(ctx, to, EventMessage{Events: []Event{e}, RelayRange: r})
		return err
	}
}

// HandlePing answers a ping of an authenticated peer.
func (ms *Membership) HandlePing(name, incarnation string, h PingPayload) PingPayload {
	ms.cfg.BeforeStep()
	ms.pauses.Check()
	ms.mu.Lock()
	if h.Self != nil && h.Self.Name == name && h.Self.Incarnation == incarnation {
		ms.merge(*h.Self)
	}
	rec := ms.current(Member{Name: name, Incarnation: incarnation})
	var from Member
	if rec != nil {
		ms.mergePingPayload(rec, h)
		ms.recordCall(rec)
		from = rec.member
	}
	ms.mu.Unlock()
	if rec != nil {
		ms.cfg.OnPingPayload(from, h)
	}
	// A reply with Self to a ping without Self asks the sender to describe itself.
	return ms.pingPayload(rec == nil || h.Self != nil)
}

// HandleEvents handles a message of an authenticated peer, and relays its events
// when the message asks for it. Suspect events are answered but not relayed.
func (ms *Membership) HandleEvents(ctx context.Context, name, incarnation string, msg EventMessage) EventReply {
	ms.cfg.BeforeStep()
	ms.pauses.Check()
	ms.mu.Lock()
	if rec := ms.current(Member{Name: name, Incarnation: incarnation}); rec != nil {
		ms.recordCall(rec)
	}
	ms.mu.Unlock()
	reply := EventReply{Alive: make([]bool, len(msg.Events))}
	var relayed []Event
	for i, e := range msg.Events {
		switch e.Kind {
		case Suspect:
			reply.Alive[i] = ms.checkReachable(ctx, e.Member)
			continue
		case Dead:
			reply.Alive[i] = ms.handleReportedDead(e.Member)
		case Stopped:
			ms.handleStopped(e.Member)
		case Joined, Leaving:
			ms.handleAnnounced(e.Member, e.Member.Incarnation == incarnation)
		default:
			continue
		}
		relayed = append(relayed, e)
	}
	if msg.WantMembers {
		reply.Members = ms.Live()
	}
	if msg.RelayRange.Relay && len(relayed) > 0 {
		ms.spawn(func() {
			ms.Broadcast(ms.ctx, func(ctx context.Context, to Member, r RelayRange) error {
				_, err := ms.cfg.SendEvents(ctx, to, EventMessage{Events: relayed, RelayRange: r})
				return err
			}, RelayRange{First: msg.RelayRange.First, End: msg.RelayRange.End})
		})
	}
	return reply
}

// heardRecently reports whether a member was heard within recentWindow. The caller
// holds ms.mu.
func (ms *Membership) heardRecently(rec *peerRecord) bool {
	return time.Since(rec.lastHeard) < recentWindow
}

// checkReachable reports whether this process reaches a member. It pings the
// member unless it was heard recently.
func (ms *Membership) checkReachable(ctx context.Context, m Member) bool {
	ms.mu.Lock()
	if m.Incarnation == ms.self.Incarnation {
		ms.mu.Unlock()
		return true
	}
	rec := ms.current(m)
	recent := rec != nil && ms.heardRecently(rec)
	ms.mu.Unlock()
	if recent {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := ms.cfg.Ping(ctx, m, ms.pingPayload(true))
	return err == nil
}

// handleReportedDead handles a report that a member is dead. It starts a ping of
// its own before it accepts the report, and returns true when the member was
// heard recently.
func (ms *Membership) handleReportedDead(m Member) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if m.Incarnation == ms.self.Incarnation {
		return true
	}
	rec := ms.current(m)
	switch {
	case rec == nil || rec.state == unreachable:
		return false
	case ms.heardRecently(rec):
		// The member may have died right after it was heard: ping it later.
		ms.spawn(func() { ms.verifyDeath(m, recentWindow) })
		return true
	}
	wait := time.Duration(ms.rand.Int63n(int64(ms.processCount()+1))) * verifyDelayPerMember
	ms.spawn(func() { ms.verifyDeath(m, wait) })
	return false
}

// verifyDeath pings a member that was reported dead, after a delay, and marks it
// unreachable when it does not answer.
func (ms *Membership) verifyDeath(m Member, wait time.Duration) {
	if !clock.Sleep(ms.ctx, wait) {
		return
	}
	ms.cfg.BeforeStep()
	pauses := ms.pauses.Check()
	if ms.ping(ms.ctx, m) || ms.pauses.Check() != pauses {
		return
	}
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if rec := ms.current(m); rec != nil && rec.state != unreachable && !ms.heardRecently(rec) {
		rec.state, rec.unreachableSince, rec.confirming = unreachable, time.Now(), false
	}
}

// handleStopped marks a member unreachable that announced its end.
func (ms *Membership) handleStopped(m Member) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if rec := ms.current(m); rec != nil {
		rec.state, rec.unreachableSince = unreachable, time.Now()
	}
}

// handleAnnounced records a member named in a Joined or Leaving event; direct tells
// that the member itself sent it. Right after a pause the message may be old, so
// that an unreachable member must answer a ping before it is listed again.
func (ms *Membership) handleAnnounced(m Member, direct bool) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	rec := ms.merge(m)
	switch {
	case rec == nil:
	case ms.mayBeBacklogged():
		ms.markUnverified(rec)
	case direct:
		ms.markLive(rec)
	default:
		ms.recordListed(rec)
	}
}

// recordListed records that a live member lists the member of rec, which makes an
// unverified member live. A member that is unreachable from here must answer a
// ping first. The caller holds ms.mu.
func (ms *Membership) recordListed(rec *peerRecord) {
	if rec.state == unverified {
		rec.state = live
		return
	}
	ms.markUnverified(rec)
}

// markUnverified makes an unreachable member unverified, so that it is pinged again.
// The caller holds ms.mu.
func (ms *Membership) markUnverified(rec *peerRecord) {
	if rec.state == unreachable {
		rec.state, rec.misses = unverified, 0
	}
}

// exchangeLists announces this process to a member and merges the member's list.
func (ms *Membership) exchangeLists(ctx context.Context, to Member) bool {
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	pauses := ms.pauses.Check()
	reply, err := ms.cfg.SendEvents(ctx, to, EventMessage{Events: []Event{{Kind: Joined, Member: ms.Self()}}, WantMembers: true})
	if err != nil || ms.pauses.Check() != pauses {
		return false
	}
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, m := range reply.Members {
		if rec := ms.merge(m); rec != nil {
			ms.recordListed(rec)
		}
	}
	return true
}

// syncPeerCount is the number of members that syncLists asks for their lists.
const syncPeerCount = 3

// syncLists merges the lists of a few members, or of seeds, when this process has
// no live member: after its start and after a pause.
func (ms *Membership) syncLists(ctx context.Context) {
	var to []Member
	ms.mu.Lock()
	for _, rec := range ms.peers {
		switch {
		case rec.state == live:
			ms.mu.Unlock()
			return
		case rec.state == unverified:
			to = append(to, rec.member)
		}
	}
	if len(to) == 0 {
		for name, address := range ms.cfg.Seeds {
			if name != ms.self.Name {
				to = append(to, Member{Name: name, PeerAddress: address})
			}
		}
	}
	ms.rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	ms.mu.Unlock()
	var wg sync.WaitGroup
	for _, m := range to[:min(syncPeerCount, len(to))] {
		wg.Go(func() { ms.exchangeLists(ctx, m) })
	}
	wg.Wait()
}
