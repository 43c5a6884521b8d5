package cmds

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// assertCheck checks the exit code of a check and returns its output.
func assertCheck(t *testing.T, code int, args ...string) string {
	t.Helper()
	var out, errs bytes.Buffer
	assert.Equal(t, Run(append([]string{"check"}, args...), &out, &errs), code, "%s%s", out.String(), errs.String())
	assert.Assert(t, !strings.Contains(out.String()+errs.String(), "secret"), "a key is printed")
	return out.String()
}

const inForce = "testdata/check/current.json"

// Guards against unintended changes of the output, and against an exit code that a script takes for another.
func TestCheckAgainst(t *testing.T) {
	text := assertCheck(t, 0, "--against", inForce, inForce)
	text += assertCheck(t, 0, "--against", inForce, "testdata/check/next.json")
	text += assertCheck(t, 1, "--against", inForce, "testdata/check/faulty.json")
	golden.Assert(t, text, "check.golden")
}

// Guards against JSON whose members change their names, or that is null where a script expects a list.
func TestCheckAgainstJSON(t *testing.T) {
	golden.Assert(t, assertCheck(t, 1, "--json", "--against", inForce, "testdata/check/faulty.json"), "check.json.golden")
	var report map[string]any
	assert.NilError(t, json.Unmarshal([]byte(assertCheck(t, 0, "--json", "--against", inForce, inForce)), &report))
	assert.DeepEqual(t, report, map[string]any{"file": inForce, "against": inForce, "findings": []any{}, "changes": []any{}})
}

// Guards against wrong arguments and unreadable files that a script takes for findings, and the reverse.
func TestCheckAgainstExitCodes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	cut, empty, other := write("cut.json", `{"version":`), write("empty.json", ""), write("other.toml", "x = 1\n")
	invalid := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(invalid, "a.bay.toml"), []byte("[account\n"), 0o600))
	assertCheck(t, 1, "--against", inForce, cut)
	assertCheck(t, 1, "--against", "../examples", invalid)
	for _, args := range [][]string{
		{"--against", inForce},
		{"--against", inForce, inForce, inForce},
		{"--json", inForce},
		{"--against", "", inForce},
		{"--against", "missing", inForce},
		{"--against", inForce, "missing"},
		{"--against", cut, inForce},
		{"--against", inForce, empty},
		{"--against", inForce, other},
		{"--against", "../examples", inForce},
		{"--against", inForce, "../examples"},
		{"--against", dir, "../examples"},
		{"--against", invalid, "../examples"},
	} {
		assertCheck(t, 2, args...)
	}
}

// Guards against directories of documents whose faults and differences are not told, and against hashes of keys in full.
func TestCheckAgainstDocuments(t *testing.T) {
	hash := "sha256:" + strings.Repeat("0123456789abcdef", 4)
	tree := func(account, service string) string {
		dir := t.TempDir()
		assert.NilError(t, os.WriteFile(filepath.Join(dir, "a.bay.toml"), []byte("[account]\nname = \"hotel\"\n"+account), 0o600))
		assert.NilError(t, os.WriteFile(filepath.Join(dir, "s.bay.toml"), []byte("[service]\nname = \"desk\"\nkind = \"plain\"\n"+service), 0o600))
		return dir
	}
	keys := "keys = [\"" + hash + "\"]\n"
	current := tree(keys, "slots = 3\n")
	for _, tc := range []struct {
		account, service string
		code             int
		want             string
	}{
		{keys, "# a comment\nslots = 3\n", 0, "0 differences"},
		{keys, "slots = 4\n", 0, "changed service \"desk\" at DIR/s.bay.toml:1\n  slots: 3 -> 4\n"},
		{strings.Replace(keys, ":0", ":1", 1), "slots = 3\n", 0, "  keys: [\"sha256:01234567…\"] -> [\"sha256:11234567…\"]\n"},
		{keys, "slots = 4\nslot = 3\n", 1, "DIR/s.bay.toml:5: error: unknown key \"service.slot\" (document)\n"},
		{"keys = [\"secret\"]\n", "slots = 3\n", 1, "DIR/a.bay.toml:3: error: keys: entry 1 is not"},
		{keys + "services = [\"x\"]\n", "slots = 3\n", 1, "DIR/a.bay.toml:4: error: services: \"x\" is not published (document)\n" +
			"DIR/s.bay.toml:2: unreachable: name: no account may call service \"desk\" (unused)\n"},
	} {
		next := tree(tc.account, tc.service)
		out := strings.ReplaceAll(assertCheck(t, tc.code, "--against", current, next), next, "DIR")
		assert.Assert(t, strings.Contains(out, tc.want), out)
		assert.Assert(t, !strings.Contains(out, "89abcdef"), out)
	}
	assert.NilError(t, os.Remove(filepath.Join(current, "s.bay.toml")))
	out := assertCheck(t, 0, "--against", current, tree(keys, "slots = 3\n"))
	assert.Assert(t, strings.Contains(out, "added service \"desk\""), out)
	next := tree(keys, "")
	assert.NilError(t, os.WriteFile(filepath.Join(next, sourceFile), []byte("sauce = \"x\"\n"), 0o600))
	assert.Assert(t, strings.Contains(assertCheck(t, 1, "--against", current, next), sourceFile+":1: error: "))
}
