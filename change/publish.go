package change

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/spec"
	"github.com/cranberrybay/cranberrybay/table"
)

// File is a document file to publish.
type File struct {
	Path string `json:"path"`
	Text string `json:"text"`
}

// Request describes a publication.
type Request struct {
	ID     string // of the publication; generated if empty
	Author string
	Base   uint64 // newest version that the operator has seen
	Files  []File
	Remove []string // IDs of documents to remove
	// Source names the directory of which Files holds all documents. Other
	// documents that this directory owns are removed, unless Partial is set. If
	// Source is empty, documents without a file are kept too.
	Source  string
	Partial bool
	Adopt   bool // take ownership of documents that belong to other directories
	DryRun  bool // compare and check only, write nothing
	// Allow returns an error for a change that the operator's credential does
	// not allow. It is called again when the publication is retried on a newer
	// tree. Old is nil for an added document, next is nil for a removed one. If
	// Allow is nil, all changes are allowed.
	Allow func(t *spec.Tree, old, next *spec.Document) error
}

// Result is the result of a publication.
type Result struct {
	ID      string   `json:"id"`
	Version uint64   `json:"version"`
	DryRun  bool     `json:"dry,omitempty"`
	Changes []Change `json:"changes"`
	// Conflicts lists the conflicts that would make a real publication fail. It
	// is set by dry runs only.
	Conflicts []string `json:"conflicts,omitempty"`
}

// PublisherConfig configures a Publisher.
type PublisherConfig struct {
	Store   *Store
	Table   *table.Client
	Node    string                       // name of this process, for the audit trail
	Engines func() []spec.EngineCapacity // engines known to this process; may be nil
	Log     zerolog.Logger
}

// Publisher publishes documents on behalf of operators.
type Publisher struct {
	cfg     PublisherConfig
	mu      sync.Mutex
	pending []AuditEntry // refusals to be written to the audit trail

	// Replaced by tests.
	plan        func(*state, *Request, []*spec.Document, []spec.EngineCapacity, time.Time) (*plan, error)
	readOutcome func(*Publisher, context.Context, *transaction) (outcome, error)
}

// NewPublisher returns a Publisher.
func NewPublisher(cfg PublisherConfig) *Publisher {
	return &Publisher{cfg: cfg, plan: newPlan, readOutcome: (*Publisher).readOutcomeFromRecord}
}

// publishTimeout is the time limit of one publication, including retries and
// reading back its outcome.
const publishTimeout = 10 * time.Second

// retryPause is the pause before a retry. A table call takes a few ms.
const retryPause = 50 * time.Millisecond

// Publish checks the files and writes the documents that changed in one
// transaction. The verdict of the error says whether the publication may be in
// effect: NotRun for a refusal, and MayHaveRun when the reply of the table was
// lost and the table could not be read within publishTimeout. Publish does not
// end when ctx is cancelled, since the outcome of a transaction must be
// determined once it was sent.
func (p *Publisher) Publish(ctx context.Context, rq Request) (Result, error) {
	if rq.ID == "" {
		rq.ID = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), publishTimeout)
	defer cancel()
	docs, err := parseFiles(rq.Files)
	if err != nil {
		return Result{ID: rq.ID}, p.refuse(ctx, &rq, docs, nil, err)
	}
	for {
		res, pl, err := p.publishOnce(ctx, &rq, docs)
		switch {
		case errors.Is(err, errHeadChanged):
			if clock.Sleep(ctx, retryPause) {
				continue
			}
			err = unavailableError(err)
		case err == nil || fault.VerdictOf(err) != fault.NotRun:
			return res, err
		}
		return Result{ID: rq.ID}, p.refuse(ctx, &rq, docs, pl, err)
	}
}

// errHeadChanged reports that the head row changed before the transaction.
var errHeadChanged = errors.New("the head row changed")

// parseFiles parses the files and checks that their documents are distinct.
func parseFiles(files []File) ([]*spec.Document, error) {
	docs := make([]*spec.Document, 0, len(files))
	var errs []error
	for _, f := range files {
		d, err := spec.Parse(f.Path, []byte(f.Text))
		if err != nil {
			errs = append(errs, err)
			continue
		}
		docs = append(docs, d)
	}
	errs = append(errs, spec.CheckUnique(docs))
	if err := errors.Join(errs...); err != nil {
		return docs, invalidError(err)
	}
	return docs, nil
}

// publishOnce tries to publish on the newest state. It returns errHeadChanged
// when another publication came first or a read was stale.
func (p *Publisher) publishOnce(ctx context.Context, rq *Request, docs []*spec.Document) (Result, *plan, error) {
	st, revision, err := p.cfg.Store.refresh(ctx)
	if errors.Is(err, ErrStale) {
		return Result{}, nil, errHeadChanged
	}
	if errors.Is(err, errDigest) {
		return Result{}, nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Internal, Reason: "this process holds other documents than the table at the same version; publish through another process", Cause: err})
	}
	if err != nil {
		return Result{}, nil, unavailableError(err)
	}
	if rq.Base > st.version {
		// Either the operator states a wrong version or the head row is stale.
		if err := p.cfg.Store.confirmHead(ctx, revision); err != nil {
			return Result{}, nil, errHeadChanged
		}
		return Result{}, nil, invalidError(fmt.Errorf("you saw version %d, the newest is %d", rq.Base, st.version))
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
	res := Result{ID: rq.ID, Version: st.version, DryRun: rq.DryRun, Changes: append([]Change{}, pl.changes...), Conflicts: pl.dryRunConflicts}
	if rq.DryRun || len(pl.docs) == 0 {
		return res, pl, nil
	}
	tx, err := p.newTransaction(pl, rq, revision, now)
	if err != nil {
		return res, pl, err
	}
	if err := p.commit(ctx, tx); err != nil {
		return Result{ID: rq.ID}, pl, err
	}
	res.Version = tx.record.Version
	p.activateAccepted(ctx, tx)
	return res, pl, nil
}

