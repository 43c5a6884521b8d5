package relay

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEvent bounds one event of a stream.
const maxEvent = 256 << 10

var errLongEvent = errors.New("event of a stream is too long")

// events cuts a stream into whole events. A server may stop in the middle of
// one, which is then not passed on.
type events struct {
	from io.Reader
	buf  []byte
	used int // bytes at the start of buf that were returned
}

// chunkSize is the size of one read.
const chunkSize = 4 << 10

// next returns the whole events that have arrived and the identifier of the
// last of them. It waits until there is at least one. At the end of the stream
// it returns io.EOF; bytes that end without a blank line are returned with it.
func (e *events) next() (whole []byte, last string, err error) {
	e.buf = append(e.buf[:0], e.buf[e.used:]...)
	e.used = 0
	for {
		if end := lastEnd(e.buf); end > 0 {
			e.used = end
			return e.buf[:end], lastID(e.buf[:end]), nil
		}
		if len(e.buf) > maxEvent {
			return nil, "", errLongEvent
		}
		n := len(e.buf)
		if cap(e.buf)-n < chunkSize/2 {
			e.buf = append(make([]byte, 0, cap(e.buf)+chunkSize), e.buf...)
		}
		m, rerr := e.from.Read(e.buf[n:cap(e.buf)])
		e.buf = e.buf[:n+m]
		if rerr != nil {
			if end := lastEnd(e.buf); end > 0 && m > 0 {
				e.used = end
				return e.buf[:end], lastID(e.buf[:end]), nil
			}
			e.used = len(e.buf)
			if rerr == io.EOF { //nolint:errorlint // readers return io.EOF itself
				return e.buf, "", io.EOF
			}
			return nil, "", rerr
		}
	}
}

// lastEnd returns the end of the last whole event, or 0.
func lastEnd(b []byte) int {
	a, c := bytes.LastIndex(b, []byte("\n\n")), bytes.LastIndex(b, []byte("\n\r\n"))
	switch {
	case c > a:
		return c + 3
	case a >= 0:
		return a + 2
	default:
		return 0
	}
}

// lastID returns the identifier of the last event that has one, or "".
func lastID(b []byte) string {
	at := bytes.LastIndex(b, []byte("\nid:"))
	switch {
	case at >= 0:
		b = b[at+4:]
	case bytes.HasPrefix(b, []byte("id:")):
		b = b[3:]
	default:
		return ""
	}
	if end := bytes.IndexByte(b, '\n'); end >= 0 {
		b = b[:end]
	}
	return string(bytes.TrimSpace(b))
}

// after returns the events whose identifiers are greater than last. A server
// that resumes a stream may send an event again.
func after(b []byte, last string) []byte {
	limit, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return b
	}
	for len(b) > 0 {
		end := firstEnd(b)
		id, err := strconv.ParseInt(lastID(b[:end]), 10, 64)
		if err != nil || id > limit {
			return b
		}
		b = b[end:]
	}
	return b
}

// follows tells whether an event comes after the one before it. Identifiers that
// are no numbers tell nothing.
func follows(before, id string) bool {
	x, err := strconv.ParseInt(before, 10, 64)
	if err != nil {
		return true
	}
	y, err := strconv.ParseInt(id, 10, 64)
	return err != nil || y > x
}

// firstEnd returns the end of the first whole event.
func firstEnd(b []byte) int {
	a, c := bytes.Index(b, []byte("\n\n")), bytes.Index(b, []byte("\n\r\n"))
	switch {
	case a >= 0 && (c < 0 || a < c):
		return a + 2
	case c >= 0:
		return c + 3
	default:
		return len(b)
	}
}
