package node_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/plat"
	"github.com/cranberrybay/cranberrybay/spec"
)

// order sends a booking and returns the title of the problem in the answer, or "".
func (p *process) order(t *testing.T, body string) string {
	t.Helper()
	rq, err := http.NewRequest(http.MethodPost, "http://"+p.settings.Listen.Callers+"/services/desk/orders", strings.NewReader(body))
	assert.NilError(t, err)
	rq.Header.Set("Authorization", "Bearer key")
	rs, err := http.DefaultClient.Do(rq)
	assert.NilError(t, err)
	defer rs.Body.Close()
	var problem struct{ Title string }
	var text bytes.Buffer
	_, _ = text.ReadFrom(rs.Body)
	_ = json.Unmarshal(text.Bytes(), &problem)
	return problem.Title
}

// TestProcessesShareQuarantine guards against a call that each process sends to several
// servers of its own, although another process knows that it crashes them.
func TestProcessesShareQuarantine(t *testing.T) {
	platform, all := startCluster(t, 2)
	crashes := make(chan struct{}, 100)
	for n := range 3 {
		sv := fakes.NewService()
		srv := httptest.NewServer(sv.Handler())
		t.Cleanup(srv.Close)
		// The server does not refuse connections: its new incarnation shows the crash.
		sv.SetDeadly("deadly", func() { crashes <- struct{}{}; go sv.Restart() })
		platform.SetVM(plat.VM{Name: fmt.Sprint("desk-", n), Address: srv.Listener.Addr().String(), Domain: "domain-0", Service: "desk"})
	}
	all[0].publish(t, "[service]\nname = \"desk\"\nkind = \"plain\"\nfirst = \"5s\"\n",
		fmt.Sprintf("[account]\nname = \"hotel\"\nkeys = [%q]\nservices = [\"desk\"]\n", spec.HashKey("key")))
	for _, p := range all {
		eventually(t, 20*time.Second, "a sound order runs", func() bool { return p.order(t, "sound") == "" })
	}
	eventually(t, 30*time.Second, "the deadly order is quarantined", func() bool {
		time.Sleep(200 * time.Millisecond)
		return all[0].order(t, "deadly") == "quarantined"
	})
	count := len(crashes)
	assert.Assert(t, count >= 2, "%d crashes", count)
	eventually(t, time.Second, "the other process refuses it too", func() bool { return all[1].order(t, "deadly") == "quarantined" })
	assert.Assert(t, len(crashes) <= count+1, "%d crashes", len(crashes))
	assert.Equal(t, all[1].order(t, "sound"), "")
	for _, p := range all {
		p.stop(t)
	}
}
