package peer

import (
	"net/http"
	"time"

	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/member"
	"github.com/cranberrybay/cranberrybay/wire"
)

func fromMember(m member.Member) *wire.Member {
	return &wire.Member{
		Name: m.Name, Incarnation: m.Incarnation, Domain: m.Domain, Region: m.Region,
		Callers: m.Callers, Peers: m.Peers, Leaving: m.Leaving, Sequence: m.Sequence,
	}
}

func toMember(m *wire.Member) member.Member {
	return member.Member{
		Name: m.GetName(), Incarnation: m.GetIncarnation(), Domain: m.GetDomain(), Region: m.GetRegion(),
		Callers: m.GetCallers(), Peers: m.GetPeers(), Leaving: m.GetLeaving(), Sequence: m.GetSequence(),
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
func fromReach(r member.Reach) *wire.Reach {
	if r == (member.Reach{}) {
		return nil
	}
	return &wire.Reach{Relay: r.Relay, First: r.First, Last: r.Last}
}

func toReach(r *wire.Reach) member.Reach {
	return member.Reach{Relay: r.GetRelay(), First: r.GetFirst(), Last: r.GetLast()}
}

func fromNews(n member.News) *wire.News {
	out := &wire.News{Reach: fromReach(n.Reach), List: n.List}
	for _, e := range n.Events {
		out.Events = append(out.Events, &wire.Event{Member: fromMember(e.Member), Kind: uint32(e.Kind)})
	}
	return out
}

func toNews(n *wire.News) member.News {
	out := member.News{Reach: toReach(n.GetReach()), List: n.GetList()}
	for _, e := range n.GetEvents() {
		out.Events = append(out.Events, member.Event{Kind: member.Kind(e.GetKind()), Member: toMember(e.GetMember())})
	}
	return out
}

func fromVerdicts(v member.Verdicts) *wire.Verdicts {
	out := &wire.Verdicts{Alive: v.Alive}
	for _, m := range v.Members {
		out.Members = append(out.Members, fromMember(m))
	}
	return out
}

func toVerdicts(v *wire.Verdicts) member.Verdicts {
	out := member.Verdicts{Alive: v.GetAlive()}
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
			r.Docs = append(r.Docs, change.Doc{
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

func fromDemands(ds []Demand) *wire.Demands {
	out := &wire.Demands{}
	for _, d := range ds {
		out.Demands = append(out.Demands, &wire.Demand{Account: d.Account, Rate: d.Rate, Tokens: d.Tokens, Inflight: uint32(d.Inflight)})
	}
	return out
}

func toDemands(m *wire.Demands) []Demand {
	out := make([]Demand, 0, len(m.GetDemands()))
	for _, d := range m.GetDemands() {
		out = append(out, Demand{Account: d.GetAccount(), Rate: d.GetRate(), Tokens: d.GetTokens(), Inflight: int(d.GetInflight())})
	}
	return out
}

// Shares travel as the time left, since clocks of different processes differ.
func fromShares(ss []Share) *wire.Shares {
	out := &wire.Shares{}
	for _, s := range ss {
		out.Shares = append(out.Shares, &wire.Share{
			Account: s.Account, Rate: s.Rate, Tokens: s.Tokens, Inflight: s.Inflight, Milliseconds: time.Until(s.Until).Milliseconds(),
		})
	}
	return out
}

// asked is when the demand was sent, so that the way of the reply does not
// prolong a share.
func toShares(m *wire.Shares, asked time.Time) []Share {
	out := make([]Share, 0, len(m.GetShares()))
	for _, s := range m.GetShares() {
		out = append(out, Share{
			Account: s.GetAccount(), Rate: s.GetRate(), Tokens: s.GetTokens(), Inflight: s.GetInflight(),
			Until: asked.Add(time.Duration(s.GetMilliseconds()) * time.Millisecond),
		})
	}
	return out
}
