// Package beat exchanges heartbeats between entry processes. A heartbeat tells
// that a process is alive and ready and what it has in flight at each backend
// server, so that processes that choose at the same time see each other's load
// without asking the backend servers.
package beat

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/watch"
	"github.com/cranberrybay/cranberrybay/wire"
)

// Peer is another entry process as its row in the platform's table names it.
type Peer struct {
	Name    string
	Address string // of heartbeats, IP:PORT
	Callers string // for callers, IP:PORT
	Domain  string
}

// State is what this process says of itself.
type State struct {
	Ready   bool
	Leaving bool
	Lease   Lease  // of this process; its fencing number is 0 when it has none to tell of
	Seen    []Seen // what this process's own polls of the platform showed
}

// Lease is what a holder of the lease for placing layers says of it.
type Lease struct {
	Fence    uint64
	Revision uint64        // of the row that the holder wrote last
	Until    time.Duration // clock.Now after which nothing is sent under that row
	Ended    bool          // nothing is or will be under way under the fencing number
}

// Seen says that a process knows all changes of a table up to a moment of the
// platform's clock.
type Seen struct {
	Table   string
	Changed uint64 // revision of the table's last change
	Clock   time.Duration
}

// Page holds the changes of a table.
type Page struct {
	Seen
	After    uint64 // revision of the table's last change before them
	Revision uint64 // of the platform when the page was made
	Rows     []watch.Row
}

// Work is what a process has in flight at a backend server.
type Work struct {
	Server  string
	Streams int
	Tokens  int64 // layer tokens of KV cache
}

// Config holds the parts of a Ring.
type Config struct {
	Self        Peer
	Incarnation uint64
	State       func() State
	Work        func() []Work
	Send        func(address string, b []byte) error
	Weight      int        // thousandths of a core
	Heard       func(Seen) // takes what readers know; may be nil
	Offer       func(Page) // takes changes that readers polled; may be nil
	// Dead takes the hashes of backend servers that a peer found dead; may be nil.
	Dead func(servers []uint64)
	Log  zerolog.Logger
}

const (
	// interval between two heartbeats while there are few processes.
	interval = 400 * time.Millisecond
	// readerInterval is that of processes that poll the platform for the others:
	// the age of the configuration at the others grows with it.
	readerInterval = 500 * time.Millisecond
	// alertEvery is how often the same backend server is told dead: as long as
	// the peers avoid it.
	alertEvery = 1500 * time.Millisecond
	// maxAlerts bounds the backend servers that are remembered as told.
	maxAlerts = 1000
	// maxPage bounds the changes that are relayed, in bytes; the others read
	// larger ones themselves.
	maxPage = 48 << 10
	// fewPeers is the number of peers up to which every heartbeat goes to each;
	// with more, the interval grows so that the rate of datagrams stays.
	fewPeers = 16
	// missed heartbeats make a peer count as silent.
	missed = 3.4
	// forgetAfter is how long a peer that is not in the table is kept without a
	// heartbeat.
	forgetAfter = time.Minute
	// loadAge bounds how long the work of a silent peer counts.
	loadAge = 3 * time.Second
)

// Ring knows the other entry processes.
type Ring struct {
	cfg Config

	mu       sync.Mutex
	peers    map[string]*member
	ready    bool // this process, as its last heartbeat says
	sequence uint64
	lastFar  time.Duration            // clock.Now of the last heartbeat to all
	totals   map[uint64]total         // work of all peers
	lease    Lease                    // that the newest holder among the peers told of
	alerts   map[uint64]time.Duration // clock.Now at which a backend server was last told dead
}

type total struct {
	streams int
	tokens  int64
}

type member struct {
	peer        Peer
	heard       time.Duration // clock.Now of the last heartbeat; 0 for never
	listed      time.Duration // clock.Now since when the peer is in the table
	incarnation uint64
	sequence    uint64
	ready       bool
	leaving     bool
	weight      uint32
	silent      bool
	work        []*wire.Inflight
}

// New returns a Ring without peers.
func New(cfg Config) *Ring {
	return &Ring{cfg: cfg, peers: map[string]*member{}, totals: map[uint64]total{}, alerts: map[uint64]time.Duration{}}
}

// Listed takes the peers of the platform's table.
func (r *Ring) Listed(all []Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	named := map[string]bool{}
	for _, p := range all {
		if p.Name == r.cfg.Self.Name {
			continue
		}
		named[p.Name] = true
		m := r.peers[p.Name]
		if m == nil || m.peer.Address != p.Address {
			m = &member{listed: clock.Now()}
			r.peers[p.Name] = m
			r.cfg.Log.Info().Str("peer", p.Name).Str("address", p.Address).Msg("peer listed")
		}
		m.peer = p
	}
	for name, m := range r.peers {
		if !named[name] && (m.leaving || m.silent) {
			r.forget(name)
		}
	}
	r.sum()
}

