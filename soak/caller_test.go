package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	callWait = 4000 // ms that callers wait
	// slack is added to bounds for a busy machine.
	slack   = time.Second
	shopKey = "key-1"
)

// callers send requests to the entry processes and check the answers.
type callers struct {
	servers *servers
	nodes   []*process
	key     atomic.Pointer[string]

	mu      sync.Mutex
	list    []string // addresses that callers know
	refused []string // orders that were answered "not run"
	served  map[string]int
	failed  map[string]int
	broken  []string
	next    int
}

func (c *callers) fault(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// resolve asks the entry processes where to connect, every second.
func (c *callers) resolve(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		for _, i := range rand.Perm(len(c.nodes)) {
			p := c.nodes[i]
			rs, err := client.Get("http://" + p.directory + "/-/resolve?name=h&region=r&zone=" + p.zone)
			if err != nil {
				continue
			}
			var a struct {
				Addresses []string `json:"addresses"`
			}
			err = json.NewDecoder(rs.Body).Decode(&a)
			_ = rs.Body.Close()
			if err == nil && len(a.Addresses) > 0 {
				c.mu.Lock()
				c.list = a.Addresses
				c.mu.Unlock()
				break
			}
		}
		time.Sleep(time.Second)
	}
}

// run sends one request after the other on kept connections.
func (c *callers) run(ctx context.Context, r *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	for ctx.Err() == nil {
		c.mu.Lock()
		c.next++
		id := fmt.Sprintf("r%07d", c.next)
		address := ""
		if len(c.list) > 0 {
			address = c.list[r.Intn(len(c.list))]
		}
		c.mu.Unlock()
		if address == "" {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if r.Intn(3) == 0 {
			c.order(client, address, id)
		} else {
			c.stream(client, address, id)
		}
		time.Sleep(time.Duration(r.Intn(30)) * time.Millisecond)
	}
}

func (c *callers) send(client *http.Client, address, path, id string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callWait*time.Millisecond)
	rq, err := http.NewRequestWithContext(ctx, "POST", "http://"+address+path, strings.NewReader("body"))
	if err != nil {
		cancel()
		return nil, err
	}
	rq.Host = "h"
	rq.Header.Set(idHeader, id)
	rq.Header.Set("X-Cranberrybay-Deadline-Ms", strconv.Itoa(callWait))
	rq.Header.Set("X-Cranberrybay-Token-Usage", "100,50")
	rq.Header.Set("Authorization", "Bearer "+*c.key.Load())
	rs, err := client.Do(rq)
	if err != nil {
		cancel()
		return nil, err
	}
	rs.Body = &closing{rs.Body, cancel}
	return rs, nil
}

// closing ends the context of a request with its body.
type closing struct {
	io.ReadCloser
	cancel func()
}

func (x *closing) Close() error { defer x.cancel(); return x.ReadCloser.Close() }

func (c *callers) count(kind, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if outcome == "served" {
		c.served[kind]++
	} else {
		c.failed[kind+" "+outcome]++
	}
}

func (c *callers) order(client *http.Client, address, id string) {
	rs, err := c.send(client, address, "/desk/", id)
	if err != nil {
		c.count("order", "no answer")
		return
	}
	defer func() { _ = rs.Body.Close() }()
	body, err := io.ReadAll(rs.Body)
	switch {
	case rs.StatusCode == http.StatusServiceUnavailable || rs.StatusCode == http.StatusTooManyRequests:
		c.mu.Lock()
		c.refused = append(c.refused, id)
		c.mu.Unlock()
		if rs.Header.Get("Retry-After") == "" {
			c.fault("order %s was refused without a time to come back", id)
		}
		c.count("order", "refused")
	case rs.StatusCode == http.StatusOK && err == nil:
		if string(body) != "booked "+id {
			c.fault("order %s was answered %q", id, body)
		}
		c.count("order", "served")
	default:
		c.count("order", strconv.Itoa(rs.StatusCode))
	}
}

func (c *callers) stream(client *http.Client, address, id string) {
	rs, err := c.send(client, address, "/llm/", id)
	if err != nil {
		c.count("stream", "no answer")
		return
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode != http.StatusOK {
		c.count("stream", strconv.Itoa(rs.StatusCode))
		return
	}
	want := 1
	scan := bufio.NewScanner(rs.Body)
	for scan.Scan() {
		line := scan.Text()
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			if n, err := strconv.Atoi(text); err != nil || n != want {
				c.fault("stream %s: event %s after %d", id, text, want-1)
				return
			}
			want++
		}
		if text, ok := strings.CutPrefix(line, "data: "); ok && text != id {
			c.fault("stream %s got an event of %s", id, text)
			return
		}
	}
	if scan.Err() != nil {
		c.count("stream", "cut")
		return
	}
	if want-1 != eventsOf(id) {
		c.fault("stream %s ended as complete after %d of %d events", id, want-1, eventsOf(id))
		return
	}
	c.count("stream", "served")
}
