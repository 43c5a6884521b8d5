package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/beat"
	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/intake"
	"github.com/cranberrybay/cranberrybay/label"
	"github.com/cranberrybay/cranberrybay/pacer"
	"github.com/cranberrybay/cranberrybay/poison"
	"github.com/cranberrybay/cranberrybay/seal"
	"github.com/cranberrybay/cranberrybay/table"
	"github.com/cranberrybay/cranberrybay/watch"
)

// Keys of the rows that entry processes share: one row for the hub of each failure
// domain, and one for the key that seals their messages.
const (
	rowPrefix    = "nodes/"
	hubRowPrefix = rowPrefix + "hub/"
	sealKeyRow   = rowPrefix + "key"
	poisonRow    = rowPrefix + "poison" // quarantined parts of prompts
)

// hubRow is the value of a hub's row.
type hubRow struct {
	Name    string `json:"name"`
	Address string `json:"address"` // for heartbeats
	Callers string `json:"callers"`
	Weight  uint32 `json:"weight"` // thousandths of a core
}

// sealKey is the value of the row with the key.
type sealKey struct {
	Number uint32    `json:"number"`
	Secret []byte    `json:"secret"`
	Made   time.Time `json:"made"`
}

const (
	// claimDelay is how long a process with the smallest weight waits before it claims
	// the hub's row, so that larger processes go first.
	claimDelay = 500 * time.Millisecond
	// claimJitter spreads the claims of processes of the same size.
	claimJitter = 100 * time.Millisecond
	// storeTimeout bounds a call to the store. A slow store takes 0.5 s.
	storeTimeout = 1500 * time.Millisecond
	// storeRetryDelay is the mean pause before a failed call to the store is retried.
	storeRetryDelay = 300 * time.Millisecond
	// hubRowDelay is how long a process must be the hub before it writes the hub's row,
	// because the hub changes often during a rolling restart.
	hubRowDelay = 1500 * time.Millisecond
	// hubCheckInterval is the mean interval between checks whether this process is the
	// hub.
	hubCheckInterval = 500 * time.Millisecond
	// rowsInterval is the interval at which a hub reads the rows again, so that hubs
	// that lost contact find each other.
	rowsInterval = time.Minute
	// pollerRowsInterval is this interval for the two hubs that poll the platform for all
	// processes, and for all hubs after a failure. Rows that another writer has spoiled keep processes that start from finding
	// the others; until the rows are written again these form a system of their own.
	pollerRowsInterval = 2 * time.Second
	// sealKeyReadInterval is the minimum interval between reads of the key that are
	// triggered by messages under an unknown key. Anybody can send such messages.
	sealKeyReadInterval = 5 * time.Second
	// sealKeyLifetime is the age after which the key is replaced.
	sealKeyLifetime = 24 * time.Hour
	// maxKeyNumber bounds the number of a key, which grows by one a day. The next key has a greater one.
	maxKeyNumber = 1 << 31
)

// decodeHub returns the hub of a failure domain from its row. Another writer may have written it.
func decodeHub(domain string, raw []byte) (beat.Peer, error) {
	var hub hubRow
	if err := json.Unmarshal(raw, &hub); err != nil {
		return beat.Peer{}, fmt.Errorf("decode hub: %w", err)
	}
	// The texts are in each heartbeat that lists the hub.
	if hub.Name == "" || hub.Address == "" || !label.IsValid(hub.Name) || !label.IsValid(hub.Address) || !label.IsValid(hub.Callers) || !label.IsValid(domain) {
		return beat.Peer{}, fmt.Errorf("hub %.100q at %.100q has unusable texts", hub.Name, hub.Address)
	}
	return beat.Peer{Name: hub.Name, Address: hub.Address, CallerAddress: hub.Callers, Domain: domain, Weight: hub.Weight}, nil
}

// decodeKey returns the key from its row. Another writer may have written it.
func decodeKey(raw []byte) (sealKey, error) {
	var k sealKey
	if err := json.Unmarshal(raw, &k); err != nil {
		return sealKey{}, fmt.Errorf("decode key: %w", err)
	}
	if k.Number == 0 || k.Number > maxKeyNumber || len(k.Secret) != seal.SecretBytes {
		return sealKey{}, fmt.Errorf("key %d has %d bytes", k.Number, len(k.Secret))
	}
	return k, nil
}

// needsReplacement reports whether the key is too old. A time in the future is none at which a key was
// made.
func (k *sealKey) needsReplacement() bool {
	age := time.Since(k.Made)
	return age > sealKeyLifetime || age < -sealKeyLifetime
}

