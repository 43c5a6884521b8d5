package peer

import (
	"math"
	"net/http"
	"time"

	"github.com/cranberrybay/cranberrybay/beat"
	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/limit"
	"github.com/cranberrybay/cranberrybay/member"
	"github.com/cranberrybay/cranberrybay/wire"
)

// maxAge is the upper bound to which the ages in messages are clamped. It
// prevents an overflow of time.Duration.
const maxAge = 365 * 24 * time.Hour

// clampAge converts an age in milliseconds to a duration from 0 to maxAge. A
// negative age would mean that a version was confirmed in the future.
func clampAge(ms int64) time.Duration {
	return time.Duration(min(max(0, ms), maxAge.Milliseconds())) * time.Millisecond
}

// clampAmount converts an amount of a limit to a value from 0 to MaxFloat32. NaN
// and infinity would propagate to the shares of all processes, and negative
// amounts are meaningless.
func clampAmount(v float64) float64 {
	if !(v > 0) {
		return 0
	}
	return min(v, math.MaxFloat32)
}

func memberToWire(m member.Member) *wire.Member {
	return &wire.Member{
		Name: m.Name, Incarnation: m.Incarnation, Domain: m.Domain, Region: m.Region,
		Callers: m.CallerAddress, Peers: m.PeerAddress, Leaving: m.Leaving, Sequence: m.Sequence,
	}
}

func memberFromWire(m *wire.Member) member.Member {
	return member.Member{
		Name: m.GetName(), Incarnation: m.GetIncarnation(), Domain: m.GetDomain(), Region: m.GetRegion(),
		CallerAddress: m.GetCallers(), PeerAddress: m.GetPeers(), Leaving: m.GetLeaving(), Sequence: m.GetSequence(),
	}
}

func pingPayloadToWire(h member.PingPayload) *wire.Health {
	out := &wire.Health{Version: h.Version, Digest: h.Digest, Leaving: h.Leaving, Sequence: h.Sequence}
	if h.Self != nil {
		out.Self = memberToWire(*h.Self)
	}
	return out
}

func pingPayloadFromWire(h *wire.Health) member.PingPayload {
	out := member.PingPayload{Version: h.GetVersion(), Digest: h.GetDigest(), Leaving: h.GetLeaving(), Sequence: h.GetSequence()}
	if h.GetSelf() != nil {
		m := memberFromWire(h.GetSelf())
		out.Self = &m
	}
	return out
}

// relayRangeToWire returns nil for a message that is not relayed.
func relayRangeToWire(r member.RelayRange) *wire.Reach {
	if r == (member.RelayRange{}) {
		return nil
	}
	return &wire.Reach{Relay: r.Relay, First: r.First, Last: r.End}
}

func relayRangeFromWire(r *wire.Reach) member.RelayRange {
	return member.RelayRange{Relay: r.GetRelay(), First: r.GetFirst(), End: r.GetLast()}
}

func eventsToWire(n member.EventMessage) *wire.News {
	out := &wire.News{Reach: relayRangeToWire(n.RelayRange), List: n.WantMembers}
	for _, e := range n.Events {
		out.Events = append(out.Events, &wire.Event{Member: memberToWire(e.Member), Kind: uint32(e.Kind)})
	}
	return out
}

func eventsFromWire(n *wire.News) member.EventMessage {
	out := member.EventMessage{RelayRange: relayRangeFromWire(n.GetReach()), WantMembers: n.GetList()}
	for _, e := range n.GetEvents() {
		out.Events = append(out.Events, member.Event{Kind: member.EventKind(e.GetKind()), Member: memberFromWire(e.GetMember())})
	}
	return out
}

func eventReplyToWire(v member.EventReply) *wire.Verdicts {
	out := &wire.Verdicts{Alive: v.Alive}
	for _, m := range v.Members {
		out.Members = append(out.Members, memberToWire(m))
	}
	return out
}

func eventReplyFromWire(v *wire.Verdicts) member.EventReply {
	out := member.EventReply{Alive: v.GetAlive()}
	for _, m := range v.GetMembers() {
		out.Members = append(out.Members, memberFromWire(m))
	}
	return out
}

