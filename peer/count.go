package peer

import (
	"fmt"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// counts holds the counters of one Node.
type counts struct {
	set                *metrics.Set
	sent, received     [kinds]*metrics.Counter // messages
	sentB, receivedB   [kinds]*metrics.Counter // bytes of messages with their headers
	wireSent, wireRecv *metrics.Counter        // bytes on the connections, with TLS and yamux
}

func newCounts() *counts {
	c := &counts{set: metrics.NewSet()}
	for k, name := range kindNames {
		c.sent[k] = c.set.NewCounter(fmt.Sprintf(`cranberrybay_peer_messages{kind=%q,way="sent"}`, name))
		c.received[k] = c.set.NewCounter(fmt.Sprintf(`cranberrybay_peer_messages{kind=%q,way="received"}`, name))
		c.sentB[k] = c.set.NewCounter(fmt.Sprintf(`cranberrybay_peer_bytes{kind=%q,way="sent"}`, name))
		c.receivedB[k] = c.set.NewCounter(fmt.Sprintf(`cranberrybay_peer_bytes{kind=%q,way="received"}`, name))
	}
	c.wireSent = c.set.NewCounter(`cranberrybay_peer_wire_bytes{way="sent"}`)
	c.wireRecv = c.set.NewCounter(`cranberrybay_peer_wire_bytes{way="received"}`)
	return c
}

func (c *counts) out(k kind, size int) { c.sent[k].Inc(); c.sentB[k].Add(size + headerSize) }
func (c *counts) in(k kind, size int)  { c.received[k].Inc(); c.receivedB[k].Add(size + headerSize) }

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	counts *counts
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counts.wireRecv.Add(n)
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counts.wireSent.Add(n)
	return n, err
}
