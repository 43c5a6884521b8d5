package change

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing/synctest"
	"time"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/spec"
	"github.com/cranberrybay/cranberrybay/table"
)

// simulation runs several processes on one table service and one object store,
// and records what the operators are told. Tests replace its function fields to
// inject faults.
type simulation struct {
	table   *fakes.Table
	objects *fakes.ObjectStore
	procs   []*proc
	rand    *rand.Rand
	ctx     context.Context

	commit func(next *table.Client, ctx context.Context, b table.Batch) (uint64, error)
	fetch  func(from *proc, after uint64) ([]Record, error)
	setup  func(*StoreConfig)
	adjust func(*Publisher)

	mu       sync.Mutex
	accepted map[string]uint64 // publications reported as accepted, with their versions
	refused  map[string]bool   // publications reported as refused
	bases    map[string]uint64 // version that the operator had seen, by publication
	lost     map[string]bool   // refusals that were pending in a process when it was restarted
	applied  []time.Time       // when each version was accepted, from version 1
	failures []error
}

// proc is an entry process across its restarts.
type proc struct {
	sim              *simulation
	name             string
	link             *fakes.TableLink
	run              incarnation
	pausedUntil      time.Time // the process is paused until this time
	undisturbedSince time.Time // end of the last disturbance
	maxVersion       uint64    // highest version ever in effect
	reportedLate     uint64    // last version that was reported as late
}

// incarnation is one run of a process.
type incarnation struct {
	store *Store
	pub   *Publisher
	life  context.Context
	stop  context.CancelFunc
}

// now returns the current incarnation.
func (p *proc) now() incarnation {
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	return p.run
}

func newSimulation(ctx context.Context, n int, rnd *rand.Rand) *simulation {
	sim := &simulation{
		table: fakes.NewTable(), objects: fakes.NewObjectStore(), rand: rnd, ctx: ctx,
		accepted: map[string]uint64{}, refused: map[string]bool{}, bases: map[string]uint64{}, lost: map[string]bool{},
		commit: func(next *table.Client, ctx context.Context, b table.Batch) (uint64, error) {
			return next.Commit(ctx, b)
		},
		fetch: func(from *proc, after uint64) ([]Record, error) { return from.now().store.Records(after) },
		setup: func(*StoreConfig) {}, adjust: func(*Publisher) {},
	}
	for i := range n {
		sim.procs = append(sim.procs, &proc{sim: sim, name: fmt.Sprintf("entry-%d", i+1), link: sim.table.Link()})
	}
	return sim
}

func (sim *simulation) start() {
	for _, p := range sim.procs {
		p.run.store = NewStore(StoreConfig{})
	}
	for _, p := range sim.procs {
		p.start()
	}
}

// gate blocks a call while the process is paused.
func (p *proc) gate(ctx context.Context) {
	p.sim.mu.Lock()
	d := time.Until(p.pausedUntil)
	p.sim.mu.Unlock()
	if d > 0 {
		clock.Sleep(ctx, d)
	}
}

// client returns the table client of one incarnation. After life has ended, its
// calls fail without any effect.
func (p *proc) client(life context.Context) *table.Client {
	c := p.link.GatedClient(func(ctx context.Context) error {
		if p.gate(ctx); life.Err() != nil {
			return table.ErrUnavailable
		}
		return nil
	})
	return table.New(table.Config{Get: c.Get, Scan: c.Scan, Commit: func(ctx context.Context, b table.Batch) (uint64, error) {
		return p.sim.commit(c, ctx, b)
	}})
}

