package place

import (
	"fmt"
	"sort"

	"github.com/cranberrybay/cranberrybay/engine"
)

// Plan returns the actions that bring the engines closer to the wishes. Each
// engine gets at most one action, and each action is safe on its own: whether
// or not the others are carried out, no range loses its last copy.
func Plan(s State) Result {
	p := &planner{servers: map[string]*server{}, serving: map[engine.Part][]*server{}, wanted: map[engine.Part]*want{}}
	for _, sv := range s.Servers {
		p.add(sv)
	}
	p.want(s.Wishes)
	for _, w := range p.wants {
		p.switchOver(w)
	}
	for _, w := range p.wants {
		p.unloadOld(w)
	}
	for _, w := range p.wants {
		p.unloadSurplus(w)
	}
	p.loadMissing()
	return p.result()
}

// server is an engine with the action planned for it.
type server struct {
	Server
	hold    []engine.Part // wanted
	serve   *engine.Part  // wanted
	changed bool
	load    int
	needs   []Precondition
	drops   []engine.Part
}

// want is a part that wishes ask for.
type want struct {
	part    engine.Part
	copies  int
	wish    Wish
	serving int            // copies in service on known engines
	coming  int            // further copies: loading, waiting to be served, or unsure
	domains map[string]int // failure domains of both
}

type planner struct {
	servers map[string]*server
	names   []string
	service map[string][]*server // by service
	serving map[engine.Part][]*server
	wanted  map[engine.Part]*want
	wants   []*want
	whole   map[string]bool // wishes whose ranges are all in service
	loads   []*server
	short   []string
}

func (p *planner) add(sv Server) {
	s := &server{Server: sv, serve: sv.Serve}
	for _, h := range sv.Parts {
		s.hold = append(s.hold, h.Part)
	}
	p.servers[sv.Name] = s
	p.names = append(p.names, sv.Name)
	if sv.Status == Known && sv.Serve != nil {
		k := sv.Serve.Key()
		p.serving[k] = append(p.serving[k], s)
	}
}

// want collects the wanted parts and counts their copies.
func (p *planner) want(wishes []Wish) {
	sort.Strings(p.names)
	p.service, p.whole = map[string][]*server{}, map[string]bool{}
	for _, n := range p.names {
		s := p.servers[n]
		p.service[s.Service] = append(p.service[s.Service], s)
	}
	for _, w := range wishes {
		p.whole[w.Name] = true
		for _, r := range w.Ranges {
			part := w.part(r)
			k := part.Key()
			if p.wanted[k] == nil {
				p.wanted[k] = &want{part: part, wish: w, domains: map[string]int{}}
				p.wants = append(p.wants, p.wanted[k])
			}
			p.wanted[k].copies += w.Copies
			if len(p.serving[k]) == 0 {
				p.whole[w.Name] = false
			}
		}
	}
	for _, n := range p.names {
		p.count(p.servers[n])
	}
}

// count adds a server to the copies of the part that it serves, or is going
// to serve.
func (p *planner) count(s *server) {
	if s.Status == Gone {
		return
	}
	w := p.purpose(s)
	if w == nil {
		return
	}
	if s.Status == Known && s.Serve != nil && s.Serve.Key() == w.part.Key() {
		w.serving++
	} else {
		w.coming++
	}
	w.domains[s.Domain]++
}

// purpose returns the wanted part that a server is for: the one that it
// serves, or else the one that it holds beside an old one.
func (p *planner) purpose(s *server) *want {
	if s.Serve != nil {
		if w := p.wanted[s.Serve.Key()]; w != nil {
			return w
		}
	}
	for _, h := range s.Parts {
		if w := p.wanted[h.Key()]; w != nil {
			return w
		}
	}
	return nil
}

// free tells whether a server may be changed by this plan.
func (s *server) free() bool { return s.Status == Known && !s.changed }

// release returns what must hold for a server to stop to serve its part, or
// false when that would take the last copy. Either another copy stays, or the
// part is not wanted and all ranges of the wish that replaces it are served.
func (p *planner) release(s *server, w *want) ([]Precondition, bool) {
	if s.Serve == nil {
		return nil, true
	}
	k := s.Serve.Key()
	for _, o := range p.serving[k] {
		if o != s && !o.changed {
			return []Precondition{{o.Name, k}}, true
		}
	}
	if p.wanted[k] != nil || !p.whole[w.wish.Name] {
		return nil, false
	}
	return p.wholeNeeds(s, w)
}

