package entry_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/entry"
)

// crashOn makes the servers of the service crash on calls with a text and start again
// after a second. It returns the number of crashes.
func (s *system) crashOn(text string) *atomic.Int32 {
	n := &atomic.Int32{}
	for i, sv := range s.services {
		address := fmt.Sprintf("desk-%d", i)
		sv.SetDeadly(text, func() {
			n.Add(1)
			s.setDown(address, true)
			time.AfterFunc(time.Second, func() { sv.Restart(); s.setDown(address, false) })
		})
	}
	return n
}

// assertMayHaveRun asserts the answer to an order that crashed its server, or to a
// repeat of it.
func (s *system) assertMayHaveRun(t *testing.T, address, key string, status int) {
	t.Helper()
	rs, text, err := s.call(t.Context(), address, "POST", "/services/desk/orders", "deadly order", "Idempotency-Key", key)
	assert.NilError(t, err)
	var body struct{ Verdict string }
	assert.NilError(t, json.Unmarshal([]byte(text), &body), text)
	assert.Equal(t, body.Verdict, "may-have-run", text)
	assert.Equal(t, rs.StatusCode, status, text)
}

// TestCrashingOrderRunsOnce guards against an order that crashed its server and is run
// again by a retry, by another process or after the end of the process that sent it.
func TestCrashingOrderRunsOnce(t *testing.T) {
	for name, issueTicket := range map[string]bool{"key": false, "ticket": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(t, 1, 3)
				crashes := s.crashOn("deadly")
				a, b := s.start(t), s.start(t)
				time.Sleep(time.Second)
				key := "order-1"
				if issueTicket {
					_, text, err := s.call(t.Context(), a.name, "POST", "/tickets", "")
					assert.NilError(t, err)
					var tk entry.Tickets
					assert.NilError(t, json.Unmarshal([]byte(text), &tk))
					key = tk.Tickets[0]
				}
				s.assertMayHaveRun(t, a.name, key, http.StatusBadGateway)
				time.Sleep(2 * time.Second) // the server has started again
				s.assertMayHaveRun(t, a.name, key, http.StatusConflict)
				s.assertMayHaveRun(t, b.name, key, http.StatusConflict)
				a.kill()
				rs, _, err := s.call(t.Context(), b.name, "POST", "/services/desk/orders", "deadly order", "Idempotency-Key", key)
				assert.NilError(t, err)
				assert.Assert(t, rs.StatusCode >= 400)
				assert.Equal(t, crashes.Load(), int32(1))
				b.kill()
				time.Sleep(3 * time.Minute)
			})
		})
	}
}
