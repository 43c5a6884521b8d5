package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/beat"
	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/seal"
	"github.com/cranberrybay/cranberrybay/table"
	"github.com/cranberrybay/cranberrybay/watch"
)

// Rows of the entry processes: one for the hub of each failure domain, and the key of
// their messages.
const (
	nodeTable = "nodes/"
	hubRows   = nodeTable + "hub/"
	keyRow    = nodeTable + "key"
)

// contact is the value of a hub's row.
type contact struct {
	Name    string `json:"name"`
	Address string `json:"address"` // of heartbeats
	Callers string `json:"callers"`
	Weight  uint32 `json:"weight"` // thousandths of a core
}

// secret is the value of the row with the key.
type secret struct {
	Number uint32    `json:"number"`
	Secret []byte    `json:"secret"`
	Made   time.Time `json:"made"`
}

const (
	// headStart is how long a process without any processor time waits for a larger
	// one to make itself known as the hub.
	headStart = 500 * time.Millisecond
	// headSpread keeps processes of one size apart.
	headSpread = 100 * time.Millisecond
	// callTimeout bounds a call to the store for a row. A slow one takes 0.5 s.
	callTimeout = 1500 * time.Millisecond
	// againAfter is the pause before a failed read of the rows is repeated.
	againAfter = 300 * time.Millisecond
	// hubSettles is how long a process is the hub before its row says so: in a rolling
	// restart the hub changes often.
	hubSettles = 1500 * time.Millisecond
	// hubLooks is the interval of looking whether this process is the hub.
	hubLooks = 500 * time.Millisecond
	// rowsEvery is the interval in which a hub reads the rows again: hubs that lost
	// sight of each other find each other by them.
	rowsEvery = time.Minute
	// keyAfter bounds the reads of the key because of messages under one that is not
	// known, which anybody can send.
	keyAfter = 5 * time.Second
	// keyLife is the age after which the key is replaced.
	keyLife = 24 * time.Hour
	// maxNodes bounds the rows of one read: failure domains and the key.
	maxNodes = 100
)

// nodes finds the other entry processes at the start, and keeps the row of the hub.
type nodes struct {
	cfg nodesConfig

	joined chan struct{} // closed when first is set
	first  map[string]watch.State
	newer  atomic.Bool // a key that this process does not know is in use
}

// nodesConfig holds the parts of nodes.
type nodesConfig struct {
	Self   beat.Peer
	First  bool // the whole system starts for the first time
	Rows   *table.Client
	Ring   *beat.Membership
	Sealer *seal.Sealer
	// Fetch asks a process for what it knows; wait lets it read that itself first.
	Fetch func(ctx context.Context, address string, wait bool) (snapshot, error)
	// Size is told the number of entry processes.
	Size func(n int)
	// Holds tells whether this process holds the lease for placing layers: it also
	// replaces the key.
	Holds func() bool
	Log   zerolog.Logger
}

func newNodes(cfg nodesConfig) *nodes {
	return &nodes{cfg: cfg, joined: make(chan struct{})}
}

// book is what the rows say.
type book struct {
	hubs      map[string]beat.Peer // by failure domain
	revisions map[string]uint64    // of the hubs' rows
	key       secret
	revision  uint64 // of the row with the key
}

// run joins the other processes and then keeps the rows.
func (n *nodes) run(ctx context.Context) {
	n.join(ctx)
	close(n.joined)
	n.keep(ctx)
}

// head returns the wait that lets larger processes go first.
func (n *nodes) head() time.Duration {
	return headStart*time.Duration(thousand-min(n.cfg.Self.Weight, thousand))/thousand + rand.N(headSpread)
}

