// Package engine defines the protocol of model engines and implements an HTTP
// client for it. An engine holds a layer range of a model. A route is a sequence of
// engines, its stages, that together cover all layers. The first stage receives the
// job and streams the tokens back; stages pass activations to each other.
//
// The client sets the verdict of each error. Its users read the verdict with
// fault.VerdictOf and do not need to inspect HTTP statuses or transport errors.
package engine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrybay/cranberrybay/label"
	"github.com/cranberrybay/cranberrybay/quota"
)

// Stage is one engine of a route and the layers that it computes.
type Stage struct {
	Address string `json:"address"`
	First   int    `json:"first"` // first layer, inclusive
	Last    int    `json:"last"`  // last layer, exclusive
}

// Job is the body of POST /generate: a request to generate an answer.
type Job struct {
	Request  string   `json:"request"`            // ID of the caller's request, unique
	Tag      uint32   `json:"tag"`                // short identifier of the request, repeated in each frame
	Attempt  int      `json:"attempt"`            // number of the attempt, increases with each route that is tried
	Model    string   `json:"model"`              // model name
	Version  string   `json:"version"`            // model version that all stages must hold
	Route    []Stage  `json:"route"`              // stages in layer order; the first one receives the job
	Prompt   string   `json:"prompt"`             // prompt text
	Accepted []string `json:"accepted,omitempty"` // tokens that the caller already has; the answer resumes after them
	Limit    int      `json:"limit"`              // maximum number of tokens of the answer, including Accepted
	Priority int      `json:"priority"`           // jobs with a higher priority run earlier
}

// Frame is one line of the answer to a job.
type Frame struct {
	Tag      uint32       `json:"tag"`              // tag of the job
	Attempt  int          `json:"attempt"`          // attempt of the job
	Position int          `json:"position"`         // index of the token in the answer
	Token    string       `json:"token,omitempty"`  // text of the token
	Ranges   [][2]int     `json:"ranges,omitempty"` // layer ranges that the token passed, in order
	Took     []int        `json:"took,omitempty"`   // time that each stage took for this token, in µs; absent from most frames
	Hops     []int        `json:"hops,omitempty"`   // round-trip time between neighbouring stages, in µs
	Prompt   int          `json:"prompt,omitempty"` // number of prompt tokens, in the first frame of an attempt
	Cached   int          `json:"cached,omitempty"` // number of prompt tokens found in the prefix cache, in the first frame of an attempt
	Stop     string       `json:"stop,omitempty"`   // "end" or "limit" in the last frame
	Loads    []LoadReport `json:"loads,omitempty"`  // load reports of the stages, in the last frame
	Fault    string       `json:"fault,omitempty"`  // why the attempt failed
	Failed   string       `json:"failed,omitempty"` // address of the stage that failed
	From     string       `json:"from,omitempty"`   // address of the stage that observed the failure
	Reason   string       `json:"reason,omitempty"` // value of ReasonHeader if the stage refused
}

// LoadReport is the answer to GET /load.
type LoadReport struct {
	Address string `json:"address,omitempty"` // address of the engine; set in frames only
	Boot    string `json:"boot"`              // identifies one run of the engine
	Kind    string `json:"kind"`              // accelerator type
	Model   string `json:"model"`
	Version string `json:"version"` // model version
	First   int    `json:"first"`   // first layer, inclusive
	Last    int    `json:"last"`    // last layer, exclusive
	Slots   int    `json:"slots"`   // requests that can run at once
	Running int    `json:"running"` // requests that run
	Waiting int    `json:"waiting"` // requests that wait for a slot
	Ready   bool   `json:"ready"`
	Leaving bool   `json:"leaving"`         // takes no new requests
	Event   uint64 `json:"event,omitempty"` // number of the latest cache event
}

const (
	// maxLayers bounds the layers of a model, which are about a hundred.
	maxLayers = 10_000
	// maxCount bounds counts of requests and memory in MB, so that sums don't overflow.
	maxCount = 1 << 40
)

// valid reports whether the values are possible. A report with negative counts would
// make its server appear to be the least loaded one.
func (l *LoadReport) valid() bool {
	for _, text := range []string{l.Boot, l.Kind, l.Model, l.Version} {
		if !label.IsValid(text) {
			return false
		}
	}
	return isCount(l.Slots) && isCount(l.Running) && isCount(l.Waiting) && l.First >= 0 && l.Last >= l.First && l.Last <= maxLayers
}

// isCount reports whether a number can be a count or a size.
func isCount(n int) bool { return n >= 0 && n <= maxCount }

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Number uint64 `json:"number"` // increases by one with each event
	Block  uint64 `json:"block"`  // hash of a prompt prefix, see BlockHashes
	Stored bool   `json:"stored"` // false when the block was evicted
}

// CacheEvents is the answer to GET /events.
type CacheEvents struct {
	Boot   string                 `json:"boot"`
	Events quota.List[CacheEvent] `json:"events"`
}

// AttemptID identifies an attempt of a request. It is the body of POST /cancel, on
// which the engine drops the state of the request and refuses later work of this
// attempt and of earlier ones, and of POST /export.
type AttemptID struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
}

// Export is the answer to POST /export. The engine has written the KV cache of a
// request to storage that other engines can read.
type Export struct {
	Handle   string `json:"handle"`   // locates the export in the storage
	Position int    `json:"position"` // number of answer tokens that the cache covers
	Bytes    int64  `json:"bytes"`
}

// Import is the body of POST /import. The engine loads an export as the KV cache of
// the request before an attempt starts.
type Import struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	Handle  string `json:"handle"`
}

// StageError reports that a stage of a route failed, as observed by another stage.
type StageError struct {
	Failed   string // address of the stage that failed
	Observer string // address of the stage that observed the failure
	Reason   string // value of ReasonHeader, or "" if there was none
	Text     string
}

// Error returns the text with the addresses of both stages.
func (e *StageError) Error() string {
	return "stage " + e.Failed + ", seen from " + e.Observer + ": " + e.Text
}

// HTTP headers of the protocol.
const (
	NotRunHeader   = "X-Not-Run" // "true" in the refusal of a request that the engine has not run
	ReasonHeader   = "X-Reason"  // cause of a refusal, one of the values below
	FailedHeader   = "X-Failed"  // address of the stage that failed
	ObserverHeader = "X-From"    // address of the stage that observed the failure
)

// Values of ReasonHeader.
const (
	ReasonLeaving = "leaving" // the engine takes no new requests
	ReasonFull    = "full"    // the engine's queue is full
	ReasonVersion = "version" // the engine serves another model, version or layer range
)

// BlockBytes is the length, in bytes, of the prompt text that one cache block covers.
const BlockBytes = 256

// BlockHashes returns the hash of each prefix of the prompt whose length is a
// multiple of BlockBytes. The hashes include the model. Engines identify the blocks
// of their prefix cache by these hashes.
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
	callTimeout     = time.Second
	transferTimeout = 5 * time.Second // of export and import, which transfer the KV cache of a request
)
