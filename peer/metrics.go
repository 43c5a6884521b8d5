package peer

import (
	"fmt"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// counters holds the metrics of one Transport.
type counters struct {
	set                              *metrics.Set
	sent, received                   [kindCount]*metrics.Counter // messages by kind
	sentBytes, receivedBytes         [kindCount]*metrics.Counter // bytes of messages by kind, with frame headers
	wireSentBytes, wireReceivedBytes *metrics.Counter            // bytes on the TCP connections, with TLS and yamux
}

func newCounters() *counters {
	c := &counters{set: metrics.NewSet()}
	for k, name := range kindNames {
		c.sent[k] = c.set.NewCounter(fmt.Sprintf(`cranberrybay_peer_messages{kind=%q,way="sent"}`, name))
		c.received[k] = c.set.NewCounter(fmt.Sprintf(`cranberrybay_peer_messages{kind=%q,way="received"}`, name))
		c.sentBytes[k] = c.set.NewCounter(fmt.Sprintf(`cranberrybay_peer_bytes{kind=%q,way="sent"}`, name))
		c.receivedBytes[k] = c.set.NewCounter(fmt.Sprintf(`cranberrybay_peer_bytes{kind=%q,way="received"}`, name))
	}
	c.wireSentBytes = c.set.NewCounter(`cranberrybay_peer_wire_bytes{way="sent"}`)
	c.wireReceivedBytes = c.set.NewCounter(`cranberrybay_peer_wire_bytes{way="received"}`)
	return c
}

func (c *counters) countSent(k kind, n int) { c.sent[k].Inc(); c.sentBytes[k].Add(n + headerSize) }

func (c *counters) countReceived(k kind, n int) {
	c.received[k].Inc()
	c.receivedBytes[k].Add(n + headerSize)
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	counters *counters
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.wireReceivedBytes.Add(n)
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.wireSentBytes.Add(n)
	return n, err
}
