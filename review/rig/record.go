package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run.
type record struct {
	start time.Time

	mu    sync.Mutex
	lines []string
}

// add adds a line with the time since the start.
func (r *record) add(format string, args ...any) {
	line := fmt.Sprintf("%9.3f s  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

// save writes the list to a file.
func (r *record) save(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	begin := "The record begins at " + r.start.UTC().Format("2006-01-02T15:04:05.000Z") + "."
	return os.WriteFile(path, []byte(begin+"\n"+strings.Join(r.lines, "\n")+"\n"), 0o644)
}
