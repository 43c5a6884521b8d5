package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/queue"
	"github.com/cranberrybay/cranberrybay/route"
	"github.com/cranberrybay/cranberrybay/spec"
	"github.com/cranberrybay/cranberrybay/stream"
)

// ChatRequest is the body of POST /v1/chat/completions. Members that are not
// listed are ignored, as existing client libraries send many.
type ChatRequest struct {
	Model    string        `json:"model"`
	Messages []ChatMessage `json:"messages"`
	Stream   bool          `json:"stream"`
	Limit    int           `json:"max_tokens"`
	Newer    int           `json:"max_completion_tokens"`
}

// ChatMessage is one message of a conversation.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatChoice struct {
	Index   int          `json:"index"`
	Message *ChatMessage `json:"message,omitempty"`
	Delta   *chatDelta   `json:"delta,omitempty"`
	Finish  *string      `json:"finish_reason"`
}

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type chatUsage struct {
	Completion int `json:"completion_tokens"`
}

type chatReply struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
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
		problem(c, err)
		return
	}
	prompt := promptOf(rq.Messages)
	rs := &chatReply{ID: newID(), Object: "chat.completion", Created: time.Now().Unix(), Model: rq.Model}
	sr := stream.Request{ID: rs.ID, Model: svc.Model(), Layers: svc.Layers(), Prompt: prompt, Limit: rq.Limit, FirstBy: svc.FirstBy(time.Now())}
	p, err := h.admit(c, svc, queue.Shape{Limit: rq.Limit, Prompt: len(prompt)}, sr.FirstBy)
	if err != nil {
		problem(c, err)
		return
	}
	defer p.end()
	run := p.wrap(h.runner(svc, p).Run)
	c.Header("X-Request-Id", rs.ID)
	if rq.Stream {
		h.streamChat(c, run, sr, rs)
		return
	}
	var text strings.Builder
	out, err := run(c.Request.Context(), sr, func(t string) error { text.WriteString(t); return nil })
	if err != nil {
		problem(c, err)
		return
	}
	rs.Choices = []chatChoice{{Message: &ChatMessage{Role: "assistant", Content: text.String()}, Finish: finish(out.Stop)}}
	rs.Usage = &chatUsage{Completion: out.Tokens}
	c.JSON(http.StatusOK, rs)
}

// readChat reads and checks the request.
func (h *Handler) readChat(c *gin.Context) (ChatRequest, *spec.Service, error) {
	var rq ChatRequest
	body, err := readBody(c)
	if err != nil {
		return rq, nil, err
	}
	if err := json.Unmarshal(body, &rq); err != nil {
		return rq, nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Invalid, Reason: fmt.Sprintf("the body is not a chat completion request: %v", err)})
	}
	if len(rq.Messages) == 0 {
		return rq, nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Invalid, Reason: "messages is empty"})
	}
	if rq.Limit == 0 {
		rq.Limit = rq.Newer
	}
	if rq.Limit < 0 {
		return rq, nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Invalid, Reason: "max_tokens is negative"})
	}
	if rq.Limit == 0 || rq.Limit > maxTokens {
		rq.Limit = maxTokens
	}
	svc := h.cfg.Store.Tree().ServiceOfModel(rq.Model)
	if svc == nil {
		return rq, nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unknown, Reason: fmt.Sprintf("model %q is not known", rq.Model)})
	}
	if !accountOf(c).May(svc.Name()) {
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

// runner returns the runner of a service's answers.
func (h *Handler) runner(svc *spec.Service, p *pass) *stream.Runner {
	return stream.New(stream.Config{
		Choose: func(avoid map[string]bool) (route.Route, error) {
			return route.Choose(h.cfg.Fleet, route.Want{Service: svc.Name(), Layers: svc.Layers(), Domain: h.cfg.Domain, Avoid: avoid})
		},
		Generate: func(ctx context.Context, j engine.Job) (stream.Answer, error) { return h.cfg.Engines.Generate(ctx, j) },
		Failed:   h.cfg.Fleet.Failed,
		Began:    h.began(p),
		Ended:    func(r route.Route) { each(r, h.cfg.Fleet.End) },
	})
}

func each(r route.Route, do func(name string)) {
	for _, s := range r {
		do(s.Name)
	}
}

// streamChat answers with server-sent events. The status line goes out with
// the first token, so that an error before it still gets its own status.
func (h *Handler) streamChat(c *gin.Context, run runFunc, sr stream.Request, rs *chatReply) {
	rs.Object = "chat.completion.chunk"
	started := false
	send := func(ch chatChoice) error {
		if !started {
			started = true
			c.Header("Content-Type", "text/event-stream")
			c.Header("Cache-Control", "no-cache")
			c.Status(http.StatusOK)
		}
		rs.Choices = []chatChoice{ch}
		b, err := json.Marshal(rs)
		if err != nil {
			return fmt.Errorf("encode chunk: %w", err)
		}
		if _, err := fmt.Fprintf(c.Writer, "data: %s\n\n", b); err != nil {
			return err
		}
		c.Writer.Flush()
		return c.Request.Context().Err()
	}
	out, err := run(c.Request.Context(), sr, func(t string) error {
		return send(chatChoice{Delta: &chatDelta{Content: t}})
	})
	if err != nil {
		if !started {
			problem(c, err)
			return
		}
		b, _ := json.Marshal(gin.H{"error": problemOf(err)})
		_, _ = fmt.Fprintf(c.Writer, "event: error\ndata: %s\n\n", b)
		return
	}
	_ = send(chatChoice{Delta: &chatDelta{}, Finish: finish(out.Stop)})
	_, _ = fmt.Fprint(c.Writer, "data: [DONE]\n\n")
	c.Writer.Flush()
}
