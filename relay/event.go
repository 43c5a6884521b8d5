package relay

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/cranberrybay/cranberrybay/quota"
)

const (
	// maxEventBytes bounds one event of a stream. Events have 700 bytes at most in normal
	// operation, but a faulty server may send bytes without end.
	maxEventBytes = 64 << 10
	// maxEventDuration bounds the time from the first to the last byte of an event: a faulty
	// server may send one byte a second forever.
	maxEventDuration = 2 * time.Second
)

var (
	errEventTooLong   = errors.New("event of a stream is too long")
	errEventTimeout   = errors.New("event of a stream did not end in time")
	errNoEventNumber  = errors.New("stream has bytes that are no event with a number")
	errEventLine      = errors.New("event of a stream has a line that is no field")
	errEventOrder     = errors.New("stream has an event twice or out of order")
	errTooManyEvents  = errors.New("stream has more events than the answer has tokens")
	errEventCut       = errors.New("stream ended inside an event")
	errNoContinuation = errors.New("answer does not continue the stream")
	errEndsEarlier    = errors.New("resumed stream ended before the event after which it resumes")
	errNoEvents       = errors.New("stream ended with its connection before the first event")
)

// eventReader splits a server-sent event stream into complete events. A server may fail in the
// middle of an event; the incomplete event is not passed on.
type eventReader struct {
	src          io.Reader
	quota        *quota.Quota // charged for what buf grows beyond its first size; nil for no bound
	buf          []byte
	consumed     int       // bytes at the start of buf that next has returned
	partialSince time.Time // when the first byte of an incomplete event was seen
	quotaHeld    int64     // bytes acquired from quota
}

// close releases the quota held for buf.
func (e *eventReader) close() {
	e.quota.Release(e.quotaHeld)
	e.quotaHeld = 0
}

// grow ensures that buf has space for another read.
func (e *eventReader) grow() error {
	n := len(e.buf)
	if cap(e.buf)-n >= readSize/2 {
		return nil
	}
	if more := int64(cap(e.buf)); more > 0 {
		// Only growth beyond the first buffer is charged: every stream has one.
		if !e.quota.TryAcquire(readSize) {
			return quota.ErrExhausted
		}
		e.quotaHeld += readSize
	}
	e.buf = append(make([]byte, 0, cap(e.buf)+readSize), e.buf...)
	return nil
}

// readSize is the size of the first buffer and the step by which it grows.
const readSize = 4 << 10

// next blocks until at least one complete event has arrived. It returns all complete events and the
// identifier of the last event that has one. At the end of the stream it returns io.EOF, or
// errEventCut if the stream ends with bytes that no blank line ends.
func (e *eventReader) next() (complete []byte, lastID string, err error) {
	e.buf = append(e.buf[:0], e.buf[e.consumed:]...)
	e.consumed = 0
	e.partialSince = time.Time{}
	for {
		if end := lastEventEnd(e.buf); end > 0 {
			e.consumed = end
			return e.buf[:end], lastEventID(e.buf[:end]), nil
		}
		if len(e.buf) > maxEventBytes {
			return nil, "", errEventTooLong
		}
		switch now := time.Now(); {
		case len(e.buf) == 0:
		case e.partialSince.IsZero():
			e.partialSince = now
		case now.Sub(e.partialSince) > maxEventDuration:
			return nil, "", errEventTimeout
		}
		if err := e.grow(); err != nil {
			return nil, "", err
		}
		n := len(e.buf)
		m, rerr := e.src.Read(e.buf[n:cap(e.buf)])
		e.buf = e.buf[:n+m]
		if rerr != nil {
			if end := lastEventEnd(e.buf); end > 0 && m > 0 {
				e.consumed = end
				return e.buf[:end], lastEventID(e.buf[:end]), nil
			}
			e.consumed = len(e.buf)
			if rerr == io.EOF && len(bytes.TrimRight(e.buf, "\r\n")) > 0 { //nolint:errorlint // readers return io.EOF itself
				return nil, "", errEventCut
			}
			return nil, "", rerr
		}
	}
}

// lastEventEnd returns the end offset of the last complete event, or 0 if there is none.
func lastEventEnd(b []byte) int {
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

// lastEventID returns the identifier of the last event that has one, or "".
func lastEventID(b []byte) string {
	start := bytes.LastIndex(b, []byte("\nid:"))
	switch {
	case start >= 0:
		b = b[start+4:]
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

// eventsAfter drops leading events whose identifiers are at most lastID. A server that resumes a
// stream may send events again.
func eventsAfter(b []byte, lastID string) []byte {
	limit, err := strconv.ParseInt(lastID, 10, 64)
	if err != nil {
		return b
	}
	for len(b) > 0 {
		end := firstEventEnd(b)
		id, err := strconv.ParseInt(lastEventID(b[:end]), 10, 64)
		if err != nil || id > limit {
			return b
		}
		b = b[end:]
	}
	return b
}

// validateEvents checks that each event consists of fields and has a number greater than that of the
// event before it, starting from previous. It returns the count of events up to the first invalid one.
// Servers always number their events; anything else is damaged data, such as the text of an error or the
// head of another answer.
func validateEvents(complete []byte, previous string) (count int, err error) {
	for len(complete) > 0 {
		end := firstEventEnd(complete)
		id := lastEventID(complete[:end])
		if _, err := strconv.ParseInt(id, 10, 64); err != nil {
			return count, errNoEventNumber
		}
		if !hasOnlyFields(complete[:end]) {
			return count, errEventLine
		}
		if !follows(previous, id) {
			return count, errEventOrder
		}
		previous = id
		complete = complete[end:]
		count++
	}
	return count, nil
}

// hasOnlyFields reports whether each line of an event is empty, a comment or a field. Names of fields
// consist of lower-case letters, digits, hyphens and underscores; those without a value need no colon.
func hasOnlyFields(event []byte) bool {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		event = rest
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, _, hasValue := bytes.Cut(line, []byte(":"))
		for _, c := range name {
			if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' {
				return false
			}
		}
		if !hasValue && len(line) > 0 && !isStandardField(string(line)) {
			return false
		}
	}
	return true
}

// isStandardField reports whether the standard of event streams defines a field.
func isStandardField(name string) bool {
	return name == "data" || name == "event" || name == "id" || name == "retry"
}

// follows reports whether id is greater than previous. It returns true if either is not a number.
func follows(previous, id string) bool {
	x, err := strconv.ParseInt(previous, 10, 64)
	if err != nil {
		return true
	}
	y, err := strconv.ParseInt(id, 10, 64)
	return err != nil || y > x
}

// firstEventEnd returns the end offset of the first complete event, or len(b) if there is none.
func firstEventEnd(b []byte) int {
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
