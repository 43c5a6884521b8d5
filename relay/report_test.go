package relay

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against questions without a bound while streams wait in a backlog, against an
// engine that counts as dead because it was not asked, and against a dead one that is
// not found after that.
func TestQuestionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked atomic.Int64
		const dead = "dead:1"
		r := newReports(func(_ context.Context, address string) (Report, error) {
			asked.Add(1)
			if address == dead {
				return Report{}, syscall.ECONNREFUSED
			}
			return Report{}, nil
		})
		var hops []Hop
		for i := range 10 {
			hops = append(hops, Hop{Address: fmt.Sprintf("e%d:1", i)})
		}
		const requests, sweeps = 50, 1000
		for i := range sweeps {
			if i%(sweeps/requests) == 0 {
				r.bound.AddRequest()
			}
			found, silent := r.sweep(t.Context(), "", hops, hops)
			assert.Equal(t, len(found)+silent, 0)
			time.Sleep(2 * reportAge)
		}
		assert.Assert(t, asked.Load() <= 3*requests, "%d questions", asked.Load())
		r.bound.AddRequest()
		found, _ := r.sweep(t.Context(), "", []Hop{{Address: dead}}, hops)
		assert.Assert(t, found[dead])
		time.Sleep(2 * keepReadings)
	})
}
