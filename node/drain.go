package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/cranberrybay/cranberrybay/entry"
)

// drainer drains the process: it refuses new requests, waits for requests in
// flight and for callers with an old address list, then stops the process.
type drainer struct {
	entry       *entry.Handler
	peers       *peers
	linger      time.Duration
	limit       time.Duration // of a planned stop
	shutdowner  fx.Shutdowner
	once        sync.Once
	lingerUntil time.Time // set by start
	endAt       time.Time // when the requests in flight get their final answers; set by start
}

func newDrainer(s Settings, e *entry.Handler, p *peers, shutdowner fx.Shutdowner) *drainer {
	return &drainer{entry: e, peers: p, linger: s.Listen.Linger.Duration, limit: s.stopLimit(), shutdowner: shutdowner}
}

// start removes the process from the address lists, then refuses new requests.
// The listeners stay open.
func (d *drainer) start() {
	d.once.Do(func() {
		d.peers.leaveMembership()
		now := time.Now()
		d.lingerUntil, d.endAt = now.Add(d.linger), now.Add(d.limit-endReserve)
		d.entry.Drain()
	})
}

// endReserve is the part of a planned stop that is left for the final answers of the
// requests that are still in flight, and for the parts that stop after the listeners.
const endReserve = 2 * entry.EndTimeout

// bound starts the drain and returns a context that ends when the requests in flight
// must get their final answers.
func (d *drainer) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	d.start()
	at := d.endAt
	if deadline, ok := ctx.Deadline(); ok && deadline.Add(-endReserve).Before(at) {
		at = deadline.Add(-endReserve)
	}
	return context.WithDeadline(ctx, at)
}

// drainAndStop starts the drain that an operator requested and stops the process
// in the background once the drain is done or its time is over.
func (d *drainer) drainAndStop() {
	ctx, cancel := d.bound(context.Background())
	go func() {
		defer cancel()
		d.entry.WaitDrained(ctx, d.lingerUntil)
		_ = d.shutdowner.Shutdown() // fails only if the application is stopping already
	}()
}
