// Package beat implements membership and heartbeats between entry processes. A
// heartbeat reports that a process is alive and ready and what it has in flight at each
// backend server. Processes that choose servers at the same time therefore see each
// other's load without asking the backend servers.
//
// The processes of a failure domain send their heartbeats to one of them, the hub. The
// hub sends the combined state to all of them, and the hubs of the failure domains
// exchange theirs, so that the traffic of a process does not grow with the number of
// processes in other failure domains. Every process elects the hub on its own; while
// two processes disagree, both hubs are accepted.
//
// A Membership has one lock. No function outside the package is called while it is held.
package beat

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/intake"
	"github.com/cranberrybay/cranberrybay/pacer"
	"github.com/cranberrybay/cranberrybay/poison"
	"github.com/cranberrybay/cranberrybay/seal"
	"github.com/cranberrybay/cranberrybay/watch"
	"github.com/cranberrybay/cranberrybay/wire"
)

// Peer identifies another entry process.
type Peer struct {
	Name          string
	Address       string // for heartbeats, IP:PORT
	CallerAddress string // for callers, IP:PORT
	Domain        string
	Weight        uint32 // processor share in thousandths of a core
}

// State is the part of a heartbeat that describes this process.
type State struct {
	Ready      bool
	Leaving    bool
	Settled    bool        // has a configuration and reaches the platform, as a hub must
	Config     uint64      // version of the configuration in effect; 0 for none
	Lease      Lease       // of this process; fencing number 0 when it has none to announce
	Watermarks []Watermark // how far this process knows each platform table
}

// Lease is the announcement of a holder of the lease for placing layers.
type Lease struct {
	Fence    uint64
	Revision uint64        // of the row that the holder wrote last
	Until    time.Duration // clock.Now after which the holder sends nothing on the strength of that row
	Ended    bool          // no request under the fencing number is or will be in flight
}

// Watermark states the time on the platform's clock up to which all changes of a table
// are known.
type Watermark struct {
	Table   string
	Changed uint64 // revision of the table's last change
	Clock   time.Duration
}

// Page holds consecutive changes of a table.
type Page struct {
	Watermark
	After    uint64 // revision of the table's last change before this page
	Revision uint64 // of the platform when it answered
	Rows     []watch.Row
}

// Work is what a process has in flight at a backend server.
type Work struct {
	Server  string
	Streams int
	Tokens  int64 // layer tokens of KV cache
}

// Config holds the settings and callbacks of a Membership.
type Config struct {
	Self        Peer
	Incarnation uint64
	State       func() State
	Clock       func() time.Duration // of the platform; 0 when unknown
	Work        func() []Work
	Suspects    func() Suspects // may be nil
	Send        func(address string, b []byte) error
	Sealer      *seal.Sealer
	OnWatermark func(Watermark) // called with watermarks of other processes; may be nil
	OnPage      func(Page)      // called with changes that other processes polled; may be nil
	// OnDead is called with the hashes of backend servers that a peer reported dead;
	// may be nil.
	OnDead func(servers []uint64)
	// OnSuspects is called with what other processes know of parts of prompts; may be nil.
	OnSuspects func(records []poison.Record)
	// Rates returns what backend servers said of their rates; may be nil.
	Rates func() Rates
	// OnRates is called with what other processes know of the rates of backend servers; may be nil.
	OnRates func(records []pacer.Record)
	// Leavers returns the backend servers that said that they leave; may be nil.
	Leavers func() Leavers
	// OnLeavers is called with the backend servers that other processes heard to leave; may be nil.
	OnLeavers func(records []intake.Record)
	// OnConfig is called with the version of the configuration that another process has in effect; may
	// be nil.
	OnConfig func(version uint64, from Peer)
	// OnNewerKey is called when a message refers to a key that this process does not
	// have; may be nil.
	OnNewerKey func()
	// OnDropped is called with the reason when a received datagram is rejected or an
	// outgoing one can't be sealed; may be nil.
	OnDropped func(reason string)
	Log       zerolog.Logger
}

