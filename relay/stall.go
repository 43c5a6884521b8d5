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

	"github.com/cranberrybay/cranberrybay/label"
)

const (
	// minFirstEventWait is the least time without a first event after which the engines of the
	// path are queried.
	minFirstEventWait = 200 * time.Millisecond
	// firstEventFactor scales the recent average time to the first event: while all streams wait
	// that long, a wait says nothing about an engine. maxFirstEventWait bounds the product.
	// Callers expect the first event within 0.6 s or more.
	firstEventFactor  = 1.5
	maxFirstEventWait = time.Second
	// minCheckDelay is the least time without an event after which engines are queried. With
	// 40 ms for every stream that shares its first engine, 76 entry processes made 3,600 checks
	// that found nothing in a run without failures.
	minCheckDelay = 40 * time.Millisecond
	// usualGapFactor is the multiple of the stream's usual gap between events after which the
	// engines are queried.
	usualGapFactor = 1.8
	// checkGapShare is the share of the gap that callers accept after which engines are queried
	// in any case. They are queried sooner only if this process has other streams on the first
	// engine: a pause of a single stream is most often caused by a long prompt that the engine
	// reads first.
	checkGapShare = 0.6
	// harmlessGapFactor scales the longest recent gap that ended by itself after a query: a
	// stream queries again only beyond the product.
	harmlessGapFactor = 1.25
	// maxLiveEventAge is the age up to which an event of any stream through an engine shows that
	// the engine is alive.
	maxLiveEventAge = 35 * time.Millisecond
	// checksPerFullQuery: one of so many checks within a gap queries all engines. The others
	// query only the first engine, which names the one that the stream waits for.
	checksPerFullQuery = 4
	// firstRecheckDelay is the delay before the second check within a gap, recheckGrowth the
	// factor for each further delay, and maxRecheckDelay their bound. Callers accept gaps of 0.2
	// to 0.3 s, so later checks are worth less and less. Equal delays led to 84,121 queries in
	// one run of the test deployment neonsabha-grown.
	firstRecheckDelay = 90 * time.Millisecond
	recheckGrowth     = 1.5
	maxRecheckDelay   = 800 * time.Millisecond
	// leaveAfter is how long a stream stays on an engine that is leaving. Engines keep serving
	// for two seconds or more and most streams end within that time, while each change of path
	// costs a pause.
	leaveAfter = 1800 * time.Millisecond
	// leaveAfterGiveUp bounds how long a stream stays on an engine that has given up the stream's
	// layers: the engine loads its new layers only when the last such stream has left. Streams
	// leave at random times within the bound, as each has its tokens read again elsewhere.
	leaveAfterGiveUp = 500 * time.Millisecond
	// leaveRetryDelay is the delay between two attempts to leave an engine.
	leaveRetryDelay = 400 * time.Millisecond
	// repathTimeout bounds the wait for the answer to an order to change a path. Engines may leave orders
	// unanswered, and a stream that waits is then resumed elsewhere.
	repathTimeout = 400 * time.Millisecond
	// maxRepaths bounds the attempts to change the path of one run.
	maxRepaths = 6
)

// stallMonitor queries the engines of a path when a stream has had no event for an unusual time,
// and moves the stream off dead engines. It also moves streams off engines that are leaving.
type stallMonitor struct {
	relay  *Relay
	req    *Request
	stream *streamState
	parent context.Context // context of the stream
	ctx    context.Context // context of the run
	cancel context.CancelFunc

	startedAt time.Time // when the run was sent, or when it took over after a handover

	mu       sync.Mutex
	path     *activePath
	excluded map[string]bool // engines that the next attempt avoids
	timer    *time.Timer
	stopped  bool
	repaths  int
	blamed   map[string]bool // engines on whose failure the request is recorded

	// checksSinceFull counts the checks since the last event, or since an engine did not answer. The
	// next check queries all engines if it is a multiple of checksPerFullQuery.
	checksSinceFull atomic.Int32
	checksInGap     atomic.Int32 // checks in the current gap
	leaving         atomic.Bool  // leaveLaterEngines runs

	// The following fields are used only by the goroutine that runs copyEvents.
	leaveAttempts int
	leaveAt       time.Time     // when the stream next tries to move off leaving engines; zero if there are none
	usualGap      time.Duration // moving average of the gap between events
	harmlessGap   time.Duration // longest recent gap that ended by itself after a check; decays
	lastEventAt   time.Time
}

