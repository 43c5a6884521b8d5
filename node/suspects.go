package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/logs"
	"github.com/cranberrybay/cranberrybay/member"
	"github.com/cranberrybay/cranberrybay/peer"
	"github.com/cranberrybay/cranberrybay/poison"
)

// newPoisonTracker returns the tracker of requests that crash backend servers. It
// shares its evidence with the other processes.
func newPoisonTracker(p *peers, l *logs.Factory) *poison.Tracker {
	return poison.New(poison.Config{Log: l.Logger("poison"), Announce: func(records []poison.Record) { go p.announceSuspects(records) }})
}

// announceSuspects sends evidence to all members.
func (p *peers) announceSuspects(records []poison.Record) {
	if p.transport == nil {
		return
	}
	p.members.Broadcast(context.Background(), func(ctx context.Context, to member.Member, r member.RelayRange) error {
		m := peer.SuspectMessage{Records: records}
		for _, o := range p.configSync.otherMembers() {
			if r.Relay && o.Name != to.Name && o.Name >= r.First && (r.End == "" || o.Name < r.End) {
				m.PassTo = append(m.PassTo, o.Name)
			}
		}
		_, err := p.transport.Suspects(ctx, target(to), m)
		return err
	}, member.RelayRange{})
}

// handleSuspects serves the evidence of a peer and passes it on.
func (p *peers) handleSuspects(t *poison.Tracker, from peer.Remote, m peer.SuspectMessage) ([]poison.Record, error) {
	if _, ok := p.members.Find(from.Incarnation); !ok {
		return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.NotFound, Reason: "the sender is not a member"})
	}
	t.Merge(m.Records)
	for _, o := range p.configSync.otherMembers() {
		if slices.Contains(m.PassTo, o.Name) {
			p.sendAsync("suspects", func(x member.Member) bool { return x.Name == o.Name }, func(ctx context.Context, to peer.Target) error {
				_, err := p.transport.Suspects(ctx, to, peer.SuspectMessage{Records: m.Records})
				return err
			})
		}
	}
	return t.Records(), nil
}

// suspectInterval is the time between two exchanges of evidence with a random process.
// They repair lost messages and inform a process that has started, for about 3 KB.
const suspectInterval = 5 * time.Second

// exchangeSuspects exchanges evidence with a random process.
func (p *peers) exchangeSuspects(ctx context.Context, t *poison.Tracker) {
	others := p.configSync.otherMembers()
	if p.transport == nil || len(others) == 0 {
		return
	}
	records, err := p.transport.Suspects(ctx, target(others[rand.IntN(len(others))]), peer.SuspectMessage{Records: t.Records()})
	if err != nil {
		p.log.Debug().Err(err).Msg("evidence against requests was not exchanged")
		return
	}
	t.Merge(records)
}