// registrar finds the other entry processes at the start, and maintains the rows by
// which they find each other in the platform's store: the row of the hub and that of
// the key.
type registrar struct {
	cfg registrarConfig

	joined     chan struct{} // closed when initial is set
	initial    map[string]watch.State
	unknownKey atomic.Bool // another process uses a key that this process does not have
	// restored has an element when the store has returned from an older copy, in which rows of this
	// system may be missing.
	restored chan struct{}
	// quarantine has an element when the set of quarantined parts has changed.
	quarantine chan struct{}
}

// registrarConfig holds the dependencies of a registrar.
type registrarConfig struct {
	Self      beat.Peer
	Bootstrap bool // the whole system starts for the first time
	Rows      *table.Client
	Members   *beat.Membership
	Sealer    *seal.Sealer
	// Fetch fetches the state of a process. With wait, that process may first finish
	// reading the tables.
	Fetch func(ctx context.Context, address string, wait bool) (snapshot, error)
	// OnSize is called with the number of entry processes.
	OnSize func(processes int)
	// HoldsLease reports whether this process holds the placement lease. The holder
	// also replaces the key.
	HoldsLease func() bool
	Poison     *poison.Tracker
	Pacer      *pacer.Pacer
	Intake     *intake.Tracker
	// Odd keeps the shared rows that another writer has overwritten; nil keeps none.
	Odd *watch.OddRows
	Log zerolog.Logger
}

func newRegistrar(cfg registrarConfig) *registrar {
	return &registrar{cfg: cfg, joined: make(chan struct{}), quarantine: make(chan struct{}, 1), restored: make(chan struct{}, 1)}
}

// storeRestored makes the hubs and pollers write again what an older copy of the store lacks. It never
// blocks.
func (reg *registrar) storeRestored() {
	select {
	case reg.restored <- struct{}{}:
	default:
	}
}

// sharedRows is the decoded content of the rows that entry processes share.
type sharedRows struct {
	hubs         map[string]beat.Peer // by failure domain
	hubRevisions map[string]uint64    // of the hubs' rows, by failure domain
	key          sealKey
	keyRevision  uint64 // of the row with the key

	quarantines        []quarantineRow
	quarantineRevision uint64 // of the row with the quarantined parts
	quarantinesLost    bool   // another writer has overwritten that row
}

// run joins the other processes and then maintains the rows.
func (reg *registrar) run(ctx context.Context) {
	reg.join(ctx)
	close(reg.joined)
	reg.maintain(ctx)
}

// startDelay returns how long this process waits before it claims the hub's row; a
// larger process waits less.
func (reg *registrar) startDelay() time.Duration {
	return claimDelay*time.Duration(weightPerCore-min(reg.cfg.Self.Weight, weightPerCore))/weightPerCore + rand.N(claimJitter)
}

// join reads the key and fetches the platform's tables from another process: the hub of
// this failure domain, or else that of another one. If no hub of this failure domain
// answers, this process claims the hub's row. If no process answers, join leaves the
// initial state empty and this process reads the tables from the platform.
func (reg *registrar) join(ctx context.Context) {
	if reg.cfg.Bootstrap {
		clock.Sleep(ctx, reg.startDelay())
	}
	waited := reg.cfg.Bootstrap
	for ctx.Err() == nil {
		rows, err := reg.readRows(ctx)
		if errors.Is(err, table.ErrConflict) {
			continue // another process has just written the key
		}
		if err != nil {
			reg.cfg.Log.Warn().Err(err).Msg("failed to read the rows of the entry processes")
			clock.Sleep(ctx, storeRetryDelay/2+rand.N(storeRetryDelay))
			continue
		}
		localHub := rows.hubs[reg.cfg.Self.Domain]
		isSelf := localHub.Name == reg.cfg.Self.Name
		if localHub.Name != "" && !isSelf && reg.fetchFrom(ctx, localHub, true) {
			reg.cfg.Members.AddPeers(rows.hubPeers())
			return
		}
		if !isSelf && !waited {
			waited = true
			clock.Sleep(ctx, reg.startDelay())
			continue
		}
		if !isSelf && reg.claimHubRow(ctx, rows) != nil {
			clock.Sleep(ctx, storeRetryDelay/2+rand.N(storeRetryDelay))
			continue
		}
		reg.cfg.Members.AddPeers(rows.hubPeers())
		for domain, hub := range rows.hubs {
			if domain != reg.cfg.Self.Domain && reg.fetchFrom(ctx, hub, false) {
				return
			}
		}
		return
	}
}

