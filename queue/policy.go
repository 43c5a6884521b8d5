package queue

import "time"

// Policy is a named set of decisions. Earlier versions stay available, so that
// the bench command compares each change with what it replaced.
type Policy struct {
	Name string
	// Reserve is the part of the slots that long work leaves to short work
	// while both are present.
	Reserve float64
	// Over is how many requests beyond its slots a server may be sent, so that
	// it does not idle while a completion travels back.
	Over int
	// Age is the part of its time budget after which long work goes before
	// short work, within the slots that Reserve leaves.
	Age float64
	// Fair lets a process that holds less than its part of a server's slots
	// send to a full server, where the engine's own queue orders the processes.
	Fair bool
	// Spread makes a process take only its part of the slots that a report
	// shows free, so that several processes do not fill the same slot.
	Spread bool
	// Two makes the queue compare two servers drawn at random instead of all, so
	// that processes with the same reports do not choose the same server.
	Two bool
	// Decay makes the report's view of other processes' requests lose weight
	// against its running mean, within the time that a request takes.
	Decay bool
	// Sweep rejects waiting requests as soon as their deadline is out of reach.
	Sweep bool
}

// V1 is the first version of the policy: it fills every slot that a report
// shows free and decides about a deadline only when a request arrives.
func V1() Policy {
	return Policy{Name: "v1", Reserve: 0.25, Over: 2, Age: 0.5}
}

// Current is the policy of the entry process.
func Current() Policy { return V1() }

const (
	// minService bounds estimates of service times from below, so that a few
	// very short answers do not predict an endless rate.
	minService = time.Millisecond
	// firstService is assumed before the first answer has been observed.
	firstService = time.Second
	// firstToken is the time to first token assumed before one was observed.
	firstToken = 100 * time.Millisecond
)
