// Package examples embeds the example configuration tree that the demo
// publishes.
package examples

import "embed"

// Tree holds the documents of the example tree.
//
//go:embed desk lights
var Tree embed.FS