func (p *proc) start() {
	sim := p.sim
	ctx, stop := context.WithCancel(sim.ctx)
	cfg := StoreConfig{
		Table: p.client(ctx), Objects: sim.objects.Client(), Rand: rand.New(rand.NewPCG(sim.rand.Uint64(), 1)),
		Live:     func() int { return len(sim.procs) },
		Announce: func(a Announcement) { p.announce(ctx, a, func(error) {}) },
		Offer: func(octx context.Context, a Announcement) error {
			got := make(chan error, len(sim.procs))
			p.announce(ctx, a, func(err error) { got <- err })
			for range len(sim.procs) - 1 {
				select {
				case err := <-got:
					if err == nil {
						return nil
					}
				case <-octx.Done():
					return octx.Err()
				}
			}
			return errors.New("no peer has loaded the version")
		},
		Fetch: func(ctx context.Context, peer string, after uint64) ([]Record, error) {
			p.gate(ctx)
			for _, q := range sim.procs {
				if q.name == peer && clock.Sleep(ctx, 2*time.Millisecond) && q.up() {
					return sim.fetch(q, after)
				}
			}
			return nil, errors.New("peer does not answer")
		},
		Peers: func() []string {
			var out []string
			for _, q := range sim.procs {
				if q != p {
					out = append(out, q.name)
				}
			}
			return out
		},
	}
	sim.setup(&cfg)
	r := incarnation{store: NewStore(cfg), life: ctx, stop: stop}
	r.pub = NewPublisher(PublisherConfig{Store: r.store, Table: cfg.Table, Node: p.name})
	sim.adjust(r.pub)
	sim.mu.Lock()
	p.run = r
	if p.pausedUntil = time.Now(); p.undisturbedSince.Before(p.pausedUntil) {
		p.undisturbedSince = p.pausedUntil
	}
	sim.mu.Unlock()
	go r.store.Run(ctx, func(error) {})
}

// up reports whether the process is not paused.
func (p *proc) up() bool {
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	return time.Now().After(p.pausedUntil)
}

// announce sends an announcement to the other processes and passes each result
// to done.
func (p *proc) announce(ctx context.Context, a Announcement, done func(error)) {
	a.Peer = p.name
	for _, q := range p.sim.procs {
		if q != p {
			go func() {
				if clock.Sleep(ctx, time.Millisecond) {
					q.gate(ctx)
					done(q.now().store.HandleAnnouncement(ctx, a))
				}
			}()
		}
	}
}

// restart replaces the process by a new incarnation, which keeps nothing in
// memory.
func (p *proc) restart() {
	r := p.now()
	r.stop()
	r.pub.mu.Lock()
	p.sim.mu.Lock()
	for _, e := range r.pub.pending {
		p.sim.lost[e.ID] = true
	}
	p.sim.mu.Unlock()
	r.pub.mu.Unlock()
	synctest.Wait()
	p.start()
}

// pause pauses the process for a time: all of its calls wait.
func (p *proc) pause(d time.Duration) {
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	if p.pausedUntil = time.Now().Add(d); p.undisturbedSince.Before(p.pausedUntil) {
		p.undisturbedSince = p.pausedUntil
	}
}

// disturbed records that processes cannot reach the table until a time.
func (sim *simulation) disturbed(until time.Time, ps ...*proc) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, p := range ps {
		if p.undisturbedSince.Before(until) {
			p.undisturbedSince = until
		}
	}
}

// failf records a violated property.
func (sim *simulation) failf(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.failures = append(sim.failures, fmt.Errorf(format, args...))
}

// publish sends a publication through a process and records what the operator
// is told.
func (sim *simulation) publish(p *proc, rq Request) (Result, error) {
	sim.mu.Lock()
	sim.bases[rq.ID] = rq.Base
	sim.mu.Unlock()
	r := p.now()
	res, err := r.pub.Publish(sim.ctx, rq)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if r.life.Err() != nil {
		return res, errors.New("the process was restarted before it answered")
	}
	switch {
	case err == nil && len(res.Changes) > 0:
		sim.accepted[rq.ID] = res.Version
	case err != nil && fault.VerdictOf(err) == fault.NotRun:
		sim.refused[rq.ID] = true
	}
	return res, err
}

// watch checks every 20 ms that no process returns to an older version and that
// every accepted version is in effect on all processes within maxTimeToEffect.
func (sim *simulation) watch(ctx context.Context) {
	for clock.Sleep(ctx, 20*time.Millisecond) {
		h, err := decodeHead(sim.table.Row(headKey))
		if err != nil {
			sim.failf("head row: %v", err)
		}
		for uint64(len(sim.applied)) < h.Version {
			sim.applied = append(sim.applied, time.Now())
		}
		for _, p := range sim.procs {
			sim.checkProcess(p)
		}
	}
}

