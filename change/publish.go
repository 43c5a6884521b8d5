package change

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/spec"
	"github.com/cranberrybay/cranberrybay/table"
)

// File is one file handed to Publish.
type File struct {
	Path string `json:"path"`
	Text string `json:"text"`
}

// Request is one publication.
type Request struct {
	ID     string // identifier of the publication; "" for a new one
	Author string
	Base   uint64 // tree version that the operator saw last
	Files  []File
	Remove []string // IDs of documents to remove
	// Source names the directory that the files are all documents of: those
	// that it owns and that have no file are removed. Without a source, or when
	// Partial, documents without a file stay.
	Source  string
	Partial bool
	Adopt   bool // take over documents that other directories own
	Dry     bool // compare and check, but change nothing
	// Allow refuses a change that the operator's credential does not allow. It
	// is asked again when the publication is repeated on a newer tree. Old is
	// nil for an added document, next for a removed one. Nil allows everything.
	Allow func(t *spec.Tree, old, next *spec.Document) error
}

// Result says what a publication changed.
type Result struct {
	ID      string   `json:"id"`
	Version uint64   `json:"version"`
	Dry     bool     `json:"dry,omitempty"`
	Changes []Change `json:"changes"`
	// Conflicts are the reasons for which a publication would be refused. Only
	// a dry run has them.
	Conflicts []string `json:"conflicts,omitempty"`
}

// PublisherConfig holds the parts of a Publisher.
type PublisherConfig struct {
	Store   *Store
	Table   *table.Client
	Node    string                       // name of this process, for the audit trail
	Engines func() []spec.EngineCapacity // engines known to this process; nil when unknown
	Log     zerolog.Logger
}

// Publisher publishes documents through one process.
type Publisher struct {
	cfg     PublisherConfig
	mu      sync.Mutex
	pending []Entry // refusals that are not in the audit trail yet

	// Replaced by tests.
	plan     func(*state, *Request, []*spec.Document, []spec.EngineCapacity, time.Time) (*plan, error)
	readBack func(*Publisher, context.Context, *attempt) (outcome, error)
}

// NewPublisher returns a publisher.
func NewPublisher(cfg PublisherConfig) *Publisher {
	return &Publisher{cfg: cfg, plan: newPlan, readBack: (*Publisher).readRecord}
}

// patience bounds one publication, repeats and reading back included.
const patience = 10 * time.Second

// retryPause is the pause before a repeat; a table call takes a few ms.
const retryPause = 50 * time.Millisecond

// Publish checks the files, and writes the documents that changed in one
// transaction. The error says whether the publication may be in effect: NotRun
// for a refusal, MayHaveRun when the reply of the table was lost and the table
// could not be read until patience ended. It does not end with ctx once a
// transaction was sent, since its outcome must be found out.
func (p *Publisher) Publish(ctx context.Context, rq Request) (Result, error) {
	if rq.ID == "" {
		rq.ID = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), patience)
	defer cancel()
	docs, err := parse(rq.Files)
	if err != nil {
		return Result{ID: rq.ID}, p.refuse(ctx, &rq, docs, nil, err)
	}
	for {
		res, pl, err := p.try(ctx, &rq, docs)
		switch {
		case errors.Is(err, errMoved):
			if sleep(ctx, retryPause) {
				continue
			}
			err = unavailable(err)
		case err == nil || fault.VerdictOf(err) != fault.NotRun:
			return res, err
		}
		return Result{ID: rq.ID}, p.refuse(ctx, &rq, docs, pl, err)
	}
}

// errMoved reports that the head moved before the transaction.
var errMoved = errors.New("the head row moved")

func parse(files []File) ([]*spec.Document, error) {
	docs := make([]*spec.Document, 0, len(files))
	var faults []error
	for _, f := range files {
		d, err := spec.Parse(f.Path, []byte(f.Text))
		if err != nil {
			faults = append(faults, err)
			continue
		}
		docs = append(docs, d)
	}
	faults = append(faults, spec.CheckUnique(docs))
	if err := errors.Join(faults...); err != nil {
		return docs, invalid(err)
	}
	return docs, nil
}

// try makes one attempt against the newest state.
func (p *Publisher) try(ctx context.Context, rq *Request, docs []*spec.Document) (Result, *plan, error) {
	st, revision, err := p.cfg.Store.refresh(ctx)
	if errors.Is(err, ErrStale) {
		return Result{}, nil, errMoved
	}
	if errors.Is(err, errDigest) {
		return Result{}, nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Internal, Reason: "this process holds other documents than the table at the same version; publish through another process", Cause: err})
	}
	if err != nil {
		return Result{}, nil, unavailable(err)
	}
	if rq.Base > st.version {
		// Either the operator is wrong or the head row was a stale read.
		if err := p.cfg.Store.confirmHead(ctx, revision); err != nil {
			return Result{}, nil, errMoved
		}
		return Result{}, nil, invalid(fmt.Errorf("you saw version %d, the newest is %d", rq.Base, st.version))
	}
	var engines []spec.EngineCapacity
	if p.cfg.Engines != nil {
		engines = p.cfg.Engines()
	}
	now := time.Now().UTC()
	pl, err := p.plan(st, rq, docs, engines, now)
	if err != nil {
		return Result{}, pl, err
	}
	res := Result{ID: rq.ID, Version: st.version, Dry: rq.Dry, Changes: append([]Change{}, pl.changes...), Conflicts: pl.unseen}
	if rq.Dry || len(pl.docs) == 0 {
		return res, pl, nil
	}
	a, err := p.newAttempt(pl, rq, revision, now)
	if err != nil {
		return res, pl, err
	}
	if err := p.commit(ctx, a); err != nil {
		return Result{ID: rq.ID}, pl, err
	}
	res.Version = a.record.Version
	p.accepted(ctx, a)
	return res, pl, nil
}