func (r *Ring) forget(name string) {
	delete(r.peers, name)
	r.cfg.Log.Info().Str("peer", name).Msg("peer forgotten")
}

// Interval returns the time between two heartbeats of this process to the peers of
// its failure domain.
func (r *Ring) Interval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	near, _ := r.intervals()
	if r.isReader() {
		return min(readerInterval, near)
	}
	return near
}

// intervals returns the time between two heartbeats to a peer of the same failure
// domain, and to any other. They grow with the number of peers, so that the rate
// of datagrams stays; near ones are more frequent, since callers are sent to them.
func (r *Ring) intervals() (near, far time.Duration) {
	n := 0
	for _, m := range r.peers {
		if m.peer.Domain == r.cfg.Self.Domain {
			n++
		}
	}
	scale := func(n int) time.Duration { return interval * time.Duration(max(fewPeers, n)) / fewPeers }
	return scale(n), scale(len(r.peers))
}

// deadline returns the silence after which a peer counts as gone.
func (r *Ring) deadline(m *member) time.Duration {
	near, far := r.intervals()
	if m.peer.Domain == r.cfg.Self.Domain {
		return time.Duration(missed * float64(near))
	}
	return time.Duration(missed * float64(far))
}

// Run sends heartbeats until the context ends.
func (r *Ring) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.Beat()
		d := r.Interval()
		select {
		case <-ctx.Done():
		case <-time.After(d*9/10 + rand.N(d/5)):
		}
	}
}

// Beat sends one heartbeat to each peer whose turn it is and notes those that fell
// silent.
func (r *Ring) Beat() {
	r.mu.Lock()
	_, far := r.intervals()
	now := clock.Now()
	all := now-r.lastFar >= far*9/10
	if all {
		r.lastFar = now
	}
	r.judge()
	r.mu.Unlock()
	r.send(r.compose(nil, nil), all)
}

// compose encodes a heartbeat, with a page and dead servers if there are any.
func (r *Ring) compose(page *wire.Page, dead []uint64) []byte {
	s := r.cfg.State()
	b := &wire.Beat{
		Name: r.cfg.Self.Name, Incarnation: r.cfg.Incarnation, Domain: r.cfg.Self.Domain, Callers: r.cfg.Self.Callers,
		Ready: s.Ready, Leaving: s.Leaving, Address: r.cfg.Self.Address, Weight: uint32(r.cfg.Weight), Dead: dead,
	}
	if s.Lease.Fence > 0 {
		left := (s.Lease.Until - clock.Now()).Milliseconds()
		b.Lease = &wire.Lease{Fence: s.Lease.Fence, Revision: s.Lease.Revision, Left: left, Ended: s.Lease.Ended}
	}
	if page != nil {
		b.Pages = append(b.Pages, page)
	}
	for _, w := range r.cfg.Work() {
		b.Work = append(b.Work, &wire.Inflight{Server: Hash(w.Server), Streams: uint32(w.Streams), Tokens: uint64(w.Tokens)})
	}
	r.mu.Lock()
	r.ready = s.Ready
	r.sequence++
	b.Sequence = r.sequence
	if r.isReader() {
		for _, x := range s.Seen {
			b.Seen = append(b.Seen, &wire.Seen{Table: x.Table, Changed: x.Changed, Clock: x.Clock.Milliseconds()})
		}
	}
	r.mu.Unlock()
	raw, err := proto.Marshal(b)
	if err != nil {
		r.cfg.Log.Error().Err(err).Msg("encode heartbeat")
		return nil
	}
	return raw
}

// send sends a datagram to all peers, or to those of the same failure domain.
func (r *Ring) send(raw []byte, all bool) {
	if raw == nil {
		return
	}
	r.mu.Lock()
	var targets []string
	for _, m := range r.peers {
		if all || m.peer.Domain == r.cfg.Self.Domain {
			targets = append(targets, m.peer.Address)
		}
	}
	r.mu.Unlock()
	for _, address := range targets {
		if err := r.cfg.Send(address, raw); err != nil {
			r.cfg.Log.Debug().Err(err).Str("address", address).Msg("heartbeat not sent")
		}
	}
}

// judge notes peers that fell silent.
func (r *Ring) judge() {
	now := clock.Now()
	for name, m := range r.peers {
		silent := now-max(m.heard, m.listed) > r.deadline(m)
		if silent && !m.silent {
			r.cfg.Log.Warn().Str("peer", name).Dur("silent", now-m.heard).Msg("peer is silent")
		}
		m.silent = silent
		if now-max(m.heard, m.listed) > forgetAfter {
			r.forget(name)
		}
	}
	r.sum()
}

