package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// loopback is the address of everything in a case.
const loopback = "127.0.0.1"

// entry is an entry process, started with the command of the deploy file.
type entry struct {
	name, callers, ready, directory, beats, logPath, settingsPath, binary string

	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

const (
	// firstPort and portCount are the ports of entry processes, below those of outgoing connections.
	firstPort = 12000
	portCount = 18000
)

var nextPort atomic.Int64

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	for range portCount {
		address := fmt.Sprintf("%s:%d", loopback, firstPort+(int64(os.Getpid())*97+nextPort.Add(1))%portCount)
		if ln, err := net.Listen("tcp", address); err == nil {
			return address, ln.Close()
		}
	}
	return "", errors.New("no port is free")
}

// bounds are the bounds of the site files under sites/.
const bounds = `[bounds]
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

// newEntry writes the settings of an entry process in the form of deploy/settings.toml.
func newEntry(dir, binary, name, zone, store string, first bool) (*entry, error) {
	e := &entry{name: name, binary: binary, logPath: filepath.Join(dir, name+".log"), settingsPath: filepath.Join(dir, name+".toml")}
	for _, address := range []*string{&e.callers, &e.ready, &e.directory, &e.beats} {
		var err error
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	text := fmt.Sprintf("name = %q\ndomain = %q\nregion = \"bagmati\"\naddress = %q\nfirst = %v\n\n[listen]\ncallers = %q\nready = %q\ndirectory = %q\nbeats = %q\n\n[store]\naddress = %q\nrowbytes = 65536\n\n",
		name, zone, loopback, first, e.callers, e.ready, e.directory, e.beats, store)
	return e, os.WriteFile(e.settingsPath, []byte(text+bounds), 0o600)
}

// start starts the process.
func (e *entry) start() error {
	f, err := os.OpenFile(e.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e.cmd = exec.Command(e.binary, "entry", "--config", e.settingsPath)
	e.cmd.Stdout, e.cmd.Stderr = f, f
	if err := e.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", e.name, err)
	}
	done := make(chan struct{})
	e.done = done
	go func() {
		_ = e.cmd.Wait()
		_ = f.Close()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (e *entry) signal(s syscall.Signal) error { return e.cmd.Process.Signal(s) }

// stop ends the process at the end of a case.
func (e *entry) stop() {
	if e.cmd == nil || e.cmd.Process == nil {
		return
	}
	_ = e.signal(syscall.SIGCONT)
	_ = e.signal(syscall.SIGKILL)
	<-e.done
}

// awaitReady waits until the process answers the platform's readiness check with 200.
func (e *entry) awaitReady(timeout time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		rs, err := client.Get("http://" + e.ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = rs.Body.Close()
		if rs.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", e.name, timeout)
}
