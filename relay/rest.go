package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/intake"
	"github.com/cranberrybay/cranberrybay/label"
	"github.com/cranberrybay/cranberrybay/server"
)

const (
	// leaverUse is how long servers that said that they leave still get requests if all servers of the
	// service said so. The platform allows requests for two seconds after such an answer, counted from
	// when the caller sent them.
	leaverUse = time.Second
	// maxRestWaiters bounds the requests of a service that wait for servers at rest. Each asks for its place
	// again while the first ones return.
	maxRestWaiters = 200
	// lostPlaceWait is the time after which a request asks again for a place at a server that is back from
	// a pause.
	lostPlaceWait = 10 * time.Millisecond
)

const reasonResting = "the backend servers asked for a pause"

// candidates returns the servers of a service that take work, or those that said only now that they
// leave if there are no others.
func (r *Relay) candidates(service string) []*server.Server {
	if all := r.cfg.Servers.Servers(service); len(all) > 0 {
		return all
	}
	return r.cfg.Servers.Leavers(service, leaverUse)
}

// waitForRest returns the time until a server that asked for a pause takes a request; 0 for others.
func (r *Relay) waitForRest(s *server.Server) time.Duration {
	if r.cfg.Intake.Resting() == 0 {
		return 0
	}
	return r.cfg.Intake.Wait(s.Incarnation())
}

// isTurningAway reports whether a server began to leave or to rest after it was chosen.
func (r *Relay) isTurningAway(s *server.Server) bool {
	return s.Leaving() || r.cfg.Intake.Rests(s.Incarnation())
}

// observeIntake takes what an answer of the first engine of a path says about taking requests. Each engine
// speaks for itself. A pause holds for the engine that refused as well: the platform counts requests at the
// engine that answered, and only the other one knows what it lacks. Both return when it ends, while an
// engine that is wrongly taken to leave would be lost.
func (r *Relay) observeIntake(s *server.Server, ans *Answer, sentAt time.Duration) {
	x := intake.Statement{Said: ans.Intake, Server: s.Incarnation(), ID: s.ID(), Source: "answer"}
	if !ans.Refused {
		x.SentAt = sentAt
	}
	r.cfg.Intake.Observe(x)
	if ans.Intake.RestUntil == 0 || ans.RefusedBy == "" || ans.RefusedBy == s.Address() {
		return
	}
	if other := r.cfg.Servers.ByAddress(ans.RefusedBy); other != nil {
		r.cfg.Intake.Observe(intake.Statement{Said: intake.Said{RestUntil: ans.Intake.RestUntil}, Server: other.Incarnation(), ID: other.ID(), Source: "answer of " + s.ID()})
	}
}

// choice is what one choice of a server found of servers at rest.
type choice struct {
	free    int             // servers that take requests
	resting []restingServer // servers that it passed over
	lost    bool            // another request took the place of this one at a server that is back from a pause
}

// restingServer is a server that takes a request after a time.
type restingServer struct {
	server *server.Server
	wait   time.Duration
}

// passesOver reports whether a choice leaves out a server because it rests, and notes it.
func (r *Relay) passesOver(c *choice, s *server.Server) bool {
	wait := r.waitForRest(s)
	if wait == 0 {
		c.free++
		return false
	}
	c.resting = append(c.resting, restingServer{server: s, wait: wait})
	return true
}

// lose notes that another request took the place of this one at a chosen server.
func (c *choice) lose(s *server.Server) {
	c.lost = true
	c.resting = append(c.resting, restingServer{server: s, wait: lostPlaceWait})
}

// atRest returns the server that is back first if the choice failed because all servers rest.
func (c *choice) atRest() (first restingServer, ok bool) {
	for _, x := range c.resting {
		if first.server == nil || x.wait < first.wait {
			first = x
		}
	}
	return first, first.server != nil && (c.free == 0 || c.lost)
}

// refuseUntil returns the error for a request that is refused because all servers rest. Callers return
// within a quarter of the time after the first pause ends, so that they do not all come at once.
func (r *Relay) refuseUntil(req *Request, first restingServer, resting int) error {
	if r.isStopping() {
		return r.refuseStopping(req, leavingRetryAfter, nil) // the pause is that of this process
	}
	r.cfg.Count("resting")
	r.cfg.Log.Info().Str("id", label.Short(req.ID)).Str("service", req.Service.Name).Int("resting", resting).Str("first", first.server.ID()).Dur("left", first.wait).Msg("backend servers rest")
	at := time.Now().Add(first.wait + rand.N(time.Duration(returnSpread*float64(first.wait))+1))
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Overload, Reason: reasonResting, RetryAt: at})
}

