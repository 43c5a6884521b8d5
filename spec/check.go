package spec

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	hashPattern   = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
	methodPattern = regexp.MustCompile(`^([A-Z]{1,16}|\*)$`)
)

// Bounds of single values.
const (
	maxLayers = 1000
	maxCopies = 1000
	maxWeight = 1000
	maxSlots  = 4096
	maxLimit  = 1e9
	maxMemory = 1 << 20 // weights of one layer, MB
	maxFirst  = time.Hour
	maxText   = 1 << 20 // bytes of one document
)

// faults collects the errors of one document, each with file and line.
type faults struct {
	doc *Document
	all []error
}

// want adds an error unless ok. The line is the first one that holds value,
// else the one that sets key, else the header of the document.
func (f *faults) want(ok bool, key, value, format string, args ...any) {
	if !ok {
		at := lineOf(f.doc.text, string(f.doc.kind), key, value)
		f.all = append(f.all, fmt.Errorf("%s:%d: %s: %s", f.doc.path, at, key, fmt.Sprintf(format, args...)))
	}
}

func (f *faults) between(key string, v, low, high float64) {
	f.want(v >= low && v <= high, key, "", "%v, want %v to %v", v, low, high) // false for NaN
}

func (f *faults) isName(key, v string) {
	f.want(namePattern.MatchString(v), key, quote(v), "%q, want 1 to 63 lower-case letters, digits and inner hyphens", v)
}

// names checks a list of names that must not repeat.
func (f *faults) names(key string, all []string) {
	for i, v := range all {
		f.isName(key, v)
		f.want(!slices.Contains(all[:i], v), key, quote(v), "%q is listed twice", v)
	}
}

// hashes checks a list of hashes of credentials that must not repeat. Errors
// name the position, since a wrong entry may be a key in clear text.
func (f *faults) hashes(key string, all []string) {
	for i, h := range all {
		f.want(hashPattern.MatchString(h), key, quote(h), "entry %d is not \"sha256:\" followed by 64 hex digits", i+1)
		f.want(!slices.Contains(all[:i], h), key, quote(h), "entry %d is listed twice", i+1)
	}
}

func quote(s string) string {
	if s == "" {
		return ""
	}
	return `"` + s + `"`
}

// lineOf returns the number, counted from 1, of the first line that holds
// value, else of the line that sets key, else of the header, else 1.
func lineOf(text []byte, header, key, value string) int {
	best, at := 1, 0
	for l := range bytes.Lines(text) {
		at++
		line := strings.TrimSpace(string(l))
		left, _, set := strings.Cut(line, "=")
		left = strings.TrimPrefix(strings.TrimSpace(left), header+".")
		switch {
		case strings.HasPrefix(line, "#"):
		case value != "" && strings.Contains(line, value):
			return at
		case set && left == key && value == "":
			return at
		case set && left == key, line == "["+header+"]" && best == 1:
			best = at
		}
	}
	return best
}

// check checks the document alone.
func (d *Document) check() error {
	f := &faults{doc: d}
	f.isName("name", d.name)
	f.want(len(d.text) <= maxText, "name", "", "the file has %d bytes, want at most %d", len(d.text), maxText)
	if team := d.Team(); team != "" {
		f.isName("team", team)
	}
	switch d.kind {
	case KindService:
		f.service(d.service.file)
	case KindAccount:
		f.account(d.account.file)
	case KindWish:
		f.wish(d.wish.file)
	case KindTeam:
		f.team(d.team.file)
	}
	return errors.Join(f.all...)
}

func (f *faults) service(s ServiceFile) {
	switch s.Kind {
	case "model":
		f.want(s.Model != "" && len(s.Model) <= 200, "model", "", "%q, want the name of the model, at most 200 bytes", s.Model)
		f.between("layers", float64(s.Layers), 1, maxLayers)
		f.want(len(s.Calls) == 0, "calls", "", "only plain services have calls")
	case "plain":
		f.want(s.Model == "", "model", "", "only model services have a model")
		f.want(s.Layers == 0, "layers", "", "only model services have layers")
		f.want(!s.Fenced, "fenced", "", "only model services have engines")
	default:
		f.want(false, "kind", "", "%q, want \"model\" or \"plain\"", s.Kind)
	}
	f.between("slots", float64(s.Slots), 1, maxSlots)
	f.want(s.First.Duration > 0 && s.First.Duration <= maxFirst, "first", "", "%s, want more than 0s and at most %s", s.First.Duration, maxFirst)
	for i, c := range s.Calls {
		f.want(methodPattern.MatchString(c.Method), "method", quote(c.Method), "%q, want an HTTP method in capitals or \"*\"", c.Method)
		f.want(strings.HasPrefix(c.Path, "/"), "path", quote(c.Path), "%q, want a path that starts with /", c.Path)
		for _, b := range s.Calls[:i] {
			f.want(!b.covers(c), "path", quote(c.Path), "%s %s is never used, %s %s before it matches first", c.Method, c.Path, b.Method, b.Path)
		}
	}
}

