package cmds_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/cranberrybay/cranberrybay/cmds"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/node"
	"github.com/cranberrybay/cranberrybay/spec"
)

// commandSession runs commands against one entry process and records their
// output, for comparison with a golden file.
type commandSession struct {
	t        *testing.T
	platform *fakes.Platform
	address  string
	dir      string
	out      bytes.Buffer
}

func newCommandSession(t *testing.T) *commandSession {
	s := &commandSession{t: t, platform: fakes.NewPlatform(), dir: t.TempDir()}
	server := httptest.NewServer(s.platform.Handler())
	t.Cleanup(server.Close)
	addresses := []string{freeAddress(t), freeAddress(t)}
	s.address = addresses[1]
	app := node.New(node.Settings{
		Name: "entry-1", Domain: "thamel", Region: "bagmati", Token: spec.HashKey("secret"),
		Listen:   node.ListenSettings{Callers: addresses[0], Admin: addresses[1]},
		Platform: node.PlatformSettings{Address: strings.TrimPrefix(server.URL, "http://")},
	}, io.Discard)
	assert.NilError(t, app.Start(t.Context()))
	t.Cleanup(func() { _ = app.Stop(t.Context()) })
	return s
}

var (
	idPattern   = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f-]{22}`)
	timePattern = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`)
	keyPattern  = regexp.MustCompile(`audit/[0-9a-f]{16}/\S+`)
)

func (s *commandSession) heading(format string, args ...any) {
	fmt.Fprintf(&s.out, "# "+format+"\n", args...)
}

// runCommand runs one command with the address and the credential of the entry
// process.
func (s *commandSession) runCommand(args ...string) {
	var out bytes.Buffer
	full := append([]string{}, args...)
	if args[0] == "publish" {
		full[1] = filepath.Join(s.dir, full[1])
	}
	code := cmds.Run(append(full, "--address", s.address, "--token", "secret"), &out, &out)
	text := strings.ReplaceAll(out.String(), s.dir+"/", "")
	text = timePattern.ReplaceAllString(idPattern.ReplaceAllString(text, "ID"), "TIME")
	text = keyPattern.ReplaceAllString(strings.ReplaceAll(text, s.address, "ADDRESS"), "KEY")
	fmt.Fprintf(&s.out, "$ cranberrybay %s\n%sexit %d\n\n", strings.Join(args, " "), text, code)
}

func (s *commandSession) write(path, text string) {
	path = filepath.Join(s.dir, path)
	assert.NilError(s.t, os.MkdirAll(filepath.Dir(path), 0o755))
	assert.NilError(s.t, os.WriteFile(path, []byte(text), 0o644))
}

func (s *commandSession) copy(from, to string) {
	assert.NilError(s.t, os.CopyFS(filepath.Join(s.dir, to), os.DirFS(filepath.Join(s.dir, from))))
}

func account(name string, rate int) string {
	return fmt.Sprintf("[account]\nname = %q\nkeys = [%q]\nservices = [\"desk\"]\nrate = %d\n", name, spec.HashKey(name), rate)
}

// TestSession guards against unintended changes of the output of publish and
// audit: conflicts, removal, rollback, outages and the audit trail.
func TestSession(t *testing.T) {
	s := newCommandSession(t)
	s.write("shop/bay.toml", "source = \"shop\"\n")
	s.write("shop/service.bay.toml", "[service]\nname = \"desk\"\nkind = \"plain\"\n")
	s.write("shop/hotel.bay.toml", account("hotel", 10))
	s.write("shop/inn.bay.toml", account("inn", 10))
	s.heading("first publication")
	s.runCommand("publish", "shop", "--author", "asha", "--wait")
	s.copy("shop", "old")
	s.copy("shop", "second")
	s.runCommand("publish", "shop", "--author", "asha")

	s.heading("a change, shown and then published")
	s.write("shop/hotel.bay.toml", account("hotel", 20))
	s.runCommand("publish", "shop", "--author", "asha", "--dry")
	s.runCommand("publish", "shop", "--author", "asha")

	s.heading("a second operator who did not see that change")
	s.write("second/hotel.bay.toml", account("hotel", 30))
	s.runCommand("publish", "second", "--author", "bina")
	s.runCommand("publish", "second", "--author", "bina", "--dry")

	s.heading("wrong documents")
	s.write("wrong/a.bay.toml", strings.Replace(account("hall", 1), "rate = 1", "rate = -1", 1))
	s.runCommand("publish", "wrong", "--author", "asha")
	s.write("wrong/a.bay.toml", strings.Replace(account("hall", 1), "\"desk\"", "\"spa\"", 1))
	s.runCommand("publish", "wrong", "--author", "asha")

	s.heading("a document of another directory")
	s.write("night/service.bay.toml", "[service]\nname = \"desk\"\nkind = \"plain\"\nslots = 1\n")
	s.runCommand("publish", "night", "--author", "asha", "--base", "2")

	s.heading("a file that is gone")
	assert.NilError(t, os.Remove(filepath.Join(s.dir, "shop/inn.bay.toml")))
	s.runCommand("publish", "shop", "--author", "asha")

	s.heading("rollback to the first tree")
	s.runCommand("publish", "old", "--author", "asha")
	s.runCommand("publish", "old", "--author", "asha", "--base", "3")

	s.heading("an outage, and a reply that is lost after the write")
	s.write("old/hotel.bay.toml", account("hotel", 40))
	s.platform.Table().SetFaults(fakes.PlatformFaults{Down: true})
	s.runCommand("publish", "old", "--author", "asha")
	s.platform.Table().SetFaults(fakes.PlatformFaults{LostReplies: 1})
	s.runCommand("publish", "old", "--author", "asha")

	s.heading("the audit trail")
	s.runCommand("audit", "--limit", "3")
	s.runCommand("audit", "--name", "hotel", "--author", "bina")
	s.runCommand("audit", "--since", "yesterday")
	golden.Assert(t, s.out.String(), "publish.golden")
}

