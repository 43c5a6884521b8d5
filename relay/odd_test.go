package relay_test

import (
	"context"
	"math"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/relay"
	"github.com/cranberrybay/cranberrybay/server"
)

// Guards against streams that end in a panic, or at no server, because the registry lists an engine with layers that the
// model does not have.
func TestStreamsAvoidEnginesOutsideTheModel(t *testing.T) {
	for name, r := range map[string][2]int{"negative": {-4, 8}, "beyond": {0, 9}, "huge": {0, math.MaxInt}, "reversed": {9, -9}} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t, slowAccelerator(engineEntry("a", "near", 0, 4)), slowAccelerator(engineEntry("b", "near", 4, 8)), engineEntry("odd", "near", r[0], r[1]))
			cl.onSend = func(_ context.Context, _ int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
				for _, h := range a.Path {
					assert.Check(t, h.Address != "odd:1", "%v", a.Path)
				}
				x := signedAnswer(200, events(1, 3))
				x.Length = -1
				return x, nil
			}
			req := request(config.Stream, 2)
			req.Service.Engine.TokenMemory = 0 // no lack of memory rules the engine out
			checkServed(t, cl.serve(t.Context(), req), events(1, 3))
		})
	}
}

// answerAsEngines answers an attempt as sound engines do that hold the given layers, by address: they refuse requests for another
// server and parts that they do not hold. The stream has 200 events, 20 ms apart.
func answerAsEngines(ctx context.Context, a relay.Attempt, ids map[string]string, held map[string][2]int) *relay.Answer {
	ans := refusal()
	ans.Status, ans.Misdirected = http.StatusMisdirectedRequest, true
	if a.Server.ID() != ids[a.Server.Address()] {
		return ans
	}
	for _, h := range a.Path {
		if r, ok := held[h.Address]; !ok || h.From < r[0] || h.To > r[1] {
			ans.RefusedBy = h.Address
			return ans
		}
	}
	ans = signedAnswer(http.StatusOK, "")
	ans.Body = &pacedBody{ctx: ctx, left: 200}
	return ans
}

// Guards against a sound engine that loses its streams because another writer listed its address under another ID.
func TestSecondEntryWithTheAddressOfAnEngine(t *testing.T) {
	second := func(from, to int, change func(e *server.Entry)) server.Entry {
		e := engineEntry("x", "near", from, to)
		e.Address, e.Started = "a:1", 1<<41
		change(&e)
		return e
	}
	for name, odd := range map[string]server.Entry{
		"same":         second(0, 4, func(*server.Entry) {}),
		"no layers":    second(0, 0, func(*server.Entry) {}),
		"other layers": second(4, 8, func(*server.Entry) {}),
		"all layers":   second(0, 8, func(*server.Entry) {}),
		"draining":     second(0, 4, func(e *server.Entry) { e.Draining = true }),
		"service":      second(0, 4, func(e *server.Entry) { e.Service = "other" }),
		"plain":        second(0, 0, func(e *server.Entry) { e.Accelerator = "" }),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, engineEntry("a", "near", 0, 4), engineEntry("b", "near", 4, 8))
				listed := make(chan struct{})
				cl.onSend = func(ctx context.Context, n int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
					if n == 1 {
						time.AfterFunc(time.Second, func() {
							cl.table.Apply([]server.Change{{ID: odd.ID, Entry: odd}}, false, 0)
							close(listed)
						})
					}
					return answerAsEngines(ctx, a, map[string]string{"a:1": "a", "b:1": "b"}, map[string][2]int{"a:1": {0, 4}, "b:1": {4, 8}}), nil
				}
				checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 200))
				assert.Equal(t, cl.attemptCount(), 1, "a stream in progress was moved")
				<-listed
				for range 5 {
					checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 200))
				}
				assert.Assert(t, cl.attemptCount() <= 9, "%d attempts", cl.attemptCount())
			})
		})
	}
}

// Guards against requests that go on to meet the second entry with the address of a server.
func TestSecondEntryWithTheAddressOfAServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		odd := plainEntry("x")
		odd.Address, odd.Started = "a:1", 1<<41
		cl := newCluster(t, plainEntry("a"), odd)
		cl.onSend = func(_ context.Context, _ int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
			if a.Server.ID() != "a" {
				ans := refusal()
				ans.Status, ans.Misdirected = http.StatusMisdirectedRequest, true
				return ans, nil
			}
			return signedAnswer(http.StatusOK, "done"), nil
		}
		for range 60 {
			checkServed(t, cl.serve(t.Context(), request(config.AtMostOnce, 2)), "done")
			time.Sleep(time.Second)
		}
		assert.Assert(t, cl.attemptCount() <= 61, "%d attempts", cl.attemptCount())
	})
}
