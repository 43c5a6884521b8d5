package queue

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that every run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}
