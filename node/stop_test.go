package node_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/node"
	"github.com/cranberrybay/cranberrybay/plat"
	"github.com/cranberrybay/cranberrybay/spec"
)

const stopDocuments = "[team]\nname = \"desk\"\n---" +
	"[service]\nname = \"desk\"\nteam = \"desk\"\nkind = \"plain\"\nfirst = \"1m\"\nslots = 16\n---" +
	"[account]\nname = \"hotel\"\nteam = \"desk\"\nservices = [\"desk\"]\nweight = 1\nrate = 200\ninflight = 100\nkeys = [\"KEY\"]\n"

// postOrder places an order and returns the whole answer.
func (p *process) postOrder(header ...string) (int, fault.Problem, error) {
	rq, err := http.NewRequest(http.MethodPost, "http://"+p.settings.Listen.Callers+"/services/desk/orders", strings.NewReader("refill"))
	if err != nil {
		return 0, fault.Problem{}, err
	}
	rq.Header.Set("Authorization", "Bearer key")
	for i := 0; i < len(header); i += 2 {
		rq.Header.Set(header[i], header[i+1])
	}
	rs, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(rq)
	if err != nil {
		return 0, fault.Problem{}, err
	}
	defer rs.Body.Close()
	var body fault.Problem
	return rs.StatusCode, body, json.NewDecoder(rs.Body).Decode(&body)
}

// stopDocumentsWith returns stopDocuments with the key of the account.
func stopDocumentsWith(key string) []string {
	return strings.Split(strings.Replace(stopDocuments, "KEY", spec.HashKey(key), 1), "---")
}

// orderAnswer is the answer to one order.
type orderAnswer struct {
	status  int
	problem fault.Problem
	err     error
}

const orders = 20 // four more than the service has slots

// startOrders starts an entry process and orders, more than the service has slots, that
// run for a time each. An order before them has been answered.
func startOrders(t *testing.T, took time.Duration, modify func(*node.Settings)) (*process, *fakes.Service, chan orderAnswer) {
	t.Helper()
	platform, all := startCluster(t, 1, modify)
	p := all[0]
	desk := fakes.NewService()
	srv := httptest.NewServer(desk.Handler())
	t.Cleanup(srv.Close)
	platform.SetVM(plat.VM{Name: "desk-1", Address: srv.Listener.Addr().String(), Domain: "domain-0", Service: "desk"})
	p.publish(t, stopDocumentsWith("key")...)
	eventually(t, 10*time.Second, "an order is served", func() bool {
		status, _, err := p.postOrder()
		return err == nil && status == http.StatusCreated
	})
	desk.SetFaults(fakes.ServiceFaults{Delay: took})
	answers := make(chan orderAnswer)
	for range orders {
		go func() {
			status, problem, err := p.postOrder()
			answers <- orderAnswer{status, problem, err}
		}()
	}
	eventually(t, 5*time.Second, "orders run", func() bool { return desk.Calls() >= 17 })
	time.Sleep(200 * time.Millisecond)
	return p, desk, answers
}

// TestChangeAnswersEachRequest guards against a request that gets no answer when the
// key, the limits or the service that it came with change or go away, while it runs or
// waits for a slot.
func TestChangeAnswersEachRequest(t *testing.T) {
	p, desk, answers := startOrders(t, 3*time.Second, func(*node.Settings) {})
	changed := stopDocumentsWith("another key")
	changed[1] = strings.Replace(changed[1], "1m", "2s", 1)
	changed[2] = strings.NewReplacer("rate = 200", "rate = 1", "inflight = 100", "inflight = 1").Replace(changed[2])
	p.publish(t, changed...)
	time.Sleep(500 * time.Millisecond)
	p.publish(t, changed[0])
	eventually(t, 5*time.Second, "the key is no longer valid", func() bool {
		status, _, err := p.postOrder()
		return err == nil && status == http.StatusUnauthorized
	})
	for range orders {
		a := <-answers
		assert.NilError(t, a.err)
		assert.Equal(t, a.status, http.StatusCreated, "%v", a.problem)
	}
	assert.Equal(t, desk.Calls(), orders+1)
	p.stop(t)
}

// TestStopBoundAnswersEachRequest guards against requests whose connections a planned
// stop closes without an answer when its time is over: orders that run and orders that
// wait for a slot, after POST /drain and after SIGTERM.
func TestStopBoundAnswersEachRequest(t *testing.T) {
	for name, drain := range map[string]bool{"drain": true, "signal": false} {
		t.Run(name, func(t *testing.T) {
			p, desk, answers := startOrders(t, 9*time.Second, func(s *node.Settings) { s.Listen.Stop = spec.Duration{Duration: 12 * time.Second} })
			start := time.Now()
			stopped := make(chan error, 1)
			go func() {
				if drain {
					rq, err := http.NewRequest(http.MethodPost, "http://"+p.settings.Listen.Admin+"/drain", nil)
					assert.Check(t, err)
					rq.Header.Set("Authorization", "Bearer token")
					rs, err := http.DefaultClient.Do(rq)
					assert.Check(t, err)
					assert.Check(t, rs.Body.Close())
					<-p.app.Wait()
				}
				ctx, cancel := context.WithTimeout(context.Background(), p.app.StopTimeout())
				defer cancel()
				stopped <- p.app.Stop(ctx)
			}()
			verdicts := map[string]int{}
			for range orders {
				a := <-answers
				assert.NilError(t, a.err)
				assert.Equal(t, a.status, http.StatusServiceUnavailable)
				verdicts[a.problem.Verdict]++
			}
			assert.NilError(t, <-stopped)
			assert.Assert(t, time.Since(start) < 12*time.Second, "stopped after %v", time.Since(start))
			assert.Equal(t, verdicts["may-have-run"]+1, desk.Calls(), "%v", verdicts)
			assert.Assert(t, verdicts["not-run"] > 0 && verdicts["not-run"]+verdicts["may-have-run"] == orders, "%v", verdicts)
		})
	}
}

// TestStopWritesOutcomes guards against the outcome of an order that is lost since the
// table service is away for a moment when the process stops.
func TestStopWritesOutcomes(t *testing.T) {
	platform, all := startCluster(t, 1)
	p := all[0]
	desk := fakes.NewService()
	srv := httptest.NewServer(desk.Handler())
	defer srv.Close()
	platform.SetVM(plat.VM{Name: "desk-1", Address: srv.Listener.Addr().String(), Domain: "domain-0", Service: "desk"})
	p.publish(t, stopDocumentsWith("key")...)
	eventually(t, 10*time.Second, "an order is served", func() bool {
		status, _, err := p.postOrder()
		return err == nil && status == http.StatusCreated
	})
	desk.SetFaults(fakes.ServiceFaults{Delay: time.Second})
	time.AfterFunc(500*time.Millisecond, func() { platform.Table().SetFaults(fakes.PlatformFaults{Down: true}) })
	status, _, err := p.postOrder("Idempotency-Key", "order-1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusCreated)
	time.AfterFunc(time.Second, func() { platform.Table().SetFaults(fakes.PlatformFaults{}) })
	p.stop(t)
	time.Sleep(time.Second)
	rows, err := platform.Table().Client().Scan(t.Context(), "claim/", "", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	assert.Assert(t, strings.Contains(string(rows[0].Value()), `"state":"done"`), "%s", rows[0].Value())
}
