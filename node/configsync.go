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

// configSync exchanges configuration versions with the other entry processes.
// The store is built before the peers, so newStore sets the store and newPeers
// the membership and the transport, both before anything starts.
type configSync struct {
	store     *change.Store
	transport *peer.Transport // nil without peers
	members   *member.Membership
	log       zerolog.Logger

	mu           sync.Mutex
	versions     map[string]uint64 // highest version that each incarnation stated
	lastPolledAt time.Time
}

func newConfigSync(log *logs.Factory) *configSync {
	return &configSync{log: log.Logger("change"), versions: map[string]uint64{}}
}

// effectiveVersion returns the version that this process has in effect.
func (c *configSync) effectiveVersion() (version, digest uint64) {
	a := c.store.Announcement()
	return a.Version, a.Digest
}

// processCount returns the number of live entry processes, including this one.
func (c *configSync) processCount() int { return max(1, len(c.members.Live())) }

// otherMembers returns the live members other than this process.
func (c *configSync) otherMembers() []member.Member {
	var out []member.Member
	for _, m := range c.members.Live() {
		if m.Name != c.members.Self().Name {
			out = append(out, m)
		}
	}
	return out
}

// peerNames returns the names of the processes that records can be fetched from.
func (c *configSync) peerNames() []string {
	var out []string
	if c.transport == nil {
		return out
	}
	for _, m := range c.otherMembers() {
		out = append(out, m.Name)
	}
	return out
}

// announce tells all members about a version that took effect here.
func (c *configSync) announce(a change.Announcement) {
	go c.broadcast(context.Background(), a, member.RelayRange{})
}

// broadcast passes an announcement on to the members in a range. Members that
// have the version already are called too: finding out which ones do would cost
// more than the call.
func (c *configSync) broadcast(ctx context.Context, a change.Announcement, in member.RelayRange) {
	if c.transport == nil {
		return
	}
	c.members.Broadcast(ctx, func(ctx context.Context, to member.Member, r member.RelayRange) error {
		return c.transport.Announce(ctx, target(to), versionMessage(a, r))
	}, in)
}

func versionMessage(a change.Announcement, r member.RelayRange) peer.VersionAnnouncement {
	return peer.VersionAnnouncement{Version: a.Version, Digest: a.Digest, Age: a.Age, RelayRange: r}
}

// offerCount is the number of members that are offered a version at once. Two of
// three failure domains then have it before it is served.
const offerCount = 2

// offer sends a version to a few members and returns once one has accepted it.
func (c *configSync) offer(ctx context.Context, a change.Announcement) error {
	others := c.otherMembers()
	if c.transport == nil || len(others) == 0 {
		return nil // no other process serves this configuration
	}
	n := min(offerCount, len(others))
	replies := make(chan error, n)
	first := int(a.Version % uint64(len(others)))
	for i := range n {
		to := others[(first+i)%len(others)]
		go func() { replies <- c.transport.Announce(ctx, target(to), versionMessage(a, member.RelayRange{})) }()
	}
	var errs []error
	for range n {
		err := <-replies
		if err == nil {
			return nil
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// fetchRecords returns the records of a peer after a version.
func (c *configSync) fetchRecords(ctx context.Context, name string, after uint64) ([]change.Record, error) {
	if c.transport == nil {
		return nil, errNoPeers
	}
	for _, m := range c.otherMembers() {
		if m.Name == name {
			return c.transport.Records(ctx, target(m), after)
		}
	}
	return nil, fmt.Errorf("entry process %q is not a live member", name)
}

// handleAnnouncement serves the announcement of a peer. The version is fetched
// before it is passed on, since the next members fetch it from this process.
func (c *configSync) handleAnnouncement(ctx context.Context, from peer.Remote, v peer.VersionAnnouncement) error {
	if _, ok := c.members.Find(from.Incarnation); !ok {
		return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.NotFound, Reason: "the sender is not a member"})
	}
	a := change.Announcement{Peer: from.Name, Version: v.Version, Digest: v.Digest, Age: v.Age}
	err := c.store.HandleAnnouncement(ctx, a)
	if v.RelayRange.Relay {
		go c.broadcast(context.Background(), c.store.Announcement(), member.RelayRange{First: v.RelayRange.First, End: v.RelayRange.End})
	}
	return err
}

// handleRecords returns the records after a version to a peer.
func (c *configSync) handleRecords(_ context.Context, _ peer.Remote, after uint64) ([]change.Record, error) {
	return c.store.Records(after)
}

// pingVersionAge is the age given to a version that a ping states: a ping shows
// that the version exists, not that it is the newest.
const pingVersionAge = 24 * time.Hour

// handlePingPayload records the version that a member states in a ping or in the
// reply to one. A newer version, or another digest at the same version, is handled
// like an announcement, in the background, so that a fetch does not delay the ping.
func (c *configSync) handlePingPayload(from member.Member, h member.PingPayload) {
	c.recordVersion(from, h.Version)
	if version, digest := c.effectiveVersion(); h.Version > version || h.Version == version && h.Digest != digest {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
			defer cancel()
			a := change.Announcement{Peer: from.Name, Version: h.Version, Digest: h.Digest, Age: pingVersionAge}
			if err := c.store.HandleAnnouncement(ctx, a); err != nil {
				c.log.Debug().Err(err).Str("peer", from.Name).Msg("version stated in a ping was not applied")
			}
		}()
	}
}

// fetchTimeout bounds the fetch of a version that a ping stated.
const fetchTimeout = 3 * time.Second

func (c *configSync) recordVersion(m member.Member, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions[m.Incarnation] = max(version, c.versions[m.Incarnation])
}

const (
	pollInterval       = 200 * time.Millisecond // least time between two polls of the versions
	pollTimeout        = time.Second
	maxConcurrentPolls = 16
)

// liveVersions returns the live members and the versions that they have in
// effect. Members whose known version is older than that of this process are
// polled first, at most once per pollInterval.
func (c *configSync) liveVersions() []admin.LiveProcess {
	own := c.store.Version()
	c.pollVersions(own)
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []admin.LiveProcess
	known := map[string]uint64{}
	for _, m := range c.members.Live() {
		v := c.versions[m.Incarnation]
		if m.Name == c.members.Self().Name {
			v = own
		}
		known[m.Incarnation] = v
		out = append(out, admin.LiveProcess{Name: m.Name, Version: v})
	}
	c.versions = known
	return out
}

// pollVersions pings the members whose known version is older than want.
func (c *configSync) pollVersions(want uint64) {
	c.mu.Lock()
	due := time.Since(c.lastPolledAt) >= pollInterval
	if due {
		c.lastPolledAt = time.Now()
	}
	c.mu.Unlock()
	if !due || c.transport == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	slots := make(chan struct{}, maxConcurrentPolls)
	var wg sync.WaitGroup
	for _, m := range c.otherMembers() {
		c.mu.Lock()
		current := c.versions[m.Incarnation] >= want
		c.mu.Unlock()
		if current {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			v, d := c.effectiveVersion()
			h, err := c.transport.Ping(ctx, target(m), member.PingPayload{Version: v, Digest: d, Leaving: c.members.Leaving()})
			if err == nil {
				c.recordVersion(m, h.Version)
			}
		})
	}
	wg.Wait()
}
