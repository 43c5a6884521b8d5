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
	shutdowner  fx.Shutdowner
	once        sync.Once
	lingerUntil time.Time // set by start
}

func newDrainer(s Settings, e *entry.Handler, p *peers, shutdowner fx.Shutdowner) *drainer {
	return &drainer{entry: e, peers: p, linger: s.Listen.Linger.Duration, shutdowner: shutdowner}
}

// start removes the process from the address lists, then refuses new requests.
// The listeners stay open.
func (d *drainer) start() {
	d.once.Do(func() {
		d.peers.leaveMembership()
		d.lingerUntil = time.Now().Add(d.linger)
		d.entry.Drain()
	})
}

// wait starts the drain and returns when no request is in flight and the linger
// time has passed.
func (d *drainer) wait(ctx context.Context) {
	d.start()
	d.entry.WaitDrained(ctx, d.lingerUntil)
}

// drainAndStop starts the drain that an operator requested and stops the process
// in the background once the drain is done.
func (d *drainer) drainAndStop() {
	d.start()
	go func() {
		d.wait(context.Background())
		_ = d.shutdowner.Shutdown() // fails only if the application is stopping already
	}()
}
