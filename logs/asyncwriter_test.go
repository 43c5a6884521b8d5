package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/logs"
)

// blockingWriter blocks every Write until open is closed, like a pipe whose
// reader has stopped.
type blockingWriter struct {
	open chan struct{}

	mu  sync.Mutex
	buf bytes.Buffer
}

func (g *blockingWriter) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(b)
}

func (g *blockingWriter) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.String()
}

// Guards against requests that block because the reader of the logs has stopped,
// and against lines that are dropped without a warning.
func TestStalledReader(t *testing.T) {
	g := &blockingWriter{open: make(chan struct{})}
	w := logs.NewAsyncWriter(g)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	begun := time.Now()
	const lines = 2000
	for range lines {
		n, err := w.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	assert.Assert(t, time.Since(begun) < time.Second)
	assert.Assert(t, w.Dropped() > lines/2, "%d lines lost", w.Dropped())
	close(g.open)
	time.Sleep(200 * time.Millisecond)
	_, err := w.Write([]byte("after\n"))
	assert.NilError(t, err)
	w.Close(time.Second)
	assert.Assert(t, strings.Contains(g.text(), `"message":"lines left out"`))
	assert.Assert(t, strings.HasSuffix(g.text(), "after\n"))
}

// Guards against lines that are reordered or dropped while the reader keeps up.
func TestAsyncWriterKeepsOrder(t *testing.T) {
	g := &blockingWriter{open: make(chan struct{})}
	close(g.open)
	w := logs.NewAsyncWriter(g)
	var want strings.Builder
	for i := range 500 {
		line := strings.Repeat("y", i%7) + "\n"
		want.WriteString(line)
		_, err := w.Write([]byte(line))
		assert.NilError(t, err)
	}
	w.Close(time.Second)
	assert.Equal(t, g.text(), want.String())
	assert.Equal(t, w.Dropped(), uint64(0))
}
