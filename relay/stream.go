package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/label"
	"github.com/cranberrybay/cranberrybay/quota"
	"github.com/cranberrybay/cranberrybay/server"
)

const (
	// noPathRetryAfter is the retry time given to callers when the engines have no capacity: some
	// streams end within it.
	noPathRetryAfter = 900 * time.Millisecond
	// extraEvents is how many events an answer may have beyond its bound in tokens: an event
	// holds one token or more, and the last one may hold none.
	extraEvents = 16
	// maxUncountedRefusals bounds the refused attempts to resume a stream that do not count as
	// attempts of the route.
	maxUncountedRefusals = 2
)

// streamState is the state of one stream over all its attempts. Its lock is held for short
// accesses only, and no other lock is acquired while it is held.
type streamState struct {
	relay *Relay
	req   *Request
	sink  Sink

	admittedAt time.Time    // when its service had capacity for it; zero if its streams do not compete
	eventCount int          // events sent to the caller
	runEvents  atomic.Int32 // events of the present run
	timing     eventTiming
	endTrial   func() // ends the trial of the present run, if it has one

	// The check of a stalled stream uses the following fields as well.
	mu          sync.Mutex
	headerSent  bool   // the caller has the response header
	mediaType   string // of the answer that the caller has the header of
	lastEventID string // identifier of the last event sent to the caller
	attempts    int    // attempts that count against the route's bound
	// refusals counts refused attempts to resume the stream that were not counted as attempts.
	refusals int
	// successor is the handover to the run that takes over from the present one; nil if there is none.
	successor *handover
}

// headerIsSent reports whether the caller has the response header.
func (st *streamState) headerIsSent() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.headerSent
}

// lastEvent returns the identifier of the last event sent to the caller, or that of the request if
// there is none.
func (st *streamState) lastEvent() string {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.lastEventID
}

// attemptCount returns the number of attempts that count against the route's bound.
func (st *streamState) attemptCount() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.attempts
}

// addAttempt adds n to the attempts that count and returns their number.
func (st *streamState) addAttempt(n int) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.attempts += n
	return st.attempts
}

// eventTiming records the times for which routes have targets.
type eventTiming struct {
	first       time.Duration // from the arrival of the request to the first event
	gap         time.Duration // longest time between two events
	gapStart    time.Time     // start of that gap
	lastEventAt time.Time     // when the last event was passed on
}

func (t *eventTiming) recordEvent(arrived time.Time) {
	now := time.Now()
	if t.lastEventAt.IsZero() {
		t.first = now.Sub(arrived)
	} else if gap := now.Sub(t.lastEventAt); gap > t.gap {
		t.gap, t.gapStart = gap, t.lastEventAt
	}
	t.lastEventAt = now
}

// recordTimes reports the times of the events that the caller has got, if any, to the metrics.
func (st *streamState) recordTimes() {
	if st.timing.lastEventAt.IsZero() {
		return
	}
	st.relay.cfg.Observe(MeasureFirstEvent, st.timing.first.Seconds())
	st.relay.cfg.Observe(MeasureGap, st.timing.gap.Seconds())
}

// logSlow logs an answer that exceeded the target times of its route, with the path that it took.
func (st *streamState) logSlow(t *activePath) {
	req := st.req
	if st.timing.first <= req.Route.TargetLatency() && st.timing.gap <= req.Route.TargetGap() {
		return
	}
	st.relay.cfg.Count("late")
	st.relay.cfg.Log.Info().Str("id", label.Short(req.ID)).Dur("first", st.timing.first).Dur("gap", st.timing.gap).Dur("gapat", st.timing.gapStart.Sub(req.Arrived)).
		Dur("took", time.Since(req.Arrived)).Int("attempts", st.attemptCount()).Str("path", t.String()).Msg("stream was slow")
}

