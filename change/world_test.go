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

	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/spec"
	"github.com/cranberrybay/cranberrybay/table"
)

// world is a table service, an object store and several processes. Its
// function fields replace parts by deliberately faulty ones.
type world struct {
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
	accepted map[string]uint64 // publication to version, as operators were told
	refused  map[string]bool
	bases    map[string]uint64
	lost     map[string]bool // refusals that waited in a process that was restarted
	applied  []time.Time     // when each version was accepted, from version 1
	faults   []error
}

// proc is one entry process over its restarts.
type proc struct {
	w      *world
	name   string
	link   *fakes.TableLink
	run    incarnation
	resume time.Time // paused before it
	well   time.Time // not disturbed since
	top    uint64    // highest version ever in effect
	told   uint64    // version whose lag was reported
}

// incarnation is one run of a process.
type incarnation struct {
	store *Store
	pub   *Publisher
	life  context.Context
	stop  context.CancelFunc
}

func (p *proc) now() incarnation {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	return p.run
}

func newWorld(ctx context.Context, n int, rnd *rand.Rand) *world {
	w := &world{
		table: fakes.NewTable(), objects: fakes.NewObjectStore(), rand: rnd, ctx: ctx,
		accepted: map[string]uint64{}, refused: map[string]bool{}, bases: map[string]uint64{}, lost: map[string]bool{},
		commit: func(next *table.Client, ctx context.Context, b table.Batch) (uint64, error) {
			return next.Commit(ctx, b)
		},
		fetch: func(from *proc, after uint64) ([]Record, error) { return from.now().store.Records(after) },
		setup: func(*StoreConfig) {}, adjust: func(*Publisher) {},
	}
	for i := range n {
		w.procs = append(w.procs, &proc{w: w, name: fmt.Sprintf("entry-%d", i+1), link: w.table.Link()})
	}
	return w
}

func (w *world) start() {
	for _, p := range w.procs {
		p.run.store = NewStore(StoreConfig{})
	}
	for _, p := range w.procs {
		p.start()
	}
}

// gate holds a call of a paused process back.
func (p *proc) gate(ctx context.Context) {
	p.w.mu.Lock()
	d := time.Until(p.resume)
	p.w.mu.Unlock()
	if d > 0 {
		sleep(ctx, d)
	}
}

// client returns the table of one incarnation. After the end of life its calls
// have no effect.
func (p *proc) client(life context.Context) *table.Client {
	c := p.link.GatedClient(func(ctx context.Context) error {
		if p.gate(ctx); life.Err() != nil {
			return table.ErrUnavailable
		}
		return nil
	})
	return table.New(table.Config{Get: c.Get, Scan: c.Scan, Commit: func(ctx context.Context, b table.Batch) (uint64, error) {
		return p.w.commit(c, ctx, b)
	}})
}

func (p *proc) start() {
	w := p.w
	ctx, stop := context.WithCancel(w.ctx)
	cfg := StoreConfig{
		Table: p.client(ctx), Objects: w.objects.Client(), Rand: rand.New(rand.NewPCG(w.rand.Uint64(), 1)),
		Live:     func() int { return len(w.procs) },
		Announce: func(a Announcement) { p.announce(ctx, a, func(error) {}) },
		Offer: func(octx context.Context, a Announcement) error {
			got := make(chan error, len(w.procs))
			p.announce(ctx, a, func(err error) { got <- err })
			for range len(w.procs) - 1 {
				select {
				case err := <-got:
					if err == nil {
						return nil
					}
				case <-octx.Done():
					return octx.Err()
				}
			}
			return errors.New("no peer took it")
		},
		Fetch: func(ctx context.Context, peer string, after uint64) ([]Record, error) {
			p.gate(ctx)
			for _, q := range w.procs {
				if q.name == peer && sleep(ctx, 2*time.Millisecond) && q.up() {
					return w.fetch(q, after)
				}
			}
			return nil, errors.New("peer does not answer")
		},
		Peers: func() []string {
			var out []string
			for _, q := range w.procs {
				if q != p {
					out = append(out, q.name)
				}
			}
			return out
		},
	}
	w.setup(&cfg)
	r := incarnation{store: NewStore(cfg), life: ctx, stop: stop}
	r.pub = NewPublisher(PublisherConfig{Store: r.store, Table: cfg.Table, Node: p.name})
	w.adjust(r.pub)
	w.mu.Lock()
	p.run = r
	if p.resume = time.Now(); p.well.Before(p.resume) {
		p.well = p.resume
	}
	w.mu.Unlock()
	go r.store.Run(ctx, func(error) {})
}

func (p *proc) up() bool {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	return time.Now().After(p.resume)
}

// announce passes an announcement to the other processes.
func (p *proc) announce(ctx context.Context, a Announcement, done func(error)) {
	a.Peer = p.name
	for _, q := range p.w.procs {
		if q != p {
			go func() {
				if sleep(ctx, time.Millisecond) {
					q.gate(ctx)
					done(q.now().store.Announced(ctx, a))
				}
			}()
		}
	}
}

// restart replaces the process by a new incarnation without memory.
func (p *proc) restart() {
	r := p.now()
	r.stop()
	r.pub.mu.Lock()
	p.w.mu.Lock()
	for _, e := range r.pub.pending {
		p.w.lost[e.ID] = true
	}
	p.w.mu.Unlock()
	r.pub.mu.Unlock()
	synctest.Wait()
	p.start()
}

