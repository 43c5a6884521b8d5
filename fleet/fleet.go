// Package fleet maintains the table of backend servers known to this process:
// their addresses, the layers that they hold, their load, speed and health, and
// whether they are leaving. Information from a server itself (load reports,
// refusals, connection errors) takes precedence over the VM list of the platform,
// which lags behind.
//
// The Table has one lock. The Watcher holds no lock while it calls the functions
// of its WatchConfig.
package fleet

import (
	"sort"
	"sync"
	"time"
)

// State is the known state of one backend server at one time. The answer to GET
// /status contains it as JSON under the names of its fields.
type State struct {
	Name     string
	Address  string // host:port
	Domain   string // failure domain
	Service  string
	Boot     string // incarnation; "" if the server does not report it
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
	Reported time.Time // time at which the last load report was received; zero before the first
}

// server is one backend server. It is guarded by the lock of the Table.
type server struct {
	state            State
	rank             uint64    // rendezvous hash of the server for this process
	unlistedSince    time.Time // time since which the VM list lacks the server; zero if it is listed
	inflight         int       // requests of this process
	inflightAtReport int       // value of inflight when the last load report was received
	refusedAt        time.Time // time at which the server last refused work because it is leaving
	listedLeaving    bool      // the VM list marks the server as leaving
	health           health
	speed            speed
	rampStart        time.Time // beginning of slow start; zero if there is none
	nextPoll         time.Time // time of the next poll
}

// Config holds the settings of a Table.
type Config struct {
	Self            string  // name of this process; determines its subset of servers
	Domain          string  // failure domain of this process
	MaxPolled       int     // largest number of servers to poll, unless minCopies of each range are more; 96 if zero
	MaxEjectedShare float64 // largest share of the servers of a range that may be ejected at once; 0.5 if zero
	MaxLostShare    float64 // a VM list that lacks a larger share of the known servers removes none; 0.5 if zero
}

// Table is the set of backend servers known to this process. It is safe for
// concurrent use.
type Table struct {
	cfg       Config
	mu        sync.Mutex
	started   time.Time
	servers   map[string]*server
	byAddress map[string]string // server names by address
	subset    []*server         // servers that are polled and used, ordered by name
	links     map[[2]string]*link
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
	return &Table{cfg: cfg, started: time.Now(), servers: map[string]*server{}, byAddress: map[string]string{}, links: map[[2]string]*link{}}
}

// NewTable returns an empty table with default settings.
func NewTable() *Table { return New(Config{}) }

// Candidate is a server that may be chosen for a request, with the estimates of
// this process.
type Candidate struct {
	State
	Inflight int           // requests of this process
	Ejected  bool          // to be chosen only if there is no alternative
	Load     float64       // estimated requests on the server
	Step     time.Duration // estimated time of one token on this server; 0 if unknown
	Prefill  time.Duration // estimated time of one prompt token on this server; 0 if unknown
	Ramp     float64       // share of its normal work that the server may get, 0 to 1; below 1 during slow start
}

// rangeKey identifies a layer range of a model version; servers with the same key can
// replace each other.
type rangeKey struct {
	service, version string
	first, last      int
}

// key returns the layer range and model version that a server holds.
func (s *State) key() rangeKey {
	return rangeKey{service: s.Service, version: s.Version, first: s.First, last: s.Last}
}

// Servers returns the servers of a service in the subset that are ready and not
// leaving, ordered by name. At most Config.MaxEjectedShare of the servers of a range
// are marked as Ejected.
func (t *Table) Servers(service string) []Candidate {
	now := time.Now()
	usable := t.usable(service, now)
	meanLoads := meanLoad(usable)
	ejected := t.ejected(usable, now)
	layerTimes := medianLayerTimes(usable)
	out := make([]Candidate, len(usable))
	for i := range usable {
		sv := &usable[i]
		out[i] = Candidate{
			State: sv.state, Inflight: sv.inflight, Ejected: ejected[sv],
			Load: sv.load(now, meanLoads[sv.state.key()]), Step: sv.speed.step(now, layerTimes[sv.state.Kind], sv.state.Last-sv.state.First),
			Prefill: sv.speed.prefill, Ramp: sv.ramp(now),
		}
	}
	return out
}

// usable returns copies of the usable servers of a service, so that the estimates
// can be computed without the lock.
func (t *Table) usable(service string, now time.Time) []server {
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

// All returns all servers, ordered by name. Their Leaving field combines load
// reports, refusals and the VM list.
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

// ByAddress returns the server with an address and whether there is one.
func (t *Table) ByAddress(address string) (State, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sv := t.servers[t.byAddress[address]]; sv != nil {
		return sv.state, true
	}
	return State{}, false
}

// remove removes a server. The caller holds t.mu.
func (t *Table) remove(name string) {
	if sv := t.servers[name]; sv != nil {
		if t.byAddress[sv.state.Address] == name {
			delete(t.byAddress, sv.state.Address)
		}
		delete(t.servers, name)
	}
}
