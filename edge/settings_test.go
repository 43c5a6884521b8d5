package edge

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validSettings = `name = "front-1"
domain = "thamel"
region = "bagmati"
address = "10.1.0.40"
[listen]
callers = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
directory = "10.1.0.40:8224"
beats = "10.1.0.40:7340"
[store]
address = "10.200.1.7:8223"
[bounds]
grace = 8
revoke = 5000
ttl = 5
ratio = 0.2
slack = 200
window = 10
[limits]
memory = 284
`

// checkSettings checks that settings are accepted, or rejected with a problem.
func checkSettings(t *testing.T, text, problem string) {
	t.Helper()
	_, err := ParseSettings([]byte(text))
	if problem == "" {
		assert.NilError(t, err)
		return
	}
	assert.ErrorContains(t, err, problem)
}

// Settings with which a process can't work must be rejected at the start.
func TestParseSettings(t *testing.T) {
	checkSettings(t, validSettings, "")
	checkSettings(t, strings.Replace(validSettings, `name = "front-1"`, "", 1), "name is empty")
	checkSettings(t, strings.Replace(validSettings, `"10.200.1.7:8223"`, `"store"`, 1), "store.address")
	checkSettings(t, strings.Replace(validSettings, "grace = 8", "grace = 0", 1), "bounds.grace")
	checkSettings(t, strings.Replace(validSettings, "memory = 284", "memory = 0", 1), "limits.memory")
	checkSettings(t, validSettings+"[other]\nkey = 1\n", "unknown keys")
	checkSettings(t, "name = ", "expected")
}

// The settings template of the deployment must have only keys that the settings have.
func TestTemplateKeys(t *testing.T) {
	raw, err := os.ReadFile("../deploy/settings.toml")
	assert.NilError(t, err)
	text := ""
	for line := range strings.Lines(string(raw)) {
		key, value, ok := strings.Cut(line, " = ")
		switch {
		case !ok:
			text += line
		case strings.Contains(value, "{{ip}}:"):
			text += key + " = \"10.0.0.1:1\"\n"
		case strings.Contains(value, "listen.") || strings.Contains(value, "platform.address"):
			text += key + " = \"10.0.0.1:1\"\n"
		case strings.Contains(value, "bootstrap"):
			text += key + " = true\n"
		case strings.Contains(value, "bounds.") || strings.Contains(value, "limits.") || strings.Contains(value, "rowBytes") || strings.Contains(value, "heartbeatMs"):
			text += key + " = 1\n"
		default:
			text += key + " = \"x\"\n"
		}
	}
	checkSettings(t, text, "")
}
