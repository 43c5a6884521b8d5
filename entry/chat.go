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
	"github.com/cranberrybay/cranberrybay/guard"
	"github.com/cranberrybay/cranberrybay/queue"
	"github.com/cranberrybay/cranberrybay/spec"
	"github.com/cranberrybay/cranberrybay/stream"
)

// ChatRequest is the body of POST /v1/chat/completions. Unknown members are
// ignored, since existing client libraries send many.
type ChatRequest struct {
	Model               string        `json:"model"`
	Messages            []ChatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	StreamOptions       ChatOptions   `json:"stream_options"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Choices             int           `json:"n"`
}

// ChatOptions are the options of a streamed answer.
type ChatOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// ChatMessage is one message of a conversation.
type ChatMessage struct {
	Role    string   `json:"role"`
	Content ChatText `json:"content"`
}

// ChatText is the text of a message. Its JSON form is a string, null, or a list
// of parts of the type "text".
type ChatText string

// UnmarshalJSON decodes a string, null or a list of text parts.
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

// chatChoice is a choice of an answer: a message, or a delta in a stream.
type chatChoice struct {
	Index   int          `json:"index"`
	Message *ChatMessage `json:"message,omitempty"`
	Delta   *chatDelta   `json:"delta,omitempty"`
	Finish  *string      `json:"finish_reason"`
}

// chatDelta is the part of a message that one chunk of a stream adds.
type chatDelta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

// chatUsage is the token count of a request.
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

// chatReply is a chat completion or one chunk of a streamed one.
type chatReply struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

// chatError is the error member that client libraries for chat completions read
// from the body of an error response and from an event of a stream.
type chatError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Param   any    `json:"param"` // always null
	Code    string `json:"code"`
	Verdict string `json:"verdict"`
	Retry   int    `json:"retry_after,omitempty"` // seconds
}

// chatProblem is the body of an error response: a problem document with an
// additional error member.
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

// writeChatError answers with an error when no token has been sent.
func writeChatError(c *gin.Context, err error) {
	err = finalError(c, err)
	p := chatProblem{Problem: fault.ProblemOf(err), Error: chatErrorOf(err)}
	if s, ok := fault.RetryAfter(err); ok {
		c.Header("Retry-After", strconv.Itoa(s))
	}
	c.Abort()
	b, _ := json.Marshal(p)
	c.Data(p.Status, "application/problem+json", b)
}

// finishReason converts the stop reason of an engine to the finish_reason of the
// API.
func finishReason(stop string) *string {
	s := "stop"
	if stop == "limit" {
		s = "length"
	}
	return &s
}

// chatCompletion answers POST /v1/chat/completions.
func (h *Handler) chatCompletion(c *gin.Context) {
	req, svc, err := h.readChat(c)
	if err != nil {
		writeChatError(c, err)
		return
	}
	prompt := promptText(req.Messages)
	reply := &chatReply{ID: newRequestID(), Object: "chat.completion", Created: time.Now().Unix(), Model: req.Model}
	streamReq := stream.Request{
		ID: reply.ID, Service: svc.Name(), Model: svc.Model(), Layers: svc.Layers(), Prompt: prompt,
		Blocks: engine.BlockHashes(svc.Model(), prompt), Limit: *req.MaxTokens, FirstTokenDeadline: svc.ResponseDeadline(time.Now()),
	}
	streamReq.Identity = chatIdentity(accountOf(c).Name(), svc.Name(), req.Messages)
	p, err := h.admit(c, svc, queue.Shape{MaxTokens: *req.MaxTokens, PromptBytes: len(prompt)}, streamReq.FirstTokenDeadline)
	if err != nil {
		writeChatError(c, err)
		return
	}
	defer p.release()
	streamReq.Priority = p.priority()
	c.Header("X-Request-Id", reply.ID)
	if req.Stream {
		h.streamChat(c, p, streamReq, reply, req.StreamOptions.IncludeUsage)
		return
	}
	var text strings.Builder
	out, err := h.runner.Run(c.Request.Context(), streamReq, p.wrapSink(stream.Sink{Token: func(t string) error { text.WriteString(t); return nil }}))
	if err != nil {
		writeChatError(c, err)
		return
	}
	p.complete(out.Tokens)
	reply.Choices = []chatChoice{{Message: &ChatMessage{Role: "assistant", Content: ChatText(text.String())}, Finish: finishReason(out.Stop)}}
	reply.Usage = usageOf(out)
	c.JSON(http.StatusOK, reply)
}

// invalidRequest returns the error of a malformed request, which has not run.
func invalidRequest(format string, args ...any) error {
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Invalid, Reason: fmt.Sprintf(format, args...)})
}

// parseChat decodes and validates the body of a chat completion request.
// MaxTokens of the result is set and at most maxTokens.
func parseChat(body []byte) (ChatRequest, error) {
	var req ChatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return req, invalidRequest("the body is not a chat completion request: %v", err)
	}
	if len(req.Messages) == 0 {
		return req, invalidRequest("messages is empty")
	}
	if req.Choices > 1 {
		return req, invalidRequest("n is %d, only 1 is supported", req.Choices)
	}
	if req.MaxCompletionTokens != nil {
		req.MaxTokens = req.MaxCompletionTokens
	}
	limit := maxTokens
	if req.MaxTokens != nil {
		limit = *req.MaxTokens
	}
	if limit < 0 {
		return req, invalidRequest("max_tokens is negative")
	}
	if limit == 0 || limit > maxTokens {
		limit = maxTokens
	}
	req.MaxTokens = &limit
	return req, nil
}

// readChat reads a chat completion request and returns it with the service of
// its model, which the account may use.
func (h *Handler) readChat(c *gin.Context) (ChatRequest, *spec.Service, error) {
	body, err := h.readBody(c)
	if err != nil {
		return ChatRequest{}, nil, err
	}
	req, err := parseChat(body)
	if err != nil {
		return req, nil, err
	}
	svc := h.cfg.Store.Tree().ServiceByModel(req.Model)
	if svc == nil {
		return req, nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.NotFound, Reason: fmt.Sprintf("model %q is not known", req.Model)})
	}
	if !accountOf(c).MayCall(svc.Name()) {
		return req, nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Forbidden, Reason: fmt.Sprintf("the account may not use %q", req.Model)})
	}
	return req, svc, nil
}

// chatIdentity returns what the repeats of a chat completion request have in common.
// Other requests may share its messages.
func chatIdentity(account, service string, messages []ChatMessage) guard.Request {
	cfg := guard.RequestConfig{Service: service, Account: account, Body: []byte(promptText(messages))}
	for i := range messages {
		cfg.Messages = append(cfg.Messages, promptText(messages[i:i+1]))
	}
	return guard.NewRequest(cfg)
}

// promptText returns the messages of a conversation as one prompt.
func promptText(messages []ChatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		fmt.Fprintf(&b, "%s: %s\n", m.Role, m.Content)
	}
	return b.String()
}
