package place

import (
	"sort"

	"github.com/cranberrybay/cranberrybay/engine"
)

// maxLoads bounds the loads of one plan. The weight store allows few at a time,
// and a plan for 4,000 engines took 0.5 s when it held a load for each.
const maxLoads = 64

// loadMissing plans a load for each missing copy, the parts with the fewest
// copies first.
func (p *planner) loadMissing() {
	missing := make([]*want, 0, len(p.wants))
	for _, w := range p.wants {
		if w.serving+w.coming < w.copies || p.crowded(w) {
			missing = append(missing, w)
		}
	}
	sort.SliceStable(missing, func(i, j int) bool {
		a, b := missing[i], missing[j]
		return a.serving+a.coming < b.serving+b.coming
	})
	for len(missing) > 0 {
		var again []*want
		for _, w := range missing {
			if len(p.loads) == maxLoads {
				return
			}
			if !p.loadOne(w) {
				if n := w.copies - w.serving - w.coming; n > 0 {
					p.lack(w, n)
				}
				continue
			}
			if w.serving+w.coming < w.copies {
				again = append(again, w)
			}
		}
		missing = again
	}
}

// crowded tells whether all copies of a part are in one failure domain
// although the wish allows others: one domain's failure would take them all.
func (p *planner) crowded(w *want) bool {
	return w.copies > 1 && w.serving >= w.copies && w.coming == 0 && p.used(w) == 1
}

func (p *planner) used(w *want) int {
	n := 0
	for _, c := range w.domains {
		if c > 0 {
			n++
		}
	}
	return n
}

// choice is an engine that could load a part.
type choice struct {
	server *server
	evict  eviction
	needs  []Precondition
	copies int // of the part in the engine's failure domain
	same   bool
}

// eviction says what an engine must unload before it has room for a part.
type eviction uint8

const (
	nothing eviction = iota
	unused           // parts that nobody wants and that are not served
	served           // the part that it serves too
)

// better orders choices: spread over failure domains first, then engines that
// keep what they serve, then those that hold the same layers of another
// version, then those with few requests.
func (a choice) better(b choice) bool {
	switch {
	case a.copies != b.copies:
		return a.copies < b.copies
	case a.evict != b.evict:
		return a.evict < b.evict
	case a.same != b.same:
		return a.same
	case a.server.Running != b.server.Running:
		return a.server.Running < b.server.Running
	default:
		return a.server.Name < b.server.Name
	}
}

// loadOne plans the load of one copy and returns false when no engine can.
func (p *planner) loadOne(w *want) bool {
	crowded := p.crowded(w)
	var best choice
	for _, s := range p.service[w.wish.Service] {
		if !s.free() {
			continue
		}
		c, ok := p.choice(s, w)
		if !ok || crowded && (c.copies > 0 || c.evict != nothing) {
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
	part := w.part
	var hold []engine.Part
	for _, h := range s.hold {
		if best.evict == nothing || best.evict == unused && s.Serve != nil && h.Key() == s.Serve.Key() {
			hold = append(hold, h)
		} else {
			s.drops = append(s.drops, h)
		}
	}
	if s.Serve == nil || best.evict == served {
		s.serve = &part
	}
	s.needs = append(s.needs, best.needs...)
	s.hold = append(hold, part)
	s.load, s.changed = part.Size, true
	w.coming++
	w.domains[s.Domain]++
	p.loads = append(p.loads, s)
	return true
}

// choice tells whether an engine may load a part. Engines that serve or are
// to serve a wanted part, or that are loading, are not free.
func (p *planner) choice(s *server, w *want) (choice, bool) {
	c := choice{server: s, copies: w.domains[s.Domain]}
	if !w.wish.allows(s.Domain) || p.purpose(s) != nil || w.part.Size > s.Memory {
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
		c.same = c.same || h.Model == w.part.Model && h.First == w.part.First && h.Last == w.part.Last
	}
	switch {
	case used+w.part.Size <= s.Memory:
		return c, true
	case serving+w.part.Size <= s.Memory:
		c.evict = unused
		return c, true
	}
	c.evict = served
	needs, ok := p.release(s, w)
	c.needs = needs
	return c, ok
}
