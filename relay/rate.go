package relay

import (
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/label"
	"github.com/cranberrybay/cranberrybay/pacer"
	"github.com/cranberrybay/cranberrybay/server"
)

const (
	// rateWaitShare is the share of the route's target time that a request may wait for a server
	// whose rate is used up. The rest is for the answer.
	rateWaitShare = 0.5
	// rateWaitTimeShare is the share of the time left that it may wait.
	rateWaitTimeShare = 0.25
	// maxRateRetryAfter bounds the time to come back that callers get when the rates of all servers
	// are used up. Another process may have a request left sooner.
	maxRateRetryAfter = 4 * time.Second
	// maxChoices bounds how often a server is chosen again because other requests took what its rate
	// allowed meanwhile.
	maxChoices = 3
)

const reasonRateUsedUp = "the backend servers take no more requests now"

// rateWait returns how long a request may wait for a server whose rate is used up.
func rateWait(req *Request) time.Duration {
	return min(time.Duration(rateWaitShare*float64(req.Route.TargetLatency())), time.Duration(rateWaitTimeShare*float64(time.Until(req.Deadline))))
}

// reserve takes one request from this process's share of a server's rate, and returns when it may be
// sent. It returns false if that is later than limit from now, or if the server rests. Servers without a
// rate have no bound.
func (r *Relay) reserve(c *choice, s *server.Server, limit time.Duration) (sendAt time.Time, ok bool) {
	if !r.cfg.Intake.Reserve(s.Incarnation()) {
		c.lose(s)
		return time.Time{}, false
	}
	wait, ok := r.cfg.Pacer.Reserve(s.Incarnation(), limit)
	return time.Now().Add(wait), ok
}

// waitForRate returns how long a request to a server would have to wait because of the rate that it
// names. Without any limit it does not hash the incarnations, which every choice of a path would do
// for all servers.
func (r *Relay) waitForRate(s *server.Server) time.Duration {
	if r.cfg.Pacer.Limited() == 0 {
		return 0
	}
	return r.cfg.Pacer.Wait(s.Incarnation())
}

// refuseOverRate returns the error for a request that no server can take, if one could but for the
// rate that it names, or nil. The time to come back is that of this process's next request. If it has
// no share of any rate, that is shortDelay: another process has one.
func (r *Relay) refuseOverRate(req *Request, shortDelay time.Duration) error {
	limited, wait := 0, pacer.Never
	for _, s := range r.candidates(req.Service.Name) {
		if w := r.waitForRate(s); w > 0 && req.canBeFirst(s) {
			limited, wait = limited+1, min(wait, w)
		}
	}
	if limited == 0 {
		return nil
	}
	if r.isStopping() {
		return r.refuseStopping(req, leavingRetryAfter, nil) // the share is that of this process
	}
	delay := min(max(wait, shortDelay), maxRateRetryAfter)
	if wait == pacer.Never {
		delay = shortDelay
	}
	r.cfg.Count("over rate")
	r.cfg.Log.Info().Str("id", label.Short(req.ID)).Str("service", req.Service.Name).Int("limited", limited).Bool("share", wait != pacer.Never).Dur("delay", delay).
		Msg("rates of the backend servers are used up")
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Overload, Reason: reasonRateUsedUp, RetryAt: jitteredRetryTime(delay)})
}
