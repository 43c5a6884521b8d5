package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/poison"
	"github.com/cranberrybay/cranberrybay/server"
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

// Guards against a crash that is not noticed because the engine answered a query just before it, or because
// no query is left.
func TestCrashIsConfirmed(t *testing.T) {
	for name, before := range map[string]func(r *Relay){
		"after a report": func(r *Relay) { <-r.reports.cached("a:1").done },
		"without a query": func(r *Relay) {
			for r.reports.budget.TryRetry() {
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				down := false
				table, tracker := server.NewTable(server.Config{Log: zerolog.Nop()}), poison.New(poison.Config{Log: zerolog.Nop()})
				table.Apply([]server.Change{{ID: "a", Entry: server.Entry{ID: "a", Service: "s", Address: "a:1"}}}, true, 0)
				probe := func() error {
					if down {
						return syscall.ECONNREFUSED
					}
					return nil
				}
				r := New(Config{
					Servers: table, Poison: tracker, Log: zerolog.Nop(),
					FetchReport: func(context.Context, string) (Report, error) { return Report{}, probe() },
					Probe:       func(context.Context, string) error { return probe() },
				})
				before(r)
				time.Sleep(30 * time.Millisecond)
				down = true
				req := &Request{Service: config.Service{Engine: &config.Engine{}}}
				req.identity = sync.OnceValue(req.newIdentity)
				r.recordCut(t.Context(), req, table.ByAddress("a:1"), mayHaveRunError(reasonNoAnswer, io.ErrUnexpectedEOF))
				suspected, _ := tracker.Counts(true)
				assert.Equal(t, suspected, 1)
				time.Sleep(2 * reportRetention)
			})
		})
	}
}

// Guards against requests that are refused because servers end while they have them, after they had
// announced it.
func TestPlannedEndIsNoCrash(t *testing.T) {
	entry := server.Entry{ID: "a", Service: "s", Address: "a:1"}
	for name, leave := range map[string]func(table *server.Table){
		"draining": func(table *server.Table) {
			entry := entry
			entry.Draining = true
			table.Apply([]server.Change{{ID: "a", Entry: entry}}, false, 0)
		},
		"said so": func(table *server.Table) { table.MarkLeaving([]uint64{table.ByAddress("a:1").Incarnation()}) },
	} {
		t.Run(name, func(t *testing.T) {
			table, tracker := server.NewTable(server.Config{Log: zerolog.Nop()}), poison.New(poison.Config{Log: zerolog.Nop()})
			table.Apply([]server.Change{{ID: "a", Entry: entry}}, true, 0)
			s := table.ByAddress("a:1")
			r := New(Config{Servers: table, Poison: tracker, Log: zerolog.Nop(), Probe: func(context.Context, string) error { return syscall.ECONNREFUSED }})
			req := &Request{}
			req.identity = sync.OnceValue(req.newIdentity)
			leave(table)
			r.recordCut(t.Context(), req, s, mayHaveRunError(reasonNoAnswer, io.ErrUnexpectedEOF))
			suspected, _ := tracker.Counts(true)
			assert.Equal(t, suspected, 0)
			assert.Assert(t, !tracker.TracksRequests())
		})
	}
}

// Guards against a panic in work that no request waits for, such as the probe of a server that may have crashed, that ends
// the process.
func TestPanicInTheBackgroundEndsNoProcess(t *testing.T) {
	for name, work := range map[string]func(r *Relay, s *server.Server){
		"probe": (*Relay).confirmLater, "report of a silent engine": (*Relay).suspect,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var panics, caught atomic.Int32
				fail := func() error {
					panics.Add(1)
					panic("index out of range")
				}
				table := server.NewTable(server.Config{Log: zerolog.Nop()})
				table.Apply([]server.Change{{ID: "a", Entry: server.Entry{ID: "a", Service: "s", Address: "a:1"}}}, true, 0)
				r := New(Config{
					Servers: table, Poison: poison.New(poison.Config{Log: zerolog.Nop()}), Log: zerolog.Nop(), Count: func(string) { caught.Add(1) },
					Probe:        func(context.Context, string) error { return fail() },
					FetchReport:  func(context.Context, string) (Report, error) { return Report{}, syscall.ECONNREFUSED },
					AnnounceDead: func(*server.Server) { _ = fail() },
				})
				work(r, table.ByAddress("a:1"))
				time.Sleep(2 * reportRetention)
				assert.Equal(t, panics.Load(), int32(1))
				assert.Equal(t, caught.Load(), int32(1))
			})
		})
	}
}
