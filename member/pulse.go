package member

import (
	"sync"
	"time"
)

// pauseGap is the gap between heartbeats that marks a process as resumed
// after a pause. Ordinary delays of the scheduler and the garbage collector
// stay far below it.
const pauseGap = 5 * time.Second

// beatInterval is the time between heartbeats.
const beatInterval = 500 * time.Millisecond

// PauseDetector detects that this process was paused. Everything that decides from
// what it remembers calls Beat first.
type PauseDetector struct {
	mu    sync.Mutex
	now   func() time.Time
	last  time.Time
	epoch uint64
	woke  []func(gap time.Duration)
}

// NewPauseDetector returns a Pulse that starts now. The clock is time.Now, or in a
// test one that hides pauses.
func NewPauseDetector(clock func() time.Time) *PauseDetector {
	return &PauseDetector{now: clock, last: clock()}
}

// OnResume adds a function that runs when a pause was noticed, before the Beat
// that noticed it returns. It must not call Beat.
func (p *PauseDetector) OnResume(f func(gap time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.woke = append(p.woke, f)
}

// Check records a heartbeat and returns the number of pauses noticed so far.
// Work that began under another number must be thrown away.
func (p *PauseDetector) Check() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	// The monotonic clock stops while a machine is suspended and the wall
	// clock does not. A wall clock that is set forward only causes a needless
	// refresh.
	gap := max(now.Sub(p.last), now.Round(0).Sub(p.last.Round(0)))
	p.last = now
	if gap > pauseGap {
		p.epoch++
		for _, f := range p.woke {
			f(gap)
		}
	}
	return p.epoch
}
