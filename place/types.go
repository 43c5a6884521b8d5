// Package place is the placement controller. The holder of a lease turns the
// published placement wishes and the reported state of the engines into
// orders. Plan is a pure function from state to actions; Controller reads the
// state and sends the actions.
package place

import (
	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/spec"
)

// Wish is a placement wish together with the model of its service.
type Wish struct {
	Name    string
	Service string
	Model   string
	Version string
	Adapter string
	Ranges  [][2]int
	Copies  int      // copies of each range in service
	Memory  int      // MB of one layer
	Domains []string // failure domains to use; empty for all
}

// Wishes returns the wishes of a configuration for model services.
func Wishes(t *spec.Tree) []Wish {
	var out []Wish
	for _, w := range t.Wishes() {
		s := t.Service(w.Service())
		if s == nil || !s.IsModel() {
			continue
		}
		out = append(out, Wish{
			Name: w.Name(), Service: w.Service(), Model: s.Model(), Version: w.Version(), Adapter: w.Adapter(),
			Ranges: w.Ranges(), Copies: w.Copies(), Memory: w.LayerMemory(), Domains: w.Domains(),
		})
	}
	return out
}

func (w Wish) part(r [2]int) engine.Part {
	return engine.Part{Model: w.Model, Version: w.Version, Adapter: w.Adapter, First: r[0], Last: r[1], Size: (r[1] - r[0]) * w.Memory}
}

func (w Wish) allows(domain string) bool {
	for _, d := range w.Domains {
		if d == domain {
			return true
		}
	}
	return len(w.Domains) == 0
}

// Sight says how well the state of an engine is known.
type Sight uint8

// Sights of an engine.
const (
	// Gone engines are leaving, not listed or silent for long: their copies
	// do not count and they get no orders.
	Gone Sight = iota
	// Unsure engines gave no answer a moment ago, or the answer to an order
	// was lost: their copies are not replaced yet, but prove nothing.
	Unsure
	// Known engines answered a moment ago.
	Known
)

// Server is an engine as last seen.
type Server struct {
	Name    string
	Domain  string
	Service string
	Sight   Sight
	Memory  int // MB
	Parts   []engine.Held
	Serve   *engine.Part
	Running int // requests that run now
}

// State is all that a plan depends on.
type State struct {
	Wishes  []Wish
	Servers []Server
}

// Need is a copy that must be in service for an action to be safe.
type Need struct {
	Server string
	Part   engine.Part // without size
}

// Action is the wanted state of one engine.
type Action struct {
	Server string
	Hold   []engine.Part
	Serve  *engine.Part
	Load   int    // MB that the engine loads because of it
	Needs  []Need // each must hold when the order is sent, since it ends another copy
	Drops  []engine.Part
}

// Result is a plan.
type Result struct {
	Actions []Action // loads with the fewest copies first
	Short   []string // what can't be had, for people
}
