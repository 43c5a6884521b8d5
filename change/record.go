// Package change publishes configuration documents through the table service and
// keeps the configuration of each process up to date. Versions only increase.
//
// A publication is a single transaction. It is conditional on the revision of
// the head row and writes the head row, the rows of the documents, a record of
// the change and an audit entry. The versions are therefore totally ordered, and
// a process can get from one version to the next with the record of that version
// alone.
//
// Lock order: Store.tableLoads and Store.peerFetches are acquired before
// Store.mu, and never at the same time. Publisher.mu is never held together with
// another lock.
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

// Keys and key prefixes of table rows and objects.
const (
	headKey        = "config/head"
	docPrefix      = "config/doc/"
	recordPrefix   = "config/change/"
	snapshotPrefix = "config/snapshot/"
)

// keptRecords is the number of change records kept in the table. A process that
// is further behind loads all documents. At 7,700 changes a day, the records
// cover half a day.
const keptRecords = 4096

func recordKey(version uint64) string   { return fmt.Sprintf("%s%020d", recordPrefix, version) }
func snapshotKey(version uint64) string { return fmt.Sprintf("%s%020d", snapshotPrefix, version) }

// head is the value of the head row, encoded as JSON.
type head struct {
	Version     uint64 `json:"version"`
	Digest      uint64 `json:"digest"`
	Publication string `json:"publication"`
}

// StoredDocument is the stored form of a document. A removed document keeps its
// row, so that the author and the version of the removal are recorded like
// those of any other change.
type StoredDocument struct {
	ID      string    `json:"id"`
	Path    string    `json:"path,omitempty"`
	Text    string    `json:"text,omitempty"`
	Source  string    `json:"source,omitempty"` // directory that owns the document, if any
	Version uint64    `json:"version"`          // configuration version of the last change
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	Removed bool      `json:"removed,omitempty"`
}

// Record is the change from one version to the next or, when Full is set, all
// documents at a version. It is used in table rows, snapshots and messages
// between peers.
type Record struct {
	Version     uint64           `json:"version"`
	Digest      uint64           `json:"digest"` // of all documents at Version
	Publication string           `json:"publication,omitempty"`
	Full        bool             `json:"full,omitempty"`
	Docs        []StoredDocument `json:"docs"`

	mergedFrom uint64 // version of the first of several merged records; 0 when not merged
}

// state is an immutable version of the configuration.
type state struct {
	version     uint64
	tree        *spec.Tree
	lastChanges map[string]StoredDocument // by ID, without text; includes removed documents
}

// emptyState returns the state at version 0, without documents.
func emptyState() *state {
	return &state{tree: (&spec.Tree{}).With(nil, nil), lastChanges: map[string]StoredDocument{}}
}

// errDigest reports that the digest of a tree is not the one stated for its
// version.
var errDigest = errors.New("digest of the documents differs from the digest of the version")

// apply returns the state after a record. The error wraps ErrStale if the record
// is not newer than the state, errGap if versions in between are missing, and
// errDigest if the resulting documents do not have the digest of the record.
func (s *state) apply(r Record) (*state, error) {
	if r.Version <= s.version {
		return nil, fmt.Errorf("version %d after %d: %w", r.Version, s.version, ErrStale)
	}
	base := s
	if r.Full {
		base = emptyState()
	} else if r.mergedFrom != s.version+1 && r.Version != s.version+1 {
		return nil, fmt.Errorf("version %d after %d: %w", r.Version, s.version, errGap)
	}
	var put []*spec.Document
	var remove []string
	n := &state{version: r.Version, lastChanges: maps.Clone(base.lastChanges)}
	for _, d := range r.Docs {
		if d.Removed {
			remove = append(remove, d.ID)
		} else {
			doc, err := spec.Load(d.Path, []byte(d.Text))
			if err != nil {
				return nil, fmt.Errorf("stored document %q: %w", d.ID, err)
			}
			put = append(put, doc)
		}
		d.Text = ""
		n.lastChanges[d.ID] = d
	}
	n.tree = base.tree.With(put, remove)
	if n.tree.Digest() != r.Digest {
		return nil, fmt.Errorf("version %d: %w", r.Version, errDigest)
	}
	return n, nil
}

// fullRecord returns a record with all documents.
func (s *state) fullRecord() Record {
	r := Record{Version: s.version, Digest: s.tree.Digest(), Full: true, Docs: make([]StoredDocument, 0, len(s.lastChanges))}
	for id, o := range s.lastChanges {
		if d := s.tree.Document(id); d != nil {
			o.Text = string(d.Text())
		}
		r.Docs = append(r.Docs, o)
	}
	return r
}

// decodeJSON decodes the value of a row or an object. The key is used in
// errors.
func decodeJSON[T any](key string, value []byte, into *T) error {
	if err := json.Unmarshal(value, into); err != nil {
		return fmt.Errorf("decode %q: %w", key, err)
	}
	return nil
}

// decodeHead decodes the head row. A row that does not exist gives version 0.
func decodeHead(row table.Row) (head, error) {
	var h head
	if !row.Exists() {
		return h, nil
	}
	return h, decodeJSON(headKey, row.Value(), &h)
}

// putJSON adds a write of v as JSON to a batch.
func putJSON(b *table.Batch, key string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode row %q: %w", key, err)
	}
	b.Put(key, text)
	return nil
}