// fetchFrom fetches the initial state from a process and reports whether it succeeded.
func (reg *registrar) fetchFrom(ctx context.Context, p beat.Peer, wait bool) bool {
	s, err := reg.cfg.Fetch(ctx, p.Address, wait)
	if err != nil {
		reg.cfg.Log.Info().Err(err).Str("peer", p.Name).Str("address", p.Address).Msg("failed to fetch the state of another process")
		return false
	}
	reg.initial = s.tables
	reg.cfg.Members.AddPeers(s.peers)
	reg.cfg.Poison.Merge(s.suspects)
	reg.cfg.Pacer.Merge(s.rates)
	reg.cfg.Intake.Merge(s.leavers)
	reg.cfg.Log.Info().Str("peer", p.Name).Int("peers", len(s.peers)).Msg("fetched the state of another process")
	return true
}

// hubPeers returns the hubs, with which this process exchanges heartbeats.
func (rows *sharedRows) hubPeers() []beat.Peer { return slices.Collect(maps.Values(rows.hubs)) }

// readRows reads the rows, and creates the key if there is none.
func (reg *registrar) readRows(ctx context.Context) (sharedRows, error) {
	out := sharedRows{hubs: map[string]beat.Peer{}, hubRevisions: map[string]uint64{}}
	scanCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := reg.cfg.Rows.ScanAll(scanCtx, rowPrefix)
	if err != nil {
		return out, err
	}
	for _, r := range rows {
		domain, isHub := strings.CutPrefix(r.Key(), hubRowPrefix)
		var err error
		switch {
		case isHub:
			out.hubRevisions[domain] = r.Revision()
			var hub beat.Peer
			if hub, err = decodeHub(domain, r.Value()); err == nil {
				out.hubs[domain] = hub
			}
		case r.Key() == sealKeyRow:
			out.key, err = decodeKey(r.Value())
			out.keyRevision = r.Revision()
		case r.Key() == poisonRow:
			out.quarantineRevision = r.Revision()
			if out.quarantines, err = decodeQuarantines(r.Value()); err != nil {
				out.quarantinesLost = true
				reg.quarantineChanged() // the row is written again
			}
		default:
			continue
		}
		if err != nil {
			reg.cfg.Odd.Reject(watch.Row{Key: r.Key(), Value: r.Value(), Revision: r.Revision()}, err)
		} else {
			reg.cfg.Odd.Accept(r.Key())
		}
	}
	reg.cfg.Poison.Merge(recordsOf(out.quarantines))
	newest := reg.cfg.Sealer.NewestKey()
	switch {
	case newest.Number > out.key.Number:
		// The store returned from a copy that is older than the key.
		out.key = sealKey{Number: newest.Number, Secret: newest.Secret, Made: time.Now().UTC()}
		if err := reg.writeRow(ctx, sealKeyRow, out.keyRevision, out.key); err != nil {
			return out, fmt.Errorf("write key %d again: %w", newest.Number, err)
		}
		reg.cfg.Log.Info().Uint32("number", newest.Number).Msg("message key written again")
	case newest.Number > 0 && newest.Number == out.key.Number && !bytes.Equal(newest.Secret, out.key.Secret):
		// A process that started meanwhile made another key with the same number.
		if out.key, err = reg.writeKey(ctx, newest.Number+1, out.keyRevision); err != nil {
			return out, err
		}
	case out.key.Number == 0:
		// Each key took a transaction, so the revision of an overwritten row exceeds its number.
		number := uint32(min(max(table.Number(out.keyRevision), 1), maxKeyNumber))
		if out.key, err = reg.writeKey(ctx, number, out.keyRevision); err != nil {
			return out, err
		}
	}
	return out, reg.cfg.Sealer.AddKey(seal.Key{Number: out.key.Number, Secret: out.key.Secret})
}

// writeKey generates a key and writes it if the row of the key has the given revision.
func (reg *registrar) writeKey(ctx context.Context, number uint32, revision uint64) (sealKey, error) {
	k := sealKey{Number: number, Secret: seal.NewKey(number).Secret, Made: time.Now().UTC()}
	if err := reg.writeRow(ctx, sealKeyRow, revision, k); err != nil {
		return k, fmt.Errorf("write key %d: %w", number, err)
	}
	reg.cfg.Log.Info().Uint32("number", number).Msg("message key written")
	return k, nil
}

