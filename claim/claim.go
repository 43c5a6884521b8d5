// Package claim makes work that is not idempotent run at most once. A claim
// row in the table is written before the work is sent, and its outcome after.
package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/table"
)

// Outcome is the recorded answer of a backend server.
type Outcome struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// row is the JSON value of a claim row.
type row struct {
	Claim   string   `json:"claim"`   // unique ID of the claim
	Holder  string   `json:"holder"`  // incarnation that made it
	Digest  uint64   `json:"digest"`  // hash of the request
	State   string   `json:"state"`   // "claimed", "done" or "released"
	Outcome *Outcome `json:"outcome"` // set when done
}

// Key names a piece of work.
type Key struct {
	Account string
	Service string
	Key     string // the caller's Idempotency-Key
}

func (k Key) row() string { return "claim/" + k.Account + "/" + k.Service + "/" + k.Key }

// Digest hashes the parts of a request that must not change between repeats.
func Digest(method, path string, body []byte) uint64 {
	h := xxhash.New()
	_, _ = fmt.Fprintf(h, "%s %s\n", method, path)
	_, _ = h.Write(body)
	return h.Sum64()
}

// Claim is the right to run a piece of work once.
type Claim struct {
	key      string
	value    row
	revision uint64
}

// Config holds the parts of a Book.
type Config struct {
	Table  *table.Client
	Holder string // incarnation of this process
}

// Book makes claims.
type Book struct {
	table  *table.Client
	holder string
}

// New returns a book.
func New(cfg Config) *Book { return &Book{table: cfg.Table, holder: cfg.Holder} }

// Begin claims a key. It returns a claim when the work may run now, or the
// outcome when it has run before. Errors: fault.Conflict for a key that was
// used with another request or that is still running; fault.Unavailable, not
// run, when the table doesn't answer.
func (b *Book) Begin(ctx context.Context, k Key, digest uint64) (*Claim, *Outcome, error) {
	c := &Claim{key: k.row(), value: row{Claim: uuid.NewString(), Holder: b.holder, Digest: digest, State: "claimed"}}
	rev, err := b.write(ctx, c, table.Absent)
	if err == nil {
		c.revision = rev
		return c, nil, nil
	}
	if errors.Is(err, table.ErrUnavailable) {
		return nil, nil, unavailable(err)
	}
	return b.resolve(ctx, c, digest)
}

// resolve reads the row after a conflict or a lost reply.
func (b *Book) resolve(ctx context.Context, c *Claim, digest uint64) (*Claim, *Outcome, error) {
	r, err := b.table.GetOne(ctx, c.key)
	if err != nil {
		return nil, nil, unavailable(err)
	}
	if !r.Exists() {
		return nil, nil, unavailable(errors.New("claim was not written"))
	}
	var v row
	if err := json.Unmarshal(r.Value(), &v); err != nil {
		return nil, nil, fmt.Errorf("decode claim row %q: %w", c.key, err)
	}
	switch {
	case v.Claim == c.value.Claim:
		c.revision = r.Revision()
		return c, nil, nil
	case v.Digest != digest:
		return nil, nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Conflict, Reason: "the idempotency key was used with another request"})
	case v.State == "done":
		return nil, v.Outcome, nil
	case v.State == "released":
		return b.reclaim(ctx, c, r.Revision())
	default:
		return nil, nil, fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Conflict, Reason: "a request with this idempotency key was started and its outcome is not recorded", RetryAt: time.Now().Add(time.Second)})
	}
}

func (b *Book) reclaim(ctx context.Context, c *Claim, revision uint64) (*Claim, *Outcome, error) {
	rev, err := b.write(ctx, c, revision)
	if err != nil {
		return nil, nil, unavailable(err)
	}
	c.revision = rev
	return c, nil, nil
}

// Finish records the outcome of a claim.
func (b *Book) Finish(ctx context.Context, c *Claim, o Outcome) error {
	c.value.State, c.value.Outcome = "done", &o
	_, err := b.write(ctx, c, c.revision)
	return err
}

// Release records that the claimed work was not run, so that a repeat may run.
func (b *Book) Release(ctx context.Context, c *Claim) error {
	c.value.State = "released"
	_, err := b.write(ctx, c, c.revision)
	return err
}

func (b *Book) write(ctx context.Context, c *Claim, revision uint64) (uint64, error) {
	v, err := json.Marshal(c.value)
	if err != nil {
		return 0, fmt.Errorf("encode claim: %w", err)
	}
	var bt table.Batch
	bt.Expect(c.key, revision).Put(c.key, v)
	return b.table.Commit(ctx, bt)
}

func unavailable(err error) error {
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unavailable, Reason: "the request could not be claimed and was not run", RetryAt: time.Now().Add(2 * time.Second), Cause: err})
}
