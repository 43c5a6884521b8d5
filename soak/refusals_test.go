package soak

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"regexp"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Faults of answers to streams and lookups, for backend.failMode.
const (
	refuseSome  = "refuse some" // every other request
	resumedText = "resumed text"
)

// refusalRounds is the number of rounds of TestRepeatedRefusals.
const refusalRounds = 8

// repeatMode tells how a link repeats an earlier refusal before a later answer on the same connection.
type repeatMode int

const (
	repeatNone repeatMode = iota
	repeatSame
	repeatWithoutID
)

// idLine is the header line with the ID of a request.
var idLine = regexp.MustCompile(`(?i)\r\n` + idHeader + `: [^\r\n]*`)

// refusalRepeater repeats the last refusal of a connection.
type refusalRepeater struct{ last []byte }

// edit returns the bytes to pass on instead of b, which a server sent.
func (r *refusalRepeater) edit(mode repeatMode, b []byte) []byte {
	switch {
	case bytes.HasPrefix(b, []byte("HTTP/1.1 503 ")) || bytes.HasPrefix(b, []byte("HTTP/1.1 421 ")):
		r.last = bytes.Clone(b)
	case r.last == nil || !bytes.HasPrefix(b, []byte("HTTP/1.1 200 ")):
	case mode == repeatSame:
		return append(bytes.Clone(r.last), b...)
	case mode == repeatWithoutID:
		return append(idLine.ReplaceAll(r.last, nil), b...)
	}
	return b
}

// setRepeat changes how a link repeats refusals.
func (l *link) setRepeat(m repeatMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.repeat = m
}

// refusesNow reports whether a server with the fault refuseSome refuses the present request. The caller
// holds v.mu.
func (b *backend) refusesNow() bool {
	b.refusals++
	return b.refusals%2 == 1
}

// answerResumedWithText answers a resumed stream with a text that is no event: as an error, as a complete
// answer, or among events.
func (v *servers) answerResumedWithText(b *backend, w http.ResponseWriter) {
	v.mu.Lock()
	b.refusals++
	n := b.refusals
	v.mu.Unlock()
	w.Header().Set(signatureHeader, b.id)
	w.Header().Set("Content-Type", []string{"text/plain", "text/plain", "text/event-stream"}[n%3])
	w.WriteHeader([]int{http.StatusInternalServerError, http.StatusOK, http.StatusOK}[n%3])
	_, _ = io.WriteString(w, "error: the stream is not known here\n\n")
}

// serversOf returns the live servers of a service.
func (v *servers) serversOf(service string) []*backend {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []*backend
	for _, b := range v.byAddress {
		if b.service == service && !b.dead {
			out = append(out, b)
		}
	}
	return out
}

// injectRefusals makes all servers of a service repeat refusals, or answer resumed streams with a text, for
// the given time.
func (run *soakRun) injectRefusals(d time.Duration) {
	service, mode, fail := "llm", repeatMode(1+run.refusalRand.Intn(2)), refuseSome
	switch run.refusalRand.Intn(3) {
	case 0:
		service = "desk"
	case 1:
		mode, fail = repeatNone, resumedText
	}
	for _, b := range run.servers.serversOf(service) {
		run.servers.setFailMode(b, fail, d)
		b.link.setRepeat(mode)
		time.AfterFunc(d, func() { b.link.setRepeat(repeatNone) })
	}
}

// refusals makes servers repeat refusals and answer resumed streams with a text, while other engines crash or
// lose their connections.
func (run *soakRun) refusals() {
	for range refusalRounds {
		run.injectRefusals(2 * time.Second)
		time.Sleep(500 * time.Millisecond)
		b := run.pickServerWith(run.refusalRand, "llm")
		if run.refusalRand.Intn(2) == 0 {
			run.servers.recordTrouble(b, 0)
			b.link.mu.Lock()
			b.link.resetAll()
			b.link.mu.Unlock()
		} else if run.servers.kill(b) {
			run.servers.restartLater(b)
		}
		time.Sleep(time.Duration(1000+run.refusalRand.Intn(500)) * time.Millisecond)
	}
}

// isPromise reports whether a status tells the caller that the request did not run and will not run.
func isPromise(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// recordStatus records the status of a request that got an answer other than 200.
func (c *callers) recordStatus(id string, status int) {
	c.servers.mu.Lock()
	defer c.servers.mu.Unlock()
	c.servers.requests[id].refused = isPromise(status)
}

// recordRun records that a server began to run a request. The caller holds v.mu.
func (v *servers) recordRun(b *backend, id string) {
	if r := v.requests[id]; r != nil {
		r.ranAt = append(r.ranAt, b.id)
	}
}

// checkRefused records a violation for each request that ran although its caller was told that it did not.
// The caller holds v.mu.
func (v *servers) checkRefused() {
	for id, r := range v.requests {
		if r.refused && len(r.ranAt) > 0 {
			v.addViolation("request %s was answered as not run but was executed by %v", id, r.ranAt)
		}
	}
}

// TestRepeatedRefusals guards against refusals that are believed though they belong to earlier requests, and
// against error texts among the events of a stream.
func TestRepeatedRefusals(t *testing.T) {
	// Seed 1: a refusal without an ID on a kept connection was believed.
	runSeeds(t, []int64{1}, (*soakRun).refusals)
}

// TestRefusalCheckFails guards against a check of refused requests that can't fail.
func TestRefusalCheckFails(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusBadGateway} {
		for _, kind := range []string{"order", "lookup", "stream"} {
			v := newServers(t, nil)
			violationsOn(t, v, kind, func(w http.ResponseWriter, _ *http.Request) {
				v.mu.Lock()
				v.recordRun(&backend{id: "a"}, "r0000001")
				v.mu.Unlock()
				w.WriteHeader(status)
			})
			v.checkRefused()
			if status == http.StatusBadGateway {
				assert.Equal(t, len(v.violations), 0)
			} else {
				checkViolation(t, v.violations, "request r0000001 was answered as not run")
			}
		}
	}
}

// TestLinkRepeatsRefusals guards against a link that repeats nothing.
func TestLinkRepeatsRefusals(t *testing.T) {
	const refusal, answer = "HTTP/1.1 503 Service Unavailable\r\n" + idHeader + ": r1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	const withoutID = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	for mode, want := range map[repeatMode]string{repeatNone: answer, repeatSame: refusal + answer, repeatWithoutID: withoutID + answer} {
		ln, err := net.Listen("tcp", anyAddress)
		assert.NilError(t, err)
		l := newLink(t, anyAddress, ln.Addr().String())
		l.setRepeat(mode)
		c, err := net.Dial("tcp", l.address())
		assert.NilError(t, err)
		server, err := ln.Accept()
		assert.NilError(t, err)
		for _, x := range []struct{ sent, want string }{{refusal, refusal}, {answer, want}} {
			_, err = io.WriteString(server, x.sent)
			assert.NilError(t, err)
			b := make([]byte, len(x.want))
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			_, err = io.ReadFull(c, b)
			assert.NilError(t, err)
			assert.Equal(t, string(b), x.want)
		}
		_ = c.Close()
		l.close()
		_ = ln.Close()
	}
}
