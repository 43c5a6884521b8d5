package spec

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"maps"
	"slices"
	"sort"
)

// Tree is an immutable set of documents that were checked together.
type Tree struct {
	docs     map[string]*Document
	services map[string]*Service
	accounts map[string]*Account
	wishes   map[string]*Wish
	teams    map[string]*Team
	keys     map[string]*Account
	models   map[string]*Service
	digest   uint64
}

// NewTree checks documents together and returns the tree that holds them.
func NewTree(docs []*Document) (*Tree, error) {
	if err := CheckUnique(docs); err != nil {
		return nil, err
	}
	t := (&Tree{}).With(docs, nil)
	if err := t.Check(nil); err != nil {
		return nil, err
	}
	return t, nil
}

// CheckUnique returns an error for each document that has the ID of another.
func CheckUnique(docs []*Document) error {
	var all []error
	first := make(map[string]*Document, len(docs))
	for _, d := range docs {
		if other := first[d.ID()]; other != nil {
			f := &faults{doc: d}
			f.want(false, "name", "", "%s %q is defined by %s too", d.kind, d.name, other.path)
			all = append(all, f.all...)
			continue
		}
		first[d.ID()] = d
	}
	return errors.Join(all...)
}

// With returns a tree in which documents were added, replaced and removed by
// ID. It makes no checks, and it shares unchanged documents with t.
func (t *Tree) With(put []*Document, drop []string) *Tree {
	n := &Tree{
		docs: clone(t.docs), services: clone(t.services), accounts: clone(t.accounts), wishes: clone(t.wishes),
		teams: clone(t.teams), keys: clone(t.keys), models: map[string]*Service{}, digest: t.digest,
	}
	// Everything old goes first, since a key may move between two accounts.
	for _, d := range put {
		n.remove(d.ID())
	}
	for _, id := range drop {
		n.remove(id)
	}
	for _, d := range put {
		n.add(d)
	}
	for _, s := range n.services {
		if s.IsModel() {
			n.models[s.Model()] = s
		}
	}
	return n
}

func clone[T any](m map[string]T) map[string]T {
	if m == nil {
		return map[string]T{}
	}
	return maps.Clone(m)
}

func (t *Tree) remove(id string) {
	d := t.docs[id]
	if d == nil {
		return
	}
	delete(t.docs, id)
	t.digest -= d.hash
	switch d.kind {
	case KindService:
		delete(t.services, d.name)
	case KindAccount:
		delete(t.accounts, d.name)
		for _, k := range d.account.file.Keys {
			delete(t.keys, k)
		}
	case KindWish:
		delete(t.wishes, d.name)
	case KindTeam:
		delete(t.teams, d.name)
	}
}

func (t *Tree) add(d *Document) {
	t.docs[d.ID()] = d
	t.digest += d.hash
	switch d.kind {
	case KindService:
		t.services[d.name] = d.service
	case KindAccount:
		t.accounts[d.name] = d.account
		for _, k := range d.account.file.Keys {
			t.keys[k] = d.account
		}
	case KindWish:
		t.wishes[d.name] = d.wish
	case KindTeam:
		t.teams[d.name] = d.team
	}
}

// Digest returns the sum of the hashes of all documents, so that one change
// costs one hash. It detects faults; it does not resist forgery. Equal trees
// have equal digests.
func (t *Tree) Digest() uint64 { return t.digest }

// Documents returns all documents ordered by kind and name.
func (t *Tree) Documents() []*Document {
	out := make([]*Document, 0, len(t.docs))
	for _, d := range t.docs {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b *Document) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
	})
	return out
}

// Document returns the document of an ID, or nil.
func (t *Tree) Document(id string) *Document { return t.docs[id] }

// Service returns a service, or nil.
func (t *Tree) Service(name string) *Service { return t.services[name] }

// Account returns a client account, or nil.
func (t *Tree) Account(name string) *Account { return t.accounts[name] }

// AccountByKey returns the client account that an API key belongs to, or nil.
func (t *Tree) AccountByKey(key string) *Account { return t.keys[HashKey(key)] }

// Team returns a team, or nil.
func (t *Tree) Team(name string) *Team { return t.teams[name] }

// Services returns all services by name.
func (t *Tree) Services() []*Service { return sorted(t.services) }

// Accounts returns all client accounts by name.
func (t *Tree) Accounts() []*Account { return sorted(t.accounts) }

// Wishes returns all placement wishes by name.
func (t *Tree) Wishes() []*Wish { return sorted(t.wishes) }

// Teams returns all teams by name.
func (t *Tree) Teams() []*Team { return sorted(t.teams) }

// ServiceByModel returns the service that serves a model name. The name of
// the service itself is accepted too.
func (t *Tree) ServiceByModel(model string) *Service {
	if s := t.services[model]; s != nil && s.IsModel() {
		return s
	}
	return t.models[model]
}

func sorted[T any](m map[string]T) []T {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	out := make([]T, len(names))
	for i, n := range names {
		out[i] = m[n]
	}
	return out
}

// HashKey returns the form in which API keys and credentials are stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// Team returns the owning team of the document, or "".
func (d *Document) Team() string {
	switch d.kind {
	case KindService:
		return d.service.Team()
	case KindAccount:
		return d.account.Team()
	case KindWish:
		return d.wish.Team()
	default:
		return ""
	}
}
