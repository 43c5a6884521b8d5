package peer

import (
	"math"
	"net/http"
	"time"

	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/limit"
	"github.com/cranberrybay/cranberrybay/member"
	"github.com/cranberrybay/cranberrybay/wire"
)

// maxAge bounds the age of a version in a message. A larger one would overflow
// a time.Duration.
const maxAge = 365 * 24 * time.Hour

// toAge reads an age in milliseconds. A negative one would put the time at
// which a version was confirmed into the future.
func toAge(ms int64) time.Duration {
	return time.Duration(min(max(0, ms), maxAge.Milliseconds())) * time.Millisecond
}

// toAmount reads an amount of a limit. NaN and infinity would spread to the
// shares of all processes; negative amounts have no meaning.
func toAmount(v float64) float64 {
	if !(v > 0) {
		return 0
	}
	return min(v, math.MaxFloat32)
}

func fromMember(m member.Member) *wire.Member {
	return &wire.Member{
		Name: m.Name, Incarnation: m.Incarnation, Domain: m.Domain, Region: m.Region,
		Callers: m.CallerAddress, Peers: m.PeerAddress, Leaving: m.Leaving, Sequence: m.Sequence,
	}
}

func toMember(m *wire.Member) member.Member {
	return member.Member{
		Name: m.GetName(), Incarnation: m.GetIncarnation(), Domain: m.GetDomain(), Region: m.GetRegion(),
		CallerAddress: m.GetCallers(), PeerAddress: m.GetPeers(), Leaving: m.GetLeaving(), Sequence: m.GetSequence(),
	}
}

func fromHealth(h member.Health) *wire.Health {
	out := &wire.Health{Version: h.Version, Digest: h.Digest, Leaving: h.Leaving, Sequence: h.Sequence}
	if h.Self != nil {
		out.Self = fromMember(*h.Self)
	}
	return out
}

func toHealth(h *wire.Health) member.Health {
	out := member.Health{Version: h.GetVersion(), Digest: h.GetDigest(), Leaving: h.GetLeaving(), Sequence: h.GetSequence()}
	if h.GetSelf() != nil {
		m := toMember(h.GetSelf())
		out.Self = &m
	}
	return out
}

// fromReach leaves the message out when nobody passes it on.
func fromReach(r member.RelayRange) *wire.Reach {
	if r == (member.RelayRange{}) {
		return nil
	}
	return &wire.Reach{Relay: r.Relay, First: r.First, Last: r.End}
}

func toReach(r *wire.Reach) member.RelayRange {
	return member.RelayRange{Relay: r.GetRelay(), First: r.GetFirst(), End: r.GetLast()}
}

func fromNews(n member.EventMessage) *wire.News {
	out := &wire.News{Reach: fromReach(n.RelayRange), List: n.WantMembers}
	for _, e := range n.Events {
		out.Events = append(out.Events, &wire.Event{Member: fromMember(e.Member), Kind: uint32(e.Kind)})
	}
	return out
}

func toNews(n *wire.News) member.EventMessage {
	out := member.EventMessage{RelayRange: toReach(n.GetReach()), WantMembers: n.GetList()}
	for _, e := range n.GetEvents() {
		out.Events = append(out.Events, member.Event{Kind: member.EventKind(e.GetKind()), Member: toMember(e.GetMember())})
	}
	return out
}

func fromVerdicts(v member.EventReply) *wire.Verdicts {
	out := &wire.Verdicts{Alive: v.Alive}
	for _, m := range v.Members {
		out.Members = append(out.Members, fromMember(m))
	}
	return out
}

func toVerdicts(v *wire.Verdicts) member.EventReply {
	out := member.EventReply{Alive: v.GetAlive()}
	for _, m := range v.GetMembers() {
		out.Members = append(out.Members, toMember(m))
	}
	return out
}

func fromRecords(rs []change.Record) *wire.Records {
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

func toRecords(rs *wire.Records) []change.Record {
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

func fromHeaders(h http.Header) []*wire.Header {
	out := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		out = append(out, &wire.Header{Name: name, Values: values})
	}
	return out
}

func toHeaders(hs []*wire.Header) http.Header {
	out := http.Header{}
	for _, h := range hs {
		out[http.CanonicalHeaderKey(h.GetName())] = h.GetValues()
	}
	return out
}

func fromReport(r limit.Report) *wire.Report {
	out := &wire.Report{Run: r.Incarnation, Number: r.Number}
	for _, d := range r.Demands {
		out.Demands = append(out.Demands, &wire.Demand{
			Account: d.Account, Rate: float32(d.Want[limit.Rate]), Tokens: float32(d.Want[limit.Tokens]),
			Inflight: float32(d.Want[limit.Inflight]), Running: uint32(d.Running), Held: d.AppliedShare, Idle: d.Idle,
		})
	}
	return out
}

func toReport(from string, m *wire.Report) limit.Report {
	r := limit.Report{From: from, Incarnation: m.GetRun(), Number: m.GetNumber()}
	for _, d := range m.GetDemands() {
		r.Demands = append(r.Demands, limit.Demand{
			Account: d.GetAccount(), Running: int(d.GetRunning()), AppliedShare: d.GetHeld(), Idle: d.GetIdle(),
			Want: limit.Amounts{
				limit.Rate: toAmount(float64(d.GetRate())), limit.Tokens: toAmount(float64(d.GetTokens())), limit.Inflight: toAmount(float64(d.GetInflight())),
			},
		})
	}
	return r
}

func fromShare(s limit.Share) *wire.Share {
	out := &wire.Share{Run: s.HomeIncarnation, To: s.ReceiverIncarnation, Answer: s.ReportNumber}
	for _, p := range s.Accounts {
		out.Parts = append(out.Parts, &wire.Part{
			Account: p.Account, Rate: p.Share[limit.Rate], Tokens: p.Share[limit.Tokens], Inflight: p.Share[limit.Inflight],
			Weight: p.Weight, Number: p.Number,
		})
	}
	return out
}

func toShare(home string, m *wire.Share) limit.Share {
	s := limit.Share{Home: home, HomeIncarnation: m.GetRun(), ReceiverIncarnation: m.GetTo(), ReportNumber: m.GetAnswer()}
	for _, p := range m.GetParts() {
		s.Accounts = append(s.Accounts, limit.AccountShare{
			Account: p.GetAccount(), Weight: toAmount(p.GetWeight()), Number: p.GetNumber(),
			Share: limit.Amounts{limit.Rate: toAmount(p.GetRate()), limit.Tokens: toAmount(p.GetTokens()), limit.Inflight: toAmount(p.GetInflight())},
		})
	}
	return s
}