// newStallMonitor returns the monitor of a run. Only runs over a path of engines are checked; for
// others eventReceived and stop do nothing.
func newStallMonitor(parent context.Context, st *streamState, rn *run, excluded map[string]bool) *stallMonitor {
	m := &stallMonitor{relay: st.relay, req: st.req, stream: st, parent: parent, ctx: rn.ctx, cancel: rn.cancel, path: rn.path, excluded: excluded, startedAt: time.Now()}
	if len(rn.path.hops) > 0 {
		m.mu.Lock()
		m.timer = time.AfterFunc(m.relay.firstEventWait(m.req.Service.Name), func() { m.relay.safely(m.req.ID, m.check) })
		m.mu.Unlock()
		m.relay.addMonitor(m)
	}
	return m
}

// eventReceived records that an event has arrived and schedules the next check. It also starts the
// move off leaving engines when it is due.
func (m *stallMonitor) eventReceived() {
	if m.timer == nil {
		return
	}
	m.path.recordProgress(&m.relay.cfg.Log)
	m.checksSinceFull.Store(0)
	checked := m.checksInGap.Swap(0) > 0
	now := time.Now()
	leaving, gaveUp := m.path.leavingEngines(m.relay.cfg.Servers)
	stay := leaveAfter
	if len(gaveUp) > 0 {
		stay = rand.N(leaveAfterGiveUp)
		for address := range gaveUp {
			leaving = addAddress(leaving, address)
		}
	}
	switch {
	case len(leaving) == 0:
		m.leaveAt = time.Time{}
	case m.leaveAt.IsZero():
		m.leaveAt = now.Add(stay)
	case now.After(m.leaveAt) && m.leaveAttempts < maxRepaths:
		m.leaveAt = now.Add(leaveRetryDelay)
		m.leaveEngines(leaving)
	}
	switch pause := now.Sub(m.lastEventAt); {
	case m.lastEventAt.IsZero():
		m.relay.recordFirstEvent(m.req.Service.Name, now.Sub(m.startedAt))
	case checked:
		m.harmlessGap = max(m.harmlessGap, pause)
		m.usualGap += (pause - m.usualGap) / 4
	default:
		if pause < m.harmlessGap/2 {
			m.harmlessGap -= m.harmlessGap / 8
		}
		m.usualGap += (pause - m.usualGap) / 4
	}
	m.lastEventAt = now
	m.timer.Reset(m.checkDelay())
}

// checkDelay returns the time without an event after which the engines are queried. Streams that
// share engines draw random delays: the first stream that finds a dead engine tells the others,
// and a pause caused by a long prompt costs few queries.
func (m *stallMonitor) checkDelay() time.Duration {
	maxDelay := max(time.Duration(checkGapShare*float64(m.req.Route.TargetGap())), minCheckDelay)
	if learned := time.Duration(harmlessGapFactor * float64(m.harmlessGap)); learned > maxDelay {
		return min(learned, maxRecheckDelay)
	}
	minDelay := maxDelay
	if m.path.first.Inflight() > 1 {
		minDelay = minCheckDelay + rand.N(maxDelay-minCheckDelay+1)
	}
	return min(max(time.Duration(usualGapFactor*float64(m.usualGap)), minDelay), maxDelay)
}

// firstEventTimes holds the moving average of the time to the first event, by service.
type firstEventTimes struct {
	mu        sync.Mutex
	byService map[string]time.Duration
}

// recordFirstEvent records an attempt's time to the first event.
func (r *Relay) recordFirstEvent(service string, took time.Duration) {
	r.firstEventTimes.mu.Lock()
	defer r.firstEventTimes.mu.Unlock()
	r.firstEventTimes.byService[service] += (took - r.firstEventTimes.byService[service]) / 8
}

