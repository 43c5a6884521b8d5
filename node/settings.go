// Package node holds the settings of an entry process and assembles its parts.
package node

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/cranberrybay/cranberrybay/heads"
	"github.com/cranberrybay/cranberrybay/logs"
	"github.com/cranberrybay/cranberrybay/peer"
	"github.com/cranberrybay/cranberrybay/spec"
)

// Settings holds the contents of a settings file.
type Settings struct {
	Name     string           `toml:"name"`   // name of the entry VM, unique in the system
	Domain   string           `toml:"domain"` // failure domain
	Region   string           `toml:"region"`
	Memory   int64            `toml:"memory"`  // of the VM, in MiB; 0 for defaultMemory
	Heads    int64            `toml:"heads"`   // memory for the heads of requests, in MiB; 0 for a tenth of Memory, at least 10
	Conns    int              `toml:"conns"`   // connections of clients; 0 for as many as Memory and the limit on descriptors allow
	Sockets  int64            `toml:"sockets"` // memory that the kernel may hold for sockets, in MiB; 0 for a fifth of Memory
	Claims   int64            `toml:"claims"`  // memory for used tickets and their outcomes, in MiB; 0 for a tenth of Memory
	Token    string           `toml:"token"`   // hash of the operators' credential, "sha256:..."
	Listen   ListenSettings   `toml:"listen"`
	Platform PlatformSettings `toml:"platform"`
	Peer     PeerSettings     `toml:"peer"` // other entry processes
	Log      LogSettings      `toml:"log"`
}

// LogSettings holds the log levels: debug, info, warn, error or off.
type LogSettings struct {
	Level string            `toml:"level"` // of the components that Parts does not name; "" means info
	Parts map[string]string `toml:"parts"` // level by component, see logs.Components
}

// ListenSettings holds the addresses to listen on, as IP:port.
type ListenSettings struct {
	Callers string `toml:"callers"`
	Admin   string `toml:"admin"`
	// Linger is how long a draining process keeps its listener open for callers
	// with an old address list. Its refusals tell them the other addresses; once
	// the listener is closed, their connections fail.
	Linger spec.Duration `toml:"linger"`
	// Stop bounds a planned stop; 0 for stopTimeout. Requests that are still in flight
	// shortly before get a final answer. It must be shorter than the time after which a
	// supervisor kills the process.
	Stop spec.Duration `toml:"stop"`
}

var tokenPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)

// defaultMemory is the memory of the smallest entry VMs, in MiB.
const defaultMemory = 184

// MemoryMB returns the memory of the VM in MiB.
func (s Settings) MemoryMB() int64 {
	if s.Memory == 0 {
		return defaultMemory
	}
	return s.Memory
}

// headLimits returns the limits on the heads of requests and the connections of clients.
func (s Settings) headLimits() heads.Limits {
	return heads.Limits{MemoryMB: s.MemoryMB(), HeadsMB: s.Heads, Conns: s.Conns, SocketsMB: s.Sockets}
}

// claimMB returns the memory for used tickets and their outcomes in MiB.
func (s Settings) claimMB() int64 {
	if s.Claims > 0 {
		return s.Claims
	}
	return max(s.MemoryMB()/10, 1)
}

// SocketBytes returns the memory that the kernel may hold for sockets.
func (s Settings) SocketBytes() int64 { return s.headLimits().SocketBytes() }

// defaultLinger is long enough for most callers with a cached address list to
// send one more request.
const defaultLinger = 5 * time.Second

// PlatformSettings holds the address of the platform.
type PlatformSettings struct {
	Address string `toml:"address"` // IP:port
}

// minStop is the least bound of a planned stop. It leaves as much time for requests
// in flight as for their final answers.
const minStop = 2 * endReserve

// stopLimit returns the bound of a planned stop.
func (s Settings) stopLimit() time.Duration {
	if s.Listen.Stop.Duration == 0 {
		return stopTimeout
	}
	return s.Listen.Stop.Duration
}

// ReadSettings reads and checks a settings file. Errors name the file, the key,
// the value and the allowed values.
func ReadSettings(path string) (Settings, error) {
	s := Settings{Listen: ListenSettings{Linger: spec.Duration{Duration: defaultLinger}}}
	text, err := os.ReadFile(path)
	if err != nil {
		return s, fmt.Errorf("read settings: %w", err)
	}
	dec := toml.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		var se *toml.StrictMissingError
		if errors.As(err, &se) {
			row, _ := se.Errors[0].Position()
			return s, fmt.Errorf("%s:%d: unknown key %q", path, row, strings.Join(se.Errors[0].Key(), "."))
		}
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, _ := de.Position()
			return s, fmt.Errorf("%s:%d: %w", path, row, err)
		}
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, s.Check(path)
}

// Check returns all errors of the settings, joined. The messages name path as the
// settings file.
func (s Settings) Check(path string) error {
	var all []error
	add := func(key, value, want string) {
		all = append(all, fmt.Errorf("%s: %s is %q, want %s", path, key, value, want))
	}
	for _, f := range []struct{ key, value string }{{"name", s.Name}, {"domain", s.Domain}, {"region", s.Region}} {
		if f.value == "" {
			add(f.key, f.value, "a name")
		}
	}
	if s.Memory < 0 {
		add("memory", strconv.FormatInt(s.Memory, 10), "a number of MiB")
	}
	if s.Claims < 0 {
		add("claims", strconv.FormatInt(s.Claims, 10), "a number of MiB")
	}
	if err := s.headLimits().Check(); err != nil {
		all = append(all, fmt.Errorf("%s: %w", path, err))
	}
	if !tokenPattern.MatchString(s.Token) {
		// The message leaves out the value: it may be the credential itself.
		all = append(all, fmt.Errorf("%s: token is not \"sha256:\" followed by 64 lower-case hex digits", path))
	}
	limit := s.stopLimit()
	if limit < minStop || limit > stopTimeout {
		add("listen.stop", s.Listen.Stop.String(), "a duration from "+minStop.String()+" to "+stopTimeout.String())
	}
	if s.Listen.Linger.Duration < 0 || s.Listen.Linger.Duration > limit/2 {
		add("listen.linger", s.Listen.Linger.String(), "a duration from 0s to "+(limit/2).String())
	}
	for _, f := range []struct{ key, value string }{
		{"listen.callers", s.Listen.Callers}, {"listen.admin", s.Listen.Admin}, {"platform.address", s.Platform.Address},
	} {
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			add(f.key, f.value, "IP:port")
		}
	}
	if _, err := logs.New(logs.Config{Level: s.Log.Level, Levels: s.Log.Parts}); err != nil {
		all = append(all, fmt.Errorf("%s: log: %w", path, err))
	}
	all = append(all, s.checkPeer(path, add)...)
	return errors.Join(all...)
}

// checkPeer checks the peer settings of a process that has peers.
func (s Settings) checkPeer(path string, add func(key, value, want string)) []error {
	if s.Peer.Listen == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(s.Peer.Listen); err != nil {
		add("peer.listen", s.Peer.Listen, "IP:port")
	}
	for name, address := range s.Peer.Seeds {
		if _, err := netip.ParseAddrPort(address); err != nil {
			add("peer.seeds."+name, address, "IP:port")
		}
	}
	if _, err := peer.TLSConfig([]byte(s.Peer.Authority), []byte(s.Peer.Certificate), []byte(s.Peer.Key)); err != nil {
		return []error{fmt.Errorf("%s: peer: %w", path, err)}
	}
	return nil
}
