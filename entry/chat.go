package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/queue"
	"github.com/cranberrybay/cranberrybay/spec"
	"github.com/cranberrybay/cranberrybay/stream"
)

// ChatRequest is the body of POST /v1/chat/completions. Members that are not
// listed are ignored, as existing client libraries send many.
type ChatRequest struct {
	Model    string        `json:"model"`
	Messages []ChatMessage `json:"messages"`
	Stream   bool          `json:"stream"`
	Options  ChatOptions   `json:"stream_options"`
	Limit    *int          `json:"max_tokens"`
	Newer    *int          `json:"max_completion_tokens"`
	Choices  int           `json:"n"`
}

// ChatOptions are the options of a streamed answer.
type ChatOptions struct {
	Usage bool `json:"include_usage"`
}

// ChatMessage is one message of a conversation.
type ChatMessage struct {
	Role    string   `json:"role"`
	Content ChatText `json:"content"`
}

// ChatText is the text of a message. In JSON it is a string, null, or a list
// of parts of type text.
type ChatText string

// UnmarshalJSON reads a string, null or a list of text parts.
func (t *ChatText) UnmarshalJSON(b []byte) error {
	var s *string
	if err := json.Unmarshal(b, &s); err == nil {
		if s != nil {
			*t = ChatText(*s)
		}
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(b, &parts); err != nil {
		return errors.New("content is neither a string nor a list of parts")
	}
	for _, p := range parts {
		if p.Type != "text" {
			return fmt.Errorf("content part of type %q is not supported", p.Type)
		}
		*t += ChatText(p.Text)
	}
	return nil
}

type chatChoice struct {
	Index   int          `json:"index"`
	Message *ChatMessage `json:"message,omitempty"`
	Delta   *chatDelta   `json:"delta,omitempty"`
	Finish  *string      `json:"finish_reason"`
}

type chatDelta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type chatUsage struct {
	Prompt     int         `json:"prompt_tokens"`
	Completion int         `json:"completion_tokens"`
	Total      int         `json:"total_tokens"`
	Details    chatDetails `json:"prompt_tokens_details"`
}

type chatDetails struct {
	Cached int `json:"cached_tokens"`
}

func usageOf(o stream.Outcome) *chatUsage {
	return &chatUsage{Prompt: o.Prompt, Completion: o.Tokens, Total: o.Prompt + o.Tokens, Details: chatDetails{Cached: o.Cached}}
}

type chatReply struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

// chatError is the error member that client libraries for chat completions
// read, in an answer with an error status and in an event of a stream.
type chatError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Param   any    `json:"param"` // always null
	Code    string `json:"code"`
	Verdict string `json:"verdict"`
	Retry   int    `json:"retry_after,omitempty"` // seconds
}

// chatProblem is the body of an error answer: a problem document with the
// error member beside it.
type chatProblem struct {
	fault.Problem
	Error chatError `json:"error"`
}

func chatErrorOf(err error) chatError {
	p := fault.ProblemOf(err)
	e := chatError{Message: p.Detail, Type: "server_error", Code: p.Title, Verdict: p.Verdict}
	switch {
	case p.Status == http.StatusTooManyRequests:
		e.Type = "rate_limit_error"
	case p.Status < http.StatusInternalServerError:
		e.Type = "invalid_request_error"
	}
	e.Retry, _ = fault.RetryAfter(err)
	return e
}

// chatFailed answers an error before the first token.
func chatFailed(c *gin.Context, err error) {
	p := chatProblem{Problem: fault.ProblemOf(err), Error: chatErrorOf(err)}
	if s, ok := fault.RetryAfter(err); ok {
		c.Header("Retry-After", strconv.Itoa(s))
	}
	c.Abort()
	b, _ := json.Marshal(p)
	c.Data(p.Status, "application/problem+json", b)
}

// finish maps the stop reason of an engine to the API's word.
func finish(stop string) *string {
	s := "stop"
	if stop == "limit" {
		s = "length"
	}
	return &s
}

func (h *Handler) chat(c *gin.Context) {
	rq, svc, err := h.readChat(c)
	if err != nil {
		chatFailed(c, err)
		return
	}
	prompt := promptOf(rq.Messages)
	rs := &chatReply{ID: newID(), Object: "chat.completion", Created: time.Now().Unix(), Model: rq.Model}
	sr := stream.Request{
		ID: rs.ID, Service: svc.Name(), Model: svc.Model(), Layers: svc.Layers(), Prompt: prompt,
		Blocks: engine.Blocks(svc.Model(), prompt), Limit: *rq.Limit, FirstBy: svc.ResponseDeadline(time.Now()),
	}
	p, err := h.admit(c, svc, queue.Shape{MaxTokens: *rq.Limit, PromptBytes: len(prompt)}, sr.FirstBy)
	if err != nil {
		chatFailed(c, err)
		return
	}
	defer p.end()
	sr.Priority = p.priority()
	c.Header("X-Request-Id", rs.ID)
	if rq.Stream {
		h.streamChat(c, p, sr, rs, rq.Options.Usage)
		return
	}
	var text strings.Builder
	out, err := h.answers.Run(c.Request.Context(), sr, p.wrap(stream.Sink{Token: func(t string) error { text.WriteString(t); return nil }}))
	if err != nil {
		chatFailed(c, err)
		return
	}
	p.done(out.Tokens)
	rs.Choices = []chatChoice{{Message: &ChatMessage{Role: "assistant", Content: ChatText(text.String())}, Finish: finish(out.Stop)}}
	rs.Usage = usageOf(out)
	c.JSON(http.StatusOK, rs)
}

func invalid(format string, args ...any) error {
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Invalid, Reason: fmt.Sprintf(format, args...)})
}

// readChat reads and checks the request. Its Limit is set in the result.
// parseChat reads and checks the body of a chat completion request. The limit
// of the result is set.
func parseChat(body []byte) (ChatRequest, error) {
	var rq ChatRequest
	if err := json.Unmarshal(body, &rq); err != nil {
		return rq, invalid("the body is not a chat completion request: %v", err)
	}
	if len(rq.Messages) == 0 {
		return rq, invalid("messages is empty")
	}
	if rq.Choices > 1 {
		return rq, invalid("n is %d, only 1 is supported", rq.Choices)
	}
	if rq.Newer != nil {
		rq.Limit = rq.Newer
	}
	limit := maxTokens
	if rq.Limit != nil {
		limit = *rq.Limit
	}
	if limit < 0 {
		return rq, invalid("max_tokens is negative")
	}
	if limit == 0 || limit > maxTokens {
		limit = maxTokens
	}
	rq.Limit = &limit
	return rq, nil
}

func (h *Handler) readChat(c *gin.Context) (ChatRequest, *spec.Service, error) {
	body, err := readBody(c)
	if err != nil {
		return ChatRequest{}, nil, err
	}
	rq, err := parseChat(body)
	if err != nil {
		return rq, nil, err
	}
	svc := h.cfg.Store.Tree().ServiceByModel(rq.Model)
	if svc == nil {
		return rq, nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.NotFound, Reason: fmt.Sprintf("model %q is not known", rq.Model)})
	}
	if !accountOf(c).MayCall(svc.Name()) {
		return rq, nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Forbidden, Reason: fmt.Sprintf("the account may not use %q", rq.Model)})
	}
	return rq, svc, nil
}

func promptOf(messages []ChatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		fmt.Fprintf(&b, "%s: %s\n", m.Role, m.Content)
	}
	return b.String()
}
