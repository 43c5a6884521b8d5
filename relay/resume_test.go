package relay_test

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/relay"
)

// eventAnswer returns a signed stream of events.
func eventAnswer(body string) *relay.Answer {
	a := signedAnswer(http.StatusOK, body)
	a.Header.Set("Content-Type", "text/event-stream")
	a.Length = -1
	return a
}

// brokenAnswer returns a stream of events that breaks off after body.
func brokenAnswer(body string) *relay.Answer {
	a := eventAnswer("")
	a.Body = &resetBody{strings.NewReader(body)}
	return a
}

// streamEvents is the number of events of the stream that the tests break off.
const streamEvents = 6

// faultyContinuations returns answers to a run that resumes a stream after an event, none of which
// continues it to its end.
func faultyContinuations(last int) map[string]*relay.Answer {
	rest, next := events(last+1, streamEvents), events(last+1, last+1)
	field := strings.TrimSuffix(next, "\n\n")
	status := func(status int, body string) *relay.Answer {
		a := signedAnswer(status, body)
		a.Header.Set("Content-Type", "text/plain")
		return a
	}
	unsigned := eventAnswer(rest)
	unsigned.Signed = false
	otherType := eventAnswer(rest)
	otherType.Header.Set("Content-Type", "text/html; charset=utf-8")
	unframed := eventAnswer("")
	unframed.Unframed = true
	const head = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nerror"
	return map[string]*relay.Answer{
		"error with a text":           status(http.StatusInternalServerError, "error\n\n"),
		"error with an event":         status(http.StatusInternalServerError, next),
		"redirect":                    status(http.StatusFound, ""),
		"no content":                  status(http.StatusNoContent, ""),
		"text of an error":            status(http.StatusOK, "error\n\n"),
		"text in another type":        otherType,
		"unsigned":                    unsigned,
		"no events":                   eventAnswer(""),
		"no events and no length":     unframed,
		"earlier events":              eventAnswer(events(1, last-1)),
		"head of an answer":           eventAnswer(head),
		"head inside an event":        eventAnswer(field + head),
		"head before an event":        eventAnswer(head + "\n" + next),
		"text before an event":        eventAnswer("internal error\n" + next),
		"text after an event's field": eventAnswer(field + "\ninternal error\n\n"),
		"begins inside an event":      eventAnswer("ta: 3\n\n" + rest),
		"ends inside an event":        eventAnswer(events(last+1, streamEvents-1) + "id: 6\nda"),
	}
}

// checkCut checks that a stream was cut off after some of its events.
func checkCut(t *testing.T, got callerResult) {
	t.Helper()
	checkVerdict(t, got, fault.MayHaveRun)
	assert.Assert(t, strings.HasPrefix(events(1, 6), got.body), "%q", got.body)
}

// Guards against an answer of the next server that gets into a stream, or that makes a broken one
// look complete.
func TestFaultyContinuation(t *testing.T) {
	for name, ans := range faultyContinuations(3) {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t, engineEntry("a", "near", 0, 8), engineEntry("b", "near", 0, 8))
			cl.onSend = func(_ context.Context, n int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
				if n == 1 {
					return brokenAnswer(events(1, 3) + "id: 4\nda"), nil
				}
				return ans, nil
			}
			checkCut(t, cl.serve(t.Context(), request(config.Stream, 2)))
			assert.Equal(t, cl.attemptCount(), 2)
		})
	}
}

// Guards against a stream that is cut off, although it is complete, because the server that resumes it
// has nothing to add but the last event.
func TestContinuationThatRepeatsTheLastEvent(t *testing.T) {
	cl := newCluster(t, engineEntry("a", "near", 0, 8), engineEntry("b", "near", 0, 8))
	cl.onSend = func(_ context.Context, n int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
		if n == 1 {
			return brokenAnswer(events(1, 6)), nil
		}
		return eventAnswer(events(5, 6)), nil
	}
	checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 6))
}

// Guards against an empty answer that is withheld from a caller that resumes a complete stream itself.
func TestCallerResumesACompleteStream(t *testing.T) {
	cl := newCluster(t, engineEntry("a", "near", 0, 8))
	cl.onSend = func(context.Context, int, *relay.Request, relay.Attempt) (*relay.Answer, error) {
		return eventAnswer(""), nil
	}
	req := request(config.Stream, 1)
	req.LastEventID = "6"
	checkServed(t, cl.serve(t.Context(), req), "")
}

// Guards against a stream that is cut off by a faulty server although another one could finish it.
func TestFaultyContinuationIsFollowedByASoundOne(t *testing.T) {
	for name, ans := range faultyContinuations(3) {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t, engineEntry("a", "near", 0, 8), engineEntry("b", "near", 0, 8), slowAccelerator(engineEntry("c", "near", 0, 8)))
			cl.onSend = func(_ context.Context, n int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
				switch {
				case n == 1:
					return brokenAnswer(events(1, 3) + "id: 4\nda"), nil
				case a.Server.ID() == "c":
					return eventAnswer(events(4, 6)), nil
				case strings.HasPrefix(name, "ends inside"):
					return eventAnswer("id: 4\nda"), nil
				default:
					return ans, nil
				}
			}
			checkServed(t, cl.serve(t.Context(), request(config.Stream, 3)), events(1, 6))
			assert.Equal(t, cl.attemptCount(), 3)
		})
	}
}

