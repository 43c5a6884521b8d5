package engine

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/goccy/go-json"

	"github.com/cranberrybay/cranberrybay/fault"
)

const (
	// maxFrame bounds one frame, which is one line of an answer, in bytes.
	maxFrame = 64 << 10
	// stageCommas bounds the commas of a frame for each stage, and for what is said once. They bound the elements of its
	// lists, which take up to 70 times as much memory as their text. A stage has 20: a load report, a range, two times.
	stageCommas = 64
)

// Answer is the stream of frames that an engine answers to a job.
type Answer struct {
	body      io.ReadCloser
	reader    *bufio.Reader
	cancel    context.CancelFunc
	maxCommas int // of a frame
}

func newAnswer(body io.ReadCloser, cancel context.CancelFunc, stages int) *Answer {
	return &Answer{body: body, reader: bufio.NewReaderSize(body, 4096), cancel: cancel, maxCommas: stageCommas * (stages + 1)}
}

// Next decodes the next frame into f and reuses the slices of f. It returns io.EOF
// when the answer has ended; an incomplete line at its end is ignored. All other
// errors carry a verdict; if a stage reported that another stage failed, the error
// wraps a StageError.
func (a *Answer) Next(f *Frame) error {
	line, err := a.readLine()
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	if err != nil {
		return fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: "the connection to the engine was lost", Cause: err})
	}
	if n := bytes.Count(line, []byte{','}); n > a.maxCommas {
		return fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: fmt.Sprintf("a frame has %d values or more, over %d", n, a.maxCommas)})
	}
	*f = Frame{Ranges: f.Ranges[:0], Took: f.Took[:0], Hops: f.Hops[:0]}
	if err := json.Unmarshal(line, f); err != nil {
		return fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: "a frame can't be decoded", Cause: err})
	}
	f.Loads = slices.DeleteFunc(f.Loads, func(l LoadReport) bool { return !l.valid() })
	if f.Fault != "" {
		return fault.New(fault.Config{
			Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: "a stage failed",
			Cause: &StageError{Failed: f.Failed, Observer: f.From, Reason: f.Reason, Text: f.Fault},
		})
	}
	return nil
}

// readLine returns the next line, which is valid until the next call.
func (a *Answer) readLine() ([]byte, error) {
	line, err := a.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	long := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long) > maxFrame {
			return nil, errors.New("a frame is over 64 KiB")
		}
		line, err = a.reader.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, err
}

// HasBufferedFrame reports whether the next frame has been received completely, so
// that Next would not block. A writer can delay its flush while it returns true.
func (a *Answer) HasBufferedFrame() bool {
	b, _ := a.reader.Peek(a.reader.Buffered())
	return bytes.IndexByte(b, '\n') >= 0
}

// Close closes the connection of the answer. If the answer has not ended, the
// engine cancels the job.
func (a *Answer) Close() {
	a.cancel()
	_ = a.body.Close()
}
