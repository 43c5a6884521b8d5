// Package table is the client of the platform's transactional table service. A row
// has a key, a value and the revision of the transaction that last wrote it. A
// transaction is applied completely or not at all. The calls to the service are
// functions in Config, so that production code and tests provide their own.
package table

import (
	"context"
	"errors"
	"fmt"
)

var (
	// ErrConflict reports that a condition of a transaction did not hold. Nothing
	// was applied.
	ErrConflict = errors.New("table condition does not hold")
	// ErrUnavailable reports that the service did not accept the call. Nothing
	// was applied.
	ErrUnavailable = errors.New("table service is unavailable")
	// ErrUnknown reports that the reply was lost. The transaction may have been
	// applied or may still be applied later.
	ErrUnknown = errors.New("table reply was lost")
)

// Absent is the revision of a key that has no row.
const Absent uint64 = 0

// Row is the value of one key with its revision.
type Row struct {
	key      string
	value    []byte
	revision uint64
}

// NewRow returns a row. A revision of Absent means that the key has no row.
func NewRow(key string, value []byte, revision uint64) Row {
	return Row{key: key, value: value, revision: revision}
}

// Key returns the key of the row.
func (r Row) Key() string { return r.key }

// Value returns the stored bytes. Callers must not change them.
func (r Row) Value() []byte { return r.value }

// Revision returns the revision of the transaction that wrote the row.
func (r Row) Revision() uint64 { return r.revision }

// Exists reports whether the key has a row.
func (r Row) Exists() bool { return r.revision != Absent }

// Condition requires that a key has the given revision.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Write sets a key to a value.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Batch is one transaction: writes and deletes that are applied together if all
// conditions hold.
type Batch struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes,omitempty"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// Expect adds the condition that key has the given revision.
func (b *Batch) Expect(key string, revision uint64) *Batch {
	b.Conditions = append(b.Conditions, Condition{Key: key, Revision: revision})
	return b
}

// Put adds a write of value to key.
func (b *Batch) Put(key string, value []byte) *Batch {
	b.Writes = append(b.Writes, Write{Key: key, Value: value})
	return b
}

// Delete adds the deletion of key.
func (b *Batch) Delete(key string) *Batch {
	b.Deletes = append(b.Deletes, key)
	return b
}

// Config holds the functions that call the table service.
type Config struct {
	// Get returns one row for each key, in order; the row of a missing key has
	// revision Absent.
	Get func(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose keys start with prefix and are greater
	// than after, in key order.
	Scan func(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction and returns its revision.
	Commit func(ctx context.Context, b Batch) (uint64, error)
}

// Client calls the table service through the functions of a Config.
type Client struct {
	get    func(ctx context.Context, keys ...string) ([]Row, error)
	scan   func(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	commit func(ctx context.Context, b Batch) (uint64, error)
}

// New returns a Client that calls the functions of cfg.
func New(cfg Config) *Client {
	return &Client{get: cfg.Get, scan: cfg.Scan, commit: cfg.Commit}
}

// Get returns one row for each key, in order. It fails with ErrUnavailable.
func (c *Client) Get(ctx context.Context, keys ...string) ([]Row, error) {
	return c.get(ctx, keys...)
}

// GetOne returns the row of one key. It fails with ErrUnavailable.
func (c *Client) GetOne(ctx context.Context, key string) (Row, error) {
	rows, err := c.get(ctx, key)
	if err != nil {
		return Row{}, err
	}
	if len(rows) != 1 {
		return Row{}, fmt.Errorf("table service returned %d rows for key %q", len(rows), key)
	}
	return rows[0], nil
}

// Scan returns up to limit rows whose keys start with prefix and are greater than
// after, in key order. It fails with ErrUnavailable.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	return c.scan(ctx, prefix, after, limit)
}

// scanPageRows is the largest number of rows in one scan, so that replies stay small.
const scanPageRows = 500

// ScanAll returns all rows whose keys start with prefix, in key order. It scans in
// pages.
func (c *Client) ScanAll(ctx context.Context, prefix string) ([]Row, error) {
	var all []Row
	after := ""
	for {
		rows, err := c.scan(ctx, prefix, after, scanPageRows)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < scanPageRows {
			return all, nil
		}
		after = rows[len(rows)-1].Key()
	}
}

// Commit applies a transaction and returns its revision. It fails with ErrConflict,
// ErrUnavailable or ErrUnknown.
func (c *Client) Commit(ctx context.Context, b Batch) (uint64, error) {
	return c.commit(ctx, b)
}
