package table

import "math"

// revisionsPerEra is the factor between the era of a service and the revisions in it. It is a power
// of ten, so that both parts can be read in logs: 2000000000105 is number 105 of era 2. A service
// that makes 3,000 transactions a second takes ten years to that many.
const revisionsPerEra = 1_000_000_000_000

// MaxEra is the largest era for which revisions fit into 64 bits.
const MaxEra = math.MaxUint64/revisionsPerEra - 1

// NewRevision returns the revision of a transaction from the era of the service and its number in it.
// A service that returns from an older copy gives out numbers again, in a new era. Revisions of a
// later era are greater than all of the eras before.
func NewRevision(era, number uint64) uint64 { return era*revisionsPerEra + number }

// Era returns the era of a revision; 0 for services that have none.
func Era(revision uint64) uint64 { return revision / revisionsPerEra }

// Number returns the number of a revision within its era, as the service knows it.
func Number(revision uint64) uint64 { return revision % revisionsPerEra }