const (
	// baseInterval is the time between two heartbeats. It is stretched when a failure
	// domain has more than fullRateMembers processes, so that a hub with a fifth of a
	// core can handle them.
	baseInterval    = 250 * time.Millisecond
	fullRateMembers = 64
	// missedHeartbeats is the number of missed heartbeats after which a process counts
	// as silent.
	missedHeartbeats = 4
	// isolatedAfter is the time without any heartbeat from its failure domain after
	// which a process counts the others there as silent and so acts as the hub: it may be
	// cut off from all of them.
	isolatedAfter = 2 * time.Second
	// listInterval is the time between two process lists of a hub when nothing changes.
	listInterval = 2 * time.Second
	// forgetAfter is how long a silent process is still sent heartbeats, so that a
	// process that was frozen or cut off can rejoin.
	forgetAfter = time.Minute
	// maxLoadAge bounds how long the load of a silent process counts.
	maxLoadAge = 3 * time.Second
	// maxClockSkew bounds the difference between the platform clock in a message and
	// that of the receiver. Older messages may be recorded ones that are replayed.
	maxClockSkew = 5 * time.Second
	// pollerCount is the number of hubs that poll the platform for all processes. The
	// second one covers the case that only the first is cut off from the platform.
	pollerCount = 2
	// maxCallersElsewhere bounds the ready processes that a hub lists for other failure
	// domains. Callers there use them when their own domain has no ready process.
	maxCallersElsewhere = 16
)

// Membership tracks the other entry processes from their heartbeats.
type Membership struct {
	cfg Config

	mu             sync.Mutex
	members        map[string]*member // of this failure domain, except this process
	others         map[string]*member // of other failure domains: hubs, and processes that serve callers
	hub            string             // name of the hub of this failure domain
	hubSince       time.Duration      // clock.Now when it became the hub, or when this process last resumed after a pause
	reportedSize   int                // number of all processes, as reported by the hub
	reportedLoads  map[uint32]load    // load of this process in its last heartbeat to the hub
	peerLoads      map[uint32]load    // load of all other processes, as far as known
	peerLoadsAt    time.Duration      // clock.Now when peerLoads was last replaced
	state          State              // of this process, as in its last heartbeat
	sequence       uint64
	rounds         uint64                   // number of heartbeats sent
	lastHeard      time.Duration            // clock.Now of the last heartbeat from this failure domain
	lastSent       time.Duration            // clock.Now of this process's last heartbeat
	lastListed     time.Duration            // clock.Now when the process list was last sent
	membersChanged bool                     // a process joined, left or changed since then
	sharesFrom     time.Duration            // clock.Now from which this process takes part in what processes share
	sizePeak       int                      // largest number of processes since sizePeakSince
	oldSizePeak    int                      // the same for the sizeMemory before
	sizePeakSince  time.Duration            // clock.Now
	lease          Lease                    // newest announcement of another process
	deadReports    map[uint64]time.Duration // by ServerHash, clock.Now of the last report
	dropLoggedAt   map[string]time.Duration // by reason, clock.Now of the last log line
}

// member is the state of another process.
type member struct {
	peer        Peer
	incarnation uint64
	window      seal.ReplayWindow
	heardAt     time.Duration // clock.Now of the last heartbeat; 0 for never
	listedAt    time.Duration // clock.Now when a hub or AddPeers last listed it
	ready       bool
	leaving     bool
	settled     bool
	silent      bool
	hub         bool // acted as a hub in its last heartbeat
	loads       map[uint32]load
	size        int // number of processes that it reported as a hub: all for the hub of this failure domain, else those of its own
}

