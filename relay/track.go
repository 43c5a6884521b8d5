package relay

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/path"
	"github.com/cranberrybay/cranberrybay/server"
)

const (
	// nearTransfer is the time in seconds that a token takes to the next engine
	// of the same failure domain.
	nearTransfer = 0.15e-3
	// spread is the largest random addition to the times of a failure domain.
	spread = 0.15
	// crowdSpread is that to the times of each engine when engines have died: all
	// streams over them choose within milliseconds, and the prompts of 70 streams
	// that one engine reads take it 100 to 200 ms.
	crowdSpread = 1.0
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
func (r *Relay) findTrack(rq *Request, without map[string]bool) (*track, bool) {
	all := r.cfg.Servers.Servers(rq.Service.Name)
	e := rq.Service.Engine
	if e == nil || e.Layers == 0 {
		return r.whole(rq, all, without)
	}
	m := r.survey(rq, all, len(without) > 0)
	want := path.Request{To: e.Layers, Domain: m.domains[r.cfg.Domain], NextDomain: path.NoDomain, Excluded: m.neighbours(without)}
	hops, ok := m.choose(want)
	if !ok && len(without) > 0 {
		want.Excluded = without
		hops, ok = m.choose(want)
	}
	if !ok && m.ignoreSlots() {
		hops, ok = m.choose(want)
	}
	if !ok {
		return nil, false
	}
	return m.track(hops), true
}

// detour replaces the hops of a track over dead engines. The other hops stay, so
// that their engines keep what they have read. With near set, a hop is replaced
// only by engines of the failure domain before it: otherwise the activations of
// all tokens so far cross the pipe, which takes 15 ms for each stream.
func (r *Relay) detour(rq *Request, t *track, dead map[string]bool, near bool) (*track, bool) {
	m := r.survey(rq, r.cfg.Servers.Servers(rq.Service.Name), true)
	without := map[string]bool{}
	for address := range dead {
		without[address] = true
	}
	old := t.path()
	for _, h := range old {
		without[h.Address] = true
	}
	var hops []Hop
	for i, h := range old {
		if !dead[h.Address] {
			hops = append(hops, h)
			continue
		}
		if i == 0 {
			return nil, false // a path can't change its first engine
		}
		want := path.Request{From: h.From, To: h.To, Domain: m.domainAt(old[i-1].Address), NextDomain: path.NoDomain, Excluded: without}
		if i+1 < len(old) {
			want.NextDomain = m.domainAt(old[i+1].Address)
		}
		if near {
			want.Excluded = m.with(without, func(e path.Engine) bool { return e.Domain != want.Domain })
		}
		part, ok := m.choose(want)
		if !ok {
			return nil, false
		}
		for _, p := range part {
			without[p.Address] = true
		}
		hops = append(hops, part...)
	}
	return m.track(hops), true
}

// survey is the view of the engines for one choice.
type survey struct {
	relay   *Relay
	rq      *Request
	servers []*server.Server
	engines []path.Engine
	domains map[string]int
	links   path.LinkCosts
}

// survey describes the engines. A crowd of streams that choose at the same moment
// is spread over engines with similar times.
func (r *Relay) survey(rq *Request, all []*server.Server, crowd bool) *survey {
	e := rq.Service.Engine
	m := &survey{relay: r, rq: rq, servers: all, engines: make([]path.Engine, len(all))}
	var names []string
	m.domains, names = domainsOf(all, r.cfg.Domain)
	m.links = links(e, names)
	// Processes that choose at the same moment do not see each other's choice.
	lean := make([]float64, len(names))
	for i := range lean {
		lean[i] = 1 + spread*rand.Float64()
	}
	for i, s := range all {
		m.engines[i] = r.candidate(s, e, m.domains)
		m.engines[i].LayerPass *= lean[m.engines[i].Domain]
		if crowd {
			x := 1 + crowdSpread*rand.Float64()
			m.engines[i].LayerPass *= x
			m.engines[i].LayerPrefill *= x
		}
	}
	return m
}

// domainAt returns the failure domain of the engine at an address.
func (m *survey) domainAt(address string) int {
	for i, s := range m.servers {
		if s.Address() == address {
			return m.engines[i].Domain
		}
	}
	return m.domains[m.relay.cfg.Domain]
}

// with returns a set with some engines added.
func (m *survey) with(set map[string]bool, added func(e path.Engine) bool) map[string]bool {
	out := maps.Clone(set)
	for _, e := range m.engines {
		if added(e) {
			out[e.Name] = true
		}
	}
	return out
}

// ignoreSlots lets full engines be the first of a path, as engines queue a few
// streams beyond their slots. It tells whether there were any.
func (m *survey) ignoreSlots() bool {
	full := false
	for i := range m.engines {
		e := &m.engines[i]
		full = full || (e.Slots > 0 && e.Entries >= e.Slots)
		e.Entries = 0
	}
	return full
}

// neighbours returns a set with all engines of the failure domains of its members.
// Engines of a domain often die together, and the first refusal names one of
// them.
func (m *survey) neighbours(without map[string]bool) map[string]bool {
	if len(without) == 0 {
		return without
	}
	domains := map[int]bool{}
	for _, e := range m.engines {
		if without[e.Name] {
			domains[e.Domain] = true
		}
	}
	return m.with(without, func(e path.Engine) bool { return domains[e.Domain] })
}

func (m *survey) choose(w path.Request) ([]Hop, bool) {
	w.Prompt, w.Answer = float64(m.rq.Prompt), m.rq.expected(m.rq.Service.Engine)
	found, _, ok := path.Choose(w, m.engines, m.links)
	if !ok {
		return nil, false
	}
	hops := make([]Hop, 0, len(found))
	for _, h := range found {
		hops = append(hops, Hop{Address: m.servers[h.Engine].Address(), From: h.From, To: h.To})
	}
	return hops, true
}

// track counts the stream at the engines of a path.
func (m *survey) track(hops []Hop) *track {
	tokens := float64(m.rq.Prompt) + m.rq.expected(m.rq.Service.Engine)
	t := &track{hops: hops}
	for _, h := range hops {
		s := m.relay.cfg.Servers.ByAddress(h.Address)
		if s == nil {
			continue // it left a moment ago
		}
		if t.first == nil {
			t.first = s
		}
		t.servers = append(t.servers, s)
		t.ends = append(t.ends, s.Begin(int64(tokens*float64(h.To-h.From))))
	}
	return t
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

func links(e *config.Engine, names []string) path.LinkCosts {
	l := path.LinkCosts{SameDomain: nearTransfer}
	if e.Pipe > 0 {
		l.LinkPerToken = e.Activation * 8 / (e.Pipe * 1e6)
	}
	for _, from := range names {
		row := make([]float64, len(names))
		for i, to := range names {
			if from != to {
				row[i] = e.Delay(from, to).Seconds()
			}
		}
		l.CrossDomain = append(l.CrossDomain, row)
	}
	return l
}

// candidate describes an engine with the load that all entry processes have on
// it.
func (r *Relay) candidate(s *server.Server, e *config.Engine, domains map[string]int) path.Engine {
	entry := s.Entry()
	card, ok := e.Cards[entry.Accelerator]
	if !ok || entry.To <= entry.From {
		return path.Engine{Name: s.Address()}
	}
	streams, tokens := r.cfg.Others(s.ID())
	streams += s.Inflight()
	tokens += s.ReservedTokens()
	layers := float64(entry.To - entry.From)
	context := 0.0
	if streams > 0 {
		context = float64(tokens) / layers // tokens of all streams on one layer
	}
	step := e.Step.Seconds() + float64(streams)*e.PerRequest.Seconds() + context/1000*e.PerContext.Seconds()
	out := path.Engine{
		Name: s.Address(), Domain: domains[entry.Domain], From: entry.From, To: entry.To,
		LayerPass: step * card.Pace / float64(e.Layers),
		Capacity:  Room(e, card, entry.To-entry.From),
		Used:      float64(tokens),
		Slots:     max(entry.Slots, 1),
		Suspect:   s.IsAvoided(),
	}
	if entry.From == 0 {
		out.Entries = streams // a path begins at the first layer
	}
	if e.ReadRate > 0 {
		out.LayerPrefill = card.Read / e.ReadRate / float64(e.Layers)
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

// MissingPart reports that an engine of a new path lacks its layers or memory.
type MissingPart struct{ Address string }

func (e *MissingPart) Error() string {
	return "engine " + e.Address + " can't take its part of the path"
}

// track is a path in use, counted at its engines.
type track struct {
	first *server.Server
	hops  []Hop

	mu      sync.Mutex
	servers []*server.Server
	ends    []func()
}

// moved records that an event passed through every engine of the path.
func (t *track) moved() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		s.RecordProgress()
	}
}

// leaving returns the addresses of engines of the path that leave, and of those that
// have given up layers which the path runs there.
func (t *track) leaving(all *server.Table) (leave, gaveUp map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		if s.Leaving() {
			leave = with(leave, s.Address())
		}
	}
	for _, h := range t.hops {
		if s := all.ByAddress(h.Address); s != nil && !s.Holds(h.From, h.To) {
			gaveUp = with(gaveUp, h.Address)
		}
	}
	return leave, gaveUp
}

func with(set map[string]bool, address string) map[string]bool {
	if set == nil {
		set = map[string]bool{}
	}
	set[address] = true
	return set
}

// foundDead returns the addresses of engines of the path that were found dead a
// moment ago and through which no other stream moves; nil when there are none.
func (t *track) foundDead() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out map[string]bool
	for _, s := range t.servers {
		if s.FoundDead(deadAvoidance) && s.SilentFor() > signOfLife {
			out = with(out, s.Address())
		}
	}
	return out
}

// silent returns the hops whose engines have shown no sign of life for a time.
func (t *track) silent(longer time.Duration) []Hop {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Hop
	for _, h := range t.hops {
		if !slices.ContainsFunc(t.servers, func(s *server.Server) bool { return s.Address() == h.Address && s.SilentFor() <= longer }) {
			out = append(out, h)
		}
	}
	return out
}

func (t *track) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, end := range t.ends {
		end()
	}
	t.ends = nil
}

// path returns the hops.
func (t *track) path() []Hop {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hops
}

// String returns the hops as address=from-to.
func (t *track) String() string {
	var b strings.Builder
	for i, h := range t.path() {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s=%d-%d", h.Address, h.From, h.To)
	}
	return b.String()
}

// replace takes over the path and the counts of another track.
func (t *track) replace(by *track) {
	t.end()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hops, t.servers, t.ends = by.hops, by.servers, by.ends
}
