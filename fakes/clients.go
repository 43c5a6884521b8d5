package fakes

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// ClientCase is a kind of client that nobody controls: its requests are legal in size and use much memory, or
// many connections, of the process that receives them.
type ClientCase struct {
	Name string
	// write writes what one client sends to a connection. It returns when it has, or when done is closed.
	write func(w io.Writer, t ClientTarget, done <-chan struct{})
	// silent clients don't read, and so hold their connections until done is closed.
	silent bool
}

// ClientTarget is what uncontrolled clients send their requests to.
type ClientTarget struct {
	Address string // IP:port
	Path    string // of a call with a body
	Header  string // lines of an ordinary request, each with CRLF
	MaxBody int    // bytes of the largest body that is legal
	// Slow and Large are paths of calls whose answer takes long, or is long; empty for Path.
	Slow, Large string
	ID          string // name of the header with the ID of a request; empty if requests have none
}

const (
	// linesBytes is the size of the header lines in a head, below all limits on a head.
	linesBytes = 15 << 10
	// trailerBytes is the size of a trailer, below the buffer in which net/http expects one.
	trailerBytes = 3900
	// pipelined is the number of heads that a client sends without waiting for a response.
	pipelined = 40
	// byteInterval is the time between the bytes of a client that sends its head slowly.
	byteInterval = 20 * time.Millisecond
	// aheadBytes is the size of the bodies of requests that are sent ahead of the answers.
	aheadBytes = 60 << 10
	// writeBytes is the size of the writes of a body.
	writeBytes = 64 << 10
	// idBytes is the size of a long ID, below all limits on a head.
	idBytes = 10 << 10
)

