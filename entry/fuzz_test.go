package entry

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fault"
)

// FuzzChat guards against a chat completion request that makes the process panic,
// is refused without a reason, or gets a token limit over maxTokens.
func FuzzChat(f *testing.F) {
	for _, s := range []string{
		`{"model":"assistant","stream":true,"messages":[{"role":"user","content":"the tube flickers"}]}`,
		`{"model":"assistant","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}],"max_tokens":3}`,
		`{"messages":[{"content":null}],"max_completion_tokens":0,"n":1}`,
		`{"messages":[{"content":[{"type":"image_url"}]}]}`,
		`{"messages":[null],"n":-1,"max_tokens":-1}`,
		`[]`, `{`, "",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		req, err := parseChat(body)
		if err != nil {
			assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
			assert.Assert(t, fault.ProblemOf(err).Detail != "")
			return
		}
		assert.Assert(t, len(req.Messages) > 0 && *req.MaxTokens >= 1 && *req.MaxTokens <= maxTokens)
		prompt := promptText(req.Messages)
		// An invalid byte becomes the three bytes of U+FFFD, and each message adds 3.
		assert.Assert(t, len(prompt) <= 3*len(body)+3*len(req.Messages))
		again, err := json.Marshal(req)
		assert.NilError(t, err)
		back, err := parseChat(again)
		assert.NilError(t, err)
		assert.Equal(t, promptText(back.Messages), prompt)
		assert.Equal(t, *back.MaxTokens, *req.MaxTokens)
		assert.Equal(t, strings.Count(prompt, "\n") >= len(req.Messages), true)
	})
}
