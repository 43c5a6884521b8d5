package relay

import (
	"context"
	"errors"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstCheck is the time without a first event after which the engines of the
	// path are asked whether they live.
	firstCheck = 200 * time.Millisecond
	// firstFactor is that time in units of what first events took lately: while all
	// wait, a wait tells nothing of an engine. longestFirst bounds it, in callers' aims
	// of 0.6 s and more.
	firstFactor  = 1.5
	longestFirst = time.Second
	// leastGap is the least pause between two events after which engines are
	// asked. With 40 ms for each stream that is not alone at its first engine, a
	// calm day of 76 entry processes had 3,600 checks that found nothing.
	leastGap = 40 * time.Millisecond
	// gapFactor is the pause in units of the stream's usual pause that is
	// unusual.
	gapFactor = 1.8
	// loneShare is the part of the pause that callers accept after which engines
	// are asked in any case, and sooner only when this process has other streams
	// over them: a pause of a single one is most often that of a long prompt
	// before it.
	loneShare = 0.6
	// harmlessFactor is the pause after which a stream asks, in units of the pauses in
	// which it asked and found nothing.
	harmlessFactor = 1.25
	// signOfLife is how old an event of another stream may be to show that an
	// engine lives.
	signOfLife = 35 * time.Millisecond
	// askAll is the number of checks in a pause of which one asks all engines;
	// the others ask the first one, which tells what the stream waits for.
	askAll = 4
	// nextCheck is the pause before the second such question, checkGrowth the ratio of
	// each further one to the one before, and longestCheck the bound. Callers accept 0.2
	// to 0.3 s; what a question finds after that is worth less each time. With equal
	// pauses one day of neonsabha-grown had 84,121 questions.
	nextCheck    = 90 * time.Millisecond
	checkGrowth  = 1.5
	longestCheck = 800 * time.Millisecond
	// evacuateAfter is how long a stream stays on an engine that leaves. Engines
	// serve on for two seconds and more; most streams end within that time, and
	// each change of path is a pause.
	evacuateAfter = 1800 * time.Millisecond
	// giveUpAfter bounds how long a stream stays on an engine that has given up its
	// layers: the engine loads the layers that others miss when the last stream has
	// left. Streams leave at different times, as each reads its tokens again.
	giveUpAfter = 500 * time.Millisecond
	// nextEvacuation is the pause between two tries to leave an engine.
	nextEvacuation = 400 * time.Millisecond
	// maxRepaths bounds the changes of path of one stream.
	maxRepaths = 6
)

// stallWatch asks the engines of a path whether they live when no event comes,
// and moves the stream off dead ones.
type stallWatch struct {
	relay   *Relay
	rq      *Request
	journey *journey
	parent  context.Context // of the stream
	ctx     context.Context // of the run
	cancel  context.CancelFunc

	begun time.Time // of the attempt

	mu      sync.Mutex
	track   *track
	without map[string]bool // dead engines, for the next attempt
	timer   *time.Timer
	stopped bool
	repaths int

	checks atomic.Int32 // since all engines were last asked; 0 when they are next
	asked  atomic.Int32 // checks in this pause

	evacuating  atomic.Bool
	evacuations int       // used by the copying goroutine
	leftAt      time.Time // when the stream gives up engines that leave; used by the copying goroutine

	// Used by the copying goroutine.
	usual    time.Duration // smoothed pause between events
	harmless time.Duration // longest pause lately that ended by itself after a question
	last     time.Time
}

