package clock

import (
	"context"
	"time"
)

// Sleep waits for a duration or until the context is done, and reports whether the context is not done. It uses no
// timer for a wait that is over at once: the race detector crashes when a goroutine of a synctest bubble selects on one
// (docs/incidents/race-detector-crash.txt).
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
	return ctx.Err() == nil
}