// transaction is the table transaction of a publication, with the values needed
// to determine its outcome.
type transaction struct {
	id       string
	revision uint64 // revision of the head row on which the transaction is conditional
	batch    table.Batch
	record   Record
}

// newTransaction builds the transaction that publishes a plan.
func (p *Publisher) newTransaction(pl *plan, rq *Request, revision uint64, now time.Time) (*transaction, error) {
	v := pl.base.version + 1
	tx := &transaction{id: rq.ID, revision: revision}
	tx.record = Record{Version: v, Digest: pl.tree.Digest(), Publication: rq.ID, Docs: pl.docs}
	b := &tx.batch
	// The document rows need no conditions, since every transaction that writes
	// one also writes the head row.
	b.Expect(headKey, revision)
	rows := map[string]any{
		headKey: head{Version: v, Digest: tx.record.Digest, Publication: rq.ID}, recordKey(v): tx.record,
		acceptedKey(v): AuditEntry{ID: rq.ID, Version: v, Author: rq.Author, Node: p.cfg.Node, Source: rq.Source, Time: now, Accepted: true, Changes: pl.changes},
	}
	for _, d := range pl.docs {
		rows[docPrefix+d.ID] = d
	}
	for key, row := range rows {
		if err := putJSON(b, key, row); err != nil {
			return nil, err
		}
	}
	if v > keptRecords {
		b.Delete(recordKey(v - keptRecords))
	}
	return tx, nil
}

// outcome is the outcome of a transaction, as far as it is known.
type outcome int

const (
	outcomeUnknown outcome = iota // not applied yet, but may be applied later
	outcomeApplied
	outcomeRejected // not applied, and can no longer be applied
)

// commit sends a transaction until its outcome is known. It is safe to send the
// same transaction again: all copies are conditional on the same revision of
// the head row, so at most one is applied, and a copy that is delayed on the
// way can no longer be applied after that.
func (p *Publisher) commit(ctx context.Context, tx *transaction) error {
	mayBeApplied := false
	for {
		_, err := p.cfg.Table.Commit(ctx, tx.batch)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, table.ErrConflict) && !mayBeApplied:
			return errHeadChanged
		case errors.Is(err, table.ErrUnavailable) && !mayBeApplied:
			return unavailableError(err)
		case !errors.Is(err, table.ErrConflict) && !errors.Is(err, table.ErrUnavailable):
			mayBeApplied = true
		}
		for {
			o, readErr := p.readOutcome(p, ctx, tx)
			if readErr == nil && o == outcomeApplied {
				return nil
			}
			if readErr == nil && o == outcomeRejected {
				return errHeadChanged
			}
			if !clock.Sleep(ctx, retryPause) {
				return fault.New(fault.Config{
					Verdict: fault.MayHaveRun, Code: fault.Unavailable, Cause: errors.Join(err, readErr),
					Reason:  fmt.Sprintf("the reply of the table service was lost: whether publication %s is accepted is unknown; look for it in the audit trail", tx.id),
					RetryAt: time.Now().Add(publishTimeout),
				})
			}
			if readErr == nil {
				break
			}
		}
	}
}

// readOutcomeFromRecord determines the outcome of a transaction from the record
// of its version. When that record does not exist, the outcome stays unknown:
// the transaction may still be on its way until the head row has changed.
func (p *Publisher) readOutcomeFromRecord(ctx context.Context, tx *transaction) (outcome, error) {
	key := recordKey(tx.record.Version)
	rows, err := p.cfg.Table.Get(ctx, headKey, key)
	if err != nil {
		return outcomeUnknown, err
	}
	if len(rows) != 2 {
		return outcomeUnknown, fmt.Errorf("table service returned %d rows for two keys", len(rows))
	}
	if rows[1].Exists() {
		var r Record
		if err := decodeJSON(key, rows[1].Value(), &r); err != nil {
			return outcomeUnknown, err
		}
		if r.Publication == tx.id {
			return outcomeApplied, nil
		}
		return outcomeRejected, nil
	}
	return outcomeUnknown, nil
}

// activateAccepted puts an accepted version into effect in this process, and
// writes a snapshot when one is due.
func (p *Publisher) activateAccepted(ctx context.Context, tx *transaction) {
	s := p.cfg.Store
	if err := s.applyNewer(ctx, []Record{tx.record}, false); err != nil {
		if err := s.Refresh(ctx); err != nil {
			p.cfg.Log.Warn().Err(err).Uint64("version", tx.record.Version).Msg("accepted version is not in effect in this process yet")
		}
	}
	if st := s.current.Load(); st.version == tx.record.Version && (st.version%snapshotInterval == 0 || st.version == 1) {
		if err := s.saveSnapshot(ctx, st); err != nil {
			p.cfg.Log.Warn().Err(err).Uint64("version", st.version).Msg("snapshot was not written")
		}
	}
}

// unavailableError returns a refusal with the code Unavailable.
func unavailableError(err error) error {
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unavailable, Reason: "table service does not answer, nothing was published", RetryAt: time.Now().Add(maxTimeToEffect), Cause: err})
}
