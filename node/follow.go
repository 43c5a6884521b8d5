package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/member"
	"github.com/cranberrybay/cranberrybay/peer"
	"github.com/cranberrybay/cranberrybay/spec"
)

// keptTrees is how many earlier versions a process keeps, to send only what
// changed. 7,700 changes a day are one in 11 s, so that 64 cover 12 minutes.
const keptTrees = 64

// fetchTimeout bounds the fetch of changes from a peer.
const fetchTimeout = 3 * time.Second

// follower connects the version store with the peers: it announces a version
// that comes into effect here and fetches one that a peer announces.
type follower struct {
	store   *change.Store
	peers   *peer.Node
	members *member.Table
	log     zerolog.Logger

	mu       sync.Mutex
	trees    map[uint64]*spec.Tree
	order    []uint64
	fetching bool
}

func newFollower(st *change.Store, log zerolog.Logger) *follower {
	return &follower{store: st, log: log, trees: map[uint64]*spec.Tree{}}
}

// current returns version and tree that belong together.
func (f *follower) current() (uint64, *spec.Tree) {
	for {
		v, t := f.store.Version(), f.store.Tree()
		if f.store.Version() == v {
			return v, t
		}
	}
}

func (f *follower) version() (version, digest uint64) {
	v, t := f.current()
	return v, t.Digest()
}

// keep remembers a tree.
func (f *follower) keep(v uint64, t *spec.Tree) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.trees[v] != nil {
		return
	}
	f.trees[v] = t
	f.order = append(f.order, v)
	if len(f.order) > keptTrees {
		delete(f.trees, f.order[0])
		f.order = f.order[1:]
	}
}

// run announces each version that comes into effect here.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := f.store.Changed()
		v, t := f.current()
		f.keep(v, t)
		if v > 0 {
			f.spread(ctx, peer.Version{Version: v, Digest: t.Digest()})
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// spread passes a version on to the members that v.Reach names. Members that
// are known to have it by their pings are called too, since a call costs
// less than to know.
func (f *follower) spread(ctx context.Context, v peer.Version) {
	if f.peers == nil {
		return
	}
	f.members.Spread(ctx, func(ctx context.Context, to member.Member, r member.Reach) error {
		return f.peers.Announce(ctx, target(to), peer.Version{Version: v.Version, Digest: v.Digest, Reach: r})
	}, member.Reach{First: v.Reach.First, Last: v.Reach.Last})
}

// announced takes the announcement of a peer. It fetches the version before it
// passes the announcement on, since the next ones fetch from here.
func (f *follower) announced(_ context.Context, from peer.Remote, v peer.Version) error {
	m, ok := f.members.Find(from.Incarnation)
	if !ok {
		return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unknown, Reason: "the sender is not a member"})
	}
	go func() {
		f.heard(target(m), v.Version, v.Digest)
		if v.Reach.Relay {
			f.spread(context.Background(), v)
		}
	}()
	return nil
}

// pinged takes the version that a peer states in a ping. It does not hold the
// ping up with a fetch.
func (f *follower) pinged(from peer.Target, version, digest uint64) {
	if have, mine := f.version(); version > have || version == have && digest != mine {
		go f.heard(from, version, digest)
	}
}

// heard compares a version that a peer states with the one in effect, and
// fetches a newer one, from the peer or else from the table.
func (f *follower) heard(from peer.Target, version, digest uint64) {
	have, mine := f.version()
	if version == have && digest != mine && version > 0 {
		f.log.Error().Uint64("version", version).Str("peer", from.Name).Msg("equal versions differ in their digests")
	}
	if version <= have {
		return
	}
	f.mu.Lock()
	if f.fetching {
		f.mu.Unlock()
		return // the next ping states the version again
	}
	f.fetching = true
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.fetching = false
		f.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	err := f.fetch(ctx, from)
	if err == nil || errors.Is(err, change.ErrStale) {
		return
	}
	f.log.Info().Err(err).Str("peer", from.Name).Msg("changes were not fetched from the peer, reading the table")
	if err := f.store.Refresh(ctx); err != nil {
		f.log.Info().Err(err).Msg("refresh failed")
	}
}

// fetch gets the changes from a peer and puts them in effect.
func (f *follower) fetch(ctx context.Context, from peer.Target) error {
	since, base := f.current()
	c, err := f.peers.Changes(ctx, from, since)
	if err != nil {
		return fmt.Errorf("fetch changes: %w", err)
	}
	docs := map[string]*spec.Document{}
	if !c.Whole {
		for _, d := range base.Documents() {
			docs[d.ID()] = d
		}
	}
	for _, d := range c.Documents {
		if d.Deleted {
			delete(docs, d.ID)
			continue
		}
		doc, err := spec.Parse(d.Path, d.Text)
		if err != nil {
			return fmt.Errorf("document of a peer: %w", err)
		}
		docs[doc.ID()] = doc
	}
	all := make([]*spec.Document, 0, len(docs))
	for _, d := range docs {
		all = append(all, d)
	}
	t, err := spec.NewTree(all)
	if err != nil {
		return fmt.Errorf("tree of a peer: %w", err)
	}
	if t.Digest() != c.Digest {
		return fmt.Errorf("version %d of a peer has digest %x after its changes, want %x", c.Version, t.Digest(), c.Digest)
	}
	return f.store.Apply(c.Version, t)
}

// changes answers a peer that asks what changed since a version.
func (f *follower) changes(_ context.Context, _ peer.Remote, since uint64) (peer.Changes, error) {
	v, t := f.current()
	f.keep(v, t)
	f.mu.Lock()
	base := f.trees[since]
	f.mu.Unlock()
	out := peer.Changes{Version: v, Digest: t.Digest(), Whole: base == nil}
	for _, d := range t.Documents() {
		if base != nil {
			if old := base.Document(d.ID()); old != nil && old.Path() == d.Path() && string(old.Text()) == string(d.Text()) {
				continue
			}
		}
		out.Documents = append(out.Documents, peer.Document{ID: d.ID(), Path: d.Path(), Text: d.Text()})
	}
	if base != nil {
		for _, d := range base.Documents() {
			if t.Document(d.ID()) == nil {
				out.Documents = append(out.Documents, peer.Document{ID: d.ID(), Deleted: true})
			}
		}
	}
	return out, nil
}
