package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/cranberrybay/cranberrybay/entry"
)

// drainer lets the process leave: it refuses new requests, waits for those in
// flight and for callers with an old address list, then stops the process.
type drainer struct {
	entry  *entry.Handler
	peers  *peers
	linger time.Duration
	stop   fx.Shutdowner
	once   sync.Once
	until  time.Time // end of lingering, set once
}

func newDrainer(s Settings, e *entry.Handler, p *peers, stop fx.Shutdowner) *drainer {
	return &drainer{entry: e, peers: p, linger: s.Listen.Linger.Duration, stop: stop}
}

// begin takes the process off the address lists before it refuses new
// requests. The listeners stay open.
func (d *drainer) begin() {
	d.once.Do(func() {
		d.peers.leave()
		d.until = time.Now().Add(d.linger)
		d.entry.Drain()
	})
}

// wait returns when no request is in flight and lingering has ended.
func (d *drainer) wait(ctx context.Context) {
	d.begin()
	d.entry.WaitDrained(ctx, d.until)
}

// leave is the operator's drain: the process stops by itself when it is done.
func (d *drainer) leave() {
	d.begin()
	go func() {
		d.wait(context.Background())
		_ = d.stop.Shutdown() // fails only when the application is stopping already
	}()
}
