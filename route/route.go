// Package route chooses the stages of a pipeline: backend servers whose layer
// ranges cover every layer of the model exactly once, in order.
package route

import (
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/fleet"
)

// Stage is one backend server of a route and the layers it runs.
type Stage struct {
	Name    string
	Address string
	First   int // first layer, inclusive
	Last    int // last layer, exclusive
}

// Route is the ordered list of stages.
type Route []Stage

// Tiles tells whether the stages cover layers 0 to n-1 once, in order.
func (r Route) Tiles(n int) bool {
	next := 0
	for _, s := range r {
		if s.First != next || s.Last <= s.First {
			return false
		}
		next = s.Last
	}
	return next == n
}

// Want describes the route to choose.
type Want struct {
	Service string
	Layers  int
	Domain  string          // failure domain of this process
	Avoid   map[string]bool // names of servers not to use
}

// Cost of a candidate in units of one waiting request.
const (
	domainCost = 0.5 // a hop into another failure domain
	downCost   = 1000
)

// Choose returns the cheapest route over the servers of a service. It fails
// with fault.Unavailable, not run, when the ranges can't be tiled.
func Choose(t *fleet.Table, w Want) (Route, error) {
	servers := t.Servers(w.Service)
	type best struct {
		cost  float64
		stage Stage
		dom   string
		ok    bool
	}
	// at[l] is the cheapest way to have run layers 0 to l-1.
	at := make([]best, w.Layers+1)
	at[0] = best{ok: true, dom: w.Domain}
	for l := 0; l < w.Layers; l++ {
		if !at[l].ok {
			continue
		}
		for _, c := range servers {
			if c.First != l || c.Last > w.Layers || c.Last <= l || w.Avoid[c.Name] {
				continue
			}
			cost := at[l].cost + load(c)
			if c.Domain != at[l].dom {
				cost += domainCost
			}
			if b := at[c.Last]; !b.ok || cost < b.cost {
				at[c.Last] = best{cost: cost, ok: true, dom: c.Domain, stage: Stage{Name: c.Name, Address: c.Address, First: c.First, Last: c.Last}}
			}
		}
	}
	if !at[w.Layers].ok {
		return nil, fault.New(fault.Config{
			Verdict: fault.NotRun, Code: fault.Unavailable,
			Reason:  "no set of ready backend servers covers all layers of the model",
			RetryAt: time.Now().Add(time.Second),
		})
	}
	var r Route
	for l := w.Layers; l > 0; l = at[l].stage.First {
		r = append(Route{at[l].stage}, r...)
	}
	return r, nil
}

func load(c fleet.Candidate) float64 {
	cost := float64(c.Inflight+c.Waiting) / float64(max(c.Slots, 1))
	if c.Down {
		cost += downCost
	}
	return cost
}
