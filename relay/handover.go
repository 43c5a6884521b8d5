package relay

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// handoverTimeout bounds the wait for the header of a run that is to take over
	// a stream. The run before it goes on meanwhile.
	handoverTimeout = time.Second
	// plannedShare is the part of the repeats that planned moves of streams leave
	// to streams that lost an engine.
	plannedShare = 0.4
)

// handover is a new run of a stream whose first engine leaves. The old run goes on
// until the new one is accepted: a new run that another leaving engine refuses
// would otherwise cut a sound stream.
type handover struct {
	done chan struct{}
	run  *run  // nil when it was not accepted; valid when done is closed
	err  error // why not
}

// pending tells whether the new run has not been answered yet, or is about to take
// over.
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

// drop gives a handover up.
func (h *handover) drop() {
	<-h.done
	if h.run != nil {
		h.run.end()
	}
}

// takeOver waits for a run that was begun to go on with the stream, and returns it,
// or nil when there is none or it was not accepted.
func (j *journey) takeOver() *run {
	h := j.successor
	if h == nil {
		return nil
	}
	j.successor = nil
	<-h.done
	if h.run == nil {
		j.refused(h.err)
	}
	return h.run
}

// handOver begins a new run without some engines, and gives the present one up
// when the new one is accepted. It is called by the copying goroutine.
func (w *stallWatch) handOver(without map[string]bool) {
	j := w.journey
	if j.successor.pending() {
		return
	}
	j.takeOver() // counts one that was refused
	if !w.rq.Route.Repeatable() || !j.more() {
		return
	}
	x, ok := j.plan(w.parent, without)
	if !ok {
		return
	}
	if !w.relay.cfg.Budget(w.rq.Service.Name).TryRetryReserving(plannedShare) {
		x.end()
		return
	}
	j.sent++
	w.relay.cfg.Count("handover")
	j.successor = &handover{done: make(chan struct{})}
	go w.begin(j.successor, x, j.sent)
}

// begin sends the new run of a handover.
func (w *stallWatch) begin(h *handover, x *run, attempt int) {
	timer := time.AfterFunc(handoverTimeout, x.cancel)
	ans, err := w.journey.send(x)
	switch {
	case err != nil:
	case !timer.Stop():
		err = context.DeadlineExceeded
	case ans.Status != http.StatusOK:
		err = fmt.Errorf("status %d", ans.Status)
	}
	w.relay.cfg.Log.Info().Err(err).Str("id", w.rq.ID).Str("last", x.last).Int("attempt", attempt).Str("first", x.track.first.ID()).
		Msg("first engine leaves; stream handed over")
	if err != nil {
		x.end()
		h.err = err
		close(h.done)
		return
	}
	h.run = x
	close(h.done)
	w.cancel()
}
