package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/fx"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/admin"
	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/entry"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/node"
	"github.com/cranberrybay/cranberrybay/spec"
)

// logBuffer collects the log of a process.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

type process struct {
	settings node.Settings
	app      *fx.App
	logs     logBuffer
}

func freeAddress(t *testing.T) string {
	address, err := fakes.FreeAddress()
	assert.NilError(t, err)
	return address
}

// startCluster starts n entry processes on one platform. The functions may change
// their settings.
func startCluster(t *testing.T, n int, modify ...func(*node.Settings)) (*fakes.Platform, []*process) {
	t.Helper()
	platform := fakes.NewPlatform()
	srv := httptest.NewServer(platform.Handler())
	t.Cleanup(srv.Close)
	ca, err := fakes.NewAuthority()
	assert.NilError(t, err)
	var all []*process
	for i := range n {
		p := &process{settings: node.Settings{
			Name: fmt.Sprint("entry-", i), Domain: fmt.Sprint("domain-", i%3), Region: "r", Token: spec.HashKey("token"),
			Listen:   node.ListenSettings{Callers: freeAddress(t), Admin: freeAddress(t)},
			Platform: node.PlatformSettings{Address: strings.TrimPrefix(srv.URL, "http://")},
		}}
		cert, key, err := ca.Issue(p.settings.Name)
		assert.NilError(t, err)
		p.settings.Peer = node.PeerSettings{Listen: freeAddress(t), Authority: string(ca.PEM()), Certificate: string(cert), Key: string(key)}
		for _, f := range modify {
			f(&p.settings)
		}
		assert.NilError(t, p.settings.Check("settings"))
		p.app = node.New(p.settings, &p.logs)
		assert.NilError(t, p.app.Start(t.Context()))
		all = append(all, p)
	}
	return platform, all
}

func (p *process) stop(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	assert.NilError(t, p.app.Stop(ctx))
	assert.Assert(t, !strings.Contains(p.logs.String(), `"level":"error"`), "%s", p.logs.String())
}

// get sends a GET request with a token and decodes the JSON reply.
func (p *process) get(path, token string, into any) error {
	rq, err := http.NewRequest(http.MethodGet, "http://"+path, nil)
	if err != nil {
		return err
	}
	rq.Header.Set("Authorization", "Bearer "+token)
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	return json.NewDecoder(rs.Body).Decode(into)
}

func (p *process) addresses(t *testing.T) []string {
	var l entry.Addresses
	assert.NilError(t, p.get(p.settings.Listen.Callers+"/addresses", "", &l))
	return l.Addresses
}

