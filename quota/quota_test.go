package quota_test

import (
	"bytes"
	"errors"
	"flag"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrybay/cranberrybay/quota"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204") // scripts/soak draws fresh ones
}

// endless is a message without an end.
type endless struct{ read int64 }

func (e *endless) Read(b []byte) (int, error) {
	e.read += int64(len(b))
	return len(b), nil
}

// left returns the bytes that can still be taken.
func left(q *quota.Quota) int64 {
	n := int64(0)
	for step := int64(1 << 30); step > 0; step /= 2 {
		if q.TryAcquire(step) {
			n += step
		}
	}
	q.Release(n)
	return n
}

// Guards against a message that takes more than its bound or the quota, and against
// bytes that are not given back.
func TestRead(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(0, 200_000).Draw(rt, "size")
		most := rapid.Int64Range(1, 150_000).Draw(rt, "most")
		total := rapid.Int64Range(1, 400_000).Draw(rt, "total")
		q := quota.New(total)
		text := strings.Repeat("x", size)
		var r io.Reader = strings.NewReader(text)
		if size < 3000 {
			r = iotest.OneByteReader(r)
		}
		b, release, err := q.Read(r, most)
		switch {
		case err == nil && (string(b) != text || int64(size) > most):
			rt.Fatalf("read %d of %d bytes with a bound of %d", len(b), size, most)
		case errors.Is(err, quota.ErrTooLong) && int64(size) <= most, errors.Is(err, quota.ErrExhausted) && total > 2*int64(size)+4096:
			rt.Fatalf("%d bytes, bound %d, quota %d: %v", size, most, total, err)
		}
		if err == nil && left(q) == total && size > 0 {
			rt.Fatal("a message that is held takes nothing")
		}
		release()
		release()
		if left(q) != total {
			rt.Fatalf("%d of %d bytes are left", left(q), total)
		}
	})
}

// Guards against messages without an end that are read on, one or many of them.
func TestEndless(t *testing.T) {
	q := quota.New(1 << 20)
	e := &endless{}
	_, _, err := q.Read(e, 100_000)
	assert.Assert(t, errors.Is(err, quota.ErrTooLong))
	assert.Assert(t, e.read <= 200_000, "%d bytes were read", e.read)
	assert.Equal(t, left(q), int64(1<<20))
	for range 10 {
		b, _, err := q.Read(bytes.NewReader(make([]byte, 100_000)), 100_000)
		if err != nil {
			assert.Assert(t, errors.Is(err, quota.ErrExhausted))
			break
		}
		assert.Equal(t, len(b), 100_000)
	}
	_, _, err = q.Read(&endless{}, 8<<20)
	assert.Assert(t, errors.Is(err, quota.ErrExhausted))
}

// Guards against an answer that is cut off and taken for a whole one.
func TestBrokenOff(t *testing.T) {
	q := quota.New(1 << 20)
	_, _, err := q.Read(io.MultiReader(strings.NewReader("half"), iotest.ErrReader(io.ErrUnexpectedEOF)), 100)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
	assert.Equal(t, left(q), int64(1<<20))
}