// Guards against a healthy stream that is given up for an answer which can't continue it.
func TestFaultyHandoverKeepsTheStream(t *testing.T) {
	for name, ans := range map[string]*relay.Answer{"error": signedAnswer(http.StatusInternalServerError, "error"), "another type": signedAnswer(http.StatusOK, events(1, 200))} {
		ans.Header.Set("Content-Type", "text/plain")
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				oldBody := &pacedBody{left: 200}
				cl := newDrainingCluster(t, oldBody, func(context.Context, relay.Attempt) (*relay.Answer, error) { return ans, nil })
				checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 200))
				assert.Equal(t, oldBody.left, 0)
			})
		})
	}
}

// Guards against a resumed stream that fails, or looks complete too early, because the caller was told
// the length of the first server's answer.
func TestStreamHasNoStatedLength(t *testing.T) {
	cl := newCluster(t, engineEntry("a", "near", 0, 8), engineEntry("b", "near", 0, 8))
	cl.onSend = func(_ context.Context, n int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
		if n == 1 {
			ans := brokenAnswer(events(1, 3))
			ans.Length = int64(len(events(1, 4)))
			return ans, nil
		}
		return eventAnswer(events(4, 6)), nil
	}
	stated := int64(0)
	var body strings.Builder
	err := cl.relay.Serve(t.Context(), request(config.Stream, 2), relay.Sink{
		Start: func(_ int, _ http.Header, length int64) { stated = length },
		Write: func(b []byte) error { body.Write(b); return nil },
		Flush: func() error { return nil },
	})
	assert.NilError(t, err)
	assert.Equal(t, body.String(), events(1, 6))
	assert.Equal(t, stated, int64(-1))
}

// lateResetBody is a body that returns no bytes and ends with a connection reset after a delay.
type lateResetBody struct{ delay time.Duration }

func (l *lateResetBody) Read([]byte) (int, error) {
	time.Sleep(l.delay)
	return 0, connectionReset()
}

func (l *lateResetBody) Close() error { return nil }

// Guards against a data race, which may end the process, when a stream breaks off at the moment at which a
// query finds its engine dead.
func TestStreamBreaksOffDuringACheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		defer clock.Replace(func() time.Duration { return time.Since(begun) })()
		cl := newCluster(t, engineEntry("a", "near", 0, 8), slowAccelerator(engineEntry("b", "near", 0, 8)))
		const checkAt, queryTime = 200 * time.Millisecond, 20 * time.Millisecond
		cl.onReport = func(context.Context, string) (relay.Report, error) {
			time.Sleep(queryTime)
			return relay.Report{}, syscall.ECONNREFUSED
		}
		cl.onSend = func(_ context.Context, n int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
			if n > 1 {
				return signedAnswer(http.StatusOK, events(1, 3)), nil
			}
			ans := signedAnswer(http.StatusOK, "")
			ans.Body = &lateResetBody{delay: checkAt + queryTime}
			return ans, nil
		}
		checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 3))
	})
}

// continuation draws the answer to an attempt at a stream: a sound one, or one with a fault.
func continuation(t *rapid.T, a relay.Attempt) (*relay.Answer, error) {
	last, _ := strconv.Atoi(a.LastEventID)
	from := rapid.IntRange(max(last-2, 1), min(last+1, streamEvents)).Draw(t, "from") // servers may repeat events
	to := rapid.IntRange(from, streamEvents).Draw(t, "to")
	cut := rapid.SampledFrom([]string{"", "id: 9", "id: 9\nda", "\n", "HTTP/1.1 500 x\r\nContent-Type: text/plain\r\n\r\nerror"}).Draw(t, "cut")
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return eventAnswer(events(from, streamEvents)), nil
	case 1:
		return brokenAnswer(events(from, to) + cut), nil
	case 2:
		return nil, connectionReset()
	case 3:
		return refusal(), nil
	default:
		all := faultyContinuations(last)
		return all[rapid.SampledFrom(slices.Sorted(maps.Keys(all))).Draw(t, "fault")], nil
	}
}

// Guards against a stream that is neither whole nor visibly cut, for random sequences of faulty answers.
func TestRandomContinuations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			cl := newCluster(t, engineEntry("a", "near", 0, 8), engineEntry("b", "near", 0, 8), engineEntry("c", "near", 0, 8), engineEntry("d", "near", 0, 8))
			broken := rapid.IntRange(1, streamEvents).Draw(rt, "broken after")
			cl.onSend = func(_ context.Context, n int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
				if n == 1 {
					return brokenAnswer(events(1, broken)), nil
				}
				return continuation(rt, a)
			}
			got := cl.serve(t.Context(), request(config.Stream, 4))
			assert.Assert(t, strings.HasPrefix(events(1, streamEvents), got.body), "%q", got.body)
			if got.err == nil {
				assert.Equal(t, got.body, events(1, streamEvents))
				return
			}
			assert.Equal(t, fault.VerdictOf(got.err), fault.MayHaveRun)
		})
	})
}
