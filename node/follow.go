package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/admin"
	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/logs"
	"github.com/cranberrybay/cranberrybay/member"
	"github.com/cranberrybay/cranberrybay/peer"
)

// follower connects the version store with the peers. The store is built
// first, so that the other fields are set by newPeers, before anything starts.
type follower struct {
	store   *change.Store
	peers   *peer.Node // nil without peers
	members *member.Membership
	log     zerolog.Logger

	mu       sync.Mutex
	versions map[string]uint64 // by incarnation, as members stated them last
	asked    time.Time         // when the versions were read last
}

func newFollower(log *logs.Factory) *follower {
	return &follower{log: log.Logger("change"), versions: map[string]uint64{}}
}

func (f *follower) version() (version, digest uint64) {
	a := f.store.Announcement()
	return a.Version, a.Digest
}

// live returns the number of entry processes.
func (f *follower) live() int { return max(1, len(f.members.Live())) }

// others returns the live members other than this process.
func (f *follower) others() []member.Member {
	var out []member.Member
	for _, m := range f.members.Live() {
		if m.Name != f.members.Self().Name {
			out = append(out, m)
		}
	}
	return out
}

// names returns the peers that a process asks at its start.
func (f *follower) names() []string {
	var out []string
	if f.peers == nil {
		return out
	}
	for _, m := range f.others() {
		out = append(out, m.Name)
	}
	return out
}

// announce tells all members a version that came into effect here.
func (f *follower) announce(a change.Announcement) {
	go f.spread(context.Background(), a, member.RelayRange{})
}

// spread passes an announcement on to the members in a range. Members that are
// known to have the version are called too, since a call costs less than to
// know.
func (f *follower) spread(ctx context.Context, a change.Announcement, in member.RelayRange) {
	if f.peers == nil {
		return
	}
	f.members.Broadcast(ctx, func(ctx context.Context, to member.Member, r member.RelayRange) error {
		return f.peers.Announce(ctx, target(to), versionOf(a, r))
	}, in)
}

func versionOf(a change.Announcement, r member.RelayRange) peer.Version {
	return peer.Version{Version: a.Version, Digest: a.Digest, Age: a.Age, Reach: r}
}

// offers is the number of members that are offered a version at once. Two of
// three failure domains then know it before it is served.
const offers = 2

// offer tells a few members a version and returns when one has taken it.
func (f *follower) offer(ctx context.Context, a change.Announcement) error {
	others := f.others()
	if f.peers == nil || len(others) == 0 {
		return nil // nobody else can serve a version of this system
	}
	n := min(offers, len(others))
	taken := make(chan error, n)
	first := int(a.Version % uint64(len(others)))
	for i := range n {
		to := others[(first+i)%len(others)]
		go func() { taken <- f.peers.Announce(ctx, target(to), versionOf(a, member.RelayRange{})) }()
	}
	var errs []error
	for range n {
		err := <-taken
		if err == nil {
			return nil
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// fetch gets the records of a peer after a version.
func (f *follower) fetch(ctx context.Context, name string, after uint64) ([]change.Record, error) {
	if f.peers == nil {
		return nil, errNoPeers
	}
	for _, m := range f.others() {
		if m.Name == name {
			return f.peers.Records(ctx, target(m), after)
		}
	}
	return nil, fmt.Errorf("entry process %q is not a live member", name)
}

// announced takes the announcement of a peer. A version is fetched before it
// is passed on, since the next members fetch from here.
func (f *follower) announced(ctx context.Context, from peer.Remote, v peer.Version) error {
	if _, ok := f.members.Find(from.Incarnation); !ok {
		return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.NotFound, Reason: "the sender is not a member"})
	}
	a := change.Announcement{Peer: from.Name, Version: v.Version, Digest: v.Digest, Age: v.Age}
	err := f.store.Announced(ctx, a)
	if v.Reach.Relay {
		go f.spread(context.Background(), f.store.Announcement(), member.RelayRange{First: v.Reach.First, End: v.Reach.End})
	}
	return err
}

func (f *follower) records(_ context.Context, _ peer.Remote, after uint64) ([]change.Record, error) {
	return f.store.Records(after)
}

// unconfirmed is the age of a version that a ping states: a ping tells that the
// version exists and not that it is the newest.
const unconfirmed = 24 * time.Hour

// pinged takes the version that a member states in a ping. It does not hold
// the ping up with a fetch.
func (f *follower) pinged(from member.Member, h member.Health) {
	f.stated(from, h.Version)
	if have, mine := f.version(); h.Version > have || h.Version == have && h.Digest != mine {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
			defer cancel()
			a := change.Announcement{Peer: from.Name, Version: h.Version, Digest: h.Digest, Age: unconfirmed}
			if err := f.store.Announced(ctx, a); err != nil {
				f.log.Debug().Err(err).Str("peer", from.Name).Msg("version of a ping was not taken")
			}
		}()
	}
}

// fetchTimeout bounds the fetch of a version that a ping stated.
const fetchTimeout = 3 * time.Second

func (f *follower) stated(m member.Member, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.versions[m.Incarnation] = max(version, f.versions[m.Incarnation])
}

const (
	askInterval = 200 * time.Millisecond // between two rounds of questions
	askTimeout  = time.Second
	askers      = 16 // questions under way at once
)

// status returns the live members and the versions that they have in effect.
// Members that stated an older version than this process has are asked again.
func (f *follower) status() []admin.LiveProcess {
	mine := f.store.Version()
	f.ask(mine)
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []admin.LiveProcess
	known := map[string]uint64{}
	for _, m := range f.members.Live() {
		v := f.versions[m.Incarnation]
		if m.Name == f.members.Self().Name {
			v = mine
		}
		known[m.Incarnation] = v
		out = append(out, admin.LiveProcess{Name: m.Name, Version: v})
	}
	f.versions = known
	return out
}

// ask asks the members whose version is older than want, or not known.
func (f *follower) ask(want uint64) {
	f.mu.Lock()
	due := time.Since(f.asked) >= askInterval
	if due {
		f.asked = time.Now()
	}
	f.mu.Unlock()
	if !due || f.peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	slots := make(chan struct{}, askers)
	var wg sync.WaitGroup
	for _, m := range f.others() {
		f.mu.Lock()
		current := f.versions[m.Incarnation] >= want
		f.mu.Unlock()
		if current {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			v, d := f.version()
			h, err := f.peers.Ping(ctx, target(m), member.Health{Version: v, Digest: d, Leaving: f.members.Leaving()})
			if err == nil {
				f.stated(m, h.Version)
			}
		})
	}
	wg.Wait()
}
