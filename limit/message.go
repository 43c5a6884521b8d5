package limit

// Dimensions of limits, shares and demand.
const (
	Rate     = iota // requests per second
	Tokens          // generated tokens per second
	Inflight        // concurrent requests
	dimensions
)

// Amounts holds one value per dimension. In limits, 0 means that the dimension has no
// limit; a share of it is also 0. In a dimension with a limit, a share of 0 admits
// nothing.
type Amounts [dimensions]float64

// Limits are the published limits of one client account, across all processes.
type Limits struct {
	Amounts
	Weight float64 // weight relative to other accounts under load
}

// Demand is the smoothed demand of one account at one process.
type Demand struct {
	Account      string
	Want         Amounts // attempts per second, tokens per second, concurrent requests
	Running      int     // requests in flight
	AppliedShare uint64  // number of the last share applied, 0 for none
	Idle         bool    // the process returns its share
}

// Report is a message from a process to the home process of the accounts in it.
type Report struct {
	From        string // name of the process
	Incarnation string // incarnation of the process
	Number      uint64 // increases with each report of this incarnation to any home
	Demands     []Demand
}

// AccountShare is the share of one account that the home process issues to one
// process.
type AccountShare struct {
	Account string
	Share   Amounts
	Weight  float64 // fraction of the weight of the account that applies to this process
	Number  uint64  // increases with each share that this home issues for the account
}

// Share is a message from a home process that replies to a report, or changes an
// earlier reply. It is valid for two seconds from the time at which the receiver
// sent the report ReportNumber. A late message or a clock difference therefore
// can't extend it.
type Share struct {
	Home                string
	HomeIncarnation     string // incarnation of the home process
	ReceiverIncarnation string // incarnation of the receiver
	ReportNumber        uint64 // number of the newest report that the home received from the process
	Accounts            []AccountShare
}

// Size returns the size of the report in bytes in a protobuf encoding: tag and
// length for each string, tag and 4 bytes for each rate, tag and varint for each
// integer.
func (r Report) Size() int {
	n := 2 + len(r.From) + 2 + len(r.Incarnation) + 1 + varintSize(r.Number)
	for _, d := range r.Demands {
		m := 2 + len(d.Account) + 5 + 5 + 1 + varintSize(uint64(d.Want[Inflight])) + 1 + varintSize(uint64(d.Running)) + 1 + varintSize(d.AppliedShare)
		if d.Idle {
			m += 2
		}
		n += 1 + varintSize(uint64(m)) + m
	}
	return n
}

// varintSize returns the size of v as a varint.
func varintSize(v uint64) int {
	n := 1
	for ; v >= 0x80; v >>= 7 {
		n++
	}
	return n
}
