package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cranberrybay/cranberrybay/claim"
	"github.com/cranberrybay/cranberrybay/entry"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/limit"
	"github.com/cranberrybay/cranberrybay/member"
	"github.com/cranberrybay/cranberrybay/peer"
	"github.com/cranberrybay/cranberrybay/proxy"
	"github.com/cranberrybay/cranberrybay/quota"
)

// queryClaim asks the incarnation that holds a claim whether the request ran.
func (p *peers) queryClaim(ctx context.Context, holder, id string) (claim.RunStatus, error) {
	m, ok := p.members.Find(holder)
	if !ok || p.transport == nil {
		return claim.StatusUnknown, fmt.Errorf("incarnation %q is not a live member", holder)
	}
	return p.transport.ClaimStatus(ctx, target(m), id)
}

// forward sends a request with a ticket to the incarnation that issued the
// ticket.
func (p *peers) forward(ctx context.Context, issuer string, w entry.KeyedCall) (*proxy.Answer, bool, error) {
	m, ok := p.members.Find(issuer)
	if !ok || p.transport == nil {
		return nil, false, fmt.Errorf("incarnation %q is not a live member", issuer)
	}
	a, err := p.transport.Forward(ctx, target(m), peer.ForwardRequest{
		Account: w.Account, Service: w.Service, Key: w.Key,
		Method: w.Call.Method, Path: w.Call.Path, Header: w.Call.Header, Body: w.Call.Body,
	})
	if err != nil {
		return nil, false, err
	}
	return &proxy.Answer{Status: a.Status, Header: a.Header, Body: io.NopCloser(bytes.NewReader(a.Body))}, a.Replayed, nil
}

// maxForwardedBody bounds the body, in bytes, of the answer to a forwarded
// request, so that the answer fits into one message.
const maxForwardedBody = 7 << 20

// forwardHandler returns the handler of requests that other processes forward.
func forwardHandler(e *entry.Handler, q *quota.Quota) func(context.Context, peer.Remote, peer.ForwardRequest) (peer.ForwardResponse, error) {
	return func(ctx context.Context, _ peer.Remote, w peer.ForwardRequest) (peer.ForwardResponse, error) {
		deadline, _ := ctx.Deadline()
		a, replayed, err := e.RunForwarded(ctx, entry.KeyedCall{
			Account: w.Account, Service: w.Service, Key: w.Key,
			Call: proxy.Call{Method: w.Method, Path: w.Path, Header: w.Header, Body: w.Body, Deadline: deadline},
		})
		if err != nil {
			return peer.ForwardResponse{}, err
		}
		defer a.Body.Close()
		body, release, err := q.Read(a.Body, maxForwardedBody)
		defer release() // it is charged while it is read
		if err != nil {
			return peer.ForwardResponse{}, fault.New(fault.Config{Verdict: fault.Ran, Code: fault.Unavailable, Reason: "the request ran, its answer can't be passed on", Cause: err})
		}
		return peer.ForwardResponse{Status: a.Status, Header: a.Header, Body: body, Replayed: replayed}, nil
	}
}

// maxLimitSends bounds the messages that sendAsync is sending at once. A process
// sends to the home process of each account that it serves: about 20 at the
// target size.
const maxLimitSends = 256

// limitSendTimeout bounds the sending of one message. It is short because these
// messages are sent periodically.
const limitSendTimeout = 500 * time.Millisecond

// sendAsync sends a message to the first live process that matches, without waiting
// for it. A message that can't be sent is dropped: the next one of its kind replaces
// it.
func (p *peers) sendAsync(kind string, match func(member.Member) bool, send func(ctx context.Context, to peer.Target) error) {
	if p.transport == nil {
		return
	}
	for _, m := range p.members.Live() {
		if !match(m) {
			continue
		}
		select {
		case p.limitSends <- struct{}{}:
		default:
			return
		}
		go func() {
			defer func() { <-p.limitSends }()
			ctx, cancel := context.WithTimeout(context.Background(), limitSendTimeout)
			defer cancel()
			if err := send(ctx, target(m)); err != nil {
				p.log.Debug().Err(err).Str("peer", m.Name).Str("kind", kind).Msg("message was not sent")
			}
		}()
		return
	}
}

// sendReport sends a demand report to the home process of its accounts.
func (p *peers) sendReport(home string, r limit.Report) {
	p.sendAsync("limit", func(m member.Member) bool { return m.Name == home }, func(ctx context.Context, to peer.Target) error {
		return p.transport.Report(ctx, to, r)
	})
}

// sendShare sends a share of the limits to the process that reported demand.
func (p *peers) sendShare(_ string, s limit.Share) {
	p.sendAsync("limit", func(m member.Member) bool { return m.Incarnation == s.ReceiverIncarnation }, func(ctx context.Context, to peer.Target) error {
		return p.transport.Share(ctx, to, s)
	})
}

// liveNames returns the names of the live processes, including this one.
func (p *peers) liveNames() []string {
	var out []string
	for _, m := range p.members.Live() {
		out = append(out, m.Name)
	}
	return out
}