// serveStream serves a request that is answered by a stream of events.
func (r *Relay) serveStream(ctx context.Context, req *Request, sink Sink) error {
	st := &streamState{relay: r, req: req, sink: sink, lastEventID: req.LastEventID, endTrial: func() {}}
	defer st.recordTimes()
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		if h := st.takeSuccessor(); h != nil {
			go h.abandon()
		}
	}()
	excluded := map[string]bool{}
	var err error
	var next *run // run that takes over from the previous one
	for {
		var retry bool
		retry, err = st.attempt(ctx, next, excluded)
		if err == nil {
			return nil
		}
		next = st.awaitSuccessor()
		if ctx.Err() != nil || (next == nil && !(retry && st.attemptsLeft() && r.takeRetry(req))) {
			break
		}
		r.cfg.Count("repeat")
	}
	if next != nil {
		next.end()
	}
	if fault.VerdictOf(err) == fault.NotRun && req.mayHaveRun.Load() {
		err = mayHaveRunError(reasonNoAnswer, err) // a run that was to take over may have run meanwhile
	}
	if ctx.Err() != nil && !st.headerIsSent() && fault.VerdictOf(err) != fault.NotRun {
		return mayHaveRunError(reasonNoAnswer, ctx.Err())
	}
	return r.orAtRest(req, err)
}

// run is one attempt to serve a stream.
type run struct {
	ctx         context.Context
	cancel      context.CancelFunc
	path        *activePath
	resumeAfter string  // event after which the run resumes; "" to start
	answer      *Answer // nil until the response header has arrived
	cancelled   bool    // it was cancelled because another run takes over or its engine is gone
}

// end closes the answer, cancels the run and releases its path.
func (rn *run) end() {
	rn.close()
	rn.cancel()
	rn.path.release()
}

// close closes the body of the answer. It must come before cancel: ending the context first would
// close the connection of an answer that was read to its end, so that it could not be reused.
func (rn *run) close() {
	if rn.answer != nil {
		_ = rn.answer.Body.Close()
	}
}

// newRun chooses a path without the excluded engines and returns a run over it that has not been
// sent. It may be sent at sendAt of the path, at most maxWait from now. It returns false if there is
// no path.
func (st *streamState) newRun(ctx context.Context, excluded map[string]bool, maxWait time.Duration, c *choice) (*run, bool) {
	t, ok := st.relay.choosePath(st.req, excluded, maxWait, c)
	if ok && t.first == nil {
		// The first engine left the registry during the choice, which the next one sees.
		t.release()
		t, ok = st.relay.choosePath(st.req, excluded, maxWait, c)
	}
	if !ok {
		return nil, false
	}
	if t.first == nil {
		t.release()
		return nil, false
	}
	rn := &run{path: t, resumeAfter: st.lastEvent()}
	rn.ctx, rn.cancel = context.WithCancel(ctx)
	return rn, true
}

// send sends a run and waits for the response header.
func (st *streamState) send(rn *run) (*Answer, error) {
	ans, err := st.relay.send(rn.ctx, st.req, Attempt{Server: rn.path.first, Path: rn.path.hops, LastEventID: rn.resumeAfter, ReuseConnection: true})
	if err == nil {
		rn.answer = ans
	}
	return ans, err
}

// attempt serves the stream by one run and passes its events on. If rn is nil it starts a new
// run; otherwise it continues one that was sent before. It reports whether the failure allows
// another attempt.
func (st *streamState) attempt(ctx context.Context, rn *run, excluded map[string]bool) (retry bool, err error) {
	r, req := st.relay, st.req
	if rn == nil {
		if st.endTrial, err = r.tryAlone(ctx, req, false); err != nil {
			return false, err
		}
		defer st.endTrial()
		if rn, err = st.chooseRun(ctx, excluded); err != nil {
			return false, err
		}
		if n := st.addAttempt(1); n > 1 {
			r.cfg.Log.Info().Str("id", label.Short(req.ID)).Str("last", rn.resumeAfter).Int("attempt", n).Str("first", rn.path.first.ID()).Msg("stream sent again")
		}
	}
	defer rn.end()
	st.runEvents.Store(0)
	m := newStallMonitor(ctx, st, rn, excluded)
	defer m.stop()
	defer rn.close()
	if rn.answer == nil {
		if ans, err := st.send(rn); err != nil {
			m.endRun(rn)
			return st.attemptFailed(ctx, rn, m, ans, err), st.refusalVerdict(err)
		}
	}
	switch {
	case st.headerIsSent():
		if err := st.checkContinuation(rn.answer); err != nil {
			m.endRun(rn)
			return st.attemptFailed(ctx, rn, m, nil, err), mayHaveRunError(reasonBadReply, err)
		}
	case rn.answer.Status != http.StatusOK:
		return false, st.passThrough(rn.answer)
	}
	started := time.Now()
	err = st.copyEvents(rn.answer, m)
	if err == nil {
		r.recordAnswered(req)
		st.logSlow(rn.path)
		rn.path.first.RecordAnswer(time.Since(started))
		if !st.admittedAt.IsZero() {
			r.controller(req.Service.Name).ObserveDuration(time.Since(st.admittedAt))
		}
		return false, nil
	}
	var gone *callerGoneError
	if errors.As(err, &gone) {
		return false, fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Cancelled, Reason: "the caller went away", Cause: err})
	}
	m.endRun(rn)
	if st.hasSuccessor() && rn.cancelled {
		return true, mayHaveRunError(reasonNoAnswer, err) // the run was cancelled and its successor is accepted or still awaited
	}
	return st.attemptFailed(ctx, rn, m, nil, err), mayHaveRunError(reasonNoAnswer, err)
}

