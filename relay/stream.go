package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/server"
)

const (
	// fullRetry is the time to come back when engines have no room: some
	// streams end within it.
	fullRetry = 900 * time.Millisecond
	// moreEvents is how many events an answer may have beyond its tokens: an event
	// holds one or more, and the last may hold none.
	moreEvents = 16
	// maxRefusals bounds the refused attempts of a started stream that do not
	// count against the route's bound.
	maxRefusals = 2
)

// journey is the state of one stream over its attempts.
type journey struct {
	relay *Relay
	rq    *Request
	sink  Sink

	started bool   // the caller has the header
	begun   bool   // an attempt may have run
	last    string // identifier of the last event that the caller has
	sent    int    // attempts that a server took
	events  int    // that the caller has got
	// refusals counts refused attempts to go on with a started stream.
	refusals int
	pace     pace
	// reserved tells that a repeat was taken from the budget before the running
	// attempt was given up.
	reserved atomic.Bool
	// successor is the run that is to go on with the stream when its first engine
	// leaves; nil when there is none. Used by the copying goroutine.
	successor *handover
}

// pace measures an answer against the times that callers expect.
type pace struct {
	first   time.Duration // from the arrival of the request to the first event
	gap     time.Duration // longest pause between two events
	gapFrom time.Time     // start of that pause
	moved   time.Time     // of the last event
}

func (p *pace) event(arrived time.Time) {
	now := time.Now()
	if p.moved.IsZero() {
		p.first = now.Sub(arrived)
	} else if gap := now.Sub(p.moved); gap > p.gap {
		p.gap, p.gapFrom = gap, p.moved
	}
	p.moved = now
}

// observe measures what the caller has got of the answer.
func (j *journey) observe() {
	if j.pace.moved.IsZero() {
		return
	}
	j.relay.cfg.Observe(MeasureFirst, j.pace.first.Seconds())
	j.relay.cfg.Observe(MeasureGap, j.pace.gap.Seconds())
}

// report logs an answer that callers found slow, with the path that it took.
func (j *journey) report(t *track) {
	rq := j.rq
	if j.pace.first <= rq.Route.Target() && j.pace.gap <= rq.Route.Gap() {
		return
	}
	j.relay.cfg.Count("late")
	j.relay.cfg.Log.Info().Str("id", rq.ID).Dur("first", j.pace.first).Dur("gap", j.pace.gap).Dur("gapat", j.pace.gapFrom.Sub(rq.Arrived)).
		Dur("took", time.Since(rq.Arrived)).Int("attempts", j.sent).Str("path", t.String()).Msg("stream was slow")
}

// stream serves a request that is answered by events.
func (r *Relay) stream(ctx context.Context, rq *Request, sink Sink) error {
	j := &journey{relay: r, rq: rq, sink: sink, last: rq.LastEvent}
	defer j.observe()
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		if j.successor != nil {
			go j.successor.drop()
		}
	}()
	without := map[string]bool{}
	var err error
	var next *run // that takes over from the one before
	for {
		var again bool
		again, err = j.attempt(ctx, next, without)
		if err == nil {
			return nil
		}
		next = j.takeOver()
		if ctx.Err() != nil || (next == nil && !(again && j.more() && j.repeat())) {
			break
		}
		r.cfg.Count("repeat")
	}
	if next != nil {
		next.end()
	}
	if ctx.Err() != nil && !j.started && fault.Of(err) != fault.NotRun {
		return unclear(reasonUnclear, ctx.Err())
	}
	return err
}

// repeat takes a repeat from the budget, unless one was taken already.
func (j *journey) repeat() bool {
	if j.reserved.Swap(false) {
		return true
	}
	return j.relay.repeat(j.rq)
}

// run is one attempt of a stream.
type run struct {
	ctx    context.Context
	cancel context.CancelFunc
	track  *track
	last   string  // event after which it goes on
	answer *Answer // nil until the header has arrived
}

