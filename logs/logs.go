// Package logs makes the loggers of the parts of a process. Each part has a
// fixed name, a level of its own, and a fixed prefix on every line.
package logs

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// Components lists the parts that log, in the order of the module table of
// docs/design.md.
var Components = []string{"change", "lease", "member", "peer", "fleet", "stream", "claim", "proxy", "limit", "queue", "place", "entry", "admin", "node", "watch", "server", "relay", "beat", "edge"}

// Config holds the output and the levels.
type Config struct {
	Out    io.Writer
	Node   string            // name of the process on every line
	Level  string            // level of parts without one of their own; "" means info
	Levels map[string]string // level by part: debug, info, warn, error or off
}

// Factory makes loggers.
type Factory struct {
	base   zerolog.Logger
	level  zerolog.Level
	levels map[string]zerolog.Level
}

func init() {
	zerolog.TimeFieldFormat = timeFormat
	zerolog.TimestampFunc = func() time.Time { return time.Now().UTC() }
}

// New returns a maker. It fails for an unknown part or level.
func New(cfg Config) (*Factory, error) {
	m := &Factory{base: zerolog.New(cfg.Out).With().Timestamp().Str("node", cfg.Node).Logger(), levels: map[string]zerolog.Level{}}
	level, err := parseLevel(cfg.Level)
	if err != nil {
		return nil, err
	}
	m.level = level
	for part, text := range cfg.Levels {
		if !slices.Contains(Components, part) {
			return nil, fmt.Errorf("log part %q does not exist, want one of %s", part, strings.Join(Components, ", "))
		}
		if m.levels[part], err = parseLevel(text); err != nil {
			return nil, fmt.Errorf("log part %q: %w", part, err)
		}
	}
	return m, nil
}

func parseLevel(text string) (zerolog.Level, error) {
	switch text {
	case "":
		return zerolog.InfoLevel, nil
	case "off":
		return zerolog.Disabled, nil
	case "debug", "info", "warn", "error":
		return zerolog.ParseLevel(text)
	default:
		return zerolog.NoLevel, fmt.Errorf("log level %q, want debug, info, warn, error or off", text)
	}
}

// Logger returns the logger of a part.
func (m *Factory) Logger(name string) zerolog.Logger {
	level, ok := m.levels[name]
	if !ok {
		level = m.level
	}
	return m.base.Level(level).With().Str("part", name).Logger()
}
