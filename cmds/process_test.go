package cmds_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/examples"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/spec"
)

const (
	processKey   = "demo-key" // of the account in examples/desk
	processToken = "operator"
)

// processSession runs the program in separate processes and records the answers
// that callers and operators get, for comparison with a golden file.
type processSession struct {
	t        *testing.T
	program  string
	dir      string
	platform string
	service  string
	mu       sync.Mutex
	log      strings.Builder
}

// volatilePatterns match the texts that differ between two runs.
var volatilePatterns = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f-]{27}`), "ID"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`), "TIME"},
}

func (s *processSession) record(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	for _, v := range volatilePatterns {
		text = v.pattern.ReplaceAllString(text, v.replacement)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintln(&s.log, strings.TrimRight(text, "\n"))
}

// start starts a process, which the test kills at its end if it still runs.
func (s *processSession) start(args ...string) (*exec.Cmd, io.Reader) {
	s.t.Helper()
	c := exec.Command(s.program, args...)
	// A process group of its own: the kernel sends SIGHUP to an orphaned process
	// group that has a stopped process, and tests stop processes.
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	errOut, err := os.Create(filepath.Join(s.dir, fmt.Sprintf("%s-%d.log", args[0], time.Now().UnixNano())))
	assert.NilError(s.t, err)
	c.Stderr = errOut
	out, err := c.StdoutPipe()
	assert.NilError(s.t, err)
	assert.NilError(s.t, c.Start())
	s.t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
		if s.t.Failed() {
			text, _ := os.ReadFile(errOut.Name())
			s.t.Logf("%v:\n%s", args, text)
		}
	})
	return c, out
}

// startStandin starts the command standin and returns its address.
func (s *processSession) startStandin(args ...string) string {
	s.t.Helper()
	_, out := s.start(append([]string{"standin"}, append(args, "--listen", "127.0.0.1:0")...)...)
	line, err := bufio.NewReader(out).ReadString('\n')
	assert.NilError(s.t, err)
	return strings.TrimPrefix(strings.TrimSpace(line), "listening on ")
}

func (s *processSession) putJSON(address, path string, body any) {
	s.t.Helper()
	b, err := json.Marshal(body)
	assert.NilError(s.t, err)
	rq, err := http.NewRequest("PUT", "http://"+address+path, bytes.NewReader(b))
	assert.NilError(s.t, err)
	rs, err := http.DefaultClient.Do(rq)
	assert.NilError(s.t, err)
	assert.NilError(s.t, rs.Body.Close())
	assert.Equal(s.t, rs.StatusCode, 200)
}

// process is one entry process.
type process struct {
	name, callers, admin string
	cmd                  *exec.Cmd
}

func freeAddress(t *testing.T) string {
	address, err := fakes.FreeAddress()
	assert.NilError(t, err)
	return address
}

func (s *processSession) startEntry(name string) *process {
	s.t.Helper()
	p := &process{name: name, callers: freeAddress(s.t), admin: freeAddress(s.t)}
	path := filepath.Join(s.dir, name+".toml")
	text := fmt.Sprintf("name = %q\ndomain = \"thamel\"\nregion = \"bagmati\"\ntoken = %q\n[listen]\ncallers = %q\nadmin = %q\nlinger = \"300ms\"\n[platform]\naddress = %q\n",
		name, spec.HashKey(processToken), p.callers, p.admin, s.platform)
	assert.NilError(s.t, os.WriteFile(path, []byte(text), 0o600))
	p.cmd, _ = s.start("serve", "--config", path)
	return p
}

func (s *processSession) runCommand(args ...string) string {
	s.t.Helper()
	out, err := exec.Command(s.program, args...).CombinedOutput()
	assert.NilError(s.t, err, string(out))
	return string(out)
}

