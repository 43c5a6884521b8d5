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

// Tree is an immutable set of documents with indexes for lookups. The zero value
// is an empty tree.
type Tree struct {
	docs            map[string]*Document
	services        map[string]*Service
	accounts        map[string]*Account
	wishes          map[string]*Wish
	teams           map[string]*Team
	accountsByKey   map[string]*Account
	servicesByModel map[string]*Service
	digest          uint64
}

// NewTree validates the references between documents, without engines, and
// returns a tree of them.
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

// CheckUnique returns an error for each document whose ID an earlier one has.
func CheckUnique(docs []*Document) error {
	var all []error
	first := make(map[string]*Document, len(docs))
	for _, d := range docs {
		if other := first[d.ID()]; other != nil {
			c := &checker{doc: d}
			c.require(false, "name", "", "%s %q is defined by %s too", d.kind, d.name, other.path)
			all = append(all, c.errs...)
			continue
		}
		first[d.ID()] = d
	}
	return errors.Join(all...)
}

// With returns a copy of the tree in which the upserts are added or replaced and
// the documents with the given IDs are removed. It does not validate the result.
// Unchanged documents are shared with t.
func (t *Tree) With(upserts []*Document, removeIDs []string) *Tree {
	n := &Tree{
		docs: cloneMap(t.docs), services: cloneMap(t.services), accounts: cloneMap(t.accounts), wishes: cloneMap(t.wishes),
		teams: cloneMap(t.teams), accountsByKey: cloneMap(t.accountsByKey), servicesByModel: map[string]*Service{}, digest: t.digest,
	}
	// All old documents are removed before the new ones are added, since an API
	// key may move from one account to another.
	for _, d := range upserts {
		n.remove(d.ID())
	}
	for _, id := range removeIDs {
		n.remove(id)
	}
	for _, d := range upserts {
		n.add(d)
	}
	for _, s := range n.services {
		if s.IsModel() {
			n.servicesByModel[s.Model()] = s
		}
	}
	return n
}

func cloneMap[T any](m map[string]T) map[string]T {
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
			delete(t.accountsByKey, k)
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
			t.accountsByKey[k] = d.account
		}
	case KindWish:
		t.wishes[d.name] = d.wish
	case KindTeam:
		t.teams[d.name] = d.team
	}
}

// Digest returns the sum of the hashes of all documents. Equal trees have equal
// digests. A sum is updated with one hash for each changed document. The digest
// detects faults, but is not cryptographically secure.
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

// Document returns the document with an ID, or nil.
func (t *Tree) Document(id string) *Document { return t.docs[id] }

// Service returns the service with a name, or nil.
func (t *Tree) Service(name string) *Service { return t.services[name] }

// Account returns the client account with a name, or nil.
func (t *Tree) Account(name string) *Account { return t.accounts[name] }

// AccountByKey returns the client account of an API key, given in clear text, or
// nil.
func (t *Tree) AccountByKey(key string) *Account { return t.accountsByKey[HashKey(key)] }

// Team returns the team with a name, or nil.
func (t *Tree) Team(name string) *Team { return t.teams[name] }

// Services returns all services sorted by name.
func (t *Tree) Services() []*Service { return sortedByName(t.services) }

// Accounts returns all client accounts sorted by name.
func (t *Tree) Accounts() []*Account { return sortedByName(t.accounts) }

// Wishes returns all placement wishes sorted by name.
func (t *Tree) Wishes() []*Wish { return sortedByName(t.wishes) }

// Teams returns all teams sorted by name.
func (t *Tree) Teams() []*Team { return sortedByName(t.teams) }

// ServiceByModel returns the model service with the given service name, else the
// one that serves the model with that name, else nil.
func (t *Tree) ServiceByModel(model string) *Service {
	if s := t.services[model]; s != nil && s.IsModel() {
		return s
	}
	return t.servicesByModel[model]
}

func sortedByName[T any](m map[string]T) []T {
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

// HashKey returns the hash of an API key or credential as documents store it:
// "sha256:" and the hex digest.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// Team returns the name of the team that owns the document, or "".
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
