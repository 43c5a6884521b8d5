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

// Bounds of the values of a document.
const (
	maxLayers        = 1000
	maxCopies        = 1000
	maxWeight        = 1000
	maxSlots         = 4096
	maxLimit         = 1e9
	maxLayerMB       = 1 << 20 // MB of weights of one layer
	maxResponseTime  = time.Hour
	maxDocumentBytes = 1 << 20
)

// checker validates one document and collects its errors, each with file and
// line.
type checker struct {
	doc  *Document
	errs []error
}

// require adds an error unless ok is true. The error names the first line that
// contains value, else the line that sets key, else the table header.
func (c *checker) require(ok bool, key, value, format string, args ...any) {
	if !ok {
		at := lineOf(c.doc.text, string(c.doc.kind), key, value)
		c.errs = append(c.errs, &Fault{Path: c.doc.path, Line: at, Key: key, Text: fmt.Sprintf(format, args...)})
	}
}

func (c *checker) requireRange(key string, v, low, high float64) {
	c.require(v >= low && v <= high, key, "", "%v, want %v to %v", v, low, high) // NaN fails both comparisons
}

func (c *checker) requireName(key, v string) {
	c.require(namePattern.MatchString(v), key, quoted(v), "%q, want 1 to 63 lower-case letters, digits and inner hyphens", v)
}

// requireNames checks a list of names without duplicates.
func (c *checker) requireNames(key string, all []string) {
	for i, v := range all {
		c.requireName(key, v)
		c.require(!slices.Contains(all[:i], v), key, quoted(v), "%q is listed twice", v)
	}
}

// requireHashes checks a list of credential hashes without duplicates. The
// errors contain positions, not values, since an invalid entry may be a key in
// clear text.
func (c *checker) requireHashes(key string, all []string) {
	for i, h := range all {
		c.require(hashPattern.MatchString(h), key, quoted(h), "entry %d is not \"sha256:\" followed by 64 hex digits", i+1)
		c.require(!slices.Contains(all[:i], h), key, quoted(h), "entry %d is listed twice", i+1)
	}
}

// quoted returns s in quotes as it occurs in TOML, or "" for an empty string.
func quoted(s string) string {
	if s == "" {
		return ""
	}
	return `"` + s + `"`
}

// lineOf returns the number, starting at 1, of the first line that contains
// value, else of the line that sets key, else of the table header, else 1.
func lineOf(text []byte, header, key, value string) int {
	fallback, number := 1, 0
	for l := range bytes.Lines(text) {
		number++
		line := strings.TrimSpace(string(l))
		left, _, set := strings.Cut(line, "=")
		left = strings.TrimPrefix(strings.TrimSpace(left), header+".")
		switch {
		case strings.HasPrefix(line, "#"):
		case value != "" && strings.Contains(line, value):
			return number
		case set && left == key && value == "":
			return number
		case set && left == key, line == "["+header+"]" && fallback == 1:
			fallback = number
		}
	}
	return fallback
}

// check validates the document on its own.
func (d *Document) check() error {
	c := &checker{doc: d}
	c.requireName("name", d.name)
	c.require(len(d.text) <= maxDocumentBytes, "name", "", "the file has %d bytes, want at most %d", len(d.text), maxDocumentBytes)
	if team := d.Team(); team != "" {
		c.requireName("team", team)
	}
	switch d.kind {
	case KindService:
		c.checkService(d.service.file)
	case KindAccount:
		c.checkAccount(d.account.file)
	case KindWish:
		c.checkWish(d.wish.file)
	case KindTeam:
		c.checkTeam(d.team.file)
	}
	return errors.Join(c.errs...)
}

func (c *checker) checkService(s ServiceFile) {
	switch s.Kind {
	case "model":
		c.require(s.Model != "" && len(s.Model) <= 200, "model", "", "%q, want the name of the model, at most 200 bytes", s.Model)
		c.requireRange("layers", float64(s.Layers), 1, maxLayers)
		c.require(len(s.Calls) == 0, "calls", "", "only plain services have calls")
	case "plain":
		c.require(s.Model == "", "model", "", "only model services have a model")
		c.require(s.Layers == 0, "layers", "", "only model services have layers")
		c.require(!s.Fenced, "fenced", "", "only model services have engines")
	default:
		c.require(false, "kind", "", "%q, want \"model\" or \"plain\"", s.Kind)
	}
	c.requireRange("slots", float64(s.Slots), 1, maxSlots)
	c.require(s.First.Duration > 0 && s.First.Duration <= maxResponseTime, "first", "", "%s, want more than 0s and at most %s", s.First.Duration, maxResponseTime)
	for i, call := range s.Calls {
		c.require(methodPattern.MatchString(call.Method), "method", quoted(call.Method), "%q, want an HTTP method in capitals or \"*\"", call.Method)
		c.require(strings.HasPrefix(call.Path, "/"), "path", quoted(call.Path), "%q, want a path that starts with /", call.Path)
		for _, b := range s.Calls[:i] {
			c.require(!b.covers(call), "path", quoted(call.Path), "%s %s is never used, %s %s before it matches first", call.Method, call.Path, b.Method, b.Path)
		}
	}
}

// covers reports whether every call that matches other also matches c.
func (c CallFile) covers(other CallFile) bool {
	prefix, isPrefix := strings.CutSuffix(c.Path, "*")
	return (c.Method == "*" || c.Method == other.Method) && (c.Path == other.Path || isPrefix && strings.HasPrefix(other.Path, prefix))
}