// New returns a Membership without other processes.
func New(cfg Config) *Membership {
	if cfg.OnDropped == nil {
		cfg.OnDropped = func(string) {}
	}
	if cfg.OnNewerKey == nil {
		cfg.OnNewerKey = func() {}
	}
	if cfg.Suspects == nil {
		cfg.Suspects = func() Suspects { return Suspects{} }
	}
	if cfg.Rates == nil {
		cfg.Rates = func() Rates { return Rates{} }
	}
	if cfg.Leavers == nil {
		cfg.Leavers = func() Leavers { return Leavers{} }
	}
	now := clock.Now()
	return &Membership{
		cfg: cfg, members: map[string]*member{}, others: map[string]*member{}, hub: cfg.Self.Name, hubSince: now, lastHeard: now, lastSent: now,
		sharesFrom: now + sharesAfter, sizePeakSince: now, peerLoadsAt: now,
		deadReports: map[uint64]time.Duration{}, dropLoggedAt: map[string]time.Duration{},
	}
}

// AddPeers adds processes that this one learned of from others, such as at its start. They count as alive until they
// miss heartbeats.
func (ms *Membership) AddPeers(all []Peer) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.addPeers(all)
}

// AddUnknownPeers is AddPeers for the processes that this one does not know yet, or knows at another address. What it
// knows of the others, such as that one is silent, stays.
func (ms *Membership) AddUnknownPeers(all []Peer) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.addPeers(slices.DeleteFunc(slices.Clone(all), func(p Peer) bool {
		m := ms.setOf(p)[p.Name]
		return m != nil && m.peer.Address == p.Address
	}))
}

// addPeers is AddPeers for callers that hold mu.
func (ms *Membership) addPeers(all []Peer) {
	now, before := clock.Now(), len(ms.members)+len(ms.others)
	for _, p := range all {
		if p.Name == ms.cfg.Self.Name {
			continue
		}
		m, _ := ms.findOrAdd(p)
		m.peer, m.listedAt, m.settled, m.silent = p, now, true, false
	}
	ms.logNewPeers("", before)
	ms.electHub(now)
}

// logNewPeers logs how many processes were listed for the first time.
func (ms *Membership) logNewPeers(by string, before int) {
	if n := len(ms.members) + len(ms.others); n > before {
		ms.cfg.Log.Info().Str("by", by).Int("new", n-before).Int("peers", n).Msg("new peers listed")
	}
}

// setOf returns the set that a process belongs to. The caller holds mu.
func (ms *Membership) setOf(p Peer) map[string]*member {
	if p.Domain == ms.cfg.Self.Domain {
		return ms.members
	}
	return ms.others
}

// findOrAdd returns the record of a process and whether it is new. The caller holds mu.
func (ms *Membership) findOrAdd(p Peer) (m *member, added bool) {
	set := ms.setOf(p)
	m = set[p.Name]
	if m == nil {
		m, added = &member{peer: p}, true
		set[p.Name] = m
		ms.membersChanged = true
	}
	return m, added
}

// Run sends heartbeats until the context is done.
func (ms *Membership) Run(ctx context.Context) {
	for ctx.Err() == nil {
		ms.SendHeartbeat()
		d := ms.Interval()
		select {
		case <-ctx.Done():
		case <-time.After(d*9/10 + rand.N(d/5)):
		}
	}
}

// Interval returns the time between two heartbeats of this process.
func (ms *Membership) Interval() time.Duration {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.interval()
}

// interval is Interval for callers that hold mu.
func (ms *Membership) interval() time.Duration {
	return baseInterval * time.Duration(max(fullRateMembers, len(ms.members))) / fullRateMembers
}

// deadline returns the time without a heartbeat after which a process counts as silent.
func (ms *Membership) deadline() time.Duration { return missedHeartbeats * ms.interval() }

// IsHub reports whether this process is the hub of its failure domain.
func (ms *Membership) IsHub() bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.isHub()
}

// isHub is IsHub for callers that hold mu.
func (ms *Membership) isHub() bool { return ms.hub == ms.cfg.Self.Name }

// IsPoller reports whether this process polls the platform for the others. The hubs
// with the largest processor shares do, so that the number of calls does not grow with
// the number of processes or failure domains.
func (ms *Membership) IsPoller() bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if !ms.isHub() {
		return false
	}
	before, now := 0, clock.Now()
	for name, m := range ms.others {
		if m.hub && now-m.heardAt < ms.deadline() && ranksBefore(m.peer.Weight, name, ms.cfg.Self.Weight, ms.cfg.Self.Name) {
			before++
		}
	}
	return before < pollerCount
}