// end gives up what is left of the run.
func (x *run) end() {
	x.close()
	x.cancel()
	x.track.end()
}

// close ends the answer. That goes before the end of the context, which would close
// the connection of an answer that was read to its end.
func (x *run) close() {
	if x.answer != nil {
		_ = x.answer.Body.Close()
	}
}

// plan chooses the path of a run.
func (j *journey) plan(ctx context.Context, without map[string]bool) (*run, bool) {
	t, ok := j.relay.findTrack(j.rq, without)
	if !ok {
		return nil, false
	}
	if t.first == nil {
		t.end()
		return nil, false
	}
	x := &run{track: t, last: j.last}
	x.ctx, x.cancel = context.WithCancel(ctx)
	return x, true
}

// send sends a run and waits for the header of its answer.
func (j *journey) send(x *run) (*Answer, error) {
	ans, err := j.relay.send(x.ctx, j.rq, Attempt{Server: x.track.first, Path: x.track.hops, LastEvent: x.last, Kept: true})
	if err == nil {
		x.answer = ans
	}
	return ans, err
}

// attempt sends the stream over one path, or goes on with a run that was sent
// before, and passes its events on. It reports whether the failure allows another
// attempt.
func (j *journey) attempt(ctx context.Context, x *run, without map[string]bool) (again bool, err error) {
	r, rq := j.relay, j.rq
	if x == nil {
		var ok bool
		if x, ok = j.plan(ctx, without); !ok {
			r.cfg.Log.Info().Str("id", rq.ID).Str("service", rq.Service.Name).Int("servers", len(r.cfg.Servers.Servers(rq.Service.Name))).
				Int("prompt", rq.Prompt).Int("attempt", j.sent+1).Msg("no path")
			if j.begun {
				return false, unclear(reasonNoPath, nil)
			}
			return false, refusal(reasonNoPath, fullRetry, nil)
		}
		j.sent++
		if j.sent > 1 {
			r.cfg.Log.Info().Str("id", rq.ID).Str("last", j.last).Int("attempt", j.sent).Str("first", x.track.first.ID()).Msg("stream sent again")
		}
	}
	defer x.end()
	w := newStallWatch(ctx, j, x, without)
	defer w.stop()
	defer x.close()
	if x.answer == nil {
		if ans, err := j.send(x); err != nil {
			j.begun = j.begun || fault.Of(err) != fault.NotRun
			return j.failed(ctx, x.track, ans, err, without), j.verdict(err)
		}
	}
	j.begun = true
	if x.answer.Status != http.StatusOK {
		if j.started {
			return true, unclear(reasonBadReply, nil)
		}
		return false, j.pass(x.answer)
	}
	begun := time.Now()
	err = j.copy(x.answer, w)
	if err == nil {
		j.report(x.track)
		x.track.first.RecordAnswer(time.Since(begun))
		return false, nil
	}
	var gone *callerGone
	if errors.As(err, &gone) {
		return false, fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Cancelled, Reason: "the caller went away", Cause: err})
	}
	if j.successor.pending() && x.ctx.Err() != nil {
		return true, unclear(reasonUnclear, err) // the run was given up for another one
	}
	return j.failed(ctx, x.track, nil, err, without), unclear(reasonUnclear, err)
}

// verdict keeps the proof of a refusal only while no attempt may have run.
func (j *journey) verdict(err error) error {
	if j.begun {
		return unclear(reasonUnclear, err)
	}
	return refusal(reasonRefused, fullRetry, err)
}

// more tells whether another attempt is within the route's bound.
func (j *journey) more() bool { return j.sent < j.rq.Route.Attempts() }

