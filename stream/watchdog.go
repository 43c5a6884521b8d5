package stream

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/route"
)

// watchdog watches a run for silence. Silence makes it prepare a run on another
// route, which takes over with its first token; until then the silent run goes on.
// The watchdog itself ends a run only on proof that a stage is gone, and at the
// deadline. Only the goroutine that reads the frames uses pace and lastProgress; mu
// guards the fields below it.
type watchdog struct {
	st           *requestState
	ctx          context.Context // of the request
	run          *run
	alone        bool // repeated alone since servers crashed under the request
	pace         *pace
	lastProgress time.Time

	mu               sync.Mutex
	timer            *time.Timer
	tokenTimeout     time.Duration
	deadline         time.Time         // of the next token
	queueDeadline    time.Time         // of the first token of the run while it waits in the queue of a stage
	leaveQueueAt     time.Time         // a successor is prepared although requests wait at a stage
	tokens           []string          // tokens accepted in all runs
	accepted         int               // tokens accepted in this run
	answeredTimeouts int               // token timeouts in a row after which every stage answered a probe
	stopped          bool              // the run has ended
	abandoned        bool              // the request has ended
	overdue          bool              // the run ended at its deadline
	gone             map[string]bool   // names of the stages that are gone, which ended the run
	boots            map[string]string // incarnations of the stages that answered a probe

	constraints RouteConstraints   // for the routes of successors
	unusable    map[string]bool    // excluded servers that are not readmitted when they answer a probe
	lastNumber  int                // number of the latest attempt
	preparing   chan struct{}      // closed when the preparation of a successor has ended; nil without one
	cancelNext  context.CancelFunc // ends the successor that is being prepared
	next        *run               // successor that has received its first token
	nextAt      int                // position of that token
	outrun      bool               // the run delivered that token itself before it ended
	fenced      bool               // a successor that failed may have fenced this run on stages that they share
}

// maxSilence is the default of the longest time without a token. By then fleet.Table
// has removed a server that is gone for good.
const maxSilence = 10 * time.Second

const (
	// maxQueueWait is how long a run that gets no token is taken for one that waits for a
	// slot, while requests wait at one of its stages. The run may be stuck at a cut link, and
	// hold the slot for which the others wait.
	maxQueueWait = maxTokenTimeout
	// maxQueueTime bounds the wait for a slot when there is no other route.
	maxQueueTime = time.Minute
)

// newWatchdog starts a watchdog for a run. Its first token timeout includes an
// estimate of the prefill.
func newWatchdog(ctx context.Context, st *requestState, r *run) *watchdog {
	w := &watchdog{st: st, ctx: ctx, run: r, pace: newPace(r.route.Step), lastProgress: time.Now(), lastNumber: r.number, tokens: st.acceptor.tokens, boots: map[string]string{}, unusable: map[string]bool{}, alone: st.suspicion.Alone()}
	w.constraints = st.constraints.clone()
	w.tokenTimeout = st.firstTimeout(r.route, len(w.tokens))
	w.deadline, w.queueDeadline = w.lastProgress.Add(w.tokenTimeout+st.runner.maxSilence), w.lastProgress.Add(maxQueueTime)
	w.leaveQueueAt = w.lastProgress.Add(maxQueueWait)
	if len(w.tokens) == 0 && !st.req.FirstTokenDeadline.IsZero() {
		w.deadline = st.req.FirstTokenDeadline
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.nextCheck(), w.onTokenTimeout)
	return w
}

// firstTimeout returns how long the first token of a run may take before its stages
// are probed.
func (st *requestState) firstTimeout(rt route.Route, accepted int) time.Duration {
	prefill := time.Duration(len(st.req.Prompt)/4+accepted) * defaultPrefillPerToken
	return clamp(newPace(rt.Step).tokenTimeout()+prefill, initialTokenTimeout, 2*maxTokenTimeout)
}

// nextCheck returns the time until onTokenTimeout runs next: the token timeout, or
// the time until the deadline if that is shorter. The caller holds w.mu.
func (w *watchdog) nextCheck() time.Duration {
	return max(0, min(w.tokenTimeout, time.Until(w.deadline)))
}

