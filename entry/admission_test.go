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
	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/limit"
	"github.com/cranberrybay/cranberrybay/proxy"
	"github.com/cranberrybay/cranberrybay/queue"
	"github.com/cranberrybay/cranberrybay/spec"
)

// newAdmissionHandler returns a handler with limits, queues and the plain service
// "desk", which has one server at the address, or none when it is empty.
func newAdmissionHandler(t *testing.T, address string, rate float64) *Handler {
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
		Store: st, Fleet: f, Services: proxy.NewTablePool(proxy.TablePoolConfig{Table: f, Client: proxy.New(proxy.Config{}), Engines: engine.New(engine.Config{})}), Log: zerolog.Nop(),
		Admission: &AdmissionControl{Limits: limits, Queues: queues},
	})
}

func get(h *Handler) (*httptest.ResponseRecorder, fault.Problem) {
	req := httptest.NewRequest("GET", "/services/desk/archive/1", strings.NewReader(""))
	req.Header.Set("Authorization", "Bearer key")
	rs := httptest.NewRecorder()
	h.router.ServeHTTP(rs, req)
	var p fault.Problem
	_ = json.Unmarshal(rs.Body.Bytes(), &p)
	return rs, p
}

// TestAdmissionRejects guards against a request that bypasses the queue or the
// limits. Without servers the queue rejects it at once, and over the rate the limit
// does. Both answers say not-run; the one of the limit has a retry time.
func TestAdmissionRejects(t *testing.T) {
	h := newAdmissionHandler(t, "", 1)
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

// TestAdmissionFreesSlot guards against a queue slot that is not freed after a call.
func TestAdmissionFreesSlot(t *testing.T) {
	srv := httptest.NewServer(fakes.NewService().Handler())
	defer srv.Close()
	h := newAdmissionHandler(t, srv.Listener.Addr().String(), 1000)
	h.cfg.Admission.Queues.Queue("desk").Observe(queue.Report{Name: "d1", Slots: 1})
	for range 5 {
		rs, p := get(h)
		assert.Equal(t, p.Verdict, "", "%s", p.Detail)
		assert.Assert(t, rs.Code < 500, "status %d", rs.Code)
	}
	assert.Equal(t, h.cfg.Admission.Queues.Queue("desk").Waiting(), 0)
}
