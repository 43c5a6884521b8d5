// Package change publishes documents through the table service and keeps the
// configuration in effect in each process. A version only grows.
//
// Every publication is one transaction that is conditional on the revision of
// the head row and writes the head row, the document rows, a record of the
// change and an audit entry. So the versions form one total order, and a
// process that holds one version reaches the next one from its record alone.
//
// Locks: Store.loading and Store.fetching are taken before Store.mu, and never
// together. Publisher.mu is taken alone.
package change

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/cranberrybay/cranberrybay/spec"
	"github.com/cranberrybay/cranberrybay/table"
)

// Keys of the table rows and objects.
const (
	headKey        = "config/head"
	docPrefix      = "config/doc/"
	recordPrefix   = "config/change/"
	snapshotPrefix = "config/snapshot/"
)

// keptRecords is the number of change records in the table. A process that is
// further behind loads all documents. At 7,700 changes a day it is half a day.
const keptRecords = 4096

func recordKey(version uint64) string   { return fmt.Sprintf("%s%020d", recordPrefix, version) }
func snapshotKey(version uint64) string { return fmt.Sprintf("%s%020d", snapshotPrefix, version) }

// head is the JSON value of the head row.
type head struct {
	Version     uint64 `json:"version"`
	Digest      uint64 `json:"digest"`
	Publication string `json:"publication"`
}

// StoredDocument is the stored form of a document. A removed document keeps its row, so
// that its removal has an author and a version like any other change.
type StoredDocument struct {
	ID      string    `json:"id"`
	Path    string    `json:"path,omitempty"`
	Text    string    `json:"text,omitempty"`
	Source  string    `json:"source,omitempty"` // directory that owns the document; "" when none does
	Version uint64    `json:"version"`          // tree version that changed it last
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	Removed bool      `json:"removed,omitempty"`
}

// Record is the change from one version to the next, or, when Full, all
// documents at a version. Table rows, snapshots and peers use the same form.
type Record struct {
	Version     uint64           `json:"version"`
	Digest      uint64           `json:"digest"` // of the whole tree at Version
	Publication string           `json:"publication,omitempty"`
	Full        bool             `json:"full,omitempty"`
	Docs        []StoredDocument `json:"docs"`

	first uint64 // first version of merged records; 0 when not merged
}

// state is an immutable version of the whole configuration.
type state struct {
	version uint64
	tree    *spec.Tree
	origins map[string]StoredDocument // by ID, without text; removed documents included
}

func emptyState() *state {
	return &state{tree: (&spec.Tree{}).With(nil, nil), origins: map[string]StoredDocument{}}
}

// errDigest reports a tree whose digest is not the one of its version.
var errDigest = errors.New("digest of the documents differs from the digest of the version")

// next returns the state after a record. Errors: ErrStale, errGap, errDigest.
func (s *state) next(r Record) (*state, error) {
	if r.Version <= s.version {
		return nil, fmt.Errorf("version %d after %d: %w", r.Version, s.version, ErrStale)
	}
	base := s
	if r.Full {
		base = emptyState()
	} else if r.first != s.version+1 && r.Version != s.version+1 {
		return nil, fmt.Errorf("version %d after %d: %w", r.Version, s.version, errGap)
	}
	var put []*spec.Document
	var drop []string
	n := &state{version: r.Version, origins: maps.Clone(base.origins)}
	for _, d := range r.Docs {
		if d.Removed {
			drop = append(drop, d.ID)
		} else {
			doc, err := spec.Load(d.Path, []byte(d.Text))
			if err != nil {
				return nil, fmt.Errorf("stored document %q: %w", d.ID, err)
			}
			put = append(put, doc)
		}
		d.Text = ""
		n.origins[d.ID] = d
	}
	n.tree = base.tree.With(put, drop)
	if n.tree.Digest() != r.Digest {
		return nil, fmt.Errorf("version %d: %w", r.Version, errDigest)
	}
	return n, nil
}

// full returns a record of all documents.
func (s *state) full() Record {
	r := Record{Version: s.version, Digest: s.tree.Digest(), Full: true, Docs: make([]StoredDocument, 0, len(s.origins))}
	for id, o := range s.origins {
		if d := s.tree.Document(id); d != nil {
			o.Text = string(d.Text())
		}
		r.Docs = append(r.Docs, o)
	}
	return r
}

func decode[T any](key string, value []byte, into *T) error {
	if err := json.Unmarshal(value, into); err != nil {
		return fmt.Errorf("decode %q: %w", key, err)
	}
	return nil
}

func decodeHead(row table.Row) (head, error) {
	var h head
	if !row.Exists() {
		return h, nil
	}
	return h, decode(headKey, row.Value(), &h)
}

func put(b *table.Batch, key string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode row %q: %w", key, err)
	}
	b.Put(key, text)
	return nil
}
