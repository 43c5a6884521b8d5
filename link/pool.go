package link

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
)

const (
	// minKept is the number of idle connections that are kept for requests that may use one, however few there
	// have been lately.
	minKept = 4
	// demandWindow is the time over which such requests count, and up to as long again.
	demandWindow = 8 * time.Second
	// roomWait bounds how long a request waits for room, and roomWaitShare is the share of its time that it
	// waits at most: the rest is for the server, or for the caller to come back.
	roomWait      = 2 * time.Second
	roomWaitShare = 0.5
	// maxWaitersPerConn bounds the requests that wait for room, as a multiple of the limit: each waits for
	// about one answer.
	maxWaitersPerConn = 2
)

var errNoRoom = errors.New("all connections to the server that this process may have are in use")

// pool holds the connections to one address. Client.mu guards it.
type pool struct {
	idle    []*conn // the one used last at the end
	open    int     // connections that are idle, in use or being opened
	waiters []*waiter

	// The demand for idle connections: requests in flight that may use one, and their peaks in the present
	// window and in the one before it.
	reusing, peak, lastPeak int
	windowStart             time.Time
}

// waiter is a request that waits for room. granted receives the connection that it takes over, or nil if it may open
// one.
type waiter struct {
	allowReuse bool
	granted    chan *conn // of capacity 1
}

// begin counts a request that may use an idle connection.
func (p *pool) begin(now time.Time) {
	p.turn(now)
	p.reusing++
	p.peak = max(p.peak, p.reusing)
}

// end is the counterpart of begin.
func (p *pool) end(now time.Time) {
	p.turn(now)
	p.reusing--
}

// turn starts a new window if the present one has ended.
func (p *pool) turn(now time.Time) {
	switch age := now.Sub(p.windowStart); {
	case age < demandWindow:
		return
	case age < 2*demandWindow:
		p.lastPeak = p.peak
	default:
		p.lastPeak = p.reusing
	}
	p.peak, p.windowStart = p.reusing, now
}

// kept returns how many idle connections are worth keeping: those that requests may need, which peaks of the demand
// show. A limit of 0 is none.
func (p *pool) kept(now time.Time, limit int) int {
	p.turn(now)
	n := max(p.peak, p.lastPeak, minKept) - p.reusing
	if limit > 0 {
		n = min(n, limit-(p.open-len(p.idle)))
	}
	return min(max(n, 0), maxIdlePerServer)
}

// hasRoom reports whether another connection may be opened. A limit of 0 is none.
func (p *pool) hasRoom(limit int) bool { return limit <= 0 || p.open < limit }

// takeSurplus removes the idle connections that have expired, and the oldest ones beyond those worth keeping, and
// returns them.
func (p *pool) takeSurplus(now time.Time, limit int) []*conn {
	var surplus []*conn
	p.idle = slices.DeleteFunc(p.idle, func(k *conn) bool {
		expired := !now.Before(k.expires)
		if expired {
			surplus = append(surplus, k)
		}
		return expired
	})
	if n := len(p.idle) - p.kept(now, limit); n > 0 {
		surplus = append(surplus, p.idle[:n]...)
		p.idle = slices.Delete(p.idle, 0, n)
	}
	return surplus
}

// grant lets waiting requests open connections while there is room.
func (p *pool) grant(limit int) {
	for len(p.waiters) > 0 && p.hasRoom(limit) {
		p.open++
		p.waiters[0].granted <- nil
		p.waiters = slices.Delete(p.waiters, 0, 1)
	}
}

// forget removes a waiter. It returns false if it was granted room.
func (p *pool) forget(w *waiter) bool {
	i := slices.Index(p.waiters, w)
	if i < 0 {
		return false
	}
	p.waiters = slices.Delete(p.waiters, i, i+1)
	return true
}

// isUnused reports whether nothing would be lost with the pool.
func (p *pool) isUnused() bool {
	return p.open == 0 && p.reusing == 0 && p.peak == 0 && p.lastPeak == 0 && len(p.waiters) == 0
}

// poolOf returns the pool of an address. The caller holds mu.
func (c *Client) poolOf(address string) *pool {
	p := c.pools[address]
	if p == nil {
		p = &pool{windowStart: time.Now()}
		c.pools[address] = p
	}
	return p
}

// acquire returns a connection for a request: an idle one if the request may use it, or a new one. It waits for room
// if there is none, within the time of the request.
func (c *Client) acquire(ctx context.Context, address string, rq *Request) (*conn, error) {
	if rq.AllowReuse {
		c.mu.Lock()
		c.poolOf(address).begin(time.Now())
		c.mu.Unlock()
	}
	k, err := c.takeOrOpen(ctx, address, rq)
	if err != nil && rq.AllowReuse {
		c.mu.Lock()
		c.poolOf(address).end(time.Now())
		c.mu.Unlock()
	}
	return k, err
}

// abandon ends the use of a connection on which no request was sent.
func (c *Client) abandon(k *conn, rq *Request) {
	_ = k.Close()
	if rq.AllowReuse {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.poolOf(k.address).end(time.Now())
	}
}

// takeOrOpen is acquire without the count of requests.
func (c *Client) takeOrOpen(ctx context.Context, address string, rq *Request) (*conn, error) {
	if rq.AllowReuse {
		if k := c.takeIdle(address); k != nil {
			return k, nil
		}
	}
	k, err := c.makeRoom(ctx, address, rq)
	if k != nil || err != nil {
		return k, err
	}
	raw, err := c.cfg.Dial(ctx, address)
	if err != nil {
		c.release(address)
		return nil, newError(fault.NotRun, "the server can't be reached", err)
	}
	c.opened.Add(1)
	return c.newConn(raw, address), nil
}

