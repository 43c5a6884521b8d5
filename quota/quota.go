// Package quota bounds the memory for messages that a process buffers, so that many long
// messages, or messages without end, use a bounded part of the VM's memory.
package quota

import (
	"errors"
	"io"
	"math"
	"runtime/debug"

	"golang.org/x/sync/semaphore"
)

// Errors returned by Read.
var (
	ErrTooLong   = errors.New("message is longer than its bound")
	ErrExhausted = errors.New("messages in flight take all the memory set aside for them")
)

const (
	// initialBufferSize is the size of a message's first buffer; most messages are shorter.
	initialBufferSize = 4 << 10
	// vmMemoryShare is the share of a VM's memory that buffered messages may use. The rest is for
	// the program, its tables and the garbage that the runtime has not collected yet.
	vmMemoryShare = 0.2
)

// Quota is a number of bytes shared by concurrent messages. A nil Quota has no bound. It is safe
// for concurrent use.
type Quota struct{ bytes *semaphore.Weighted }

// New returns a quota of the given size in bytes.
func New(bytes int64) *Quota { return &Quota{bytes: semaphore.NewWeighted(bytes)} }

// ForVM returns the quota for a VM with the given memory in MiB.
func ForVM(memoryMB int64) *Quota { return New(int64(vmMemoryShare * float64(memoryMB) * (1 << 20))) }

const (
	// programBytes is the memory beside heap and sockets: the program file, whose pages are resident, and what the runtime takes
	// beyond its limit while requests allocate quickly.
	programBytes = 36 << 20
	// maxHeapShare and minHeapShare bound the share of a VM's memory that the runtime may take before it collects garbage
	// more often than it would by itself.
	maxHeapShare, minHeapShare = 0.7, 0.25
)

// HeapLimit returns the memory that the runtime may take on a VM with memoryMB MiB, of which the kernel may hold
// socketBytes for sockets.
func HeapLimit(memoryMB, socketBytes int64) int64 {
	memory := memoryMB << 20
	share := func(x float64) int64 { return int64(x * float64(memory)) }
	return min(max(memory-socketBytes-programBytes, share(minHeapShare)), share(maxHeapShare))
}

// LimitHeap makes the runtime leave enough of a VM's memory to the program file and to sockets, for which the kernel may
// hold socketBytes, unless the environment variable GOMEMLIMIT sets a limit. Without one the heap may grow to twice
// what is in use, and beyond that while requests allocate quickly.
func LimitHeap(memoryMB, socketBytes int64) {
	if debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(HeapLimit(memoryMB, socketBytes))
	}
}

// TryAcquire acquires bytes if that many are available, and reports whether it did. It does not
// wait.
func (q *Quota) TryAcquire(bytes int64) bool { return q == nil || q.bytes.TryAcquire(bytes) }

// Release returns acquired bytes.
func (q *Quota) Release(bytes int64) {
	if q != nil {
		q.bytes.Release(bytes)
	}
}

// Read reads a message up to io.EOF into memory charged to the quota. It fails with ErrTooLong if
// the message has more than maxBytes bytes, and with ErrExhausted if the quota is used up. The
// caller must call release when it no longer needs b; it is never nil and may be called more than
// once. After an error the bytes are already released.
func (q *Quota) Read(r io.Reader, maxBytes int64) (b []byte, release func(), err error) {
	if b, release, err = q.ReadPart(r, maxBytes); err != nil {
		release()
		b = nil
	}
	return b, release, err
}

// ReadPart is Read, but after ErrTooLong and ErrExhausted it returns what it has read of the message, which stays
// charged until release. The rest can be read from r.
func (q *Quota) ReadPart(r io.Reader, maxBytes int64) (b []byte, release func(), err error) {
	held := int64(0)
	release = func() {
		q.Release(held)
		held = 0
	}
	for {
		if len(b) == cap(b) {
			size := min(max(2*int64(cap(b)), initialBufferSize), maxBytes+1)
			if int64(len(b)) > maxBytes {
				return b, release, ErrTooLong
			}
			// Both buffers are in memory during the copy.
			if !q.TryAcquire(size) {
				return b, release, ErrExhausted
			}
			b = append(make([]byte, 0, size), b...)
			q.Release(held)
			held = size
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case err == io.EOF && int64(len(b)) <= maxBytes: //nolint:errorlint // readers return io.EOF itself
			return b, release, nil
		case err != nil && err != io.EOF: //nolint:errorlint // as above
			release()
			return nil, release, err
		case int64(len(b)) > maxBytes:
			return b, release, ErrTooLong
		}
	}
}
