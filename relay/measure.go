package relay

// Measure names a quantity that is observed once for each request.
type Measure string

const (
	MeasureWait       Measure = "wait_seconds"        // from the arrival to the first attempt
	MeasureFirstEvent Measure = "first_event_seconds" // from the arrival to the first event of a stream
	MeasureGap        Measure = "gap_seconds"         // longest pause between two events of a stream
	MeasureAttempts   Measure = "attempts"            // attempts that were sent, 0 when none was
)

// Invariant names a promise that is checked while requests are served.
type Invariant string

const (
	// InvariantRefusal is that a request that may have run is not refused as one
	// that did not.
	InvariantRefusal Invariant = "refusal"
	// InvariantAttempts is that a request that may run once only is not sent
	// again after an attempt that may have run.
	InvariantAttempts Invariant = "attempts"
	// InvariantOrder is that a stream has each event once and in order. One that has
	// not is cut off before the caller gets it.
	InvariantOrder Invariant = "order"
)
