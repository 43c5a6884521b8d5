package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start of the case.
type record struct {
	mu      sync.Mutex
	out     io.WriteCloser
	started time.Time
	broken  []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: f, started: time.Now()}, nil
}

// add writes a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// breaks notes that a rule is broken.
func (r *record) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.add("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// close writes the result and returns the exit code of the case.
func (r *record) close() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	code, result := 0, "the rule held"
	if len(r.broken) > 0 {
		code, result = 1, fmt.Sprintf("the rule was broken, %d times", len(r.broken))
	}
	_, _ = fmt.Fprintf(r.out, "%8.3f  RESULT %s\n", time.Since(r.started).Seconds(), result)
	_ = r.out.Close()
	fmt.Println(result)
	return code
}
