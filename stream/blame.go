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

// Bounds of a sign of life: a load report takes a few ms, and the pauses of a
// busy process reach about 100 ms. A route that was silent for less than the
// upper bound waits as long again, so that a stalled
// stage is replaced sooner.
const (
	minProbe = minSilence
	maxProbe = 250 * time.Millisecond
)

// probe asks stages for a sign of life. It returns the names of those that
// gave none, and whether one of the others has requests waiting.
func (u *run) probe(ctx context.Context, stages []route.Stage, timeout time.Duration) (silent map[string]bool, waiting bool) {
	ctx, cancel := context.WithTimeout(ctx, clamp(timeout, minProbe, maxProbe))
	defer cancel()
	silent = map[string]bool{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, s := range stages {
		wg.Go(func() {
			queue, err := u.r.cfg.Probe(ctx, s.Address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent[s.Name] = true
			}
			waiting = waiting || queue
		})
	}
	wg.Wait()
	return silent, waiting
}

// blame decides from the end of an attempt what later attempts avoid.
func (u *run) blame(ctx context.Context, err error, w *watchdog) {
	var se *engine.StageError
	var re *rangeError
	first := u.rt.Stages[0]
	u.alive = map[string]bool{}
	switch {
	case errors.Is(err, errSlow):
		for _, s := range u.rt.Stages {
			u.alive[s.Name] = true
		}
		countMoves.Inc()
		recovered("slow")
	case w.fired && len(w.silent) > 0:
		for n := range w.silent {
			u.lost(n)
		}
		recovered("silent")
	case w.fired:
		u.suspectLinks()
		recovered("link")
	case errors.As(err, &re):
		u.wrongRanges(re)
		recovered("ranges")
	case errors.As(err, &se):
		u.blameStage(ctx, se)
	case fault.CodeOf(err) == fault.Leaving:
		u.refused(first.Name)
	case fault.CodeOf(err) == fault.Overload:
		u.shun(first.Name, false)
		recovered("full")
	default:
		u.lost(first.Name)
		recovered("dead")
	}
}

// lost avoids a server that failed.
func (u *run) lost(name string) {
	u.shun(name, false)
	call(u.r.cfg.Feedback.Failed, name)
}

// refused avoids a server that takes no new work.
func (u *run) refused(name string) {
	u.shun(name, true)
	u.alive[name] = true
	call(u.r.cfg.Feedback.Refused, name)
	recovered("leaving")
}

// blameStage judges the failure that one stage observed at another. When the
// other one answers a probe, the link between them is to blame.
func (u *run) blameStage(ctx context.Context, se *engine.StageError) {
	failed, from := u.named(se.Failed), u.named(se.From)
	switch {
	case se.Reason == engine.ReasonLeaving:
		u.refused(failed.Name)
		return
	case se.Reason == engine.ReasonFull:
		u.shun(failed.Name, false)
		recovered("full")
		return
	case failed.Name != from.Name:
		if silent, _ := u.probe(ctx, []route.Stage{failed}, maxProbe); !silent[failed.Name] {
			u.alive[failed.Name] = true
			u.suspect(from.Name, failed.Name)
			recovered("link")
			return
		}
	}
	u.lost(failed.Name)
	recovered("dead")
}

// suspectLinks avoids every pair of neighbours of a route that fell silent
// although each stage answers.
func (u *run) suspectLinks() {
	for i, s := range u.rt.Stages {
		u.alive[s.Name] = true
		if i > 0 {
			u.suspect(u.rt.Stages[i-1].Name, s.Name)
		}
	}
	if len(u.rt.Stages) == 1 {
		u.lost(u.rt.Stages[0].Name)
	}
}

// wrongRanges avoids the stage that repeated or left out layers.
func (u *run) wrongRanges(re *rangeError) {
	at := 0 // the first layer that was repeated or left out
	for _, r := range re.ranges {
		if r[0] != at {
			at = min(at, r[0])
			break
		}
		at = r[1]
	}
	name := u.rt.Stages[len(u.rt.Stages)-1].Name
	for _, s := range u.rt.Stages {
		if s.First <= at && at < s.Last {
			name = s.Name
		}
	}
	u.shun(name, true)
	call(u.r.cfg.Feedback.Failed, name)
}

// named returns the stage at an address, or the first one.
func (u *run) named(address string) route.Stage {
	for _, s := range u.rt.Stages {
		if s.Address == address {
			return s
		}
	}
	return u.rt.Stages[0]
}

// Moves away from a slow route.
const (
	maxMoves  = 2   // for each request
	moveRatio = 2.0 // the new route has to be expected to be so many times faster
)

// move looks for a better route than one that has slowed down, without the
// stage or link that takes most of the time. It tells whether to leave.
func (u *run) move(w *watchdog) bool {
	worst, at, hop := 0, 0, false
	total := 0
	for i, t := range u.took {
		total += t
		if t > worst {
			worst, at, hop = t, i, false
		}
	}
	for i, t := range u.hops {
		total += t
		if t > worst {
			worst, at, hop = t, i, true
		}
	}
	// The last measured frame may be older than the slowdown.
	if u.moves >= maxMoves || float64(total)/1e6 < w.pace.mean/2 {
		return false
	}
	w.pace.checked = w.last
	trial := u.without(at, hop)
	rt, err := u.r.cfg.Choose(u.rq, trial)
	if err != nil || rt.Step.Seconds()*moveRatio > w.pace.mean {
		return false
	}
	s := u.rt.Stages[at]
	if rt.Contains(s.Name) && (!hop || rt.Contains(u.rt.Stages[at+1].Name)) {
		return false // there is no other
	}
	u.avoid = trial
	u.moves++
	return true
}

// without returns what to avoid to leave a stage, or the link after it.
func (u *run) without(at int, hop bool) Avoid {
	a := u.avoid
	a.Version, a.Tokens = u.rt.Version, len(u.accept.tokens)
	name := u.rt.Stages[at].Name
	if hop {
		a.Pairs = maps.Clone(a.Pairs)
		if a.Pairs == nil {
			a.Pairs = map[route.Pair]bool{}
		}
		a.Pairs[route.Pair{name, u.rt.Stages[at+1].Name}] = true
		return a
	}
	a.Servers = maps.Clone(a.Servers)
	if a.Servers == nil {
		a.Servers = map[string]bool{}
	}
	a.Servers[name] = true
	return a
}
