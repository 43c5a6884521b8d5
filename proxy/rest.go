package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/intake"
)

// PauseError reports that a server refused a call and wants no other one before Until.
type PauseError struct {
	Server string // address
	Until  time.Time
}

func (e *PauseError) Error() string {
	return fmt.Sprintf("server %s asks for a pause until %s", e.Server, e.Until.Format(time.RFC3339Nano))
}

// maxRetryAfter is the longest pause that a header may name, in seconds; others have no meaning.
const maxRetryAfter = 3600

// refusal returns the error for a refused call, with the retry time that the server gives, or one second
// from now if it gives none.
func refusal(address string, h http.Header) error {
	cfg := fault.Config{Verdict: fault.NotRun, Code: fault.Leaving, Reason: fmt.Sprintf("server %s takes no work", address), RetryAt: time.Now().Add(time.Second)}
	if s, err := strconv.Atoi(h.Get("Retry-After")); err == nil && s >= 0 && s <= maxRetryAfter {
		cfg.RetryAt = time.Now().Add(time.Duration(s) * time.Second)
		cfg.Cause = &PauseError{Server: address, Until: cfg.RetryAt}
	}
	return fault.New(cfg)
}

// incarnation returns the hash of a run of a server. Runs that it does not report differ by its address.
func incarnation(c *fleet.Candidate) uint64 {
	run := c.Boot
	if run == "" {
		run = c.Address
	}
	return xxhash.Sum64String(c.Name + " " + run)
}

// servers returns the ready servers of a service that do not rest.
func (p *Pool) servers(service string) []fleet.Candidate {
	all := p.cfg.Servers(service)
	if p.cfg.Intake.Resting() == 0 {
		return all
	}
	var out []fleet.Candidate
	for i := range all {
		if p.cfg.Intake.Wait(incarnation(&all[i])) == 0 {
			out = append(out, all[i])
		}
	}
	return out
}

// observe takes what the answer to a call that was sent at a time says of its server.
func (p *Pool) observe(c *fleet.Candidate, err error, sentAt time.Duration) {
	s := intake.Statement{Server: incarnation(c), ID: c.Name, Source: "answer"}
	var paused *PauseError
	switch {
	case errors.As(err, &paused):
		s.RestUntil = intake.Now() + time.Until(paused.Until)
	case err == nil:
		s.SentAt = sentAt
	}
	p.cfg.Intake.Observe(s)
}

// refuseAtRest returns the error for a call that was not sent, with the time at which the first server
// takes calls again, or nil if not all servers rest.
func (p *Pool) refuseAtRest(service string) error {
	var first time.Duration
	for _, c := range p.cfg.Servers(service) {
		wait := p.cfg.Intake.Wait(incarnation(&c))
		if wait == 0 {
			return nil
		}
		if first == 0 || wait < first {
			first = wait
		}
	}
	if first == 0 {
		return nil
	}
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Overload, Reason: "the backend servers asked for a pause", RetryAt: time.Now().Add(first)})
}
