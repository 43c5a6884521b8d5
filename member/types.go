// Package member maintains the membership of entry processes: which processes are
// alive, which are leaving, and which addresses callers should use. Rows in the
// table service are used to join and to find other processes. Pings between
// processes detect deaths and maintain the membership while the table service is
// down.
//
// Locks are taken in this order: PauseDetector.mu, Membership.mu,
// Membership.spawnMu. None is held during a call to a peer or to the table service.
package member

import "errors"

// Member is the description that an entry process gives of itself.
type Member struct {
	Name          string `json:"name"`
	Incarnation   string `json:"incarnation"`
	Domain        string `json:"domain"`            // failure domain
	Region        string `json:"region,omitempty"`  // region of the failure domain
	CallerAddress string `json:"callers"`           // address for callers, IP:port
	PeerAddress   string `json:"peers"`             // address for entry processes, IP:port
	Leaving       bool   `json:"leaving,omitempty"` // drains, takes no new requests
	Sequence      uint64 `json:"sequence"`          // increases with each change of the description
}

// EventKind is the kind of an Event.
type EventKind uint32

// Kinds of events. The numbers are part of the peer protocol.
const (
	Joined  EventKind = iota + 1 // the member is alive; receivers add it
	Leaving                      // the member drains; receivers no longer list its address
	Suspect                      // the member does not answer the sender; receivers ping it and reply
	Dead                         // the member answers none of the processes asked; receivers verify this and remove it
	Stopped                      // the member announces its end; receivers remove it
)

// Event is a change of a member, or a question about it (Suspect).
type Event struct {
	Kind   EventKind
	Member Member
}

// EventMessage carries events between processes.
type EventMessage struct {
	Events      []Event
	RelayRange  RelayRange // members to which the receiver relays the events
	WantMembers bool       // asks the receiver for its live members
}

// EventReply is the reply to an EventMessage.
type EventReply struct {
	Members []Member // live members, set when WantMembers was
	Alive   []bool   // one entry for each event: whether the member answers the replying process
}

// PingPayload is the content of a ping and of its reply.
type PingPayload struct {
	Version  uint64 // configuration in effect
	Digest   uint64 // digest of that configuration
	Leaving  bool
	Sequence uint64  // of the sender's Member
	Self     *Member // nil when the receiver already knows the sender at this sequence
}

// RelayRange is a range of member names. The receiver of a message with Relay set
// relays it to every live member whose name is in the range. The sender gives a
// range and not a list of members, so that none is left out when sender and
// receiver know different members.
type RelayRange struct {
	Relay bool
	First string // first name of the range
	End   string // first name after the range; "" for no bound
}

// ErrReplaced reports that another incarnation answers at the address, which
// proves that the wanted incarnation is dead.
var ErrReplaced = errors.New("incarnation was replaced at its address")
