package cmds_test

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/spec"
)

// TestHangupEndsNoProcess guards against an entry process that SIGHUP ends, with all of
// its requests: while it reads its settings, and when it serves.
func TestHangupEndsNoProcess(t *testing.T) {
	dir := t.TempDir()
	s := &processSession{t: t, dir: dir, program: filepath.Join(dir, "cranberrybay")}
	out, err := exec.Command("go", "build", "-o", s.program, "../cmd/cranberrybay").CombinedOutput()
	assert.NilError(t, err, string(out))
	s.platform = s.startStandin("platform")
	settings, callers := filepath.Join(dir, "settings"), freeAddress(t)
	assert.NilError(t, syscall.Mkfifo(settings, 0o600))
	signal.Reset(syscall.SIGHUP) // the process would inherit that another test has it ignored
	p, _ := s.start("serve", "--config", settings)
	f, err := os.OpenFile(settings, os.O_WRONLY, 0) // returns when the process reads
	assert.NilError(t, err)
	assert.NilError(t, p.Process.Signal(syscall.SIGHUP))
	_, err = fmt.Fprintf(f, "name = \"entry-1\"\ndomain = \"thamel\"\nregion = \"bagmati\"\ntoken = %q\n[listen]\ncallers = %q\nadmin = %q\nlinger = \"0s\"\n[platform]\naddress = %q\n",
		spec.HashKey(processToken), callers, freeAddress(t), s.platform)
	assert.NilError(t, err)
	assert.NilError(t, f.Close())
	answers := func() bool {
		rs, err := client.Get("http://" + callers + "/healthz")
		return err == nil && rs.Body.Close() == nil && rs.StatusCode == http.StatusOK
	}
	s.waitUntil("the process serves", answers)
	for range 5 {
		assert.NilError(t, p.Process.Signal(syscall.SIGHUP))
		assert.Assert(t, answers())
	}
	assert.NilError(t, p.Process.Signal(syscall.SIGTERM))
	state, err := p.Process.Wait()
	assert.NilError(t, err)
	assert.Equal(t, state.ExitCode(), 0)
}

// Guards against an entry process that a SIGHUP ends while it reads its settings. A pipe without a writer
// holds it there.
func TestHangupDuringTheStart(t *testing.T) {
	dir := t.TempDir()
	s := &processSession{t: t, dir: dir, program: filepath.Join(dir, "cranberrybay")}
	out, err := exec.Command("go", "build", "-o", s.program, "../cmd/cranberrybay").CombinedOutput()
	assert.NilError(t, err, string(out))
	settings := filepath.Join(dir, "settings.toml")
	assert.NilError(t, syscall.Mkfifo(settings, 0o600))
	signal.Reset(syscall.SIGHUP) // the process would inherit that another test has it ignored
	p, _ := s.start("entry", "--config", settings)

	// The writer's end opens once the process has opened the pipe.
	var w int
	s.waitUntil("the process reads its settings", func() bool {
		w, err = syscall.Open(settings, syscall.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err == nil
	})
	assert.NilError(t, p.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond) // a signal that ends the process does so before it reads on
	assert.NilError(t, syscall.Close(w))
	err = p.Wait()
	assert.Assert(t, p.ProcessState.ExitCode() == 2, "%v: ended by the signal, not by its empty settings", err)
}