// join learns the key and finds a process that knows the platform's tables: the hub of
// this failure domain, or else that of another one. Where this failure domain has no
// hub that answers, this process makes itself known as the hub. Where no process
// answers, it reads the tables itself.
func (n *nodes) join(ctx context.Context) {
	if n.cfg.First {
		sleep(ctx, n.head())
	}
	waited := n.cfg.First
	for ctx.Err() == nil {
		b, err := n.read(ctx)
		if errors.Is(err, table.ErrConflict) {
			continue // another process has just made the key
		}
		if err != nil {
			n.cfg.Log.Warn().Err(err).Msg("rows of the entry processes not read")
			sleep(ctx, againAfter/2+rand.N(againAfter))
			continue
		}
		near := b.hubs[n.cfg.Self.Domain]
		self := near.Name == n.cfg.Self.Name
		if near.Name != "" && !self && n.ask(ctx, near, true) {
			n.known(b)
			return
		}
		if !self && !waited {
			waited = true
			sleep(ctx, n.head())
			continue
		}
		if !self && n.claim(ctx, b) != nil {
			sleep(ctx, againAfter/2+rand.N(againAfter))
			continue
		}
		n.known(b)
		for domain, p := range b.hubs {
			if domain != n.cfg.Self.Domain && n.ask(ctx, p, false) {
				return
			}
		}
		return
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ask fetches the state from a process.
func (n *nodes) ask(ctx context.Context, p beat.Peer, wait bool) bool {
	s, err := n.cfg.Fetch(ctx, p.Address, wait)
	if err != nil {
		n.cfg.Log.Info().Err(err).Str("peer", p.Name).Str("address", p.Address).Msg("no state from another process")
		return false
	}
	n.first = s.tables
	n.cfg.Ring.AddPeers(s.peers)
	n.cfg.Log.Info().Str("peer", p.Name).Int("peers", len(s.peers)).Msg("state taken from another process")
	return true
}

// known tells the ring of the hubs.
func (n *nodes) known(b book) {
	var all []beat.Peer
	for _, p := range b.hubs {
		all = append(all, p)
	}
	n.cfg.Ring.AddPeers(all)
}

// read reads the rows, and makes the key when there is none.
func (n *nodes) read(ctx context.Context) (book, error) {
	b := book{hubs: map[string]beat.Peer{}, revisions: map[string]uint64{}}
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := n.cfg.Rows.Scan(cctx, nodeTable, "", maxNodes)
	if err != nil {
		return b, err
	}
	for _, r := range rows {
		domain, isHub := strings.CutPrefix(r.Key(), hubRows)
		switch {
		case isHub:
			var c contact
			b.revisions[domain] = r.Revision()
			if err := json.Unmarshal(r.Value(), &c); err != nil {
				n.cfg.Log.Warn().Err(err).Str("domain", domain).Msg("row of a hub can't be read")
				continue
			}
			b.hubs[domain] = beat.Peer{Name: c.Name, Address: c.Address, CallerAddress: c.Callers, Domain: domain, Weight: c.Weight}
		case r.Key() == keyRow:
			if err := json.Unmarshal(r.Value(), &b.key); err != nil {
				return b, fmt.Errorf("decode key: %w", err)
			}
			b.revision = r.Revision()
		}
	}
	if b.key.Number == 0 {
		if b.key, err = n.makeKey(ctx, 1, b.revision); err != nil {
			return b, err
		}
	}
	return b, n.cfg.Sealer.AddKey(seal.Key{Number: b.key.Number, Secret: b.key.Secret})
}

// makeKey writes a key where the row has a revision.
func (n *nodes) makeKey(ctx context.Context, number uint32, revision uint64) (secret, error) {
	s := secret{Number: number, Secret: seal.NewKey(number).Secret, Made: time.Now().UTC()}
	if err := n.write(ctx, keyRow, revision, s); err != nil {
		return s, fmt.Errorf("write key %d: %w", number, err)
	}
	n.cfg.Log.Info().Uint32("number", number).Msg("key of messages written")
	return s, nil
}

func (n *nodes) write(ctx context.Context, key string, revision uint64, v any) error {
	value, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode row: %w", err)
	}
	var b table.Batch
	b.Expect(key, revision).Put(key, value)
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = n.cfg.Rows.Commit(cctx, b)
	return err
}

// claim makes this process known as the hub of its failure domain.
func (n *nodes) claim(ctx context.Context, b book) error {
	s := n.cfg.Self
	err := n.write(ctx, hubRows+s.Domain, b.revisions[s.Domain], contact{Name: s.Name, Address: s.Address, Callers: s.CallerAddress, Weight: s.Weight})
	n.cfg.Log.Info().Err(err).Str("before", b.hubs[s.Domain].Name).Msg("row of the hub written")
	return err
}

// keep writes the row of the hub when this process is, and reads the rows again now
// and then.
func (n *nodes) keep(ctx context.Context) {
	written := "" // name in the hub's row, as far as this process knows
	next := clock.Now() + rowsEvery
	asked := clock.Now()
	for ctx.Err() == nil {
		n.cfg.Size(n.cfg.Ring.Size())
		hub, since := n.cfg.Ring.HubPeer()
		now := clock.Now()
		var err error
		switch {
		case hub.Name == n.cfg.Self.Name && since > hubSettles && (written != hub.Name || now > next):
			written, err = n.update(ctx)
			next = now + rowsEvery
		case n.newer.Load() && now-asked > keyAfter:
			asked = now
			n.newer.Store(false)
			_, err = n.read(ctx)
		}
		if hub.Name != n.cfg.Self.Name {
			written = ""
		}
		if err != nil {
			n.cfg.Log.Warn().Err(err).Msg("rows of the entry processes not kept")
		}
		sleep(ctx, hubLooks/2+rand.N(hubLooks))
	}
}

// update reads the rows, writes that of this process's failure domain unless it names
// this process, and replaces the key when it is old. It returns the name in the row.
func (n *nodes) update(ctx context.Context) (string, error) {
	b, err := n.read(ctx)
	if err != nil {
		return "", err
	}
	n.known(b)
	if time.Since(b.key.Made) > keyLife && n.cfg.Holds() {
		if _, err := n.makeKey(ctx, b.key.Number+1, b.revision); err != nil && !errors.Is(err, table.ErrConflict) {
			return "", err
		}
	}
	if b.hubs[n.cfg.Self.Domain] == n.cfg.Self {
		return n.cfg.Self.Name, nil
	}
	if err := n.claim(ctx, b); err != nil {
		return "", err
	}
	return n.cfg.Self.Name, nil
}

// firstState returns the table that another process told of at the start; false when
// the platform has to be read.
func (n *nodes) firstState(ctx context.Context, name string) (watch.State, bool) {
	select {
	case <-n.joined:
	case <-ctx.Done():
		return watch.State{}, false
	}
	s, ok := n.first[name]
	return s, ok
}