// attempt is one transaction and what is needed to find out its outcome.
type attempt struct {
	id       string
	revision uint64 // of the head row that the transaction is conditional on
	batch    table.Batch
	record   Record
}

func (p *Publisher) newAttempt(pl *plan, rq *Request, revision uint64, now time.Time) (*attempt, error) {
	v := pl.from.version + 1
	a := &attempt{id: rq.ID, revision: revision}
	a.record = Record{Version: v, Digest: pl.tree.Digest(), Publication: rq.ID, Docs: pl.docs}
	b := &a.batch
	// The documents need no conditions of their own: each transaction that
	// writes one writes the head row too.
	b.Expect(headKey, revision)
	rows := map[string]any{
		headKey: head{Version: v, Digest: a.record.Digest, Publication: rq.ID}, recordKey(v): a.record,
		acceptedKey(v): Entry{ID: rq.ID, Version: v, Author: rq.Author, Node: p.cfg.Node, Source: rq.Source, Time: now, Accepted: true, Changes: pl.changes},
	}
	for _, d := range pl.docs {
		rows[docPrefix+d.ID] = d
	}
	for key, row := range rows {
		if err := put(b, key, row); err != nil {
			return nil, err
		}
	}
	if v > keptRecords {
		b.Delete(recordKey(v - keptRecords))
	}
	return a, nil
}

// outcome is what is known of a transaction.
type outcome int

const (
	undecided outcome = iota // it is not applied, but it may be applied later
	applied
	refused // it is not applied and never will be
)

// commit sends the transaction of an attempt until its outcome is known. The
// same transaction may be sent again: all copies are conditional on the same
// revision of the head row, so at most one is applied, and once one is applied
// a copy that was delayed on its way no longer can be.
func (p *Publisher) commit(ctx context.Context, a *attempt) error {
	lost := false
	for {
		_, err := p.cfg.Table.Commit(ctx, a.batch)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, table.ErrConflict) && !lost:
			return errMoved
		case errors.Is(err, table.ErrUnavailable) && !lost:
			return unavailable(err)
		case !errors.Is(err, table.ErrConflict) && !errors.Is(err, table.ErrUnavailable):
			lost = true
		}
		for {
			o, rerr := p.readBack(p, ctx, a)
			if rerr == nil && o == applied {
				return nil
			}
			if rerr == nil && o == refused {
				return errMoved
			}
			if !sleep(ctx, retryPause) {
				return fault.New(fault.Config{
					Verdict: fault.MayHaveRun, Code: fault.Unavailable, Cause: errors.Join(err, rerr),
					Reason:  fmt.Sprintf("the reply of the table service was lost: whether publication %s is accepted is unknown; look for it in the audit trail", a.id),
					RetryAt: time.Now().Add(patience),
				})
			}
			if rerr == nil {
				break
			}
		}
	}
}

// readRecord reads the outcome of an attempt back. That the record of its
// version does not exist proves nothing until the head row has moved.
func (p *Publisher) readRecord(ctx context.Context, a *attempt) (outcome, error) {
	key := recordKey(a.record.Version)
	rows, err := p.cfg.Table.Get(ctx, headKey, key)
	if err != nil {
		return undecided, err
	}
	if len(rows) != 2 {
		return undecided, fmt.Errorf("table service answered %d rows for two keys", len(rows))
	}
	if rows[1].Exists() {
		var r Record
		if err := decode(key, rows[1].Value(), &r); err != nil {
			return undecided, err
		}
		if r.Publication == a.id {
			return applied, nil
		}
		return refused, nil
	}
	return undecided, nil
}

// accepted puts an accepted version into effect in this process.
func (p *Publisher) accepted(ctx context.Context, a *attempt) {
	s := p.cfg.Store
	if err := s.apply(ctx, []Record{a.record}, false); err != nil {
		if err := s.Refresh(ctx); err != nil {
			p.cfg.Log.Warn().Err(err).Uint64("version", a.record.Version).Msg("accepted version is not in effect here yet")
		}
	}
	if st := s.force.Load(); st.version == a.record.Version && (st.version%snapshotEvery == 0 || st.version == 1) {
		if err := s.saveSnapshot(ctx, st); err != nil {
			p.cfg.Log.Warn().Err(err).Uint64("version", st.version).Msg("snapshot was not written")
		}
	}
}

// sleep waits and tells whether ctx is still open.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func unavailable(err error) error {
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unavailable, Reason: "table service does not answer, nothing was published", RetryAt: time.Now().Add(maxAge), Cause: err})
}