func newStallWatch(parent context.Context, j *journey, x *run, without map[string]bool) *stallWatch {
	w := &stallWatch{relay: j.relay, rq: j.rq, journey: j, parent: parent, ctx: x.ctx, cancel: x.cancel, track: x.track, without: without, begun: time.Now()}
	if len(x.track.hops) > 0 {
		w.mu.Lock()
		w.timer = time.AfterFunc(w.relay.firstPatience(w.rq.Service.Name), w.check)
		w.mu.Unlock()
		w.relay.watched(w)
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
	w.checks.Store(0)
	asked := w.asked.Swap(0) > 0
	now := time.Now()
	leaving, gaveUp := w.track.leaving(w.relay.cfg.Servers)
	stay := evacuateAfter
	if len(gaveUp) > 0 {
		stay = rand.N(giveUpAfter)
		for address := range gaveUp {
			leaving = with(leaving, address)
		}
	}
	switch {
	case len(leaving) == 0:
		w.leftAt = time.Time{}
	case w.leftAt.IsZero():
		w.leftAt = now.Add(stay)
	case now.After(w.leftAt) && w.evacuations < maxRepaths:
		w.leftAt = now.Add(nextEvacuation)
		w.evacuate(leaving)
	}
	switch pause := now.Sub(w.last); {
	case w.last.IsZero():
		w.relay.firstEvent(w.rq.Service.Name, now.Sub(w.begun))
	case asked:
		w.harmless = max(w.harmless, pause)
		w.usual += (pause - w.usual) / 4
	default:
		if pause < w.harmless/2 {
			w.harmless -= w.harmless / 8
		}
		w.usual += (pause - w.usual) / 4
	}
	w.last = now
	w.timer.Reset(w.patience())
}

// patience returns the pause after which the engines are asked. Streams that
// share engines draw different times: the first that finds a dead engine tells
// the others, and a pause that is only a long prompt costs few questions.
func (w *stallWatch) patience() time.Duration {
	longest := max(time.Duration(loneShare*float64(w.rq.Route.Gap())), leastGap)
	if learned := time.Duration(harmlessFactor * float64(w.harmless)); learned > longest {
		return min(learned, longestCheck)
	}
	least := longest
	if w.track.first.Inflight() > 1 {
		least = leastGap + rand.N(longest-leastGap+1)
	}
	return min(max(time.Duration(gapFactor*float64(w.usual)), least), longest)
}

// firsts are the smoothed times to the first event, by service.
type firsts struct {
	mu  sync.Mutex
	all map[string]time.Duration
}

// firstEvent records the time to the first event of an attempt.
func (r *Relay) firstEvent(service string, took time.Duration) {
	r.firsts.mu.Lock()
	defer r.firsts.mu.Unlock()
	r.firsts.all[service] += (took - r.firsts.all[service]) / 8
}

// firstPatience returns the time without a first event after which the engines are
// asked.
func (r *Relay) firstPatience(service string) time.Duration {
	r.firsts.mu.Lock()
	defer r.firsts.mu.Unlock()
	usual := time.Duration(firstFactor * float64(r.firsts.all[service]))
	return min(max(usual, firstCheck), longestFirst)
}

// evacuate takes a stream off engines that leave. They serve on for a while, but
// a long stream would lose them in the middle. It is called by the copying
// goroutine.
func (w *stallWatch) evacuate(leaving map[string]bool) {
	if !leaving[w.track.path()[0].Address] {
		if w.evacuating.CompareAndSwap(false, true) {
			w.evacuations++
			go w.leave(leaving)
		}
		return
	}
	w.evacuations++
	without := maps.Clone(leaving)
	w.mu.Lock()
	maps.Copy(without, w.without)
	w.mu.Unlock()
	w.handOver(without)
}

// leave moves the stream off engines that leave but for the first one.
func (w *stallWatch) leave(leaving map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer w.evacuating.Store(false)
	if !w.stopped && w.ctx.Err() == nil {
		w.move(leaving, false)
	}
}

func (w *stallWatch) stop() {
	if w.timer == nil {
		return
	}
	w.relay.unwatched(w)
	w.cancel() // a change of path that is under way must not hold up the answer's end
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
	dead := w.track.foundDead()
	if len(dead) == 0 {
		dead = w.ask()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.ctx.Err() != nil {
		return
	}
	defer func() { w.timer.Reset(checkPause(int(w.asked.Add(1)))) }()
	hops := w.track.path()
	// Another check may have moved the stream meanwhile.
	maps.DeleteFunc(dead, func(address string, _ bool) bool { return !passes(hops, address) })
	if len(dead) == 0 {
		return
	}
	for address := range dead {
		w.without[address] = true
	}
	if dead[hops[0].Address] {
		w.reserve()
		w.relay.cfg.Log.Info().Str("id", w.rq.ID).Str("address", hops[0].Address).Msg("first engine does not answer; leaving it")
		w.cancel()
		return
	}
	w.move(dead, true)
}

// checkPause returns the pause after the nth question in one pause of a stream.
func checkPause(n int) time.Duration {
	d := float64(nextCheck) * math.Pow(checkGrowth, float64(n-1))
	return time.Duration(min(d, float64(longestCheck)))
}

// ask finds dead engines of the path by their reports.
func (w *stallWatch) ask() map[string]bool {
	hops := w.track.path()
	ask := hops[:1]
	if w.checks.Add(1)%askAll == 1 {
		ask = w.track.silent(signOfLife) // none when another stream moves over each
	}
	dead, silent := w.relay.reports.sweep(w.ctx, w.rq.ID, ask, hops)
	if silent > 0 {
		w.checks.Store(0) // asks all engines next, which tells a dead one from a slow link
	}
	if w.ctx.Err() != nil {
		return nil
	}
	for address := range dead {
		if s := w.relay.cfg.Servers.ByAddress(address); s != nil {
			w.relay.suspect(s)
		}
	}
	return dead
}

// hurry has a stream over an engine that was found dead checked at once.
func (w *stallWatch) hurry(address string) {
	if passes(w.track.path(), address) {
		w.timer.Reset(0)
	}
}

// move takes the stream off dead engines: over others of the same failure domain,
// else by a new run elsewhere that resumes the stream, else by a detour over the
// pipe.
//
// When another engine of the path is missing too, the new run goes before the
// detour: all streams over these engines need others nearby at once, and each of
// several new hops reads the whole prompt after the one before it (pauses of 0.2
// to 0.35 s after four engines died together).
//
// With stalled false the engines only leave: the stream goes on, so that a detour
// that does not exist costs nothing and no new run is begun.
func (w *stallWatch) move(dead map[string]bool, stalled bool) {
	r := w.relay
	lacking := false // a detour was refused for want of another engine
	for w.repaths < maxRepaths {
		w.repaths++
		t, ok := r.detour(w.rq, w.track, dead, true)
		if (!ok || lacking) && stalled && w.reserve() {
			if ok {
				t.end()
			}
			r.cfg.Log.Info().Str("id", w.rq.ID).Strs("dead", names(dead)).Bool("detour", ok).Msg("resuming the stream elsewhere")
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
		lacking = true
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