func (c *checker) checkAccount(a AccountFile) {
	c.require(len(a.Keys) > 0, "keys", "", "is empty, want at least one hash of an API key")
	c.requireHashes("keys", a.Keys)
	c.requireNames("services", a.Services)
	c.requireRange("weight", float64(a.Weight), 1, maxWeight)
	c.requireRange("rate", a.Rate, 0, maxLimit)
	c.requireRange("tokens", a.Tokens, 0, maxLimit)
	c.requireRange("inflight", float64(a.Inflight), 0, maxLimit)
}

func (c *checker) checkWish(w WishFile) {
	c.requireName("service", w.Service)
	c.require(w.Version != "", "version", "", "is empty, want a model version")
	c.requireRange("copies", float64(w.Copies), 1, maxCopies)
	c.requireRange("memory", float64(w.Memory), 0, maxLayerMB)
	c.requireNames("domains", w.Domains)
	c.require(len(w.Ranges) > 0, "ranges", "", "is empty, want at least one [first, last]")
	nextLayer := 0
	for _, r := range w.Ranges {
		c.require(r[1] > r[0], "ranges", "", "[%d, %d] is empty", r[0], r[1])
		c.require(r[0] <= nextLayer, "ranges", "", "gap: no range holds layers %d to %d", nextLayer, r[0])
		c.require(r[0] >= nextLayer, "ranges", "", "overlap: [%d, %d] starts before layer %d", r[0], r[1], nextLayer)
		nextLayer = max(nextLayer, r[1])
	}
}

func (c *checker) checkTeam(t TeamFile) {
	c.requireHashes("operators", t.Operators)
	c.requireHashes("readers", t.Readers)
	for i, r := range t.Readers {
		c.require(!slices.Contains(t.Operators, r), "readers", quoted(r), "entry %d is an operator too", i+1)
	}
}

// EngineCapacity describes one engine for the check of placement wishes.
type EngineCapacity struct {
	Service string
	Domain  string
	Memory  int // MB available for weights; 0 when unknown
}

// Check validates the references between the documents of the tree. If engines
// is not empty, it also checks that placement wishes fit into the memory of the
// engines. Errors are ordered by document.
func (t *Tree) Check(engines []EngineCapacity) error {
	var all []error
	owners := map[string]*Document{}
	for _, d := range t.Documents() {
		c := &checker{doc: d}
		c.require(d.Team() == "" || t.teams[d.Team()] != nil, "team", "", "%q is not published", d.Team())
		switch d.kind {
		case KindService:
			if d.service.IsModel() {
				c.requireUnclaimed(owners, "model", d.service.Model(), "model "+d.service.Model())
				other := t.services[d.service.Model()]
				c.require(other == nil || other == d.service, "model", "", "%q is the name of another service", d.service.Model())
			}
		case KindAccount:
			for _, s := range d.account.file.Services {
				c.require(t.services[s] != nil, "services", quoted(s), "%q is not published", s)
			}
			for _, k := range d.account.file.Keys {
				c.requireUnclaimed(owners, "keys", k, "a key")
			}
		case KindWish:
			w := d.wish.file
			c.requireUnclaimed(owners, "service", strings.Join([]string{w.Service, w.Version, w.Adapter}, "\n"), "version "+w.Version+" of "+w.Service)
			c.checkWishFits(t.services[w.Service], d.wish, engines)
		}
		all = append(all, c.errs...)
	}
	return errors.Join(all...)
}

// requireUnclaimed registers the document as the owner of id. It adds an error
// when another document of the same kind already owns it; the error calls the id
// what.
func (c *checker) requireUnclaimed(owner map[string]*Document, key, id, what string) {
	id = string(c.doc.kind) + "\n" + id
	if other := owner[id]; other != nil {
		c.require(false, key, "", "%s belongs to %s %q in %s too", what, other.kind, other.name, other.path)
		return
	}
	owner[id] = c.doc
}

// checkWishFits checks that the ranges of a wish cover the layers of its service
// and that the copies fit into the memory of the engines that it may use.
func (c *checker) checkWishFits(s *Service, w *Wish, engines []EngineCapacity) {
	if s == nil || !s.IsModel() {
		c.require(false, "service", "", "%q is not a published model service", w.Service())
		return
	}
	end, longest := 0, 0
	for _, r := range w.Ranges() {
		end, longest = r[1], max(longest, r[1]-r[0])
	}
	c.require(end == s.Layers(), "ranges", "", "end at layer %d, want %d, the layers of %q", end, s.Layers(), s.Name())
	total, largest := 0, 0
	for _, e := range engines {
		if e.Service != w.Service() || len(w.Domains()) > 0 && !slices.Contains(w.Domains(), e.Domain) {
			continue
		}
		if e.Memory == 0 {
			return // an engine of unknown memory may have room for the rest
		}
		total, largest = total+e.Memory, max(largest, e.Memory)
	}
	if total == 0 {
		total, largest = math.MaxInt, math.MaxInt // without a known engine nothing can be compared
	}
	need := w.Copies() * end * w.LayerMemory()
	c.require(longest*w.LayerMemory() <= largest, "memory", "", "a range of %d layers needs %d MB, the largest engine has %d MB", longest, longest*w.LayerMemory(), largest)
	c.require(need <= total, "copies", "", "%d copies need %d MB of weights, the engines have %d MB", w.Copies(), need, total)
}
