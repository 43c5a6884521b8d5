package change

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/spec"
	"github.com/cranberrybay/cranberrybay/table"
)

// AuditEntry is one entry of the audit trail: an accepted or refused
// publication. Secrets in it are masked.
type AuditEntry struct {
	ID       string    `json:"id"`      // of the publication
	Version  uint64    `json:"version"` // created by the publication, or in effect when it was refused
	Author   string    `json:"author"`
	Node     string    `json:"node"` // process that received the publication
	Source   string    `json:"source,omitempty"`
	Time     time.Time `json:"time"`
	Accepted bool      `json:"accepted"`
	Code     string    `json:"code,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	Changes  []Change  `json:"changes"`
}

// The keys of audit rows count down, so that a scan in ascending order returns
// the newest entry first. In that order, the refusals at a version come before
// the acceptance that created the version, since they are newer.
const auditPrefix = "audit/"

// acceptedKey returns the key of the entry of an accepted publication.
func acceptedKey(version uint64) string { return fmt.Sprintf("%s%016x/~", auditPrefix, ^version) }

// refusedKey returns the key of the entry of a refused publication.
func refusedKey(e AuditEntry) string {
	return fmt.Sprintf("%s%016x/%016x-%s", auditPrefix, ^e.Version, math.MaxInt64-e.Time.UnixNano(), e.ID)
}

// Limits of the audit entries of refusals. Pending refusals are kept in memory
// until the table service is available.
const (
	maxReason  = 4096 // length of a reason in bytes
	maxPending = 256  // number of pending refusals
)

// Refuse records a publication that was refused before it was compared with the
// configuration, and returns err.
func (p *Publisher) Refuse(ctx context.Context, rq Request, err error) error {
	if rq.ID == "" {
		rq.ID = uuid.NewString()
	}
	return p.refuse(ctx, &rq, nil, nil, err)
}

// refuse records a refusal in the audit trail and returns err. A dry run leaves
// no entry.
func (p *Publisher) refuse(ctx context.Context, rq *Request, docs []*spec.Document, pl *plan, err error) error {
	if rq.DryRun {
		return err
	}
	reason := err.Error()
	var fe *fault.Error
	if errors.As(err, &fe) {
		reason = fe.Reason()
	}
	e := AuditEntry{
		ID: rq.ID, Version: p.cfg.Store.Version(), Author: rq.Author, Node: p.cfg.Node, Source: rq.Source, Time: time.Now().UTC(),
		Code: string(fault.CodeOf(err)), Reason: spec.MaskHashes(reason[:min(len(reason), maxReason)]), Changes: []Change{},
	}
	if pl != nil {
		e.Changes = append(e.Changes, pl.changes...)
	} else {
		for _, d := range docs {
			e.Changes = append(e.Changes, Change{ID: d.ID(), After: spec.MaskHashes(string(d.Text()))})
		}
	}
	p.mu.Lock()
	if p.pending = append(p.pending, e); len(p.pending) > maxPending {
		p.cfg.Log.Error().Str("publication", p.pending[0].ID).Msg("refusal was dropped from the audit trail, too many are waiting for the table service")
		p.pending = p.pending[1:]
	}
	p.mu.Unlock()
	p.Flush(ctx)
	return err
}

// Flush writes the pending refusals to the table. Writing one twice has no
// effect, so it is written again when the reply was lost.
func (p *Publisher) Flush(ctx context.Context) {
	for {
		p.mu.Lock()
		batch := slices.Clone(p.pending)
		p.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		var b table.Batch
		for _, e := range batch {
			if err := putJSON(&b, refusedKey(e), e); err != nil {
				p.cfg.Log.Error().Err(err).Msg("refusal could not be encoded for the audit trail")
			}
		}
		if _, err := p.cfg.Table.Commit(ctx, b); err != nil {
			if errors.Is(err, table.ErrUnknown) && clock.Sleep(ctx, retryPause) {
				continue
			}
			p.cfg.Log.Warn().Err(err).Int("entries", len(batch)).Msg("refusals are not in the audit trail yet, the table service failed")
			return
		}
		p.mu.Lock()
		p.pending = slices.DeleteFunc(p.pending, func(e AuditEntry) bool {
			return slices.ContainsFunc(batch, func(w AuditEntry) bool { return w.ID == e.ID && w.Time.Equal(e.Time) })
		})
		p.mu.Unlock()
	}
}

// AuditFilter selects entries of the audit trail. A zero field matches all
// entries.
type AuditFilter struct {
	Name   string // ID or name of a document
	Author string // with or without @ and the team
	ID     string // of the publication
	Since  time.Time
	Until  time.Time
	After  string // Next of the previous page
	Limit  int
}

func (f AuditFilter) matches(e AuditEntry) bool {
	matchesName := func(c Change) bool { return c.ID == f.Name || strings.HasSuffix(c.ID, "/"+f.Name) }
	return (f.Name == "" || slices.ContainsFunc(e.Changes, matchesName)) &&
		(f.Author == "" || f.Author == e.Author || strings.HasPrefix(e.Author, f.Author+"@")) && (f.ID == "" || f.ID == e.ID) &&
		(f.Since.IsZero() || !e.Time.Before(f.Since)) && (f.Until.IsZero() || e.Time.Before(f.Until))
}

// AuditPage is one page of the audit trail, newest entry first.
type AuditPage struct {
	Entries []AuditEntry `json:"entries"`
	Next    string       `json:"next,omitempty"` // AuditFilter.After for the next page; "" on the last page
}

// Limits of the reads for one page, in rows. A page may have fewer entries than
// its limit although more follow, when few rows match. Next continues the search.
const (
	auditRowsPerScan = 200
	maxAuditRows     = 4000
)

// ReadAudit returns one page of the audit trail.
func ReadAudit(ctx context.Context, c *table.Client, f AuditFilter) (AuditPage, error) {
	out := AuditPage{Entries: []AuditEntry{}}
	after := f.After
	for rows := 0; rows < maxAuditRows; rows += auditRowsPerScan {
		page, err := c.Scan(ctx, auditPrefix, after, auditRowsPerScan)
		if err != nil {
			return out, unavailableError(err)
		}
		for _, row := range page {
			after = row.Key()
			var e AuditEntry
			if err := decodeJSON(row.Key(), row.Value(), &e); err != nil {
				return out, err
			}
			if !f.matches(e) {
				continue
			}
			if out.Entries = append(out.Entries, e); f.Limit > 0 && len(out.Entries) == f.Limit {
				out.Next = after
				return out, nil
			}
		}
		if len(page) < auditRowsPerScan {
			return out, nil
		}
	}
	out.Next = after
	return out, nil
}
