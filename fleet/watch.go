package fleet

import (
	"context"
	"sync"
	"time"
)

// WatchConfig holds the dependencies of a Watcher.
type WatchConfig struct {
	Table *Table
	// List reads the VM list.
	List func(ctx context.Context) ([]State, error)
	// ReadReport reads the load report of the server at an address.
	ReadReport func(ctx context.Context, address string) (State, error)
	// OnCacheEvents is called when the number of the latest cache event of a server has
	// changed or a new incarnation answers; restarted is set for the latter. It
	// may be nil.
	OnCacheEvents func(ctx context.Context, s State, restarted bool)
	// OnListError is called when the VM list could not be read.
	OnListError func(error)
	// Spawn runs a reading of the VM list or a poll on another goroutine. If it is
	// nil, Run starts goroutines itself.
	Spawn func(run func(ctx context.Context))
}

// Watcher keeps a Table up to date from the VM list and load reports.
type Watcher struct {
	cfg        WatchConfig
	lastEvents map[string]uint64 // number of the latest cache event by server name
	mu         sync.Mutex        // guards lastEvents and inProgress
	inProgress map[string]bool   // names of servers with a poll in progress; "" for a reading of the VM list

	pollTokens    float64   // polls that may be sent now; this and the following fields are used by Step only
	refilledAt    time.Time // time at which pollTokens was last refilled
	nextList      time.Time // time of the next reading of the VM list
	nextSelection time.Time // time of the next selection of the subset
}

// NewWatcher returns a Watcher. Run or Step does its work.
func NewWatcher(cfg WatchConfig) *Watcher {
	return &Watcher{cfg: cfg, lastEvents: map[string]uint64{}, inProgress: map[string]bool{}}
}

// StepInterval is the time between two steps. Polls of one step are sent together:
// with 16 steps a second, an idle process used a third more CPU time.
const StepInterval = 250 * time.Millisecond

// Intervals of background work.
const (
	listInterval      = time.Second           // least time between readings of the VM list
	listTimePerServer = 22 * time.Millisecond // least time per server: an entry of about 90 B at 4 KB/s
	listTimeout       = 5 * time.Second       // for one reading of the VM list
	selectInterval    = 5 * time.Second       // between selections of the subset while it lacks servers
	pollRate          = 16                    // largest number of polls a second
	minPollInterval   = time.Second           // least time between polls of one server
	reportTimeout     = time.Second
)

// Run calls Step until the context ends and waits for the goroutines that it
// started.
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

// Step starts the reading of the VM list and the polls that are due. Calls must not
// overlap.
func (w *Watcher) Step(context.Context) {
	now := time.Now()
	if !now.Before(w.nextList) {
		w.nextList = now.Add(w.listInterval())
		w.cfg.Spawn(w.readList)
	}
	if !now.Before(w.nextSelection) {
		w.nextSelection = now.Add(selectInterval)
		w.cfg.Table.reselect()
	}
	for _, s := range w.takeDuePolls() {
		w.cfg.Spawn(func(ctx context.Context) { w.poll(ctx, s) })
	}
}

// listInterval returns the time between readings of the VM list. It grows with the
// list, whose readings would otherwise exceed the control traffic allowed to a node.
func (w *Watcher) listInterval() time.Duration {
	t := w.cfg.Table
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(listInterval, time.Duration(len(t.servers))*listTimePerServer)
}

// readList reads the VM list. It runs concurrently with the polls, so that they do
// not wait for a slow platform.
func (w *Watcher) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if !w.tryStart("") {
		return
	}
	defer w.finish("")
	list, err := w.cfg.List(ctx)
	if err != nil {
		w.cfg.OnListError(err)
		return
	}
	w.cfg.Table.MergeList(list)
}

// tryStart marks a poll of a server as in progress and returns false if there is one
// already. The empty name stands for a reading of the VM list.
func (w *Watcher) tryStart(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inProgress[name] {
		return false
	}
	w.inProgress[name] = true
	return true
}

// finish ends what tryStart marked as in progress.
func (w *Watcher) finish(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.inProgress, name)
}

// takeDuePolls returns the servers that are due for a poll, as far as the poll rate
// allows, and sets the times of their next polls. Servers that were not polled yet
// are due at once.
func (w *Watcher) takeDuePolls() []State {
	t := w.cfg.Table
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	interval := max(minPollInterval, time.Duration(len(t.subset))*time.Second/pollRate)
	// After the start, a whole subset may be polled at once. Later the rate
	// applies, also while servers with unknown range come and go.
	burst := float64(t.cfg.MaxPolled)
	w.pollTokens = min(burst, w.pollTokens+now.Sub(w.refilledAt).Seconds()*pollRate)
	w.refilledAt = now
	var out []State
	for _, sv := range t.subset {
		if now.Before(sv.nextPoll) {
			continue
		}
		if w.pollTokens < 1 {
			break
		}
		w.pollTokens--
		// The rank spreads the polls of servers that were added together.
		spread := time.Duration(sv.rank % uint64(interval/4))
		if sv.nextPoll.IsZero() {
			sv.nextPoll = now.Add(interval - spread)
		} else {
			sv.nextPoll = now.Add(interval)
		}
		out = append(out, sv.state)
	}
	return out
}

// poll reads the load report of a server and calls OnCacheEvents if the report announces
// new cache events.
func (w *Watcher) poll(ctx context.Context, s State) {
	if !w.tryStart(s.Name) {
		return
	}
	defer w.finish(s.Name)
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	start := time.Now()
	r, err := w.cfg.ReadReport(ctx, s.Address)
	if err != nil {
		if ctx.Err() == nil || time.Since(start) >= reportTimeout {
			w.cfg.Table.PollFailed(s.Name)
		}
		return
	}
	w.cfg.Table.RecordRoundTripTo(s.Name, time.Since(start))
	restarted := w.cfg.Table.MergeReport(s.Name, r)
	if w.cfg.OnCacheEvents == nil {
		return
	}
	w.mu.Lock()
	newEvents := w.lastEvents[s.Name] != r.Event
	w.lastEvents[s.Name] = r.Event
	w.mu.Unlock()
	if newEvents || restarted {
		s.Boot, s.Event = r.Boot, r.Event
		w.cfg.OnCacheEvents(ctx, s, restarted)
	}
}