// ranksBefore orders processes by processor share, largest first, and then by name.
func ranksBefore(weight uint32, name string, otherWeight uint32, otherName string) bool {
	return weight > otherWeight || (weight == otherWeight && name < otherName)
}

// PeerLoad returns what the other processes have in flight at a backend server.
func (ms *Membership) PeerLoad(server string) (streams int, tokens int64) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	x := ms.peerLoads[loadKey(ServerHash(server))]
	return x.streams, x.tokens
}

// PeerReport returns the age of what PeerLoad returns, and the number of entry processes. Loads are on the way for
// an interval on average: half of one each to the hub and to the hubs of other failure domains.
func (ms *Membership) PeerReport() (age time.Duration, processes int) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return clock.Now() - ms.peerLoadsAt + ms.interval(), ms.size()
}

// updateLease takes the lease announcement of a heartbeat if it is newer than the known
// one: a higher fencing number wins, then the end of the lease, then a newer row. The
// caller holds mu.
func (ms *Membership) updateLease(l *wire.Lease) {
	if l == nil || l.Fence < ms.lease.Fence || (l.Fence == ms.lease.Fence && (ms.lease.Ended || (!l.Ended && l.Revision < ms.lease.Revision))) {
		return
	}
	// The transit time of the heartbeat can only make the result later.
	until := clock.Now() + time.Duration(min(l.Left, maxLeaseLeft.Milliseconds()))*time.Millisecond
	if l.Fence == ms.lease.Fence && l.Revision == ms.lease.Revision && !l.Ended {
		until = min(until, ms.lease.Until)
	}
	ms.lease = Lease{Fence: l.Fence, Revision: l.Revision, Until: until, Ended: l.Ended}
}

// maxLeaseLeft bounds the remaining time that a holder may announce.
const maxLeaseLeft = time.Minute

// Lease returns the newest lease announcement of another process, and false when there is
// none.
func (ms *Membership) Lease() (Lease, bool) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.lease, ms.lease.Fence > 0
}

// LeaseHeldByPeer reports whether another process announced that it holds the lease for
// longer than left from now.
func (ms *Membership) LeaseHeldByPeer(left time.Duration) bool {
	l, ok := ms.Lease()
	return ok && !l.Ended && clock.Now()+left < l.Until
}

// Size returns the number of entry processes, including this one.
func (ms *Membership) Size() int {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.size()
}

// size is Size for callers that hold mu.
func (ms *Membership) size() int {
	if !ms.isHub() {
		return max(ms.reportedSize, 1)
	}
	n, now := ms.domainSize(), clock.Now()
	for _, m := range ms.others {
		if m.hub && now-m.heardAt < maxLoadAge {
			n += m.size
		}
	}
	return n
}

// domainSize returns the number of live processes of this failure domain.
func (ms *Membership) domainSize() int {
	n := 1
	for _, m := range ms.members {
		if !m.silent {
			n++
		}
	}
	return n
}

// CallerAddresses returns the caller addresses of the other ready processes, those of
// the given failure domain first. local is the number of these.
func (ms *Membership) CallerAddresses(domain string) (addresses []string, local int) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	var remote []string
	for _, set := range []map[string]*member{ms.members, ms.others} {
		for _, m := range sortedByName(set) {
			switch {
			case m.silent || !m.ready || m.leaving:
			case m.peer.Domain == domain:
				addresses = append(addresses, m.peer.CallerAddress)
			default:
				remote = append(remote, m.peer.CallerAddress)
			}
		}
	}
	return append(addresses, remote...), len(addresses)
}

// Peers returns the known live processes and this one, for a process that starts.
func (ms *Membership) Peers() []Peer {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	out := []Peer{ms.cfg.Self}
	for _, set := range []map[string]*member{ms.members, ms.others} {
		for _, m := range sortedByName(set) {
			if !m.silent && !m.leaving {
				out = append(out, m.peer)
			}
		}
	}
	return out
}
