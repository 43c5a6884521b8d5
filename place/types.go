// Package place implements the placement controller. The process that holds the
// lease compares the published placement wishes with the state of the engines and
// orders them to load, serve and unload parts of models. Plan is a pure function
// from a state to actions; Controller reads the state and sends the actions.
package place

import (
	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/spec"
)

// Wish states how many copies of each layer range of a model version should be served.
// It is a [wish] document of the configuration together with the model of its service.
type Wish struct {
	Name    string
	Service string
	Model   string
	Version string
	Adapter string
	Ranges  [][2]int
	Copies  int      // copies of each range to serve
	Memory  int      // MB of one layer
	Domains []string // failure domains to use; empty for all
}

// Wishes returns the placement wishes for the model services of a configuration.
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

// part returns the part of the model that holds a range of layers.
func (w Wish) part(r [2]int) engine.Part {
	return engine.Part{Model: w.Model, Version: w.Version, Adapter: w.Adapter, First: r[0], Last: r[1], Size: (r[1] - r[0]) * w.Memory}
}

// allows reports whether engines in a failure domain may hold copies.
func (w Wish) allows(domain string) bool {
	for _, d := range w.Domains {
		if d == domain {
			return true
		}
	}
	return len(w.Domains) == 0
}

// Status states how reliable the known state of an engine is.
type Status uint8

// Values of Status.
const (
	// Gone engines are leaving, have never answered or have not answered for a long
	// time: their copies do not count and they get no orders.
	Gone Status = iota
	// Uncertain engines failed to answer recently, or the answer to an order was
	// lost: their copies are not replaced yet, but no action may rely on them.
	Uncertain
	// Known engines answered the last call.
	Known
)

// Server is the last known state of an engine.
type Server struct {
	Name    string
	Domain  string
	Service string
	Status  Status
	Memory  int // MB
	Parts   []engine.PartState
	Serve   *engine.Part // the part in service; nil for none
	Running int          // running requests
}

// State is the complete input of a plan.
type State struct {
	Wishes  []Wish
	Servers []Server
}

// Precondition is a copy that must be served for an action to be safe.
type Precondition struct {
	Server string
	Part   engine.Part // without size
}

// Action is the state that one engine should have.
type Action struct {
	Server        string
	Hold          []engine.Part  // all parts to hold
	Serve         *engine.Part   // the part to serve; nil for none
	LoadMB        int            // MB that the engine has to load
	Preconditions []Precondition // must hold when the order is sent, since the action ends a copy
	Unloads       []engine.Part  // parts that the engine gives up
}

// Result is the outcome of planning.
type Result struct {
	Actions    []Action // loads first, beginning with the parts that have the fewest copies
	Shortfalls []string // readable descriptions of copies that no engine can load
}