// refusalVerdict returns a "not run" error for a failed attempt only if neither it nor an earlier
// attempt may have run.
func (st *streamState) refusalVerdict(err error) error {
	if st.req.mayHaveRun.Load() {
		return mayHaveRunError(reasonNoAnswer, err)
	}
	return notRunError(reasonRefused, noPathRetryAfter, err)
}

// attemptsLeft reports whether the route allows another attempt.
func (st *streamState) attemptsLeft() bool { return st.attemptCount() < st.req.Route.Attempts() }

// attemptFailed logs a failed attempt, excludes the engine that failed, and reports whether
// another attempt is allowed.
func (st *streamState) attemptFailed(ctx context.Context, rn *run, m *stallMonitor, ans *Answer, err error) bool {
	r, t := st.relay, rn.path
	e := r.cfg.Log.Info().Str("id", label.Short(st.req.ID)).Int("attempt", st.attemptCount()).Str("first", t.first.ID()).Str("path", t.String()).Str("last", st.lastEvent()).
		Int32("events", st.runEvents.Load()).Strs("parts", label.ShortAll(st.req.PromptParts)).Str("request", st.req.identity().ID).
		Str("verdict", fault.VerdictOf(err).String()).Err(err).Dur("since", time.Since(st.req.Arrived))
	failedServer := t.first
	if ans != nil && ans.RefusedBy != "" {
		e = e.Str("culprit", ans.RefusedBy)
		if failedServer = t.serverAt(ans.RefusedBy); failedServer == nil {
			failedServer = r.cfg.Servers.ByAddress(ans.RefusedBy)
		}
	}
	e.Msg("stream attempt failed")
	if ctx.Err() != nil {
		return false
	}
	if !rn.cancelled && st.runEvents.Load() < answeredEvents && !errors.Is(err, errNoContinuation) {
		r.recordCut(ctx, st.req, t.first, err)
	}
	if failedServer != nil {
		if !errors.Is(err, quota.ErrExhausted) {
			failedServer.RecordFailure()
		}
		if ans != nil && ans.Misdirected && failedServer != t.first {
			failedServer.RecordMisdirected()
		}
		if ans == nil || !ans.Misdirected || len(r.cfg.Servers.Rivals(failedServer)) == 0 {
			m.exclude(failedServer.Address())
		}
		// An engine that refuses may be full or dead; its report shows which.
		go r.safely(st.req.ID, func() { r.probeFailed(t.first, failedServer) })
	}
	if r.cfg.Servers.ByAddress(t.first.Address()) == nil {
		st.addAttempt(-1) // an attempt on a server that is no longer registered does not count
	}
	st.uncountRefusal(err)
	return fault.VerdictOf(err) == fault.NotRun || st.req.Route.Repeatable()
}

// uncountRefusal keeps a refused attempt to resume a stream from counting as an attempt. The
// caller already has a part of the answer, and a server that did not run the rest must not end
// it.
func (st *streamState) uncountRefusal(err error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.headerSent && fault.VerdictOf(err) == fault.NotRun && st.refusals < maxUncountedRefusals {
		st.refusals++
		st.attempts--
	}
}

// probeFailed queries an engine that caused a failure and marks it as suspect if it is dead. The
// first engine of the path is queried as well, to show whether answers arrive at all.
func (r *Relay) probeFailed(first, s *server.Server) {
	queried := []Hop{{Address: s.Address()}}
	if first != s {
		queried = append(queried, Hop{Address: first.Address()})
	}
	if dead, _, _ := r.reports.findDead(context.Background(), "", queried, queried); dead[s.Address()] {
		r.suspect(s)
	}
}

