package beat

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/seal"
	"github.com/cranberrybay/cranberrybay/wire"
)

// SendHeartbeat detects silent processes and sends this process's heartbeat: a member's
// goes to the hub, a hub's to its members and to the other hubs.
func (ms *Membership) SendHeartbeat() {
	own, state, suspects, rates, leavers := ms.ownLoads(), ms.cfg.State(), ms.cfg.Suspects(), ms.cfg.Rates(), ms.cfg.Leavers()
	ms.mu.Lock()
	now := clock.Now()
	ms.updateState(state)
	if now-ms.lastSent > ms.deadline() {
		// The heartbeats were missed because this process was paused, so they prove
		// nothing about the other processes.
		ms.cfg.Log.Warn().Dur("pause", now-ms.lastSent).Msg("this process was paused")
		ms.hubSince, ms.lastHeard, ms.sharesFrom = now, now, now+sharesAfter
	}
	ms.lastSent = now
	ms.recordSize(now)
	ms.rounds++
	ms.detectSilent(now)
	if !ms.isHub() {
		ms.reportedLoads = own
		b := ms.newHeartbeat(own)
		b.Suspects, b.Rates, b.Leavers = EncodeSuspects(suspects.Own), EncodeRates(rates.Own), EncodeLeavers(leavers.Own)
		ms.mu.Unlock()
		ms.send(b, ms.toHub())
		return
	}
	domain, all := ms.sumLoads(now)
	ms.peerLoads, ms.peerLoadsAt = all, now
	memberLoads, hubLoads := map[uint32]load{}, map[uint32]load{}
	addLoads(memberLoads, all)
	addLoads(memberLoads, own)
	addLoads(hubLoads, domain)
	addLoads(hubLoads, own)
	memberBeat, hubBeat := ms.newHeartbeat(memberLoads), ms.newHeartbeat(hubLoads)
	memberBeat.Size, hubBeat.Size = uint32(ms.size()), uint32(ms.domainSize())
	memberBeat.Suspects, memberBeat.Rates, memberBeat.Leavers = EncodeSuspects(suspects.Changed), EncodeRates(rates.Changed), EncodeLeavers(leavers.Changed)
	if ms.membersChanged || now-ms.lastListed >= listInterval {
		ms.membersChanged, ms.lastListed = false, now
		memberBeat.Domains, hubBeat.Domains = ms.encodeProcessList(true), ms.encodeProcessList(false)
		memberBeat.Suspects, memberBeat.Rates, memberBeat.Leavers = EncodeSuspects(suspects.All), EncodeRates(rates.All), EncodeLeavers(leavers.All)
	}
	hubBeat.Suspects, hubBeat.Rates, hubBeat.Leavers = memberBeat.Suspects, memberBeat.Rates, memberBeat.Leavers
	ms.mu.Unlock()
	ms.send(memberBeat, ms.toMembers())
	ms.send(hubBeat, ms.toHubs())
}

// updateState takes the new state of this process.
func (ms *Membership) updateState(s State) {
	ms.membersChanged = ms.membersChanged || s.Ready != ms.state.Ready || s.Leaving != ms.state.Leaving || s.Settled != ms.state.Settled
	ms.state = s
}

// newHeartbeat builds a heartbeat with the given loads. The caller holds mu.
func (ms *Membership) newHeartbeat(loads map[uint32]load) *wire.Beat {
	ms.sequence++
	b := &wire.Beat{
		From: ms.selfProcess(), Config: ms.state.Config, Sequence: ms.sequence, Clock: ms.cfg.Clock().Milliseconds(), Hub: ms.isHub(), Loads: packLoads(loads, ms.rounds),
	}
	if l := ms.newestLease(); l.Fence > 0 {
		b.Lease = &wire.Lease{Fence: l.Fence, Revision: l.Revision, Left: (l.Until - clock.Now()).Milliseconds(), Ended: l.Ended}
	}
	if ms.isHub() {
		for _, x := range ms.state.Watermarks {
			b.Seen = append(b.Seen, encodeWatermark(x))
		}
	}
	return b
}

// newestLease returns the lease announcement of this process or of another one,
// whichever has the higher fencing number.
func (ms *Membership) newestLease() Lease {
	if ms.state.Lease.Fence >= ms.lease.Fence {
		return ms.state.Lease
	}
	return ms.lease
}

// selfProcess returns the wire form of this process and its state.
func (ms *Membership) selfProcess() *wire.Process {
	p := processOf(ms.cfg.Self)
	p.Incarnation, p.Ready, p.Leaving, p.Settled = ms.cfg.Incarnation, ms.state.Ready, ms.state.Leaving, ms.state.Settled
	return p
}

// processOf returns the wire form of a peer.
func processOf(p Peer) *wire.Process {
	return &wire.Process{Name: p.Name, Domain: p.Domain, Address: p.Address, Callers: p.CallerAddress, Weight: p.Weight}
}

