package cmds_test

import (
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

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