// awaitRest waits after the failed choice c until the first server that rests takes a request, and calls
// forget with it. It returns false if the choice need not be repeated: with an error if the request can't
// be served in time, or without one if not all servers rest.
func (r *Relay) awaitRest(ctx context.Context, req *Request, c *choice, forget func(s *server.Server)) (waited bool, err error) {
	first, ok := c.atRest()
	if !ok {
		return false, nil
	}
	if time.Until(req.Deadline) < first.wait+req.Route.TargetLatency() || !r.addRestWaiter(req.Service.Name, c) {
		return false, r.refuseUntil(req, first, len(c.resting))
	}
	err = r.wait(ctx, req, awaited{at: time.Now().Add(first.wait), over: func() bool { return r.noneRests(req) }, retryIn: leavingRetryAfter})
	r.removeRestWaiter(req.Service.Name)
	switch {
	case isAnswer(err):
		return false, err
	case err != nil:
		return false, notRunError(reasonResting, refusedRetryAfter, err)
	}
	forget(first.server)
	return true, nil
}

// noneRests reports whether a request need not wait for servers at rest: one takes requests now, or all have left.
func (r *Relay) noneRests(req *Request) bool {
	first := slices.DeleteFunc(slices.Clone(r.candidates(req.Service.Name)), func(s *server.Server) bool { return !req.canBeFirst(s) })
	return len(first) == 0 || slices.ContainsFunc(first, func(s *server.Server) bool { return r.waitForRest(s) == 0 })
}

// addRestWaiter counts a request that waits for servers at rest. It returns false if as many wait as the
// servers run at once: the others would wait for these.
func (r *Relay) addRestWaiter(service string, c *choice) bool {
	slots := 0
	for _, x := range c.resting {
		slots += max(x.server.Entry().Slots, 1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.restWaiters[service] >= min(slots, maxRestWaiters) {
		return false
	}
	r.restWaiters[service]++
	return true
}

// removeRestWaiter ends the wait of a request.
func (r *Relay) removeRestWaiter(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restWaiters[service]--
}

// chooseRun returns a new run that may be sent now. It waits for engines that name a rate or rest.
func (st *streamState) chooseRun(ctx context.Context, excluded map[string]bool) (*run, error) {
	r, req := st.relay, st.req
	var c choice
	waited := false // for capacity of the engines
	for {
		rn, ok := st.newRun(ctx, excluded, rateWait(req), &c)
		if !ok {
			rested, err := r.awaitRest(ctx, req, &c, func(s *server.Server) { delete(excluded, s.Address()) })
			if rested {
				if err := r.refuseQuarantined(req, req.mayHaveRun.Load()); err != nil {
					return nil, err
				}
				continue
			}
			r.cfg.Log.Info().Str("id", label.Short(req.ID)).Str("service", req.Service.Name).Int("servers", len(r.cfg.Servers.Servers(req.Service.Name))).
				Int("prompt", req.PromptTokens).Int("attempt", st.attemptCount()+1).Msg("no path")
			return nil, st.noPathError(err)
		}
		until := rn.path.sendAt
		decision, err := st.admit(rn.path, waited)
		if err != nil {
			rn.end()
			return nil, err
		}
		if waited = decision == waitsForCapacity; waited {
			until = time.Now().Add(admissionRecheck)
		}
		slept := time.Until(until) > 0
		if err := r.wait(rn.ctx, req, awaited{at: until, retryIn: leavingRetryAfter}); err != nil {
			rn.end()
			if isAnswer(err) {
				return nil, err
			}
			return nil, st.refusalVerdict(err)
		}
		if !waited && (!slept || !r.isTurningAway(rn.path.first)) {
			return rn, nil
		}
		rn.end()
	}
}

// noPathError returns the error for a stream without a path. atRest is the reason if engines rest.
func (st *streamState) noPathError(atRest error) error {
	if st.req.mayHaveRun.Load() {
		return mayHaveRunError(reasonNoPath, nil)
	}
	if atRest != nil {
		return atRest
	}
	if err := st.relay.refuseOverRate(st.req, noPathRetryAfter); err != nil {
		return err
	}
	if st.req.Service.Competing() {
		at := st.relay.controller(st.req.Service.Name).RetryAt(time.Now(), st.req.rank())
		return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Overload, Reason: reasonNoPath, RetryAt: at})
	}
	return notRunError(reasonNoPath, noPathRetryAfter, nil)
}

// orAtRest returns the error of a request, or for one that did not run the error that names the end of the
// first pause if all servers rest.
func (r *Relay) orAtRest(req *Request, err error) error {
	if fault.VerdictOf(err) != fault.NotRun || !errors.Is(err, errRefused) {
		return err
	}
	var c choice
	for _, s := range r.candidates(req.Service.Name) {
		if req.canBeFirst(s) {
			r.passesOver(&c, s)
		}
	}
	if first, ok := c.atRest(); ok {
		return r.refuseUntil(req, first, len(c.resting))
	}
	return err
}

// canBeFirst reports whether a server may be the first that gets the request. Engines without layers can't.
func (req *Request) canBeFirst(s *server.Server) bool {
	e := req.Service.Engine
	return e == nil || e.Layers == 0 || s.Holds(0, 1)
}
