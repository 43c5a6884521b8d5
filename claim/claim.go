// Package claim ensures that work that is not idempotent runs at most once. A
// row in the table service records the claim before the work is sent, and the
// outcome after it has run. A ticket gives the same guarantee without a write,
// for the lifetime of the incarnation that issued it.
//
// A Manager has two locks, its own and that of its committer. The
// committer's lock is never held while the manager's lock is taken.
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
	BodyLost  bool                `json:"lost,omitempty"`   // the body was not kept and the outcome can't be replayed
}

// state is the state of a claim row.
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

// prefix is the key prefix of claim rows.
const prefix = "claim/"

// row returns the key of the claim's row. The parts are hashed, since callers
// choose their keys, and each with its length, so that "a/b"+"c" and "a"+"b/c"
// differ. Sweeping relies on the even distribution of the hashes.
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

// phase is the progress of a claim as its holder has it in memory. It runs ahead
// of the state in the row.
type phase uint8

const (
	pending   phase = iota // its row is being written
	ready                  // its row is written, the work may start
	running                // the work was started
	finished               // the work ran, its outcome may not be recorded yet
	refused                // the work was not started and never will be
	abandoned              // the work was started and its outcome is not known
)

// Claim is the right to run a piece of work once.
type Claim struct {
	id       string
	key      string // key of its row
	digest   uint64
	until    time.Time // the row or ticket is kept at least until this time
	ticket   bool      // made with a ticket, has no row
	revision uint64    // last known revision of its row
	phase    phase     // guarded by Manager.mu
	outcome  *Outcome  // guarded by Manager.mu
}

// ID returns the unique ID of the claim.
func (c *Claim) ID() string { return c.id }

// encode returns the value of the claim's row with state s.
func (c *Claim) encode(holder string, s state, o *Outcome) ([]byte, error) {
	b, err := json.Marshal(row{Claim: c.id, Holder: holder, Digest: c.digest, State: s, Until: c.until, Outcome: o})
	if err != nil {
		return nil, fmt.Errorf("encode claim row %q: %w", c.key, err)
	}
	return b, nil
}

// decode parses the value of a claim row.
func decode(key string, value []byte) (row, error) {
	var v row
	if err := json.Unmarshal(value, &v); err != nil {
		return v, fmt.Errorf("decode claim row %q: %w", key, err)
	}
	return v, nil
}

// RunStatus states whether the work of a claim has run, according to the
// incarnation that made the claim.
type RunStatus string

const (
	// StatusUnknown means that the incarnation does not know, or was not reached.
	StatusUnknown RunStatus = "unknown"
	// StatusRunning means that the work may still start, is running or has run.
	StatusRunning RunStatus = "running"
	// StatusNotRun means that the work was not run and never will be under this
	// claim. Only the incarnation that made the claim may state this.
	StatusNotRun RunStatus = "not-run"
)
