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

// ticketPrefix starts every ticket. Three base64url parts separated by dots
// follow it: the issuing incarnation; 16 random bytes with the deadline in Unix
// seconds; and a MAC over both and the account. Only the issuer knows the MAC
// key, so that it verifies tickets without remembering unused ones.
const ticketPrefix = "ticket."

// ticketLifetime is the time after issue within which a ticket must be used for
// the first time.
const ticketLifetime = 10 * time.Minute

// ticketCost is the memory of a used ticket in bytes, with the outcome but for what the server chose in it. A used ticket
// is never forgotten before it expires; without memory, further tickets are refused instead.
const ticketCost = 1 << 10

var ticketEncoding = base64.RawURLEncoding

func isTicket(key string) bool { return strings.HasPrefix(key, ticketPrefix) }

// TicketHolder returns the incarnation that issued a ticket. It returns false
// for a key that is no ticket.
func TicketHolder(key string) (string, bool) {
	t, ok := parseTicket(key)
	return t.holder, ok
}

// ticket is a parsed ticket.
type ticket struct {
	holder string
	nonce  []byte // 16 random bytes, 8 bytes of deadline
	mac    []byte
}

// parseTicket parses a ticket without verifying its MAC. It returns false for a
// key that is malformed.
func parseTicket(key string) (ticket, bool) {
	rest, ok := strings.CutPrefix(key, ticketPrefix)
	parts := strings.Split(rest, ".")
	if !ok || len(parts) != 3 {
		return ticket{}, false
	}
	var raw [3][]byte
	for i, p := range parts {
		b, err := ticketEncoding.DecodeString(p)
		if err != nil {
			return ticket{}, false
		}
		raw[i] = b
	}
	if len(raw[1]) != 24 {
		return ticket{}, false
	}
	return ticket{holder: string(raw[0]), nonce: raw[1], mac: raw[2]}, true
}

// deadline returns the time until which the ticket may be used first.
func (t ticket) deadline() time.Time {
	return time.Unix(int64(binary.BigEndian.Uint64(t.nonce[16:])), 0)
}

// ticketMACKey is the key of the MACs of tickets. It exists only in the memory of
// the process that issues them.
type ticketMACKey []byte

// newTicketMACKey returns a random key.
func newTicketMACKey() ticketMACKey {
	key := make([]byte, 32)
	_, _ = rand.Read(key) // never fails, see crypto/rand
	return key
}

func (s ticketMACKey) mac(holder, account string, nonce []byte) []byte {
	h := hmac.New(sha256.New, s)
	for _, p := range []string{holder, account, string(nonce)} {
		_ = binary.Write(h, binary.BigEndian, uint32(len(p)))
		_, _ = h.Write([]byte(p))
	}
	return h.Sum(nil)[:16]
}

// IssueTicket returns a new ticket for an account and the time until which it
// may be used first. It writes nothing to the table.
func (m *Manager) IssueTicket(account string) (string, time.Time) {
	until := time.Now().Add(ticketLifetime).Truncate(time.Second)
	nonce := make([]byte, 24)
	_, _ = rand.Read(nonce[:16])
	binary.BigEndian.PutUint64(nonce[16:], uint64(until.Unix()))
	mac := m.ticketMACKey.mac(m.cfg.Holder, account, nonce)
	parts := []string{ticketEncoding.EncodeToString([]byte(m.cfg.Holder)), ticketEncoding.EncodeToString(nonce), ticketEncoding.EncodeToString(mac)}
	return ticketPrefix + strings.Join(parts, "."), until
}

// beginTicket is Begin for a ticket. The use of a ticket is remembered until one
// ticketLifetime after its deadline. Within that time a ticket that is not
// remembered was certainly not used; later it may have been.
func (m *Manager) beginTicket(k Key, digest uint64) (*Claim, *Outcome, error) {
	t, ok := parseTicket(k.Key)
	if !ok {
		return nil, nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Invalid, Reason: "the ticket is malformed"})
	}
	if t.holder != m.cfg.Holder {
		return nil, nil, IssuerUnreachableError()
	}
	if !hmac.Equal(t.mac, m.ticketMACKey.mac(t.holder, k.Account, t.nonce)) {
		return nil, nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Invalid, Reason: "the ticket was not issued to this account"})
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if old := m.tickets[k.row()]; old != nil {
		o, err := old.repeat(digest)
		return nil, o, err
	}
	c := &Claim{id: m.cfg.NewID(), key: k.row(), digest: digest, until: t.deadline().Add(ticketLifetime), ticket: true, phase: ready}
	switch {
	case now.After(c.until):
		return nil, nil, fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Conflict, Reason: "the ticket expired and its use is no longer remembered"})
	case now.After(t.deadline()):
		return nil, nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Invalid, Reason: "the ticket expired unused"})
	case int64(len(m.tickets))*ticketCost+m.outcomeBytes >= m.cfg.Memory:
		return nil, nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Overload, Reason: "too many tickets are in use", RetryAt: now.Add(ticketLifetime / 10)})
	}
	m.tickets[c.key] = c
	return c, nil, nil
}

// IssuerUnreachableError is the answer to a ticket whose issuer can't be
// reached: the work may have run there.
func IssuerUnreachableError() error {
	return fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Conflict, Reason: "the entry process that issued the ticket does not answer, the request may have run there"})
}

// purgeTickets forgets used tickets whose claims have expired and ended.
func (m *Manager) purgeTickets(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, c := range m.tickets {
		if now.After(c.until) && c.phase != running && c.phase != ready {
			delete(m.tickets, key)
			if c.outcome != nil {
				m.outcomeBytes -= c.outcome.size()
			}
		}
	}
}
