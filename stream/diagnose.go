package stream

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/guard"
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

// probeResult holds the names of the stages that did not answer a probe as expected.
type probeResult struct {
	gone    map[string]bool   // it is certain that the run of the server has ended
	silent  map[string]bool   // the others that did not answer
	boots   map[string]string // incarnations of those that answered
	waiting bool              // requests wait at one of those that answered
}

// answered tells whether a stage answered the probe.
func (p *probeResult) answered(name string) bool { return !p.gone[name] && !p.silent[name] }

// probe asks stages for a load report.
func (st *requestState) probe(ctx context.Context, stages []route.Stage, timeout time.Duration) probeResult {
	ctx, cancel := context.WithTimeout(ctx, clamp(timeout, minProbe, maxProbe))
	defer cancel()
	p := probeResult{gone: map[string]bool{}, silent: map[string]bool{}, boots: map[string]string{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, s := range stages {
		wg.Go(func() {
			load, err := st.runner.cfg.Probe(ctx, s)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case engine.IsGone(err):
				p.gone[s.Name] = true
			case err != nil:
				p.silent[s.Name] = true
			default:
				p.boots[s.Name] = load.Boot
				p.waiting = p.waiting || load.Waiting > 0
			}
		})
	}
	wg.Wait()
	return p
}

// diagnose derives from the failure of a run which servers and links the later
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
	case w.overdue:
	case w.outrun:
		st.credit++ // the retry of the successor
	case len(w.gone) > 0:
		for _, s := range st.route.Stages {
			if w.gone[s.Name] {
				st.excludeFailed(s.Name)
				st.recordCut(s, func() (engine.LoadReport, error) { return engine.LoadReport{}, engine.ErrGone })
			}
		}
		countRecovery("dead")
	case errors.As(err, &re):
		st.excludeWrongRanges(re)
		countRecovery("ranges")
	case errors.As(err, &se):
		st.diagnoseStageError(ctx, se, w.fenced)
	case fault.CodeOf(err) == fault.Leaving:
		st.excludeLeaving(first.Name)
	case fault.CodeOf(err) == fault.Overload:
		st.exclude(first.Name, false)
		countRecovery("full")
	default:
		if engine.IsUnconnected(err) {
			st.credit++ // no engine has received the request
		}
		st.excludeFailed(first.Name)
		if fault.VerdictOf(err) == fault.MayHaveRun && (engine.IsGone(err) || errors.Is(err, errNoStopReason)) {
			st.recordCut(first, func() (engine.LoadReport, error) { return st.readReport(ctx, first) })
		}
		countRecovery("dead")
	}
}

// recordCut records that a stage failed, unless the request had been answered before. probe tells whether its server
// has crashed.
func (st *requestState) recordCut(s route.Stage, probe func() (engine.LoadReport, error)) {
	if len(st.acceptor.tokens) >= answeredTokens {
		return
	}
	server := guard.Server(s.Name, s.Boot)
	st.suspicion.RecordCut(server)
	load, err := probe()
	st.suspicion.RecordProbe(server, s.Boot, load, err)
}

// readReport reads the load report of the server of a stage.
func (st *requestState) readReport(ctx context.Context, s route.Stage) (engine.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, maxProbe)
	defer cancel()
	return st.runner.cfg.Probe(ctx, s)
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
// other stage answers a probe, the link between the two has failed, or a successor
// that failed itself has fenced the run.
func (st *requestState) diagnoseStageError(ctx context.Context, se *engine.StageError, fenced bool) {
	failed, from := stageAt(st.route, se.Failed), stageAt(st.route, se.Observer)
	switch {
	case se.Reason == engine.ReasonLeaving:
		st.excludeLeaving(failed.Name)
		return
	case se.Reason == engine.ReasonFull:
		st.exclude(failed.Name, false)
		countRecovery("full")
		return
	case fenced || failed.Name != from.Name:
		if p := st.probe(ctx, []route.Stage{failed}, maxProbe); p.answered(failed.Name) {
			st.reachable[failed.Name] = true
			if fenced {
				st.credit++ // the retry of the successor
				return
			}
			st.constraints.excludeLink(from.Name, failed.Name)
			countRecovery("link")
			return
		}
	}
	st.excludeFailed(failed.Name)
	if se.Reason == "" {
		st.recordCut(failed, func() (engine.LoadReport, error) { return st.readReport(ctx, failed) })
	}
	countRecovery("dead")
}

// excludeWrongRanges excludes the stage that repeated or left out layers.
func (st *requestState) excludeWrongRanges(re *layerRangeError) {
	name := re.wrongStage(st.route).Name
	st.exclude(name, true)
	notify(st.runner.cfg.Feedback.ServerFailed, name)
}

// wrongStage returns the stage of a route that repeated or left out layers.
func (e *layerRangeError) wrongStage(rt route.Route) route.Stage {
	at := 0 // the first layer that was repeated or left out
	for _, r := range e.ranges {
		if r[0] != at {
			at = min(at, r[0])
			break
		}
		at = r[1]
	}
	for _, s := range rt.Stages {
		if s.First <= at && at < s.Last {
			return s
		}
	}
	return rt.Stages[len(rt.Stages)-1]
}

// stageAt returns the stage at an address, or the first stage when there is none.
func stageAt(rt route.Route, address string) route.Stage {
	for _, s := range rt.Stages {
		if s.Address == address {
			return s
		}
	}
	return rt.Stages[0]
}

// Bounds of moves away from a slow route.
const (
	maxReroutes    = 2   // per request
	rerouteSpeedup = 2.0 // minimum ratio of the measured pace to the estimate for the new route
)

// shouldReroute tells whether to leave a route that has slowed down. It looks for a
// route without the stage or link that takes the most time; when one is fast
// enough and a retry is left, the next attempt excludes that stage or link. If that
// attempt fails, the way back takes no further retry.
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
	if w.run.number+1 >= maxAttempts || !st.runner.takeRetry() {
		return false
	}
	st.constraints = trialConstraints
	st.credit += 2
	st.reroutes++
	return true
}

// constraintsWithout returns the constraints for a route without a stage of the
// current route, or without the link after that stage.
func (st *requestState) constraintsWithout(at int, hop bool) RouteConstraints {
	a := st.constraints.clone()
	a.Version, a.AcceptedTokens = st.route.Version, len(st.acceptor.tokens)
	name := st.route.Stages[at].Name
	if hop {
		a.excludeLink(name, st.route.Stages[at+1].Name)
	} else {
		a.exclude(name)
	}
	return a
}