// waitUntil waits for a condition that is expected to hold within a second on an
// idle machine.
func (s *processSession) waitUntil(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(20 * time.Millisecond) {
		assert.Assert(s.t, time.Now().Before(end), "waited %s: %s", waitTimeout, what)
	}
}

// runningCalls returns the number of calls that run at the plain service.
func (s *processSession) runningCalls() int {
	s.t.Helper()
	rs, err := http.Get("http://" + s.service + "/load")
	assert.NilError(s.t, err)
	defer rs.Body.Close()
	var l engine.LoadReport
	assert.NilError(s.t, json.NewDecoder(rs.Body).Decode(&l))
	return l.Running
}

// waitReady waits until the process has version 1 in effect and sees all 4
// backend servers as ready.
func (s *processSession) waitReady(p *process) {
	s.t.Helper()
	s.waitUntil(p.name+" is ready", func() bool {
		out, err := exec.Command(s.program, "status", "--address", p.admin, "--token", processToken).CombinedOutput()
		return err == nil && strings.Contains(string(out), "version 1") && strings.Count(string(out), "ready true") == 4
	})
}

// client opens a new connection for each request.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Minute}

func (p *process) request(method, path, body, key string) (*http.Response, error) {
	rq, err := http.NewRequest(method, "http://"+p.callers+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	rq.Header.Set("Authorization", "Bearer "+processKey)
	if key != "" {
		rq.Header.Set("Idempotency-Key", key)
	}
	return client.Do(rq)
}

// placeOrder places an order at the plain service and records the answer.
func (s *processSession) placeOrder(p *process, body, key string) {
	rs, err := p.request("POST", "/services/desk/orders", body, key)
	if err != nil {
		s.record("%s: order %q: no answer", p.name, body)
		return
	}
	defer rs.Body.Close()
	b, _ := io.ReadAll(rs.Body)
	s.record("%s: order %q: %d replayed=%q %s", p.name, body, rs.StatusCode, rs.Header.Get("Idempotent-Replayed"), b)
}

// streamAnswer requests a streamed answer, calls midAnswer after 10 events, and
// records whether the answer is complete.
func (s *processSession) streamAnswer(p *process, content string, midAnswer func()) {
	s.t.Helper()
	rs, err := p.request("POST", "/v1/chat/completions", fmt.Sprintf(`{"model":"assistant","stream":true,"messages":[{"role":"user","content":%q}]}`, content), "")
	assert.NilError(s.t, err)
	defer rs.Body.Close()
	var text strings.Builder
	end := "cut off"
	sc := bufio.NewScanner(rs.Body)
	for n := 0; sc.Scan(); {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			end = "whole"
			break
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		assert.NilError(s.t, json.Unmarshal([]byte(data), &chunk))
		for _, c := range chunk.Choices {
			text.WriteString(c.Delta.Content)
		}
		if n++; n == 10 && midAnswer != nil {
			midAnswer()
		}
	}
	if text.String() != fakes.ExpectedAnswer("lights", "user: "+content+"\n", 24, 16384) {
		end = "wrong text"
	}
	s.record("%s: answer to %q: %d, %d tokens, %s", p.name, content, rs.StatusCode, len(strings.Fields(text.String())), end)
}

// TestProcesses guards against failures of the request path that show only with
// separate processes: publishing, answers through each entry process, an order
// placed twice, an entry process that is paused or killed with an order in
// flight and then replaced, and one that drains while an answer streams through
// it.
func TestProcesses(t *testing.T) {
	dir := t.TempDir()
	s := &processSession{t: t, dir: dir, program: filepath.Join(dir, "cranberrybay")}
	out, err := exec.Command("go", "build", "-o", s.program, "../cmd/cranberrybay").CombinedOutput()
	assert.NilError(t, err, string(out))
	begin := time.Now()
	s.platform = s.startStandin("platform")
	vm := func(name, address, service string) {
		s.putJSON(s.platform, "/vms", map[string]any{"name": name, "address": address, "domain": "thamel", "service": service})
	}
	for i := range 3 {
		vm(fmt.Sprintf("engine-%d", i), s.startStandin("engine", "--model", "lights", "--first", fmt.Sprint(i*8), "--last", fmt.Sprint(i*8+8)), "assistant")
	}
	s.service = s.startStandin("service")
	vm("desk-1", s.service, "desk")
	one, two := s.startEntry("entry-1"), s.startEntry("entry-2")
	s.waitUntil("entry-1 listens", func() bool {
		c, err := net.Dial("tcp", one.admin)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	})
	tree := t.TempDir() // a copy, since publish writes .bay.base into the directory
	assert.NilError(t, os.CopyFS(tree, examples.Files))
	s.record("publish: %s", s.runCommand("publish", "--address", one.admin, "--token", processToken, "--author", "operator", tree))
	s.waitReady(one)
	s.waitReady(two)
	s.streamAnswer(one, "the tube flickers", nil)
	s.streamAnswer(two, "the sign hums", nil)
	s.placeOrder(one, "refill", "order-1")
	s.placeOrder(two, "refill", "order-1")
	s.placeOrder(two, "another", "order-1")

	s.record("SIGSTOP entry-1 with an order in flight")
	s.putJSON(s.service, "/faults", fakes.ServiceFaults{Delay: time.Second})
	signalInFlight := func(body, key string, signal syscall.Signal) chan struct{} {
		done := make(chan struct{})
		go func() { s.placeOrder(one, body, key); close(done) }()
		s.waitUntil("the order is at the service", func() bool { return s.runningCalls() > 0 })
		assert.NilError(t, one.cmd.Process.Signal(signal))
		s.waitUntil("the order ran", func() bool { return s.runningCalls() == 0 })
		return done
	}
	done := signalInFlight("paused", "order-2", syscall.SIGSTOP)
	s.placeOrder(two, "paused", "order-2")
	assert.NilError(t, one.cmd.Process.Signal(syscall.SIGCONT))
	<-done
	s.placeOrder(two, "paused", "order-2")

	s.record("SIGKILL entry-1 with an order in flight")
	<-signalInFlight("killed", "order-3", syscall.SIGKILL)
	s.placeOrder(two, "killed", "order-3")
	s.putJSON(s.service, "/faults", fakes.ServiceFaults{})
	one = s.startEntry("entry-1")
	s.waitReady(one)
	s.placeOrder(one, "killed", "order-3")
	s.placeOrder(one, "refill", "order-1")

	s.record("drain entry-2 while an answer streams through it")
	s.streamAnswer(two, "a long diagnosis, words=200", func() {
		s.record("drain: %s", s.runCommand("drain", "--address", two.admin, "--token", processToken))
		rs, err := two.request("GET", "/readyz", "", "")
		assert.NilError(t, err)
		assert.NilError(t, rs.Body.Close())
		s.record("entry-2: readyz: %d", rs.StatusCode)
		s.placeOrder(two, "late", "order-4")
	})
	state, err := two.cmd.Process.Wait()
	assert.NilError(t, err)
	assert.Equal(t, state.ExitCode(), 0)
	s.placeOrder(one, "late", "order-4")
	rs, err := http.Get("http://" + s.service + "/orders")
	assert.NilError(t, err)
	defer rs.Body.Close()
	var ran []fakes.OrderRecord
	assert.NilError(t, json.NewDecoder(rs.Body).Decode(&ran))
	for _, o := range ran {
		s.record("the service ran %q", o.Body)
	}
	assert.NilError(t, one.cmd.Process.Signal(syscall.SIGTERM))
	state, err = one.cmd.Process.Wait()
	assert.NilError(t, err)
	s.record("SIGTERM entry-1: exit code %d", state.ExitCode())
	golden.Assert(t, s.log.String(), "session.golden")
	assert.Assert(t, time.Since(begin) < 30*time.Second)
}
