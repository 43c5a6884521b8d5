package spec

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// Fault is an error of a document with its place.
type Fault struct {
	Path string
	Line int
	Key  string // empty if the fault belongs to no single key
	Text string
}

func (f *Fault) Error() string {
	if f.Key == "" {
		return fmt.Sprintf("%s:%d: %s", f.Path, f.Line, f.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.Path, f.Line, f.Key, f.Text)
}

// Faults returns the faults that an error of Parse, CheckUnique or Check joins.
func Faults(err error) []*Fault {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		var out []*Fault
		for _, e := range joined.Unwrap() {
			out = append(out, Faults(e)...)
		}
		return out
	}
	var f *Fault
	if errors.As(err, &f) {
		return []*Fault{f}
	}
	return nil
}

// Values of Difference.Change.
const (
	added   = "added"
	removed = "removed"
	changed = "changed"
)

// Difference is a document that differs between two trees.
type Difference struct {
	Change   string // "added", "removed" or "changed"
	Document *Document
	Keys     []KeyDifference // ordered by key
}

// KeyDifference is a key whose value differs. Old and New are values of TOML, and nil for what is
// absent. Hashes are masked.
type KeyDifference struct {
	Key      string
	Old, New any
}

// Compare returns the differences from a tree to another one, ordered by document. Comments and
// the order of keys make no difference.
func Compare(from, to *Tree) []Difference {
	ids := map[string]bool{}
	for _, t := range []*Tree{from, to} {
		for id := range t.docs {
			ids[id] = true
		}
	}
	var out []Difference
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		old, updated := from.docs[id], to.docs[id]
		d := Difference{Change: changed, Document: updated, Keys: compareKeys(old, updated)}
		switch {
		case old == nil:
			d.Change = added
		case updated == nil:
			d.Change, d.Document = removed, old
		}
		if d.Change != changed || len(d.Keys) > 0 {
			out = append(out, d)
		}
	}
	return out
}

func compareKeys(from, to *Document) []KeyDifference {
	old, updated := from.table(), to.table()
	keys := maps.Clone(old)
	maps.Copy(keys, updated)
	delete(keys, "name") // part of the ID
	var out []KeyDifference
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		if !reflect.DeepEqual(old[k], updated[k]) {
			secret := k == "keys" || k == "operators" || k == "readers"
			out = append(out, KeyDifference{Key: k, Old: maskValue(old[k], secret), New: maskValue(updated[k], secret)})
		}
	}
	return out
}

// table returns the keys and values of a document, none for nil.
func (d *Document) table() map[string]any {
	var tables map[string]any
	if d == nil || toml.Unmarshal(d.text, &tables) != nil {
		return map[string]any{}
	}
	table, _ := tables[string(d.kind)].(map[string]any)
	return table
}

// maskValue returns a value with its hashes masked. A secret that is no hash, which Load does not refuse, is
// hashed first.
func maskValue(v any, secret bool) any {
	switch v := v.(type) {
	case string:
		if secret && !hashPattern.MatchString(v) {
			v = HashKey(v)
		}
		return MaskHashes(v)
	case []any:
		out := make([]any, len(v))
		for i := range v {
			out[i] = maskValue(v[i], secret)
		}
		return out
	default:
		return v
	}
}

// Unreachable returns a fault for each service that no account may call. Such a tree can be published.
func (t *Tree) Unreachable() []*Fault {
	c := &checker{}
	for _, s := range t.Services() {
		c.doc = t.docs[string(KindService)+"/"+s.Name()]
		mayCall := func(a *Account) bool { return a.MayCall(s.Name()) }
		c.require(len(t.accounts) == 0 || slices.ContainsFunc(t.Accounts(), mayCall), "name", "", "no account may call service %q", s.Name())
	}
	return Faults(errors.Join(c.errs...))
}
