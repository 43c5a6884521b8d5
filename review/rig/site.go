package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// site is a small deployment: a store, workers and entry processes on loopback addresses.
type site struct {
	program, dir string
	log          *record
	store        *store
	entries      []*entry
	workers      []*worker
	addresses    map[string]bool // given to processes
}

func newSite(program, dir string) (*site, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	return &site{program: program, dir: dir, log: &record{start: time.Now()}, store: st, addresses: map[string]bool{}}, nil
}

// close ends all processes that were started.
func (s *site) close() {
	for _, e := range s.entries {
		e.kill()
	}
	for _, w := range s.workers {
		w.end()
	}
	_ = s.store.ln.Close()
}

// entry is an entry process.
type entry struct {
	name, callers, ready string
	file                 string // of its settings
	cmd                  *exec.Cmd
	ended                chan struct{}
}

// settings are those of the deploy file's template, with the bounds of the neonsabha sheet.
const settings = `name = %q
domain = %q
region = "bagmati"
address = "127.0.0.1"
first = true

[listen]
callers = %q
ready = %q
directory = %q
beats = %q
metrics = %q

[store]
address = %q
rowbytes = 65536

[bounds]
stable = 3000
drain = 2000
grace = 8
revoke = 5000
ttl = 5
ratio = 0.2
slack = 200
window = 10
heartbeat = 1200

[limits]
memory = 284
share = 0.4
cores = 1
`

// freeAddress returns an address with a port that is free for TCP and UDP and was not given away before.
func (s *site) freeAddress() (string, error) {
	for range 50 {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		address := ln.Addr().String()
		c, err := net.ListenPacket("udp4", address)
		_ = ln.Close()
		if err == nil {
			_ = c.Close()
		}
		if err == nil && !s.addresses[address] {
			s.addresses[address] = true
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

// startEntry starts an entry process.
func (s *site) startEntry(name, zone string) (*entry, error) {
	var a [5]string
	for i := range a {
		var err error
		if a[i], err = s.freeAddress(); err != nil {
			return nil, err
		}
	}
	file := filepath.Join(s.dir, name+".toml")
	text := fmt.Sprintf(settings, name, zone, a[0], a[1], a[2], a[3], a[4], s.store.address())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	e := &entry{name: name, callers: a[0], ready: a[1], file: file}
	if err := s.run(e); err != nil {
		return nil, err
	}
	s.entries = append(s.entries, e)
	return e, nil
}

// run starts the process of an entry, also one that was killed.
func (s *site) run(e *entry) error {
	out, err := os.OpenFile(filepath.Join(s.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd, ended := exec.Command(s.program, "entry", "--config", e.file), make(chan struct{})
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	e.cmd, e.ended = cmd, ended
	s.log.add("entry process %s started", e.name)
	return nil
}

// kill ends the process.
func (e *entry) kill() {
	_ = e.cmd.Process.Kill() // it may have ended
	<-e.ended
}

// awaitReady waits until all entry processes say that they are ready.
func (s *site) awaitReady() error {
	for _, e := range s.entries {
		if !waitFor(15*time.Second, func() bool { return get("http://"+e.ready+"/-/ready") == 200 }) {
			return fmt.Errorf("%s is not ready: %s", e.name, s.tail(e))
		}
	}
	return nil
}

// tail returns the last lines that a process wrote.
func (s *site) tail(e *entry) string {
	raw, _ := os.ReadFile(filepath.Join(s.dir, e.name+".log"))
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return strings.Join(lines[max(len(lines)-5, 0):], "\n")
}

// quote adds the log lines of a process about changes of a worker to the record. part is in each of them.
func (s *site) quote(e *entry, part string) {
	raw, _ := os.ReadFile(filepath.Join(s.dir, e.name+".log"))
	for line := range strings.Lines(string(raw)) {
		if strings.Contains(line, part) && strings.Contains(line, "backend server ") {
			s.log.add("%s logged: %s", e.name, strings.TrimSpace(line))
		}
	}
}