// checkProcess checks the version of one process.
func (sim *simulation) checkProcess(p *proc) {
	v := p.now().store.Version()
	if v > 0 && v < p.maxVersion {
		sim.failf("%s returned from version %d to %d", p.name, p.maxVersion, v)
	}
	p.maxVersion = max(p.maxVersion, v)
	if v < uint64(len(sim.applied)) {
		sim.mu.Lock()
		since := p.undisturbedSince
		sim.mu.Unlock()
		if at := sim.applied[v]; at.After(since) {
			since = at
		}
		if d := time.Since(since); d > maxTimeToEffect && p.reportedLate != v+1 {
			p.reportedLate = v + 1
			sim.failf("%s has version %d, version %d is not in effect after %s", p.name, v, v+1, d)
		}
	}
}

// verify checks at the end of a run that the table, the processes and what the
// operators were told agree.
func (sim *simulation) verify(ctx context.Context) error {
	c := sim.table.Client()
	rows, err := c.ScanAll(ctx, recordPrefix)
	if err != nil {
		return err
	}
	st, history := emptyState(), map[string]uint64{}
	for i, row := range rows {
		var r Record
		if err := decodeJSON(row.Key(), row.Value(), &r); err != nil {
			return err
		}
		if r.Version != uint64(i+1) {
			return fmt.Errorf("record %d holds version %d", i+1, r.Version)
		}
		for _, d := range r.Docs {
			if o, ever := st.lastChanges[d.ID]; ever && o.Version > sim.bases[r.Publication] {
				sim.failf("version %d overwrote %s of version %d, its operator saw version %d", r.Version, d.ID, o.Version, sim.bases[r.Publication])
			}
		}
		if st, err = st.apply(r); err != nil {
			return err
		}
		history[r.Publication] = r.Version
	}
	for id, v := range sim.accepted {
		if history[id] != v {
			sim.failf("lost: publication %s was accepted as version %d, the table has version %d", id, v, history[id])
		}
	}
	for id := range sim.refused {
		if history[id] != 0 {
			sim.failf("publication %s was refused and is in effect as version %d", id, history[id])
		}
	}
	all, _, err := NewStore(StoreConfig{Table: c}).readAllDocuments(ctx, head{Version: st.version})
	if err != nil {
		return err
	}
	if _, err := emptyState().apply(all); all.Version > 0 && err != nil || all.Digest != st.tree.Digest() {
		sim.failf("documents of version %d differ from the history: %v", all.Version, err)
	}
	for _, p := range sim.procs {
		if h := p.now().store.VersionStatus(); h.Version != st.version || h.Digest != st.tree.Digest() || h.Violations > 0 {
			sim.failf("%s ends with version %d and %d violations, want version %d", p.name, h.Version, h.Violations, st.version)
		}
	}
	sim.verifyAudit(ctx, c, rows)
	return errors.Join(sim.failures...)
}

// verifyAudit checks that the audit trail holds the accepted publications in
// order and each refusal exactly once.
func (sim *simulation) verifyAudit(ctx context.Context, c *table.Client, records []table.Row) {
	for _, p := range sim.procs {
		p.now().pub.Flush(ctx)
	}
	var entries []AuditEntry
	for f := (AuditFilter{Limit: 7}); ; {
		page, err := ReadAudit(ctx, c, f)
		if err != nil {
			sim.failf("audit: %v", err)
			return
		}
		entries = append(entries, page.Entries...)
		if f.After = page.Next; f.After == "" {
			break
		}
	}
	slices.Reverse(entries)
	seen, n := map[string]int{}, 0
	for _, e := range entries {
		if !e.Accepted {
			seen[e.ID]++
			continue
		}
		var r Record
		if n < len(records) {
			_ = decodeJSON("", records[n].Value(), &r)
		}
		n++
		want := make([]Change, 0, len(r.Docs))
		for _, d := range r.Docs {
			want = append(want, Change{ID: d.ID, After: spec.MaskHashes(d.Text)})
		}
		same := slices.EqualFunc(e.Changes, want, func(a, b Change) bool { return a.ID == b.ID && a.After == b.After })
		if e.ID != r.Publication || e.Version != r.Version || !same {
			sim.failf("audit entry %d is version %d of %s, want version %d of %s", n, e.Version, e.ID, r.Version, r.Publication)
		}
	}
	if n != len(records) {
		sim.failf("audit trail has %d accepted publications, want %d", n, len(records))
	}
	for id := range sim.refused {
		if seen[id] != 1 && !sim.lost[id] {
			sim.failf("audit trail has refusal %s %d times", id, seen[id])
		}
	}
}
