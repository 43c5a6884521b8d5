package relay

import (
	"time"

	"github.com/cranberrybay/cranberrybay/admit"
	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/label"
	"github.com/cranberrybay/cranberrybay/logs"
	"github.com/cranberrybay/cranberrybay/path"
)

const reasonShed = "the engines have no capacity for the request"

// rank returns the number of urgencies of the service that come before that of the request. A stream that the
// caller has a part of is as urgent as the most urgent ones of its account: refusing it would waste what was
// served. It does not pass other accounts, since any caller can state that it has a part.
func (req *Request) rank() int {
	if req.LastEventID != "" {
		return req.Service.AccountRank(req.Account)
	}
	return req.Service.Rank(req.Account, req.Route)
}

// Priority returns the priority for the engines; 0 is the most urgent. Where streams compete it is the rank of the
// request, and otherwise the priority of the client account, or that of the route if the account has none.
func (req *Request) Priority() int {
	switch {
	case req.Service.Competing():
		return req.rank()
	case req.Account != nil && req.Account.HasPriority:
		return req.Account.Priority
	default:
		return req.Route.Priority()
	}
}

// controller returns the admission controller of a service.
func (r *Relay) controller(service string) *admit.Controller {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.admissions[service]
	if c == nil {
		c = admit.New(admit.Config{})
		r.admissions[service] = c
	}
	return c
}

// admissionRecheck is the time after which a stream that waits for capacity is decided on again. Heartbeats tell
// the load of the other processes every 250 ms; this process's own streams end in between.
const admissionRecheck = 40 * time.Millisecond

// admission is the decision on a stream.
type admission int

const (
	admitted admission = iota
	waitsForCapacity
	refusedByLoad
)

// admit decides whether a stream may start on a path. Err is the answer to one that is refused. Streams that were
// admitted before are not decided on when they are sent again. The number of attempts does not tell that, because
// some attempts do not count.
func (st *streamState) admit(t *activePath, waited bool) (a admission, err error) {
	r, req := st.relay, st.req
	if !req.Service.Competing() || req.mayHaveRun.Load() || !st.admittedAt.IsZero() {
		return admitted, nil
	}
	now := time.Now()
	d := admit.Demand{
		Rank: req.rank(), Ranks: len(req.Service.Urgencies), Load: t.load, Waited: waited,
		// The rest of the target time is for the first event.
		WaitBy: req.Arrived.Add(req.Route.TargetLatency() / 2),
	}
	if req.Account != nil {
		d.Account = req.Account.Name
	}
	x := r.controller(req.Service.Name).Decide(now, d)
	if r.cfg.ObserveAdmission != nil && !x.Waits {
		r.cfg.ObserveAdmission(req.Service.Name, d, x)
	}
	switch {
	case x.Admitted:
		st.admittedAt = now
		return admitted, nil
	case x.Waits:
		return waitsForCapacity, nil
	}
	r.cfg.Count("shed " + string(x.Bound))
	r.cfg.Log.Info().Str("id", label.Short(req.ID)).Str("service", req.Service.Name).Str("bound", string(x.Bound)).Float64("load", x.Load).Float64("limit", x.Limit).
		Int("rank", d.Rank).Str("account", d.Account).Dur("retry", x.RetryAt.Sub(now)).Msg(logs.RefusalMessage)
	return refusedByLoad, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Overload, Reason: reasonShed, RetryAt: x.RetryAt})
}

// load returns the load of the engines of the service, and of a path with this stream on it. The memory of engines
// that failed recently does not count, as most streams avoid them; they still hold their layers.
func (ps *pathSearch) load(e *config.Engine, hops []Hop) admit.Load {
	engines := make([]admit.Engine, 0, len(ps.engines))
	for _, x := range ps.engines {
		if x.Suspect {
			x.Capacity = 0
		}
		if x.To > x.From {
			engines = append(engines, admit.Engine{From: x.From, To: x.To, Capacity: x.Capacity, Used: x.Used})
		}
	}
	out := admit.Load{Memory: admit.Occupancy(e.Layers, engines)}
	target := ps.req.Route.TargetGap()
	if target <= 0 {
		return out
	}
	reported := *ps
	reported.view = nil // without the random numbers of the choice
	for _, h := range hops {
		if s := ps.chosen[h.Address]; s != nil {
			x := ps.relay.candidate(s, &reported)
			out.Pause += path.PassSeconds(x, h.To-h.From) * float64(max(e.Stride, 1))
		}
	}
	out.Pause /= target.Seconds()
	return out
}