// checkContinuation returns an error if an answer can't begin the stream, or continue the one that the
// caller has a part of.
func (st *streamState) checkContinuation(ans *Answer) error {
	if ans.Status != http.StatusOK {
		return fmt.Errorf("%w: status %d", errNoContinuation, ans.Status)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if t := mediaTypeOf(ans.Header); st.headerSent && t != st.mediaType {
		return fmt.Errorf("%w: it has the media type %q instead of %q", errNoContinuation, t, st.mediaType)
	}
	return nil
}

// mediaTypeOf returns the media type of an answer without its parameters, or "" if none is stated.
func mediaTypeOf(h http.Header) string {
	t, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(t))
}

// passThrough forwards an answer with a status other than 200 unchanged.
func (st *streamState) passThrough(ans *Answer) error {
	res := attemptResult{answer: ans}
	st.relay.readAnswer(&res)
	defer res.release()
	if res.err != nil {
		return res.err
	}
	return deliver(res, st.sink)
}

// callerGoneError reports a failed write to the caller.
type callerGoneError struct{ cause error }

func (e *callerGoneError) Error() string { return "write to the caller: " + e.cause.Error() }
func (e *callerGoneError) Unwrap() error { return e.cause }

// copyEvents passes events on to the caller until the stream ends.
func (st *streamState) copyEvents(ans *Answer, m *stallMonitor) error {
	ev := eventReader{src: ans.Body, quota: st.relay.cfg.Quota}
	defer ev.close()
	lastSent := st.lastEvent()
	resumed := lastSent
	runLast := "" // identifier of the last event of this run
	for {
		complete, lastID, err := ev.next()
		if err != nil && err != io.EOF { //nolint:errorlint // next returns io.EOF itself
			return err
		}
		if err == io.EOF { //nolint:errorlint // as above
			if err := st.checkEnd(ans, runLast, lastSent); err != nil {
				return err
			}
		}
		if lastID != "" {
			runLast = lastID
		}
		if resumed != "" && len(complete) > 0 {
			complete = eventsAfter(complete, resumed)
			if len(complete) > 0 {
				resumed = ""
			}
		}
		if err == nil {
			n, err := validateEvents(complete, lastSent)
			if before := st.runEvents.Add(int32(n)) - int32(n); before < answeredEvents && before+int32(n) >= answeredEvents {
				st.relay.recordAnswered(st.req)
				st.endTrial()
			}
			if st.eventCount += n; err == nil && st.req.MaxAnswerTokens > 0 && st.eventCount > st.req.MaxAnswerTokens+extraEvents {
				err = errTooManyEvents
			}
			if errors.Is(err, errEventOrder) {
				st.relay.reportViolation(InvariantOrder, st.req)
			}
			if err != nil {
				return err
			}
		}
		if len(complete) > 0 || (err == io.EOF && !st.headerIsSent()) { //nolint:errorlint // as above
			if lastID != "" {
				lastSent = lastID
			}
			if werr := st.write(ans, complete, lastSent); werr != nil {
				return &callerGoneError{cause: werr}
			}
			st.timing.recordEvent(st.req.Arrived)
			m.eventReceived()
		}
		if err != nil {
			return nil
		}
	}
}

// checkEnd returns an error if the end of a run can't be the end of the stream. runLast is the identifier
// of the last event of the run, lastSent that of the last event sent to the caller.
func (st *streamState) checkEnd(ans *Answer, runLast, lastSent string) error {
	switch {
	case ans.Unframed && lastSent == "":
		return errNoEvents
	case runLast == "" && st.headerIsSent(), runLast != "" && follows(runLast, lastSent):
		// The caller has a later event, so that this run has not continued the stream.
		return errEndsEarlier
	default:
		return nil
	}
}

// write writes events to the caller, preceded by the response header if it was not sent yet. lastID
// identifies the last of them.
func (st *streamState) write(ans *Answer, b []byte, lastID string) error {
	st.mu.Lock()
	first := !st.headerSent
	st.headerSent, st.lastEventID = true, lastID
	if first {
		st.mediaType = mediaTypeOf(ans.Header)
	}
	st.mu.Unlock()
	if first {
		st.sink.Start(ans.Status, ans.Header, -1) // another server may continue the stream
	}
	if err := st.sink.Write(b); err != nil {
		return err
	}
	return st.sink.Flush()
}
