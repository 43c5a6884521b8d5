package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cranberrybay/cranberrybay/label"
)

const (
	// handoverTimeout bounds the wait for the response header of the run that is to take over a
	// stream while the old run continues.
	handoverTimeout = time.Second
	// plannedMoveReserve is the share of the retry budget's burst that planned moves of streams
	// leave for streams that lost an engine.
	plannedMoveReserve = 0.4
)

// handover is a new run of a stream whose engine is leaving or does not answer. The old run continues
// until the new one is accepted: otherwise a refusal, for example by another leaving engine, would
// cut a healthy stream, and so would the lack of a path or of a retry.
type handover struct {
	done chan struct{}
	run  *run         // nil if there is no run or it was not accepted; valid once done is closed
	err  error        // reason if run is nil
	wait atomic.Int32 // state of the wait for the response header
}

// States of the wait for the response header of a handover.
const (
	waitBounded   int32 = iota // by handoverTimeout
	waitUnbounded              // the old run has ended, and no attempt is left
	waitOver                   // the header arrived, or the wait took too long
)

// pending reports whether the new run is still waiting for its response header, or was accepted
// and is about to take over.
func (h *handover) pending() bool {
	if h == nil {
		return false
	}
	select {
	case <-h.done:
		return h.run != nil
	default:
		return true
	}
}

// abandon waits for the handover to be answered and ends its run.
func (h *handover) abandon() {
	<-h.done
	if h.run != nil {
		h.run.end()
	}
}

// hasSuccessor reports whether a handover is in progress or was accepted.
func (st *streamState) hasSuccessor() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.successor.pending()
}

// takeSuccessor removes the handover and returns it, or nil if there is none.
func (st *streamState) takeSuccessor() *handover {
	st.mu.Lock()
	defer st.mu.Unlock()
	h := st.successor
	st.successor = nil
	return h
}

// awaitSuccessor waits for a handover in progress and returns its run. It returns nil if there is
// no handover or the run was not accepted. If no attempt is left, the wait ends with the request only.
func (st *streamState) awaitSuccessor() *run {
	h := st.takeSuccessor()
	if h == nil {
		return nil
	}
	if !st.attemptsLeft() {
		h.wait.CompareAndSwap(waitBounded, waitUnbounded)
	}
	<-h.done
	if h.run == nil {
		st.uncountRefusal(h.err)
	}
	return h.run
}

// addSuccessor adds a handover and returns it, or nil if another one is in progress.
func (st *streamState) addSuccessor() *handover {
	h := &handover{done: make(chan struct{})}
	st.mu.Lock()
	old := st.successor
	if old.pending() {
		st.mu.Unlock()
		return nil
	}
	st.successor = h
	st.mu.Unlock()
	if old != nil {
		st.uncountRefusal(old.err)
	}
	return h
}

// move is the reason of a handover.
type move int

const (
	plannedMove move = iota // an engine leaves
	stalledMove             // an engine does not answer
)

// Reasons why no other run can take over.
var (
	errNotRepeatable = errors.New("the request can't be repeated")
	errNoAttemptLeft = errors.New("no attempt left")
	errNoRetryLeft   = errors.New("no retry left")
	errNoPath        = errors.New(reasonNoPath)
	errSuspect       = errors.New("a request on which a server crashed has one server at a time")
)

// startHandover starts a new run on a path without the excluded engines. The current run is
// cancelled when the new one is accepted. It returns nil if a handover is in progress, else the
// reason why there is none.
func (m *stallMonitor) startHandover(excluded map[string]bool, why move) error {
	if !m.req.Route.Repeatable() {
		return errNotRepeatable
	}
	h := m.stream.addSuccessor()
	if h == nil {
		return nil
	}
	rn, err := m.newSuccessor(excluded, why)
	if err != nil {
		h.err = err
		close(h.done)
		return err
	}
	m.relay.cfg.Count("handover")
	go m.startRun(h, rn, why, m.stream.addAttempt(1))
	return nil
}

// newSuccessor returns a run that may take over, for which it takes a retry from the budget.
func (m *stallMonitor) newSuccessor(excluded map[string]bool, why move) (*run, error) {
	budget, reserve := m.relay.cfg.Budget(m.req.Service.Name), 0.0
	if why == plannedMove {
		reserve = plannedMoveReserve
	}
	switch {
	case !m.stream.attemptsLeft():
		return nil, errNoAttemptLeft
	case budget.Available() < 1:
		return nil, errNoRetryLeft
	case m.relay.isSuspect(m.req):
		return nil, errSuspect
	}
	if err := m.relay.refuseQuarantined(m.req, true); err != nil {
		return nil, err
	}
	rn, ok := m.stream.newRun(m.parent, excluded, 0, &choice{})
	if !ok {
		return nil, errNoPath
	}
	if !budget.TryRetryReserving(reserve) {
		rn.end()
		return nil, errNoRetryLeft
	}
	return rn, nil
}

// startRun sends the new run of a handover and records whether it was accepted.
func (m *stallMonitor) startRun(h *handover, rn *run, why move, attempt int) {
	timer := time.AfterFunc(handoverTimeout, func() {
		if h.wait.CompareAndSwap(waitBounded, waitOver) {
			rn.cancel()
		}
	})
	var ans *Answer
	err := mayHaveRunError(reasonInternal, nil)
	if !m.relay.safely(m.req.ID, func() { ans, err = m.stream.send(rn) }) {
		m.req.mayHaveRun.Store(true)
	}
	timer.Stop()
	switch {
	case err != nil && rn.ctx.Err() == nil:
		m.relay.recordCut(rn.ctx, m.req, rn.path.first, err)
	case err != nil:
	case h.wait.Swap(waitOver) == waitOver:
		err = context.DeadlineExceeded
	default:
		err = m.stream.checkContinuation(ans)
	}
	msg := "first engine leaves; stream handed over"
	if why == stalledMove {
		msg = "engine does not answer; stream handed over"
	}
	m.relay.cfg.Log.Info().Err(err).Str("id", label.Short(m.req.ID)).Str("last", rn.resumeAfter).Int("attempt", attempt).Str("first", rn.path.first.ID()).Msg(msg)
	if err != nil {
		rn.end()
		h.err = err
		close(h.done)
		return
	}
	h.run = rn
	close(h.done)
	m.cancel()
}
