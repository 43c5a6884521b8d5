package limit

// Dimensions of a limit.
const (
	Rate     = iota // requests a second
	Tokens          // generated tokens a second
	Inflight        // requests at the same time
	dimensions
)

// Amounts holds one value for each dimension. In limits and shares, 0 means no
// limit in that dimension.
type Amounts [dimensions]float64

// Limits are the published limits of one client account over all processes.
type Limits struct {
	Amounts
	Weight float64 // share under load, relative to other accounts
}

// Demand is what one process saw of one account since its last report.
type Demand struct {
	Account      string
	Want         Amounts // attempts a second, tokens a second, requests at the same time
	Running      int     // requests in flight
	AppliedShare uint64  // number of the last share applied, 0 for none
	Idle         bool    // the process gives its share back
}

// Report is sent by a process to the home process of the accounts in it.
type Report struct {
	From        string // name of the process
	Incarnation string // incarnation of the process
	Number      uint64 // grows with each report of this incarnation to any home
	Demands     []Demand
}

// AccountShare is the share of one account that a home process gives to one process.
type AccountShare struct {
	Account string
	Share   Amounts
	Weight  float64 // part of the account's weight that counts on this process
	Number  uint64  // grows with each share that this home gives for the account
}

// Share is the home's answer to a report, or a change of an earlier answer. It
// is valid until the process's own time of sending the report Answer plus Term.
// Neither a late message nor a difference of clocks can therefore extend it.
type Share struct {
	Home                string
	HomeIncarnation     string // incarnation of the home process
	ReceiverIncarnation string // incarnation of the receiver
	ReportNumber        uint64 // number of the newest report that the home had from the process
	Parts               []AccountShare
}

// Size returns the bytes of a report in a protobuf encoding: tag and length for
// each string, tag and 4 bytes for each rate, tag and varint for each integer.
func (r Report) Size() int {
	n := 2 + len(r.From) + 2 + len(r.Incarnation) + 1 + varint(r.Number)
	for _, d := range r.Demands {
		m := 2 + len(d.Account) + 5 + 5 + 1 + varint(uint64(d.Want[Inflight])) + 1 + varint(uint64(d.Running)) + 1 + varint(d.AppliedShare)
		if d.Idle {
			m += 2
		}
		n += 1 + varint(uint64(m)) + m
	}
	return n
}

func varint(v uint64) int {
	n := 1
	for ; v >= 0x80; v >>= 7 {
		n++
	}
	return n
}
