package queue

import "time"

// Policy is a named set of decisions. Earlier versions stay available, so that
// the bench command compares each change with what it replaced.
type Policy struct {
	Name string
	// Reserve is the part of the slots that long work leaves to short work
	// while both are present.
	Reserve float64
	// Overcommit is how many requests beyond its slots a server may be sent, so that
	// it does not idle while a completion travels back.
	Overcommit int
	// AgingShare is the part of its time budget after which long work goes before
	// short work, within the slots that Reserve leaves.
	AgingShare float64
	// FairShare lets a process that holds less than its part of a server's slots
	// send to a full server, where the engine's own queue orders the processes.
	FairShare bool
	// TwoChoices makes the queue compare two servers drawn at random instead of all, so
	// that processes with the same reports do not choose the same server.
	TwoChoices bool
	// DecayReports makes the report's view of other processes' requests lose weight
	// against its running mean, within the time that a request takes.
	DecayReports bool
	// ScaleOvercommit raises Over to the requests that a server is expected to finish
	// until its next report, but not over its slots. Where answers take less
	// time than a report is old, a report of full slots says little.
	ScaleOvercommit bool
	// LengthPenalty orders the requests of an account by arrival plus this many
	// seconds for each predicted token: shorter work first, with ageing.
	LengthPenalty float64
	// MeasureRates predicts waiting times from the measured rate at which this
	// backlog and the account's own were served, in place of the mean service
	// time alone, and leaves the part Margin of the time budget as a reserve.
	MeasureRates bool
	Margin       float64
	// CapAtBacklog bounds a predicted wait by the time in which the whole backlog of
	// the class would be served, as the overload may end.
	CapAtBacklog bool
	// BacklogOnly admits by the backlog before the request alone, and leaves what later
	// requests of other accounts take to Sweep, as the overload may end.
	BacklogOnly bool
	// DivideWeights makes the process divide each account's weight between processes
	// by demand (package limit).
	DivideWeights bool
	// RejectUnreachable rejects waiting requests as soon as their deadline is out of reach:
	// when the predicted wait is over Patience times the time that is left. The
	// prediction is noisy and a rejection is final, so Patience is over 1.
	RejectUnreachable bool
	WaitTolerance     float64
	// RateWeight is the weight of the newest start in the measured rates.
	RateWeight float64
}

// V1 is the first version of the policy: it fills every slot that a report
// shows free and decides about a deadline only when a request arrives.
func V1() Policy {
	return Policy{Name: "v1", Reserve: 0.25, Overcommit: 2, AgingShare: 0.5}
}

// V2 compares two servers drawn at random instead of all.
func V2() Policy {
	p := V1()
	p.Name, p.TwoChoices = "v2", true
	return p
}

// V3 lets a process with less than its part of a server send to a full one.
func V3() Policy {
	p := V2()
	p.Name, p.FairShare = "v3", true
	return p
}

// V4 weighs a report against the time that a request takes.
func V4() Policy {
	p := V3()
	p.Name, p.DecayReports, p.ScaleOvercommit = "v4", true, true
	return p
}

// V5 predicts waiting times from measured rates, rejects as soon as a deadline
// is out of reach, and prefers shorter work within an account.
func V5() Policy {
	p := V4()
	p.Name, p.MeasureRates, p.RejectUnreachable, p.Margin, p.LengthPenalty = "v5", true, true, 0.1, 0.01
	p.WaitTolerance, p.RateWeight = 1, 0.15
	return p
}

// V6 divides the weights of accounts between processes by demand.
func V6() Policy {
	p := V5()
	p.Name, p.DivideWeights = "v6", true
	return p
}

// V7 predicts with less noise and rejects later in doubt: slower averages, no
// margin, patience with waiting requests, and no wait over that of the backlog.
func V7() Policy {
	p := V6()
	p.Name, p.CapAtBacklog, p.RateWeight, p.WaitTolerance, p.Margin = "v7", true, 0.05, 1.5, 0
	return p
}

// V8 admits by the backlog before a request and is more patient with the
// requests that wait.
func V8() Policy {
	p := V7()
	p.Name, p.BacklogOnly, p.WaitTolerance = "v8", true, 2
	return p
}

// Versions returns every version, oldest first.
func Versions() []Policy { return []Policy{V1(), V2(), V3(), V4(), V5(), V6(), V7(), V8()} }

// Current is the policy of the entry process.
func Current() Policy { return V8() }

const (
	// minService bounds estimates of service times from below, so that a few
	// very short answers do not predict an endless rate.
	minService = time.Millisecond
	// firstService is assumed before the first answer has been observed.
	firstService = time.Second
	// firstToken is the time to first token assumed before one was observed.
	firstToken = 100 * time.Millisecond
)
