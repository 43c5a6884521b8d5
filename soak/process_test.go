package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// process is an entry process as a process of the operating system.
type process struct {
	name, zone, callers, ready, directory, beats, settings string
	binary, log                                            string

	restarting sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	end chan struct{} // closed when cmd has ended
}

// build builds the program and returns its path.
func build(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "cranberrybay")
	out, err := exec.Command("go", "build", "-o", path, "../cmd/cranberrybay").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return path
}

// reserve returns a free loopback address.
func reserve(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func newProcess(t *testing.T, binary, dir string, n int, zone, store string) *process {
	t.Helper()
	p := &process{
		name: fmt.Sprintf("n%d", n), zone: zone, binary: binary, log: filepath.Join(dir, fmt.Sprintf("n%d.log", n)),
		callers: reserve(t), ready: reserve(t), directory: reserve(t), beats: reserve(t), settings: filepath.Join(dir, fmt.Sprintf("n%d.toml", n)),
	}
	text := fmt.Sprintf("name = %q\ndomain = %q\n[listen]\ncallers = %q\nready = %q\ndirectory = %q\nbeats = %q\n[store]\naddress = %q\n"+
		"[bounds]\ngrace = 8\nrevoke = 5000\nttl = 5\nratio = 0.2\nslack = 200\nwindow = 10\n[limits]\nmemory = 284\nshare = 0.4\ncores = 1\n", p.name, zone, p.callers, p.ready, p.directory, p.beats, store)
	assert.NilError(t, os.WriteFile(p.settings, []byte(text), 0o600))
	return p
}

func (p *process) start(t *testing.T) {
	t.Helper()
	f, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(t, err)
	cmd := exec.Command(p.binary, "entry", "--config", p.settings)
	cmd.Stdout, cmd.Stderr = f, f
	assert.NilError(t, cmd.Start())
	end := make(chan struct{})
	go func() { _ = cmd.Wait(); _ = f.Close(); close(end) }()
	p.mu.Lock()
	p.cmd, p.end = cmd, end
	p.mu.Unlock()
}

// signal sends a signal to the process that this run started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// wait waits for the end and reports whether it came in time.
func (p *process) wait(d time.Duration) bool {
	p.mu.Lock()
	end := p.end
	p.mu.Unlock()
	select {
	case <-end:
		return true
	case <-time.After(d):
		return false
	}
}
