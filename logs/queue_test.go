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

// gate is a reader of logs that stops reading until it is opened.
type gate struct {
	open chan struct{}

	mu  sync.Mutex
	buf bytes.Buffer
}

func (g *gate) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(b)
}

func (g *gate) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.String()
}

// Guards against a request that waits for a reader of logs that has stopped, and
// against lines that are lost without a word.
func TestStalledReader(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	q := logs.NewAsyncWriter(g)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	begun := time.Now()
	const lines = 2000
	for range lines {
		n, err := q.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	assert.Assert(t, time.Since(begun) < time.Second)
	assert.Assert(t, q.Dropped() > lines/2, "%d lines lost", q.Dropped())
	close(g.open)
	time.Sleep(200 * time.Millisecond)
	_, err := q.Write([]byte("after\n"))
	assert.NilError(t, err)
	q.Close(time.Second)
	assert.Assert(t, strings.Contains(g.text(), `"message":"lines left out"`))
	assert.Assert(t, strings.HasSuffix(g.text(), "after\n"))
}

// Guards against lines that are out of order or missing while the reader keeps up.
func TestQueueKeepsOrder(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	q := logs.NewAsyncWriter(g)
	var want strings.Builder
	for i := range 500 {
		line := strings.Repeat("y", i%7) + "\n"
		want.WriteString(line)
		_, err := q.Write([]byte(line))
		assert.NilError(t, err)
	}
	q.Close(time.Second)
	assert.Equal(t, g.text(), want.String())
	assert.Equal(t, q.Dropped(), uint64(0))
}
