// Package fleet keeps the table of backend servers that this process knows:
// where they are, what they hold, how loaded they are and whether they leave.
// The servers' own reports go before the platform's VM list, which lags.
package fleet

import (
	"sort"
	"sync"
	"time"
)

// State is what is known of one backend server at one moment.
type State struct {
	Name     string
	Address  string // host:port
	Domain   string // failure domain
	Service  string
	Kind     string // accelerator kind
	Model    string
	Version  string
	First    int // first layer held
	Last     int // layer after the last one held
	Slots    int
	Running  int
	Waiting  int
	Ready    bool
	Leaving  bool
	Reported time.Time // when the last load report was received; zero before the first
}

// Server is one backend server. Its fields are guarded by the Table.
type server struct {
	state    State
	inflight int       // requests of this process
	downTill time.Time // not chosen before this time
	fails    int       // failures in a row
}

// Table is the set of backend servers. It has one lock.
type Table struct {
	mu      sync.Mutex
	servers map[string]*server
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{servers: map[string]*server{}} }

// Listed merges one entry of the VM list.
func (t *Table) Listed(s State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sv := t.servers[s.Name]
	if sv == nil || sv.state.Address != s.Address {
		t.servers[s.Name] = &server{state: s}
		return
	}
	sv.state.Domain, sv.state.Service = s.Domain, s.Service
	if s.Leaving {
		sv.state.Leaving = true
	}
}

// Keep removes servers whose name is not in the set.
func (t *Table) Keep(names map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n := range t.servers {
		if !names[n] {
			delete(t.servers, n)
		}
	}
}

// Reported merges a load report of a server, received now.
func (t *Table) Reported(name string, update func(*State)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sv := t.servers[name]; sv != nil {
		update(&sv.state)
		sv.state.Reported = time.Now()
	}
}

// Begin counts a request that this process sends to a server.
func (t *Table) Begin(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sv := t.servers[name]; sv != nil {
		sv.inflight++
	}
}

// End counts the end of a request that Begin counted.
func (t *Table) End(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sv := t.servers[name]; sv != nil && sv.inflight > 0 {
		sv.inflight--
	}
}

// backoff after the first failure of a server, doubled for each further one.
const (
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 5 * time.Second
)

// Failed keeps a server from being chosen for a while.
func (t *Table) Failed(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sv := t.servers[name]; sv != nil {
		wait := min(firstBackoff<<min(sv.fails, 10), maxBackoff)
		sv.fails++
		sv.downTill = time.Now().Add(wait)
	}
}

// Worked clears the failures of a server.
func (t *Table) Worked(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sv := t.servers[name]; sv != nil {
		sv.fails, sv.downTill = 0, time.Time{}
	}
}

// MarkLeaving records a server's own statement that it takes no new work.
func (t *Table) MarkLeaving(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sv := t.servers[name]; sv != nil {
		sv.state.Leaving = true
	}
}

// Candidate is a server that may be chosen, with the requests that this
// process has in flight on it.
type Candidate struct {
	State
	Inflight int
	Down     bool // failed a short while ago
}

// Servers returns the servers of a service that are ready and not leaving,
// ordered by name. Servers that failed a short while ago are marked.
func (t *Table) Servers(service string) []Candidate {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Candidate
	for _, sv := range t.servers {
		if sv.state.Service == service && sv.state.Ready && !sv.state.Leaving {
			out = append(out, Candidate{State: sv.state, Inflight: sv.inflight, Down: now.Before(sv.downTill)})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// All returns every server, ordered by name.
func (t *Table) All() []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]State, 0, len(t.servers))
	for _, sv := range t.servers {
		out = append(out, sv.state)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
