// Package beat exchanges heartbeats between entry processes. A heartbeat tells that a
// process is alive and ready and what it has in flight at each backend server, so that
// processes that choose at the same time see each other's load without asking the
// backend servers.
//
// The processes of a failure domain send their heartbeats to one of them, the hub. It
// tells them all what it has heard, and the hubs of the failure domains tell each
// other, so that what a process sends and receives does not grow with the number of
// processes elsewhere. Every process works out by itself which one is the hub; when two
// do so differently for a while, both are heard.
//
// A Ring has one lock, under which nothing outside the package is called.
package beat

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/seal"
	"github.com/cranberrybay/cranberrybay/watch"
	"github.com/cranberrybay/cranberrybay/wire"
)

// Peer is another entry process.
type Peer struct {
	Name    string
	Address string // of heartbeats, IP:PORT
	Callers string // for callers, IP:PORT
	Domain  string
	Weight  uint32 // thousandths of a core that it may use
}

// State is what this process says of itself.
type State struct {
	Ready      bool
	Leaving    bool
	Settled    bool        // has a configuration, so that it may be the hub
	Lease      Lease       // of this process; its fencing number is 0 when it has none to tell of
	Watermarks []Watermark // the newest that this process knows of the platform's tables
}

// Lease is what a holder of the lease for placing layers says of it.
type Lease struct {
	Fence    uint64
	Revision uint64        // of the row that the holder wrote last
	Until    time.Duration // clock.Now after which nothing is sent under that row
	Ended    bool          // nothing is or will be under way under the fencing number
}

// Watermark says up to which moment of the platform's clock all changes of a table are
// known.
type Watermark struct {
	Table   string
	Changed uint64 // revision of the table's last change
	Clock   time.Duration
}

// Page holds the changes of a table.
type Page struct {
	Watermark
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
	Clock       func() time.Duration // of the platform; 0 when it is not known
	Work        func() []Work
	Send        func(address string, b []byte) error
	Sealer      *seal.Sealer
	OnWatermark func(Watermark) // takes what other processes know; may be nil
	OnPage      func(Page)      // takes changes that other processes polled; may be nil
	// OnDead takes the hashes of backend servers that a peer found dead; may be nil.
	OnDead func(servers []uint64)
	// OnNewerKey is told that there is a key that this process does not know; may be nil.
	OnNewerKey func()
	// OnDropped counts a datagram that is not believed, by reason; may be nil.
	OnDropped func(reason string)
	Log       zerolog.Logger
}

const (
	// interval between two heartbeats. It grows with the processes of a failure domain
	// beyond manyMembers, so that a hub with a fifth of a core carries them.
	interval    = 250 * time.Millisecond
	manyMembers = 64
	// missed heartbeats make a process count as silent.
	missed = 4
	// aloneAfter is the time without any heartbeat from its failure domain after which
	// a process acts as the hub: it may be cut off from all of them.
	aloneAfter = 2 * time.Second
	// listEvery is how often a hub tells which processes there are when nothing
	// changes.
	listEvery = 2 * time.Second
	// forgetAfter is how long a silent process is sent heartbeats, so that one that was
	// frozen or cut off finds its way back.
	forgetAfter = time.Minute
	// loadAge bounds how long the work of a silent process counts.
	loadAge = 3 * time.Second
	// clockSlack is how far the platform's clock of a message may be from that of the
	// receiver; older ones may have been recorded and sent again.
	clockSlack = 5 * time.Second
	// pollers is the number of hubs that poll the platform for all processes; the
	// second is there in case the first is cut off from the platform alone.
	pollers = 2
	// callersToldElsewhere bounds the ready processes that a hub names to other failure
	// domains, whose callers come when they have none of their own.
	callersToldElsewhere = 16
)

// Membership knows the other entry processes.
type Membership struct {
	cfg Config

	mu       sync.Mutex
	members  map[string]*member // of this failure domain, without this process
	others   map[string]*member // of other failure domains: hubs, and processes for callers
	hub      string             // name of the hub of this failure domain
	since    time.Duration      // clock.Now since when it is
	told     int                // processes in all, as the hub says
	reported map[uint32]load    // work of this process in its last heartbeat to the hub
	totals   map[uint32]load    // work of all other processes, as far as this one knows
	state    State              // of this process, as its last heartbeat said
	sequence uint64
	turns    uint64        // heartbeats so far
	last     time.Duration // clock.Now of the last heartbeat from this failure domain
	beaten   time.Duration // clock.Now of this process's last heartbeat
	listed   time.Duration // clock.Now when the processes were last told
	changed  bool          // a process came, left or changed since
	lease    Lease         // that the newest holder among the others told of
	alerts   map[uint64]time.Duration
	drops    map[string]time.Duration // by reason, clock.Now of the last line in the log
}

// member is another process.
type member struct {
	peer        Peer
	incarnation uint64
	window      seal.ReplayWindow
	heard       time.Duration // clock.Now of the last heartbeat; 0 for never
	named       time.Duration // clock.Now when a hub last named it
	ready       bool
	leaving     bool
	settled     bool
	silent      bool
	hub         bool // takes itself for a hub, by its last heartbeat
	loads       map[uint32]load
	size        int // processes that a hub of another failure domain speaks for
}

// New returns a Ring that knows no other process.
func New(cfg Config) *Membership {
	if cfg.OnDropped == nil {
		cfg.OnDropped = func(string) {}
	}
	if cfg.OnNewerKey == nil {
		cfg.OnNewerKey = func() {}
	}
	now := clock.Now()
	return &Membership{
		cfg: cfg, members: map[string]*member{}, others: map[string]*member{}, hub: cfg.Self.Name, since: now, last: now, beaten: now,
		alerts: map[uint64]time.Duration{}, drops: map[string]time.Duration{},
	}
}

