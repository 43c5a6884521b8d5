package place

import (
	"fmt"
	"sort"

	"github.com/cranberrybay/cranberrybay/engine"
)

// Plan returns the actions that bring the engines closer to the wishes. Each
// engine gets at most one action, and each action is safe on its own: no layer
// range loses its last copy, whether or not the other actions are carried out.
func Plan(s State) Result {
	p := &planner{servers: map[string]*server{}, serving: map[engine.Part][]*server{}, targets: map[engine.Part]*target{}}
	for _, sv := range s.Servers {
		p.addServer(sv)
	}
	p.collectTargets(s.Wishes)
	for _, t := range p.targetList {
		p.switchOver(t)
	}
	for _, t := range p.targetList {
		p.unloadUnwanted(t)
	}
	for _, t := range p.targetList {
		p.unloadSurplus(t)
	}
	p.loadMissing()
	return p.result()
}

// server is an engine together with the action planned for it.
type server struct {
	Server
	hold          []engine.Part // parts to hold
	serve         *engine.Part  // part to serve; nil for none
	changed       bool
	loadMB        int
	preconditions []Precondition
	unloads       []engine.Part
}

// target is a part that wishes ask for, with the copies that exist.
type target struct {
	part    engine.Part
	copies  int
	wish    Wish
	serving int            // copies in service on known engines
	pending int            // further copies: loading, not served yet, or on uncertain engines
	domains map[string]int // number of both kinds of copies by failure domain
}

// planner holds the intermediate state of one call of Plan.
type planner struct {
	servers    map[string]*server
	names      []string
	byService  map[string][]*server
	serving    map[engine.Part][]*server
	targets    map[engine.Part]*target
	targetList []*target
	complete   map[string]bool // wishes whose ranges are all in service
	loads      []*server
	shortfalls []string
}

