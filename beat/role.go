package beat

import (
	"maps"
	"slices"
	"time"

	"github.com/cranberrybay/cranberrybay/clock"
)

// sorted returns processes in the order of their names.
func sorted(set map[string]*member) []*member {
	out := make([]*member, 0, len(set))
	for _, name := range slices.Sorted(maps.Keys(set)) {
		out = append(out, set[name])
	}
	return out
}

// judge notes processes that fell silent and works out which one is the hub. The
// caller holds mu.
func (r *Membership) judge(now time.Duration) {
	limit := r.deadline()
	alone := now-r.last > aloneAfter
	for name, m := range r.members {
		quiet := now - max(m.heard, r.since)
		switch {
		case m.silent:
		case r.isHub(), name == r.hub:
			r.silence(m, quiet > limit && now-m.named > limit, now)
		case alone:
			r.silence(m, true, now)
		}
		if m.silent && now-max(m.heard, m.named) > forgetAfter {
			delete(r.members, name)
			r.cfg.Log.Info().Str("peer", name).Msg("peer forgotten")
		}
	}
	for name, m := range r.others {
		if m.hub && r.isHub() {
			r.silence(m, now-m.heard > limit, now)
			m.hub = !m.silent
		} else {
			m.silent = m.silent || now-m.named > 3*listEvery
		}
		if now-max(m.heard, m.named) > forgetAfter {
			delete(r.others, name)
		}
	}
	r.choose(now)
}

// silence notes that a process is silent.
func (r *Membership) silence(m *member, silent bool, now time.Duration) {
	if !silent || m.silent {
		return
	}
	m.silent, r.changed = true, true
	r.cfg.Log.Warn().Str("peer", m.peer.Name).Dur("silent", now-m.heard).Msg("peer is silent")
}

// choose works out which process is the hub: of those that live the one that has a
// configuration and does not leave, with the most processor time. The caller holds mu.
func (r *Membership) choose(now time.Duration) {
	self := r.cfg.Self
	best := &member{peer: self, settled: r.state.Settled, leaving: r.state.Leaving}
	for _, m := range r.members {
		if !m.silent && m.before(best) {
			best = m
		}
	}
	if best.peer.Name == r.hub {
		return
	}
	r.hub, r.since, r.changed = best.peer.Name, now, true
	r.cfg.Log.Info().Str("peer", r.hub).Int("processes", r.domainSize()).Msg("hub of the failure domain")
}

// before tells whether a process goes before another one as the hub.
func (m *member) before(o *member) bool {
	switch {
	case m.settled != o.settled:
		return m.settled
	case m.leaving != o.leaving:
		return o.leaving
	default:
		return ahead(m.peer.Weight, m.peer.Name, o.peer.Weight, o.peer.Name)
	}
}

// HubPeer returns the hub of this failure domain, and since when it is.
func (r *Membership) HubPeer() (p Peer, since time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[r.hub]; m != nil {
		return m.peer, clock.Now() - r.since
	}
	return r.cfg.Self, clock.Now() - r.since
}
