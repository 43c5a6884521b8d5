package place

import (
	"fmt"

	"github.com/cranberrybay/cranberrybay/engine"
)

// layer identifies one layer of a model in a service.
type layer struct {
	service string
	model   string
	index   int
}

// Check returns an error if a plan would unload the last ready copy of a layer. It
// is independent of the planner: it compares only the state and the actions. The
// controller calls it before it sends the orders of a plan.
func Check(s State, r Result) error {
	keptBy := map[string]map[engine.Part]bool{}
	for _, a := range r.Actions {
		parts := map[engine.Part]bool{}
		for _, p := range a.Hold {
			parts[p.Key()] = true
		}
		keptBy[a.Server] = parts
	}
	forEachReady := func(visit func(l layer, kept bool)) {
		for _, sv := range s.Servers {
			if sv.Status != Known {
				continue
			}
			parts, changed := keptBy[sv.Name]
			for _, h := range sv.Parts {
				if !h.Ready {
					continue
				}
				kept := !changed || parts[h.Key()]
				for i := h.First; i < h.Last; i++ {
					visit(layer{sv.Service, h.Model, i}, kept)
				}
			}
		}
	}
	lost := map[layer]bool{}
	forEachReady(func(l layer, kept bool) {
		if !kept {
			lost[l] = true
		}
	})
	if len(lost) == 0 {
		return nil
	}
	forEachReady(func(l layer, kept bool) {
		if kept {
			delete(lost, l)
		}
	})
	for l := range lost {
		return fmt.Errorf("plan would unload the last ready copy of layer %d of model %s in service %s", l.index, l.model, l.service)
	}
	return nil
}
