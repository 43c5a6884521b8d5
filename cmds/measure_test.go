package cmds_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/admin"
	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/plat"
	"github.com/cranberrybay/cranberrybay/spec"
)

var measure = flag.Bool("measure", false, "run the measurements of docs/CAPACITY.md")

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (m countingListener) Accept() (net.Conn, error) {
	c, err := m.Listener.Accept()
	return countingConn{c, m.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// serveCounted serves h on a loopback port and adds the transferred bytes to a
// counter.
func (c *cluster) serveCounted(h http.Handler, bytes *atomic.Int64) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(c.t, err)
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(countingListener{l, bytes}) }()
	c.t.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}

// processorTime returns the user and system time that a process has used.
func processorTime(t *testing.T, pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	assert.NilError(t, err)
	f := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * 10 * time.Millisecond // USER_HZ is 100
}

// memoryBytes returns a memory field of /proc/PID/status in bytes: VmRSS is the
// resident memory, RssAnon the part that is not mapped from a file.
func memoryBytes(t *testing.T, pid int, field string) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err)
	m := regexp.MustCompile(field + `:\s+(\d+) kB`).FindSubmatch(text)
	n, _ := strconv.Atoi(string(m[1]))
	return n << 10
}

// sumMetrics returns the sum of the metrics of a process whose names match the
// pattern.
func (c *cluster) sumMetrics(p *process, pattern string) float64 {
	rq, err := http.NewRequest("GET", "http://"+p.admin+"/metrics", nil)
	assert.NilError(c.t, err)
	rq.Header.Set("Authorization", "Bearer "+processToken)
	rs, err := client.Do(rq)
	assert.NilError(c.t, err)
	defer rs.Body.Close()
	text, err := io.ReadAll(rs.Body)
	assert.NilError(c.t, err)
	sum := 0.0
	for _, m := range regexp.MustCompile(`(?m)^`+pattern+` (\S+)$`).FindAllStringSubmatch(string(text), -1) {
		v, _ := strconv.ParseFloat(m[len(m)-1], 64)
		sum += v
	}
	return sum
}

// TestMeasureControl measures the processor time, memory and traffic of idle
// entry processes. It asserts no figures and runs only with -measure.
func TestMeasureControl(t *testing.T) {
	if !*measure {
		t.Skip("run with -args -measure")
	}
	for _, r := range []struct{ processes, workers, accounts int }{
		{8, 43, 10}, {24, 43, 10}, {8, 96, 10}, {8, 400, 10}, {2, 4000, 10}, {8, 43, 10000},
	} {
		t.Run(fmt.Sprintf("%d processes, %d workers, %d accounts", r.processes, r.workers, r.accounts), func(t *testing.T) {
			measureControl(t, r.processes, r.workers, r.accounts)
		})
	}
}

func measureControl(t *testing.T, processes, workers, accounts int) {
	dir := t.TempDir()
	c := &cluster{
		processSession: &processSession{t: t, dir: dir, program: filepath.Join(dir, "cranberrybay")},
		seeds:          map[string]string{}, members: map[string]*process{},
	}
	out, err := exec.Command("go", "build", "-o", c.program, "../cmd/cranberrybay").CombinedOutput()
	assert.NilError(t, err, string(out))
	c.authority, err = fakes.NewAuthority()
	assert.NilError(t, err)
	var platform, polls atomic.Int64
	fakePlatform := fakes.NewPlatform()
	c.platform = c.serveCounted(fakePlatform.Handler(), &platform)
	for i := range workers {
		first := i % 4 * 8
		h := fakes.NewEngine(fakes.EngineConfig{Kind: "a", Model: "lights", Version: "1", First: first, Last: first + 8}).Handler()
		fakePlatform.SetVM(plat.VM{Name: fmt.Sprintf("engine-%d", i), Address: c.serveCounted(h, &polls), Domain: "thamel", Service: "assistant"})
	}
	for i := range processes {
		c.seeds[fmt.Sprintf("entry-%d", i)] = freeAddress(t)
	}
	for name := range c.seeds {
		c.startMember(name)
	}
	c.waitFor("an entry process listens", func() bool {
		for _, p := range c.members {
			if conn, err := net.Dial("tcp", p.admin); err != nil {
				return false
			} else if err := conn.Close(); err != nil {
				return false
			}
		}
		return true
	})
	c.publishAccounts(accounts)
	time.Sleep(25 * time.Second) // the measurement includes pings of the first two minutes of a member
	type sample struct {
		cpu  time.Duration
		wire float64
	}
	before := map[string]sample{}
	platformBefore, pollsBefore, begin := platform.Load(), polls.Load(), time.Now()
	for n, m := range c.members {
		before[n] = sample{processorTime(t, m.cmd.Process.Pid), c.sumMetrics(m, `cranberrybay_peer_wire_bytes\{way="\w+"\}`)}
	}
	countsBefore := fakePlatform.Table().Counts()
	time.Sleep(20 * time.Second)
	after, took := fakePlatform.Table().Counts(), time.Since(begin).Seconds()
	var cpu time.Duration
	var wire float64
	memory, maxMemory, anon := 0, 0, 0
	for n, m := range c.members {
		cpu += processorTime(t, m.cmd.Process.Pid) - before[n].cpu
		wire += c.sumMetrics(m, `cranberrybay_peer_wire_bytes\{way="\w+"\}`) - before[n].wire
		r := memoryBytes(t, m.cmd.Process.Pid, "VmRSS")
		memory, maxMemory = memory+r, max(maxMemory, r)
		anon += memoryBytes(t, m.cmd.Process.Pid, "RssAnon")
	}
	count := float64(processes)
	t.Logf("each process: processor %.1f ms/s, resident %.1f MB (most %.1f, without the program file %.1f), peers %.0f B/s, polls %.0f B/s, platform %.0f B/s; table in all %.1f reads/s, %.1f writes/s",
		float64(cpu.Milliseconds())/count/took, float64(memory)/count/1e6, float64(maxMemory)/1e6, float64(anon)/count/1e6, wire/count/took,
		float64(polls.Load()-pollsBefore)/count/took, float64(platform.Load()-platformBefore)/count/took,
		float64(after.Reads-countsBefore.Reads)/took, float64(after.Writes-countsBefore.Writes)/took)
}

// publishAccounts publishes one model service and the given number of client
// accounts.
func (c *cluster) publishAccounts(accounts int) {
	pub := admin.Publication{Author: "measure", Files: []change.File{
		{Path: "s" + spec.Suffix, Text: "[service]\nname = \"assistant\"\nkind = \"model\"\nmodel = \"lights\"\nlayers = 32\n"},
	}}
	for i := range accounts {
		pub.Files = append(pub.Files, change.File{Path: fmt.Sprint("a", i, spec.Suffix), Text: fmt.Sprintf(
			"[account]\nname = \"account-%d\"\nkeys = [%q]\nservices = [\"assistant\"]\nrate = 20\ninflight = 50\n", i, spec.HashKey(fmt.Sprint("key", i)))})
	}
	body, err := json.Marshal(pub)
	assert.NilError(c.t, err)
	rq, err := http.NewRequest("POST", "http://"+c.members["entry-0"].admin+"/publish", bytes.NewReader(body))
	assert.NilError(c.t, err)
	rq.Header.Set("Authorization", "Bearer "+processToken)
	rs, err := client.Do(rq)
	assert.NilError(c.t, err)
	text, _ := io.ReadAll(rs.Body)
	assert.NilError(c.t, rs.Body.Close())
	assert.Equal(c.t, rs.StatusCode, 200, string(text))
}
