// Package seal authenticates messages between entry processes: each message carries an
// HMAC under a key that only entry processes can read. A ReplayWindow rejects repeated
// messages.
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

// Kind is the type of a message. The HMAC covers it, so that a message of one type can't be
// passed off as another.
type Kind uint32

// Types of messages.
const (
	Beat  Kind = iota + 1 // heartbeat
	Fetch                 // request for the state of another process
	State                 // answer to Fetch
)

const (
	// SecretBytes is the length of a key's secret, that of the hash.
	SecretBytes = sha256.Size
	// tagBytes is the length of the truncated HMAC: 128 bits can't be guessed.
	tagBytes = 16
	// activationDelay is how long a process that has read a new key continues to seal
	// with the old one. The other processes read the new key within seconds of the
	// first message that announces it.
	activationDelay = time.Minute
	// previousKeyGrace is how long messages under the previous key are still accepted
	// after this process has begun to seal with the new one.
	previousKeyGrace = time.Minute
)

// Errors of Open.
var (
	ErrNoKey     = errors.New("no key is known yet")
	ErrUnknown   = errors.New("message is sealed with an unknown key")
	ErrForged    = errors.New("message has a wrong tag")
	ErrMalformed = errors.New("message can't be decoded")
	// ErrNewer means that the message is authentic and that its sender knows a newer key.
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

// Sealer seals and opens messages. It has one lock and calls nothing while it holds it.
type Sealer struct {
	mu            sync.RWMutex
	previous      Key
	current       Key
	next          Key
	nextFrom      time.Time // next is used from this time on
	previousUntil time.Time // previous is accepted before this time
}

// AddKey adds a key. The first key is used at once. A newer one is accepted at once and
// used for sealing after activationDelay, when the other processes know it too, or when one of them uses
// it.
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
		s.next, s.nextFrom = k, time.Now().Add(activationDelay)
	}
	return nil
}

// advance makes the next key the current one when its activation time has passed. The
// caller holds mu.
func (s *Sealer) advance() {
	if s.next.Number == 0 || time.Now().Before(s.nextFrom) {
		return
	}
	s.previous, s.previousUntil = s.current, s.nextFrom.Add(previousKeyGrace)
	s.current, s.next = s.next, Key{}
}

// activate makes the next key the current one if it has that number: a process that uses it may know no
// other.
func (s *Sealer) activate(number uint32) {
	s.mu.RLock()
	isNext := s.next.Number != 0 && number == s.next.Number
	s.mu.RUnlock()
	if !isNext {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if number == s.next.Number {
		s.nextFrom = time.Now()
		s.advance()
	}
}

// Newest returns the number of the newest known key; 0 when there is none.
func (s *Sealer) Newest() uint32 {
	return s.NewestKey().Number
}

// NewestKey returns the newest known key; its number is 0 when there is none.
func (s *Sealer) NewestKey() Key {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.next.Number > s.current.Number {
		return s.next
	}
	return s.current
}

// sealingKey returns the key for sealing.
func (s *Sealer) sealingKey() (Key, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	if s.current.Number == 0 {
		return Key{}, ErrNoKey
	}
	return s.current, nil
}

// acceptedKey returns the key with a number if it is accepted now.
func (s *Sealer) acceptedKey(number uint32) (Key, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	switch {
	case s.current.Number == 0:
		return Key{}, ErrNoKey
	case number == s.current.Number:
		return s.current, nil
	case number == s.next.Number:
		return s.next, nil
	case number == s.previous.Number && time.Now().Before(s.previousUntil):
		return s.previous, nil
	default:
		return Key{}, fmt.Errorf("%w: %d", ErrUnknown, number)
	}
}

// computeTag returns the HMAC of an envelope. It covers everything but the key's number,
// which selects the secret.
func computeTag(k Key, e *wire.Envelope) []byte {
	h := hmac.New(sha256.New, k.Secret)
	var head [8]byte
	binary.BigEndian.PutUint32(head[:4], e.Kind)
	binary.BigEndian.PutUint32(head[4:], e.Newest)
	h.Write(head[:])
	h.Write(e.Body)
	return h.Sum(nil)[:tagBytes]
}

// Wrap encodes a message and authenticates it.
func (s *Sealer) Wrap(kind Kind, m proto.Message) (*wire.Envelope, error) {
	k, err := s.sealingKey()
	if err != nil {
		return nil, err
	}
	body, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	e := &wire.Envelope{Key: k.Number, Kind: uint32(kind), Body: body, Newest: s.Newest()}
	e.Tag = computeTag(k, e)
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

// Unwrap verifies a wrapped message and decodes it into m. When it returns ErrNewer, m is
// valid.
func (s *Sealer) Unwrap(kind Kind, e *wire.Envelope, m proto.Message) error {
	k, err := s.acceptedKey(e.Key)
	if err != nil {
		return err
	}
	if e.Kind != uint32(kind) || !hmac.Equal(e.Tag, computeTag(k, e)) {
		return ErrForged
	}
	s.activate(k.Number)
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

// replayWindowSize is how far below the highest number one is still accepted: datagrams
// may arrive out of order.
const replayWindowSize = 64

// ReplayWindow accepts each sequence number of a sender once.
type ReplayWindow struct {
	highest  uint64
	accepted uint64 // bit i: highest-i was accepted
}

// Accept records a number and reports whether it is new.
func (w *ReplayWindow) Accept(n uint64) bool {
	switch {
	case n > w.highest:
		if shift := n - w.highest; shift < replayWindowSize {
			w.accepted <<= shift
		} else {
			w.accepted = 0
		}
		w.accepted |= 1
		w.highest = n
		return true
	case w.highest-n >= replayWindowSize:
		return false
	default:
		bit := uint64(1) << (w.highest - n)
		isNew := w.accepted&bit == 0
		w.accepted |= bit
		return isNew
	}
}

// IsHighest reports whether an accepted number is the highest one.
func (w *ReplayWindow) IsHighest(n uint64) bool { return n == w.highest }
