package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// process runs an entry process as an operating system process.
type process struct {
	name, zone, callerAddress, readyAddress, directoryAddress, heartbeatAddress, metricsAddress, settingsPath string
	binary, logPath                                                                                           string

	restarting sync.Mutex // serialises restarts
	onOwnEnd   func()     // called when the process ends without a signal

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed when cmd has exited
	// disturbedAt is the time of the last start or signal.
	disturbedAt time.Time
	breaks      []time.Time // starts, ends and signals other than SIGTERM
	stopAt      time.Time   // when the last SIGTERM was sent; zero if the process was started since
	ending      bool        // SIGTERM or SIGKILL was sent to cmd
}

// gracePeriod is the time from SIGTERM in which a process must end.
const gracePeriod = 8 * time.Second

// excuses reports whether an answer of the process may have ended early between two times because it was
// killed, paused or started, or because its grace period was nearly over.
func (p *process) excuses(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopAt.IsZero() && to.After(p.stopAt.Add(gracePeriod*5/6)) {
		return true
	}
	return slices.ContainsFunc(p.breaks, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// stopping reports whether the process was told to stop and not started since.
func (p *process) stopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stopAt.IsZero()
}

// build builds cranberrybay and returns the path of the binary.
func build() (string, error) {
	path := filepath.Join(buildFolder, "cranberrybay")
	if out, err := exec.Command("go", "build", "-o", path, "../cmd/cranberrybay").CombinedOutput(); err != nil {
		return "", fmt.Errorf("build cranberrybay: %w: %s", err, out)
	}
	return path, nil
}

const (
	// firstPort and portCount are the ports of entry processes. They lie below those that the kernel
	// gives to outgoing connections: one of these may take a port between two starts of a process.
	firstPort = 12000
	portCount = 18000
)

// nextPort counts the ports that were tried. It begins at another one in each run of the test.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 97) }

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		if ln, err := net.Listen("tcp", address); err == nil {
			assert.NilError(t, ln.Close())
			return address
		}
	}
	t.Fatal("no port is free")
	return ""
}

// newProcess writes the settings of an entry process, which start starts.
func newProcess(t *testing.T, binary, dir string, n int, zone, store string) *process {
	t.Helper()
	p := &process{
		name: fmt.Sprintf("n%d", n), zone: zone, binary: binary, logPath: filepath.Join(dir, fmt.Sprintf("n%d.log", n)),
		callerAddress: freeAddress(t), readyAddress: freeAddress(t), directoryAddress: freeAddress(t), heartbeatAddress: freeAddress(t), settingsPath: filepath.Join(dir, fmt.Sprintf("n%d.toml", n)),
	}
	text := fmt.Sprintf("name = %q\ndomain = %q\n[listen]\ncallers = %q\nready = %q\ndirectory = %q\nbeats = %q\n[store]\naddress = %q\n"+
		"[bounds]\ngrace = %d\nrevoke = 5000\nttl = 5\nratio = 0.2\nslack = 200\nwindow = 10\n[limits]\nmemory = 284\nshare = 0.4\ncores = 1\n", p.name, zone, p.callerAddress, p.readyAddress, p.directoryAddress, p.heartbeatAddress, store, int(gracePeriod.Seconds()))
	assert.NilError(t, os.WriteFile(p.settingsPath, []byte(text), 0o600))
	return p
}

// start starts the process and appends its output to its log.
func (p *process) start(t *testing.T) {
	t.Helper()
	f, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(t, err)
	cmd := exec.Command(p.binary, "entry", "--config", p.settingsPath)
	cmd.Stdout, cmd.Stderr = f, f
	assert.NilError(t, cmd.Start())
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done, p.disturbedAt, p.ending, p.stopAt = cmd, done, time.Now(), false, time.Time{}
	p.breaks = append(p.breaks, p.disturbedAt)
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = f.Close()
		p.mu.Lock()
		ending := p.ending
		p.breaks = append(p.breaks, time.Now())
		p.mu.Unlock()
		if !ending {
			p.onOwnEnd()
		}
		close(done)
	}()
}

// signal sends a signal to the process that start started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbedAt = time.Now()
	if s == syscall.SIGTERM {
		p.stopAt = p.disturbedAt
	} else {
		p.breaks = append(p.breaks, p.disturbedAt)
	}
	p.ending = p.ending || s == syscall.SIGTERM || s == syscall.SIGKILL
	_ = p.cmd.Process.Signal(s) // the process may have exited
}

// wait waits up to d for the process to exit and reports whether it did.
func (p *process) wait(d time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(d):
		return false
	}
}
