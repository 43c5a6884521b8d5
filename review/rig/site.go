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
	out, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	e := &entry{name: name, callers: a[0], ready: a[1], ended: make(chan struct{})}
	e.cmd = exec.Command(s.program, "entry", "--config", file)
	e.cmd.Stdout, e.cmd.Stderr = out, out
	if err := e.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = e.cmd.Wait()
		close(e.ended)
	}()
	s.entries = append(s.entries, e)
	s.log.add("entry process %s started", name)
	return e, nil
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
