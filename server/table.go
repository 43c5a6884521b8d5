package server

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/clock"
)

// Change is a new or updated entry, or the removal of one.
type Change struct {
	ID      string
	Entry   Entry
	Removed bool
	// Unusable states that the entry was overwritten by one that names no server. It says nothing
	// about the server itself. Removed is set, too.
	Unusable bool
}

// Config holds the settings and callbacks of a Table.
type Config struct {
	Log zerolog.Logger
	// OutageGrace is how long after an outage of the registry a missing entry is kept:
	// entries expire while servers can't renew them.
	OutageGrace time.Duration
	// OnRemoved is called with the address of a server that was removed or restarted. It is
	// called while the table is locked; may be nil.
	OnRemoved func(address string)
	// OnDied is called with a server that restarted, or whose entry was removed though it was neither
	// draining nor said that it leaves. It is called while the table is locked; may be nil.
	OnDied func(s *Server)
	// Leaves reports whether an incarnation of a server said that it leaves. It is called while the
	// table is locked; nil if no server does.
	Leaves func(incarnation uint64) bool
}

// Table holds the servers. Lookups read an immutable view without a lock.
type Table struct {
	cfg  Config
	view atomic.Pointer[view]

	mu          sync.Mutex
	servers     map[string]*Server
	lapsed      map[string]bool // missing since an outage, kept for OutageGrace
	lapsedUntil time.Duration   // clock.Now until which lapsed entries are kept
}

// view is an immutable index of the servers.
type view struct {
	services  map[string][]*Server
	leavers   map[string][]*Server // in service by their entries, but said that they leave
	addresses map[string]*Server
	ids       map[string]*Server
	shared    bool // several entries that accept work have the same address
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	if cfg.Leaves == nil {
		cfg.Leaves = func(uint64) bool { return false }
	}
	t := &Table{cfg: cfg, servers: map[string]*Server{}, lapsed: map[string]bool{}}
	t.view.Store(&view{})
	return t
}

// Servers returns the servers of a service that accept work, in no particular order.
// Callers must not modify the slice.
func (t *Table) Servers(service string) []*Server { return t.view.Load().services[service] }

// Leavers returns the servers of a service that the registry lists as in service, but that said within
// a time that they leave.
func (t *Table) Leavers(service string, within time.Duration) []*Server {
	var out []*Server
	for _, s := range t.view.Load().leavers[service] {
		if at := s.saidLeavingAt.Load(); at > 0 && now()-time.Duration(at) < within {
			out = append(out, s)
		}
	}
	return out
}

// MarkLeaving takes servers out of service that said that they leave, by incarnation. Entries of the
// same incarnation do not bring them back: the registry lags behind.
func (t *Table) MarkLeaving(incarnations []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		if slices.Contains(incarnations, s.incarnation) && !s.SaidLeaving() {
			s.saidLeavingAt.Store(int64(now()))
			s.markLeaving()
			t.cfg.Log.Info().Str("server", s.entry.ID).Str("address", s.entry.Address).Msg("backend server taken out of service")
		}
	}
	t.publish()
}

// ByAddress returns the server at an address, or nil.
func (t *Table) ByAddress(address string) *Server { return t.view.Load().addresses[address] }

// ByID returns the server with an ID, or nil.
func (t *Table) ByID(id string) *Server { return t.view.Load().ids[id] }

// Rivals returns the other servers of the service that accept work and have the same address. There
// are some for a moment after a server has restarted under another ID, and for as long as another writer
// of the registry lists the address of a server.
func (t *Table) Rivals(s *Server) []*Server {
	v := t.view.Load()
	if !v.shared {
		return nil
	}
	var out []*Server
	for _, o := range v.services[s.entry.Service] {
		if o.entry.Address == s.entry.Address && o.entry.ID != s.entry.ID {
			out = append(out, o)
		}
	}
	return out
}

// All returns every listed server, including draining ones.
func (t *Table) All() []*Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*Server, 0, len(t.servers))
	for _, s := range t.servers {
		all = append(all, s)
	}
	return all
}

// Apply applies changes of the registry. whole means that the changes list every server.
// outage is the time without the registry before them; 0 for none.
func (t *Table) Apply(changes []Change, whole bool, outage time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := clock.Now()
	if outage > 0 {
		t.lapsedUntil = now + t.cfg.OutageGrace
	}
	if whole {
		listed := make(map[string]bool, len(changes))
		for _, c := range changes {
			listed[c.ID] = !c.Removed || c.Unusable
		}
		for id := range t.servers {
			if !listed[id] {
				t.removeOrLapse(id, now)
			}
		}
	}
	first := len(t.servers) == 0
	for _, c := range changes {
		switch {
		case c.Unusable:
			t.removeNow(c.ID, "entry became unusable", false)
		case c.Removed:
			t.removeOrLapse(c.ID, now)
		default:
			t.put(c.Entry, first)
		}
	}
	if first && len(t.servers) > 0 {
		// One line for all servers: hundreds of lines delay the start on a small VM by
		// a tenth of a second.
		byService := map[string]int{}
		for _, s := range t.servers {
			byService[s.entry.Service]++
		}
		t.cfg.Log.Info().Interface("services", byService).Msg("backend servers known")
	}
	t.publish()
}

