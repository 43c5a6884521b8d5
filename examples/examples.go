// Package examples embeds the example configuration tree that the demo
// publishes.
package examples

import (
	"embed"
	"io/fs"

	"github.com/cranberrybay/cranberrybay/spec"
)

// Files holds the documents of the example tree.
//
//go:embed desk lights
var Files embed.FS

// Documents returns the parsed documents of the tree, in the order of paths.
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