// covers tells whether every call that matches o matches c too.
func (c CallFile) covers(o CallFile) bool {
	prefix, open := strings.CutSuffix(c.Path, "*")
	return (c.Method == "*" || c.Method == o.Method) && (c.Path == o.Path || open && strings.HasPrefix(o.Path, prefix))
}

func (f *faults) account(a AccountFile) {
	f.want(len(a.Keys) > 0, "keys", "", "is empty, want at least one hash of an API key")
	f.hashes("keys", a.Keys)
	f.names("services", a.Services)
	f.between("weight", float64(a.Weight), 1, maxWeight)
	f.between("rate", a.Rate, 0, maxLimit)
	f.between("tokens", a.Tokens, 0, maxLimit)
	f.between("inflight", float64(a.Inflight), 0, maxLimit)
}

func (f *faults) wish(w WishFile) {
	f.isName("service", w.Service)
	f.want(w.Version != "", "version", "", "is empty, want a model version")
	f.between("copies", float64(w.Copies), 1, maxCopies)
	f.between("memory", float64(w.Memory), 0, maxMemory)
	f.names("domains", w.Domains)
	f.want(len(w.Ranges) > 0, "ranges", "", "is empty, want at least one [first, last]")
	next := 0
	for _, r := range w.Ranges {
		f.want(r[1] > r[0], "ranges", "", "[%d, %d] is empty", r[0], r[1])
		f.want(r[0] <= next, "ranges", "", "gap: no range holds layers %d to %d", next, r[0])
		f.want(r[0] >= next, "ranges", "", "overlap: [%d, %d] starts before layer %d", r[0], r[1], next)
		next = max(next, r[1])
	}
}

func (f *faults) team(t TeamFile) {
	f.hashes("operators", t.Operators)
	f.hashes("readers", t.Readers)
	for i, r := range t.Readers {
		f.want(!slices.Contains(t.Operators, r), "readers", quote(r), "entry %d is an operator too", i+1)
	}
}

// EngineCapacity is what is known of one engine when documents are checked.
type EngineCapacity struct {
	Service string
	Domain  string
	Memory  int // for weights, MB; 0 when not known
}

// Check checks the documents of the tree together. With engines it also checks
// that placement wishes fit into their memory. Errors are ordered by document.
func (t *Tree) Check(engines []EngineCapacity) error {
	var all []error
	owner := map[string]*Document{}
	for _, d := range t.Documents() {
		f := &faults{doc: d}
		f.want(d.Team() == "" || t.teams[d.Team()] != nil, "team", "", "%q is not published", d.Team())
		switch d.kind {
		case KindService:
			if d.service.IsModel() {
				f.claim(owner, "model", d.service.Model(), "model "+d.service.Model())
				other := t.services[d.service.Model()]
				f.want(other == nil || other == d.service, "model", "", "%q is the name of another service", d.service.Model())
			}
		case KindAccount:
			for _, s := range d.account.file.Services {
				f.want(t.services[s] != nil, "services", quote(s), "%q is not published", s)
			}
			for _, k := range d.account.file.Keys {
				f.claim(owner, "keys", k, "a key")
			}
		case KindWish:
			w := d.wish.file
			f.claim(owner, "service", strings.Join([]string{w.Service, w.Version, w.Adapter}, "\n"), "version "+w.Version+" of "+w.Service)
			f.wishFits(t.services[w.Service], d.wish, engines)
		}
		all = append(all, f.all...)
	}
	return errors.Join(all...)
}

// claim adds an error when another document of the same kind claims what.
func (f *faults) claim(owner map[string]*Document, key, id, what string) {
	id = string(f.doc.kind) + "\n" + id
	if other := owner[id]; other != nil {
		f.want(false, key, "", "%s belongs to %s %q in %s too", what, other.kind, other.name, other.path)
		return
	}
	owner[id] = f.doc
}

func (f *faults) wishFits(s *Service, w *Wish, engines []EngineCapacity) {
	if s == nil || !s.IsModel() {
		f.want(false, "service", "", "%q is not a published model service", w.Service())
		return
	}
	end, longest := 0, 0
	for _, r := range w.Ranges() {
		end, longest = r[1], max(longest, r[1]-r[0])
	}
	f.want(end == s.Layers(), "ranges", "", "end at layer %d, want %d, the layers of %q", end, s.Layers(), s.Name())
	total, largest := 0, 0
	for _, e := range engines {
		if e.Service != w.Service() || len(w.Domains()) > 0 && !slices.Contains(w.Domains(), e.Domain) {
			continue
		}
		if e.Memory == 0 {
			return // one engine of unknown memory may hold the rest
		}
		total, largest = total+e.Memory, max(largest, e.Memory)
	}
	if total == 0 {
		total, largest = math.MaxInt, math.MaxInt // no engine is known yet
	}
	need := w.Copies() * end * w.LayerMemory()
	f.want(longest*w.LayerMemory() <= largest, "memory", "", "a range of %d layers needs %d MB, the largest engine has %d MB", longest, longest*w.LayerMemory(), largest)
	f.want(need <= total, "copies", "", "%d copies need %d MB of weights, the engines have %d MB", w.Copies(), need, total)
}
