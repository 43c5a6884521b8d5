package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/plat"
	"github.com/cranberrybay/cranberrybay/spec"
)

const serviceDocument = `[service]
name = "assistant"
kind = "model"
model = "lights"
layers = 8
fenced = true
first = "5s"
`

const wishDocument = `[wish]
name = "assistant"
service = "assistant"
version = "%s"
ranges = [[0, 4], [4, 8]]
copies = 2
memory = 10
`

// startEngines starts two engines for each of two layer ranges, each with memory
// for two versions, and adds them to the VM list.
func startEngines(t *testing.T, platform *fakes.Platform) []*fakes.PartManager {
	t.Helper()
	var all []*fakes.PartManager
	for i := range 4 {
		first := i / 2 * 4
		_, o, h := fakes.NewManagedEngine(
			fakes.EngineConfig{Kind: "a", Model: "lights", Version: "1", First: first, Last: first + 4, Pace: time.Millisecond},
			fakes.PartManagerConfig{Memory: 80, Fenced: true, Weights: platform.Weights(), FirstPartSize: 40},
		)
		srv := httptest.NewServer(h)
		t.Cleanup(srv.Close)
		t.Cleanup(o.Close)
		platform.SetVM(plat.VM{Name: fmt.Sprint("engine-", i), Address: srv.Listener.Addr().String(), Domain: fmt.Sprint("domain-", i%2), Service: "assistant"})
		all = append(all, o)
	}
	return all
}

// ask sends a question and returns the complete text of the answer.
func (p *process) ask(ctx context.Context, content string) (string, error) {
	body := fmt.Sprintf(`{"model":"assistant","messages":[{"role":"user","content":%q}]}`, content)
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.settings.Listen.Callers+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	rq.Header.Set("Authorization", "Bearer key")
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return "", err
	}
	defer rs.Body.Close()
	text, err := io.ReadAll(rs.Body)
	if err != nil || rs.StatusCode != http.StatusOK {
		return "", fmt.Errorf("status %d: %s: %w", rs.StatusCode, text, err)
	}
	var reply struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(text, &reply); err != nil {
		return "", err
	}
	return reply.Choices[0].Message.Content, nil
}

// TestVersionChange guards against a change of the model version that interrupts
// the service or never completes: requests are sent continuously while the
// placement controller moves four engines from version 1 to version 2.
func TestVersionChange(t *testing.T) {
	platform, all := startCluster(t, 2)
	orders := startEngines(t, platform)
	p := all[0]
	p.publish(t, serviceDocument, fmt.Sprintf(wishDocument, "1"), fmt.Sprintf("[account]\nname = \"hotel\"\nkeys = [%q]\n", spec.HashKey("key")))
	for i := range all {
		eventually(t, 20*time.Second, "a first answer of each process", func() bool { _, err := all[i].ask(t.Context(), "x"); return err == nil })
	}

	ctx, cancel := context.WithCancel(t.Context())
	var asked atomic.Int32
	failed := make(chan error, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			content := fmt.Sprintf("question %d words=40", asked.Add(1))
			text, err := all[asked.Load()%2].ask(ctx, content)
			if ctx.Err() == nil && (err != nil || text != fakes.ExpectedAnswer("lights", "user: "+content+"\n", 8, 1000)) {
				failed <- fmt.Errorf("answer %d: %q: %w", asked.Load(), text, err)
				return
			}
		}
	}()
	p.publish(t, fmt.Sprintf(wishDocument, "2"))
	took := eventually(t, 90*time.Second, "version 2 on all engines", func() bool {
		select {
		case err := <-failed:
			t.Fatal(err)
		default:
		}
		for _, o := range orders {
			if s := o.Holding().Serve; s == nil || s.Version != "2" {
				return false
			}
		}
		return true
	})
	before := asked.Load()
	eventually(t, 20*time.Second, "answers on version 2", func() bool { return asked.Load() > before+5 })
	cancel()
	<-done
	select {
	case err := <-failed:
		t.Fatal(err)
	default:
	}
	assert.NilError(t, platform.Weights().Err())
	t.Logf("version 2 was in service on all engines after %v, %d answers were whole", took, asked.Load())
	for _, p := range all {
		p.stop(t)
	}
}
