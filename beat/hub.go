package beat

import (
	"maps"
	"slices"
	"time"

	"github.com/cranberrybay/cranberrybay/clock"
)

// sortedByName returns the processes ordered by name.
func sortedByName(set map[string]*member) []*member {
	out := make([]*member, 0, len(set))
	for _, name := range slices.Sorted(maps.Keys(set)) {
		out = append(out, set[name])
	}
	return out
}

// detectSilent marks processes silent that missed their heartbeats, forgets those that
// have been silent for long, and elects the hub. The caller holds mu.
func (ms *Membership) detectSilent(now time.Duration) {
	limit := ms.deadline()
	isolated := now-ms.lastHeard > isolatedAfter
	for name, m := range ms.members {
		silentFor := now - max(m.heardAt, ms.hubSince)
		switch {
		case m.silent:
		case ms.isHub(), name == ms.hub:
			ms.markSilent(m, silentFor > limit && now-m.listedAt > limit, now)
		case isolated:
			ms.markSilent(m, true, now)
		}
		if m.silent && now-max(m.heardAt, m.listedAt) > forgetAfter {
			delete(ms.members, name)
			ms.cfg.Log.Info().Str("peer", name).Msg("peer forgotten")
		}
	}
	for name, m := range ms.others {
		if m.hub && ms.isHub() {
			ms.markSilent(m, now-m.heardAt > limit, now)
			m.hub = !m.silent
		} else {
			m.silent = m.silent || now-m.listedAt > 3*listInterval
		}
		if now-max(m.heardAt, m.listedAt) > forgetAfter {
			delete(ms.others, name)
		}
	}
	ms.electHub(now)
}

// markSilent marks a process silent if the condition holds.
func (ms *Membership) markSilent(m *member, silent bool, now time.Duration) {
	if !silent || m.silent {
		return
	}
	m.silent, ms.membersChanged = true, true
	ms.cfg.Log.Warn().Str("peer", m.peer.Name).Dur("silent", now-m.heardAt).Msg("peer is silent")
}

// electHub elects the hub among the live processes of this failure domain: one that has a
// configuration, reaches the platform and is not leaving, with the largest processor share. The caller holds mu.
func (ms *Membership) electHub(now time.Duration) {
	best := ms.self()
	for _, m := range ms.members {
		if !m.silent && m.precedes(best) {
			best = m
		}
	}
	if best.peer.Name == ms.hub {
		return
	}
	ms.hub, ms.hubSince, ms.membersChanged = best.peer.Name, now, true
	ms.cfg.Log.Info().Str("peer", ms.hub).Int("processes", ms.domainSize()).Msg("hub of the failure domain")
}

// self returns this process as a member. The caller holds mu.
func (ms *Membership) self() *member {
	return &member{peer: ms.cfg.Self, settled: ms.state.Settled, leaving: ms.state.Leaving}
}

// Rank returns the position of this process in the order in which the live processes of this failure
// domain become its hub; 0 for the hub.
func (ms *Membership) Rank() int {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if ms.isHub() {
		return 0
	}
	self, rank := ms.self(), 1
	for name, m := range ms.members {
		if !m.silent && name != ms.hub && m.precedes(self) {
			rank++
		}
	}
	return rank
}

// precedes reports whether a process is preferred to another one as the hub.
func (m *member) precedes(o *member) bool {
	switch {
	case m.settled != o.settled:
		return m.settled
	case m.leaving != o.leaving:
		return o.leaving
	default:
		return ranksBefore(m.peer.Weight, m.peer.Name, o.peer.Weight, o.peer.Name)
	}
}

// HubPeer returns the hub of this failure domain and how long it has been the hub. That time
// counts anew after a pause of this process.
func (ms *Membership) HubPeer() (p Peer, hubFor time.Duration) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if m := ms.members[ms.hub]; m != nil {
		return m.peer, clock.Now() - ms.hubSince
	}
	return ms.cfg.Self, clock.Now() - ms.hubSince
}
