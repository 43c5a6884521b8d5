package place

import (
	"sort"

	"github.com/cranberrybay/cranberrybay/engine"
)

// maxLoads limits the loads in one plan. The weight store allows only a few at a
// time, and a plan for 4,000 engines with a load for each took 0.5 s.
const maxLoads = 64

// loadMissing plans a load for each missing copy, and one more for each part whose
// copies are all in one failure domain. The parts with the fewest copies come first.
func (p *planner) loadMissing() {
	missing := make([]*target, 0, len(p.targetList))
	for _, t := range p.targetList {
		if t.serving+t.pending < t.copies || p.inOneDomain(t) {
			missing = append(missing, t)
		}
	}
	sort.SliceStable(missing, func(i, j int) bool {
		a, b := missing[i], missing[j]
		return a.serving+a.pending < b.serving+b.pending
	})
	for len(missing) > 0 {
		var again []*target
		for _, t := range missing {
			if len(p.loads) == maxLoads {
				return
			}
			if !p.planLoad(t) {
				if n := t.copies - t.serving - t.pending; n > 0 {
					p.addShortfall(t, n)
				}
				continue
			}
			if t.serving+t.pending < t.copies {
				again = append(again, t)
			}
		}
		missing = again
	}
}

// inOneDomain reports whether a part has all of its copies, more than one, in a
// single failure domain, whose failure would end them all.
func (p *planner) inOneDomain(t *target) bool {
	return t.copies > 1 && t.serving >= t.copies && t.pending == 0 && p.usedDomains(t) == 1
}

// usedDomains returns the number of failure domains with a copy of a part.
func (p *planner) usedDomains(t *target) int {
	n := 0
	for _, c := range t.domains {
		if c > 0 {
			n++
		}
	}
	return n
}

// loadOption is an engine that could load a part.
type loadOption struct {
	server        *server
	evict         eviction
	preconditions []Precondition
	domainCopies  int // of the part in the engine's failure domain
	sameLayers    bool
}

// eviction states what an engine must unload to make room for a part.
type eviction uint8

const (
	evictNothing eviction = iota
	evictUnused           // all parts that it does not serve
	evictServed           // all parts, including the one that it serves
)

// better reports whether a is preferred to b: failure domains with fewer copies come
// first, then engines that unload less, then engines that hold the same layers of
// another version, then engines with fewer running requests.
func (a loadOption) better(b loadOption) bool {
	switch {
	case a.domainCopies != b.domainCopies:
		return a.domainCopies < b.domainCopies
	case a.evict != b.evict:
		return a.evict < b.evict
	case a.sameLayers != b.sameLayers:
		return a.sameLayers
	case a.server.Running != b.server.Running:
		return a.server.Running < b.server.Running
	default:
		return a.server.Name < b.server.Name
	}
}

// planLoad plans the load of one copy and returns false if no engine can load it.
func (p *planner) planLoad(t *target) bool {
	spreadOnly := p.inOneDomain(t)
	var best loadOption
	for _, s := range p.byService[t.wish.Service] {
		if !s.modifiable() {
			continue
		}
		c, ok := p.evaluate(s, t)
		if !ok || spreadOnly && (c.domainCopies > 0 || c.evict != evictNothing) {
			continue
		}
		if best.server == nil || c.better(best) {
			best = c
		}
	}
	s := best.server
	if s == nil {
		return false
	}
	part := t.part
	var hold []engine.Part
	for _, h := range s.hold {
		if best.evict == evictNothing || best.evict == evictUnused && s.Serve != nil && h.Key() == s.Serve.Key() {
			hold = append(hold, h)
		} else {
			s.unloads = append(s.unloads, h)
		}
	}
	if s.Serve == nil || best.evict == evictServed {
		s.serve = &part
	}
	s.preconditions = append(s.preconditions, best.preconditions...)
	s.hold = append(hold, part)
	s.loadMB, s.changed = part.Size, true
	t.pending++
	t.domains[s.Domain]++
	p.loads = append(p.loads, s)
	return true
}

// evaluate returns the option of loading a part on an engine and whether the engine
// may load it. It may not if its failure domain is excluded by the wish, if the part does
// not fit, if it holds a part that a wish asks for, if it is loading, or if it can
// make room only by ending the last copy of the part that it serves.
func (p *planner) evaluate(s *server, t *target) (loadOption, bool) {
	c := loadOption{server: s, domainCopies: t.domains[s.Domain]}
	if !t.wish.allows(s.Domain) || p.targetOf(s) != nil || t.part.Size > s.Memory {
		return c, false
	}
	used, serving := 0, 0
	for _, h := range s.Parts {
		if !h.Ready {
			return c, false
		}
		used += h.Size
		if s.Serve != nil && h.Key() == s.Serve.Key() {
			serving = h.Size
		}
		c.sameLayers = c.sameLayers || h.Model == t.part.Model && h.First == t.part.First && h.Last == t.part.Last
	}
	switch {
	case used+t.part.Size <= s.Memory:
		return c, true
	case serving+t.part.Size <= s.Memory:
		c.evict = evictUnused
		return c, true
	}
	c.evict = evictServed
	conditions, ok := p.stopConditions(s, t)
	c.preconditions = conditions
	return c, ok
}
