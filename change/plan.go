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

// Kinds of a Change.
const (
	Added   = "added"
	Changed = "changed"
	Removed = "removed"
	Adopted = "adopted" // another directory owns the document now
)

// Change is what a publication does to one document. Secrets are masked.
type Change struct {
	ID     string `json:"id"`
	Kind   string `json:"kind,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Lines returns the lines that differ, marked with - and +, between the first
// and the last line that differ.
func (c Change) Lines() []string {
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

func lines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}

// plan is a publication worked out against one state.
type plan struct {
	from    *state
	tree    *spec.Tree
	docs    []Doc
	changes []Change
	unseen  []string // conflicts that a dry run reports beside the difference
}

// conflicts collects the reasons why a plan can't be carried out.
type conflicts struct {
	rq     *Request
	from   *state
	seen   []error // the operator did not see the newest version
	denied []error // the credential does not allow it
}

// newPlan compares a request with a state. The errors have the codes Conflict,
// Forbidden and Invalid.
func newPlan(st *state, rq *Request, docs []*spec.Document, engines []spec.EngineCapacity, now time.Time) (*plan, error) {
	p := &plan{from: st}
	c := &conflicts{rq: rq, from: st}
	given := map[string]bool{}
	var set []*spec.Document
	for _, d := range docs {
		given[d.ID()] = true
		old := st.tree.Document(d.ID())
		same := old != nil && string(old.Text()) == string(d.Text())
		owner := st.origins[d.ID()].Source
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
		set = append(set, d)
		p.add(Doc{ID: d.ID(), Path: d.Path(), Text: string(d.Text())}, kind, old, d)
	}
	drop := slices.Clone(rq.Remove)
	if rq.Source != "" && !rq.Partial {
		for id, o := range st.origins {
			if o.Source == rq.Source && !o.Removed && !given[id] {
				drop = append(drop, id)
			}
		}
	}
	if len(docs) == 0 && len(rq.Remove) == 0 && len(drop) > 0 {
		return p, invalid(fmt.Errorf("directory %q has no documents and owns %d: to remove all, remove the last one by name", rq.Source, len(drop)))
	}
	slices.Sort(drop)
	for _, id := range slices.Compact(drop) {
		if old := st.tree.Document(id); old != nil {
			c.check(id, old, nil)
			p.add(Doc{ID: id, Removed: true}, Removed, old, nil)
		}
	}
	if rq.Dry {
		for _, err := range c.seen {
			p.unseen = append(p.unseen, err.Error())
		}
		c.seen = nil
	}
	if err := c.err(); err != nil {
		return p, err
	}
	for i := range p.docs {
		d := &p.docs[i]
		d.Source, d.Version, d.Author, d.Time = rq.Source, st.version+1, rq.Author, now
		if d.Source == "" && !d.Removed {
			d.Source = st.origins[d.ID].Source
		}
	}
	p.tree = st.tree.With(set, drop)
	if len(p.docs) == 0 {
		return p, nil
	}
	if err := p.tree.Check(engines); err != nil {
		return p, invalid(err)
	}
	return p, nil
}

func (p *plan) add(d Doc, kind string, old, next *spec.Document) {
	ch := Change{ID: d.ID, Kind: kind}
	if old != nil {
		ch.Before = spec.MaskHashes(string(old.Text()))
	}
	if next != nil {
		ch.After = spec.MaskHashes(string(next.Text()))
	}
	p.docs, p.changes = append(p.docs, d), append(p.changes, ch)
}

// check tells whether the operator saw the newest version of a document,
// whether the document belongs to another directory, and whether the
// credential allows the change.
func (c *conflicts) check(id string, old, next *spec.Document) {
	o, ever := c.from.origins[id]
	what := "changed"
	if o.Removed {
		what = "removed"
	}
	if ever && o.Version > c.rq.Base {
		c.seen = append(c.seen, fmt.Errorf("%s was %s by %q in version %d at %s, you saw version %d", id, what, o.Author, o.Version, o.Time.UTC().Format(time.RFC3339), c.rq.Base))
	}
	if old != nil && o.Source != "" && o.Source != c.rq.Source && !c.rq.Adopt {
		c.seen = append(c.seen, fmt.Errorf("%s belongs to the directory %q, published by %q in version %d; adopt it, or publish it from there", id, o.Source, o.Author, o.Version))
	}
	if c.rq.Allow != nil {
		if err := c.rq.Allow(c.from.tree, old, next); err != nil {
			c.denied = append(c.denied, err)
		}
	}
}

func (c *conflicts) err() error {
	if err := errors.Join(c.denied...); err != nil {
		return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Forbidden, Reason: err.Error()})
	}
	if err := errors.Join(c.seen...); err != nil {
		return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Conflict, Reason: err.Error()})
	}
	return nil
}

func invalid(err error) error {
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Invalid, Reason: err.Error()})
}
