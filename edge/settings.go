// Package edge assembles an entry process that runs on the users' platform: it
// follows the platform's store, answers callers, exchanges heartbeats with the
// other entry processes, and places layers while it holds the lease.
package edge

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the settings file of an entry process on the platform. It is
// filled in from a template, so that durations have the units of the platform's
// bounds.
type Settings struct {
	Name      string `toml:"name"`
	Domain    string `toml:"domain"` // failure domain
	Region    string `toml:"region"`
	Address   string `toml:"address"` // IP
	Bootstrap bool   `toml:"first"`   // the whole system starts for the first time

	Listen Listen `toml:"listen"`
	Store  Store  `toml:"store"`
	Bounds Bounds `toml:"bounds"`
	Limits Limits `toml:"limits"`
	Log    Log    `toml:"log"`
}

// Listen holds addresses, IP:PORT.
type Listen struct {
	Callers    string `toml:"callers"`
	Ready      string `toml:"ready"`     // of the platform's checks
	Directory  string `toml:"directory"` // of callers that ask for addresses
	Heartbeats string `toml:"beats"`     // of heartbeats, UDP, and of processes that start, TCP
	Metrics    string `toml:"metrics"`
}

// Store tells where the platform's store is.
type Store struct {
	Address  string `toml:"address"`
	RowBytes int    `toml:"rowbytes"`
}

// Bounds holds the platform's bounds that decisions depend on.
type Bounds struct {
	Stable        int64   `toml:"stable"` // ms without disruption after which a VM counts as in touch
	Drain         int64   `toml:"drain"`  // ms after which a leaving backend server gets no new request
	Grace         float64 `toml:"grace"`  // s from SIGTERM to SIGKILL
	KeyRevocation int64   `toml:"revoke"` // ms after which a key that was taken away must be refused
	AddressTTL    float64 `toml:"ttl"`    // s that callers keep addresses at most
	RetryRatio    float64 `toml:"ratio"`  // repeats for each request
	RetrySlack    float64 `toml:"slack"`  // repeats in a window beside these
	RetryWindow   float64 `toml:"window"` // s
}

// Limits holds the sizes of the VM.
type Limits struct {
	Memory   int64   `toml:"memory"` // MB
	CPUShare float64 `toml:"share"`  // of a core
	Cores    float64 `toml:"cores"`
}

// Log holds the levels of logs.
type Log struct {
	Level string            `toml:"level"`
	Parts map[string]string `toml:"parts"`
}

// ReadSettings reads and checks a settings file.
func ReadSettings(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := ParseSettings(raw)
	if err != nil {
		return s, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// ParseSettings decodes and checks settings. Unknown keys are errors.
func ParseSettings(raw []byte) (Settings, error) {
	var s Settings
	d := toml.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return s, fmt.Errorf("unknown keys:\n%s", strict.String())
		}
		return s, err
	}
	return s, s.check()
}

func (s Settings) check() error {
	var all []error
	if s.Name == "" {
		all = append(all, errors.New("name is empty"))
	}
	if s.Domain == "" {
		all = append(all, errors.New("domain is empty"))
	}
	for _, x := range []struct{ key, address string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.ready", s.Listen.Ready},
		{"listen.directory", s.Listen.Directory},
		{"listen.beats", s.Listen.Heartbeats},
		{"store.address", s.Store.Address},
	} {
		if _, _, err := net.SplitHostPort(x.address); err != nil {
			all = append(all, fmt.Errorf("%s: %q is not IP:PORT", x.key, x.address))
		}
	}
	for _, x := range []struct {
		key   string
		value float64
	}{
		{"bounds.grace", s.Bounds.Grace},
		{"bounds.revoke", float64(s.Bounds.KeyRevocation)},
		{"bounds.ttl", s.Bounds.AddressTTL},
		{"bounds.window", s.Bounds.RetryWindow},
		{"limits.memory", float64(s.Limits.Memory)},
	} {
		if x.value <= 0 {
			all = append(all, fmt.Errorf("%s must be positive", x.key))
		}
	}
	return errors.Join(all...)
}

// grace returns the time from SIGTERM to SIGKILL.
func (s Settings) grace() time.Duration {
	return time.Duration(s.Bounds.Grace * float64(time.Second))
}