// AddPeers takes processes that others told of, as when this process starts.
func (r *Membership) AddPeers(all []Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, before := clock.Now(), len(r.members)+len(r.others)
	for _, p := range all {
		if p.Name == r.cfg.Self.Name {
			continue
		}
		m, _ := r.find(p)
		m.peer, m.named, m.settled, m.silent = p, now, true, false
	}
	r.logNamed("", before)
	r.choose(now)
}

// logNamed writes one line about the processes that somebody named for the first time.
func (r *Membership) logNamed(by string, before int) {
	if n := len(r.members) + len(r.others); n > before {
		r.cfg.Log.Info().Str("by", by).Int("new", n-before).Int("peers", n).Msg("peers named")
	}
}

// find returns the record of a process, and whether it is new. The caller holds mu.
func (r *Membership) find(p Peer) (m *member, fresh bool) {
	set := r.others
	if p.Domain == r.cfg.Self.Domain {
		set = r.members
	}
	m = set[p.Name]
	if m == nil {
		m, fresh = &member{peer: p}, true
		set[p.Name] = m
		r.changed = true
	}
	return m, fresh
}

// Run sends heartbeats until the context ends.
func (r *Membership) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.SendHeartbeat()
		d := r.Interval()
		select {
		case <-ctx.Done():
		case <-time.After(d*9/10 + rand.N(d/5)):
		}
	}
}

// Interval returns the time between two heartbeats of this process.
func (r *Membership) Interval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.interval()
}

func (r *Membership) interval() time.Duration {
	return interval * time.Duration(max(manyMembers, len(r.members))) / manyMembers
}

// deadline returns the silence after which a process counts as gone.
func (r *Membership) deadline() time.Duration { return missed * r.interval() }

// IsHub tells whether this process speaks for its failure domain.
func (r *Membership) IsHub() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isHub()
}

func (r *Membership) isHub() bool { return r.hub == r.cfg.Self.Name }

// IsPoller tells whether this process polls the platform for the others: the hubs with
// the most processor time do, so that the calls do not grow with the number of
// processes or failure domains.
func (r *Membership) IsPoller() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isHub() {
		return false
	}
	before, now := 0, clock.Now()
	for name, m := range r.others {
		if m.hub && now-m.heard < r.deadline() && ahead(m.peer.Weight, name, r.cfg.Self.Weight, r.cfg.Self.Name) {
			before++
		}
	}
	return before < pollers
}

// ahead orders processes: more processor time first, then by name.
func ahead(weight uint32, name string, than uint32, other string) bool {
	return weight > than || (weight == than && name < other)
}

// PeerLoad returns what the other processes have in flight at a backend server.
func (r *Membership) PeerLoad(server string) (streams int, tokens int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.totals[short(Hash(server))]
	return x.streams, x.tokens
}

// leased takes what a holder says. The newest fencing number counts, and of that
// its end, or else the newest row. The caller holds mu.
func (r *Membership) leased(l *wire.Lease) {
	if l == nil || l.Fence < r.lease.Fence || (l.Fence == r.lease.Fence && (r.lease.Ended || (!l.Ended && l.Revision < r.lease.Revision))) {
		return
	}
	// The way of the heartbeat only makes the time longer.
	until := clock.Now() + time.Duration(min(l.Left, maxLeft.Milliseconds()))*time.Millisecond
	if l.Fence == r.lease.Fence && l.Revision == r.lease.Revision && !l.Ended {
		until = min(until, r.lease.Until)
	}
	r.lease = Lease{Fence: l.Fence, Revision: l.Revision, Until: until, Ended: l.Ended}
}

// maxLeft bounds the time that a holder may say is left.
const maxLeft = time.Minute

// Lease returns what the last holder among the others said, and false when none did.
func (r *Membership) Lease() (Lease, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease, r.lease.Fence > 0
}

// LeaseHeldByPeer tells whether another process said that it holds the lease, for longer than a
// time from now.
func (r *Membership) LeaseHeldByPeer(left time.Duration) bool {
	l, ok := r.Lease()
	return ok && !l.Ended && clock.Now()+left < l.Until
}

// Size returns the number of entry processes, this one included.
func (r *Membership) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.size()
}

func (r *Membership) size() int {
	if !r.isHub() {
		return max(r.told, 1)
	}
	n, now := r.domainSize(), clock.Now()
	for _, m := range r.others {
		if m.hub && now-m.heard < loadAge {
			n += m.size
		}
	}
	return n
}

// domainSize returns the number of live processes of this failure domain.
func (r *Membership) domainSize() int {
	n := 1
	for _, m := range r.members {
		if !m.silent {
			n++
		}
	}
	return n
}

// CallerAddresses returns the addresses for callers of the other processes that are ready,
// those of a failure domain first; local tells how many these are.
func (r *Membership) CallerAddresses(domain string) (addresses []string, local int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var far []string
	for _, set := range []map[string]*member{r.members, r.others} {
		for _, m := range sorted(set) {
			switch {
			case m.silent || !m.ready || m.leaving:
			case m.peer.Domain == domain:
				addresses = append(addresses, m.peer.Callers)
			default:
				far = append(far, m.peer.Callers)
			}
		}
	}
	return append(addresses, far...), len(addresses)
}

// Peers returns the processes that are known, for one that starts.
func (r *Membership) Peers() []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []Peer{r.cfg.Self}
	for _, set := range []map[string]*member{r.members, r.others} {
		for _, m := range sorted(set) {
			if !m.silent && !m.leaving {
				out = append(out, m.peer)
			}
		}
	}
	return out
}
