package entry

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/cranberrybay/cranberrybay/stream"
)

// eventWriter writes a streamed chat completion as server-sent events. The
// status line is sent with the first token, so that an earlier error can still
// set the status.
type eventWriter struct {
	c            *gin.Context
	reply        *chatReply
	includeUsage bool // the caller asked for a last chunk with the usage
	started      bool
	buf          bytes.Buffer
	enc          *json.Encoder // writes to buf
	tokenPrefix  []byte        // chunk of a token up to its text
	tokenSuffix  []byte        // chunk of a token after its text
	tokenText    string        // text to encode; a local variable would escape to the heap
}

func newEventWriter(c *gin.Context, reply *chatReply, includeUsage bool) *eventWriter {
	reply.Object = "chat.completion.chunk"
	e := &eventWriter{c: c, reply: reply, includeUsage: includeUsage}
	e.enc = json.NewEncoder(&e.buf)
	e.enc.SetEscapeHTML(false)
	// The chunks of tokens differ only in their text, so the rest is encoded once.
	placeholder := "\x01"
	reply.Choices = []chatChoice{{Delta: &chatDelta{Content: &placeholder}}}
	b, _ := json.Marshal(reply)
	if includeUsage {
		b = append(b[:len(b)-1], `,"usage":null}`...)
	}
	prefix, suffix, _ := bytes.Cut(b, []byte(`"\u0001"`))
	e.tokenPrefix = append([]byte("data: "), prefix...)
	e.tokenSuffix = append(bytes.Clone(suffix), "\n\n"...)
	return e
}

// writeToken adds the chunk of one token.
func (e *eventWriter) writeToken(t string) error {
	if !e.started {
		e.start()
	}
	e.buf.Write(e.tokenPrefix)
	e.tokenText = t
	if err := e.enc.Encode(&e.tokenText); err != nil {
		return err
	}
	e.buf.Truncate(e.buf.Len() - 1) // the encoder ends with a newline
	e.buf.Write(e.tokenSuffix)
	return nil
}

// start sets the headers and adds the chunk with the role.
func (e *eventWriter) start() {
	e.started = true
	e.c.Header("Content-Type", "text/event-stream")
	e.c.Header("Cache-Control", "no-cache")
	e.c.Status(http.StatusOK)
	empty := ""
	e.addChunk(chatChoice{Delta: &chatDelta{Role: "assistant", Content: &empty}})
}

// addChunk adds a chunk with one choice.
func (e *eventWriter) addChunk(choice chatChoice) {
	e.reply.Choices = []chatChoice{choice}
	e.addEvent(e.reply)
}

// addEvent adds an event with v as JSON.
func (e *eventWriter) addEvent(v any) {
	b, _ := json.Marshal(v)
	e.buf.WriteString("data: ")
	e.buf.Write(b)
	e.buf.WriteString("\n\n")
}

// flush sends the buffered events to the caller.
func (e *eventWriter) flush() error {
	if _, err := e.buf.WriteTo(e.c.Writer); err != nil {
		return err
	}
	e.c.Writer.Flush()
	return e.c.Request.Context().Err()
}

// finish sends the last events of a complete answer.
func (e *eventWriter) finish(out stream.Outcome) {
	if !e.started {
		e.start()
	}
	e.addChunk(chatChoice{Delta: &chatDelta{}, Finish: finishReason(out.Stop)})
	if e.includeUsage {
		e.reply.Choices, e.reply.Usage = []chatChoice{}, usageOf(out)
		e.addEvent(e.reply)
	}
	e.buf.WriteString("data: [DONE]\n\n")
	_ = e.flush()
}

// fail ends a started answer with an error event. The event has no name, since
// client libraries look for the error member in unnamed events.
func (e *eventWriter) fail(err error) {
	e.addEvent(struct {
		Error chatError `json:"error"`
	}{chatErrorOf(finalError(e.c, err))})
	_ = e.flush()
}

// streamChat runs a request and streams its answer to the caller.
func (h *Handler) streamChat(c *gin.Context, p *permit, req stream.Request, reply *chatReply, includeUsage bool) {
	e := newEventWriter(c, reply, includeUsage)
	out, err := h.runner.Run(c.Request.Context(), req, p.wrapSink(stream.Sink{Token: e.writeToken, Flush: e.flush}))
	switch {
	case err == nil:
		p.complete(out.Tokens)
		e.finish(out)
	case e.started:
		e.fail(err)
	default:
		writeChatError(c, err)
	}
}
