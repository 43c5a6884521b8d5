package beat

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/seal"
	"github.com/cranberrybay/cranberrybay/wire"
)

// Reasons for rejecting a received datagram, used as metric labels.
const (
	reasonUnknownKey = "unknown key"
	reasonWrongTag   = "wrong tag"
	reasonMalformed  = "malformed"
	reasonOld        = "old"
	reasonRepeated   = "repeated"
)

var errClockSkew = errors.New("clock of the message differs too much")

// Receive checks and processes a datagram.
func (ms *Membership) Receive(raw []byte) {
	var b wire.Beat
	err := ms.cfg.Sealer.Open(seal.Beat, raw, &b)
	if errors.Is(err, seal.ErrNewer) || errors.Is(err, seal.ErrUnknown) {
		ms.cfg.OnNewerKey()
	}
	if err != nil && !errors.Is(err, seal.ErrNewer) {
		reason := reasonMalformed
		switch {
		case errors.Is(err, seal.ErrForged):
			reason = reasonWrongTag
		case errors.Is(err, seal.ErrUnknown), errors.Is(err, seal.ErrNoKey):
			reason = reasonUnknownKey
		}
		ms.countDropped(reason, err, "")
		return
	}
	name := b.GetFrom().GetName()
	if name == "" || name == ms.cfg.Self.Name {
		return
	}
	own := ms.cfg.Clock()
	if own == 0 {
		return // still starting: can't tell old messages from new ones
	}
	if off := (time.Duration(b.Clock)*time.Millisecond - own).Abs(); b.Clock == 0 || off > maxClockSkew {
		ms.countDropped(reasonOld, errClockSkew, name)
		return
	}
	if !ms.recordSender(&b) {
		ms.countDropped(reasonRepeated, nil, name)
		return
	}
	ms.redirect(&b)
	held := max(own-time.Duration(b.Clock)*time.Millisecond, 0)
	ms.forward(&b, held)
	ms.deliver(&b, held)
}

// redirect tells a process that wrongly treats this one as the hub which process is.
func (ms *Membership) redirect(b *wire.Beat) {
	ms.mu.Lock()
	hub := ms.members[ms.hub]
	if b.Loads == nil || b.Hub || b.From.Domain != ms.cfg.Self.Domain || ms.isHub() || hub == nil || hub.peer.Name == b.From.Name {
		ms.mu.Unlock()
		return
	}
	p := processOf(hub.peer)
	p.Ready, p.Leaving, p.Settled = hub.ready, hub.leaving, hub.settled
	out := ms.newNotice(notice{})
	out.Domains = ms.encodeProcesses(&wire.Domains{Processes: []*wire.Process{p}})
	ms.mu.Unlock()
	ms.send(out, []string{b.From.Address})
}

// recordSender updates the state of the sender and reports whether the message is new.
func (ms *Membership) recordSender(b *wire.Beat) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	now := clock.Now()
	p := peerOf(b.From)
	m, added := ms.findOrAdd(p)
	if added {
		ms.cfg.Log.Info().Str("peer", p.Name).Str("domain", p.Domain).Str("address", p.Address).Msg("new peer")
	}
	if m.incarnation != b.From.Incarnation {
		m.incarnation, m.window = b.From.Incarnation, seal.ReplayWindow{}
	}
	if !m.window.Accept(b.Sequence) {
		return false
	}
	ms.updateLease(b.Lease)
	if !m.window.IsHighest(b.Sequence) {
		return true // a later message arrived first
	}
	if m.silent {
		ms.cfg.Log.Info().Str("peer", p.Name).Msg("peer is back")
		ms.membersChanged = true
	}
	ms.membersChanged = ms.membersChanged || m.ready != b.From.Ready || m.leaving != b.From.Leaving || m.settled != b.From.Settled
	m.peer, m.heardAt, m.silent, m.hub = p, now, false, b.Hub
	m.ready, m.leaving, m.settled = b.From.Ready, b.From.Leaving, b.From.Settled
	if b.Loads != nil { // notices carry no loads
		m.loads, m.size = unpackLoads(m.loads, b.Loads), int(b.Size)
	}
	sameDomain := p.Domain == ms.cfg.Self.Domain
	if sameDomain {
		ms.lastHeard = now
		ms.electHub(now)
	}
	fromOwnHub := sameDomain && p.Name == ms.hub
	ms.applyProcessList(b.Domains, p.Domain, fromOwnHub, now)
	if fromOwnHub && b.Loads != nil {
		ms.reportedSize = m.size
		ms.peerLoads, ms.peerLoadsAt = subtractOwn(m.loads, ms.reportedLoads), now
	}
	ms.electHub(now)
	return true
}

// peerOf returns the peer that a wire process describes.
func peerOf(p *wire.Process) Peer {
	return Peer{Name: p.Name, Address: p.Address, CallerAddress: p.Callers, Domain: p.Domain, Weight: p.Weight}
}

