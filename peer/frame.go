package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/proto"
)

// kind numbers the calls. The numbers are part of the protocol.
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
	kindNews
	kinds // number of kinds
)

var kindNames = [kinds]string{"fault", "hello", "ping", "announce", "records", "claim", "forward", "report", "share", "news"}

// Bounds of messages in bytes.
const (
	smallMessage = 64 << 10
	listMessage  = 1 << 20 // lists of 980 members take about 120 KB
	largeMessage = 8 << 20 // a body of 4 MiB and headers, or a tree of documents
)

var bounds = [kinds]int{
	kindFault: smallMessage, kindHello: smallMessage, kindPing: smallMessage, kindAnnounce: smallMessage,
	kindRecords: largeMessage, kindClaim: smallMessage, kindForward: largeMessage, kindReport: listMessage, kindShare: listMessage, kindNews: listMessage,
}

// errFrame reports a frame that breaks the format or its bound.
var errFrame = errors.New("bad frame")

// header precedes each message: kind, time left in milliseconds, length.
type header struct {
	kind kind
	left uint32
	size uint32
}

const headerSize = 9

// writeFrame sends one message in a single write.
func writeFrame(w io.Writer, k kind, left time.Duration, m proto.Message) error {
	b := make([]byte, headerSize, headerSize+proto.Size(m))
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	size := len(b) - headerSize
	if size > bounds[k] {
		return fmt.Errorf("%w: %s message of %d bytes is over the bound of %d", errFrame, kindNames[k], size, bounds[k])
	}
	b[0] = byte(k)
	binary.BigEndian.PutUint32(b[1:], uint32(max(0, left.Milliseconds())))
	binary.BigEndian.PutUint32(b[5:], uint32(size))
	if _, err := w.Write(b); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}

// readFrame reads one message. It allocates only up to the bound of its kind.
func readFrame(r io.Reader) (header, []byte, error) {
	var b [headerSize]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		return header{}, nil, fmt.Errorf("read frame: %w", err)
	}
	h := header{kind: kind(b[0]), left: binary.BigEndian.Uint32(b[1:]), size: binary.BigEndian.Uint32(b[5:])}
	if h.kind >= kinds {
		return h, nil, fmt.Errorf("%w: kind %d is not known", errFrame, h.kind)
	}
	if int64(h.size) > int64(bounds[h.kind]) {
		return h, nil, fmt.Errorf("%w: %s message of %d bytes is over the bound of %d", errFrame, kindNames[h.kind], h.size, bounds[h.kind])
	}
	payload := make([]byte, h.size)
	if _, err := io.ReadFull(r, payload); err != nil {
		return h, nil, fmt.Errorf("read frame: %w", err)
	}
	return h, payload, nil
}

func decode(payload []byte, m proto.Message) error {
	if err := proto.Unmarshal(payload, m); err != nil {
		return fmt.Errorf("%w: %w", errFrame, err)
	}
	return nil
}
