package spec_test

import (
	"io/fs"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/examples"
	"github.com/cranberrybay/cranberrybay/spec"
)

// FuzzParse guards against a document that makes Parse panic, an error without
// the name of the file, and a document that differs when it is parsed again.
func FuzzParse(f *testing.F) {
	err := fs.WalkDir(examples.Files, ".", func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		text, err := examples.Files.ReadFile(path)
		f.Add(text)
		return err
	})
	assert.NilError(f, err)
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := spec.Parse("f.bay.toml", text)
		if err != nil {
			assert.Assert(t, d == nil)
			for _, line := range strings.Split(err.Error(), "\n") {
				assert.Assert(t, len(line) > 0)
			}
			assert.Assert(t, strings.HasPrefix(err.Error(), "f.bay.toml:"), "%v", err)
			return
		}
		assert.Assert(t, d.Name() != "")
		again, err := spec.Load(d.Path(), d.Text())
		assert.NilError(t, err)
		assert.Equal(t, again.ID(), d.ID())
		_, err = spec.Parse(d.Path(), again.Text())
		assert.NilError(t, err)
		assert.Equal(t, string(again.Text()), string(text))
	})
}
