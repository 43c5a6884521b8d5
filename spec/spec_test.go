package spec_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/cranberrybay/cranberrybay/spec"
)

const (
	model = "[service]\nname = \"chat\"\nkind = \"model\"\nmodel = \"lights\"\nlayers = 4\n"
	plain = "[service]\nname = \"desk\"\nkind = \"plain\"\n"
	wish  = "[wish]\nname = \"chat\"\nservice = \"chat\"\nversion = \"1\"\nranges = [[0, 2], [2, 4]]\nmemory = 10\n"
)

var (
	key     = spec.HashKey("key")
	account = "[account]\nname = \"hotel\"\nkeys = [\n  \"" + key + "\",\n]\n"
)

// TestParse guards against an invalid document that is accepted, and against an
// error without the file and the line.
func TestParse(t *testing.T) {
	for _, tc := range []struct{ text, want string }{
		{model + "slots = 5000\n", "f:6: slots: 5000, want 1 to 4096"},
		{model + "[[service.calls]]\nmethod = \"GET\"\npath = \"/\"\n", "f:1: calls: only plain"},
		{model + "first = \"-1s\"\n", "f:6: first: -1s"},
		{strings.Replace(model, "layers = 4", "layers = 0", 1), "f:5: layers: 0, want 1 to 1000"},
		{strings.Replace(model, `"chat"`, `"Chat"`, 1), "f:2: name: \"Chat\""},
		{strings.Replace(model, `"model"`, `"other"`, 1), "f:3: kind: \"other\""},
		{strings.Replace(model, "layers = 4", "layer = 4", 1), "f:5: unknown key \"service.layer\""},
		{model + "slots = \"x\"\n", "f:6: "},
		{model + plain, "f:6: "},
		{model + wish, "f:1: holds 2 documents"},
		{"", "f:1: holds 0 documents"},
		{plain + "fenced = true\n", "f:4: fenced: only model"},
		{plain + "calls = [\n{ method = \"GET\", path = \"/a*\" },\n{ method = \"GET\", path = \"/ab\" },\n]\n", "f:6: path: GET /ab is never used"},
		{plain + "calls = [\n{ method = \"get\", path = \"a\" },\n]\n", "f:5: path: \"a\""},
		{account + "rate = nan\n", "f:6: rate: NaN"},
		{account + "weight = -1\n", "f:6: weight: -1, want 1 to 1000"},
		{account + "inflight = -1\n", "f:6: inflight: -1"},
		{account + "services = [\"a\", \"a\"]\n", "f:6: services: \"a\" is listed twice"},
		{strings.Replace(account, key, "secret", 1), "f:4: keys: entry 1 is not"},
		{"[account]\nname = \"hotel\"\n", "f:1: keys: is empty"},
		{strings.Replace(wish, "[2, 4]", "[3, 4]", 1), "f:5: ranges: gap: no range holds layers 2 to 3"},
		{strings.Replace(wish, "[2, 4]", "[1, 4]", 1), "f:5: ranges: overlap: [1, 4] starts before layer 2"},
		{strings.Replace(wish, "[2, 4]", "[2, 2]", 1), "f:5: ranges: [2, 2] is empty"},
		{wish + "copies = 2000\n", "f:7: copies: 2000, want 1 to 1000"},
		{"[team]\nname = \"a\"\noperators = [\"" + key + "\"]\nreaders = [\"" + key + "\"]\n", "readers: entry 1 is an operator too"},
	} {
		_, err := spec.Parse("f", []byte(tc.text))
		assert.Check(t, is.ErrorContains(err, tc.want), tc.text)
	}
	for _, text := range []string{model, plain, account, wish} {
		_, err := spec.Parse("f", []byte(text))
		assert.Check(t, err)
	}
}

