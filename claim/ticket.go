package claim

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
)

// A ticket is "ticket." followed by the issuing incarnation, a random number
// with the deadline in Unix seconds, and a keyed hash over these and the
// account, each in base64url. Only the issuer knows the key of the hash, so
// that it need not remember tickets that were not used.
const ticketPrefix = "ticket."

// ticketTerm is how long a ticket may be used first.
const ticketTerm = 10 * time.Minute

// maxTickets bounds the tickets whose use is remembered. A used ticket is never
// forgotten before its deadline, so that further tickets are refused instead.
const maxTickets = 50000

var encoding = base64.RawURLEncoding

func isTicket(key string) bool { return strings.HasPrefix(key, ticketPrefix) }

// TicketHolder returns the incarnation that issued a ticket. It returns false
// for a key that is no ticket.
func TicketHolder(key string) (string, bool) {
	t, ok := parseTicket(key)
	return t.holder, ok
}

type ticket struct {
	holder string
	nonce  []byte // 16 random bytes, 8 bytes of deadline
	hash   []byte
}

func parseTicket(key string) (ticket, bool) {
	rest, ok := strings.CutPrefix(key, ticketPrefix)
	parts := strings.Split(rest, ".")
	if !ok || len(parts) != 3 {
		return ticket{}, false
	}
	var raw [3][]byte
	for i, p := range parts {
		b, err := encoding.DecodeString(p)
		if err != nil {
			return ticket{}, false
		}
		raw[i] = b
	}
	if len(raw[1]) != 24 {
		return ticket{}, false
	}
	return ticket{holder: string(raw[0]), nonce: raw[1], hash: raw[2]}, true
}

func (t ticket) until() time.Time {
	return time.Unix(int64(binary.BigEndian.Uint64(t.nonce[16:])), 0)
}

// sealer makes the keyed hash of tickets with a key that exists only in the
// memory of this incarnation.
type sealer []byte

func newSealer() sealer {
	key := make([]byte, 32)
	_, _ = rand.Read(key) // never fails, see crypto/rand
	return key
}

func (s sealer) hash(holder, account string, nonce []byte) []byte {
	h := hmac.New(sha256.New, s)
	for _, p := range []string{holder, account, string(nonce)} {
		_ = binary.Write(h, binary.BigEndian, uint32(len(p)))
		_, _ = h.Write([]byte(p))
	}
	return h.Sum(nil)[:16]
}

// IssueTicket returns a new ticket of an account and the time until which it may be
// used. It writes nothing.
func (b *Manager) IssueTicket(account string) (string, time.Time) {
	until := time.Now().Add(ticketTerm).Truncate(time.Second)
	nonce := make([]byte, 24)
	_, _ = rand.Read(nonce[:16])
	binary.BigEndian.PutUint64(nonce[16:], uint64(until.Unix()))
	hash := b.seal.hash(b.cfg.Holder, account, nonce)
	parts := []string{encoding.EncodeToString([]byte(b.cfg.Holder)), encoding.EncodeToString(nonce), encoding.EncodeToString(hash)}
	return ticketPrefix + strings.Join(parts, "."), until
}

// beginTicket is Begin for a ticket. The use of a ticket is remembered until a
// whole term after the ticket's deadline; in that time an unused ticket is
// certainly unused, later it may have been used.
func (b *Manager) beginTicket(k Key, digest uint64) (*Claim, *Outcome, error) {
	t, ok := parseTicket(k.Key)
	if !ok {
		return nil, nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Invalid, Reason: "the ticket is malformed"})
	}
	if t.holder != b.cfg.Holder {
		return nil, nil, IssuerUnreachableError()
	}
	if !hmac.Equal(t.hash, b.seal.hash(t.holder, k.Account, t.nonce)) {
		return nil, nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Invalid, Reason: "the ticket was not issued to this account"})
	}
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if old := b.tickets[k.row()]; old != nil {
		o, err := old.repeat(digest)
		return nil, o, err
	}
	c := &Claim{id: b.cfg.NewID(), key: k.row(), digest: digest, until: t.until().Add(ticketTerm), ticket: true, phase: held}
	switch {
	case now.After(c.until):
		return nil, nil, fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Conflict, Reason: "the ticket expired and its use is no longer remembered"})
	case now.After(t.until()):
		return nil, nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Invalid, Reason: "the ticket expired unused"})
	case len(b.tickets) >= maxTickets:
		return nil, nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Overload, Reason: "too many tickets are in use", RetryAt: now.Add(ticketTerm / 10)})
	}
	b.tickets[c.key] = c
	return c, nil, nil
}

// IssuerUnreachableError is the answer to a ticket whose issuer can't be reached: the work
// may have run there before.
func IssuerUnreachableError() error {
	return fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Conflict, Reason: "the entry process that issued the ticket does not answer, the request may have run there"})
}

// purge forgets the use of tickets that are past their deadline.
func (b *Manager) purge(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, c := range b.tickets {
		if now.After(c.until) && c.phase != running && c.phase != held {
			delete(b.tickets, key)
			if c.outcome != nil {
				b.bytes -= len(c.outcome.Body)
			}
		}
	}
}
