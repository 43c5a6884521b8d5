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

// Kinds of answers without an end, for field fail of a backend server.
const (
	endlessHead = "endless head"
	endlessBody = "endless body"
	endlessDrip = "endless drip" // a byte at a time
)

const (
	// endlessTime bounds an answer without an end: the system closes it long before.
	endlessTime = 10 * time.Second
	// endlessBound is when the system must have closed such an answer: heads and events
	// have 2 s, and callers wait for 4 s.
	endlessBound = callWait*time.Millisecond + slack
	dripPause    = 200 * time.Millisecond
	// memoryBound is the memory of a VM, in KB, as in the settings of a process.
	memoryBound = 284 << 10
)

// endless answers with bytes that are no answer until the connection is closed.
func (v *servers) endless(b *backend, w http.ResponseWriter, id, kind string) {
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
	_ = conn.SetWriteDeadline(since.Add(endlessTime))
	_, err = conn.Write([]byte(begin))
	for err == nil {
		if kind == endlessDrip {
			time.Sleep(dripPause)
		}
		_, err = conn.Write(unit)
	}
	if took := time.Since(since); took > endlessBound {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.fault("%s took bytes without end (%s) for %v", b.id, kind, took)
	}
}

// wildFault adds a fault that older seeds do not have: answers without an end, or the
// end of all entry processes at once.
func (u *run) wildFault() {
	switch u.wild.Intn(4) {
	case 0, 1:
		kind := []string{endlessHead, endlessBody, endlessDrip}[u.wild.Intn(3)]
		b := u.pickBy(u.wild, []string{"llm", "desk"}[u.wild.Intn(2)])
		u.servers.mu.Lock()
		b.fail = kind
		u.servers.mu.Unlock()
		time.AfterFunc(time.Second, func() { u.servers.mu.Lock(); defer u.servers.mu.Unlock(); b.fail = "" })
	case 2:
		if u.killed {
			return
		}
		u.killed = true
		for _, p := range u.nodes {
			u.later(func() { u.restart(p, syscall.SIGKILL) })
		}
	}
}

// forge sends datagrams that no entry process sent: random ones, and ones that look
// like the beginning of a sealed message.
func (u *run) forge(ctx context.Context, r *rand.Rand) {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		u.callers.fault("forge: %v", err)
		return
	}
	defer func() { _ = conn.Close() }()
	for ctx.Err() == nil {
		b := make([]byte, r.Intn(1500))
		_, _ = r.Read(b)
		if len(b) > 8 && r.Intn(2) == 0 {
			clear(b[:8])
		}
		if to, err := net.ResolveUDPAddr("udp4", u.nodes[r.Intn(len(u.nodes))].beats); err == nil {
			_, _ = conn.WriteTo(b, to) // a process that is down takes none
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// checkMemory fails the test when a process has had more memory than its VM.
func (u *run) checkMemory() {
	for _, p := range u.nodes {
		if kb, ok := p.peak(); ok && kb > memoryBound {
			u.callers.fault("%s had %d KB of memory, its VM has %d", p.name, kb, memoryBound)
		}
	}
}

// peak returns the largest resident memory of the process in KB.
func (p *process) peak() (int, bool) {
	p.mu.Lock()
	id := p.cmd.Process.Pid
	p.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return 0, false // it has ended
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb, err == nil
		}
	}
	return 0, false
}

// Shows that the checks on answers without an end and on memory can fail.
func TestWildChecksFail(t *testing.T) {
	v := newServers(t, newStore(t))
	b := v.start("a", "east", "desk")
	v.mu.Lock()
	b.fail = endlessDrip
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
		n := len(v.broken)
		v.mu.Unlock()
		if n > 0 {
			break
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	checkBroken(t, v.broken, "without end")
}
