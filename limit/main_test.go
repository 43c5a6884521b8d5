package limit

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed and the number of cases of rapid unless they are given,
// so that every run tests the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	// 40 cases of 5 s of virtual time take about 6 s with the race detector.
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("40")
	}
	os.Exit(m.Run())
}
