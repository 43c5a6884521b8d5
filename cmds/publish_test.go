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

// shell runs commands against one entry process and keeps what they print.
type shell struct {
	t        *testing.T
	platform *fakes.Platform
	address  string
	root     string
	out      bytes.Buffer
}

func newShell(t *testing.T) *shell {
	s := &shell{t: t, platform: fakes.NewPlatform(), root: t.TempDir()}
	server := httptest.NewServer(s.platform.Handler())
	t.Cleanup(server.Close)
	addresses := []string{free(t), free(t)}
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

func (s *shell) say(format string, args ...any) { fmt.Fprintf(&s.out, "# "+format+"\n", args...) }

// run runs one command; credential and address are added.
func (s *shell) run(args ...string) {
	var out bytes.Buffer
	full := append([]string{}, args...)
	if args[0] == "publish" {
		full[1] = filepath.Join(s.root, full[1])
	}
	code := cmds.Run(append(full, "--address", s.address, "--token", "secret"), &out, &out)
	text := strings.ReplaceAll(out.String(), s.root+"/", "")
	text = timePattern.ReplaceAllString(idPattern.ReplaceAllString(text, "ID"), "TIME")
	text = keyPattern.ReplaceAllString(strings.ReplaceAll(text, s.address, "ADDRESS"), "KEY")
	fmt.Fprintf(&s.out, "$ cranberrybay %s\n%sexit %d\n\n", strings.Join(args, " "), text, code)
}

func (s *shell) write(path, text string) {
	path = filepath.Join(s.root, path)
	assert.NilError(s.t, os.MkdirAll(filepath.Dir(path), 0o755))
	assert.NilError(s.t, os.WriteFile(path, []byte(text), 0o644))
}

func (s *shell) copy(from, to string) {
	assert.NilError(s.t, os.CopyFS(filepath.Join(s.root, to), os.DirFS(filepath.Join(s.root, from))))
}

func account(name string, rate int) string {
	return fmt.Sprintf("[account]\nname = %q\nkeys = [%q]\nservices = [\"desk\"]\nrate = %d\n", name, spec.HashKey(name), rate)
}

// TestSession guards against a change of what an operator sees in a whole
// publishing session: conflicts, removal, rollback, outages, audit trail.
func TestSession(t *testing.T) {
	s := newShell(t)
	s.write("shop/bay.toml", "source = \"shop\"\n")
	s.write("shop/service.bay.toml", "[service]\nname = \"desk\"\nkind = \"plain\"\n")
	s.write("shop/hotel.bay.toml", account("hotel", 10))
	s.write("shop/inn.bay.toml", account("inn", 10))
	s.say("first publication")
	s.run("publish", "shop", "--author", "asha", "--wait")
	s.copy("shop", "old")
	s.copy("shop", "second")
	s.run("publish", "shop", "--author", "asha")

	s.say("a change, shown and then published")
	s.write("shop/hotel.bay.toml", account("hotel", 20))
	s.run("publish", "shop", "--author", "asha", "--dry")
	s.run("publish", "shop", "--author", "asha")

	s.say("a second operator who did not see that change")
	s.write("second/hotel.bay.toml", account("hotel", 30))
	s.run("publish", "second", "--author", "bina")
	s.run("publish", "second", "--author", "bina", "--dry")

	s.say("wrong documents")
	s.write("wrong/a.bay.toml", strings.Replace(account("hall", 1), "rate = 1", "rate = -1", 1))
	s.run("publish", "wrong", "--author", "asha")
	s.write("wrong/a.bay.toml", strings.Replace(account("hall", 1), "\"desk\"", "\"spa\"", 1))
	s.run("publish", "wrong", "--author", "asha")

	s.say("a document of another directory")
	s.write("night/service.bay.toml", "[service]\nname = \"desk\"\nkind = \"plain\"\nslots = 1\n")
	s.run("publish", "night", "--author", "asha", "--base", "2")

	s.say("a file that is gone")
	assert.NilError(t, os.Remove(filepath.Join(s.root, "shop/inn.bay.toml")))
	s.run("publish", "shop", "--author", "asha")

	s.say("rollback to the first tree")
	s.run("publish", "old", "--author", "asha")
	s.run("publish", "old", "--author", "asha", "--base", "3")

	s.say("an outage, and a reply that is lost after the write")
	s.write("old/hotel.bay.toml", account("hotel", 40))
	s.platform.Table().SetFaults(fakes.PlatformFaults{Down: true})
	s.run("publish", "old", "--author", "asha")
	s.platform.Table().SetFaults(fakes.PlatformFaults{LostReplies: 1})
	s.run("publish", "old", "--author", "asha")

	s.say("the audit trail")
	s.run("audit", "--limit", "3")
	s.run("audit", "--name", "hotel", "--author", "bina")
	s.run("audit", "--since", "yesterday")
	golden.Assert(t, s.out.String(), "publish.golden")
}

// TestOutcomes guards against an exit code that hides that an accepted version
// is not in effect everywhere, or that the outcome is unknown.
func TestOutcomes(t *testing.T) {
	lost, trail := false, `{"entries":[]}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/audit":
			_, _ = io.WriteString(w, trail)
		case lost && r.URL.Path == "/publish":
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
	lost = true
	code, out = publish()
	assert.Equal(t, code, 4, out)
	assert.Assert(t, idPattern.MatchString(out), out)
	trail = `{"entries":[{"version":8,"code":"conflict","reason":"changed by bina"}]}`
	code, out = publish()
	assert.Equal(t, code, 3, out)
	trail = `{"entries":[{"version":8,"accepted":true,"changes":[{"id":"service/a"}]}]}`
	code, out = publish()
	assert.Equal(t, code, 5, out)
	assert.Assert(t, strings.Contains(out, "accepted as version 8: 1 change"), out)
}

// TestUsage guards against wrong arguments that end with the exit code of a
// failed command: scripts tell 1 from 2 to know whether a repeat can help.
func TestUsage(t *testing.T) {
	for _, args := range []string{"serve", "serve x --config y", "nonsense", "status --nope", "publish", "check", "check none.toml", "standin nonsense"} {
		var out bytes.Buffer
		assert.Equal(t, cmds.Run(strings.Fields(args), &out, &out), 2, "%s: %s", args, out.String())
	}
	var out bytes.Buffer
	assert.Equal(t, cmds.Run([]string{"drain", "--address", "127.0.0.1:1"}, &out, &out), 3, out.String())
}

// TestStatusBehind guards against a status that names the version in effect as
// the newer version during an outage of the table service.
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

// TestStatusSilent guards against a dead server that status shows as ready
// without saying that its last report is old.
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
