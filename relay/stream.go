package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/server"
)

const (
	// fullRetry is the time to come back when engines have no room: some
	// streams end within it.
	fullRetry = 900 * time.Millisecond
	// firstCheck is the time without a first event after which the engine is
	// asked whether the stream waits for a dead one.
	firstCheck = 250 * time.Millisecond
	// gapCheck is the same between two events.
	gapCheck = 110 * time.Millisecond
	// nextCheck is the pause between two such questions.
	nextCheck = 130 * time.Millisecond
	// deadAvoidance keeps streams away from an engine that others wait for. The
	// registry drops a dead engine after three heartbeats.
	deadAvoidance = 5 * time.Second
	// maxSilence is how many questions without an answer make the first engine
	// count as dead.
	maxSilence = 2
	// maxRepaths bounds the changes of path of one stream.
	maxRepaths = 6
)

// journey is the state of one stream over its attempts.
type journey struct {
	relay *Relay
	rq    *Request
	sink  Sink

	started bool   // the caller has the header
	last    string // identifier of the last event that the caller has
	sent    int    // attempts that a server took
}

// stream serves a request that is answered by events.
func (r *Relay) stream(ctx context.Context, rq *Request, sink Sink) error {
	j := &journey{relay: r, rq: rq, sink: sink, last: rq.LastEvent}
	without := map[string]bool{}
	var err error
	for {
		var again bool
		again, err = j.attempt(ctx, without)
		if err == nil {
			return nil
		}
		if !again || ctx.Err() != nil || !r.cfg.Budget(rq.Service.Name).Repeat() {
			break
		}
		r.cfg.Count("repeat")
	}
	if ctx.Err() != nil && !j.started && fault.Of(err) != fault.NotRun {
		return unclear(reasonUnclear, ctx.Err())
	}
	return err
}

// attempt sends the stream over one path and passes its events on. It reports
// whether another attempt may follow.
func (j *journey) attempt(ctx context.Context, without map[string]bool) (again bool, err error) {
	r, rq := j.relay, j.rq
	t, ok := r.findTrack(rq, "", without)
	if !ok {
		r.cfg.Log.Info().Str("id", rq.ID).Str("service", rq.Service.Name).Int("servers", len(r.cfg.Servers.Servers(rq.Service.Name))).
			Int("prompt", rq.Prompt).Int("attempt", j.sent+1).Msg("no path")
		if j.started {
			return false, unclear(reasonNoPath, nil)
		}
		return false, refusal(reasonNoPath, fullRetry, nil)
	}
	defer func() { t.end() }()
	j.sent++
	if j.sent > 1 {
		r.cfg.Log.Info().Str("id", rq.ID).Str("last", j.last).Int("attempt", j.sent).Str("first", t.first.ID()).Msg("stream sent again")
	}
	actx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := newStallWatch(actx, cancel, r, rq, t, without)
	defer w.stop()
	ans, err := r.send(actx, rq, Attempt{Server: t.first, Path: t.hops, LastEvent: j.last, Kept: true})
	if err != nil {
		return j.failed(ctx, t, ans, err, without), j.verdict(err)
	}
	defer func() { _ = ans.Body.Close() }()
	if ans.Status != http.StatusOK {
		if j.started {
			return j.more(), unclear(reasonBadReply, nil)
		}
		return false, j.pass(ans)
	}
	begun := time.Now()
	err = j.copy(ans, w)
	if err == nil {
		t.first.Answered(time.Since(begun))
		return false, nil
	}
	var gone *callerGone
	if errors.As(err, &gone) {
		return false, fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Cancelled, Reason: "the caller went away", Cause: err})
	}
	return j.failed(ctx, t, nil, err, without), unclear(reasonUnclear, err)
}

// verdict keeps the proof of a refusal only while no attempt has begun.
func (j *journey) verdict(err error) error {
	if fault.Of(err) != fault.NotRun || j.started {
		return unclear(reasonUnclear, err)
	}
	return refusal(reasonRefused, fullRetry, err)
}

// more tells whether another attempt is within the route's bound.
func (j *journey) more() bool { return j.sent < j.rq.Route.Attempts() }

// failed records a failed attempt and reports whether another may follow.
func (j *journey) failed(ctx context.Context, t *track, ans *Answer, err error, without map[string]bool) bool {
	r := j.relay
	e := r.cfg.Log.Info().Str("id", j.rq.ID).Int("attempt", j.sent).Str("first", t.first.ID()).Str("last", j.last).
		Str("verdict", fault.Of(err).String()).Err(err).Dur("since", time.Since(j.rq.Arrived))
	culprit := t.first
	if ans != nil && ans.Culprit != "" {
		e = e.Str("culprit", ans.Culprit)
		culprit = r.cfg.Servers.At(ans.Culprit)
	}
	e.Msg("stream attempt failed")
	if ctx.Err() != nil {
		return false
	}
	if culprit != nil {
		culprit.Failed()
		without[culprit.Address()] = true
	}
	if r.cfg.Servers.At(t.first.Address()) == nil {
		j.sent-- // a server that has ended does not count
	}
	if fault.Of(err) != fault.NotRun && !j.rq.Route.Repeatable() {
		return false
	}
	return j.more()
}

