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

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/spec"
	"github.com/cranberrybay/cranberrybay/table"
)

// Entry is one line of the audit trail. Secrets are masked.
type Entry struct {
	ID       string    `json:"id"`      // identifier of the publication
	Version  uint64    `json:"version"` // made by an accepted publication, or in effect when one was refused
	Author   string    `json:"author"`
	Node     string    `json:"node"` // process that took the publication
	Source   string    `json:"source,omitempty"`
	Time     time.Time `json:"time"`
	Accepted bool      `json:"accepted"`
	Code     string    `json:"code,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	Changes  []Change  `json:"changes"`
}

// The keys of audit entries count down, since a scan runs upwards and readers
// want the newest entry first. Refusals come after the acceptance of the
// version that was in effect.
const auditPrefix = "audit/"

func acceptedKey(version uint64) string { return fmt.Sprintf("%s%016x/~", auditPrefix, ^version) }

func refusedKey(e Entry) string {
	return fmt.Sprintf("%s%016x/%016x-%s", auditPrefix, ^e.Version, math.MaxInt64-e.Time.UnixNano(), e.ID)
}

// Bounds of an entry and of the entries that wait while the table is down.
const (
	maxReason  = 4096
	maxPending = 256
)

// Refuse notes a publication that was refused before it was looked at, and
// returns err.
func (p *Publisher) Refuse(ctx context.Context, rq Request, err error) error {
	if rq.ID == "" {
		rq.ID = uuid.NewString()
	}
	return p.refuse(ctx, &rq, nil, nil, err)
}

// refuse writes a refusal to the audit trail and returns its error. A dry run
// leaves no entry.
func (p *Publisher) refuse(ctx context.Context, rq *Request, docs []*spec.Document, pl *plan, err error) error {
	if rq.Dry {
		return err
	}
	reason := err.Error()
	var fe *fault.Error
	if errors.As(err, &fe) {
		reason = fe.Reason()
	}
	e := Entry{
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
		p.cfg.Log.Error().Str("publication", p.pending[0].ID).Msg("refusal is missing in the audit trail, too many wait for the table service")
		p.pending = p.pending[1:]
	}
	p.mu.Unlock()
	p.Flush(ctx)
	return err
}

// Flush writes the refusals that wait for the table. Writing one twice has no
// effect, so a lost reply is answered by writing again.
func (p *Publisher) Flush(ctx context.Context) {
	for {
		p.mu.Lock()
		wait := slices.Clone(p.pending)
		p.mu.Unlock()
		if len(wait) == 0 {
			return
		}
		var b table.Batch
		for _, e := range wait {
			if err := put(&b, refusedKey(e), e); err != nil {
				p.cfg.Log.Error().Err(err).Msg("refusal was not encoded")
			}
		}
		if _, err := p.cfg.Table.Commit(ctx, b); err != nil {
			if errors.Is(err, table.ErrUnknown) && sleep(ctx, retryPause) {
				continue
			}
			p.cfg.Log.Warn().Err(err).Int("entries", len(wait)).Msg("refusals wait for the table service")
			return
		}
		p.mu.Lock()
		p.pending = slices.DeleteFunc(p.pending, func(e Entry) bool {
			return slices.ContainsFunc(wait, func(w Entry) bool { return w.ID == e.ID && w.Time.Equal(e.Time) })
		})
		p.mu.Unlock()
	}
}

// Filter selects entries of the audit trail; zero fields select all.
type Filter struct {
	Name   string // ID of a document, or its name
	Author string // with or without the team after the @
	ID     string // of the publication
	Since  time.Time
	Until  time.Time
	After  string // Next of the page before
	Limit  int
}

func (f Filter) match(e Entry) bool {
	named := func(c Change) bool { return c.ID == f.Name || strings.HasSuffix(c.ID, "/"+f.Name) }
	return (f.Name == "" || slices.ContainsFunc(e.Changes, named)) &&
		(f.Author == "" || f.Author == e.Author || strings.HasPrefix(e.Author, f.Author+"@")) && (f.ID == "" || f.ID == e.ID) &&
		(f.Since.IsZero() || !e.Time.Before(f.Since)) && (f.Until.IsZero() || e.Time.Before(f.Until))
}

// Page is one page of the audit trail, newest entry first.
type Page struct {
	Entries []Entry `json:"entries"`
	Next    string  `json:"next,omitempty"` // Filter.After of the next page; "" after the last
}

// Bounds of the reads of one page. A page may hold fewer entries than its
// limit when few match; Next then continues the search.
const (
	auditScan    = 200
	maxAuditRows = 4000
)

// Audit returns one page of the audit trail.
func Audit(ctx context.Context, c *table.Client, f Filter) (Page, error) {
	out := Page{Entries: []Entry{}}
	after := f.After
	for rows := 0; rows < maxAuditRows; rows += auditScan {
		page, err := c.Scan(ctx, auditPrefix, after, auditScan)
		if err != nil {
			return out, unavailable(err)
		}
		for _, row := range page {
			after = row.Key()
			var e Entry
			if err := decode(row.Key(), row.Value(), &e); err != nil {
				return out, err
			}
			if !f.match(e) {
				continue
			}
			if out.Entries = append(out.Entries, e); f.Limit > 0 && len(out.Entries) == f.Limit {
				out.Next = after
				return out, nil
			}
		}
		if len(page) < auditScan {
			return out, nil
		}
	}
	out.Next = after
	return out, nil
}
