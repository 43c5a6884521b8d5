package logs_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/logs"
)

// TestLevels guards against a level that applies to the wrong component.
func TestLevels(t *testing.T) {
	var out bytes.Buffer
	factory, err := logs.New(logs.Config{Out: &out, Node: "entry-1", Level: "warn", Levels: map[string]string{"claim": "debug", "peer": "off"}})
	assert.NilError(t, err)
	emit := func(part string) string {
		out.Reset()
		l := factory.Logger(part)
		l.Debug().Msg("detail")
		l.Error().Msg("failure")
		return out.String()
	}
	t.Run("own level", func(t *testing.T) { assert.Equal(t, strings.Count(emit("claim"), "\n"), 2) })
	t.Run("off", func(t *testing.T) { assert.Equal(t, emit("peer"), "") })
	t.Run("default level", func(t *testing.T) {
		got := emit("queue")
		assert.Assert(t, strings.Contains(got, `"part":"queue"`) && strings.Contains(got, "failure") && !strings.Contains(got, "detail"), got)
	})
}

// TestUnknownComponentOrLevel guards against a misspelled component or level
// that is ignored.
func TestUnknownComponentOrLevel(t *testing.T) {
	for name, cfg := range map[string]logs.Config{
		"part":  {Levels: map[string]string{"clam": "debug"}},
		"level": {Level: "loud"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := logs.New(cfg)
			assert.Assert(t, err != nil)
		})
	}
}

// Guards against a part of the log that the operators' page names and the settings reject.
func TestPartsOfTheOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	_, table, ok := strings.Cut(string(page), "| part | tells |\n| --- | --- |\n")
	assert.Assert(t, ok)
	table, _, _ = strings.Cut(table, "\n\n")
	for row := range strings.Lines(table) {
		part := strings.Split(row, "`")[1]
		t.Run(part, func(t *testing.T) {
			_, err := logs.New(logs.Config{Levels: map[string]string{part: "debug"}})
			assert.NilError(t, err)
		})
	}
}
