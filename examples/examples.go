// Package examples embeds the example documents that the demo publishes and that
// tests use.
package examples

import (
	"embed"
	"io/fs"

	"github.com/cranberrybay/cranberrybay/spec"
)

// Files contains the example documents, one directory for each service.
//
//go:embed desk lights
var Files embed.FS

// Documents returns the parsed documents sorted by path.
func Documents() ([]*spec.Document, error) {
	var docs []*spec.Document
	err := fs.WalkDir(Files, ".", func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		text, err := Files.ReadFile(path)
		if err != nil {
			return err
		}
		d, err := spec.Parse(path, text)
		docs = append(docs, d)
		return err
	})
	return docs, err
}
