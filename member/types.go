// Package member keeps the membership of entry processes: who is there, who is
// leaving, and which addresses callers should use. Rows of the table service
// serve joining and listing; pings between processes serve the detection of
// deaths and keep the membership alive while the table service is down.
//
// Locks are taken in this order: Pulse, Table, start of goroutines. None is
// held during a call to a peer or to the table service.
package member

import "errors"

// Member is one entry process as it describes itself.
type Member struct {
	Name          string `json:"name"`
	Incarnation   string `json:"incarnation"`
	Domain        string `json:"domain"`            // failure domain
	Region        string `json:"region,omitempty"`  // region of the failure domain
	CallerAddress string `json:"callers"`           // address for callers, IP:port
	PeerAddress   string `json:"peers"`             // address for entry processes, IP:port
	Leaving       bool   `json:"leaving,omitempty"` // drains, takes no new requests
	Sequence      uint64 `json:"sequence"`          // grows with each change that the process makes to itself
}

// EventKind says what an Event reports.
type EventKind uint32

// Kinds of events.
const (
	Joined  EventKind = iota + 1 // the member is alive; receivers add it
	Leaving                      // the member drains; receivers list it no more
	Suspect                      // the sender gets no answer; receivers ping it and reply
	Dead                         // nobody that was asked gets an answer; receivers check and remove it
	Stopped                      // the member says itself that it ends now
)

// Event is one piece of news about a member.
type Event struct {
	Kind   EventKind
	Member Member
}

// EventMessage is a set of events on its way through the membership.
type EventMessage struct {
	Events      []Event
	RelayRange  RelayRange // who passes the message on
	WantMembers bool       // asks for the list of live members
}

// EventReply is the reply to News.
type EventReply struct {
	Members []Member // live members, when the list was asked for
	Alive   []bool   // one for each event: whether the member answers this process
}

// Health is what two processes tell each other with a ping.
type Health struct {
	Version  uint64 // configuration in effect
	Digest   uint64 // digest of that configuration
	Leaving  bool
	Sequence uint64
	Self     *Member // nil when the peer already knows the sender at this sequence
}

// RelayRange limits who passes a message on. A message with Relay set goes on to
// every live member whose name is in the range; the range keeps members from
// being left out when sender and receiver know different members.
type RelayRange struct {
	Relay bool
	First string // first name, inclusive
	End   string // name after the last one; "" for no bound
}

// ErrReplaced reports that an address answers as another incarnation than the
// wanted one, which is proof that the wanted one is dead.
var ErrReplaced = errors.New("incarnation was replaced at its address")