// Expire removes lapsed entries that did not come back after an outage. It is called a few
// times a second.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.lapsed) == 0 || clock.Now() < t.lapsedUntil {
		return
	}
	for id := range t.lapsed {
		t.removeNow(id, "did not come back after an outage of the registry", true)
	}
	t.publish()
}

// removeOrLapse removes an entry, or marks it lapsed soon after an outage. The caller holds mu.
func (t *Table) removeOrLapse(id string, now time.Duration) {
	s := t.servers[id]
	if s == nil {
		return
	}
	if now < t.lapsedUntil && !s.isPlanned() {
		if !t.lapsed[id] {
			t.lapsed[id] = true
			// The server may really have left, so it gets work only where no other
			// server is available.
			s.Avoid(t.lapsedUntil - now)
			t.cfg.Log.Info().Str("server", id).Dur("left", t.lapsedUntil-now).Msg("entry expired during an outage of the registry, waiting for its return")
		}
		return
	}
	t.removeNow(id, "entry removed", true)
}

// removeNow removes an entry. If ended is set, the server has ended. The caller holds mu.
func (t *Table) removeNow(id, reason string, ended bool) {
	s := t.servers[id]
	delete(t.servers, id)
	delete(t.lapsed, id)
	if s == nil {
		return
	}
	s.leaving.Store(true)
	t.cfg.Log.Info().Str("server", id).Str("address", s.entry.Address).Str("reason", reason).Msg("backend server left")
	t.notifyRemoved(s, ended && !s.isPlanned())
}

// notifyRemoved calls OnRemoved, and OnDied if the server died.
func (t *Table) notifyRemoved(s *Server, died bool) {
	if t.cfg.OnRemoved != nil {
		t.cfg.OnRemoved(s.entry.Address)
	}
	if died && t.cfg.OnDied != nil {
		t.cfg.OnDied(s)
	}
}

// put adds or updates an entry. quiet lowers the log level for the entries of the first
// table. The caller holds mu.
func (t *Table) put(e Entry, quiet bool) {
	old := t.servers[e.ID]
	if t.lapsed[e.ID] {
		delete(t.lapsed, e.ID)
		old.avoidUntil.Store(0)
	}
	s := &Server{entry: e}
	switch {
	case old == nil:
		s.record = t.newRecord(e)
		level := zerolog.InfoLevel
		if quiet {
			level = zerolog.DebugLevel
		}
		t.cfg.Log.WithLevel(level).Str("server", e.ID).Str("address", e.Address).Str("service", e.Service).Str("domain", e.Domain).
			Int("from", e.From).Int("to", e.To).Bool("draining", e.Draining).Msg("backend server joined")
	case old.entry.Started != e.Started || old.entry.Address != e.Address:
		s.record = t.newRecord(e)
		t.cfg.Log.Info().Str("server", e.ID).Str("address", e.Address).Int64("born", e.Started).Msg("backend server started again")
		t.notifyRemoved(old, true)
	default:
		s.record = old.record
		if old.entry.Draining != e.Draining || old.entry.From != e.From || old.entry.To != e.To {
			t.cfg.Log.Info().Str("server", e.ID).Bool("draining", e.Draining).Int("from", e.From).Int("to", e.To).Msg("backend server changed")
		}
	}
	s.leaving.Store(e.Draining || s.SaidLeaving())
	t.servers[e.ID] = s
}

// newRecord returns the record of an incarnation that this process did not know. The caller holds mu.
func (t *Table) newRecord(e Entry) *record {
	r := &record{incarnation: e.incarnation(), joined: now()}
	if t.cfg.Leaves(r.incarnation) {
		r.markLeaving()
	}
	return r
}

// publish replaces the view. The caller holds mu.
func (t *Table) publish() {
	v := &view{services: map[string][]*Server{}, leavers: map[string][]*Server{}, addresses: make(map[string]*Server, len(t.servers)), ids: maps.Clone(t.servers)}
	working := make(map[string]bool, len(t.servers))
	for _, s := range t.servers {
		if s.entry.Address == "" {
			continue
		}
		// An address may be listed for an old and a new server for a moment; the one
		// that started later has it.
		if other := v.addresses[s.entry.Address]; other == nil || other.entry.Started < s.entry.Started {
			v.addresses[s.entry.Address] = s
		}
	}
	for _, s := range t.servers {
		holder := v.addresses[s.entry.Address]
		switch {
		case holder == nil || s.entry.Draining:
		case holder != s && holder.SaidLeaving():
			// The later server at the address leaves. Its entry alone is no sign, as another writer may have made it.
		case s.SaidLeaving():
			v.leavers[s.entry.Service] = append(v.leavers[s.entry.Service], s)
		default:
			v.shared = v.shared || working[s.entry.Address]
			working[s.entry.Address] = true
			v.services[s.entry.Service] = append(v.services[s.entry.Service], s)
		}
	}
	t.view.Store(v)
}
