package change

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/spec"
)

// Values of Change.Kind.
const (
	Added   = "added"
	Changed = "changed"
	Removed = "removed"
	Adopted = "adopted" // only the owning directory changed
)

// Change is the effect of a publication on one document. Secrets in it are
// masked.
type Change struct {
	ID     string `json:"id"`
	Kind   string `json:"kind,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// DiffLines returns the lines from the first to the last difference, marked
// with - for lines of Before and + for lines of After.
func (c Change) DiffLines() []string {
	a, b := lines(c.Before), lines(c.After)
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	var out []string
	for _, l := range a {
		out = append(out, "- "+l)
	}
	for _, l := range b {
		out = append(out, "+ "+l)
	}
	return out
}

// lines splits a text into lines.
func lines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}

// plan is the result of comparing a publication with a state: the documents to
// write and the resulting tree.
type plan struct {
	base            *state
	tree            *spec.Tree
	docs            []StoredDocument
	changes         []Change
	dryRunConflicts []string // conflicts that a dry run reports with the changes
}

// conflictCheck collects the reasons for which a publication is refused.
type conflictCheck struct {
	rq        *Request
	base      *state
	conflicts []error // the document changed or belongs to another directory
	denied    []error // the credential does not allow the change
}

// newPlan compares a request with a state and checks the resulting tree. Its
// errors have the codes Conflict, Forbidden and Invalid.
func newPlan(st *state, rq *Request, docs []*spec.Document, engines []spec.EngineCapacity, now time.Time) (*plan, error) {
	p := &plan{base: st}
	c := &conflictCheck{rq: rq, base: st}
	published := map[string]bool{}
	var put []*spec.Document
	for _, d := range docs {
		published[d.ID()] = true
		old := st.tree.Document(d.ID())
		same := old != nil && string(old.Text()) == string(d.Text())
		owner := st.lastChanges[d.ID()].Source
		if same && (rq.Source == "" || rq.Source == owner) {
			continue
		}
		c.check(d.ID(), old, d)
		kind := Changed
		switch {
		case old == nil:
			kind = Added
		case same:
			kind = Adopted
		}
		put = append(put, d)
		p.addChange(StoredDocument{ID: d.ID(), Path: d.Path(), Text: string(d.Text())}, kind, old, d)
	}
	remove := slices.Clone(rq.Remove)
	if rq.Source != "" && !rq.Partial {
		for id, o := range st.lastChanges {
			if o.Source == rq.Source && !o.Removed && !published[id] {
				remove = append(remove, id)
			}
		}
	}
	if len(docs) == 0 && len(rq.Remove) == 0 && len(remove) > 0 {
		return p, invalidError(fmt.Errorf("directory %q has no documents and owns %d: to remove all, remove the last one by name", rq.Source, len(remove)))
	}
	slices.Sort(remove)
	for _, id := range slices.Compact(remove) {
		if old := st.tree.Document(id); old != nil {
			c.check(id, old, nil)
			p.addChange(StoredDocument{ID: id, Removed: true}, Removed, old, nil)
		}
	}
	if rq.DryRun {
		for _, err := range c.conflicts {
			p.dryRunConflicts = append(p.dryRunConflicts, err.Error())
		}
		c.conflicts = nil
	}
	if err := c.err(); err != nil {
		return p, err
	}
	for i := range p.docs {
		d := &p.docs[i]
		d.Source, d.Version, d.Author, d.Time = rq.Source, st.version+1, rq.Author, now
		if d.Source == "" && !d.Removed {
			d.Source = st.lastChanges[d.ID].Source
		}
	}
	p.tree = st.tree.With(put, remove)
	if len(p.docs) == 0 {
		return p, nil
	}
	if err := p.tree.Check(engines); err != nil {
		return p, invalidError(err)
	}
	return p, nil
}

// addChange adds a document to write and the change to report for it.
func (p *plan) addChange(d StoredDocument, kind string, old, next *spec.Document) {
	ch := Change{ID: d.ID, Kind: kind}
	if old != nil {
		ch.Before = spec.MaskHashes(string(old.Text()))
	}
	if next != nil {
		ch.After = spec.MaskHashes(string(next.Text()))
	}
	p.docs, p.changes = append(p.docs, d), append(p.changes, ch)
}

// check records an error when the document has changed since the version that
// the operator saw, when it belongs to another directory, or when the
// credential does not allow the change.
func (c *conflictCheck) check(id string, old, next *spec.Document) {
	o, known := c.base.lastChanges[id]
	what := "changed"
	if o.Removed {
		what = "removed"
	}
	if known && o.Version > c.rq.Base {
		c.conflicts = append(c.conflicts, fmt.Errorf("%s was %s by %q in version %d at %s, you saw version %d", id, what, o.Author, o.Version, o.Time.UTC().Format(time.RFC3339), c.rq.Base))
	}
	if old != nil && o.Source != "" && o.Source != c.rq.Source && !c.rq.Adopt {
		c.conflicts = append(c.conflicts, fmt.Errorf("%s belongs to the directory %q, published by %q in version %d; adopt it, or publish it from there", id, o.Source, o.Author, o.Version))
	}
	if c.rq.Allow != nil {
		if err := c.rq.Allow(c.base.tree, old, next); err != nil {
			c.denied = append(c.denied, err)
		}
	}
}

// err returns the changes that the credential does not allow as a Forbidden error.
// If all are allowed, it returns the conflicts as a Conflict error, or nil.
func (c *conflictCheck) err() error {
	if err := errors.Join(c.denied...); err != nil {
		return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Forbidden, Reason: err.Error()})
	}
	if err := errors.Join(c.conflicts...); err != nil {
		return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Conflict, Reason: err.Error()})
	}
	return nil
}

// invalidError returns a refusal with the code Invalid.
func invalidError(err error) error {
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Invalid, Reason: err.Error()})
}
