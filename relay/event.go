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
	// maxEvent bounds one event of a stream, in bytes; those of the users have 700 at
	// most. Servers in trouble send bytes without end.
	maxEvent = 64 << 10
	// eventTime bounds the time from the first byte of an event to its end: a server
	// may send a byte a second for ever.
	eventTime = 2 * time.Second
)

var (
	errLongEvent  = errors.New("event of a stream is too long")
	errSlowEvent  = errors.New("event of a stream did not end in time")
	errNoEvent    = errors.New("stream has bytes that are no event with a number")
	errOrder      = errors.New("stream has an event twice or out of order")
	errManyEvents = errors.New("stream has more events than the answer has tokens")
)

// events cuts a stream into whole events. A server may stop in the middle of
// one, which is then not passed on.
type events struct {
	from  io.Reader
	quota *quota.Quota // of the bytes of events that have not ended; nil for no bound
	buf   []byte
	used  int       // bytes at the start of buf that were returned
	since time.Time // of the first byte of an event that has not ended
	held  int64     // bytes taken from the quota
}

// close gives the memory of an event that has not ended back.
func (e *events) close() {
	e.quota.Release(e.held)
	e.held = 0
}

// grow makes room for another read.
func (e *events) grow() error {
	n := len(e.buf)
	if cap(e.buf)-n >= chunkSize/2 {
		return nil
	}
	if more := int64(cap(e.buf)); more > 0 {
		// Beyond the first buffer, which every stream has.
		if !e.quota.TryAcquire(chunkSize) {
			return quota.ErrExhausted
		}
		e.held += chunkSize
	}
	e.buf = append(make([]byte, 0, cap(e.buf)+chunkSize), e.buf...)
	return nil
}

// chunkSize is the size of one read.
const chunkSize = 4 << 10

// next returns the whole events that have arrived and the identifier of the
// last of them. It waits until there is at least one. At the end of the stream
// it returns io.EOF; bytes that end without a blank line are returned with it.
func (e *events) next() (whole []byte, last string, err error) {
	e.buf = append(e.buf[:0], e.buf[e.used:]...)
	e.used = 0
	e.since = time.Time{}
	for {
		if end := lastEnd(e.buf); end > 0 {
			e.used = end
			return e.buf[:end], lastID(e.buf[:end]), nil
		}
		if len(e.buf) > maxEvent {
			return nil, "", errLongEvent
		}
		switch now := time.Now(); {
		case len(e.buf) == 0:
		case e.since.IsZero():
			e.since = now
		case now.Sub(e.since) > eventTime:
			return nil, "", errSlowEvent
		}
		if err := e.grow(); err != nil {
			return nil, "", err
		}
		n := len(e.buf)
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

// check tells whether whole events have numbers that grow, beginning after one. Events
// of another kind are bytes that no server of the users sends.
func check(whole []byte, before string) (count int, err error) {
	for len(whole) > 0 {
		end := firstEnd(whole)
		id := lastID(whole[:end])
		if _, err := strconv.ParseInt(id, 10, 64); err != nil {
			return count, errNoEvent
		}
		if !follows(before, id) {
			return count, errOrder
		}
		before = id
		whole = whole[end:]
		count++
	}
	return count, nil
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
