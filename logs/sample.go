package logs

import "sync/atomic"

// SampleEvery is the sampling interval of served requests: one in SampleEvery is
// logged. Failures are always logged, since they are few, or refusals that cost
// little.
const SampleEvery = 32

// Sampler selects one event in SampleEvery, starting with the first, and counts
// the others. It is safe for concurrent use.
type Sampler struct {
	seen    atomic.Uint64
	skipped atomic.Uint64
}

// Sample counts an event and reports whether it is selected.
func (s *Sampler) Sample() bool {
	if s.seen.Add(1)%SampleEvery == 1 {
		return true
	}
	s.skipped.Add(1)
	return false
}

// ResetSkipped returns the number of events that were not selected since the
// last call and sets it to zero.
func (s *Sampler) ResetSkipped() uint64 { return s.skipped.Swap(0) }
