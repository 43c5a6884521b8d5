package engine

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"slices"

	"github.com/goccy/go-json"

	"github.com/cranberrybay/cranberrybay/fault"
)

// maxFrame bounds one line of an answer.
const maxFrame = 64 << 10

// Answer is the stream of frames of one job.
type Answer struct {
	body   io.ReadCloser
	reader *bufio.Reader
	cancel context.CancelFunc
}

func newAnswer(body io.ReadCloser, cancel context.CancelFunc) *Answer {
	return &Answer{body: body, reader: bufio.NewReaderSize(body, 4096), cancel: cancel}
}

// Next reads the next frame into f and reuses its slices. It returns io.EOF
// after the last one. Other errors carry the verdict; an error that a stage
// reported about another one wraps a StageError.
func (a *Answer) Next(f *Frame) error {
	line, err := a.line()
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	if err != nil {
		return fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: "the connection to the engine was lost", Cause: err})
	}
	*f = Frame{Ranges: f.Ranges[:0], Took: f.Took[:0], Hops: f.Hops[:0]}
	if err := json.Unmarshal(line, f); err != nil {
		return fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: "a frame can't be decoded", Cause: err})
	}
	f.Loads = slices.DeleteFunc(f.Loads, func(l LoadReport) bool { return !l.possible() })
	if f.Fault != "" {
		return fault.New(fault.Config{
			Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: "a stage failed",
			Cause: &StageError{Failed: f.Failed, Observer: f.From, Reason: f.Reason, Text: f.Fault},
		})
	}
	return nil
}

// line returns the next line. It is valid until the next call.
func (a *Answer) line() ([]byte, error) {
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

// HasBufferedFrame tells whether a whole frame has been received that Next has not
// returned yet, so that a writer can delay its flush.
func (a *Answer) HasBufferedFrame() bool {
	b, _ := a.reader.Peek(a.reader.Buffered())
	return bytes.IndexByte(b, '\n') >= 0
}

// Close ends the exchange. The engine takes it as a cancellation.
func (a *Answer) Close() {
	a.cancel()
	_ = a.body.Close()
}
