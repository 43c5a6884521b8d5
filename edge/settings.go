// Package edge assembles an entry process that runs on an external platform. The
// process follows the tables of the platform's store, handles calls, exchanges
// heartbeats with the other entry processes, and places model layers on engines
// while it holds the placement lease.
package edge

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/cranberrybay/cranberrybay/heads"
)

// Settings is the settings file of an entry process on the platform. The platform
// generates it from a template, so durations are in the units in which the platform
// states its bounds.
type Settings struct {
	Name      string `toml:"name"`
	Domain    string `toml:"domain"` // failure domain
	Region    string `toml:"region"`
	Address   string `toml:"address"` // IP address of the VM
	Bootstrap bool   `toml:"first"`   // the whole system starts for the first time, so there may be no key or hub yet

	Listen Listen `toml:"listen"`
	Store  Store  `toml:"store"`
	Bounds Bounds `toml:"bounds"`
	Limits Limits `toml:"limits"`
	Log    Log    `toml:"log"`
}

// Listen holds the addresses to listen on, as IP:PORT.
type Listen struct {
	Callers    string `toml:"callers"`
	Ready      string `toml:"ready"`     // for the readiness checks of the platform
	Directory  string `toml:"directory"` // for callers that look up addresses of entry processes
	Heartbeats string `toml:"beats"`     // UDP for heartbeats, TCP for starting processes that fetch state
	Metrics    string `toml:"metrics"`
}

// Store holds the address of the platform's store and its row size.
type Store struct {
	Address  string `toml:"address"`
	RowBytes int    `toml:"rowbytes"`
}

// Bounds holds the time limits and retry limits that the platform states.
type Bounds struct {
	Stable        int64   `toml:"stable"` // ms without disruption after which a VM counts as reachable
	Drain         int64   `toml:"drain"`  // ms after which a draining backend server must get no new request
	Grace         float64 `toml:"grace"`  // s from SIGTERM to SIGKILL
	KeyRevocation int64   `toml:"revoke"` // ms after which a revoked key must be refused
	AddressTTL    float64 `toml:"ttl"`    // s, the longest time for which callers cache addresses
	RetryRatio    float64 `toml:"ratio"`  // retries for each request
	RetrySlack    float64 `toml:"slack"`  // retries in a window in addition to RetryRatio
	RetryWindow   float64 `toml:"window"` // s, the window of RetrySlack
	// Heartbeat is the time between two entries of a backend server, in ms; 0 for defaultHeartbeat.
	Heartbeat int64 `toml:"heartbeat"`
	// Pause is the longest pause of a backend server that is heeded in full, in s; 0 for the default of package
	// intake. Of a longer one at most a minute is heeded, so that a server that names hours by mistake is asked again.
	Pause float64 `toml:"pause"`
}

// Limits holds the resources of the VM that the process may use.
type Limits struct {
	Memory   int64   `toml:"memory"` // MB
	CPUShare float64 `toml:"share"`  // fraction of a core
	Cores    float64 `toml:"cores"`
	// Heads is the memory for the heads of requests, in MB; 0 for a tenth of Memory, at least 10.
	Heads int64 `toml:"heads"`
	// Conns is the number of connections that clients may open; 0 for as many as Memory and the limit on
	// descriptors allow.
	Conns int `toml:"conns"`
	// Sockets is the memory that the kernel may hold for sockets, in MB; 0 for a fifth of Memory.
	Sockets int64 `toml:"sockets"`
}

// Log holds the log levels: the default and those of single parts of the process.
type Log struct {
	Level string            `toml:"level"`
	Parts map[string]string `toml:"parts"`
}

const (
	// defaultHeartbeat is the time between two entries of a backend server, in ms.
	defaultHeartbeat = 1200
	// missedEntries is the number of missed heartbeats after which the registry drops an entry.
	missedEntries = 3
)

// entryLifetime returns the time after which the registry drops the entry of a silent server.
func (s *Settings) entryLifetime() time.Duration {
	heartbeat := s.Bounds.Heartbeat
	if heartbeat <= 0 {
		heartbeat = defaultHeartbeat
	}
	return missedEntries * time.Duration(heartbeat) * time.Millisecond
}

// headLimits returns the limits on the heads of requests and the connections of clients.
func (s *Settings) headLimits() heads.Limits {
	return heads.Limits{MemoryMB: s.Limits.Memory, HeadsMB: s.Limits.Heads, Conns: s.Limits.Conns, SocketsMB: s.Limits.Sockets}
}

// SocketBytes returns the memory that the kernel may hold for sockets.
func (s *Settings) SocketBytes() int64 { return s.headLimits().SocketBytes() }

// onLoopback reports whether callers reach this process at a loopback address only, as in tests with all
// processes on one machine.
func (s *Settings) onLoopback() bool {
	a, err := netip.ParseAddrPort(s.Listen.Callers)
	return err == nil && a.Addr().IsLoopback()
}

// ReadSettings reads and validates a settings file.
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

// ParseSettings decodes and validates settings. It rejects unknown keys.
func ParseSettings(raw []byte) (Settings, error) {
	var s Settings
	decoder := toml.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return s, fmt.Errorf("unknown keys:\n%s", strict.String())
		}
		return s, err
	}
	return s, s.validate()
}

func (s Settings) validate() error {
	var errs []error
	if s.Name == "" {
		errs = append(errs, errors.New("name is empty"))
	}
	if s.Domain == "" {
		errs = append(errs, errors.New("domain is empty"))
	}
	for _, field := range []struct{ key, address string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.ready", s.Listen.Ready},
		{"listen.directory", s.Listen.Directory},
		{"listen.beats", s.Listen.Heartbeats},
		{"store.address", s.Store.Address},
	} {
		if _, _, err := net.SplitHostPort(field.address); err != nil {
			errs = append(errs, fmt.Errorf("%s: %q is not IP:PORT", field.key, field.address))
		}
	}
	for _, field := range []struct {
		key   string
		value float64
	}{
		{"bounds.grace", s.Bounds.Grace},
		{"bounds.revoke", float64(s.Bounds.KeyRevocation)},
		{"bounds.ttl", s.Bounds.AddressTTL},
		{"bounds.window", s.Bounds.RetryWindow},
		{"limits.memory", float64(s.Limits.Memory)},
	} {
		if field.value <= 0 {
			errs = append(errs, fmt.Errorf("%s must be positive", field.key))
		}
	}
	if err := s.headLimits().Check(); err != nil {
		errs = append(errs, fmt.Errorf("limits.%w", err))
	}
	if s.Bounds.Pause < 0 {
		errs = append(errs, errors.New("bounds.pause must not be negative"))
	}
	return errors.Join(errs...)
}

// maxPause returns the longest pause of a backend server that is heeded in full; 0 for the default.
func (s Settings) maxPause() time.Duration {
	return time.Duration(s.Bounds.Pause * float64(time.Second))
}

// gracePeriod returns the time from SIGTERM to SIGKILL.
func (s Settings) gracePeriod() time.Duration {
	return time.Duration(s.Bounds.Grace * float64(time.Second))
}