// pass hands an answer other than 200 to the caller as it is.
func (j *journey) pass(ans *Answer) error {
	body, err := io.ReadAll(io.LimitReader(ans.Body, maxAnswer))
	if err != nil {
		return unclear(reasonBadReply, err)
	}
	return deliver(result{answer: ans, body: body}, j.sink)
}

// callerGone reports that the caller no longer takes the answer.
type callerGone struct{ cause error }

func (e *callerGone) Error() string { return "write to the caller: " + e.cause.Error() }
func (e *callerGone) Unwrap() error { return e.cause }

// copy passes events on until the stream ends.
func (j *journey) copy(ans *Answer, w *stallWatch) error {
	ev := events{from: ans.Body}
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
		if len(whole) > 0 || (err == io.EOF && !j.started) { //nolint:errorlint // as above
			if werr := j.write(ans, whole); werr != nil {
				return &callerGone{cause: werr}
			}
			if last != "" {
				j.last = last
			}
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

// stallWatch asks the first engine of a path what a stream waits for when no
// event comes, and moves the stream to another path.
type stallWatch struct {
	relay   *Relay
	rq      *Request
	ctx     context.Context
	cancel  context.CancelFunc
	without map[string]bool

	mu      sync.Mutex
	track   *track
	timer   *time.Timer
	stopped bool
	silent  int // questions without an answer
	repaths int
}

func newStallWatch(ctx context.Context, cancel context.CancelFunc, r *Relay, rq *Request, t *track, without map[string]bool) *stallWatch {
	w := &stallWatch{relay: r, rq: rq, ctx: ctx, cancel: cancel, track: t, without: without}
	if len(t.hops) > 0 {
		w.timer = time.AfterFunc(firstCheck, w.check)
	}
	return w
}

// moved records that an event arrived.
func (w *stallWatch) moved() {
	if w.timer == nil {
		return
	}
	w.timer.Reset(gapCheck)
}

func (w *stallWatch) stop() {
	if w.timer == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// check runs on a goroutine of its own while the stream waits.
func (w *stallWatch) check() {
	first := w.track.first
	rep, err := w.relay.reports.get(w.ctx, first.Address())
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.ctx.Err() != nil {
		return
	}
	defer func() { w.timer.Reset(nextCheck) }()
	if err != nil {
		if w.silent++; w.silent >= maxSilence {
			w.relay.cfg.Log.Info().Str("id", w.rq.ID).Str("server", first.ID()).Err(err).Msg("first engine does not answer; leaving it")
			first.Avoid(deadAvoidance)
			w.cancel()
		}
		return
	}
	w.silent = 0
	address, ok := rep.Stalled[w.rq.ID]
	if !ok {
		return
	}
	w.move(address)
}

// move takes the stream off a dead engine.
func (w *stallWatch) move(address string) {
	r := w.relay
	if s := r.cfg.Servers.At(address); s != nil {
		s.Avoid(deadAvoidance)
	}
	without := map[string]bool{address: true}
	for range 2 {
		if w.repaths++; w.repaths > maxRepaths {
			break
		}
		t, ok := r.findTrack(w.rq, w.track.first.Address(), without)
		if !ok {
			r.cfg.Log.Info().Str("id", w.rq.ID).Str("stalled", address).Msg("no other path for a stalled stream")
			break
		}
		err := r.cfg.Repath(w.ctx, t.first.Address(), w.rq.ID, t.hops)
		r.cfg.Log.Info().Str("id", w.rq.ID).Str("stalled", address).Int("hops", len(t.hops)).Err(err).Msg("stream moved to another path")
		if err == nil {
			r.cfg.Count("repath")
			w.track.replace(t)
			return
		}
		t.end()
		var missing *MissingPart
		if !errors.As(err, &missing) {
			break
		}
		without[missing.Address] = true
	}
	w.cancel()
}

// MissingPart reports that an engine of a new path lacks its layers or memory.
type MissingPart struct{ Address string }

func (e *MissingPart) Error() string {
	return "engine " + e.Address + " can't take its part of the path"
}

// track is a path in use, counted at its engines.
type track struct {
	first *server.Server
	hops  []Hop

	mu   sync.Mutex
	ends []func()
}

func (t *track) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, end := range t.ends {
		end()
	}
	t.ends = nil
}

// replace takes over the path and the counts of another track.
func (t *track) replace(by *track) {
	t.end()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hops, t.ends = by.hops, by.ends
}
