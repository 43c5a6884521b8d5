package quota_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/quota"
)

// TestListsOfObjectsAreTaken guards against lists that are refused, or cut, for what their texts hold.
func TestListsOfObjectsAreTaken(t *testing.T) {
	type row struct {
		ID    string `json:"id"`
		Parts []int  `json:"parts"`
	}
	for _, want := range [][]row{
		nil,
		{},
		{{}},
		{{ID: "a"}, {ID: "b", Parts: []int{1, 2, 3}}},
		{{ID: `],},"\`}, {ID: `\"`}, {ID: ",,,,,,,,,,,,,,,,,,,,,,,,,,,,,,,,,,,,,,,,"}, {Parts: []int{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}}},
	} {
		text, err := json.Marshal(want)
		assert.NilError(t, err)
		var got quota.List[row]
		assert.NilError(t, json.Unmarshal(text, &got), "%s", text)
		assert.DeepEqual(t, []row(got), want)
	}
}

// TestListsOfShortElementsAreRefused guards against lists that take many times as much memory as their text.
func TestListsOfShortElementsAreRefused(t *testing.T) {
	for _, text := range []string{`[null,null,null,null]`, `[{},{},{},{},{},{},{},{}]`, `[[],[],[],[],[],[],[],[],[],[]]`, ` [ 0, 0, 0, 0, 0, 0, 0]`, `{"a":[]}`, `7`, `"x"`} {
		var got quota.List[map[string]string]
		assert.Check(t, json.Unmarshal([]byte(text), &got) != nil, "%s", text)
		assert.Check(t, len(got) <= 2, "%s", text)
	}
}
