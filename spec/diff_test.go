package spec_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/spec"
)

// TestCompare guards against differences between documents that are not told, that are told of a comment, and that
// hold a key: a document that was loaded, not checked, may have one in clear text.
func TestCompare(t *testing.T) {
	load := func(text string) *spec.Tree {
		d, err := spec.Load("f", []byte(text))
		assert.NilError(t, err)
		return (&spec.Tree{}).With([]*spec.Document{d}, nil)
	}
	for _, tc := range []struct{ from, to, want string }{
		{plain, "# comment\n" + plain, ""},
		{"other = 1\n" + plain, plain, ""},
		{plain, plain + "slots = 3\n", "changed service/desk slots <nil> 3"},
		{plain, strings.Replace(plain, "desk", "shop", 1), "removed service/desk kind plain <nil> added service/shop kind <nil> plain"},
		{account, strings.Replace(account, key, "clear", 1), fmt.Sprintf("changed account/hotel keys [%s] [%s]", spec.MaskHashes(key), spec.MaskHashes(spec.HashKey("clear")))},
	} {
		var all []string
		for _, d := range spec.Compare(load(tc.from), load(tc.to)) {
			all = append(all, d.Change, d.Document.ID())
			for _, k := range d.Keys {
				all = append(all, k.Key, fmt.Sprint(k.Old), fmt.Sprint(k.New))
			}
		}
		assert.Equal(t, strings.Join(all, " "), tc.want)
	}
}

// TestFaults guards against errors of documents that a report lacks: several joined ones count each.
func TestFaults(t *testing.T) {
	_, first := spec.Parse("f", []byte(plain+"slots = 5000\nfirst = \"-1s\"\n"))
	_, second := spec.Parse("g", []byte(plain+"slot = 1\n"))
	faults := spec.Faults(errors.Join(first, second))
	assert.Equal(t, len(faults), 3)
	assert.DeepEqual(t, *faults[0], spec.Fault{Path: "f", Line: 4, Key: "slots", Text: "5000, want 1 to 4096"})
	assert.DeepEqual(t, *faults[2], spec.Fault{Path: "g", Line: 4, Text: `unknown key "service.slot"`})
	assert.Equal(t, len(spec.Faults(nil)), 0)
}