// applyProcessList applies the process list of a hub. The hub of this failure domain
// lists all live processes; another hub lists some of its own. The caller holds mu.
func (ms *Membership) applyProcessList(packed []byte, from string, fromOwnHub bool, now time.Duration) {
	if len(packed) == 0 {
		return
	}
	raw, err := Decompress(packed)
	if err != nil {
		ms.cfg.Log.Warn().Err(err).Str("domain", from).Msg("process list of a hub can't be decoded")
		return
	}
	var d wire.Domains
	if err := proto.Unmarshal(raw, &d); err != nil {
		ms.cfg.Log.Warn().Err(err).Str("domain", from).Msg("process list of a hub can't be decoded")
		return
	}
	before := len(ms.members) + len(ms.others)
	for _, x := range d.Processes {
		// A hub of another failure domain may list processes of this one that do not
		// know each other yet, such as when all start at once.
		if x.Name == ms.cfg.Self.Name || x.Name == "" || (!fromOwnHub && x.Domain != from && x.Domain != ms.cfg.Self.Domain) {
			continue
		}
		m, _ := ms.findOrAdd(peerOf(x))
		m.listedAt = now
		if x.Domain == from && now-m.heardAt > 2*ms.interval() {
			m.hub = false // it stepped down when it learned of the hub that sent the list
		}
		if now-m.heardAt < ms.deadline() && m.heardAt > 0 {
			continue // its own heartbeat is more recent
		}
		m.peer, m.ready, m.leaving, m.settled, m.silent = peerOf(x), x.Ready, x.Leaving, x.Settled, false
	}
	ms.logNewPeers(from, before)
	if sameDomain := from == ms.cfg.Self.Domain; sameDomain && !fromOwnHub {
		return // a redirect lists only the hub
	}
	// Processes that the hub no longer lists are gone unless they send heartbeats.
	for _, m := range ms.others {
		if fromOwnHub || m.peer.Domain == from {
			ms.expireUnlisted(m, now)
		}
	}
	if fromOwnHub {
		for _, m := range ms.members {
			ms.expireUnlisted(m, now)
		}
	}
}

// expireUnlisted marks a process silent that the last process list omits. The caller
// holds mu.
func (ms *Membership) expireUnlisted(m *member, now time.Duration) {
	if m.listedAt < now && now-m.heardAt > ms.deadline() && m.peer.Name != ms.hub {
		m.silent = true
	}
}

// forward relays the contents of notices: a hub sends those of a member to all processes,
// and those of another hub to its members. Records in heartbeats are not relayed, since
// the hub's own heartbeats hold what it took from them. held is the age of the message.
func (ms *Membership) forward(b *wire.Beat, held time.Duration) {
	x := notice{pages: b.Pages, dead: b.Dead}
	if b.Loads == nil {
		x.suspects, x.rates, x.leavers = EncodeSuspects(DecodeSuspects(b.Suspects, held)), b.Rates, b.Leavers
	}
	if x.isEmpty() {
		return
	}
	sameDomain := b.From.Domain == ms.cfg.Self.Domain
	ms.mu.Lock()
	if !ms.isHub() || (sameDomain && b.Hub) {
		ms.mu.Unlock()
		return
	}
	out := ms.newNotice(x)
	ms.mu.Unlock()
	if !sameDomain || len(b.Seen) == 0 {
		ms.send(out, ms.toMembers()) // a member that states a watermark sent it to all of the failure domain
	}
	if sameDomain {
		ms.send(out, ms.toHubs())
	}
}

// deliver passes the contents of a message to the callbacks. held is the age of the message, which is
// seconds if this process was paused after the datagram had arrived.
func (ms *Membership) deliver(b *wire.Beat, held time.Duration) {
	for _, p := range b.Pages {
		if ms.cfg.OnPage == nil {
			break
		}
		page, err := DecodePage(p)
		if err != nil {
			ms.cfg.Log.Warn().Err(err).Str("peer", b.From.Name).Str("table", p.Table).Msg("relayed changes can't be decoded")
			continue // the followers detect the gap and poll
		}
		ms.cfg.OnPage(page)
	}
	for _, x := range b.Seen {
		if ms.cfg.OnWatermark != nil {
			ms.cfg.OnWatermark(Watermark{Table: x.Table, Changed: x.Changed, Clock: time.Duration(x.Clock) * time.Millisecond})
		}
	}
	if ms.cfg.OnConfig != nil {
		ms.cfg.OnConfig(b.Config, peerOf(b.From))
	}
	ms.applyDeadReports(b.Dead)
	if len(b.Suspects) > 0 && ms.cfg.OnSuspects != nil {
		ms.cfg.OnSuspects(DecodeSuspects(b.Suspects, held))
	}
	if len(b.Rates) > 0 && ms.cfg.OnRates != nil {
		ms.cfg.OnRates(DecodeRates(b.Rates, held))
	}
	if len(b.Leavers) > 0 && ms.cfg.OnLeavers != nil {
		ms.cfg.OnLeavers(DecodeLeavers(b.Leavers, held))
	}
}