// firstEventWait returns the time without a first event after which the engines are queried.
func (r *Relay) firstEventWait(service string) time.Duration {
	r.firstEventTimes.mu.Lock()
	defer r.firstEventTimes.mu.Unlock()
	wait := time.Duration(firstEventFactor * float64(r.firstEventTimes.byService[service]))
	return min(max(wait, minFirstEventWait), maxFirstEventWait)
}

// leaveEngines moves a stream off engines that are leaving. They keep serving for a while, but a
// long stream would lose them before its end. It is called by the goroutine that runs copyEvents.
func (m *stallMonitor) leaveEngines(leaving map[string]bool) {
	if !leaving[m.path.currentHops()[0].Address] {
		if m.leaving.CompareAndSwap(false, true) {
			m.leaveAttempts++
			go m.relay.safely(m.req.ID, func() { m.leaveLaterEngines(leaving) })
		}
		return
	}
	m.leaveAttempts++
	excluded := maps.Clone(leaving)
	m.mu.Lock()
	maps.Copy(excluded, m.excluded)
	m.mu.Unlock()
	_ = m.startHandover(excluded, plannedMove) // without one the stream stays until the next try
}

// leaveLaterEngines moves the stream off leaving engines other than the first one, which needs a
// handover.
func (m *stallMonitor) leaveLaterEngines(leaving map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.leaving.Store(false)
	if !m.stopped && m.ctx.Err() == nil {
		m.replaceEngines(leaving, false)
	}
}

// exclude makes the next attempt avoid an engine. It ends the run, which has failed: a change of path in
// progress must not delay the next attempt.
func (m *stallMonitor) exclude(address string) {
	m.cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.excluded[address] = true
}

// stop ends the run and the checks of its stream.
func (m *stallMonitor) stop() {
	if m.timer == nil {
		return
	}
	m.relay.removeMonitor(m)
	m.cancel() // a change of path in progress must not delay the end of the answer
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	m.timer.Stop()
}

// endRun ends a run that failed and its checks, and notes whether it had been cancelled before.
func (m *stallMonitor) endRun(rn *run) {
	rn.cancelled = rn.ctx.Err() != nil
	rn.close()
	m.stop()
}

