package beat

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/seal"
	"github.com/cranberrybay/cranberrybay/wire"
)

// SendHeartbeat notes processes that fell silent and sends this process's heartbeat: of a
// member to the hub, of the hub to its members and to the other hubs.
func (r *Membership) SendHeartbeat() {
	own, state := r.work(), r.cfg.State()
	r.mu.Lock()
	now := clock.Now()
	r.turn(state)
	if now-r.beaten > r.deadline() {
		// This process was paused: that it heard nobody says nothing about them.
		r.cfg.Log.Warn().Dur("pause", now-r.beaten).Msg("this process was paused")
		r.since, r.last = now, now
	}
	r.beaten = now
	r.turns++
	r.judge(now)
	if !r.isHub() {
		r.reported = own
		b := r.compose(own)
		r.mu.Unlock()
		r.send(b, r.toHub())
		return
	}
	domain, all := r.sum(now)
	r.totals = all
	near, far := map[uint32]load{}, map[uint32]load{}
	add(near, all)
	add(near, own)
	add(far, domain)
	add(far, own)
	inside, outside := r.compose(near), r.compose(far)
	inside.Size, outside.Size = uint32(r.size()), uint32(r.domainSize())
	if r.changed || now-r.listed >= listEvery {
		r.changed, r.listed = false, now
		inside.Domains, outside.Domains = r.list(true), r.list(false)
	}
	r.mu.Unlock()
	r.send(inside, r.toMembers())
	r.send(outside, r.toHubs())
}

// turn takes the state of this process.
func (r *Membership) turn(s State) {
	r.changed = r.changed || s.Ready != r.state.Ready || s.Leaving != r.state.Leaving || s.Settled != r.state.Settled
	r.state = s
}

// compose makes a heartbeat. The caller holds mu.
func (r *Membership) compose(loads map[uint32]load) *wire.Beat {
	r.sequence++
	b := &wire.Beat{
		From: r.process(), Sequence: r.sequence, Clock: r.cfg.Clock().Milliseconds(), Hub: r.isHub(), Loads: packLoads(loads, r.turns),
	}
	if l := r.newestLease(); l.Fence > 0 {
		b.Lease = &wire.Lease{Fence: l.Fence, Revision: l.Revision, Left: (l.Until - clock.Now()).Milliseconds(), Ended: l.Ended}
	}
	if r.isHub() {
		for _, x := range r.state.Watermarks {
			b.Seen = append(b.Seen, &wire.Seen{Table: x.Table, Changed: x.Changed, Clock: x.Clock.Milliseconds()})
		}
	}
	return b
}

// newestLease returns the lease of this process or the one that others told of.
func (r *Membership) newestLease() Lease {
	if r.state.Lease.Fence >= r.lease.Fence {
		return r.state.Lease
	}
	return r.lease
}

func (r *Membership) process() *wire.Process {
	p := describe(r.cfg.Self)
	p.Incarnation, p.Ready, p.Leaving, p.Settled = r.cfg.Incarnation, r.state.Ready, r.state.Leaving, r.state.Settled
	return p
}

func describe(p Peer) *wire.Process {
	return &wire.Process{Name: p.Name, Domain: p.Domain, Address: p.Address, Callers: p.Callers, Weight: p.Weight}
}

// list encodes the live processes: for members all of the failure domain, the other
// hubs and what they named; for other hubs some that are ready, and the other hubs. The
// caller holds mu.
func (r *Membership) list(inside bool) []byte {
	out := &wire.Domains{}
	named := 0
	for _, m := range sorted(r.members) {
		if m.silent || (!inside && (named >= callersToldElsewhere || !m.ready || m.leaving)) {
			continue
		}
		p := describe(m.peer)
		p.Ready, p.Leaving, p.Settled = m.ready, m.leaving, m.settled
		out.Processes = append(out.Processes, p)
		named++
	}
	for _, m := range sorted(r.others) {
		if m.silent || (!inside && !m.hub) {
			continue
		}
		p := describe(m.peer)
		p.Ready, p.Leaving, p.Settled = m.ready, m.leaving, m.settled
		out.Processes = append(out.Processes, p)
	}
	return r.pack(out)
}

func (r *Membership) pack(d *wire.Domains) []byte {
	raw, err := proto.Marshal(d)
	if err != nil {
		r.cfg.Log.Error().Err(err).Msg("encode processes")
		return nil
	}
	return Compress(raw)
}

// notice makes a message that hands something on. The caller holds mu.
func (r *Membership) notice(pages []*wire.Page, dead []uint64) *wire.Beat {
	b := r.compose(nil)
	b.Loads, b.Pages, b.Dead = nil, pages, dead
	return b
}

// publish sends a notice to all: the hub hands on that of a member.
func (r *Membership) publish(pages []*wire.Page, dead []uint64) {
	r.mu.Lock()
	b, hub := r.notice(pages, dead), r.isHub()
	r.mu.Unlock()
	if !hub {
		r.send(b, r.toHub())
		return
	}
	r.send(b, r.toMembers())
	r.send(b, r.toHubs())
}

// toHub returns the address of the hub.
func (r *Membership) toHub() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	if m := r.members[r.hub]; m != nil {
		out = append(out, m.peer.Address)
	}
	return out
}

// toMembers returns the addresses of the processes of this failure domain. Silent ones
// are among them: one that was frozen or cut off finds its way back by what it hears.
func (r *Membership) toMembers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]string, 0, len(r.members))
	for _, m := range r.members {
		out = append(out, m.peer.Address)
	}
	return out
}

// toHubs returns the addresses of the hubs of other failure domains. Of a domain whose
// hub was not heard yet, or is silent, all that are known are asked.
func (r *Membership) toHubs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	spoken := map[string]bool{}
	for _, m := range r.others {
		if m.hub && !m.silent {
			spoken[m.peer.Domain] = true
		}
	}
	var out []string
	for _, m := range r.others {
		if (m.hub && !m.silent) || !spoken[m.peer.Domain] {
			out = append(out, m.peer.Address)
		}
	}
	return out
}

// send seals a heartbeat and sends it.
func (r *Membership) send(b *wire.Beat, targets []string) {
	if len(targets) == 0 {
		return
	}
	raw, err := r.cfg.Sealer.Seal(seal.Beat, b)
	if err != nil {
		r.dropped("no key", err, "")
		return
	}
	for _, address := range targets {
		if err := r.cfg.Send(address, raw); err != nil {
			r.cfg.Log.Debug().Err(err).Str("address", address).Msg("heartbeat not sent")
		}
	}
}

// logDropsEvery bounds the lines about datagrams that were dropped, for each reason.
const logDropsEvery = time.Second

// dropped counts a datagram that was not believed or not sent.
func (r *Membership) dropped(reason string, err error, peer string) {
	r.cfg.OnDropped(reason)
	r.mu.Lock()
	now := clock.Now()
	at, ok := r.drops[reason]
	quiet := ok && now-at < logDropsEvery
	if !quiet {
		r.drops[reason] = now
	}
	r.mu.Unlock()
	if !quiet {
		r.cfg.Log.Warn().Err(err).Str("reason", reason).Str("peer", peer).Msg("heartbeat dropped")
	}
}
