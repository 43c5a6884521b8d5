package relay

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrybay/cranberrybay/label"
	"github.com/cranberrybay/cranberrybay/poison"
	"github.com/cranberrybay/cranberrybay/server"
)

// trials sends the requests on which servers crashed to one server at a time, for each service. Most
// of them are sound and were on the server by chance; a trial shows which, and the deadly one takes
// only one server with it.
type trials struct {
	mu       sync.Mutex
	services map[string]chan struct{} // holds a value while a trial runs
}

// begin waits by the given function until no trial of a service runs and starts one. The returned function
// ends it, and further calls of it have no effect. It returns the error of the wait.
func (t *trials) begin(service string, wait func(place chan<- struct{}) error) (end func(), err error) {
	t.mu.Lock()
	if t.services == nil {
		t.services = map[string]chan struct{}{}
	}
	running := t.services[service]
	if running == nil {
		running = make(chan struct{}, 1)
		t.services[service] = running
	}
	t.mu.Unlock()
	if err := wait(running); err != nil {
		return func() {}, err
	}
	release := sync.OnceFunc(func() { <-running })
	timer := time.AfterFunc(poison.MaxTrial, release)
	return func() { timer.Stop(); release() }, nil
}

// maxTrialWait bounds how long a suspect waits for the trials of others. Callers leave a stream after
// two seconds without an event. One on which a single server crashed is then sent beside them.
const maxTrialWait = time.Second

// tryAlone delays the next attempt of a request on which a server crashed until no other such request
// is on trial and the evidence of all processes is known, and returns the error of a request that
// is refused. The returned function ends its trial: a server answered, or the attempt failed. running means
// that another attempt is with a server.
func (r *Relay) tryAlone(ctx context.Context, req *Request, running bool) (end func(), err error) {
	end = func() {}
	req.alone.Store(false)
	if r.isSuspect(req) {
		wait, cancel := context.WithTimeout(ctx, maxTrialWait)
		defer cancel()
		end, err = r.trials.begin(req.Service.Name, func(place chan<- struct{}) error {
			return r.wait(wait, req, awaited{place: place, retryIn: noServerRetryAfter})
		})
		ordered := err == nil
		if ordered {
			err = r.awaitTrial(wait, req)
		}
		if isAnswer(err) {
			end()
			return end, err
		}
		if err != nil && ctx.Err() == nil && r.cfg.Poison.Crashes(req.identity()) <= 1 && r.cfg.Poison.TrialIn(req.identity(), ordered) <= 0 {
			err = nil // sound requests must not be lost to the queue after the crash of a server
		}
		if err != nil {
			end()
			r.cfg.Log.Info().Str("id", label.Short(req.ID)).Str("part", req.identity().ID).Msg("no trial for a request on which a server crashed")
			if ctx.Err() == nil {
				err = errTrials // not a deadline of the request
			}
			return end, r.failure(req, reasonTrials, noServerRetryAfter, err)
		}
	}
	if err := r.maySend(req, running); err != nil {
		end()
		return end, err
	}
	if err := r.refuseQuarantined(req, req.mayHaveRun.Load()); err != nil {
		end()
		return end, err
	}
	return end, nil
}

// awaitTrial waits until a suspected request may be tried. A quarantine ends the wait as well.
func (r *Relay) awaitTrial(ctx context.Context, req *Request) error {
	wait := r.cfg.Poison.TrialIn(req.identity(), true)
	for {
		if err := r.wait(ctx, req, awaited{at: time.Now().Add(wait), retryIn: noServerRetryAfter}); err != nil {
			return err
		}
		if _, _, ok := r.cfg.Poison.Blocked(r.suspectParts(req)); ok {
			return nil
		}
		if wait = r.cfg.Poison.TryAlone(req.identity(), true); wait <= 0 {
			req.alone.Store(true)
			return nil
		}
	}
}

const reasonTrials = "requests on which backend servers crashed are tried one at a time"

var errTrials = errors.New("other requests are on trial")

// failure returns the error for a request that is given up: not run, unless an attempt may have run.
func (r *Relay) failure(req *Request, reason string, retryIn time.Duration, cause error) error {
	if req.mayHaveRun.Load() {
		return mayHaveRunError(reason, cause)
	}
	return notRunError(reason, retryIn, cause)
}

// isSuspect reports whether a server crashed on a request and none answered it since.
func (r *Relay) isSuspect(req *Request) bool {
	return r.cfg.Poison.TracksRequests() && r.cfg.Poison.Crashes(req.identity()) > 0
}

// cutSpread is the time within which a process learns of all runs that a crash has cut, which share a
// query.
const cutSpread = 5 * time.Millisecond

// confirmCrash finds out whether a server that cut a request has ended, before the request is sent
// to another one. A report from before the cut does not tell, and neither does a server that accepts
// connections, which it may for some time after its crash.
func (r *Relay) confirmCrash(ctx context.Context, req *Request, s *server.Server) {
	refused, skipped, alive := false, true, false
	if req.Service.Engine != nil {
		rd := r.reports.startedSince(s.Address(), time.Now().Add(-cutSpread))
		select {
		case <-rd.done:
			refused, skipped, alive = rd.refused, rd.skipped, !rd.skipped && rd.err == nil
		case <-ctx.Done():
			return
		}
	}
	if skipped && r.cfg.Probe != nil {
		refused = r.refuses(ctx, s)
	}
	switch {
	case refused:
		r.cfg.Poison.RecordCrash(s.Incarnation())
	case !alive:
		r.cfg.Poison.RecordUnconfirmed(s.Incarnation())
		r.confirmLater(s)
	}
}

const (
	// firstConfirmPause is the time after which a server that may have crashed is probed again; each
	// further one is twice as long. A server that ends closes its connections and then its port.
	firstConfirmPause = 30 * time.Millisecond
	// maxConfirmPause is the last of these pauses. Later the registry tells.
	maxConfirmPause = time.Second
)

// confirmLater probes a server that cut requests and accepts connections until it refuses them, in the
// background. Calls while it does have no effect.
func (r *Relay) confirmLater(s *server.Server) {
	if r.cfg.Probe == nil {
		return
	}
	if _, running := r.confirming.LoadOrStore(s.Incarnation(), true); running {
		return
	}
	go r.safelyFor("server", s.ID(), func() {
		defer r.confirming.Delete(s.Incarnation())
		for pause := firstConfirmPause; pause <= maxConfirmPause; pause *= 2 {
			time.Sleep(pause)
			if r.endIsPlanned(s) {
				return
			}
			if r.refuses(context.Background(), s) {
				r.cfg.Poison.RecordCrash(s.Incarnation())
				return
			}
		}
	})
}

// refuses reports whether a server refuses connections.
func (r *Relay) refuses(ctx context.Context, s *server.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return errors.Is(r.cfg.Probe(ctx, s.Address()), syscall.ECONNREFUSED)
}
