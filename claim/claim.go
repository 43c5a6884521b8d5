// Package claim makes work that is not idempotent run at most once. A claim
// row in the table is written before the work is sent, and its outcome after.
// A ticket gives the same guarantee for the lifetime of the incarnation that
// issued it, without a write.
//
// A Book has two locks, its own and that of its group; the group's lock is
// never held while the book's lock is taken.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Outcome is the recorded answer of a backend server.
type Outcome struct {
	Status    int                 `json:"status"`
	Header    map[string][]string `json:"header,omitempty"`
	Body      []byte              `json:"body,omitempty"`
	ObjectKey string              `json:"object,omitempty"` // key of the object that holds a large body
	BodyLost  bool                `json:"lost,omitempty"`   // the body was not kept
}

// state of a claim row.
type state string

const (
	claimed  state = "claimed"  // the holder may run the work, or has started it
	done     state = "done"     // the work ran, the outcome is recorded
	released state = "released" // the holder states that the work was not run
	unclear  state = "unclear"  // the holder states that it can't find out
)

// row is the JSON value of a claim row.
type row struct {
	Claim   string    `json:"claim"`  // unique ID of the claim
	Holder  string    `json:"holder"` // incarnation that made it
	Digest  uint64    `json:"digest"` // hash of the request
	State   state     `json:"state"`
	Until   time.Time `json:"until"`             // kept at least until this time
	Outcome *Outcome  `json:"outcome,omitempty"` // set when done
}

// Key names a piece of work. Equal keys of different accounts or services name
// different work.
type Key struct {
	Account string
	Service string
	Key     string // the caller's Idempotency-Key
}

// prefix of claim rows.
const prefix = "claim/"

// row returns the key of the claim's row. Callers choose their keys, so that
// they are hashed, each part with its length: "a/b"+"c" and "a"+"b/c" differ.
// Hashes also spread the rows evenly, which sweeping relies on.
func (k Key) row() string {
	h := sha256.New()
	for _, p := range []string{k.Account, k.Service, k.Key} {
		_, _ = fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return prefix + hex.EncodeToString(h.Sum(nil)[:20])
}

// Digest hashes the parts of a request that must not change between repeats.
func Digest(method, path string, body []byte) uint64 {
	h := xxhash.New()
	_, _ = fmt.Fprintf(h, "%s %s\n", method, path)
	_, _ = h.Write(body)
	return h.Sum64()
}

// phase is the progress of a claim in the memory of its holder.
type phase uint8

const (
	pending  phase = iota // its row is being written
	held                  // its row is written, the work may start
	running               // the work was started
	finished              // the work ran, its outcome may not be recorded yet
	refused               // the work was not started and never will be
	lost                  // the work was started and its end is not known
)

// Claim is the right to run a piece of work once.
type Claim struct {
	id       string
	key      string // key of its row
	digest   uint64
	until    time.Time
	ticket   bool // held in memory only
	revision uint64
	phase    phase    // guarded by Book.mu
	outcome  *Outcome // guarded by Book.mu
}

// ID returns the unique ID of the claim.
func (c *Claim) ID() string { return c.id }

// encode returns the value of the claim's row in a state.
func (c *Claim) encode(holder string, s state, o *Outcome) ([]byte, error) {
	b, err := json.Marshal(row{Claim: c.id, Holder: holder, Digest: c.digest, State: s, Until: c.until, Outcome: o})
	if err != nil {
		return nil, fmt.Errorf("encode claim row %q: %w", c.key, err)
	}
	return b, nil
}

func decode(key string, value []byte) (row, error) {
	var v row
	if err := json.Unmarshal(value, &v); err != nil {
		return v, fmt.Errorf("decode claim row %q: %w", key, err)
	}
	return v, nil
}

// RunStatus is the answer of an incarnation that is asked about a claim it made.
type RunStatus string

const (
	// StatusUnknown means that it can't tell, or that it was not reached.
	StatusUnknown RunStatus = "unknown"
	// StatusRunning means that the work may start, is running or has run.
	StatusRunning RunStatus = "running"
	// StatusNotRun means that the work was not run and never will be under this
	// claim. Only the incarnation that made the claim may say so.
	StatusNotRun RunStatus = "not-run"
)
