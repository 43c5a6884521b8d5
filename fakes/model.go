package fakes

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// words is the vocabulary of the stand-in model.
var words = strings.Fields(`the sign tube glow spark wire coil amber violet steady flicker hum check clean
replace tighten measure ground lamp board fuse relay socket cable panel quote rupee visit shop morning evening
north south moon feast table note archive print order page edition calendar prayer dawn noon dusk star`)

// hiddenState returns the hidden state before layer 0 for a position of an answer.
func hiddenState(model, prompt string, position int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\n%s\n%d", model, prompt, position))
}

// applyLayer applies layer n to a hidden state. The result depends on the order of
// the layers, so a token shows whether each layer ran exactly once and in order.
func applyLayer(h uint64, n int) uint64 {
	h ^= uint64(n+1) * 0x9e3779b97f4a7c15
	h = (h << 13) | (h >> 51)
	return h * 0xbf58476d1ce4e5b9
}

// applyLayers applies layers first to last-1.
func applyLayers(h uint64, first, last int) uint64 {
	for n := first; n < last; n++ {
		h = applyLayer(h, n)
	}
	return h
}

// tokenText returns the token for the hidden state after the last layer.
func tokenText(h uint64) string { return words[h%uint64(len(words))] + " " }

// AnswerLength returns the number of tokens of the answer to a prompt: the
// number after "words=" in the prompt, otherwise 20 to 59 by the prompt's hash.
func AnswerLength(prompt string) int {
	if _, rest, ok := strings.Cut(prompt, "words="); ok {
		if n, err := strconv.Atoi(strings.Fields(rest + " ")[0]); err == nil && n > 0 {
			return n
		}
	}
	return 20 + int(xxhash.Sum64String(prompt)%40)
}

// ExpectedAnswer returns the answer of a model with the given number of layers,
// cut off after limit tokens. Tests compare the received answer with it.
func ExpectedAnswer(model, prompt string, layers, limit int) string {
	var b strings.Builder
	for p := range min(AnswerLength(prompt), limit) {
		b.WriteString(tokenText(applyLayers(hiddenState(model, prompt, p), 0, layers)))
	}
	return b.String()
}