func recordsToWire(rs []change.Record) *wire.Records {
	out := &wire.Records{}
	for _, r := range rs {
		m := &wire.Record{Version: r.Version, Digest: r.Digest, Publication: r.Publication, Full: r.Full}
		for _, d := range r.Docs {
			m.Documents = append(m.Documents, &wire.Document{
				Id: d.ID, Path: d.Path, Text: d.Text, Source: d.Source, Version: d.Version, Author: d.Author,
				Time: d.Time.UnixNano(), Removed: d.Removed,
			})
		}
		out.Records = append(out.Records, m)
	}
	return out
}

func recordsFromWire(rs *wire.Records) []change.Record {
	var out []change.Record
	for _, m := range rs.GetRecords() {
		r := change.Record{Version: m.GetVersion(), Digest: m.GetDigest(), Publication: m.GetPublication(), Full: m.GetFull()}
		for _, d := range m.GetDocuments() {
			r.Docs = append(r.Docs, change.StoredDocument{
				ID: d.GetId(), Path: d.GetPath(), Text: d.GetText(), Source: d.GetSource(), Version: d.GetVersion(),
				Author: d.GetAuthor(), Time: time.Unix(0, d.GetTime()).UTC(), Removed: d.GetRemoved(),
			})
		}
		out = append(out, r)
	}
	return out
}

func headersToWire(h http.Header) []*wire.Header {
	out := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		out = append(out, &wire.Header{Name: name, Values: values})
	}
	return out
}

func headersFromWire(hs []*wire.Header) http.Header {
	out := http.Header{}
	for _, h := range hs {
		out[http.CanonicalHeaderKey(h.GetName())] = h.GetValues()
	}
	return out
}

func reportToWire(r limit.Report) *wire.Report {
	out := &wire.Report{Run: r.Incarnation, Number: r.Number}
	for _, d := range r.Demands {
		out.Demands = append(out.Demands, &wire.Demand{
			Account: d.Account, Rate: float32(d.Want[limit.Rate]), Tokens: float32(d.Want[limit.Tokens]),
			Inflight: float32(d.Want[limit.Inflight]), Running: uint32(d.Running), Held: d.AppliedShare, Idle: d.Idle,
		})
	}
	return out
}

func reportFromWire(from string, m *wire.Report) limit.Report {
	r := limit.Report{From: from, Incarnation: m.GetRun(), Number: m.GetNumber()}
	for _, d := range m.GetDemands() {
		r.Demands = append(r.Demands, limit.Demand{
			Account: d.GetAccount(), Running: int(d.GetRunning()), AppliedShare: d.GetHeld(), Idle: d.GetIdle(),
			Want: limit.Amounts{
				limit.Rate: clampAmount(float64(d.GetRate())), limit.Tokens: clampAmount(float64(d.GetTokens())), limit.Inflight: clampAmount(float64(d.GetInflight())),
			},
		})
	}
	return r
}

func shareToWire(s limit.Share) *wire.Share {
	out := &wire.Share{Run: s.HomeIncarnation, To: s.ReceiverIncarnation, Answer: s.ReportNumber}
	for _, p := range s.Accounts {
		out.Parts = append(out.Parts, &wire.Part{
			Account: p.Account, Rate: p.Share[limit.Rate], Tokens: p.Share[limit.Tokens], Inflight: p.Share[limit.Inflight],
			Weight: p.Weight, Number: p.Number,
		})
	}
	return out
}

func shareFromWire(home string, m *wire.Share) limit.Share {
	s := limit.Share{Home: home, HomeIncarnation: m.GetRun(), ReceiverIncarnation: m.GetTo(), ReportNumber: m.GetAnswer()}
	for _, p := range m.GetParts() {
		s.Accounts = append(s.Accounts, limit.AccountShare{
			Account: p.GetAccount(), Weight: clampAmount(p.GetWeight()), Number: p.GetNumber(),
			Share: limit.Amounts{limit.Rate: clampAmount(p.GetRate()), limit.Tokens: clampAmount(p.GetTokens()), limit.Inflight: clampAmount(p.GetInflight())},
		})
	}
	return s
}

func suspectsToWire(m SuspectMessage) *wire.Snapshot {
	out := &wire.Snapshot{Suspects: beat.EncodeSuspects(m.Records)}
	for _, name := range m.PassTo {
		out.Processes = append(out.Processes, &wire.Process{Name: name})
	}
	return out
}

func suspectsFromWire(m *wire.Snapshot) SuspectMessage {
	out := SuspectMessage{Records: beat.DecodeSuspects(m.GetSuspects(), 0)}
	for _, p := range m.GetProcesses() {
		out.PassTo = append(out.PassTo, p.GetName())
	}
	return out
}
