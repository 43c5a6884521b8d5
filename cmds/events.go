package cmds

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// readCompletionStream reads the server-sent events of a chat completion up to
// [DONE] and returns the text. It calls onToken with the number of tokens
// received so far.
func readCompletionStream(r io.Reader, onToken func(tokens int)) (string, error) {
	var text strings.Builder
	tokens := 0
	s := bufio.NewScanner(r)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Error json.RawMessage `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return text.String(), fmt.Errorf("decode event %q: %w", data, err)
		}
		if chunk.Error != nil {
			return text.String(), fmt.Errorf("answer ended with error %s", chunk.Error)
		}
		for _, c := range chunk.Choices {
			if c.Delta.Content != "" {
				text.WriteString(c.Delta.Content)
				tokens++
				onToken(tokens)
			}
		}
	}
	if err := s.Err(); err != nil {
		return text.String(), fmt.Errorf("read events: %w", err)
	}
	return text.String(), fmt.Errorf("answer ended without [DONE] after %d tokens", tokens)
}
