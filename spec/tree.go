package spec

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Tree is an immutable set of documents that were checked together.
type Tree struct {
	docs     map[string]*Document
	services map[string]*Service
	accounts map[string]*Account
	wishes   map[string]*Wish
	teams    map[string]*Team
	keys     map[string]*Account
	digest   uint64
}

// NewTree checks documents together and returns the tree that holds them.
func NewTree(docs []*Document) (*Tree, error) {
	t := &Tree{
		docs:     map[string]*Document{},
		services: map[string]*Service{},
		accounts: map[string]*Account{},
		wishes:   map[string]*Wish{},
		teams:    map[string]*Team{},
		keys:     map[string]*Account{},
	}
	for _, d := range docs {
		if other := t.docs[d.ID()]; other != nil {
			return nil, fmt.Errorf("%s: %s %q is defined by %s too", d.path, d.kind, d.name, other.path)
		}
		t.add(d)
	}
	if err := checkTree(t); err != nil {
		return nil, err
	}
	t.digest = digest(t.Documents())
	return t, nil
}

func (t *Tree) add(d *Document) {
	t.docs[d.ID()] = d
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

func digest(docs []*Document) uint64 {
	h := xxhash.New()
	for _, d := range docs {
		_, _ = fmt.Fprintf(h, "%s %d\n", d.ID(), len(d.text))
		_, _ = h.Write(d.text)
	}
	return h.Sum64()
}

// Digest returns a hash over all documents. Equal trees have equal digests.
func (t *Tree) Digest() uint64 { return t.digest }

// Documents returns all documents ordered by kind and name.
func (t *Tree) Documents() []*Document {
	out := make([]*Document, 0, len(t.docs))
	for _, d := range t.docs {
		out = append(out, d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID() < out[j].ID() })
	return out
}

// Document returns the document of an ID, or nil.
func (t *Tree) Document(id string) *Document { return t.docs[id] }

// Service returns a service, or nil.
func (t *Tree) Service(name string) *Service { return t.services[name] }

// Account returns a client account, or nil.
func (t *Tree) Account(name string) *Account { return t.accounts[name] }

// AccountOf returns the client account that an API key belongs to, or nil.
func (t *Tree) AccountOf(key string) *Account { return t.keys[HashKey(key)] }

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

// ServiceOfModel returns the service that serves a model name. The name of
// the service itself is accepted too.
func (t *Tree) ServiceOfModel(model string) *Service {
	if s := t.services[model]; s != nil && s.IsModel() {
		return s
	}
	for _, s := range t.Services() {
		if s.IsModel() && s.Model() == model {
			return s
		}
	}
	return nil
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