// TestOutcomes guards against an exit code that reports success although the
// accepted version is not in effect everywhere or the outcome is unknown.
func TestOutcomes(t *testing.T) {
	answerLost, auditTrail := false, `{"entries":[]}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/audit":
			_, _ = io.WriteString(w, auditTrail)
		case answerLost && r.URL.Path == "/publish":
			panic(http.ErrAbortHandler)
		case r.URL.Path == "/publish":
			_, _ = io.WriteString(w, `{"version":7,"changes":[{"id":"service/a","kind":"added"}]}`)
		default:
			_, _ = io.WriteString(w, `{"version":7,"live":3,"lagging":[{"name":"entry-2","version":6}]}`)
		}
	}))
	defer server.Close()
	dir := t.TempDir()
	publish := func() (int, string) {
		var out bytes.Buffer
		code := cmds.Run([]string{"publish", dir, "--address", strings.TrimPrefix(server.URL, "http://"), "--wait=50ms", "--patience=10ms"}, &out, &out)
		return code, out.String()
	}
	code, out := publish()
	assert.Equal(t, code, 5, out)
	assert.Assert(t, strings.Contains(out, "not in effect on 1 of 3 entry processes: entry-2 (version 6)"), out)
	base, err := os.ReadFile(filepath.Join(dir, ".bay.base"))
	assert.NilError(t, err)
	assert.Equal(t, string(base), "7\n")
	answerLost = true
	code, out = publish()
	assert.Equal(t, code, 4, out)
	assert.Assert(t, idPattern.MatchString(out), out)
	auditTrail = `{"entries":[{"version":8,"code":"conflict","reason":"changed by bina"}]}`
	code, out = publish()
	assert.Equal(t, code, 3, out)
	auditTrail = `{"entries":[{"version":8,"accepted":true,"changes":[{"id":"service/a"}]}]}`
	code, out = publish()
	assert.Equal(t, code, 5, out)
	assert.Assert(t, strings.Contains(out, "accepted as version 8: 1 change"), out)
}

// TestUsage guards against invalid arguments that end with the exit code of a
// failed command. Scripts distinguish 1 from 2 to decide whether to retry.
func TestUsage(t *testing.T) {
	for _, args := range []string{"serve", "serve x --config y", "nonsense", "status --nope", "publish", "check", "check none.toml", "standin nonsense"} {
		var out bytes.Buffer
		assert.Equal(t, cmds.Run(strings.Fields(args), &out, &out), 2, "%s: %s", args, out.String())
	}
	var out bytes.Buffer
	assert.Equal(t, cmds.Run([]string{"drain", "--address", "127.0.0.1:1"}, &out, &out), 3, out.String())
}

// TestStatusBehind guards against a status that shows the version in effect as
// the newer known version during an outage of the table service.
func TestStatusBehind(t *testing.T) {
	for known, want := range map[string]string{"7": "may be behind: neither the table service nor a peer", "8": "  behind: version 8 is known"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"name":"entry-1","version":7,"health":{"version":7,"known":`+known+`,"behind":true}}`)
		}))
		var out bytes.Buffer
		assert.Equal(t, cmds.Run([]string{"status", "--address", strings.TrimPrefix(server.URL, "http://")}, &out, &out), 0, out.String())
		server.Close()
		assert.Assert(t, strings.Contains(out.String(), want), out.String())
	}
}

// TestStatusSilent guards against a status that shows a dead server as ready
// without the age of its last report.
func TestStatusSilent(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"time":"2026-01-01T00:01:00Z","servers":[`+
			`{"Name":"dead","Ready":true,"Reported":"2026-01-01T00:00:40Z"},`+
			`{"Name":"live","Ready":true,"Reported":"2026-01-01T00:00:59Z"},{"Name":"new"}]}`)
	}))
	defer server.Close()
	var out bytes.Buffer
	assert.Equal(t, cmds.Run([]string{"status", "--address", strings.TrimPrefix(server.URL, "http://")}, &out, &out), 0, out.String())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Assert(t, strings.HasSuffix(lines[1], "leaving false, no report for 20s"), lines[1])
	assert.Assert(t, strings.HasSuffix(lines[2], "leaving false"), lines[2])
	assert.Assert(t, strings.HasSuffix(lines[3], "leaving false, no report yet"), lines[3])
}
