package place

import (
	"fmt"

	"github.com/cranberrybay/cranberrybay/engine"
)

// layer is one layer of a model on the engines of a service.
type layer struct {
	service string
	model   string
	index   int
}

// Check returns an error when a plan takes the last ready copy of a layer. It
// looks only at the state and the actions, not at how the plan came about, and
// runs before every round of orders.
func Check(s State, r Result) error {
	after := map[string]map[engine.Part]bool{}
	for _, a := range r.Actions {
		keeps := map[engine.Part]bool{}
		for _, p := range a.Hold {
			keeps[p.Key()] = true
		}
		after[a.Server] = keeps
	}
	ready := func(visit func(l layer, stays bool)) {
		for _, sv := range s.Servers {
			if sv.Status != Known {
				continue
			}
			keeps, changed := after[sv.Name]
			for _, h := range sv.Parts {
				if !h.Ready {
					continue
				}
				stays := !changed || keeps[h.Key()]
				for i := h.First; i < h.Last; i++ {
					visit(layer{sv.Service, h.Model, i}, stays)
				}
			}
		}
	}
	lost := map[layer]bool{}
	ready(func(l layer, stays bool) {
		if !stays {
			lost[l] = true
		}
	})
	if len(lost) == 0 {
		return nil
	}
	ready(func(l layer, stays bool) {
		if stays {
			delete(lost, l)
		}
	})
	for l := range lost {
		return fmt.Errorf("plan takes the last ready copy of layer %d of %s in service %s", l.index, l.model, l.service)
	}
	return nil
}
