package queue

import "time"

// Policy holds the parameters of admission, scheduling and balancing. Earlier
// versions remain available so that the bench command can compare each version
// with its predecessor.
type Policy struct {
	Name string
	// Reserve is the fraction of the slots that is kept free for short work while
	// both classes are present.
	Reserve float64
	// Overcommit is the number of requests that a server may be sent beyond its
	// slots, so that it does not idle while the end of a request is being
	// reported.
	Overcommit int
	// AgingShare is the fraction of its time budget after which a long request
	// starts before short ones, within the unreserved slots.
	AgingShare float64
	// FairShare allows a process that holds less than its equal share of a
	// server's slots to send to a full server. The engine's own queue then orders
	// the requests of the processes.
	FairShare bool
	// TwoChoices compares two random servers instead of all (power of two
	// choices), so that processes with the same load reports do not all choose the
	// same server.
	TwoChoices bool
	// DecayReports makes the reported number of other processes' requests decay
	// exponentially to its running mean. The time constant is the mean service
	// time.
	DecayReports bool
	// ScaleOvercommit raises Overcommit to the number of requests that a server is
	// expected to finish before its next report, but at most to its number of
	// slots. Where requests finish faster than reports arrive, a report of full
	// slots says little about the current load.
	ScaleOvercommit bool
	// LengthPenalty is added to the arrival time for each predicted token, in
	// seconds, to order the requests of one account: shorter requests go first,
	// and waiting requests age.
	LengthPenalty float64
	// MeasureRates predicts waiting times from the measured start rates of the
	// class and of the account's own flow, instead of from the mean service time
	// alone. Margin is the fraction of the time budget that admission keeps in
	// reserve.
	MeasureRates bool
	Margin       float64
	// CapAtBacklog limits a predicted wait to the time in which the whole backlog
	// of the class would start, since an overload may end.
	CapAtBacklog bool
	// BacklogOnly bases admission only on the backlog ahead of the request and
	// ignores the start rate of its flow, since an overload may end. Capacity
	// taken by later requests of other accounts is left to RejectUnreachable.
	BacklogOnly bool
	// DivideWeights divides each account's weight among the processes by demand;
	// see package limit.
	DivideWeights bool
	// RejectUnreachable rejects waiting requests whose predicted wait exceeds
	// WaitTolerance times the time left to their deadline. WaitTolerance is more
	// than 1 in the current version because the prediction is noisy and a
	// rejection is final.
	RejectUnreachable bool
	WaitTolerance     float64
	// RateWeight is the minimum weight of the newest value in the measured start
	// rates.
	RateWeight float64
}

// V1 returns the first version of the policy. It fills every slot that a report
// shows as free and checks deadlines only on arrival.
func V1() Policy {
	return Policy{Name: "v1", Reserve: 0.25, Overcommit: 2, AgingShare: 0.5}
}

// V2 adds balancing between two random servers.
func V2() Policy {
	p := V1()
	p.Name, p.TwoChoices = "v2", true
	return p
}

// V3 lets a process that uses less than its equal share of a server's slots send to
// the server even when it is full.
func V3() Policy {
	p := V2()
	p.Name, p.FairShare = "v3", true
	return p
}

// V4 takes the age of load reports relative to the service time into account.
func V4() Policy {
	p := V3()
	p.Name, p.DecayReports, p.ScaleOvercommit = "v4", true, true
	return p
}

// V5 predicts waiting times from measured rates, rejects waiting requests whose
// deadline is unreachable, and prefers shorter requests within an account.
func V5() Policy {
	p := V4()
	p.Name, p.MeasureRates, p.RejectUnreachable, p.Margin, p.LengthPenalty = "v5", true, true, 0.1, 0.01
	p.WaitTolerance, p.RateWeight = 1, 0.15
	return p
}

// V6 divides the weights of accounts among processes by demand.
func V6() Policy {
	p := V5()
	p.Name, p.DivideWeights = "v6", true
	return p
}

// V7 reduces the noise of predictions and rejects later in case of doubt: slower
// averages, no margin, more tolerance for waiting requests, and waits capped at
// that of the whole backlog.
func V7() Policy {
	p := V6()
	p.Name, p.CapAtBacklog, p.RateWeight, p.WaitTolerance, p.Margin = "v7", true, 0.05, 1.5, 0
	return p
}

// V8 bases admission on the backlog ahead of the request alone and tolerates
// longer predicted waits of queued requests.
func V8() Policy {
	p := V7()
	p.Name, p.BacklogOnly, p.WaitTolerance = "v8", true, 2
	return p
}

// Versions returns all versions of the policy, oldest first.
func Versions() []Policy { return []Policy{V1(), V2(), V3(), V4(), V5(), V6(), V7(), V8()} }

// Current returns the policy that entry processes use.
func Current() Policy { return V8() }

const (
	// minServiceTime is a lower bound of service time estimates. Without it a few
	// very short answers would predict an unlimited rate.
	minServiceTime = time.Millisecond
	// initialServiceTime is the service time assumed before the first observation.
	initialServiceTime = time.Second
	// initialFirstTokenTime is the time to first token assumed before the first
	// observation.
	initialFirstTokenTime = 100 * time.Millisecond
)
