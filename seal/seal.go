// Package seal proves that a message between entry processes comes from one of them:
// each message carries an HMAC under a key that only they can read. A Window refuses
// messages that come a second time.
package seal

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cranberrybay/cranberrybay/wire"
)

// Kind tells messages of one form apart, so that one can't be taken for another.
type Kind uint32

// Kinds of messages.
const (
	Beat Kind = iota + 1
	Fetch
	State
)

const (
	// SecretBytes is the length of a key's secret, that of the hash.
	SecretBytes = sha256.Size
	// tagBytes is the length of a tag: 128 bits can't be guessed.
	tagBytes = 16
	// lead is how long a process that has read a new key goes on under the old one:
	// the others read it within seconds of the first message that tells of it.
	lead = time.Minute
	// overlap is how long messages under the key before are accepted after that.
	overlap = time.Minute
)

// Errors of Open.
var (
	ErrNoKey     = errors.New("no key is known yet")
	ErrUnknown   = errors.New("message is under an unknown key")
	ErrForged    = errors.New("message has a wrong tag")
	ErrMalformed = errors.New("message can't be decoded")
	// ErrNewer says that the message is good, and that its sender knows a newer key.
	ErrNewer = errors.New("sender knows a newer key")
)

// Key is a numbered secret. A greater number is newer.
type Key struct {
	Number uint32
	Secret []byte
}

// NewKey returns a key with a random secret.
func NewKey(number uint32) Key {
	k := Key{Number: number, Secret: make([]byte, SecretBytes)}
	_, _ = rand.Read(k.Secret) // never fails
	return k
}

// Sealer seals and opens messages. It has one lock, under which nothing else is
// called.
type Sealer struct {
	mu      sync.RWMutex
	former  Key
	current Key
	next    Key
	from    time.Time // next is used from then on
	until   time.Time // former is accepted before it
}

// AddKey takes a key. The first one is used at once. A newer one is accepted at once and
// used a while later, when the other processes know it too.
func (s *Sealer) AddKey(k Key) error {
	if len(k.Secret) != SecretBytes {
		return fmt.Errorf("key %d has %d bytes, want %d", k.Number, len(k.Secret), SecretBytes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	switch {
	case s.current.Number == 0:
		s.current = k
	case k.Number > s.current.Number && k.Number > s.next.Number:
		s.next, s.from = k, time.Now().Add(lead)
	}
	return nil
}

// advance makes the next key the current one when its time has come. The caller holds
// mu.
func (s *Sealer) advance() {
	if s.next.Number == 0 || time.Now().Before(s.from) {
		return
	}
	s.former, s.until = s.current, s.from.Add(overlap)
	s.current, s.next = s.next, Key{}
}

// Newest returns the number of the newest key that is known; 0 when there is none.
func (s *Sealer) Newest() uint32 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return max(s.current.Number, s.next.Number)
}

// sealing returns the key in use.
func (s *Sealer) sealing() (Key, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	if s.current.Number == 0 {
		return Key{}, ErrNoKey
	}
	return s.current, nil
}

// key returns a key that is accepted now.
func (s *Sealer) key(number uint32) (Key, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	switch {
	case s.current.Number == 0:
		return Key{}, ErrNoKey
	case number == s.current.Number:
		return s.current, nil
	case number == s.next.Number:
		return s.next, nil
	case number == s.former.Number && time.Now().Before(s.until):
		return s.former, nil
	default:
		return Key{}, fmt.Errorf("%w: %d", ErrUnknown, number)
	}
}

// tag proves all of an envelope but the number of the key, which chooses the secret.
func tag(k Key, e *wire.Envelope) []byte {
	h := hmac.New(sha256.New, k.Secret)
	var head [8]byte
	binary.BigEndian.PutUint32(head[:4], e.Kind)
	binary.BigEndian.PutUint32(head[4:], e.Newest)
	h.Write(head[:])
	h.Write(e.Body)
	return h.Sum(nil)[:tagBytes]
}

// Wrap encodes a message and proves it.
func (s *Sealer) Wrap(kind Kind, m proto.Message) (*wire.Envelope, error) {
	k, err := s.sealing()
	if err != nil {
		return nil, err
	}
	body, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	e := &wire.Envelope{Key: k.Number, Kind: uint32(kind), Body: body, Newest: s.Newest()}
	e.Tag = tag(k, e)
	return e, nil
}

// Seal returns the bytes of a wrapped message.
func (s *Sealer) Seal(kind Kind, m proto.Message) ([]byte, error) {
	e, err := s.Wrap(kind, m)
	if err != nil {
		return nil, err
	}
	raw, err := proto.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode envelope: %w", err)
	}
	return raw, nil
}

// Unwrap checks a wrapped message and decodes it into m. ErrNewer is returned with a
// message that is good.
func (s *Sealer) Unwrap(kind Kind, e *wire.Envelope, m proto.Message) error {
	k, err := s.key(e.Key)
	if err != nil {
		return err
	}
	if e.Kind != uint32(kind) || !hmac.Equal(e.Tag, tag(k, e)) {
		return ErrForged
	}
	if err := proto.Unmarshal(e.Body, m); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if e.Newest > s.Newest() {
		return ErrNewer
	}
	return nil
}

// Open is Unwrap for the bytes of a wrapped message.
func (s *Sealer) Open(kind Kind, raw []byte, m proto.Message) error {
	var e wire.Envelope
	if err := proto.Unmarshal(raw, &e); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return s.Unwrap(kind, &e, m)
}

// windowSize is how far behind the newest number one is still accepted: datagrams
// overtake each other.
const windowSize = 64

// ReplayWindow accepts each number of a sender once.
type ReplayWindow struct {
	highest uint64
	seen    uint64 // bit i: highest-i was taken
}

// Accept reports whether a number is new.
func (w *ReplayWindow) Accept(n uint64) bool {
	switch {
	case n > w.highest:
		if by := n - w.highest; by < windowSize {
			w.seen <<= by
		} else {
			w.seen = 0
		}
		w.seen |= 1
		w.highest = n
		return true
	case w.highest-n >= windowSize:
		return false
	default:
		bit := uint64(1) << (w.highest - n)
		fresh := w.seen&bit == 0
		w.seen |= bit
		return fresh
	}
}

// Newest reports whether a number that was taken is the highest one.
func (w *ReplayWindow) Newest(n uint64) bool { return n == w.highest }
