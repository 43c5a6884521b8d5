// Package engine is the port of a model engine, and its HTTP adapter. An
// engine holds a range of layers of a model. The first stage of a route takes
// the job and streams the tokens back; stages pass activations to each other.
//
// The adapter decides the verdict of every error: callers read it with
// fault.Of and never inspect statuses or transport errors.
package engine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Stage is one entry of the route that travels with a job.
type Stage struct {
	Address string `json:"address"`
	First   int    `json:"first"` // first layer, inclusive
	Last    int    `json:"last"`  // last layer, exclusive
}

// Job is the body of POST /generate.
type Job struct {
	Request  string   `json:"request"`            // unique ID of the caller's request
	Tag      uint32   `json:"tag"`                // repeated in each frame, identifies the request in few bytes
	Attempt  int      `json:"attempt"`            // grows with each route that is tried
	Model    string   `json:"model"`              // model name
	Version  string   `json:"version"`            // model version that every stage must hold
	Route    []Stage  `json:"route"`              // the first stage is the receiver
	Prompt   string   `json:"prompt"`             // prompt text
	Accepted []string `json:"accepted,omitempty"` // tokens that the caller already has: resume after them
	Limit    int      `json:"limit"`              // tokens of the whole answer at most
	Priority int      `json:"priority"`           // higher runs earlier
}

// Frame is one line of the answer to a job.
type Frame struct {
	Tag      uint32       `json:"tag"`              // tag of the job
	Attempt  int          `json:"attempt"`          // attempt of the job
	Position int          `json:"position"`         // index of the token in the answer
	Token    string       `json:"token,omitempty"`  // text of the token
	Ranges   [][2]int     `json:"ranges,omitempty"` // layer ranges passed, in order
	Took     []int        `json:"took,omitempty"`   // time of each stage for this token, in µs; in some frames only
	Hops     []int        `json:"hops,omitempty"`   // round trip between each pair of neighbouring stages, in µs
	Prompt   int          `json:"prompt,omitempty"` // tokens of the prompt, in the first frame of an attempt
	Cached   int          `json:"cached,omitempty"` // prompt tokens found in the prefix cache, in the first frame
	Stop     string       `json:"stop,omitempty"`   // "end" or "limit" in the last frame
	Loads    []LoadReport `json:"loads,omitempty"`  // load of the stages, in the last frame
	Fault    string       `json:"fault,omitempty"`  // why the attempt failed
	Failed   string       `json:"failed,omitempty"` // address of the stage that failed
	From     string       `json:"from,omitempty"`   // address of the stage that observed the failure
	Reason   string       `json:"reason,omitempty"` // word of ReasonHeader when the stage refused
}

// LoadReport is the answer to GET /load.
type LoadReport struct {
	Address string `json:"address,omitempty"` // set in frames only
	Boot    string `json:"boot"`              // incarnation of the engine
	Kind    string `json:"kind"`              // accelerator kind
	Model   string `json:"model"`
	Version string `json:"version"`
	First   int    `json:"first"`
	Last    int    `json:"last"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Ready   bool   `json:"ready"`
	Leaving bool   `json:"leaving"`
	Event   uint64 `json:"event,omitempty"` // number of the latest cache event
}

// possible tells whether an engine can be in the reported state. Negative
// counts would make it the least loaded server of all.
func (l *LoadReport) possible() bool {
	return l.Slots >= 0 && l.Running >= 0 && l.Waiting >= 0 && l.First >= 0 && l.Last >= l.First
}

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Number uint64 `json:"number"` // grows by one with each event
	Block  uint64 `json:"block"`  // hash of a prompt prefix, see Blocks
	Stored bool   `json:"stored"` // false when the block was evicted
}

// CacheEvents is the answer to GET /events.
type CacheEvents struct {
	Boot   string       `json:"boot"`
	Events []CacheEvent `json:"events"`
}

// AttemptID is the body of POST /cancel. The engine drops the request's state
// and refuses later work of this and of older attempts.
type AttemptID struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
}

// Export is the answer to POST /export: where the KV cache of a request was
// written. The engine writes it to storage that other engines can read.
type Export struct {
	Handle   string `json:"handle"`
	Position int    `json:"position"` // answer tokens contained
	Bytes    int64  `json:"bytes"`
}

// Import is the body of POST /import. The engine reads an export into the
// state of the request before an attempt starts.
type Import struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	Handle  string `json:"handle"`
}

// StageError says which stage of a route failed, as another stage saw it.
type StageError struct {
	Failed   string // address of the stage that failed
	Observer string // address of the stage that observed it
	Reason   string // word of ReasonHeader, or ""
	Text     string
}

// Error returns the reason with the addresses.
func (e *StageError) Error() string {
	return "stage " + e.Failed + ", seen from " + e.Observer + ": " + e.Text
}

// Headers of the protocol.
const (
	NotRunHeader   = "X-Not-Run" // marks a refusal of a request that the server has not run
	ReasonHeader   = "X-Reason"  // one word for the cause of a refusal
	FailedHeader   = "X-Failed"  // address of the stage that failed
	ObserverHeader = "X-From"    // address of the stage that observed the failure
)

// Words of ReasonHeader.
const (
	ReasonLeaving = "leaving" // the engine takes no new work
	ReasonFull    = "full"    // the engine's queue is full
	ReasonVersion = "version" // the engine holds another range, model or version
)

// BlockBytes is the length of prompt text that one cache block stands for.
const BlockBytes = 256

// BlockHashes returns the hash of each prefix of the prompt whose length is a
// multiple of BlockBytes. Engines name cache blocks by these hashes.
func BlockHashes(model, prompt string) []uint64 {
	n := len(prompt) / BlockBytes
	if n == 0 {
		return nil
	}
	out := make([]uint64, n)
	h := xxhash.New()
	_, _ = h.WriteString(model + "\n")
	for i := range n {
		_, _ = h.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		out[i] = h.Sum64()
	}
	return out
}

// Timeouts of calls other than Generate.
const (
	callTimeout = time.Second
	moveTimeout = 5 * time.Second // export and import move the KV cache of a request
)