// writeRow writes a row if it has the given revision.
func (reg *registrar) writeRow(ctx context.Context, key string, revision uint64, v any) error {
	value, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode row: %w", err)
	}
	var b table.Batch
	b.Expect(key, revision).Put(key, value)
	commitCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = reg.cfg.Rows.Commit(commitCtx, b)
	return err
}

// claimHubRow writes this process into the hub's row of its failure domain.
func (reg *registrar) claimHubRow(ctx context.Context, rows sharedRows) error {
	s := reg.cfg.Self
	err := reg.writeRow(ctx, hubRowPrefix+s.Domain, rows.hubRevisions[s.Domain], hubRow{Name: s.Name, Address: s.Address, Callers: s.CallerAddress, Weight: s.Weight})
	reg.cfg.Log.Info().Err(err).Str("before", rows.hubs[s.Domain].Name).Msg("row of the hub written")
	return err
}

// maintain updates the rows whenever this process becomes the hub, and periodically
// while it is. It reads the key when another process uses an unknown one.
func (reg *registrar) maintain(ctx context.Context) {
	writtenHub := "" // name in the hub's row, as far as this process knows
	lastUpdate := clock.Now()
	failed := false // the last update
	lastKeyRead := clock.Now()
	unwritten := false            // the row of quarantined parts may be out of date
	restored := false             // the store returned from an older copy since the rows were read
	nextWrite := time.Duration(0) // clock.Now after which that row is written
	for ctx.Err() == nil {
		reg.cfg.OnSize(reg.cfg.Members.Size())
		hub, since := reg.cfg.Members.HubPeer()
		now := clock.Now()
		var err error
		switch {
		case hub.Name == reg.cfg.Self.Name && since > hubRowDelay && (writtenHub != hub.Name || now-lastUpdate > reg.rowsInterval(failed) || restored):
			if err = reg.update(ctx); err == nil {
				writtenHub = hub.Name
			}
			lastUpdate, failed = now, err != nil
			restored = restored && failed
		case unwritten && now > nextWrite && reg.cfg.Members.IsPoller():
			err = reg.writeQuarantines(ctx)
			unwritten = err != nil
			nextWrite = now + quarantineRetryDelay
		case reg.unknownKey.Load() && now-lastKeyRead > sealKeyReadInterval:
			lastKeyRead = now
			reg.unknownKey.Store(false)
			_, err = reg.readRows(ctx)
		}
		if hub.Name != reg.cfg.Self.Name {
			writtenHub = ""
		}
		if err != nil {
			reg.cfg.Log.Warn().Err(err).Msg("failed to maintain the rows of the entry processes")
		}
		select {
		case <-ctx.Done():
		case <-reg.quarantine:
			unwritten = true
		case <-reg.restored:
			unwritten, restored = true, hub.Name == reg.cfg.Self.Name
		case <-time.After(hubCheckInterval/2 + rand.N(hubCheckInterval)):
		}
	}
}

// rowsInterval returns the time from one update of the rows, which may have failed, to the next while this process
// is the hub.
func (reg *registrar) rowsInterval(failed bool) time.Duration {
	if failed || reg.cfg.Members.IsPoller() {
		return pollerRowsInterval
	}
	return rowsInterval
}

// update reads the rows, replaces the key if it is too old and this process holds the
// placement lease, and writes the hub's row of this failure domain unless it already
// describes this process.
func (reg *registrar) update(ctx context.Context) error {
	rows, err := reg.readRows(ctx)
	if err != nil {
		return err
	}
	reg.cfg.Members.AddUnknownPeers(rows.hubPeers())
	if rows.key.needsReplacement() && reg.cfg.HoldsLease() {
		if _, err := reg.writeKey(ctx, rows.key.Number+1, rows.keyRevision); err != nil && !errors.Is(err, table.ErrConflict) {
			return err
		}
	}
	if rows.hubs[reg.cfg.Self.Domain] == reg.cfg.Self {
		return nil
	}
	return reg.claimHubRow(ctx, rows)
}

// initialState waits until this process has joined and returns a table as another
// process knew it. It returns false if the table has to be read from the platform.
func (reg *registrar) initialState(ctx context.Context, table string) (watch.State, bool) {
	select {
	case <-reg.joined:
	case <-ctx.Done():
		return watch.State{}, false
	}
	s, ok := reg.initial[table]
	return s, ok
}
