package fleet

import (
	"context"
	"sync"
	"time"
)

// WatchConfig holds the ports of a Watcher.
type WatchConfig struct {
	Table *Table
	// List reads the VM list.
	List func(ctx context.Context) ([]State, error)
	// ReadReport reads the load report of a server.
	ReadReport func(ctx context.Context, address string) (State, error)
	// Events is called when a server's cache events have moved on, and with
	// reborn set when a new incarnation answers at its address. It may be nil.
	Events func(ctx context.Context, s State, reborn bool)
	// OnListError is told that the VM list was not read.
	OnListError func(error)
	// Spawn runs a reading or a poll on another goroutine; nil starts one.
	Spawn func(run func(ctx context.Context))
}

// Watcher keeps a table fresh from the VM list and load reports.
type Watcher struct {
	cfg  WatchConfig
	seen map[string]uint64 // latest event number by name, used by one poll of a server at a time
	mu   sync.Mutex        // guards seen and busy
	busy map[string]bool   // servers whose poll has not ended

	tokens float64   // polls that may be sent now; this and the next are used by Step only
	filled time.Time // when tokens was filled last
	listAt time.Time // when to read the list next
	pickAt time.Time // when to select the subset next
}

// NewWatcher returns a watcher.
func NewWatcher(cfg WatchConfig) *Watcher {
	return &Watcher{cfg: cfg, seen: map[string]uint64{}, busy: map[string]bool{}}
}

// StepInterval is the time between two steps. Polls of one step leave together;
// with 16 steps a second an idle process took a third more processor time.
const StepInterval = 250 * time.Millisecond

// Intervals of background work.
const (
	listInterval = time.Second           // between readings of the VM list at least
	entryTime    = 22 * time.Millisecond // further time for each server: an entry of about 90 B at 4 KB/s
	listTimeout  = 5 * time.Second       // of one reading
	selectTime   = 5 * time.Second       // between selections of the subset while it lacks servers
	pollRate     = 16                    // polls a second at most
	minPoll      = time.Second           // interval between polls of one server at least
	loadTimeout  = time.Second
)

// Run calls Step until the context ends, and waits for what it started.
func (w *Watcher) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	if w.cfg.Spawn == nil {
		w.cfg.Spawn = func(run func(context.Context)) { wg.Go(func() { run(ctx) }) }
	}
	for ctx.Err() == nil {
		w.Step(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(StepInterval):
		}
	}
}

// Step starts the readings and polls that are due. Steps must not overlap.
func (w *Watcher) Step(context.Context) {
	now := time.Now()
	if !now.Before(w.listAt) {
		w.listAt = now.Add(w.listInterval())
		w.cfg.Spawn(w.list)
	}
	if !now.Before(w.pickAt) {
		w.pickAt = now.Add(selectTime)
		w.cfg.Table.reselect()
	}
	for _, s := range w.due() {
		w.cfg.Spawn(func(ctx context.Context) { w.poll(ctx, s) })
	}
}

// listInterval returns the time between readings of the VM list. It grows with
// the list, which would otherwise exceed the control traffic of a node.
func (w *Watcher) listInterval() time.Duration {
	t := w.cfg.Table
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(listInterval, time.Duration(len(t.servers))*entryTime)
}

// list reads the VM list. It runs beside the polls, which must not wait for a
// platform that is slow.
func (w *Watcher) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if !w.begin("") {
		return
	}
	defer w.end("")
	list, err := w.cfg.List(ctx)
	if err != nil {
		w.cfg.OnListError(err)
		return
	}
	w.cfg.Table.MergeList(list)
}

func (w *Watcher) begin(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy[name] {
		return false
	}
	w.busy[name] = true
	return true
}

func (w *Watcher) end(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.busy, name)
}

// due returns the servers whose time for a poll has come. Servers without a
// report are polled at once.
func (w *Watcher) due() []State {
	t := w.cfg.Table
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	interval := max(minPoll, time.Duration(len(t.subset))*time.Second/pollRate)
	// A whole subset may be polled at once after the start; later the rate
	// holds, also while servers with unknown range come and go.
	most := float64(t.cfg.MaxPolled)
	w.tokens = min(most, w.tokens+now.Sub(w.filled).Seconds()*pollRate)
	w.filled = now
	var out []State
	for _, sv := range t.subset {
		if now.Before(sv.pollAt) {
			continue
		}
		if w.tokens < 1 {
			break
		}
		w.tokens--
		// The rank spreads the polls of servers that were added together.
		spread := time.Duration(sv.rank % uint64(interval/4))
		if sv.pollAt.IsZero() {
			sv.pollAt = now.Add(interval - spread)
		} else {
			sv.pollAt = now.Add(interval)
		}
		out = append(out, sv.state)
	}
	return out
}

// poll reads one load report, and tells of cache events that it announces.
func (w *Watcher) poll(ctx context.Context, s State) {
	if !w.begin(s.Name) {
		return
	}
	defer w.end(s.Name)
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	begun := time.Now()
	r, err := w.cfg.ReadReport(ctx, s.Address)
	if err != nil {
		if ctx.Err() == nil || time.Since(begun) >= loadTimeout {
			w.cfg.Table.PollFailed(s.Name)
		}
		return
	}
	w.cfg.Table.RecordRoundTripTo(s.Name, time.Since(begun))
	reborn := w.cfg.Table.MergeReport(s.Name, r)
	if w.cfg.Events == nil {
		return
	}
	w.mu.Lock()
	moved := w.seen[s.Name] != r.Event
	w.seen[s.Name] = r.Event
	w.mu.Unlock()
	if moved || reborn {
		s.Boot, s.Event = r.Boot, r.Event
		w.cfg.Events(ctx, s, reborn)
	}
}
