package relay

import (
	"sort"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/path"
	"github.com/cranberrybay/cranberrybay/server"
)

const (
	// nearTransfer is the time in seconds that a token takes to the next engine
	// of the same failure domain.
	nearTransfer = 0.15e-3
	// answerShare is the part of the largest possible answer that a stream is
	// expected to write when the caller gives no estimate.
	answerShare = 0.5
)

// expected returns the tokens of the answer that a stream will likely write.
func (rq *Request) expected(e *config.Engine) float64 {
	if rq.Hint > 0 {
		return float64(rq.Hint)
	}
	if rq.Answer > 0 {
		return answerShare * float64(rq.Answer)
	}
	return e.Answer
}

// findTrack chooses a path for a stream and counts the stream at its engines.
// First names the engine that must be first, if any.
func (r *Relay) findTrack(rq *Request, first string, without map[string]bool) (*track, bool) {
	all := r.cfg.Servers.Servers(rq.Service.Name)
	e := rq.Service.Engine
	if e == nil || e.Layers == 0 {
		return r.whole(rq, all, without)
	}
	domains, names := domainsOf(all, r.cfg.Domain)
	engines := make([]path.Engine, len(all))
	for i, s := range all {
		engines[i] = r.candidate(s, e, domains)
	}
	want := path.Want{
		Layers: e.Layers, Domain: domains[r.cfg.Domain], Prompt: float64(rq.Prompt), Answer: rq.expected(e),
		First: first, Without: without,
	}
	hops, _, ok := path.Choose(want, engines, links(e, names))
	if !ok {
		return nil, false
	}
	t := &track{first: all[hops[0].Engine]}
	for _, h := range hops {
		s := all[h.Engine]
		t.hops = append(t.hops, Hop{Address: s.Address(), From: h.From, To: h.To})
		t.ends = append(t.ends, s.Begin(int64((want.Prompt+want.Answer)*float64(h.To-h.From))))
	}
	return t, true
}

// whole chooses one engine that holds the whole model.
func (r *Relay) whole(rq *Request, all []*server.Server, without map[string]bool) (*track, bool) {
	tried := map[string]bool{}
	for _, s := range all {
		if without[s.Address()] {
			tried[s.ID()] = true
		}
	}
	s := r.pick(rq, tried)
	if s == nil {
		return nil, false
	}
	return &track{first: s, ends: []func(){s.Begin(0)}}, true
}

func domainsOf(all []*server.Server, self string) (map[string]int, []string) {
	seen := map[string]bool{self: true}
	names := []string{self}
	for _, s := range all {
		if !seen[s.Domain()] {
			seen[s.Domain()] = true
			names = append(names, s.Domain())
		}
	}
	sort.Strings(names)
	index := make(map[string]int, len(names))
	for i, name := range names {
		index[name] = i
	}
	return index, names
}

func links(e *config.Engine, names []string) path.Links {
	l := path.Links{Near: nearTransfer}
	if e.Pipe > 0 {
		l.Token = e.Activation * 8 / (e.Pipe * 1e6)
	}
	for _, from := range names {
		row := make([]float64, len(names))
		for i, to := range names {
			if from != to {
				row[i] = e.Delay(from, to).Seconds()
			}
		}
		l.Far = append(l.Far, row)
	}
	return l
}

// candidate describes an engine with the load that all entry processes have on
// it.
func (r *Relay) candidate(s *server.Server, e *config.Engine, domains map[string]int) path.Engine {
	entry := s.Entry()
	card, ok := e.Cards[entry.Card]
	if !ok || entry.To <= entry.From {
		return path.Engine{Name: s.Address()}
	}
	streams, tokens := r.cfg.Others(s.ID())
	streams += s.Inflight()
	tokens += s.Claimed()
	layers := float64(entry.To - entry.From)
	context := 0.0
	if streams > 0 {
		context = float64(tokens) / layers // tokens of all streams on one layer
	}
	step := e.Step.Seconds() + float64(streams)*e.PerRequest.Seconds() + context/1000*e.PerContext.Seconds()
	out := path.Engine{
		Name: s.Address(), Domain: domains[entry.Domain], From: entry.From, To: entry.To,
		Step:    step * card.Pace / float64(e.Layers),
		Room:    Room(e, card, entry.To-entry.From),
		Used:    float64(tokens),
		Streams: streams, Slots: max(entry.Slots, 1),
		Suspect: s.Suspected(),
	}
	if e.ReadRate > 0 {
		out.Read = card.Read / e.ReadRate / float64(e.Layers)
	}
	return out
}

// Room returns the layer tokens of KV cache that a card keeps beside some
// layers.
func Room(e *config.Engine, card config.Card, layers int) float64 {
	if e.TokenMemory <= 0 {
		return 0
	}
	free := card.Memory - float64(layers)*e.LayerMemory
	return max(free*1e6/(e.TokenMemory/float64(e.Layers)), 1)
}
