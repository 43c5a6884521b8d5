package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/server"
)

const (
	// fullRetry is the time to come back when engines have no room: some
	// streams end within it.
	fullRetry = 900 * time.Millisecond
	// firstCheck is the time without a first event after which the engines of the
	// path are asked whether they live.
	firstCheck = 200 * time.Millisecond
	// leastGap is the least pause between two events after which engines are
	// asked.
	leastGap = 40 * time.Millisecond
	// gapFactor is the pause in units of the stream's usual pause that is
	// unusual.
	gapFactor = 1.8
	// loneShare is the part of the pause that callers accept after which engines
	// are asked in any case, and sooner only when this process has other streams
	// over them: a pause of a single one is most often that of a long prompt
	// before it.
	loneShare = 0.6
	// signOfLife is how old an event of another stream may be to show that an
	// engine lives.
	signOfLife = 35 * time.Millisecond
	// askAll is the number of checks in a pause of which one asks all engines;
	// the others ask the first one, which tells what the stream waits for.
	askAll = 8
	// nextCheck is the pause between two such questions.
	nextCheck = 90 * time.Millisecond
	// maxRefusals bounds the refused attempts of a started stream that do not
	// count against the route's bound.
	maxRefusals = 2
	// evacuateAfter is how long a stream stays on an engine that leaves. Engines
	// serve on for two seconds and more; most streams end within that time, and
	// each change of path is a pause.
	evacuateAfter = 1800 * time.Millisecond
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
	// refusals counts refused attempts to go on with a started stream.
	refusals int
	pace     pace
	// reserved tells that a repeat was taken from the budget before the running
	// attempt was given up.
	reserved atomic.Bool
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
	without := map[string]bool{}
	var err error
	for {
		var again bool
		again, err = j.attempt(ctx, without)
		if err == nil {
			return nil
		}
		if !again || ctx.Err() != nil || !j.repeat() {
			break
		}
		r.cfg.Count("repeat")
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
	return j.relay.cfg.Budget(j.rq.Service.Name).Repeat()
}

// attempt sends the stream over one path and passes its events on. It reports
// whether another attempt may follow.
func (j *journey) attempt(ctx context.Context, without map[string]bool) (again bool, err error) {
	r, rq := j.relay, j.rq
	t, ok := r.findTrack(rq, without)
	if !ok || t.first == nil {
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
	w := newStallWatch(actx, cancel, j, t, without)
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
		j.report(t)
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
		// An engine that refuses may be full or dead: its report tells.
		go r.askCulprit(t.first, culprit)
	}
	if r.cfg.Servers.At(t.first.Address()) == nil {
		j.sent-- // a server that has ended does not count
	}
	if j.started && fault.Of(err) == fault.NotRun && j.refusals < maxRefusals {
		// The caller has a part of the answer: a server that did not run the
		// rest must not end it.
		j.refusals++
		j.sent--
	}
	if fault.Of(err) != fault.NotRun && !j.rq.Route.Repeatable() {
		return false
	}
	return j.more()
}

// askCulprit finds out whether an engine that caused a failure is dead. The first
// engine of the path shows whether answers arrive at all.
func (r *Relay) askCulprit(first, s *server.Server) {
	ask := []Hop{{Address: s.Address()}}
	if first != s {
		ask = append(ask, Hop{Address: first.Address()})
	}
	if dead, _ := r.reports.sweep(context.Background(), "", ask, ask); dead[s.Address()] {
		r.dead(s)
	}
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

// stallWatch asks the engines of a path whether they live when no event comes,
// and moves the stream off dead ones.
type stallWatch struct {
	relay   *Relay
	rq      *Request
	journey *journey
	ctx     context.Context
	cancel  context.CancelFunc

	mu      sync.Mutex
	track   *track
	without map[string]bool // dead engines, for the next attempt
	timer   *time.Timer
	stopped bool
	repaths int
	checks  int

	evacuating  atomic.Bool
	evacuations int       // used by the copying goroutine
	leftAt      time.Time // when the stream gives up engines that leave; used by the copying goroutine

	usual time.Duration // smoothed pause between events; used by the copying goroutine
	last  time.Time
}

func newStallWatch(ctx context.Context, cancel context.CancelFunc, j *journey, t *track, without map[string]bool) *stallWatch {
	w := &stallWatch{relay: j.relay, rq: j.rq, journey: j, ctx: ctx, cancel: cancel, track: t, without: without}
	if len(t.hops) > 0 {
		w.timer = time.AfterFunc(firstCheck, w.check)
	}
	return w
}

// reserve tells whether the stream may go on with another attempt, and takes the
// repeat for it from the budget. A running attempt is not given up without one.
func (w *stallWatch) reserve() bool {
	if !w.rq.Route.Repeatable() || !w.journey.more() || !w.journey.repeat() {
		return false
	}
	w.journey.reserved.Store(true)
	return true
}

// moved records that an event arrived.
func (w *stallWatch) moved() {
	if w.timer == nil {
		return
	}
	w.track.moved()
	w.resetChecks()
	now := time.Now()
	switch leaving := w.track.leaving(); {
	case len(leaving) == 0:
		w.leftAt = time.Time{}
	case w.leftAt.IsZero():
		w.leftAt = now.Add(evacuateAfter)
	case now.After(w.leftAt) && w.evacuations < maxRepaths && w.evacuating.CompareAndSwap(false, true):
		w.evacuations++
		go w.evacuate(leaving)
	}
	if !w.last.IsZero() {
		w.usual += (now.Sub(w.last) - w.usual) / 4
	}
	w.last = now
	lone := time.Duration(loneShare * float64(w.rq.Route.Gap()))
	least := leastGap
	if w.track.first.Inflight() <= 1 {
		least = max(lone, leastGap)
	}
	w.timer.Reset(min(max(time.Duration(gapFactor*float64(w.usual)), least), max(lone, leastGap)))
}

func (w *stallWatch) resetChecks() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checks = 0
}

// evacuate takes a stream off engines that leave. They serve on for a while, but
// a long stream would lose them in the middle.
func (w *stallWatch) evacuate(leaving map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer w.evacuating.Store(false)
	if w.stopped || w.ctx.Err() != nil {
		return
	}
	first := w.track.path()[0].Address
	if !leaving[first] {
		w.move(leaving, false)
		return
	}
	if w.journey.relay.cfg.Servers.At(first) == nil {
		return // its end is near; the connection tells
	}
	if w.reserve() {
		w.relay.cfg.Log.Info().Str("id", w.rq.ID).Str("address", first).Msg("first engine leaves; resuming the stream elsewhere")
		w.without[first] = true
		w.cancel()
	}
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

// check runs on a goroutine of its own while the stream waits. It asks the
// engines of the path through which no other stream moves: a dead one does not
// answer. The first engine also tells what it waits for, some hundred
// milliseconds late.
func (w *stallWatch) check() {
	hops := w.track.path()
	ask := hops[:1]
	w.mu.Lock()
	if w.checks++; w.checks%askAll == 1 {
		ask = w.track.silent(signOfLife) // none when another stream moves over each
	}
	w.mu.Unlock()
	dead, silent := w.relay.reports.sweep(w.ctx, w.rq.ID, ask, hops)
	w.mu.Lock()
	defer w.mu.Unlock()
	if silent > 0 {
		w.checks = 0 // asks all engines next, which tells a dead one from a slow link
	}
	if w.stopped || w.ctx.Err() != nil {
		return
	}
	defer func() { w.timer.Reset(nextCheck) }()
	if len(dead) == 0 {
		return
	}
	for address := range dead {
		w.without[address] = true
		if s := w.relay.cfg.Servers.At(address); s != nil {
			w.relay.dead(s)
		}
	}
	if dead[hops[0].Address] {
		w.reserve()
		w.relay.cfg.Log.Info().Str("id", w.rq.ID).Str("address", hops[0].Address).Msg("first engine does not answer; leaving it")
		w.cancel()
		return
	}
	w.move(dead, true)
}

// move takes the stream off dead engines: over others of the same failure domain,
// else by a new run elsewhere that resumes the stream, else by a detour over the
// pipe.
//
// With stalled false the engines only leave: the stream goes on, so that a detour
// that does not exist costs nothing and no new run is begun.
func (w *stallWatch) move(dead map[string]bool, stalled bool) {
	r := w.relay
	for w.repaths < maxRepaths {
		w.repaths++
		t, ok := r.detour(w.rq, w.track, dead, true)
		if !ok && stalled && w.reserve() {
			r.cfg.Log.Info().Str("id", w.rq.ID).Strs("dead", names(dead)).Msg("no engine nearby takes over; resuming the stream elsewhere")
			w.cancel()
			return
		}
		if !ok {
			t, ok = r.detour(w.rq, w.track, dead, false)
		}
		if !ok {
			break
		}
		err := r.cfg.Repath(w.ctx, w.track.first.Address(), w.rq.ID, t.path())
		r.cfg.Log.Info().Str("id", w.rq.ID).Strs("dead", names(dead)).Str("path", t.String()).Err(err).Msg("stream moved to another path")
		if err == nil {
			r.cfg.Count("repath")
			w.track.replace(t)
			return
		}
		t.end()
		var missing *MissingPart
		if !errors.As(err, &missing) || dead[missing.Address] {
			break
		}
		dead[missing.Address] = true
	}
	if !stalled {
		return
	}
	if w.reserve() {
		w.cancel()
		return
	}
	// The engine itself ends the stream when it does not come back.
	r.cfg.Log.Info().Str("id", w.rq.ID).Strs("dead", names(dead)).Msg("no other path for a stalled stream")
}

func names(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }

// MissingPart reports that an engine of a new path lacks its layers or memory.
type MissingPart struct{ Address string }

func (e *MissingPart) Error() string {
	return "engine " + e.Address + " can't take its part of the path"
}

// track is a path in use, counted at its engines.
type track struct {
	first *server.Server
	hops  []Hop

	mu      sync.Mutex
	servers []*server.Server
	ends    []func()
}

// moved records that an event passed through every engine of the path.
func (t *track) moved() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		s.Moved()
	}
}

// leaving returns the addresses of engines of the path that leave.
func (t *track) leaving() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out map[string]bool
	for _, s := range t.servers {
		if s.Leaving() {
			if out == nil {
				out = map[string]bool{}
			}
			out[s.Address()] = true
		}
	}
	return out
}

// silent returns the hops whose engines have shown no sign of life for a time.
func (t *track) silent(longer time.Duration) []Hop {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Hop
	for _, h := range t.hops {
		if !slices.ContainsFunc(t.servers, func(s *server.Server) bool { return s.Address() == h.Address && s.Silent() <= longer }) {
			out = append(out, h)
		}
	}
	return out
}

func (t *track) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, end := range t.ends {
		end()
	}
	t.ends = nil
}

// path returns the hops.
func (t *track) path() []Hop {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hops
}

// String returns the hops as address=from-to.
func (t *track) String() string {
	var b strings.Builder
	for i, h := range t.path() {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s=%d-%d", h.Address, h.From, h.To)
	}
	return b.String()
}

// replace takes over the path and the counts of another track.
func (t *track) replace(by *track) {
	t.end()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hops, t.servers, t.ends = by.hops, by.servers, by.ends
}