// pause stops the process for a while; all of its calls wait.
func (p *proc) pause(d time.Duration) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if p.resume = time.Now().Add(d); p.well.Before(p.resume) {
		p.well = p.resume
	}
}

// disturbed notes that processes could not reach the table until a time.
func (w *world) disturbed(until time.Time, ps ...*proc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range ps {
		if p.well.Before(until) {
			p.well = until
		}
	}
}

func (w *world) faultf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Errorf(format, args...))
}

// publish sends a request through a process and notes what the operator is
// told. It returns the error of the publication.
func (w *world) publish(p *proc, rq Request) (Result, error) {
	w.mu.Lock()
	w.bases[rq.ID] = rq.Base
	w.mu.Unlock()
	r := p.now()
	res, err := r.pub.Publish(w.ctx, rq)
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.life.Err() != nil {
		return res, errors.New("the process was restarted before it answered")
	}
	switch {
	case err == nil && len(res.Changes) > 0:
		w.accepted[rq.ID] = res.Version
	case err != nil && fault.VerdictOf(err) == fault.NotRun:
		w.refused[rq.ID] = true
	}
	return res, err
}

// watch checks every 20 ms that no process goes back, and that every accepted
// version is in effect on every process within 5 s.
func (w *world) watch(ctx context.Context) {
	for sleep(ctx, 20*time.Millisecond) {
		h, err := decodeHead(w.table.Row(headKey))
		if err != nil {
			w.faultf("head row: %v", err)
		}
		for uint64(len(w.applied)) < h.Version {
			w.applied = append(w.applied, time.Now())
		}
		for _, p := range w.procs {
			w.look(p)
		}
	}
}

func (w *world) look(p *proc) {
	v := p.now().store.Version()
	if v > 0 && v < p.top {
		w.faultf("%s went back from version %d to %d", p.name, p.top, v)
	}
	p.top = max(p.top, v)
	if v < uint64(len(w.applied)) {
		w.mu.Lock()
		since := p.well
		w.mu.Unlock()
		if at := w.applied[v]; at.After(since) {
			since = at
		}
		if d := time.Since(since); d > maxAge && p.told != v+1 {
			p.told = v + 1
			w.faultf("%s has version %d, version %d is not in effect after %s", p.name, v, v+1, d)
		}
	}
}

// verify compares what operators were told with the table.
func (w *world) verify(ctx context.Context) error {
	c := w.table.Client()
	rows, err := c.ScanAll(ctx, recordPrefix)
	if err != nil {
		return err
	}
	st, history := emptyState(), map[string]uint64{}
	for i, row := range rows {
		var r Record
		if err := decode(row.Key(), row.Value(), &r); err != nil {
			return err
		}
		if r.Version != uint64(i+1) {
			return fmt.Errorf("record %d holds version %d", i+1, r.Version)
		}
		for _, d := range r.Docs {
			if o, ever := st.origins[d.ID]; ever && o.Version > w.bases[r.Publication] {
				w.faultf("version %d overwrote %s of version %d, its operator saw version %d", r.Version, d.ID, o.Version, w.bases[r.Publication])
			}
		}
		if st, err = st.next(r); err != nil {
			return err
		}
		history[r.Publication] = r.Version
	}
	for id, v := range w.accepted {
		if history[id] != v {
			w.faultf("lost: publication %s was accepted as version %d, the table has it as %d", id, v, history[id])
		}
	}
	for id := range w.refused {
		if history[id] != 0 {
			w.faultf("publication %s was refused and is in effect as version %d", id, history[id])
		}
	}
	all, _, err := NewStore(StoreConfig{Table: c}).readAll(ctx, head{Version: st.version})
	if err != nil {
		return err
	}
	if _, err := emptyState().next(all); all.Version > 0 && err != nil || all.Digest != st.tree.Digest() {
		w.faultf("documents of version %d differ from the history: %v", all.Version, err)
	}
	for _, p := range w.procs {
		if h := p.now().store.Health(); h.Version != st.version || h.Digest != st.tree.Digest() || h.Violations > 0 {
			w.faultf("%s ends with version %d and %d violations, want version %d", p.name, h.Version, h.Violations, st.version)
		}
	}
	w.verifyAudit(ctx, c, rows)
	return errors.Join(w.faults...)
}

// verifyAudit checks that the audit trail holds the accepted history in order,
// and each refusal once.
func (w *world) verifyAudit(ctx context.Context, c *table.Client, records []table.Row) {
	for _, p := range w.procs {
		p.now().pub.Flush(ctx)
	}
	var entries []Entry
	for f := (Filter{Limit: 7}); ; {
		page, err := Audit(ctx, c, f)
		if err != nil {
			w.faultf("audit: %v", err)
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
			_ = decode("", records[n].Value(), &r)
		}
		n++
		want := make([]Change, 0, len(r.Docs))
		for _, d := range r.Docs {
			want = append(want, Change{ID: d.ID, After: spec.Mask(d.Text)})
		}
		same := slices.EqualFunc(e.Changes, want, func(a, b Change) bool { return a.ID == b.ID && a.After == b.After })
		if e.ID != r.Publication || e.Version != r.Version || !same {
			w.faultf("audit entry %d is version %d of %s, want version %d of %s", n, e.Version, e.ID, r.Version, r.Publication)
		}
	}
	if n != len(records) {
		w.faultf("audit trail has %d accepted publications, want %d", n, len(records))
	}
	for id := range w.refused {
		if seen[id] != 1 && !w.lost[id] {
			w.faultf("audit trail has refusal %s %d times", id, seen[id])
		}
	}
}