// Receive takes a datagram.
func (r *Ring) Receive(raw []byte) {
	var b wire.Beat
	if err := proto.Unmarshal(raw, &b); err != nil || b.Name == "" || b.Name == r.cfg.Self.Name {
		r.cfg.Log.Debug().Err(err).Int("bytes", len(raw)).Msg("datagram is no heartbeat")
		return
	}
	if r.note(&b) {
		r.relay(&b)
		r.alerted(b.Dead)
	}
}

// note takes what a peer says of itself and reports whether it is news.
func (r *Ring) note(b *wire.Beat) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.peers[b.Name]
	if m == nil {
		// It started after the table was read.
		m = &member{listed: clock.Now(), peer: Peer{Name: b.Name, Address: b.Address, Callers: b.Callers, Domain: b.Domain}}
		r.peers[b.Name] = m
		r.cfg.Log.Info().Str("peer", b.Name).Str("address", b.Address).Msg("peer heard")
	}
	if m.incarnation == b.Incarnation && b.Sequence <= m.sequence {
		return len(b.Pages) > 0 || len(b.Dead) > 0 // datagrams overtake each other
	}
	if m.silent {
		r.cfg.Log.Info().Str("peer", b.Name).Msg("peer is back")
	}
	m.incarnation, m.sequence, m.heard, m.silent = b.Incarnation, b.Sequence, clock.Now(), false
	m.ready, m.leaving, m.weight, m.work = b.Ready, b.Leaving, b.Weight, b.Work
	r.leased(b.Lease)
	r.sum()
	return true
}

// Reader tells whether this process polls the platform for its failure domain:
// the one with the most processor time of those that are ready does, so that the
// calls do not grow with the number of processes. In an outage of the platform
// none is ready, and one reader is enough to see its end.
func (r *Ring) Reader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isReader()
}

func (r *Ring) isReader() bool {
	first := true // among all processes of the domain
	for name, m := range r.peers {
		if m.silent || m.leaving || m.heard == 0 || m.peer.Domain != r.cfg.Self.Domain {
			continue
		}
		before := m.weight > uint32(r.cfg.Weight) || (m.weight == uint32(r.cfg.Weight) && name < r.cfg.Self.Name)
		if before && m.ready {
			return false
		}
		first = first && !before
	}
	return first || r.ready
}

// sum adds up the work of all peers.
func (r *Ring) sum() {
	now := clock.Now()
	clear(r.totals)
	for _, m := range r.peers {
		if now-m.heard > loadAge {
			continue
		}
		for _, w := range m.work {
			t := r.totals[w.Server]
			t.streams += int(w.Streams)
			t.tokens += int64(w.Tokens)
			r.totals[w.Server] = t
		}
	}
}

// Others returns what the peers have in flight at a backend server.
func (r *Ring) Others(server string) (streams int, tokens int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.totals[Hash(server)]
	return t.streams, t.tokens
}

// leased takes what a holder says. The newest fencing number counts, and of that
// its end, or else the newest row. The caller holds mu.
func (r *Ring) leased(l *wire.Lease) {
	if l == nil || l.Fence < r.lease.Fence || (l.Fence == r.lease.Fence && (r.lease.Ended || (!l.Ended && l.Revision < r.lease.Revision))) {
		return
	}
	// The way of the heartbeat only makes the time longer.
	left := time.Duration(min(l.Left, maxLeft.Milliseconds())) * time.Millisecond
	r.lease = Lease{Fence: l.Fence, Revision: l.Revision, Until: clock.Now() + left, Ended: l.Ended}
}

// maxLeft bounds the time that a holder may say is left.
const maxLeft = time.Minute

// Lease returns what the last holder among the peers said, and false when none did.
func (r *Ring) Lease() (Lease, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease, r.lease.Fence > 0
}

// Held tells whether a peer said that it holds the lease, for a time that has not
// passed.
func (r *Ring) Held() bool {
	l, ok := r.Lease()
	return ok && !l.Ended && clock.Now() < l.Until
}

// Size returns the number of entry processes, this one included.
func (r *Ring) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.peers) + 1
}

// Callers returns the addresses for callers of the peers that are ready, those
// of a failure domain first; local tells how many these are. A peer that is
// listed but was not heard yet counts as ready for a moment.
func (r *Ring) Callers(domain string) (addresses []string, local int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var far []string
	for _, name := range slices.Sorted(maps.Keys(r.peers)) {
		m := r.peers[name]
		if m.silent || !m.ready || m.leaving {
			continue
		}
		if m.peer.Domain == domain {
			addresses = append(addresses, m.peer.Callers)
		} else {
			far = append(far, m.peer.Callers)
		}
	}
	return append(addresses, far...), len(addresses)
}
