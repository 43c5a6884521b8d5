package cmds_test

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/examples"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/spec"
)

const (
	// clientsMemory is the memory of the VM in the settings, in MiB, and the bound on the resident memory of the
	// process.
	clientsMemory = 112
	// clientsDescriptors is the limit on the descriptors of the process. A quarter of them must stay free, for
	// the connections that the process itself opens.
	clientsDescriptors     = 1000
	clientsDescriptorBound = clientsDescriptors * 3 / 4
	uncontrolledClients    = 1000
	clientsTime            = 3 * time.Second
)

// loweredSession is a process with clientsMemory and clientsDescriptors, and the address of each of its listeners.
type loweredSession struct {
	*processSession
	process *process
	peers   string
}

func newLoweredSession(t *testing.T, program string) *loweredSession {
	t.Helper()
	s := &loweredSession{processSession: &processSession{t: t, dir: t.TempDir(), program: program}, peers: freeAddress(t)}
	s.platform = s.startStandin("platform")
	s.service = s.startStandin("service")
	s.putJSON(s.platform, "/vms", map[string]any{"name": "desk-1", "address": s.service, "domain": "thamel", "service": "desk"})
	authority, err := fakes.NewAuthority()
	assert.NilError(t, err)
	certificate, key, err := authority.Issue("entry-1")
	assert.NilError(t, err)
	p := &process{name: "entry-1", callers: freeAddress(t), admin: freeAddress(t)}
	path := filepath.Join(s.dir, "entry-1.toml")
	text := fmt.Sprintf("name = %q\ndomain = \"thamel\"\nregion = \"bagmati\"\nmemory = %d\ntoken = %q\n[listen]\ncallers = %q\nadmin = %q\nlinger = \"300ms\"\n[platform]\naddress = %q\n",
		p.name, clientsMemory, spec.HashKey(processToken), p.callers, p.admin, s.platform)
	text += fmt.Sprintf("[peer]\nlisten = %q\nauthority = %q\ncertificate = %q\nkey = %q\n", s.peers, authority.PEM(), certificate, key)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	whole := s.program
	s.program = "/bin/sh"
	p.cmd, _ = s.start("-c", fmt.Sprintf("ulimit -n %d; exec \"$0\" \"$@\"", clientsDescriptors), whole, "serve", "--config", path)
	s.program, s.process = whole, p
	s.waitUntil("the process listens", func() bool {
		rs, err := client.Get("http://" + p.callers + "/healthz")
		return err == nil && rs.Body.Close() == nil
	})
	tree := t.TempDir()
	assert.NilError(t, os.CopyFS(tree, examples.Files))
	s.runCommand("publish", "--address", p.admin, "--token", processToken, "--author", "operator", tree)
	s.waitUntil("the service is seen", s.lookUp)
	return s
}

// lookUp sends one ordinary request and reports whether it was served.
func (s *loweredSession) lookUp() bool {
	rs, err := s.process.request("GET", "/services/desk/archive/1", "", "")
	return err == nil && rs.Body.Close() == nil && rs.StatusCode == http.StatusOK
}

// check runs f and checks that the process lives, that its memory and descriptors stay under their bounds, and that
// an ordinary request is served afterwards.
func (s *loweredSession) check(f func()) {
	s.t.Helper()
	pid := s.process.cmd.Process.Pid
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	descriptors := 0
	for ended := false; !ended; {
		n, _ := fakes.OpenDescriptors(pid) // 0 for a process that has ended
		descriptors = max(descriptors, n)
		select {
		case <-done:
			ended = true
		case <-time.After(20 * time.Millisecond):
		}
	}
	memory, err := fakes.PeakMemory(pid)
	assert.NilError(s.t, err)
	s.t.Logf("at most %d MB and %d descriptors", memory>>20, descriptors)
	assert.Check(s.t, memory <= clientsMemory<<20, "%d MB are resident, of a VM with %d", memory>>20, clientsMemory)
	assert.Check(s.t, descriptors <= clientsDescriptorBound, "%d descriptors are open, of %d", descriptors, clientsDescriptors)
	s.waitUntil("an ordinary request is served", s.lookUp)
}

// Guards against clients that bring a process down: by memory, with requests of legal size that consist of short
// header lines, or by descriptors. Each case has a process of its own, as memory that was used once stays resident.
func TestUncontrolledClients(t *testing.T) {
	program := filepath.Join(t.TempDir(), "cranberrybay")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/cranberrybay").CombinedOutput()
	assert.NilError(t, err, string(out))
	for _, k := range fakes.ClientCases() {
		t.Run(k.Name, func(t *testing.T) {
			s := newLoweredSession(t, program)
			header := "Host: h\r\nAuthorization: Bearer " + processKey + "\r\n"
			s.check(func() {
				k.Run(fakes.ClientTarget{Address: s.process.callers, Path: "/services/desk/orders", Header: header}, uncontrolledClients, clientsTime)
			})
		})
	}
	for name, address := range map[string]func(s *loweredSession) string{
		"admin": func(s *loweredSession) string { return s.process.admin },
		"peers": func(s *loweredSession) string { return s.peers },
	} {
		t.Run("other listener: "+name, func(t *testing.T) {
			s := newLoweredSession(t, program)
			s.check(func() {
				for _, k := range fakes.ClientCases() {
					k.Run(fakes.ClientTarget{Address: address(s), Path: "/publish", Header: "Host: h\r\nAuthorization: Bearer " + processToken + "\r\n"}, uncontrolledClients, clientsTime/3)
				}
			})
		})
	}
}
