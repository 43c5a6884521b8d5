package node

import (
	"bytes"
	"context"
	"errors"
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
)

// askClaim asks the incarnation that made a claim whether it ran.
func (p *peers) askClaim(ctx context.Context, holder, id string) (claim.RunStatus, error) {
	m, ok := p.members.Find(holder)
	if !ok || p.node == nil {
		return claim.StatusUnknown, fmt.Errorf("incarnation %q is not a live member", holder)
	}
	return p.node.ClaimStatus(ctx, target(m), id)
}

// forward sends work with a ticket to the incarnation that issued it.
func (p *peers) forward(ctx context.Context, holder string, w entry.Work) (*proxy.Answer, bool, error) {
	m, ok := p.members.Find(holder)
	if !ok || p.node == nil {
		return nil, false, fmt.Errorf("incarnation %q is not a live member", holder)
	}
	a, err := p.node.Forward(ctx, target(m), peer.ForwardRequest{
		Account: w.Account, Service: w.Service, Key: w.Key,
		Method: w.Call.Method, Path: w.Call.Path, Header: w.Call.Header, Body: w.Call.Body,
	})
	if err != nil {
		return nil, false, err
	}
	return &proxy.Answer{Status: a.Status, Header: a.Header, Body: io.NopCloser(bytes.NewReader(a.Body))}, a.Replayed, nil
}

// maxForwarded bounds the body of the answer to forwarded work, so that it fits
// into one message.
const maxForwarded = 7 << 20

// runForwarded serves the calls of forward.
func runForwarded(e *entry.Handler) func(context.Context, peer.Remote, peer.ForwardRequest) (peer.ForwardResponse, error) {
	return func(ctx context.Context, _ peer.Remote, w peer.ForwardRequest) (peer.ForwardResponse, error) {
		by, _ := ctx.Deadline()
		a, replayed, err := e.RunForwarded(ctx, entry.Work{
			Account: w.Account, Service: w.Service, Key: w.Key,
			Call: proxy.Call{Method: w.Method, Path: w.Path, Header: w.Header, Body: w.Body, Deadline: by},
		})
		if err != nil {
			return peer.ForwardResponse{}, err
		}
		defer a.Body.Close()
		body, err := io.ReadAll(io.LimitReader(a.Body, maxForwarded+1))
		if err == nil && len(body) > maxForwarded {
			err = errors.New("the body is over 7 MiB")
		}
		if err != nil {
			return peer.ForwardResponse{}, fault.New(fault.Config{Verdict: fault.Ran, Code: fault.Unavailable, Reason: "the request ran, its answer can't be passed on", Cause: err})
		}
		return peer.ForwardResponse{Status: a.Status, Header: a.Header, Body: body, Replayed: replayed}, nil
	}
}

// maxSending bounds the messages of the limits under way at once. A process
// talks to the home of each account that it serves, some 20 at the target size.
const maxSending = 256

// postTimeout bounds one message of the limits, which are sent again anyway.
const postTimeout = 500 * time.Millisecond

// post sends a message of the limits to a live process without waiting. A
// message that can't be sent is dropped: the next report replaces it.
func (p *peers) post(find func(member.Member) bool, send func(ctx context.Context, to peer.Target) error) {
	if p.node == nil {
		return
	}
	for _, m := range p.members.Live() {
		if !find(m) {
			continue
		}
		select {
		case p.sending <- struct{}{}:
		default:
			return
		}
		go func() {
			defer func() { <-p.sending }()
			ctx, cancel := context.WithTimeout(context.Background(), postTimeout)
			defer cancel()
			if err := send(ctx, target(m)); err != nil {
				p.log.Debug().Err(err).Str("peer", m.Name).Msg("message of the limits was not sent")
			}
		}()
		return
	}
}

// report sends a report of demand to the home process of its accounts.
func (p *peers) report(home string, r limit.Report) {
	p.post(func(m member.Member) bool { return m.Name == home }, func(ctx context.Context, to peer.Target) error {
		return p.node.Report(ctx, to, r)
	})
}

// share sends a share to the process that reported demand.
func (p *peers) share(_ string, s limit.Share) {
	p.post(func(m member.Member) bool { return m.Incarnation == s.ReceiverIncarnation }, func(ctx context.Context, to peer.Target) error {
		return p.node.Share(ctx, to, s)
	})
}

// names returns the names of the live processes.
func (p *peers) names() []string {
	var out []string
	for _, m := range p.members.Live() {
		out = append(out, m.Name)
	}
	return out
}
