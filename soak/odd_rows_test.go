package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// oddRows is the number of rows of another writer in the registry, oddRowInterval the longest time
	// between two changes of one, and oddRounds the number of rounds of TestOddRows.
	oddRows        = 8
	oddRowInterval = 60 * time.Millisecond
	oddRounds      = 3
	// deepNesting is more than JSON decoders of the standard library accept.
	deepNesting = 20000
	// followTries is how often a process may refuse an order before it counts as one that does not know
	// the servers.
	followTries = 3
)

// oddFields are values of fields of the registry that no server writes, as JSON texts.
var oddFields = []struct{ field, text string }{
	{"address", `"127.0.0.1:99999"`},
	{"address", `"127.0.0.1:-1"`},
	{"address", `"nowhere"`},
	{"address", `""`},
	{"address", `5`},
	{"layers", `{"from":0,"to":1000000000,"version":1}`},
	{"layers", `{"from":-1000000000,"to":1000000000,"version":1}`},
	{"layers", `{"from":8,"to":0,"version":1}`},
	{"layers", `{"from":1e400,"to":9223372036854775808}`},
	{"layers", `"0-8"`},
	{"layers", strings.Repeat("[", deepNesting) + strings.Repeat("]", deepNesting)},
	{"models", strings.Repeat(`{"a":`, deepNesting/4) + "1" + strings.Repeat("}", deepNesting/4)},
	{"slots", `1e400`},
	{"slots", `99999999999999999999`},
	{"slots", `-4611686018427387904`},
	{"slots", `"64"`},
	{"slots", `null`},
	{"born", `1e300`},
	{"born", `"yesterday"`},
	{"sequence", `-1`},
	{"coldLeftMs", `1e300`},
	{"state", `"resting"`},
	{"state", `["ready"]`},
	{"service", `"nowhere"`},
	{"service", `{}`},
	{"zone", `7`},
	{"kind", `"` + strings.Repeat("k", 50<<10) + `"`},
}

// oddRow returns the value of a row that no server writes: an entry at an address with one odd field, or
// bytes that are no entry.
func oddRow(r *rand.Rand, address, service string) []byte {
	switch r.Intn(8) {
	case 0:
		b := make([]byte, r.Intn(300))
		_, _ = r.Read(b)
		return b
	case 1:
		return []byte([]string{"", "null", "true", "[]", "{}", "{", `"ready"`, "{\"state\":\"\xff\"}"}[r.Intn(8)])
	}
	odd := oddFields[r.Intn(len(oddFields))]
	fields := map[string]string{
		"service": strconv.Quote(service), "address": strconv.Quote(address), "zone": strconv.Quote(zone(r.Intn(2))), "slots": "64",
		"state": `"ready"`, "kind": `"card"`, "born": fmt.Sprint(time.Now().UnixMilli()), "layers": fmt.Sprintf(`{"from":0,"to":%d,"version":1}`, layers),
	}
	fields[odd.field] = odd.text
	var b bytes.Buffer
	for name, text := range fields {
		fmt.Fprintf(&b, ",%q:%s", name, text)
	}
	return append(append([]byte("{"), b.Bytes()[1:]...), '}')
}

// writeOddRows lets another writer change rows of the registry until the context ends.
func (run *soakRun) writeOddRows(ctx context.Context, r *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		service := []string{"llm", "desk"}[r.Intn(2)]
		address := "127.0.0.1:1" // where nothing listens
		if r.Intn(2) == 0 {
			address = run.pickServerWith(r, service).address
		}
		run.store.putRaw("servers", fmt.Sprintf("odd-%d", r.Intn(oddRows)), oddRow(r, address, service))
		if r.Intn(4) == 0 {
			run.store.put("servers", fmt.Sprintf("odd-%d", r.Intn(oddRows)), nil)
		}
		time.Sleep(time.Duration(r.Int63n(int64(oddRowInterval))))
	}
	for n := range oddRows {
		run.store.put("servers", fmt.Sprintf("odd-%d", n), nil)
	}
}

// startOddRows starts writeOddRows and returns the function that ends it.
func (run *soakRun) startOddRows() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	r := rand.New(rand.NewSource(run.oddRand.Int63()))
	run.runAsync(func() { run.writeOddRows(ctx, r) })
	return cancel
}

// replaceDesk starts new servers of service "desk" and drains all older ones, so that orders are served
// only by processes that know the new ones.
func (run *soakRun) replaceDesk() {
	run.servers.mu.Lock()
	var old []*backend
	for _, b := range run.servers.byAddress {
		if b.service == "desk" && !b.dead && b.drainAcked.IsZero() {
			old = append(old, b)
		}
	}
	run.servers.mu.Unlock()
	for i := range deskCount {
		run.replacements++
		run.servers.start(fmt.Sprintf("x%d", run.replacements), zone(i), "desk")
	}
	for _, b := range old {
		run.runAsync(func() { run.servers.drain(b) })
	}
}

// checkFollowing records a violation for each process that serves no order. Processes that have ended are
// left out, as their end is a violation itself.
func (c *callers) checkFollowing(processes []*process) {
	client := &http.Client{Timeout: deskTimeout + timingSlack}
	for _, p := range processes {
		if p.wait(time.Millisecond) {
			continue
		}
		status := ""
		for range followTries {
			c.mu.Lock()
			c.lastID++
			id := fmt.Sprintf("f%07d", c.lastID)
			c.mu.Unlock()
			rs, err := c.send(client, p.callerAddress, call{path: orderPath, id: id, body: soundBody})
			if err != nil {
				status = err.Error()
				continue
			}
			_, _ = io.Copy(io.Discard, rs.Body)
			_ = rs.Body.Close()
			if status = rs.Status; rs.StatusCode == http.StatusOK {
				break
			}
		}
		if !strings.HasPrefix(status, "200") {
			c.addViolation("%s serves no order %v after the servers were replaced: %s", p.name, drainBound+timingSlack, status)
		}
	}
}

// oddRows lets another writer change odd rows of the registry while servers are replaced.
func (run *soakRun) oddRows() {
	stop := run.startOddRows()
	defer stop()
	for range oddRounds {
		run.replaceDesk()
		time.Sleep(drainBound + timingSlack)
		run.callers.checkFollowing(run.processes)
		run.replaceServer("llm", func(b *backend) { run.runAsync(func() { run.servers.drain(b) }) })
		time.Sleep(time.Duration(run.oddRand.Intn(1000)) * time.Millisecond)
	}
}

// TestOddRows guards against processes that end, or that no longer follow the registry, because of rows that
// no server wrote.
func TestOddRows(t *testing.T) {
	// Seed 1: layer ranges outside the model ended the process that plans layers, and the connections of
	// requests that chose a path.
	runSeeds(t, []int64{1}, (*soakRun).oddRows)
}

// TestFollowingCheckFails guards against a check of the servers in use that can't fail.
func TestFollowingCheckFails(t *testing.T) {
	status := http.StatusOK
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	defer s.Close()
	c := &callers{servers: newServers(t, nil)}
	key := shopKey
	c.key.Store(&key)
	p := &process{name: "n0", callerAddress: strings.TrimPrefix(s.URL, "http://"), done: make(chan struct{})}
	c.checkFollowing([]*process{p})
	assert.Equal(t, len(c.violations), 0)
	status = http.StatusServiceUnavailable
	c.checkFollowing([]*process{p})
	checkViolation(t, c.violations, "n0 serves no order")
}
