// Package engine is the port of a model engine, and its HTTP adapter. An
// engine holds a range of layers of a model. The first stage of a route takes
// the job and streams the tokens back; stages pass activations to each other.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
)

// Stage is one entry of the route that travels with a job.
type Stage struct {
	Address string `json:"address"`
	First   int    `json:"first"` // first layer, inclusive
	Last    int    `json:"last"`  // last layer, exclusive
}

// Job is the body of POST /generate.
type Job struct {
	Request  string   `json:"request"`            // unique ID of the caller's request
	Attempt  int      `json:"attempt"`            // grows with each route that is tried
	Model    string   `json:"model"`              // model name
	Route    []Stage  `json:"route"`              // the first stage is the receiver
	Prompt   string   `json:"prompt"`             // prompt text
	Accepted []string `json:"accepted,omitempty"` // tokens that the caller already has
	Limit    int      `json:"limit"`              // tokens of the whole answer at most
	Priority int      `json:"priority"`           // higher runs earlier
}

// Frame is one line of the answer to a job.
type Frame struct {
	Attempt  int      `json:"attempt"`
	Position int      `json:"position"`         // index of the token in the answer
	Token    string   `json:"token,omitempty"`  // text of the token
	Ranges   [][2]int `json:"ranges,omitempty"` // layer ranges passed, in order
	Stop     string   `json:"stop,omitempty"`   // "end" or "limit" in the last frame
	Fault    string   `json:"fault,omitempty"`  // why the attempt failed
	Failed   string   `json:"failed,omitempty"` // address of the stage that failed
}

// Load is the answer to GET /load.
type Load struct {
	Kind    string `json:"kind"` // accelerator kind
	Model   string `json:"model"`
	Version string `json:"version"`
	First   int    `json:"first"`
	Last    int    `json:"last"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Ready   bool   `json:"ready"`
	Leaving bool   `json:"leaving"`
}

// NotRunHeader marks a refusal of a request that the server has not run.
const NotRunHeader = "X-Not-Run"

// maxFrame bounds one line of an answer.
const maxFrame = 1 << 20

// Answer is the stream of frames of one job.
type Answer struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	cancel  context.CancelFunc
}

// Next returns the next frame. It returns io.EOF after the last one.
func (a *Answer) Next() (Frame, error) {
	var f Frame
	if !a.scanner.Scan() {
		if err := a.scanner.Err(); err != nil {
			return f, fmt.Errorf("read frame: %w", err)
		}
		return f, io.EOF
	}
	if err := json.Unmarshal(a.scanner.Bytes(), &f); err != nil {
		return f, fmt.Errorf("decode frame: %w", err)
	}
	return f, nil
}

// Close ends the exchange. The engine takes it as a cancellation.
func (a *Answer) Close() {
	a.cancel()
	_ = a.body.Close()
}

// Config holds the HTTP client of the adapter.
type Config struct {
	Client *http.Client // nil for a client with a transport of its own
}

// Client calls engines over HTTP.
type Client struct{ http *http.Client }

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Client == nil {
		tr := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
		tr.DialContext = (&net.Dialer{Timeout: time.Second}).DialContext
		cfg.Client = &http.Client{Transport: tr}
	}
	return &Client{http: cfg.Client}
}

// Generate sends a job to the first stage of its route. The verdict of an
// error says whether the engine may have started it.
func (c *Client) Generate(ctx context.Context, j Job) (*Answer, error) {
	body, err := json.Marshal(j)
	if err != nil {
		return nil, fmt.Errorf("encode job: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	rs, err := c.post(ctx, "http://"+j.Route[0].Address+"/generate", body)
	if err != nil {
		cancel()
		return nil, err
	}
	s := bufio.NewScanner(rs.Body)
	s.Buffer(make([]byte, 0, 4096), maxFrame)
	return &Answer{body: rs.Body, scanner: s, cancel: cancel}, nil
}

func (c *Client) post(ctx context.Context, url string, body []byte) (*http.Response, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build engine request: %w", err)
	}
	rq.Header.Set("Content-Type", "application/json")
	rs, err := c.http.Do(rq)
	if err != nil {
		return nil, fault.New(fault.Config{Verdict: sendVerdict(err), Code: fault.Unavailable, Reason: "engine does not answer", Cause: err})
	}
	if rs.StatusCode == http.StatusOK {
		return rs, nil
	}
	defer rs.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(rs.Body, 512))
	v := fault.MayHaveRun
	if rs.Header.Get(NotRunHeader) == "true" {
		v = fault.NotRun
	}
	return nil, fault.New(fault.Config{Verdict: v, Code: fault.Unavailable, Reason: fmt.Sprintf("engine answered %d: %s", rs.StatusCode, bytes.TrimSpace(text))})
}

// sendVerdict decides from a transport error whether the request was sent.
func sendVerdict(err error) fault.Verdict {
	var oe *net.OpError
	if errors.As(err, &oe) && oe.Op == "dial" {
		return fault.NotRun
	}
	return fault.MayHaveRun
}

// Load reads the load report of an engine or a plain service.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var l Load
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return l, fmt.Errorf("build load request: %w", err)
	}
	rs, err := c.http.Do(rq)
	if err != nil {
		return l, fmt.Errorf("read load of %s: %w", address, err)
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return l, fmt.Errorf("read load of %s: status %d", address, rs.StatusCode)
	}
	if err := json.NewDecoder(rs.Body).Decode(&l); err != nil {
		return l, fmt.Errorf("decode load of %s: %w", address, err)
	}
	return l, nil
}

// Cancel tells the stages of a route that a request has ended.
func (c *Client) Cancel(ctx context.Context, address, request string) error {
	body, err := json.Marshal(map[string]string{"request": request})
	if err != nil {
		return fmt.Errorf("encode cancellation: %w", err)
	}
	rs, err := c.post(ctx, "http://"+address+"/cancel", body)
	if err != nil {
		return err
	}
	return rs.Body.Close()
}
