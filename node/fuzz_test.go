package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/spec"
)

// FuzzSettings guards against a settings file that makes the process panic at its
// start, or that is refused with an error that does not name the file.
func FuzzSettings(f *testing.F) {
	token := spec.HashKey("operator")
	head := "name = \"entry-1\"\ndomain = \"thamel\"\nregion = \"bagmati\"\ntoken = \"" + token + "\"\n"
	listen := "[listen]\ncallers = \"127.0.0.1:1\"\nadmin = \"127.0.0.1:2\"\nlinger = \"1s\"\n[platform]\naddress = \"127.0.0.1:3\"\n"
	f.Add([]byte(head + listen))
	f.Add([]byte(head + listen + "[peer]\nlisten = \"127.0.0.1:4\"\nauthority = \"x\"\n[peer.seeds]\nentry-2 = \"127.0.0.1:5\"\n"))
	f.Add([]byte("name = 1\nother = [2"))
	path := filepath.Join(f.TempDir(), "settings.toml")
	f.Fuzz(func(t *testing.T, text []byte) {
		assert.NilError(t, os.WriteFile(path, text, 0o600))
		s, err := ReadSettings(path)
		if err != nil {
			assert.Assert(t, strings.HasPrefix(err.Error(), path+":"), "%v", err)
			return
		}
		assert.NilError(t, s.Check(path))
		assert.Assert(t, s.Name != "" && s.Listen.Linger.Duration >= 0)
	})
}