// encodeProcessList encodes the live processes. Members receive all of the failure
// domain, the other hubs and the processes that those listed. Other hubs receive some
// that are ready, and the other hubs. The caller holds mu.
func (ms *Membership) encodeProcessList(forMembers bool) []byte {
	out := &wire.Domains{}
	count := 0
	for _, m := range sortedByName(ms.members) {
		if m.silent || (!forMembers && (count >= maxCallersElsewhere || !m.ready || m.leaving)) {
			continue
		}
		p := processOf(m.peer)
		p.Ready, p.Leaving, p.Settled = m.ready, m.leaving, m.settled
		out.Processes = append(out.Processes, p)
		count++
	}
	for _, m := range sortedByName(ms.others) {
		if m.silent || (!forMembers && !m.hub) {
			continue
		}
		p := processOf(m.peer)
		p.Ready, p.Leaving, p.Settled = m.ready, m.leaving, m.settled
		out.Processes = append(out.Processes, p)
	}
	return ms.encodeProcesses(out)
}

// encodeProcesses returns the compressed encoding of a process list.
func (ms *Membership) encodeProcesses(d *wire.Domains) []byte {
	raw, err := proto.Marshal(d)
	if err != nil {
		ms.cfg.Log.Error().Err(err).Msg("can't encode the process list")
		return nil
	}
	return Compress(raw)
}

// notice is the content of a message that is sent at once, without loads.
type notice struct {
	pages    []*wire.Page
	seen     []*wire.Seen // in the notice of a member: it was sent to all of the failure domain
	dead     []uint64     // backend servers, as in ServerHash
	suspects []*wire.Suspect
	rates    []*wire.Rate
	leavers  []*wire.Leaver
}

func (n notice) isEmpty() bool {
	return len(n.pages) == 0 && len(n.dead) == 0 && len(n.suspects) == 0 && len(n.rates) == 0 && len(n.leavers) == 0
}

// newNotice builds the message of a notice. The caller holds mu.
func (ms *Membership) newNotice(n notice) *wire.Beat {
	b := ms.newHeartbeat(nil)
	b.Loads, b.Pages, b.Dead, b.Suspects, b.Rates, b.Leavers = nil, n.pages, n.dead, n.suspects, n.rates, n.leavers
	b.Seen = append(b.Seen, n.seen...)
	return b
}

// broadcast sends a notice to all processes. A member sends it to the hub, which
// forwards it.
func (ms *Membership) broadcast(n notice) {
	ms.mu.Lock()
	b, hub := ms.newNotice(n), ms.isHub()
	ms.mu.Unlock()
	if !hub {
		ms.send(b, ms.toHub())
		return
	}
	ms.send(b, ms.toMembers())
	ms.send(b, ms.toHubs())
}

// toHub returns the address of the hub, if it is another process.
func (ms *Membership) toHub() []string {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	var out []string
	if m := ms.members[ms.hub]; m != nil {
		out = append(out, m.peer.Address)
	}
	return out
}

// toMembers returns the addresses of the other processes of this failure domain. Silent
// ones are included: a process that was frozen or cut off rejoins when it receives a
// heartbeat.
func (ms *Membership) toMembers() []string {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	out := make([]string, 0, len(ms.members))
	for _, m := range ms.members {
		out = append(out, m.peer.Address)
	}
	return out
}

// toHubs returns the addresses of the hubs of other failure domains. For a domain without
// a known live hub it returns all known processes.
func (ms *Membership) toHubs() []string {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	hubKnown := map[string]bool{}
	for _, m := range ms.others {
		if m.hub && !m.silent {
			hubKnown[m.peer.Domain] = true
		}
	}
	var out []string
	for _, m := range ms.others {
		if (m.hub && !m.silent) || !hubKnown[m.peer.Domain] {
			out = append(out, m.peer.Address)
		}
	}
	return out
}

// send seals a message and sends it to the addresses.
func (ms *Membership) send(b *wire.Beat, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	raw, err := ms.cfg.Sealer.Seal(seal.Beat, b)
	if err != nil {
		ms.countDropped("no key", err, "")
		return
	}
	for _, address := range addresses {
		if err := ms.cfg.Send(address, raw); err != nil {
			ms.cfg.Log.Debug().Err(err).Str("address", address).Msg("heartbeat not sent")
		}
	}
}

// dropLogInterval is the least time between two log lines about dropped datagrams with the
// same reason.
const dropLogInterval = time.Second

// countDropped counts a datagram that was rejected or could not be sealed, and logs it at
// most once per dropLogInterval and reason.
func (ms *Membership) countDropped(reason string, err error, peer string) {
	ms.cfg.OnDropped(reason)
	ms.mu.Lock()
	now := clock.Now()
	at, ok := ms.dropLoggedAt[reason]
	suppressed := ok && now-at < dropLogInterval
	if !suppressed {
		ms.dropLoggedAt[reason] = now
	}
	ms.mu.Unlock()
	if !suppressed {
		ms.cfg.Log.Warn().Err(err).Str("reason", reason).Str("peer", peer).Msg("heartbeat dropped")
	}
}
