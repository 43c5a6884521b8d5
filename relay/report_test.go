package relay

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against unbounded report queries while streams wait in a backlog, against an engine that
// counts as dead because its query was skipped, and against a dead engine that is not found once
// the budget allows queries again.
func TestReportQueriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var queries atomic.Int64
		const deadAddress = "dead:1"
		cache := newReportCache(func(_ context.Context, address string) (Report, error) {
			queries.Add(1)
			if address == deadAddress {
				return Report{}, syscall.ECONNREFUSED
			}
			return Report{}, nil
		})
		var path []Hop
		for i := range 10 {
			path = append(path, Hop{Address: fmt.Sprintf("e%d:1", i)})
		}
		const requests, calls = 50, 1000
		for i := range calls {
			if i%(calls/requests) == 0 {
				cache.budget.AddRequest()
			}
			dead, _, unanswered := cache.findDead(t.Context(), "", path, path)
			assert.Equal(t, len(dead)+unanswered, 0)
			time.Sleep(2 * reportMaxAge)
		}
		assert.Assert(t, queries.Load() <= 3*requests, "%d queries", queries.Load())
		cache.budget.AddRequest()
		dead, _, _ := cache.findDead(t.Context(), "", []Hop{{Address: deadAddress}}, path)
		assert.Assert(t, dead[deadAddress])
		time.Sleep(2 * reportRetention)
	})
}

// Guards against a live engine that counts as dead because it answers a query with something else
// than a report.
func TestInvalidReportIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cache := newReportCache(func(_ context.Context, address string) (Report, error) {
			if address == "odd:1" {
				return Report{}, &InvalidReportError{Address: address, Cause: errors.New("status 503")}
			}
			return Report{}, nil
		})
		path := []Hop{{Address: "a:1"}, {Address: "odd:1"}}
		dead, _, unanswered := cache.findDead(t.Context(), "", path, path)
		assert.Equal(t, len(dead)+unanswered, 0)
		assert.Assert(t, !cache.confirmDead("odd:1"))
		time.Sleep(2 * reportRetention)
	})
}
