package entry

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/limit"
	"github.com/cranberrybay/cranberrybay/proxy"
	"github.com/cranberrybay/cranberrybay/queue"
	"github.com/cranberrybay/cranberrybay/spec"
)

// gated returns a handler with limits, queues and one plain service at the
// address.
func gated(t *testing.T, address string, rate float64) *Handler {
	t.Helper()
	tc := fakes.NewTable().Client()
	st := change.NewStore(change.StoreConfig{Table: tc})
	publisher := change.NewPublisher(change.PublisherConfig{Store: st, Table: tc})
	_, err := publisher.Publish(t.Context(), change.Request{Author: "test", Files: []change.File{
		{Path: "s" + spec.Suffix, Text: "[service]\nname = \"desk\"\nkind = \"plain\"\nteam = \"desk\"\n"},
		{Path: "t" + spec.Suffix, Text: "[team]\nname = \"desk\"\n"},
		{Path: "a" + spec.Suffix, Text: "[account]\nname = \"hotel\"\nteam = \"desk\"\nweight = 1\nkeys = [\"" + spec.HashKey("key") + "\"]\n"},
	}})
	assert.NilError(t, err)
	assert.NilError(t, st.Refresh(t.Context()))
	f := fleet.NewTable()
	if address != "" {
		f.MergeEntry(fleet.State{Name: "d1", Address: address, Service: "desk"})
		f.UpdateReport("d1", func(s *fleet.State) { s.Ready, s.Slots = true, 1 })
	}
	limits := limit.New(limit.Config{Self: "e1", Incarnation: "e1/1", Limits: func(string) (limit.Limits, bool) {
		return limit.Limits{Amounts: limit.Amounts{limit.Rate: rate}, Weight: 1}, true
	}})
	queues := queue.NewSet(func(string) *queue.Queue { return queue.New(queue.Config{}) })
	return New(Config{
		Store: st, Fleet: f, Services: proxy.NewTablePool(f, proxy.New(proxy.Config{})), Log: zerolog.Nop(),
		Gate: &Gate{Limits: limits, Queues: queues},
	})
}

func get(h *Handler) (*httptest.ResponseRecorder, fault.Problem) {
	rq := httptest.NewRequest("GET", "/services/desk/archive/1", strings.NewReader(""))
	rq.Header.Set("Authorization", "Bearer key")
	rs := httptest.NewRecorder()
	h.engine.ServeHTTP(rs, rq)
	var p fault.Problem
	_ = json.Unmarshal(rs.Body.Bytes(), &p)
	return rs, p
}

// Guards against a hook that is not asked: without servers the queue rejects at
// once, and beyond the rate the limit does; both not run, with a retry time.
func TestGateRejects(t *testing.T) {
	h := gated(t, "", 1)
	began := time.Now()
	rs, p := get(h)
	assert.Equal(t, rs.Code, 503)
	assert.Equal(t, p.Verdict, "not-run")
	rs, p = get(h)
	assert.Equal(t, rs.Code, 429)
	assert.Equal(t, p.Verdict, "not-run")
	assert.Assert(t, rs.Header().Get("Retry-After") != "")
	assert.Assert(t, time.Since(began) < time.Second)
}

// Guards against a slot that is not given back after a call.
func TestGateFreesSlot(t *testing.T) {
	srv := httptest.NewServer(fakes.NewService().Handler())
	defer srv.Close()
	h := gated(t, srv.Listener.Addr().String(), 1000)
	h.cfg.Gate.Queues.Queue("desk").Observe(queue.Report{Name: "d1", Slots: 1})
	for range 5 {
		rs, p := get(h)
		assert.Equal(t, p.Verdict, "", "%s", p.Detail)
		assert.Assert(t, rs.Code < 500, "status %d", rs.Code)
	}
	assert.Equal(t, h.cfg.Gate.Queues.Queue("desk").Waiting(), 0)
}