// check looks for dead engines while the stream waits. It runs on the timer's goroutine. If no
// engine of the path is known to be dead, it queries the engines through which no other stream has
// had an event lately, or only the first one; a dead engine does not answer. The first engine also
// reports which engine it waits for, with a delay of some hundred milliseconds.
//
// An engine that does not answer may be alive and go on later, so the run continues until another
// one has taken over, unless its first engine is gone.
func (m *stallMonitor) check() {
	dead, gone := m.path.knownDead(), map[string]bool(nil)
	if len(dead) == 0 {
		dead, gone = m.findDeadEngines()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped || m.ctx.Err() != nil {
		return
	}
	defer func() { m.timer.Reset(recheckDelay(int(m.checksInGap.Add(1)))) }()
	if m.stream.hasSuccessor() {
		return
	}
	hops := m.path.currentHops()
	// The stream may have been moved meanwhile.
	maps.DeleteFunc(dead, func(address string, _ bool) bool { return !containsAddress(hops, address) })
	if len(dead) == 0 {
		return
	}
	for address := range dead {
		m.excluded[address] = true
		m.recordUnanswered(address, gone[address])
	}
	if first := hops[0].Address; dead[first] {
		err := m.startHandover(m.excluded, stalledMove)
		m.relay.cfg.Log.Info().Err(err).Str("id", label.Short(m.req.ID)).Str("address", first).Bool("gone", gone[first]).Msg("first engine does not answer")
		if gone[first] && err != nil {
			m.cancel()
		}
		return
	}
	m.replaceEngines(dead, true)
}

// recordUnanswered notes that the engine at an address may have crashed on the stream's request, which
// it has if it is gone. Further checks of the run find the same crash. The caller holds mu.
func (m *stallMonitor) recordUnanswered(address string, gone bool) {
	s := m.relay.cfg.Servers.ByAddress(address)
	if s == nil || m.stream.runEvents.Load() >= answeredEvents || m.relay.endIsPlanned(s) {
		return
	}
	if !m.blamed[address] {
		m.blamed = addAddress(m.blamed, address)
		m.relay.recordUnanswered(m.req, s)
	}
	if gone {
		m.relay.cfg.Poison.RecordCrash(s.Incarnation())
	}
}

// recheckDelay returns the delay after the nth check in one gap.
func recheckDelay(n int) time.Duration {
	d := float64(firstRecheckDelay) * math.Pow(recheckGrowth, float64(n-1))
	return time.Duration(min(d, float64(maxRecheckDelay)))
}

// findDeadEngines queries engines of the path and returns the dead ones, and those of them that are
// certainly gone.
func (m *stallMonitor) findDeadEngines() (dead, gone map[string]bool) {
	hops := m.path.currentHops()
	query := hops[:1]
	if m.checksSinceFull.Add(1)%checksPerFullQuery == 1 {
		query = m.path.silentHops(maxLiveEventAge) // none if other streams have had recent events through all of them
	}
	dead, gone, unanswered := m.relay.reports.findDead(m.ctx, m.req.ID, query, hops)
	if unanswered > 0 {
		m.checksSinceFull.Store(0) // query all engines next time, to tell a dead engine from a slow link of this process
	}
	if m.ctx.Err() != nil {
		return nil, nil
	}
	for address := range dead {
		if s := m.path.serverAt(address); s != nil {
			m.relay.suspect(s)
		}
	}
	return dead, gone
}

// checkNow checks the stream immediately if its path contains an engine that was found dead.
func (m *stallMonitor) checkNow(address string) {
	if containsAddress(m.path.currentHops(), address) {
		m.timer.Reset(0)
	}
}

// replaceEngines moves the stream off dead engines. In this order it tries a detour over other
// engines of the same failure domain, a new run on another path that resumes the stream, and a
// detour over the link between failure domains.
//
// If an engine of the detour rejects it too, the new run is tried before further detours: all
// streams over these engines need replacements nearby at the same time, and each of several new
// hops reads the whole prompt only after the one before it. This caused gaps of 0.2 to 0.35 s
// after four engines died together.
//
// If stalled is false, the engines are only leaving and the stream still runs: no new run is
// started, and the lack of a detour is no failure. The caller holds mu.
func (m *stallMonitor) replaceEngines(dead map[string]bool, stalled bool) {
	r := m.relay
	anotherRejected := false // another engine rejected a detour
	for m.repaths < maxRepaths {
		m.repaths++
		t, ok := r.detour(m.req, m.path, dead, true)
		if (!ok || anotherRejected) && stalled && m.startHandover(m.excluded, stalledMove) == nil {
			if ok {
				t.release()
			}
			r.cfg.Log.Info().Str("id", label.Short(m.req.ID)).Strs("dead", sortedAddresses(dead)).Bool("detour", ok).Msg("resuming the stream elsewhere")
			return
		}
		if !ok {
			t, ok = r.detour(m.req, m.path, dead, false)
		}
		if !ok {
			break
		}
		err := m.orderPath(t)
		r.cfg.Log.Info().Str("id", label.Short(m.req.ID)).Strs("dead", sortedAddresses(dead)).Str("path", t.String()).Err(err).Msg("stream moved to another path")
		if err == nil {
			r.cfg.Count("repath")
			m.path.replace(t)
			return
		}
		t.release()
		if m.ctx.Err() != nil {
			return // the run ended meanwhile
		}
		var rejected *PathRejectedError
		if !errors.As(err, &rejected) || dead[rejected.Address] {
			break
		}
		dead[rejected.Address] = true
		anotherRejected = true
	}
	if !stalled {
		return
	}
	err := m.startHandover(m.excluded, stalledMove)
	if err == nil {
		return
	}
	// The first engine ends the stream itself if the dead engine does not come back.
	r.cfg.Log.Info().Err(err).Str("id", label.Short(m.req.ID)).Strs("dead", sortedAddresses(dead)).Msg("no other path for a stalled stream")
}

// orderPath orders the first engine to continue the stream on another path.
func (m *stallMonitor) orderPath(t *activePath) error {
	ctx, cancel := context.WithTimeout(m.ctx, repathTimeout)
	defer cancel()
	return m.relay.cfg.Repath(ctx, m.path.first.Address(), m.req.ID, t.currentHops())
}

// sortedAddresses returns the members of a set in order.
func sortedAddresses(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }
