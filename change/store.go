// Package change publishes documents through the table service and keeps the
// configuration in force in each process. A version only grows.
package change

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/spec"
	"github.com/cranberrybay/cranberrybay/table"
)

// Keys of the table rows.
const (
	headKey   = "config/head"
	docPrefix = "config/doc/"
)

// ErrStale reports a version that is not newer than the one in force.
var ErrStale = errors.New("version is not newer than the one in force")

// head is the JSON value of the head row.
type head struct {
	Version     uint64 `json:"version"`
	Digest      uint64 `json:"digest"`
	Publication string `json:"publication"`
}

// docRow is the JSON value of a document row.
type docRow struct {
	Path string `json:"path"`
	Text string `json:"text"`
}

// StoreConfig holds the parts of a Store.
type StoreConfig struct {
	Table *table.Client
}

// Store holds the configuration in force in this process.
type Store struct {
	table   *table.Client
	mu      sync.Mutex
	tree    *spec.Tree
	version uint64
	checked time.Time // last time the table confirmed the version
	changed chan struct{}
}

// NewStore returns a store with an empty tree at version 0.
func NewStore(cfg StoreConfig) *Store {
	empty, _ := spec.NewTree(nil)
	return &Store{table: cfg.Table, tree: empty, changed: make(chan struct{})}
}

// Tree returns the configuration in force.
func (s *Store) Tree() *spec.Tree {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tree
}

// Version returns the version in force; 0 means that none was loaded yet.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Checked returns the last time at which the table confirmed the version.
func (s *Store) Checked() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checked
}

// Changed returns a channel that is closed when a newer version is in force.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Apply puts a tree in force. It returns ErrStale unless the version is newer.
func (s *Store) Apply(version uint64, t *spec.Tree) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version <= s.version {
		return fmt.Errorf("version %d after %d: %w", version, s.version, ErrStale)
	}
	s.version, s.tree = version, t
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// Refresh reads the head row and loads the documents when it is newer.
func (s *Store) Refresh(ctx context.Context) error {
	row, err := s.table.GetOne(ctx, headKey)
	if err != nil {
		return fmt.Errorf("read head: %w", err)
	}
	h, err := decodeHead(row)
	if err != nil {
		return err
	}
	if h.Version > s.Version() {
		t, v, err := load(ctx, s.table)
		if err != nil {
			return err
		}
		if err := s.Apply(v, t); err != nil && !errors.Is(err, ErrStale) {
			return err
		}
	}
	s.mu.Lock()
	s.checked = time.Now()
	s.mu.Unlock()
	return nil
}

func decodeHead(row table.Row) (head, error) {
	var h head
	if !row.Exists() {
		return h, nil
	}
	if err := json.Unmarshal(row.Value(), &h); err != nil {
		return h, fmt.Errorf("decode head row: %w", err)
	}
	return h, nil
}

// load reads all documents at one version: it repeats when the head moved
// while the documents were read.
func load(ctx context.Context, c *table.Client) (*spec.Tree, uint64, error) {
	for {
		before, err := c.GetOne(ctx, headKey)
		if err != nil {
			return nil, 0, fmt.Errorf("read head: %w", err)
		}
		rows, err := c.ScanAll(ctx, docPrefix)
		if err != nil {
			return nil, 0, fmt.Errorf("read documents: %w", err)
		}
		after, err := c.GetOne(ctx, headKey)
		if err != nil {
			return nil, 0, fmt.Errorf("read head: %w", err)
		}
		if before.Revision() != after.Revision() {
			continue
		}
		h, err := decodeHead(after)
		if err != nil {
			return nil, 0, err
		}
		t, err := parseRows(rows)
		return t, h.Version, err
	}
}

func parseRows(rows []table.Row) (*spec.Tree, error) {
	docs := make([]*spec.Document, 0, len(rows))
	for _, r := range rows {
		var v docRow
		if err := json.Unmarshal(r.Value(), &v); err != nil {
			return nil, fmt.Errorf("decode row %q: %w", r.Key(), err)
		}
		d, err := spec.Parse(v.Path, []byte(v.Text))
		if err != nil {
			return nil, fmt.Errorf("stored document %q: %w", r.Key(), err)
		}
		docs = append(docs, d)
	}
	return spec.NewTree(docs)
}

// Run refreshes the store until ctx ends.
func (s *Store) Run(ctx context.Context, interval time.Duration, report func(error)) {
	for {
		if err := s.Refresh(ctx); err != nil && ctx.Err() == nil {
			report(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}
