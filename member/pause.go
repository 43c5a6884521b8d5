package member

import (
	"sync"
	"time"
)

// minPause is the gap between checks from which on the process counts as having
// been paused. Delays by the scheduler and the garbage collector are much shorter.
const minPause = 5 * time.Second

// pauseCheckInterval is the time between checks for pauses.
const pauseCheckInterval = 500 * time.Millisecond

// PauseDetector detects that this process was paused. Code that decides from what
// it remembers calls Check first.
type PauseDetector struct {
	mu       sync.Mutex
	now      func() time.Time
	last     time.Time // of the last check
	pauses   uint64    // pauses noticed so far
	onResume []func(gap time.Duration)
}

// NewPauseDetector returns a PauseDetector whose first check counts from now. The
// clock is time.Now, or in a test one that hides pauses.
func NewPauseDetector(clock func() time.Time) *PauseDetector {
	return &PauseDetector{now: clock, last: clock()}
}

// OnResume adds a function that runs when a pause is noticed, before the call of
// Check that noticed it returns. The function must not call Check.
func (p *PauseDetector) OnResume(f func(gap time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onResume = append(p.onResume, f)
}

// Check compares the time since the last call with minPause and returns the number
// of pauses noticed so far. Results of work that began at a smaller number must be
// discarded.
func (p *PauseDetector) Check() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	// The monotonic clock stops while a machine is suspended and the wall
	// clock does not. A wall clock that is set forward only causes an unneeded
	// refresh.
	gap := max(now.Sub(p.last), now.Round(0).Sub(p.last.Round(0)))
	p.last = now
	if gap > minPause {
		p.pauses++
		for _, f := range p.onResume {
			f(gap)
		}
	}
	return p.pauses
}
