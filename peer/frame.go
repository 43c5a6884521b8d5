package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/proto"
)

// kind is the type of a message. The numeric values are part of the protocol.
type kind uint8

const (
	kindFault kind = iota // reply to a call that failed
	kindHello
	kindPing
	kindAnnounce
	kindRecords
	kindClaim
	kindForward
	kindReport
	kindShare
	kindEvents
	kindSuspects
	kindCount // number of kinds, not a kind itself
)

// kindNames are the values of the label kind in metrics.
var kindNames = [kindCount]string{"fault", "hello", "ping", "announce", "records", "claim", "forward", "report", "share", "news", "suspects"}

// Maximum sizes of encoded messages in bytes.
const (
	smallMessageLimit = 64 << 10
	listMessageLimit  = 1 << 20 // a list of 980 members takes about 120 KB
	largeMessageLimit = 8 << 20 // a request body of 4 MiB with headers, or all documents of the configuration
)

// messageLimits are the maximum sizes of encoded messages in bytes, by kind.
var messageLimits = [kindCount]int{
	kindFault: smallMessageLimit, kindHello: smallMessageLimit, kindPing: smallMessageLimit, kindAnnounce: smallMessageLimit,
	kindRecords: largeMessageLimit, kindClaim: smallMessageLimit, kindForward: largeMessageLimit, kindReport: listMessageLimit, kindShare: listMessageLimit, kindEvents: listMessageLimit,
	kindSuspects: listMessageLimit,
}

// errInvalidFrame reports a frame that can't be decoded, is of an unexpected kind
// or is over the size limit of its kind.
var errInvalidFrame = errors.New("invalid frame")

// header precedes each message.
type header struct {
	kind     kind
	timeLeft uint32 // until the deadline of the call, in milliseconds
	size     uint32 // of the encoded message, in bytes
}

// headerSize is the encoded size of a header in bytes.
const headerSize = 9

// writeFrame writes a message with its header in a single call of Write. The
// time left is that until the deadline of the call, 0 for a reply or a hello.
func writeFrame(w io.Writer, k kind, timeLeft time.Duration, m proto.Message) error {
	b := make([]byte, headerSize, headerSize+proto.Size(m))
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	size := len(b) - headerSize
	if size > messageLimits[k] {
		return fmt.Errorf("%w: %s message of %d bytes is over the limit of %d", errInvalidFrame, kindNames[k], size, messageLimits[k])
	}
	b[0] = byte(k)
	binary.BigEndian.PutUint32(b[1:], uint32(max(0, timeLeft.Milliseconds())))
	binary.BigEndian.PutUint32(b[5:], uint32(size))
	if _, err := w.Write(b); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}

// readFrame reads a header and the encoded message after it. It checks the size
// against the limit of the kind before it allocates memory for the message.
func readFrame(r io.Reader) (header, []byte, error) {
	var b [headerSize]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		return header{}, nil, fmt.Errorf("read frame: %w", err)
	}
	h := header{kind: kind(b[0]), timeLeft: binary.BigEndian.Uint32(b[1:]), size: binary.BigEndian.Uint32(b[5:])}
	if h.kind >= kindCount {
		return h, nil, fmt.Errorf("%w: unknown kind %d", errInvalidFrame, h.kind)
	}
	if int64(h.size) > int64(messageLimits[h.kind]) {
		return h, nil, fmt.Errorf("%w: %s message of %d bytes is over the limit of %d", errInvalidFrame, kindNames[h.kind], h.size, messageLimits[h.kind])
	}
	payload := make([]byte, h.size)
	if _, err := io.ReadFull(r, payload); err != nil {
		return h, nil, fmt.Errorf("read frame: %w", err)
	}
	return h, payload, nil
}

// decode decodes an encoded message into m.
func decode(payload []byte, m proto.Message) error {
	if err := proto.Unmarshal(payload, m); err != nil {
		return fmt.Errorf("%w: %w", errInvalidFrame, err)
	}
	return nil
}
