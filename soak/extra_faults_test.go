package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Kinds of endless answers, for backend.failMode.
const (
	endlessHead = "endless head"
	endlessBody = "endless body"
	endlessDrip = "endless drip" // one byte at a time
)

const (
	// endlessWriteLimit ends an endless answer that the entry process does not close.
	endlessWriteLimit = 10 * time.Second
	// endlessBound is the time by which the entry process must have closed such an
	// answer: heads and events have a limit of 2 s, and callers wait for 4 s.
	endlessBound = callTimeoutMs*time.Millisecond + timingSlack
	dripInterval = 200 * time.Millisecond
	// memoryBound is the memory of a VM in KB: limits.memory in the settings of a process.
	memoryBound = 284 << 10
)

// sendEndless sends an endless answer until the connection is closed.
func (v *servers) sendEndless(b *backend, w http.ResponseWriter, id, kind string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	begin, unit := "HTTP/1.1 200 OK\r\n", bytes.Repeat([]byte("x-more: 1\r\n"), 400)
	switch kind {
	case endlessBody:
		begin += "X-Cranberrybay-Request-Id: " + id + "\r\nX-Cranberrybay-Server-Signature: desk\r\n\r\n"
		unit = bytes.Repeat([]byte("x"), 4000)
	case endlessDrip:
		unit = []byte("x")
	}
	since := time.Now()
	_ = conn.SetWriteDeadline(since.Add(endlessWriteLimit))
	_, err = conn.Write([]byte(begin))
	for err == nil {
		if kind == endlessDrip {
			time.Sleep(dripInterval)
		}
		_, err = conn.Write(unit)
	}
	if took := time.Since(since); took > endlessBound {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.addViolation("%s could send an endless answer (%s) for %v", b.id, kind, took)
	}
}

// injectExtraFault injects a fault that was added after the first seeds were recorded:
// endless answers, or a kill of all entry processes at once.
func (run *soakRun) injectExtraFault() {
	switch run.extraRand.Intn(4) {
	case 0, 1:
		kind := []string{endlessHead, endlessBody, endlessDrip}[run.extraRand.Intn(3)]
		run.servers.setFailMode(run.pickServerWith(run.extraRand, []string{"llm", "desk"}[run.extraRand.Intn(2)]), kind, time.Second)
	case 2:
		if run.killedAll {
			return
		}
		run.killedAll = true
		for _, p := range run.processes {
			run.runAsync(func() { run.restart(p, syscall.SIGKILL) })
		}
	}
}

// sendForgedDatagrams sends datagrams to the heartbeat ports that no entry process
// sent: random ones, and ones that start like a sealed message.
func (run *soakRun) sendForgedDatagrams(ctx context.Context, r *rand.Rand) {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		run.callers.addViolation("forge: %v", err)
		return
	}
	defer func() { _ = conn.Close() }()
	for ctx.Err() == nil {
		b := make([]byte, r.Intn(1500))
		_, _ = r.Read(b)
		if len(b) > 8 && r.Intn(2) == 0 {
			clear(b[:8])
		}
		if to, err := net.ResolveUDPAddr("udp4", run.processes[r.Intn(len(run.processes))].heartbeatAddress); err == nil {
			_, _ = conn.WriteTo(b, to) // fails while the process is down
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// checkMemory records a violation for each process that used more memory than its VM
// has.
func (run *soakRun) checkMemory() {
	for _, p := range run.processes {
		if kb, ok := p.peakMemoryKB(); ok && kb > memoryBound {
			run.callers.addViolation("%s had %d KB of memory, its VM has %d", p.name, kb, memoryBound)
		}
	}
}

// peakMemoryKB returns the peak resident memory of the process in KB. It returns false
// if the process has exited.
func (p *process) peakMemoryKB() (int, bool) {
	p.mu.Lock()
	id := p.cmd.Process.Pid
	p.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return 0, false // the process has exited
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb, err == nil
		}
	}
	return 0, false
}

// TestEndlessAnswerCheckFails guards against a check of endless answers that can't
// fail: it reads nothing and keeps the connection open longer than endlessBound.
func TestEndlessAnswerCheckFails(t *testing.T) {
	v := newServers(t, newStore(t))
	b := v.start("a", "east", "desk")
	v.mu.Lock()
	b.failMode = endlessDrip
	v.mu.Unlock()
	conn, err := net.Dial("tcp", b.address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("POST /desk/ HTTP/1.1\r\nHost: h\r\nX-Cranberrybay-Target-Instance: a\r\nX-Cranberrybay-Tenant: shop\r\nX-Cranberrybay-Deadline-Ms: 10\r\nX-Cranberrybay-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"))
	assert.NilError(t, err)
	time.Sleep(endlessBound + time.Second)
	_ = conn.Close()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		v.mu.Lock()
		n := len(v.violations)
		v.mu.Unlock()
		if n > 0 {
			break
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	checkViolation(t, v.violations, "endless answer")
}
