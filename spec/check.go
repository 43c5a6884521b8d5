package spec

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"sort"
	"strings"
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	hashPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
)

// Bounds of single values.
const (
	maxLayers = 1000
	maxCopies = 1000
	maxWeight = 1000
	maxSlots  = 4096
	maxLimit  = 1e9
)

// faults collects the errors of one document, each with file and line.
type faults struct {
	doc *Document
	all []error
}

// addf adds an error at the line that sets key, or at the top of the file.
func (f *faults) addf(key, format string, args ...any) {
	at := f.doc.path
	if n := lineOf(f.doc.text, key); n > 0 {
		at = fmt.Sprintf("%s:%d", f.doc.path, n)
	}
	f.all = append(f.all, fmt.Errorf("%s: %s: %s", at, key, fmt.Sprintf(format, args...)))
}

// lineOf returns the number of the line that sets key, counted from 1, or 0.
func lineOf(text []byte, key string) int {
	for i, l := range bytes.Split(text, []byte("\n")) {
		left, _, ok := strings.Cut(string(l), "=")
		if ok && strings.TrimSpace(left) == key {
			return i + 1
		}
	}
	return 0
}

// check checks the document alone.
func (d *Document) check() error {
	f := &faults{doc: d}
	if !namePattern.MatchString(d.name) {
		f.addf("name", "%q, want 1 to 63 lower-case letters, digits and inner hyphens", d.name)
	}
	switch d.kind {
	case KindService:
		f.service(d.service.file)
	case KindAccount:
		f.account(d.account.file)
	case KindWish:
		f.wish(d.wish.file)
	case KindTeam:
		f.hashes("operators", d.team.file.Operators)
		f.hashes("readers", d.team.file.Readers)
	}
	return errors.Join(f.all...)
}

func (f *faults) service(s ServiceFile) {
	switch s.Kind {
	case "model":
		if s.Model == "" {
			f.addf("model", "is empty, want the name of the model")
		}
		if s.Layers < 1 || s.Layers > maxLayers {
			f.addf("layers", "%d, want 1 to %d", s.Layers, maxLayers)
		}
		if len(s.Calls) > 0 {
			f.addf("calls", "only plain services have calls")
		}
	case "plain":
	default:
		f.addf("kind", "%q, want \"model\" or \"plain\"", s.Kind)
	}
	if s.Slots < 1 || s.Slots > maxSlots {
		f.addf("slots", "%d, want 1 to %d", s.Slots, maxSlots)
	}
	if s.First.Duration < 0 {
		f.addf("first", "%s, want more than 0s", s.First.Duration)
	}
	for _, c := range s.Calls {
		if c.Method == "" || !strings.HasPrefix(c.Path, "/") {
			f.addf("path", "call %q %q, want a method and a path that starts with /", c.Method, c.Path)
		}
	}
}

func (f *faults) account(a AccountFile) {
	if len(a.Keys) == 0 {
		f.addf("keys", "is empty, want at least one hash of an API key")
	}
	f.hashes("keys", a.Keys)
	if a.Weight < 1 || a.Weight > maxWeight {
		f.addf("weight", "%d, want 1 to %d", a.Weight, maxWeight)
	}
	for key, v := range map[string]float64{"rate": a.Rate, "tokens": a.Tokens, "inflight": float64(a.Inflight)} {
		if v < 0 || v > maxLimit {
			f.addf(key, "%v, want 0 to %v", v, float64(maxLimit))
		}
	}
}

func (f *faults) wish(w WishFile) {
	if w.Service == "" {
		f.addf("service", "is empty, want the name of a model service")
	}
	if w.Version == "" {
		f.addf("version", "is empty, want a model version")
	}
	if w.Copies < 1 || w.Copies > maxCopies {
		f.addf("copies", "%d, want 1 to %d", w.Copies, maxCopies)
	}
	if len(w.Ranges) == 0 {
		f.addf("ranges", "is empty, want at least one [first, last]")
	}
	next := 0
	for _, r := range w.Ranges {
		if r[0] != next || r[1] <= r[0] {
			f.addf("ranges", "%v, want ranges that start at 0 and follow each other without gap or overlap", w.Ranges)
			return
		}
		next = r[1]
	}
}

func (f *faults) hashes(key string, all []string) {
	for _, h := range all {
		if !hashPattern.MatchString(h) {
			f.addf(key, "an entry is not \"sha256:\" followed by 64 hex digits")
		}
	}
}

// checkTree checks the documents of a tree together.
func checkTree(t *Tree) error {
	var all []error
	keys := map[string]string{}
	for _, d := range t.Documents() {
		f := &faults{doc: d}
		if team := d.Team(); team != "" && t.teams[team] == nil {
			f.addf("team", "%q is not published", team)
		}
		switch d.kind {
		case KindAccount:
			for _, s := range d.account.file.Services {
				if t.services[s] == nil {
					f.addf("services", "%q is not published", s)
				}
			}
			for _, k := range d.account.file.Keys {
				if other, ok := keys[k]; ok {
					f.addf("keys", "a key belongs to account %q too", other)
				}
				keys[k] = d.name
			}
		case KindWish:
			f.wishService(t, d.wish)
		}
		all = append(all, f.all...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Error() < all[j].Error() })
	return errors.Join(all...)
}

func (f *faults) wishService(t *Tree, w *Wish) {
	s := t.services[w.Service()]
	if s == nil || !s.IsModel() {
		f.addf("service", "%q is not a published model service", w.Service())
		return
	}
	if r := w.Ranges(); r[len(r)-1][1] != s.Layers() {
		f.addf("ranges", "end at layer %d, want %d, the layers of %q", r[len(r)-1][1], s.Layers(), s.Name())
	}
}