// failed records a failed attempt and reports whether the failure allows another.
func (j *journey) failed(ctx context.Context, t *track, ans *Answer, err error, without map[string]bool) bool {
	r := j.relay
	e := r.cfg.Log.Info().Str("id", j.rq.ID).Int("attempt", j.sent).Str("first", t.first.ID()).Str("path", t.String()).Str("last", j.last).
		Str("verdict", fault.Of(err).String()).Err(err).Dur("since", time.Since(j.rq.Arrived))
	culprit := t.first
	if ans != nil && ans.Culprit != "" {
		e = e.Str("culprit", ans.Culprit)
		culprit = r.cfg.Servers.ByAddress(ans.Culprit)
	}
	e.Msg("stream attempt failed")
	if ctx.Err() != nil {
		return false
	}
	if culprit != nil {
		culprit.RecordFailure()
		without[culprit.Address()] = true
		// An engine that refuses may be full or dead: its report tells.
		go r.askCulprit(t.first, culprit)
	}
	if r.cfg.Servers.ByAddress(t.first.Address()) == nil {
		j.sent-- // a server that has ended does not count
	}
	j.refused(err)
	return fault.Of(err) == fault.NotRun || j.rq.Route.Repeatable()
}

// refused takes a refused attempt to go on with a started stream back from those
// that count: the caller has a part of the answer, and a server that did not run
// the rest must not end it.
func (j *journey) refused(err error) {
	if j.started && fault.Of(err) == fault.NotRun && j.refusals < maxRefusals {
		j.refusals++
		j.sent--
	}
}

// askCulprit finds out whether an engine that caused a failure is dead. The first
// engine of the path shows whether answers arrive at all.
func (r *Relay) askCulprit(first, s *server.Server) {
	ask := []Hop{{Address: s.Address()}}
	if first != s {
		ask = append(ask, Hop{Address: first.Address()})
	}
	if dead, _ := r.reports.sweep(context.Background(), "", ask, ask); dead[s.Address()] {
		r.suspect(s)
	}
}

// pass hands an answer other than 200 to the caller as it is.
func (j *journey) pass(ans *Answer) error {
	body, free, err := j.relay.cfg.Quota.Read(ans.Body, maxAnswer)
	if err != nil {
		return unclear(reasonBadReply, err)
	}
	defer free()
	return deliver(result{answer: ans, body: body}, j.sink)
}

// callerGone reports that the caller no longer takes the answer.
type callerGone struct{ cause error }

func (e *callerGone) Error() string { return "write to the caller: " + e.cause.Error() }
func (e *callerGone) Unwrap() error { return e.cause }

// copy passes events on until the stream ends.
func (j *journey) copy(ans *Answer, w *stallWatch) error {
	ev := events{from: ans.Body, quota: j.relay.cfg.Quota}
	defer ev.close()
	resumed := j.last
	for {
		whole, last, err := ev.next()
		if err != nil && err != io.EOF { //nolint:errorlint // next returns io.EOF itself
			return err
		}
		if resumed != "" && len(whole) > 0 {
			whole = after(whole, resumed)
			if len(whole) > 0 {
				resumed = ""
			}
		}
		if err == nil {
			n, err := check(whole, j.last)
			if j.events += n; err == nil && j.rq.Answer > 0 && j.events > j.rq.Answer+moreEvents {
				err = errManyEvents
			}
			if errors.Is(err, errOrder) {
				j.relay.violated(InvariantOrder, j.rq)
			}
			if err != nil {
				return err
			}
		}
		if len(whole) > 0 || (err == io.EOF && !j.started) { //nolint:errorlint // as above
			if werr := j.write(ans, whole); werr != nil {
				return &callerGone{cause: werr}
			}
			if last != "" {
				j.last = last
			}
			j.pace.event(j.rq.Arrived)
			w.moved()
		}
		if err != nil {
			return nil
		}
	}
}

func (j *journey) write(ans *Answer, b []byte) error {
	if !j.started {
		j.started = true
		j.sink.Start(ans.Status, ans.Header, ans.Length)
	}
	if err := j.sink.Write(b); err != nil {
		return err
	}
	return j.sink.Flush()
}
