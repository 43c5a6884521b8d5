package stream

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/route"
)

// Bounds of the time that a stage has to answer a probe. A load report takes a few
// ms, and the pauses of a busy process reach about 100 ms. Between the bounds, a
// probe waits as long as the token timeout that caused it, so that a stalled stage
// of a fast route is replaced sooner.
const (
	minProbe = minTokenTimeout
	maxProbe = 250 * time.Millisecond
)

// probe asks stages for a load report. It returns the names of those that did not
// answer, and whether one of the others has requests waiting.
func (st *requestState) probe(ctx context.Context, stages []route.Stage, timeout time.Duration) (unresponsive map[string]bool, waiting bool) {
	ctx, cancel := context.WithTimeout(ctx, clamp(timeout, minProbe, maxProbe))
	defer cancel()
	unresponsive = map[string]bool{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, s := range stages {
		wg.Go(func() {
			queued, err := st.runner.cfg.Probe(ctx, s.Address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unresponsive[s.Name] = true
			}
			waiting = waiting || queued
		})
	}
	wg.Wait()
	return unresponsive, waiting
}

// diagnose derives from the failure of an attempt which servers and links the later
// attempts exclude.
func (st *requestState) diagnose(ctx context.Context, err error, w *watchdog) {
	var se *engine.StageError
	var re *layerRangeError
	first := st.route.Stages[0]
	st.reachable = map[string]bool{}
	switch {
	case errors.Is(err, errSlowRoute):
		for _, s := range st.route.Stages {
			st.reachable[s.Name] = true
		}
		countReroutes.Inc()
		countRecovery("slow")
	case w.timedOut && len(w.unresponsive) > 0:
		for n := range w.unresponsive {
			st.excludeFailed(n)
		}
		countRecovery("silent")
	case w.timedOut:
		st.excludeAllLinks()
		countRecovery("link")
	case errors.As(err, &re):
		st.excludeWrongRanges(re)
		countRecovery("ranges")
	case errors.As(err, &se):
		st.diagnoseStageError(ctx, se)
	case fault.CodeOf(err) == fault.Leaving:
		st.excludeLeaving(first.Name)
	case fault.CodeOf(err) == fault.Overload:
		st.exclude(first.Name, false)
		countRecovery("full")
	default:
		st.excludeFailed(first.Name)
		countRecovery("dead")
	}
}

// excludeFailed excludes a server that failed.
func (st *requestState) excludeFailed(name string) {
	st.exclude(name, false)
	notify(st.runner.cfg.Feedback.ServerFailed, name)
}

// excludeLeaving excludes a server that refuses new work because it leaves.
func (st *requestState) excludeLeaving(name string) {
	st.exclude(name, true)
	st.reachable[name] = true
	notify(st.runner.cfg.Feedback.ServerLeaving, name)
	countRecovery("leaving")
}

// diagnoseStageError handles a failure that one stage observed at another. When the
// other stage answers a probe, the link between the two has failed.
func (st *requestState) diagnoseStageError(ctx context.Context, se *engine.StageError) {
	failed, from := st.stageAt(se.Failed), st.stageAt(se.Observer)
	switch {
	case se.Reason == engine.ReasonLeaving:
		st.excludeLeaving(failed.Name)
		return
	case se.Reason == engine.ReasonFull:
		st.exclude(failed.Name, false)
		countRecovery("full")
		return
	case failed.Name != from.Name:
		if unresponsive, _ := st.probe(ctx, []route.Stage{failed}, maxProbe); !unresponsive[failed.Name] {
			st.reachable[failed.Name] = true
			st.excludeLink(from.Name, failed.Name)
			countRecovery("link")
			return
		}
	}
	st.excludeFailed(failed.Name)
	countRecovery("dead")
}

// excludeAllLinks excludes every link of a route that delivers no tokens although
// each stage answers probes. A route of one stage has no links; its stage is
// excluded instead.
func (st *requestState) excludeAllLinks() {
	for i, s := range st.route.Stages {
		st.reachable[s.Name] = true
		if i > 0 {
			st.excludeLink(st.route.Stages[i-1].Name, s.Name)
		}
	}
	if len(st.route.Stages) == 1 {
		st.excludeFailed(st.route.Stages[0].Name)
	}
}

// excludeWrongRanges excludes the stage that repeated or left out layers.
func (st *requestState) excludeWrongRanges(re *layerRangeError) {
	at := 0 // the first layer that was repeated or left out
	for _, r := range re.ranges {
		if r[0] != at {
			at = min(at, r[0])
			break
		}
		at = r[1]
	}
	name := st.route.Stages[len(st.route.Stages)-1].Name
	for _, s := range st.route.Stages {
		if s.First <= at && at < s.Last {
			name = s.Name
		}
	}
	st.exclude(name, true)
	notify(st.runner.cfg.Feedback.ServerFailed, name)
}

// stageAt returns the stage at an address, or the first stage when there is none.
func (st *requestState) stageAt(address string) route.Stage {
	for _, s := range st.route.Stages {
		if s.Address == address {
			return s
		}
	}
	return st.route.Stages[0]
}

// Bounds of moves away from a slow route.
const (
	maxReroutes    = 2   // per request
	rerouteSpeedup = 2.0 // minimum ratio of the measured pace to the estimate for the new route
)

// shouldReroute tells whether to leave a route that has slowed down. It looks for a
// route without the stage or link that takes the most time; when one is fast
// enough, the next attempt excludes that stage or link.
func (st *requestState) shouldReroute(w *watchdog) bool {
	worst, at, hop := 0, 0, false
	total := 0
	for i, t := range st.stageTimes {
		total += t
		if t > worst {
			worst, at, hop = t, i, false
		}
	}
	for i, t := range st.linkTimes {
		total += t
		if t > worst {
			worst, at, hop = t, i, true
		}
	}
	// The last measured frame may be older than the slowdown.
	if st.reroutes >= maxReroutes || float64(total)/1e6 < w.pace.mean/2 {
		return false
	}
	w.pace.lastCheck = w.lastProgress
	trialConstraints := st.constraintsWithout(at, hop)
	rt, err := st.runner.cfg.Choose(st.req, trialConstraints)
	if err != nil || rt.Step.Seconds()*rerouteSpeedup > w.pace.mean {
		return false
	}
	s := st.route.Stages[at]
	if rt.Contains(s.Name) && (!hop || rt.Contains(st.route.Stages[at+1].Name)) {
		return false // no alternative to the slow stage or link
	}
	st.constraints = trialConstraints
	st.reroutes++
	return true
}

// constraintsWithout returns the constraints for a route without a stage of the
// current route, or without the link after that stage.
func (st *requestState) constraintsWithout(at int, hop bool) RouteConstraints {
	a := st.constraints
	a.Version, a.AcceptedTokens = st.route.Version, len(st.acceptor.tokens)
	name := st.route.Stages[at].Name
	if hop {
		a.ExcludedLinks = maps.Clone(a.ExcludedLinks)
		if a.ExcludedLinks == nil {
			a.ExcludedLinks = map[route.Pair]bool{}
		}
		a.ExcludedLinks[route.Pair{name, st.route.Stages[at+1].Name}] = true
		return a
	}
	a.ExcludedServers = maps.Clone(a.ExcludedServers)
	if a.ExcludedServers == nil {
		a.ExcludedServers = map[string]bool{}
	}
	a.ExcludedServers[name] = true
	return a
}
