package heads

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// bodyTimeout bounds how long a body takes to arrive for which the handler sets no deadline of its own, also one that
// the handler does not read.
const bodyTimeout = 15 * time.Second

type connKey struct{}

// connOf returns the connection of an account below another connection, or nil.
func connOf(c net.Conn) *Conn {
	for c != nil {
		if k, ok := c.(*Conn); ok {
			return k
		}
		below, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = below.NetConn()
	}
	return nil
}

// Attach makes a server, which accepts connections from Listener, tell the account where requests begin and end. It is
// called after the fields of the server are set. Connections that wrap those of Listener have a method NetConn.
func (a *Account) Attach(s *http.Server) {
	next, state, connContext := s.Handler, s.ConnState, s.ConnContext
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { a.serve(next, w, r) })
	s.ConnState = func(c net.Conn, to http.ConnState) {
		// net/http reports StateIdle when a response was sent, before it reads the next head.
		if k := connOf(c); k != nil && to == http.StateIdle && !k.finish() {
			_ = k.Close()
		}
		if state != nil {
			state(c, to)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, connOf(c))
	}
}

// serve handles a request within the account.
func (a *Account) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	if c == nil {
		next.ServeHTTP(w, r)
		return
	}
	hasBody := r.Body != nil && r.Body != http.NoBody
	switch ok, refused := c.begin(headCost(r), r.ContentLength, hasBody); {
	case refused:
		a.recordRefusal(indexMemory)
		kind, retry, body := a.refusal()
		w.Header().Set("Content-Type", kind)
		w.Header().Set("Retry-After", retry)
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, body) // fails if the client is gone
		return
	case !ok:
		panic(http.ErrAbortHandler) // the request was refused while it was read
	}
	r.Trailer = nil // names that the head announces; nothing here reads trailers
	if hasBody {
		// net/http ends the deadline when the body was read.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
		with := *r
		with.Body = &body{r.Body, r, c}
		r = &with
	}
	next.ServeHTTP(w, r)
}

// headCost returns the memory of a parsed head.
func headCost(r *http.Request) int64 {
	size, lines := len(r.RequestURI)+len(r.Host), 1
	for k, values := range r.Header {
		size += len(k)
		lines += len(values)
		for _, v := range values {
			size += len(v)
		}
	}
	return cost(size, lines)
}

// body is the body of a request. It drops the trailer, which is parsed at the end of the body and would stay in memory
// with the request.
type body struct {
	io.ReadCloser
	request *http.Request // whose trailer net/http sets
	conn    *Conn
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.request.Trailer = nil
		b.conn.bodyRead()
	}
	return n, err
}