func parseAll(t *testing.T, texts ...string) []*spec.Document {
	t.Helper()
	out := make([]*spec.Document, len(texts))
	for i, text := range texts {
		d, err := spec.Parse(fmt.Sprintf("f%d", i), []byte(text))
		assert.NilError(t, err)
		out[i] = d
	}
	return out
}

// TestCheck guards against documents that are valid on their own but conflict
// with each other or with the memory of the engines, and are accepted.
func TestCheck(t *testing.T) {
	engines := []spec.EngineCapacity{{Service: "chat", Domain: "a", Memory: 25}, {Service: "chat", Domain: "b", Memory: 15}}
	for _, tc := range []struct {
		want  string
		texts []string
	}{
		{"f0:2: name: service \"chat\"", []string{plain, model, strings.Replace(plain, "desk", "chat", 1)}},
		{"f0:4: team: \"x\" is not published", []string{plain + "team = \"x\"\n"}},
		{"f0:6: services: \"x\" is not published", []string{account + "services = [\"x\"]\n"}},
		{"f1:3: keys: a key belongs to account \"hotel\" in f0 too", []string{account, strings.Replace(account, "hotel", "inn", 1)}},
		{"f1:4: model: model lights belongs to service \"chat\" in f0 too", []string{model, strings.Replace(model, "chat", "chat2", 1)}},
		{"f0:4: model: \"desk\" is the name of another service", []string{strings.Replace(model, "lights", "desk", 1), plain}},
		{"f1:3: service: version 1 of chat belongs to wish", []string{wish, strings.Replace(wish, "\"chat\"", "\"more\"", 1), model}},
		{"f0:3: service: \"chat\" is not a published model service", []string{wish}},
		{"f0:5: ranges: end at layer 4, want 5", []string{wish, strings.Replace(model, "layers = 4", "layers = 5", 1)}},
		{"f0:7: copies: 2 copies need 80 MB of weights, the engines have 40 MB", []string{wish + "copies = 2\n", model}},
		{"f0:6: memory: a range of 2 layers needs 60 MB, the largest engine has 25 MB", []string{strings.Replace(wish, "memory = 10", "memory = 30", 1), model}},
		{"the engines have 15 MB", []string{wish + "domains = [\"b\"]\n", model}},
	} {
		all := parseAll(t, tc.texts...)
		err := spec.CheckUnique(all)
		if err == nil {
			err = (&spec.Tree{}).With(all, nil).Check(engines)
		} else {
			tc.want = "f2:2: name: service \"chat\" is defined by f1 too"
		}
		assert.Check(t, is.ErrorContains(err, tc.want))
	}
	tree, err := spec.NewTree(parseAll(t, model, plain, account, wish))
	assert.NilError(t, err)
	assert.NilError(t, tree.Check(engines))
	assert.NilError(t, tree.Check(append(engines, spec.EngineCapacity{Service: "chat"})))
}

// TestWith guards against an incrementally built tree that differs from one
// built from all documents at once, and against a change of the original tree.
func TestWith(t *testing.T) {
	all := parseAll(t, model, plain, account, wish)
	full, err := spec.NewTree(all)
	assert.NilError(t, err)
	incremental := (&spec.Tree{}).With(all[:1], nil).With(all[1:], nil)
	assert.Equal(t, incremental.Digest(), full.Digest())
	inn := parseAll(t, strings.Replace(account, "hotel", "inn", 1))
	keyMoved := full.With(inn, []string{"account/hotel"})
	assert.Equal(t, keyMoved.AccountByKey("key").Name(), "inn")
	assert.Equal(t, full.AccountByKey("key").Name(), "hotel")
	assert.Assert(t, keyMoved.Digest() != full.Digest())
	restored := keyMoved.With(all[2:3], []string{"account/inn"})
	assert.Equal(t, restored.Digest(), full.Digest())
	assert.Assert(t, full.ServiceByModel("lights") == full.Service("chat"))
	assert.Equal(t, spec.MaskHashes(account), strings.Replace(account, key, key[:15]+"…", 1))
}
