// Package logs creates the structured loggers of a process and evaluates its
// logs.
//
// Each component has a logger with a level of its own; its name is the field
// "part" of every line and the key of its level in the settings. AsyncWriter
// keeps a slow log output from blocking requests, and Sampler limits the lines
// about served requests. Explain and Summary read logs back.
package logs

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// Components lists the names of all components that log, in the order of the
// module table of docs/design.md.
var Components = []string{"change", "lease", "member", "peer", "guard", "fleet", "stream", "claim", "proxy", "limit", "queue", "place", "entry", "admin", "node", "watch", "server", "relay", "spread", "beat", "intake", "pacer", "poison", "edge"}

// Config holds the output and the levels of the loggers.
type Config struct {
	Out    io.Writer
	Node   string            // name of the process on every line
	Level  string            // level of components that are not in Levels; "" means info
	Levels map[string]string // level by component: debug, info, warn, error or off
}

// Factory creates the loggers of the components.
type Factory struct {
	base   zerolog.Logger
	client zerolog.Logger // of the lines that clients cause
	lines  *clientWriter  // the output of client
	level  zerolog.Level
	levels map[string]zerolog.Level
}

func init() {
	zerolog.TimeFieldFormat = timeFormat
	zerolog.TimestampFunc = func() time.Time { return time.Now().UTC() }
}

// New returns a factory. It returns an error for an unknown component or level.
func New(cfg Config) (*Factory, error) {
	f := &Factory{lines: newClientWriter(cfg.Out), levels: map[string]zerolog.Level{}}
	withNode := func(out io.Writer) zerolog.Logger {
		return zerolog.New(out).With().Timestamp().Str("node", cfg.Node).Logger()
	}
	f.base, f.client = withNode(cfg.Out), withNode(f.lines)
	level, err := parseLevel(cfg.Level)
	if err != nil {
		return nil, err
	}
	f.level = level
	for component, text := range cfg.Levels {
		if !slices.Contains(Components, component) {
			return nil, fmt.Errorf("log part %q does not exist, want one of %s", component, strings.Join(Components, ", "))
		}
		if f.levels[component], err = parseLevel(text); err != nil {
			return nil, fmt.Errorf("log part %q: %w", component, err)
		}
	}
	return f, nil
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

// Logger returns the logger of a component.
func (f *Factory) Logger(component string) zerolog.Logger { return f.logger(f.base, component) }

// ClientLogger returns the logger of a component for lines of which clients cause as many as they like, such as those
// about requests. All of a process together are bounded to 256 KB a second.
func (f *Factory) ClientLogger(component string) zerolog.Logger { return f.logger(f.client, component) }

func (f *Factory) logger(base zerolog.Logger, component string) zerolog.Logger {
	level, ok := f.levels[component]
	if !ok {
		level = f.level
	}
	return base.Level(level).With().Str("part", component).Logger()
}

// Unlogged returns the number of lines of all ClientLoggers that were left out.
func (f *Factory) Unlogged() uint64 { return f.lines.total() }