// eventually waits until f returns true and returns how long that took. It fails
// the test after the limit.
func eventually(t *testing.T, limit time.Duration, what string, f func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !f() {
		assert.Assert(t, time.Since(start) < limit, what)
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// publish publishes documents on top of the version that p has in effect.
func (p *process) publish(t *testing.T, texts ...string) {
	t.Helper()
	pub := admin.Publication{Author: "a", Base: p.version()}
	for i, text := range texts {
		pub.Files = append(pub.Files, change.File{Path: fmt.Sprint(i, spec.Suffix), Text: text})
	}
	body, err := json.Marshal(pub)
	assert.NilError(t, err)
	rq, err := http.NewRequest(http.MethodPost, "http://"+p.settings.Listen.Admin+"/publish", bytes.NewReader(body))
	assert.NilError(t, err)
	rq.Header.Set("Authorization", "Bearer token")
	rs, err := http.DefaultClient.Do(rq)
	assert.NilError(t, err)
	defer rs.Body.Close()
	assert.Equal(t, rs.StatusCode, http.StatusOK)
}

func (p *process) version() uint64 {
	var s admin.Status
	if err := p.get(p.settings.Listen.Admin+"/status", "token", &s); err != nil {
		return 0
	}
	return s.Version
}

// TestCluster guards against processes that do not find each other, a published
// version that reaches the others only through the table service, and a process
// that is still listed after it began to stop.
func TestCluster(t *testing.T) {
	platform, all := startCluster(t, 3)
	for _, p := range all {
		eventually(t, 5*time.Second, "three addresses", func() bool { return len(p.addresses(t)) == 3 })
		assert.Equal(t, p.addresses(t)[0], p.settings.Listen.Callers, "the own failure domain comes first")
	}
	operator := spec.HashKey("o")
	all[0].publish(t, "[team]\nname = \"x\"\noperators = [\""+operator+"\"]\n")
	platform.Table().SetFaults(fakes.PlatformFaults{Down: true})
	took := eventually(t, 5*time.Second, "version 1 everywhere", func() bool {
		return all[1].version() == 1 && all[2].version() == 1
	})
	t.Logf("version 1 was in effect everywhere after %v", took)
	assert.Equal(t, len(all[1].addresses(t)), 3, "addresses are answered during an outage")
	platform.Table().SetFaults(fakes.PlatformFaults{})
	gone := all[2].settings.Listen.Callers
	all[2].stop(t)
	for _, p := range all[:2] {
		for _, a := range p.addresses(t) {
			assert.Assert(t, a != gone)
		}
	}
	all[0].stop(t)
	all[1].stop(t)
}

// TestPeerSettings guards against a process that starts with invalid peer settings:
// addresses that can't be parsed or a certificate that can't be used.
func TestPeerSettings(t *testing.T) {
	s := node.Settings{
		Name: "a", Domain: "d", Region: "r", Token: spec.HashKey("t"),
		Listen: node.ListenSettings{Callers: "127.0.0.1:1", Admin: "127.0.0.1:2"}, Platform: node.PlatformSettings{Address: "127.0.0.1:3"},
	}
	assert.NilError(t, s.Check("p"))
	s.Peer = node.PeerSettings{Listen: "x", Seeds: map[string]string{"b": "y"}, Authority: "none"}
	err := s.Check("p")
	for _, want := range []string{"peer.listen", "peer.seeds.b", "certificate authority"} {
		assert.ErrorContains(t, err, want)
	}
}

// TestSettingsErrors guards against messages that do not name the file and the line
// of an error, and against a message that shows the credential.
func TestSettingsErrors(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"name = \"a\"\nnmae = \"x\"\n", `f.toml:2: unknown key "nmae"`},
		{"[listen]\nlingre = \"1s\"\n", `f.toml:2: unknown key "listen.lingre"`},
		{"[listen]\n\nlinger = \"soon\"\n", "f.toml:3: "},
		{"[listen]\nstop = \"5s\"\n", "listen.stop is \"5s\", want a duration from 12s to 10m0s"},
		{"name = a\n", "f.toml:1: "},
		{"token = \"secret-word\"\n", "f.toml: token is not"},
		{"token = \"sha256:" + strings.Repeat("z", 64) + "\"\n", "f.toml: token is not"},
	} {
		path := filepath.Join(t.TempDir(), "f.toml")
		assert.NilError(t, os.WriteFile(path, []byte(c.text), 0o600))
		_, err := node.ReadSettings(path)
		assert.ErrorContains(t, err, c.want)
		assert.Assert(t, !strings.Contains(err.Error(), "secret-word"), err)
	}
}

// TestNoConfiguration guards against a process without a configuration that answers
// callers with a valid key with 401, which they do not retry. Section 5 of the
// design page requires 503 with the verdict not-run.
func TestNoConfiguration(t *testing.T) {
	_, all := startCluster(t, 1)
	for _, path := range []string{"/v1/models", "/services/desk/archive/1"} {
		rq, err := http.NewRequest("GET", "http://"+all[0].settings.Listen.Callers+path, nil)
		assert.NilError(t, err)
		rq.Header.Set("Authorization", "Bearer key")
		rs, err := http.DefaultClient.Do(rq)
		assert.NilError(t, err)
		var p struct{ Verdict string }
		assert.NilError(t, json.NewDecoder(rs.Body).Decode(&p))
		assert.NilError(t, rs.Body.Close())
		assert.Equal(t, rs.StatusCode, 503, path)
		assert.Equal(t, p.Verdict, "not-run")
		assert.Assert(t, rs.Header.Get("Retry-After") != "")
	}
}

// TestMetrics guards against a metrics set that GET /metrics leaves out.
func TestMetrics(t *testing.T) {
	_, all := startCluster(t, 1)
	rq, err := http.NewRequest("GET", "http://"+all[0].settings.Listen.Admin+"/metrics", nil)
	assert.NilError(t, err)
	rq.Header.Set("Authorization", "Bearer token")
	rs, err := http.DefaultClient.Do(rq)
	assert.NilError(t, err)
	defer rs.Body.Close()
	text, err := io.ReadAll(rs.Body)
	assert.NilError(t, err)
	for _, want := range []string{"cranberrybay_answers", "cranberrybay_limit_rejected_total", `cranberrybay_head_bytes{part="callers"}`, `cranberrybay_heads_refused_total{part="others",bound="memory"}`, `cranberrybay_client_connections{part="others"}`, `cranberrybay_peer_messages{kind="ping",way="sent"}`, `cranberrybay_peer_wire_bytes{way="sent"}`} {
		assert.Assert(t, strings.Contains(string(text), "\n"+want+" ") || strings.HasPrefix(string(text), want+" "), want)
	}
}
