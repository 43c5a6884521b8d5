package relay

// Measure names a quantity that is observed at most once per request.
type Measure string

const (
	MeasureWait       Measure = "wait_seconds"        // from the arrival of the request to the first attempt
	MeasureFirstEvent Measure = "first_event_seconds" // from the arrival of the request to the first event of a stream
	MeasureGap        Measure = "gap_seconds"         // longest time between two events of a stream
	MeasureAttempts   Measure = "attempts"            // number of attempts; 0 if none was sent
)

// Invariant names a guarantee that is verified while requests are served.
type Invariant string

const (
	// InvariantRefusal: a request that may have run is never reported as not run.
	InvariantRefusal Invariant = "refusal"
	// InvariantAttempts: a request that may run only once is not sent again after an attempt that
	// may have run.
	InvariantAttempts Invariant = "attempts"
	// InvariantOrder: a stream delivers each event once and in order. A stream that violates this
	// is cut before the caller gets the offending event.
	InvariantOrder Invariant = "order"
)
