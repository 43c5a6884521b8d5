package beat

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/seal"
	"github.com/cranberrybay/cranberrybay/wire"
)

// Reasons for dropping a datagram, as counted by the metrics.
const (
	dropKey   = "unknown key"
	dropTag   = "wrong tag"
	dropBytes = "malformed"
	dropOld   = "old"
	dropTwice = "repeated"
)

var errOld = errors.New("the clock of the message is too far off")

// Receive takes a datagram.
func (r *Membership) Receive(raw []byte) {
	var b wire.Beat
	err := r.cfg.Sealer.Open(seal.Beat, raw, &b)
	if errors.Is(err, seal.ErrNewer) || errors.Is(err, seal.ErrUnknown) {
		r.cfg.OnNewerKey()
	}
	if err != nil && !errors.Is(err, seal.ErrNewer) {
		reason := dropBytes
		switch {
		case errors.Is(err, seal.ErrForged):
			reason = dropTag
		case errors.Is(err, seal.ErrUnknown), errors.Is(err, seal.ErrNoKey):
			reason = dropKey
		}
		r.dropped(reason, err, "")
		return
	}
	name := b.GetFrom().GetName()
	if name == "" || name == r.cfg.Self.Name {
		return
	}
	own := r.cfg.Clock()
	if own == 0 {
		return // this process starts and can't tell old messages from new ones
	}
	if off := (time.Duration(b.Clock)*time.Millisecond - own).Abs(); b.Clock == 0 || off > clockSlack {
		r.dropped(dropOld, errOld, name)
		return
	}
	if !r.note(&b) {
		r.dropped(dropTwice, nil, name)
		return
	}
	r.redirect(&b)
	r.forward(&b)
	r.tell(&b)
}

// redirect tells a process that takes this one for the hub which one is.
func (r *Membership) redirect(b *wire.Beat) {
	r.mu.Lock()
	hub := r.members[r.hub]
	if b.Loads == nil || b.Hub || b.From.Domain != r.cfg.Self.Domain || r.isHub() || hub == nil || hub.peer.Name == b.From.Name {
		r.mu.Unlock()
		return
	}
	p := describe(hub.peer)
	p.Ready, p.Leaving, p.Settled = hub.ready, hub.leaving, hub.settled
	on := r.notice(nil, nil)
	on.Domains = r.pack(&wire.Domains{Processes: []*wire.Process{p}})
	r.mu.Unlock()
	r.send(on, []string{b.From.Address})
}

// note takes what a process says and reports whether the message is new.
func (r *Membership) note(b *wire.Beat) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	p := peerOf(b.From)
	m, fresh := r.find(p)
	if fresh {
		r.cfg.Log.Info().Str("peer", p.Name).Str("domain", p.Domain).Str("address", p.Address).Msg("peer heard")
	}
	if m.incarnation != b.From.Incarnation {
		m.incarnation, m.window = b.From.Incarnation, seal.ReplayWindow{}
	}
	if !m.window.Accept(b.Sequence) {
		return false
	}
	r.leased(b.Lease)
	if !m.window.Newest(b.Sequence) {
		return true // a later one overtook it
	}
	if m.silent {
		r.cfg.Log.Info().Str("peer", p.Name).Msg("peer is back")
		r.changed = true
	}
	r.changed = r.changed || m.ready != b.From.Ready || m.leaving != b.From.Leaving || m.settled != b.From.Settled
	m.peer, m.heard, m.silent, m.hub = p, now, false, b.Hub
	m.ready, m.leaving, m.settled = b.From.Ready, b.From.Leaving, b.From.Settled
	if b.Loads != nil { // a message that is only handed on has none
		m.loads, m.size = unpackLoads(m.loads, b.Loads), int(b.Size)
	}
	near := p.Domain == r.cfg.Self.Domain
	if near {
		r.last = now
		r.choose(now)
	}
	ours := near && p.Name == r.hub
	r.named(b.Domains, p.Domain, ours, now)
	if ours && b.Loads != nil {
		r.told = m.size
		r.totals = without(m.loads, r.reported)
	}
	r.choose(now)
	return true
}

func peerOf(p *wire.Process) Peer {
	return Peer{Name: p.Name, Address: p.Address, Callers: p.Callers, Domain: p.Domain, Weight: p.Weight}
}

// named takes the processes that a hub names. The hub of this failure domain names all
// that live; another hub names some of its own. The caller holds mu.
func (r *Membership) named(packed []byte, from string, ours bool, now time.Duration) {
	if len(packed) == 0 {
		return
	}
	raw, err := Decompress(packed)
	if err != nil {
		r.cfg.Log.Warn().Err(err).Str("domain", from).Msg("processes that a hub named can't be read")
		return
	}
	var d wire.Domains
	if err := proto.Unmarshal(raw, &d); err != nil {
		r.cfg.Log.Warn().Err(err).Str("domain", from).Msg("processes that a hub named can't be read")
		return
	}
	before := len(r.members) + len(r.others)
	for _, x := range d.Processes {
		// A hub elsewhere may know others of this failure domain that do not know each
		// other yet, as when all start.
		if x.Name == r.cfg.Self.Name || x.Name == "" || (!ours && x.Domain != from && x.Domain != r.cfg.Self.Domain) {
			continue
		}
		m, _ := r.find(peerOf(x))
		m.named = now
		if x.Domain == from && now-m.heard > 2*r.interval() {
			m.hub = false // it was one until it heard of this hub
		}
		if now-m.heard < r.deadline() && m.heard > 0 {
			continue // it spoke for itself
		}
		m.peer, m.ready, m.leaving, m.settled, m.silent = peerOf(x), x.Ready, x.Leaving, x.Settled, false
	}
	r.logNamed(from, before)
	if near := from == r.cfg.Self.Domain; near && !ours {
		return // it named only its hub
	}
	// Those that the hub no longer names are gone, unless they are heard.
	for _, m := range r.others {
		if ours || m.peer.Domain == from {
			r.unnamed(m, now)
		}
	}
	if ours {
		for _, m := range r.members {
			r.unnamed(m, now)
		}
	}
}

func (r *Membership) unnamed(m *member, now time.Duration) {
	if m.named < now && now-m.heard > r.deadline() && m.peer.Name != r.hub {
		m.silent = true
	}
}

// forward hands on what concerns all: a hub tells everybody what a member says, and its
// members what another hub says.
func (r *Membership) forward(b *wire.Beat) {
	if len(b.Pages) == 0 && len(b.Dead) == 0 {
		return
	}
	near := b.From.Domain == r.cfg.Self.Domain
	r.mu.Lock()
	if !r.isHub() || (near && b.Hub) {
		r.mu.Unlock()
		return
	}
	on := r.notice(b.Pages, b.Dead)
	r.mu.Unlock()
	r.send(on, r.toMembers())
	if near {
		r.send(on, r.toHubs())
	}
}

// tell hands what a message says to the other parts of this process.
func (r *Membership) tell(b *wire.Beat) {
	for _, p := range b.Pages {
		if r.cfg.OnPage == nil {
			break
		}
		page, err := DecodePage(p)
		if err != nil {
			r.cfg.Log.Warn().Err(err).Str("peer", b.From.Name).Str("table", p.Table).Msg("relayed changes can't be read")
			continue // the followers miss them and poll
		}
		r.cfg.OnPage(page)
	}
	for _, x := range b.Seen {
		if r.cfg.OnWatermark != nil {
			r.cfg.OnWatermark(Watermark{Table: x.Table, Changed: x.Changed, Clock: time.Duration(x.Clock) * time.Millisecond})
		}
	}
	r.alerted(b.Dead)
}