// ClientCases returns all kinds of uncontrolled clients.
func ClientCases() []ClientCase {
	const body = "Content-Length: 1000\r\n"
	whole := func(head string) func(w io.Writer, t ClientTarget, done <-chan struct{}) {
		return func(w io.Writer, t ClientTarget, _ <-chan struct{}) { _, _ = io.WriteString(w, requestHead(t, head)) }
	}
	return []ClientCase{
		{Name: "short header lines, a body that does not arrive", write: whole(body + shortLines(linesBytes))},
		{Name: "short header lines, a whole request", write: whole("Content-Length: 0\r\n" + shortLines(linesBytes))},
		{Name: "repeated names, a body that does not arrive", write: whole(body + strings.Repeat("a:\r\n", linesBytes/4))},
		{Name: "continuation lines, a body that does not arrive", write: whole(body + "a: b\r\n" + strings.Repeat(" c\r\n", linesBytes/4))},
		{Name: "pipelined heads", write: func(w io.Writer, t ClientTarget, _ <-chan struct{}) {
			head := requestHead(t, shortLines(linesBytes))
			_, _ = io.WriteString(w, strings.Repeat(head, pipelined))
		}},
		{Name: "heads that are sent byte by byte", write: func(w io.Writer, t ClientTarget, done <-chan struct{}) {
			head := requestHead(t, shortLines(linesBytes))
			sent := len(head) - 400
			_, err := io.WriteString(w, head[:sent])
			for ; err == nil && sent < len(head); sent++ {
				select {
				case <-done:
					return
				case <-time.After(byteInterval):
					_, err = io.WriteString(w, head[sent:sent+1])
				}
			}
		}},
		{Name: "connections without a byte", write: func(io.Writer, ClientTarget, <-chan struct{}) {}},
		{Name: "trailers of short lines, without an end", write: whole("Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + strings.TrimSuffix(shortLines(trailerBytes), "\r\n"))},
		{Name: "trailers of short lines", write: whole("Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + shortLines(trailerBytes))},
		{Name: "chunk extensions", write: whole("Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;"+strings.Repeat("x", 2000)+"\r\nb\r\n", 200))},
		{Name: "bodies that stop before their last byte", write: func(w io.Writer, t ClientTarget, done <-chan struct{}) {
			writeBody(w, t, t.MaxBody, strings.Repeat("x", writeBytes), t.MaxBody-1, done)
		}},
		{Name: "bodies of one-byte chunks", write: func(w io.Writer, t ClientTarget, done <-chan struct{}) {
			const chunk = "1\r\nx\r\n"
			writeBody(w, t, -1, strings.Repeat(chunk, writeBytes/len(chunk)), (t.MaxBody-1)*len(chunk), done)
		}},
		{Name: "requests with bodies that are sent ahead of the answers", write: func(w io.Writer, t ClientTarget, done <-chan struct{}) {
			t.Path = cmp.Or(t.Slow, t.Path)
			for range pipelined {
				writeBody(w, t, aheadBytes, strings.Repeat("x", aheadBytes), aheadBytes, done)
			}
		}},
		{Name: "long answers that are not read", silent: true, write: func(w io.Writer, t ClientTarget, done <-chan struct{}) {
			t.Path = cmp.Or(t.Large, t.Path)
			for range pipelined {
				writeBody(w, t, aheadBytes, strings.Repeat("x", aheadBytes), aheadBytes, done)
			}
		}},
		{Name: "long IDs", write: func(w io.Writer, t ClientTarget, done <-chan struct{}) {
			head := t.Header
			for n := range pipelined {
				t.Header = fmt.Sprintf("%s: %d-%s\r\n", cmp.Or(t.ID, "X-Request-Id"), n, strings.Repeat("x", idBytes)) + head
				writeBody(w, t, len("body"), "body", len("body"), done)
			}
		}},
	}
}

// Case returns the kind of clients with a name.
func Case(name string) ClientCase {
	all := ClientCases()
	return all[slices.IndexFunc(all, func(k ClientCase) bool { return k.Name == name })]
}

// Datagrams sends UDP packets of size bytes to an address for the given time.
func Datagrams(address string, size int, d time.Duration) {
	c, err := net.Dial("udp", address)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	b := make([]byte, size)
	for end := time.Now().Add(d); time.Now().Before(end); {
		_, _ = c.Write(b) // fails while nothing listens
	}
}

// writeBody writes the head of a request whose body has a length, or chunks if it is negative, and then sent bytes,
// in pieces of text. It returns at the first error, or when done is closed.
func writeBody(w io.Writer, t ClientTarget, length int, text string, sent int, done <-chan struct{}) {
	lines := "Transfer-Encoding: chunked\r\n"
	if length >= 0 {
		lines = fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	_, err := io.WriteString(w, requestHead(t, lines))
	for err == nil && sent > 0 {
		var n int
		n, err = io.WriteString(w, text[:min(sent, len(text))])
		sent -= n
		select {
		case <-done:
			return
		default:
		}
	}
}

// requestHead returns the head of a request with additional lines.
func requestHead(t ClientTarget, lines string) string {
	return "POST " + t.Path + " HTTP/1.1\r\n" + t.Header + lines + "\r\n"
}

// shortLines returns header lines with different names and no values.
func shortLines(bytes int) string {
	var b strings.Builder
	for n := 0; b.Len() < bytes; n++ {
		fmt.Fprintf(&b, "%c%c%c:\r\n", 'a'+n/26/26%26, 'a'+n/26%26, 'a'+n%26)
	}
	return b.String()
}

// Run opens connections to the target, sends on each what a client of this kind does, and opens another one for
// each that the target closes, for the given time.
func (k ClientCase) Run(t ClientTarget, connections int, d time.Duration) {
	done := make(chan struct{})
	var all sync.WaitGroup
	for range connections {
		all.Go(func() {
			for {
				k.connect(t, done)
				select {
				case <-done:
					return
				case <-time.After(byteInterval):
				}
			}
		})
	}
	time.Sleep(d)
	close(done)
	all.Wait()
}

// connect opens one connection and holds it until the target closes it or done is closed.
func (k ClientCase) connect(t ClientTarget, done <-chan struct{}) {
	c, err := net.DialTimeout("tcp", t.Address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		if k.silent {
			<-done
			return
		}
		_, _ = io.Copy(io.Discard, c)
	}()
	written := make(chan struct{})
	go func() {
		defer close(written)
		k.write(c, t, done)
	}()
	select {
	case <-done:
	case <-closed:
	}
	_ = c.Close() // ends the writes
	<-written
	<-closed
}
