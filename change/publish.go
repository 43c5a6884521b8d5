package change

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/spec"
	"github.com/cranberrybay/cranberrybay/table"
)

// File is one file handed to Publish.
type File struct {
	Path string `json:"path"`
	Text string `json:"text"`
}

// Result says what a publication changed.
type Result struct {
	Version uint64   `json:"version"`
	Changed []string `json:"changed"` // IDs of documents that were added or changed
}

// Publish parses and checks the files, and writes those that differ from the
// stored documents in one transaction. Documents without a file stay.
func Publish(ctx context.Context, c *table.Client, author string, files []File) (Result, error) {
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
	if err := errors.Join(faults...); err != nil {
		return Result{}, refuse(err)
	}
	row, err := c.GetOne(ctx, headKey)
	if err != nil {
		return Result{}, unavailable(err)
	}
	now, _, err := load(ctx, c)
	if err != nil {
		return Result{}, unavailable(err)
	}
	h, err := decodeHead(row)
	if err != nil {
		return Result{}, err
	}
	next, changed, err := merge(now, docs)
	if err != nil {
		return Result{}, refuse(err)
	}
	if len(changed) == 0 {
		return Result{Version: h.Version}, nil
	}
	id := uuid.NewString()
	nh := head{Version: h.Version + 1, Digest: next.Digest(), Publication: id}
	b, err := batch(row, nh, next, changed, author)
	if err != nil {
		return Result{}, err
	}
	if _, err := c.Commit(ctx, b); err != nil {
		return Result{}, commitError(err)
	}
	return Result{Version: nh.Version, Changed: changed}, nil
}

// merge lays docs over the tree now.
func merge(now *spec.Tree, docs []*spec.Document) (*spec.Tree, []string, error) {
	byID := map[string]*spec.Document{}
	var changed []string
	for _, d := range docs {
		if other := byID[d.ID()]; other != nil {
			return nil, nil, fmt.Errorf("%s: %s %q is defined by %s too", d.Path(), d.Kind(), d.Name(), other.Path())
		}
		byID[d.ID()] = d
		if old := now.Document(d.ID()); old == nil || string(old.Text()) != string(d.Text()) {
			changed = append(changed, d.ID())
		}
	}
	all := docs
	for _, d := range now.Documents() {
		if byID[d.ID()] == nil {
			all = append(all, d)
		}
	}
	next, err := spec.NewTree(all)
	return next, changed, err
}

func batch(row table.Row, nh head, next *spec.Tree, changed []string, author string) (table.Batch, error) {
	var b table.Batch
	b.Expect(headKey, row.Revision())
	if err := put(&b, headKey, nh); err != nil {
		return b, err
	}
	for _, id := range changed {
		d := next.Document(id)
		if err := put(&b, docPrefix+id, docRow{Path: d.Path(), Text: string(d.Text())}); err != nil {
			return b, err
		}
	}
	entry := Entry{Version: nh.Version, Author: author, Time: time.Now().UTC(), Changed: changed}
	return b, put(&b, fmt.Sprintf("audit/%020d", nh.Version), entry)
}

// Entry is one line of the audit trail.
type Entry struct {
	Version uint64    `json:"version"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	Changed []string  `json:"changed"`
}

func put(b *table.Batch, key string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode row %q: %w", key, err)
	}
	b.Put(key, text)
	return nil
}

func refuse(err error) error {
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Invalid, Reason: err.Error()})
}

func unavailable(err error) error {
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unavailable, Reason: "table service does not answer, nothing was published", RetryAt: time.Now().Add(5 * time.Second), Cause: err})
}

func commitError(err error) error {
	switch {
	case errors.Is(err, table.ErrConflict):
		return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Conflict, Reason: "another publication came first", Cause: err})
	case errors.Is(err, table.ErrUnavailable):
		return unavailable(err)
	default:
		return fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: "the reply was lost, the publication may be in force", Cause: err})
	}
}
