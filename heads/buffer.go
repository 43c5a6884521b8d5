package heads

import (
	"context"
	"net"

	"github.com/cranberrybay/cranberrybay/socket"
)

// Listen listens on a TCP address, like net.Listen. The kernel holds no more for the connections than the account
// allows, before they are accepted and after. The caller passes the listener to Listener.
func (a *Account) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	return socket.Listen(ctx, network, address, socket.Config{Receive: a.cfg.Receive, Queue: a.cfg.Conns})
}

// widen gives the connection a larger receive buffer for a long body, if the account has the memory. length is that of
// the body, negative if it is not known. The caller holds mu.
func (c *Conn) widen(length int64) {
	a := c.account
	if !c.wide && a.cfg.Receive > 0 && (length < 0 || length > int64(a.cfg.Receive)) {
		c.wide = a.loans.Widen(c.Conn)
	}
}

// narrow takes the larger receive buffer away, unless bytes of the next request fill it. The caller holds mu.
func (c *Conn) narrow() {
	if c.wide {
		c.wide = !c.account.loans.Narrow(c.Conn, c.account.cfg.Receive)
	}
}

// endLoan returns the memory of the larger receive buffer of a connection that closes. The caller holds mu.
func (c *Conn) endLoan() {
	if c.wide {
		c.wide = false
		c.account.loans.Return()
	}
}
