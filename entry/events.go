package entry

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/cranberrybay/cranberrybay/stream"
)

// events writes a streamed chat completion as server-sent events. The status
// line goes out with the first token, so that an error before it still gets
// its own status.
type events struct {
	c       *gin.Context
	reply   *chatReply
	usage   bool // a last chunk with the usage was asked for
	started bool
	buf     bytes.Buffer
	enc     *json.Encoder // writes to buf
	head    []byte        // chunk of a token up to its text
	tail    []byte        // chunk of a token after its text
	text    string        // text that is encoded; a local variable would escape
}

func newEvents(c *gin.Context, rs *chatReply, usage bool) *events {
	rs.Object = "chat.completion.chunk"
	e := &events{c: c, reply: rs, usage: usage}
	e.enc = json.NewEncoder(&e.buf)
	e.enc.SetEscapeHTML(false)
	// The chunks of tokens differ in the text only, so the rest is encoded once.
	mark := "\x01"
	rs.Choices = []chatChoice{{Delta: &chatDelta{Content: &mark}}}
	b, _ := json.Marshal(rs)
	if usage {
		b = append(b[:len(b)-1], `,"usage":null}`...)
	}
	head, tail, _ := bytes.Cut(b, []byte(`"\u0001"`))
	e.head = append([]byte("data: "), head...)
	e.tail = append(bytes.Clone(tail), "\n\n"...)
	return e
}

// token adds the chunk of one token.
func (e *events) token(t string) error {
	if !e.started {
		e.start()
	}
	e.buf.Write(e.head)
	e.text = t
	if err := e.enc.Encode(&e.text); err != nil {
		return err
	}
	e.buf.Truncate(e.buf.Len() - 1) // the encoder ends with a newline
	e.buf.Write(e.tail)
	return nil
}

// start sets the headers and adds the chunk that names the role.
func (e *events) start() {
	e.started = true
	e.c.Header("Content-Type", "text/event-stream")
	e.c.Header("Cache-Control", "no-cache")
	e.c.Status(http.StatusOK)
	empty := ""
	e.chunk(chatChoice{Delta: &chatDelta{Role: "assistant", Content: &empty}})
}

// chunk adds a chunk with one choice.
func (e *events) chunk(ch chatChoice) {
	e.reply.Choices = []chatChoice{ch}
	e.event(e.reply)
}

// event adds one event.
func (e *events) event(v any) {
	b, _ := json.Marshal(v)
	e.buf.WriteString("data: ")
	e.buf.Write(b)
	e.buf.WriteString("\n\n")
}

// flush writes what was added since the last flush.
func (e *events) flush() error {
	if _, err := e.buf.WriteTo(e.c.Writer); err != nil {
		return err
	}
	e.c.Writer.Flush()
	return e.c.Request.Context().Err()
}

// end adds the last events of a whole answer.
func (e *events) end(out stream.Outcome) {
	if !e.started {
		e.start()
	}
	e.chunk(chatChoice{Delta: &chatDelta{}, Finish: finish(out.Stop)})
	if e.usage {
		e.reply.Choices, e.reply.Usage = []chatChoice{}, usageOf(out)
		e.event(e.reply)
	}
	e.buf.WriteString("data: [DONE]\n\n")
	_ = e.flush()
}

// fail ends an answer that has started with an error event. It has no event
// name, since client libraries look for the error member in unnamed events.
func (e *events) fail(err error) {
	e.event(struct {
		Error chatError `json:"error"`
	}{chatErrorOf(err)})
	_ = e.flush()
}

func (h *Handler) streamChat(c *gin.Context, p *pass, sr stream.Request, rs *chatReply, usage bool) {
	e := newEvents(c, rs, usage)
	out, err := h.answers.Run(c.Request.Context(), sr, p.wrap(stream.Sink{Token: e.token, Flush: e.flush}))
	switch {
	case err == nil:
		p.done(out.Tokens)
		e.end(out)
	case e.started:
		e.fail(err)
	default:
		chatFailed(c, err)
	}
}