// wholeNeeds names a copy of each range of a wish on servers other than s.
func (p *planner) wholeNeeds(s *server, w *want) ([]Precondition, bool) {
	var needs []Precondition
	for _, r := range w.wish.Ranges {
		k := w.wish.part(r).Key()
		found := false
		for _, o := range p.serving[k] {
			if o != s && !o.changed {
				needs = append(needs, Precondition{o.Name, k})
				found = true
				break
			}
		}
		if !found {
			return nil, false
		}
	}
	return needs, true
}

// switchOver lets servers serve a wanted part that they hold ready beside an
// old one.
func (p *planner) switchOver(w *want) {
	k := w.part.Key()
	for _, s := range p.service[w.wish.Service] {
		if !s.free() || s.Serve != nil && p.wanted[s.Serve.Key()] != nil || !holdsReady(s, k) {
			continue
		}
		needs, ok := p.release(s, w)
		if !ok && p.waiting(w, s) {
			// Neither version can be served in full on other engines. All
			// ranges of the new one are loaded, so that one more switch of
			// each engine completes it, and both stay in memory.
			needs, ok = nil, true
		}
		if !ok {
			continue
		}
		part := w.part
		s.serve, s.needs, s.changed = &part, append(s.needs, needs...), true
	}
}

// waiting tells whether every range of the wish is ready somewhere and no
// other engine could serve the range of s instead.
func (p *planner) waiting(w *want, s *server) bool {
	for _, r := range w.wish.Ranges {
		k := w.wish.part(r).Key()
		if len(p.serving[k]) > 0 {
			continue
		}
		ready := false
		for _, o := range p.service[w.wish.Service] {
			if o.Status == Known && holdsReady(o, k) {
				ready = true
				break
			}
		}
		if !ready {
			return false
		}
	}
	return true
}

func holdsReady(s *server, k engine.Part) bool {
	for _, h := range s.Parts {
		if h.Ready && h.Key() == k {
			return true
		}
	}
	return false
}

// unloadOld drops parts that nobody wants beside the one that is served, once
// the wish is whole on other engines.
func (p *planner) unloadOld(w *want) {
	k := w.part.Key()
	if !p.whole[w.wish.Name] {
		return
	}
	for _, s := range p.service[w.wish.Service] {
		if !s.free() || s.Serve == nil || s.Serve.Key() != k || len(s.Parts) < 2 {
			continue
		}
		var keep, drop []engine.Part
		for _, h := range s.Parts {
			if h.Model != w.part.Model || p.wanted[h.Key()] != nil {
				keep = append(keep, h.Part)
			} else {
				drop = append(drop, h.Part)
			}
		}
		if len(drop) == 0 {
			continue
		}
		s.hold, s.drops, s.changed = keep, drop, true
		s.needs = append(s.needs, p.allNeeds(w)...)
	}
}

// allNeeds names a copy of each range of a whole wish.
func (p *planner) allNeeds(w *want) []Precondition {
	var needs []Precondition
	for _, r := range w.wish.Ranges {
		k := w.wish.part(r).Key()
		needs = append(needs, Precondition{p.serving[k][0].Name, k})
	}
	return needs
}

// unloadSurplus drops copies over the wished number, from the failure domain
// with the most of them, so that their engines can hold something else.
func (p *planner) unloadSurplus(w *want) {
	k := w.part.Key()
	for w.serving > w.copies {
		var worst *server
		for _, s := range p.service[w.wish.Service] {
			if s.free() && s.Serve != nil && s.Serve.Key() == k && (worst == nil || w.domains[s.Domain] > w.domains[worst.Domain]) {
				worst = s
			}
		}
		if worst == nil {
			return
		}
		needs, ok := p.release(worst, w)
		if !ok {
			return
		}
		worst.hold, worst.serve, worst.changed = nil, nil, true
		for _, h := range worst.Parts {
			worst.drops = append(worst.drops, h.Part)
		}
		worst.needs = append(worst.needs, needs...)
		w.serving--
		w.domains[worst.Domain]--
	}
}

func (p *planner) result() Result {
	r := Result{Shortfalls: p.short}
	for _, s := range p.loads {
		r.Actions = append(r.Actions, s.action())
	}
	for _, n := range p.names {
		if s := p.servers[n]; s.changed && s.load == 0 {
			r.Actions = append(r.Actions, s.action())
		}
	}
	sort.Strings(r.Shortfalls)
	return r
}

func (s *server) action() Action {
	return Action{Server: s.Name, Hold: s.hold, Serve: s.serve, Load: s.load, Preconditions: s.needs, Unloads: s.drops}
}

func (p *planner) lack(w *want, n int) {
	p.short = append(p.short, fmt.Sprintf("%s: %d more copies of layers %d to %d of %s version %q need an engine with %d MB",
		w.wish.Name, n, w.part.First, w.part.Last, w.part.Model, w.part.Version, w.part.Size))
}
