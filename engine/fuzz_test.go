package engine

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fault"
)

// FuzzFrames guards against answers of an engine that make the process panic, carry
// content of one frame over to the next, or end with an error without a verdict.
func FuzzFrames(f *testing.F) {
	f.Add([]byte(`{"tag":1,"attempt":1,"position":0,"token":"a ","ranges":[[0,8],[8,16]],"took":[1,2],"hops":[3]}` + "\n" + `{"tag":1,"attempt":1,"position":1,"stop":"end"}` + "\n"))
	f.Add([]byte(`{"fault":"lost","failed":"a:1","from":"b:1"}` + "\n"))
	f.Add([]byte("{\"position\":-1,\"ranges\":[[1]]}\n{\n\n"))
	f.Add([]byte(`{"tag":1`))
	f.Fuzz(func(t *testing.T, body []byte) {
		a := newAnswer(io.NopCloser(bytes.NewReader(body)), func() {}, 1)
		defer a.Close()
		var fr Frame
		for frames := 0; ; frames++ {
			assert.Assert(t, frames <= bytes.Count(body, []byte("\n")))
			_ = a.HasBufferedFrame()
			err := a.Next(&fr)
			if errors.Is(err, io.EOF) && fault.VerdictOf(err) != fault.MayHaveRun {
				return
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					assert.Equal(t, fault.VerdictOf(err), fault.MayHaveRun)
				}
				return
			}
			assert.Assert(t, fr.Fault == "" && len(fr.Token) <= 2*maxFrame*3)
		}
	})
}

// roundTripFunc implements http.RoundTripper.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(rq *http.Request) (*http.Response, error) { return f(rq) }

// countingReader counts the bytes that are read from a body.
type countingReader struct {
	io.Reader
	n *int
}

func (c countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	*c.n += n
	return n, err
}

func (c countingReader) Close() error { return nil }

// endlessReader returns the same byte endlessly.
type endlessReader byte

func (e endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(e)
	}
	return len(p), nil
}

// TestLongReply guards against an endless reply of a backend server that exhausts
// the memory of the entry process.
func TestLongReply(t *testing.T) {
	read := 0
	c := New(Config{Client: &http.Client{Transport: roundTripFunc(func(*http.Request) (*http.Response, error) {
		body := io.MultiReader(bytes.NewReader([]byte(`{"boot":"`)), io.LimitReader(endlessReader('a'), 64<<20))
		return &http.Response{StatusCode: http.StatusOK, Body: countingReader{body, &read}}, nil
	})}})
	_, err := c.Load(context.Background(), "a:1")
	assert.ErrorContains(t, err, "can't be decoded")
	assert.Assert(t, read <= maxReply, "read %d bytes", read)
}

// FuzzLoad guards against load reports that make the process panic, and against
// accepted reports with impossible values.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(`{"boot":"b","kind":"a","model":"lights","version":"1","first":0,"last":8,"slots":8,"running":1,"ready":true}`))
	f.Add([]byte(`{"slots":-1,"running":-2,"waiting":-3}`))
	f.Add([]byte(`{"first":8,"last":0}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		c := New(Config{Client: &http.Client{Transport: roundTripFunc(func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(body))}, nil
		})}})
		l, err := c.Load(context.Background(), "a:1")
		if err != nil {
			assert.Equal(t, fault.VerdictOf(err), fault.MayHaveRun)
			return
		}
		assert.Assert(t, l.Slots >= 0 && l.Running >= 0 && l.Waiting >= 0, "%+v", l)
		assert.Assert(t, l.First >= 0 && l.Last >= l.First, "%+v", l)
	})
}
