package cmds

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func assertRun(t *testing.T, code int, want string, args ...string) {
	t.Helper()
	var out, errs bytes.Buffer
	got := Run(args, &out, &errs)
	assert.Equal(t, got, code, "%s%s", out.String(), errs.String())
	assert.Assert(t, strings.Contains(out.String()+errs.String(), want), "%s%s", out.String(), errs.String())
}

// Guards against settings of the command entry that are validated as those of
// serve, and against an entry process that starts with invalid settings.
func TestEntrySettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	good := "name = \"n\"\ndomain = \"d\"\n[listen]\ncallers = \"127.0.0.1:1\"\nready = \"127.0.0.1:2\"\ndirectory = \"127.0.0.1:3\"\nbeats = \"127.0.0.1:4\"\n" +
		"[store]\naddress = \"127.0.0.1:5\"\n[bounds]\ngrace = 8\nrevoke = 5000\nttl = 5\nwindow = 10\n[limits]\nmemory = 284\n"
	assert.NilError(t, os.WriteFile(path, []byte(good), 0o600))
	assertRun(t, 0, "ok", "check", path)
	assert.NilError(t, os.WriteFile(path, []byte(good+"[other]\nx = 1\n"), 0o600))
	assertRun(t, 2, "unknown keys", "check", path)
	assertRun(t, 2, "unknown keys", "entry", "--config", path)
	t.Setenv("CRANBERRYBAY_BOOT", filepath.Join(t.TempDir(), "missing"))
	assertRun(t, 2, "read settings", "entry")
}

// Guards against explain and summary succeeding without output when no log line
// matches.
func TestExplain(t *testing.T) {
	assertRun(t, 0, "request ended", "explain", "r1", "../logs/testdata/lines.log")
	assertRun(t, 1, "no line about", "explain", "r9", "../logs/testdata/lines.log")
	assertRun(t, 0, "2  left", "summary", "../logs/testdata/day.log")
	assertRun(t, 1, "no line about", "summary", os.DevNull)
	assertRun(t, 2, "must be positive", "summary", "--window", "0s", "../logs/testdata/day.log")
	assertRun(t, 2, "no such file", "explain", "r1", "missing.log")
}
