// Package fleet keeps the table of backend servers that this process knows:
// where they are, what they hold, how loaded, fast and healthy they are and
// whether they leave. What a server says itself (load report, refusal,
// connection error) goes before the platform's VM list, which lags.
//
// The Table has one lock. The Watcher holds no lock while it calls a port.
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
	Boot     string // incarnation, "" when the server does not state it
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
	Event    uint64    // number of the latest cache event
	Reported time.Time // when the last load report was received; zero before the first
}

// server is one backend server. The Table's lock guards it.
type server struct {
	state     State
	rank      uint64    // rendezvous hash of the server for this process
	missed    time.Time // since when the VM list lacks it, zero when listed
	inflight  int       // requests of this process
	atReport  int       // value of inflight when the report came
	refusedAt time.Time // last refusal as leaving
	listed    bool      // the VM list says that it leaves
	health    health
	speed     speed
	rampFrom  time.Time // begin of slow start, zero for none
	pollAt    time.Time // when to poll next
}

// Config holds the settings of a Table.
type Config struct {
	Self            string  // name of this process, selects the subset
	Domain          string  // failure domain of this process
	MaxPolled       int     // servers polled at most, 96 when zero
	MaxEjectedShare float64 // share of the servers of a range that may be ejected at once, 0.5 when zero
	MaxLostShare    float64 // share of the servers that a list may lose at once and still be believed, 0.5 when zero
}

// Table is the set of backend servers.
type Table struct {
	cfg     Config
	mu      sync.Mutex
	started time.Time
	servers map[string]*server
	hosts   map[string]string // name of the server by address
	subset  []*server         // the servers that are polled and used, by name
	links   map[[2]string]*link
}

// New returns an empty table.
func New(cfg Config) *Table {
	if cfg.MaxPolled == 0 {
		cfg.MaxPolled = 96
	}
	if cfg.MaxEjectedShare == 0 {
		cfg.MaxEjectedShare = 0.5
	}
	if cfg.MaxLostShare == 0 {
		cfg.MaxLostShare = 0.5
	}
	return &Table{cfg: cfg, started: time.Now(), servers: map[string]*server{}, hosts: map[string]string{}, links: map[[2]string]*link{}}
}

// NewTable returns an empty table with default settings.
func NewTable() *Table { return New(Config{}) }

// Candidate is a server that may be chosen, with the estimates of this
// process.
type Candidate struct {
	State
	Inflight int           // requests of this process
	Ejected  bool          // ejected: to be chosen only when nothing else is left
	Load     float64       // estimated requests on the server
	Step     time.Duration // estimated time of one token on this stage, 0 when unknown
	Prefill  time.Duration // estimated time of one prompt token on this stage, 0 when unknown
	Ramp     float64       // slow start: share of its work that a new server may get, 0 to 1
}

// rangeKey names servers that can replace each other.
type rangeKey struct {
	service, version string
	first, last      int
}

func (s *State) key() rangeKey {
	return rangeKey{service: s.Service, version: s.Version, first: s.First, last: s.Last}
}

// Servers returns the servers of a service that are ready and not leaving,
// ordered by name. At most Config.Share of the servers of a range are marked
// as Down.
func (t *Table) Servers(service string) []Candidate {
	now := time.Now()
	chosen := t.chosen(service, now)
	mean := meanLoad(chosen)
	down := t.ejected(chosen, now)
	steps := kindSteps(chosen)
	out := make([]Candidate, len(chosen))
	for i := range chosen {
		sv := &chosen[i]
		out[i] = Candidate{
			State: sv.state, Inflight: sv.inflight, Ejected: down[sv],
			Load: sv.load(now, mean[sv.state.key()]), Step: sv.speed.step(now, steps[sv.state.Kind], sv.state.Last-sv.state.First),
			Prefill: sv.speed.prefill, Ramp: sv.ramp(now),
		}
	}
	return out
}

// chosen copies the usable servers of a service, so that the estimates are
// computed without the lock.
func (t *Table) chosen(service string, now time.Time) []server {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]server, 0, len(t.subset))
	for _, sv := range t.subset {
		if sv.state.Service == service && sv.state.Ready && !sv.leaving(now) {
			out = append(out, *sv)
		}
	}
	return out
}

// All returns every server, ordered by name. Leaving is the merged value.
func (t *Table) All() []State {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]State, 0, len(t.servers))
	for _, sv := range t.servers {
		s := sv.state
		s.Leaving = sv.leaving(now)
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// ByAddress returns the server at an address and whether there is one.
func (t *Table) ByAddress(address string) (State, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sv := t.servers[t.hosts[address]]; sv != nil {
		return sv.state, true
	}
	return State{}, false
}

// drop removes a server. It needs the lock.
func (t *Table) drop(name string) {
	if sv := t.servers[name]; sv != nil {
		if t.hosts[sv.state.Address] == name {
			delete(t.hosts, sv.state.Address)
		}
		delete(t.servers, name)
	}
}
