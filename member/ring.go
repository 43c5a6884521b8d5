package member

import (
	"context"
	"math"
	"sort"
	"sync"
	"time"
)

// Times and widths of spreading and watching.
const (
	watchers      = 3 // ring neighbours that ping a member
	directSpread  = 32
	spreadSenders = 16 // messages of one spread that are under way at once
	spreadTimeout = time.Second
	deathWindow   = 10 * time.Second // deaths of the last so long widen the watch
	maxWatch      = 64
)

// ring returns the names of the live members, this process included, in
// order. It needs the lock.
func (t *Membership) ring() []string {
	names := []string{t.self.Name}
	for n, e := range t.entries {
		if e.state == live {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	return names
}

// watch returns the names that this process pings: its successors on the
// ring. When members die in a row, as when a failure domain is lost, the watch
// doubles with the deaths, so that n neighbours are found in log2(n) rounds.
// It needs the lock.
func (t *Membership) watch(now time.Time) []string {
	recent := t.deaths[:0]
	for _, d := range t.deaths {
		if now.Sub(d) < deathWindow {
			recent = append(recent, d)
		}
	}
	t.deaths = recent
	names := t.ring()
	at := sort.SearchStrings(names, t.self.Name)
	width := min(watchers+len(recent), maxWatch, len(names)-1)
	out := make([]string, 0, width)
	for i := 1; i <= width; i++ {
		out = append(out, names[(at+i)%len(names)])
	}
	return out
}

// before returns the live name that precedes a name on the ring. It needs the
// lock.
func (t *Membership) before(name string) string {
	names := t.ring()
	at := sort.SearchStrings(names, name)
	return names[(at-1+len(names))%len(names)]
}

// helpers returns live members that watch a name too. It needs the lock.
func (t *Membership) helpers(name string) []Member {
	names := t.ring()
	at := sort.SearchStrings(names, name)
	var out []Member
	for i := 1; i < len(names) && len(out) < watchers-1; i++ {
		n := names[(at-i+2*len(names))%len(names)]
		e := t.entries[n]
		if n == name || e == nil || e.misses > 0 {
			continue
		}
		out = append(out, e.member)
	}
	return out
}

// Broadcast sends a message to the live members in a range of names, or to all
// with the zero Reach. Up to directSpread members are called directly. Of a
// larger membership one member of each of sqrt(n) groups is called, which
// passes the message on to its group, so that every member has it after two
// hops. It returns when all calls have ended.
func (t *Membership) Broadcast(ctx context.Context, send func(context.Context, Member, RelayRange) error, in RelayRange) {
	var to []Member
	for _, m := range t.Live() {
		if m.Name != t.cfg.Self.Name && m.Name >= in.First && (in.End == "" || m.Name < in.End) {
			to = append(to, m)
		}
	}
	size := 1
	if len(to) > directSpread && in.End == "" && in.First == "" {
		size = int(math.Ceil(math.Sqrt(float64(len(to)))))
	}
	slots := make(chan struct{}, spreadSenders)
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

// relays is how many members of a group are tried before the sender calls
// the whole group itself.
const relays = 3

func sendGroup(ctx context.Context, send func(context.Context, Member, RelayRange) error, group []Member, r RelayRange) {
	one := func(m Member, r RelayRange) error {
		ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
		defer cancel()
		return send(ctx, m, r)
	}
	if !r.Relay {
		_ = one(group[0], RelayRange{})
		return
	}
	for i := range min(relays, len(group)) {
		if one(group[i], r) == nil {
			return
		}
	}
	for _, m := range group[min(relays, len(group)):] {
		_ = one(m, RelayRange{})
	}
}
