package logs

import "sync/atomic"

// SampleEvery is the number of served requests of which one is logged. Failures
// are always logged; they are few, or refusals that cost little.
const SampleEvery = 32

// Sampler takes one of SampleEvery.
type Sampler struct {
	seen   atomic.Uint64
	unsaid atomic.Uint64
}

// Sample tells whether this one is taken.
func (s *Sampler) Sample() bool {
	if s.seen.Add(1)%SampleEvery == 1 {
		return true
	}
	s.unsaid.Add(1)
	return false
}

// ResetSkipped returns and clears the number that was left out.
func (s *Sampler) ResetSkipped() uint64 { return s.unsaid.Swap(0) }