// makeRoom takes the room for a new connection, that of an idle one if there is no other. If it has to wait, it may
// return the connection of a request that has ended instead.
func (c *Client) makeRoom(ctx context.Context, address string, rq *Request) (*conn, error) {
	limit := c.cfg.Limit(address)
	c.mu.Lock()
	p := c.poolOf(address)
	switch {
	case rq.Urgent || limit <= 0 || (len(p.waiters) == 0 && p.hasRoom(limit)):
		p.open++
		c.mu.Unlock()
		return nil, nil
	case len(p.idle) > 0:
		oldest := p.idle[0]
		p.idle = slices.Delete(p.idle, 0, 1)
		c.idleCount--
		c.mu.Unlock()
		oldest.closeAndAwait()
		return nil, nil
	case len(p.waiters) >= maxWaitersPerConn*limit:
		c.mu.Unlock()
		return nil, c.noRoom(nil)
	}
	w := &waiter{allowReuse: rq.AllowReuse, granted: make(chan *conn, 1)}
	p.waiters = append(p.waiters, w)
	c.mu.Unlock()
	return c.awaitRoom(ctx, address, w)
}

// awaitRoom waits until a request is granted room.
func (c *Client) awaitRoom(ctx context.Context, address string, w *waiter) (*conn, error) {
	wait := roomWait
	if end, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Duration(roomWaitShare*float64(time.Until(end))))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case k := <-w.granted:
		return k, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	forgotten := c.poolOf(address).forget(w)
	c.mu.Unlock()
	if forgotten {
		return nil, c.noRoom(ctx.Err())
	}
	k := <-w.granted
	if ctx.Err() == nil {
		return k, nil
	}
	if k != nil {
		c.putIdle(k)
	} else {
		c.release(address)
	}
	return nil, c.noRoom(ctx.Err())
}

// noRoom returns the error of a request that got no connection. cause is the error of its context, if that has ended.
func (c *Client) noRoom(cause error) error {
	if cause != nil {
		return newError(fault.NotRun, "the request ended before it was sent", cause)
	}
	c.refused.Add(1)
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Overload, Reason: "no connection to the server is free", Cause: errNoRoom})
}

// release gives the room of a connection that was closed, or could not be opened, to the next request.
func (c *Client) release(address string) {
	limit := c.cfg.Limit(address)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.poolOf(address)
	p.open--
	p.grant(limit)
}

// endExchange ends the count of a request.
func (c *Client) endExchange(x *exchange) {
	if !x.reuses {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.poolOf(x.conn.address).end(time.Now())
}

// putIdle gives a connection to a request that waits, or adds it to the pool, and closes those that the pool doesn't
// need.
func (c *Client) putIdle(k *conn) {
	limit := c.cfg.Limit(k.address)
	c.mu.Lock()
	p := c.poolOf(k.address)
	if len(p.waiters) > 0 && p.waiters[0].allowReuse && (limit <= 0 || p.open <= limit) {
		p.waiters[0].granted <- k
		p.waiters = slices.Delete(p.waiters, 0, 1)
		c.mu.Unlock()
		return
	}
	if len(p.waiters) > 0 {
		c.mu.Unlock()
		go func() {
			k.closeAndAwait()
			c.release(k.address)
		}()
		return
	}
	surplus := []*conn{k}
	if c.idleCount < c.cfg.MaxIdle {
		p.idle = append(p.idle, k)
		c.idleCount++
		surplus = p.takeSurplus(time.Now(), limit)
		c.idleCount -= len(surplus)
	}
	c.mu.Unlock()
	closeAll(surplus)
}

func closeAll(conns []*conn) {
	for _, k := range conns {
		_ = k.Close()
	}
}

// takeIdle removes the idle connection used last from the pool and returns it, or nil if
// none is open. It closes those that are not.
func (c *Client) takeIdle(address string) *conn {
	now := time.Now()
	for {
		c.mu.Lock()
		p := c.poolOf(address)
		n := len(p.idle)
		if n == 0 {
			c.mu.Unlock()
			return nil
		}
		k := p.idle[n-1]
		p.idle = p.idle[:n-1]
		c.idleCount--
		c.mu.Unlock()
		if now.Before(k.expires) && isIdle(k.Conn) {
			return k
		}
		_ = k.Close()
	}
}

// CloseIdle closes the idle connections to an address. It is called when the server has
// left or restarted.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	p := c.poolOf(address)
	conns := p.idle
	p.idle = nil
	c.idleCount -= len(conns)
	c.mu.Unlock()
	closeAll(conns)
}

// CloseExpired closes the connections whose idle timeout has passed, and those that no request is likely to need. It
// must be called regularly, more often than idleMargin, so that a server that states its timeout does not close first.
func (c *Client) CloseExpired() {
	c.mu.Lock()
	addresses := make([]string, 0, len(c.pools))
	for address := range c.pools {
		addresses = append(addresses, address)
	}
	c.mu.Unlock()
	for _, address := range addresses {
		c.closeExpired(address)
	}
}

// closeExpired is CloseExpired for one address.
func (c *Client) closeExpired(address string) {
	limit, now := c.cfg.Limit(address), time.Now()
	c.mu.Lock()
	p := c.poolOf(address)
	surplus := p.takeSurplus(now, limit)
	c.idleCount -= len(surplus)
	p.grant(limit)
	if p.isUnused() {
		delete(c.pools, address)
	}
	c.mu.Unlock()
	closeAll(surplus)
}