// addServer adds an engine whose action does not change anything yet.
func (p *planner) addServer(sv Server) {
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

// collectTargets collects the parts that the wishes ask for and counts their copies.
func (p *planner) collectTargets(wishes []Wish) {
	sort.Strings(p.names)
	p.byService, p.complete = map[string][]*server{}, map[string]bool{}
	for _, n := range p.names {
		s := p.servers[n]
		p.byService[s.Service] = append(p.byService[s.Service], s)
	}
	for _, w := range wishes {
		p.complete[w.Name] = true
		for _, r := range w.Ranges {
			part := w.part(r)
			k := part.Key()
			if p.targets[k] == nil {
				p.targets[k] = &target{part: part, wish: w, domains: map[string]int{}}
				p.targetList = append(p.targetList, p.targets[k])
			}
			p.targets[k].copies += w.Copies
			if len(p.serving[k]) == 0 {
				p.complete[w.Name] = false
			}
		}
	}
	for _, n := range p.names {
		p.countCopy(p.servers[n])
	}
}

// countCopy counts a server as a copy of the part that it serves or is going to
// serve.
func (p *planner) countCopy(s *server) {
	if s.Status == Gone {
		return
	}
	t := p.targetOf(s)
	if t == nil {
		return
	}
	if s.Status == Known && s.Serve != nil && s.Serve.Key() == t.part.Key() {
		t.serving++
	} else {
		t.pending++
	}
	t.domains[s.Domain]++
}

// targetOf returns the target that a server provides a copy of: the part that it
// serves, or else another part that it holds. It returns nil if there is none.
func (p *planner) targetOf(s *server) *target {
	if s.Serve != nil {
		if t := p.targets[s.Serve.Key()]; t != nil {
			return t
		}
	}
	for _, h := range s.Parts {
		if t := p.targets[h.Key()]; t != nil {
			return t
		}
	}
	return nil
}

// modifiable reports whether this plan may still change a server.
func (s *server) modifiable() bool { return s.Status == Known && !s.changed }

// stopConditions returns the preconditions under which a server may stop serving
// its part, or false if that would end the last copy. Either another copy stays, or
// no wish asks for the part and other servers serve all ranges of the wish that
// replaces it.
func (p *planner) stopConditions(s *server, t *target) ([]Precondition, bool) {
	if s.Serve == nil {
		return nil, true
	}
	k := s.Serve.Key()
	for _, o := range p.serving[k] {
		if o != s && !o.changed {
			return []Precondition{{o.Name, k}}, true
		}
	}
	if p.targets[k] != nil || !p.complete[t.wish.Name] {
		return nil, false
	}
	return p.wishConditions(s, t)
}

// wishConditions returns a precondition for each range of a wish, met by servers
// other than s, or false if no other server that this plan leaves unchanged serves one of
// the ranges.
func (p *planner) wishConditions(s *server, t *target) ([]Precondition, bool) {
	var conditions []Precondition
	for _, r := range t.wish.Ranges {
		k := t.wish.part(r).Key()
		found := false
		for _, o := range p.serving[k] {
			if o != s && !o.changed {
				conditions = append(conditions, Precondition{o.Name, k})
				found = true
				break
			}
		}
		if !found {
			return nil, false
		}
	}
	return conditions, true
}

// switchOver plans to serve a part that a server holds ready instead of an old one.
func (p *planner) switchOver(t *target) {
	k := t.part.Key()
	for _, s := range p.byService[t.wish.Service] {
		if !s.modifiable() || s.Serve != nil && p.targets[s.Serve.Key()] != nil || !holdsReady(s, k) {
			continue
		}
		conditions, ok := p.stopConditions(s, t)
		if !ok && p.canCompleteBySwitch(t, s) {
			// Without this engine, neither version can be served completely. All
			// ranges of the new version are served or ready, so that it is complete
			// once each engine has switched, and both versions stay in memory.
			conditions, ok = nil, true
		}
		if !ok {
			continue
		}
		part := t.part
		s.serve, s.preconditions, s.changed = &part, append(s.preconditions, conditions...), true
	}
}

// canCompleteBySwitch reports whether every range of the wish is served or held
// ready by some engine.
func (p *planner) canCompleteBySwitch(t *target, s *server) bool {
	for _, r := range t.wish.Ranges {
		k := t.wish.part(r).Key()
		if len(p.serving[k]) > 0 {
			continue
		}
		ready := false
		for _, o := range p.byService[t.wish.Service] {
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

// holdsReady reports whether a server holds a part and has finished loading it.
func holdsReady(s *server, k engine.Part) bool {
	for _, h := range s.Parts {
		if h.Ready && h.Key() == k {
			return true
		}
	}
	return false
}

// unloadUnwanted plans to unload parts of the same model that no wish asks for from
// the servers that serve a target, once all ranges of its wish are served.
func (p *planner) unloadUnwanted(t *target) {
	k := t.part.Key()
	if !p.complete[t.wish.Name] {
		return
	}
	for _, s := range p.byService[t.wish.Service] {
		if !s.modifiable() || s.Serve == nil || s.Serve.Key() != k || len(s.Parts) < 2 {
			continue
		}
		var keep, drop []engine.Part
		for _, h := range s.Parts {
			if h.Model != t.part.Model || p.targets[h.Key()] != nil {
				keep = append(keep, h.Part)
			} else {
				drop = append(drop, h.Part)
			}
		}
		if len(drop) == 0 {
			continue
		}
		s.hold, s.unloads, s.changed = keep, drop, true
		s.preconditions = append(s.preconditions, p.servedConditions(t)...)
	}
}

// servedConditions returns the preconditions for unloading other parts: for each range of
// the wish, which must all be served, one server that serves it must still do so.
func (p *planner) servedConditions(t *target) []Precondition {
	var conditions []Precondition
	for _, r := range t.wish.Ranges {
		k := t.wish.part(r).Key()
		conditions = append(conditions, Precondition{p.serving[k][0].Name, k})
	}
	return conditions
}

// unloadSurplus plans to unload copies beyond the number that the wishes ask for,
// from the failure domains with the most copies, so that their engines can hold
// other parts.
func (p *planner) unloadSurplus(t *target) {
	k := t.part.Key()
	for t.serving > t.copies {
		var chosen *server
		for _, s := range p.byService[t.wish.Service] {
			if s.modifiable() && s.Serve != nil && s.Serve.Key() == k && (chosen == nil || t.domains[s.Domain] > t.domains[chosen.Domain]) {
				chosen = s
			}
		}
		if chosen == nil {
			return
		}
		conditions, ok := p.stopConditions(chosen, t)
		if !ok {
			return
		}
		chosen.hold, chosen.serve, chosen.changed = nil, nil, true
		for _, h := range chosen.Parts {
			chosen.unloads = append(chosen.unloads, h.Part)
		}
		chosen.preconditions = append(chosen.preconditions, conditions...)
		t.serving--
		t.domains[chosen.Domain]--
	}
}

// result returns the planned actions, loads first in the order of planning.
func (p *planner) result() Result {
	r := Result{Shortfalls: p.shortfalls}
	for _, s := range p.loads {
		r.Actions = append(r.Actions, s.action())
	}
	for _, n := range p.names {
		if s := p.servers[n]; s.changed && s.loadMB == 0 {
			r.Actions = append(r.Actions, s.action())
		}
	}
	sort.Strings(r.Shortfalls)
	return r
}

func (s *server) action() Action {
	return Action{Server: s.Name, Hold: s.hold, Serve: s.serve, LoadMB: s.loadMB, Preconditions: s.preconditions, Unloads: s.unloads}
}

// addShortfall records that no engine can load the missing copies of a part.
func (p *planner) addShortfall(t *target, missing int) {
	p.shortfalls = append(p.shortfalls, fmt.Sprintf("%s: %d more copies of layers %d to %d of %s version %q need an engine with %d MB",
		t.wish.Name, missing, t.part.First, t.part.Last, t.part.Model, t.part.Version, t.part.Size))
}
