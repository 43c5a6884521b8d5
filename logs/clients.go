package logs

import (
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

const (
	// clientRate and clientBurst bound the lines that clients cause, in bytes a second and at once. A failed request
	// takes two lines of about 400 bytes.
	clientRate  = 256 << 10
	clientBurst = maxBufferedBytes / 2
)

// clientWriter passes on lines that clients cause up to clientRate, so that they neither fill the log nor keep out lines
// about anything else. It counts the others, and says how many there were before the next line. Errors always pass.
type clientWriter struct {
	out     io.Writer
	limiter *rate.Limiter

	mu            sync.Mutex
	unlogged      uint64 // lines since the last notice
	unloggedTotal uint64
}

func newClientWriter(out io.Writer) *clientWriter {
	return &clientWriter{out: out, limiter: rate.NewLimiter(clientRate, clientBurst)}
}

// Write passes a line on or counts it. It always reports success.
func (w *clientWriter) Write(line []byte) (int, error) { return w.WriteLevel(zerolog.NoLevel, line) }

// WriteLevel is Write for a line with a level.
func (w *clientWriter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	urgent := level >= zerolog.ErrorLevel && level <= zerolog.PanicLevel
	async, ok := w.out.(*AsyncWriter)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !urgent && (ok && !async.hasRoom() || !w.limiter.AllowN(time.Now(), len(line))) {
		w.unlogged++
		w.unloggedTotal++
		return len(line), nil
	}
	if w.unlogged > 0 {
		notice := append([]byte(`{"level":"warn","part":"logs","unlogged":`), strconv.FormatUint(w.unlogged, 10)...)
		_, _ = w.out.Write(append(notice, `,"message":"lines about clients left out"}`+"\n"...)) // fails as the line does
		w.unlogged = 0
	}
	return w.out.Write(line)
}

// total returns the number of lines that were not passed on.
func (w *clientWriter) total() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unloggedTotal
}