// progress records n accepted tokens and returns whether they are the first of the
// run. A successor that is being prepared lacks these tokens and is dropped.
func (w *watchdog) progress(n int) bool {
	now := time.Now()
	interval := now.Sub(w.lastProgress)
	w.lastProgress = now
	w.mu.Lock()
	defer w.mu.Unlock()
	first := w.accepted == 0
	if !first {
		w.pace.addInterval(interval)
	}
	w.accepted += n
	w.tokens = w.st.acceptor.tokens
	w.answeredTimeouts = 0
	w.tokenTimeout = w.pace.tokenTimeout()
	w.deadline = now.Add(w.st.runner.maxSilence)
	if w.cancelNext != nil {
		w.cancelNext()
	}
	if !w.stopped {
		w.timer.Reset(w.tokenTimeout)
	}
	return first
}

// stop ends the watch, but not the preparation of a successor.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// abandon ends the preparation of a successor, since the request has ended.
func (w *watchdog) abandon() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abandoned = true
	if w.cancelNext != nil {
		w.cancelNext()
	}
	if w.next != nil {
		w.st.drop(w.next, w.run.route)
	}
}

// awaitSuccessor returns the run that takes over from the ended one, or nil if there
// is none. It waits for one that is being prepared.
func (w *watchdog) awaitSuccessor() *run {
	w.mu.Lock()
	preparing := w.preparing
	w.mu.Unlock()
	if preparing != nil {
		<-preparing
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next != nil && len(w.tokens) != w.nextAt {
		// The next token may differ from the one that the successor continues.
		w.st.drop(w.next, w.run.route)
		w.next, w.outrun = nil, true
	}
	return w.next
}

// maxAnsweredTimeouts is the number of token timeouts in a row after which a request
// moves although all stages answer probes: a link between two of them may be cut.
const maxAnsweredTimeouts = 2

// onTokenTimeout runs when no token has arrived within the token timeout. It probes
// the stages. The run ends when one of them is gone or at the deadline, and a
// successor is prepared when one is silent or maxAnsweredTimeouts is reached. A
// request that waits in the queue of a stage does not count as silent.
func (w *watchdog) onTokenTimeout() {
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return
	}
	accepted, stages, tokenTimeout := w.accepted, w.run.route.Stages, w.tokenTimeout
	overdue := !time.Now().Before(w.deadline)
	w.mu.Unlock()
	countTokenTimeouts.Inc()
	p := w.st.probe(w.run.ctx, stages, tokenTimeout)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.accepted != accepted || w.run.ctx.Err() != nil {
		return
	}
	w.findReplaced(&p)
	if len(p.silent) > 0 {
		w.avoid(w.run.route, p.silent)
	}
	if overdue || len(p.gone) > 0 {
		w.overdue, w.gone = overdue, p.gone
		w.run.cancel()
		if overdue && w.cancelNext != nil {
			w.cancelNext()
		}
		return
	}
	w.timer.Reset(w.nextCheck())
	if accepted == 0 && p.waiting && len(p.silent) == 0 {
		if len(w.tokens) > 0 || w.st.req.FirstTokenDeadline.IsZero() {
			w.deadline = time.Now().Add(w.st.runner.maxSilence)
			if w.queueDeadline.Before(w.deadline) {
				w.deadline = w.queueDeadline
			}
		}
		if time.Now().Before(w.leaveQueueAt) {
			return
		}
	}
	w.answeredTimeouts++
	if len(p.silent) == 0 {
		if w.answeredTimeouts < maxAnsweredTimeouts {
			return
		}
		w.avoid(w.run.route, nil)
	}
	if w.preparing == nil {
		w.prepareSuccessor()
	}
}

// findReplaced adds the stages to p.gone that answered as another incarnation than
// earlier in this run. The caller holds w.mu.
func (w *watchdog) findReplaced(p *probeResult) {
	for name, boot := range p.boots {
		if old := w.boots[name]; old != "" && boot != "" && boot != old {
			p.gone[name] = true
		}
	}
	maps.Copy(w.boots, p.boots)
}

// avoid makes the successors of the run avoid the silent stages of a route, or if
// there are none its links. The caller holds w.mu.
func (w *watchdog) avoid(rt route.Route, silent map[string]bool) {
	for i, s := range rt.Stages {
		switch {
		case silent[s.Name] || len(rt.Stages) == 1:
			w.constraints.exclude(s.Name)
			notify(w.st.runner.cfg.Feedback.ServerFailed, s.Name)
		case len(silent) == 0 && i > 0:
			w.constraints.excludeLink(rt.Stages[i-1].Name, s.Name)
		}
	}
	w.constraints.prefer(w.run.route)
}
