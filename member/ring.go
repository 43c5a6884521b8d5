package member

import (
	"context"
	"math"
	"sort"
	"sync"
	"time"
)

const (
	watcherCount         = 3                // predecessors on the ring that ping a member
	maxDirectBroadcast   = 32               // members called directly; a larger broadcast is relayed
	broadcastConcurrency = 16               // concurrent calls of one broadcast
	broadcastTimeout     = time.Second      // of one call
	deathWindow          = 10 * time.Second // deaths this recent increase the number of members pinged
	maxWatchWidth        = 64               // members on the ring pinged at most
)

// ring returns the sorted names of the live members, this process included. The
// last name precedes the first. The caller holds ms.mu.
func (ms *Membership) ring() []string {
	names := []string{ms.self.Name}
	for n, rec := range ms.peers {
		if rec.state == live {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	return names
}

// watchTargets returns the names of the members that this process pings in every
// round: its successors on the ring. Their number grows with recent deaths. When
// successive members die together, for example with their failure domain, it
// doubles from round to round, and n deaths are found in log2(n) rounds. The
// caller holds ms.mu.
func (ms *Membership) watchTargets(now time.Time) []string {
	recent := ms.recentDeaths[:0]
	for _, d := range ms.recentDeaths {
		if now.Sub(d) < deathWindow {
			recent = append(recent, d)
		}
	}
	ms.recentDeaths = recent
	names := ms.ring()
	at := sort.SearchStrings(names, ms.self.Name)
	width := min(watcherCount+len(recent), maxWatchWidth, len(names)-1)
	out := make([]string, 0, width)
	for i := 1; i <= width; i++ {
		out = append(out, names[(at+i)%len(names)])
	}
	return out
}

// predecessor returns the name of the live member that precedes a name on the ring.
// The caller holds ms.mu.
func (ms *Membership) predecessor(name string) string {
	names := ms.ring()
	at := sort.SearchStrings(names, name)
	return names[(at-1+len(names))%len(names)]
}

// helpers returns the other live members that ping a name in every round: up to
// watcherCount-1 predecessors on the ring that have missed no ping of this process. The
// caller holds ms.mu.
func (ms *Membership) helpers(name string) []Member {
	names := ms.ring()
	at := sort.SearchStrings(names, name)
	var out []Member
	for i := 1; i < len(names) && len(out) < watcherCount-1; i++ {
		n := names[(at-i+2*len(names))%len(names)]
		rec := ms.peers[n]
		if n == name || rec == nil || rec.misses > 0 {
			continue
		}
		out = append(out, rec.member)
	}
	return out
}

// Broadcast sends a message to the live members in a range of names, or to all
// with the zero RelayRange. It calls up to maxDirectBroadcast members directly. It
// divides a larger membership into sqrt(n) groups and calls one member of each,
// which relays the message to its group, so that every member has it after two
// hops. Broadcast returns when all calls have ended.
func (ms *Membership) Broadcast(ctx context.Context, send func(context.Context, Member, RelayRange) error, within RelayRange) {
	var to []Member
	for _, m := range ms.Live() {
		if m.Name != ms.cfg.Self.Name && m.Name >= within.First && (within.End == "" || m.Name < within.End) {
			to = append(to, m)
		}
	}
	size := 1
	if len(to) > maxDirectBroadcast && within.End == "" && within.First == "" {
		size = int(math.Ceil(math.Sqrt(float64(len(to)))))
	}
	slots := make(chan struct{}, broadcastConcurrency)
	var wg sync.WaitGroup
	for at := 0; at < len(to); at += size {
		group := to[at:min(at+size, len(to))]
		r := RelayRange{Relay: size > 1}
		if at > 0 {
			r.First = group[0].Name
		}
		if at+size < len(to) {
			r.End = to[at+size].Name
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			sendGroup(ctx, send, group, r)
		})
	}
	wg.Wait()
}

// relayAttempts is the number of members of a group that are asked to relay before
// the sender calls the rest of the group itself.
const relayAttempts = 3

// sendGroup sends a message to a group, through one of its members when r.Relay is
// set.
func sendGroup(ctx context.Context, send func(context.Context, Member, RelayRange) error, group []Member, r RelayRange) {
	sendOne := func(m Member, r RelayRange) error {
		ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
		defer cancel()
		return send(ctx, m, r)
	}
	if !r.Relay {
		_ = sendOne(group[0], RelayRange{})
		return
	}
	for i := range min(relayAttempts, len(group)) {
		if sendOne(group[i], r) == nil {
			return
		}
	}
	for _, m := range group[min(relayAttempts, len(group)):] {
		_ = sendOne(m, RelayRange{})
	}
}
