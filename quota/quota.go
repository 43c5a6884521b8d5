// Package quota bounds the bytes that all exchanges of a process hold at once, so that
// many long answers, or answers without an end, take a bounded part of its VM's memory.
package quota

import (
	"errors"
	"io"

	"golang.org/x/sync/semaphore"
)

// Errors of Read.
var (
	ErrTooLong   = errors.New("message is longer than its bound")
	ErrExhausted = errors.New("messages in flight take all the memory set aside for them")
)

const (
	// first is the size of the first buffer of a message; most are shorter.
	first = 4 << 10
	// vmShare is the part of a VM's memory that messages may take. The rest is for the
	// program, its tables and the garbage of its runtime.
	vmShare = 0.2
)

// Quota is a number of bytes that messages share. A nil Quota is without a bound.
type Quota struct{ bytes *semaphore.Weighted }

// New returns a quota of so many bytes.
func New(bytes int64) *Quota { return &Quota{bytes: semaphore.NewWeighted(bytes)} }

// ForVM returns the quota of a VM with so many megabytes.
func ForVM(megabytes int64) *Quota { return New(int64(vmShare * float64(megabytes) * (1 << 20))) }

// TryAcquire takes bytes and tells whether they were there.
func (q *Quota) TryAcquire(bytes int64) bool { return q == nil || q.bytes.TryAcquire(bytes) }

// Release gives bytes back.
func (q *Quota) Release(bytes int64) {
	if q != nil {
		q.bytes.Release(bytes)
	}
}

// Read reads a message to its end. It fails with ErrLong when there are more than most
// bytes, and with ErrFull when the quota is used up. The bytes are given back by
// release, which is never nil, or at once after an error.
func (q *Quota) Read(r io.Reader, most int64) (b []byte, release func(), err error) {
	held := int64(0)
	release = func() {
		q.Release(held)
		held = 0
	}
	for {
		if len(b) == cap(b) {
			size := min(max(2*int64(cap(b)), first), most+1)
			if int64(len(b)) > most {
				release()
				return nil, release, ErrTooLong
			}
			if !q.TryAcquire(size - held) {
				release()
				return nil, release, ErrExhausted
			}
			held = size
			b = append(make([]byte, 0, size), b...)
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case err == io.EOF && int64(len(b)) <= most: //nolint:errorlint // readers return io.EOF itself
			return b, release, nil
		case err != nil && err != io.EOF: //nolint:errorlint // as above
			release()
			return nil, release, err
		case int64(len(b)) > most:
			release()
			return nil, release, ErrTooLong
		}
	}
}
