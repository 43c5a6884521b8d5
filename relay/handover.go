package relay

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// handoverTimeout bounds the wait for the response header of the run that is to take over a
	// stream. The old run continues meanwhile.
	handoverTimeout = time.Second
	// plannedMoveReserve is the share of the retry budget's burst that planned moves of streams
	// leave for streams that lost an engine.
	plannedMoveReserve = 0.4
)

// handover is a new run of a stream whose first engine is leaving. The old run continues until
// the new one is accepted: otherwise a refusal, for example by another leaving engine, would cut
// a healthy stream.
type handover struct {
	done chan struct{}
	run  *run  // nil if the run was not accepted; valid once done is closed
	err  error // reason if run is nil
}

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

// awaitSuccessor waits for a handover in progress and returns its run. It returns nil if there is
// no handover or the run was not accepted.
func (st *streamState) awaitSuccessor() *run {
	h := st.successor
	if h == nil {
		return nil
	}
	st.successor = nil
	<-h.done
	if h.run == nil {
		st.uncountRefusal(h.err)
	}
	return h.run
}

// startHandover starts a new run on a path without the excluded engines. The current run is
// cancelled when the new one is accepted. It is called by the goroutine that runs copyEvents.
func (m *stallMonitor) startHandover(excluded map[string]bool) {
	st := m.stream
	if st.successor.pending() {
		return
	}
	st.awaitSuccessor() // accounts for an earlier handover that was refused
	if !m.req.Route.Repeatable() || !st.attemptsLeft() || m.relay.refuseQuarantined(m.req, true) != nil {
		return
	}
	rn, ok := st.newRun(m.parent, excluded, 0, &choice{})
	if !ok {
		return
	}
	if !m.relay.cfg.Budget(m.req.Service.Name).TryRetryReserving(plannedMoveReserve) {
		rn.end()
		return
	}
	st.attempts++
	m.relay.cfg.Count("handover")
	st.successor = &handover{done: make(chan struct{})}
	go m.startRun(st.successor, rn, st.attempts)
}

// startRun sends the new run of a handover and records whether it was accepted.
func (m *stallMonitor) startRun(h *handover, rn *run, attempt int) {
	timer := time.AfterFunc(handoverTimeout, rn.cancel)
	ans, err := m.stream.send(rn)
	switch {
	case err != nil:
	case !timer.Stop():
		err = context.DeadlineExceeded
	case ans.Status != http.StatusOK:
		err = fmt.Errorf("new run was answered with status %d", ans.Status)
	}
	m.relay.cfg.Log.Info().Err(err).Str("id", m.req.ID).Str("last", rn.resumeAfter).Int("attempt", attempt).Str("first", rn.path.first.ID()).
		Msg("first engine leaves; stream handed over")
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
