package peer

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/claim"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/limit"
	"github.com/cranberrybay/cranberrybay/member"
	"github.com/cranberrybay/cranberrybay/wire"
)

// failed returns the error of a call with its verdict: a call that never left
// this process was not run, one that was sent may have been.
func failed(v fault.Verdict, name string, err error) error {
	return fault.New(fault.Config{Verdict: v, Code: fault.Unavailable, Reason: fmt.Sprintf("entry process %q does not answer", name), Cause: err})
}

// call sends one request and reads its reply. It returns at the deadline of
// ctx, or after callTimeout when ctx has none.
func (n *Transport) call(ctx context.Context, t Target, k kind, rq, rs proto.Message) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	type result struct {
		verdict fault.Verdict
		err     error
	}
	done := make(chan result, 1)
	var decided atomic.Bool // set by whoever comes first: the write or the deadline
	go func() {
		v, err := n.exchange(ctx, t, k, rq, rs, &decided)
		done <- result{v, err}
	}()
	select {
	case r := <-done:
		if r.err == nil {
			return nil
		}
		if e, ok := r.err.(*fault.Error); ok { // the peer's own statement
			return e
		}
		return failed(r.verdict, t.Name, r.err)
	case <-ctx.Done():
		if decided.CompareAndSwap(false, true) {
			return failed(fault.NotRun, t.Name, ctx.Err()) // nothing will be written
		}
		return failed(fault.MayHaveRun, t.Name, ctx.Err())
	}
}

// stream opens a stream to the target. When the peer is about to close an idle
// session it takes no more streams on it, and another session is dialled.
func (n *Transport) stream(ctx context.Context, t Target) (*yamux.Stream, error) {
	for attempt := 0; ; attempt++ {
		s, err := n.session(ctx, t)
		if err != nil {
			return nil, err
		}
		s.touch()
		st, err := s.mux.OpenStream()
		if err == nil {
			return st, nil
		}
		n.forget(s)
		if attempt > 0 || ctx.Err() != nil {
			return nil, fmt.Errorf("open stream: %w", err)
		}
	}
}

// exchange does a call on a stream of its own.
func (n *Transport) exchange(ctx context.Context, t Target, k kind, rq, rs proto.Message, decided *atomic.Bool) (fault.Verdict, error) {
	st, err := n.stream(ctx, t)
	if err != nil {
		return fault.NotRun, err
	}
	defer st.Close()
	stop := context.AfterFunc(ctx, func() { _ = st.Close() })
	defer stop()
	deadline, _ := ctx.Deadline()
	if err := st.SetDeadline(deadline); err != nil {
		return fault.NotRun, fmt.Errorf("set deadline: %w", err)
	}
	size := proto.Size(rq)
	if size > bounds[k] {
		return fault.NotRun, fmt.Errorf("%w: %s message of %d bytes is over the bound of %d", errFrame, kindNames[k], size, bounds[k])
	}
	if !decided.CompareAndSwap(false, true) {
		return fault.NotRun, ctx.Err()
	}
	if err := writeFrame(st, k, time.Until(deadline), rq); err != nil {
		return fault.MayHaveRun, err
	}
	n.counts.out(k, size)
	h, payload, err := readFrame(st)
	if err != nil {
		return fault.MayHaveRun, err
	}
	n.counts.in(h.kind, len(payload))
	switch h.kind {
	case k:
		return fault.MayHaveRun, decode(payload, rs)
	case kindFault:
		return fault.MayHaveRun, decodeFault(payload)
	default:
		return fault.MayHaveRun, fmt.Errorf("%w: reply of kind %s to %s", errFrame, kindNames[h.kind], kindNames[k])
	}
}

func decodeFault(payload []byte) error {
	f := &wire.Fault{}
	if err := decode(payload, f); err != nil {
		return err
	}
	return toFault(f)
}

func toFault(f *wire.Fault) *fault.Error {
	cfg := fault.Config{Verdict: verdictOf(f.GetVerdict()), Code: fault.Code(f.GetCode()), Reason: f.GetReason()}
	if f.GetRetry() > 0 {
		cfg.RetryAt = time.Now().Add(time.Duration(f.GetRetry()) * time.Millisecond)
	}
	return fault.New(cfg)
}

func encodeFault(err error) *wire.Fault {
	f := &wire.Fault{Verdict: uint32(fault.VerdictOf(err)), Code: string(fault.CodeOf(err)), Reason: err.Error()}
	if e, ok := err.(*fault.Error); ok {
		f.Reason = e.Reason()
	}
	if at, ok := fault.RetryAt(err); ok {
		f.Retry = max(1, time.Until(at).Milliseconds())
	}
	return f
}

// verdictOf maps a number of the protocol. Numbers that are not known may
// have run.
func verdictOf(n uint32) fault.Verdict {
	if v := fault.Verdict(n); n <= uint32(fault.Ran) {
		return v
	}
	return fault.MayHaveRun
}

// Ping exchanges health with a peer.
func (n *Transport) Ping(ctx context.Context, t Target, h member.Health) (member.Health, error) {
	rs := &wire.Health{}
	if err := n.call(ctx, t, kindPing, fromHealth(h), rs); err != nil {
		return member.Health{}, err
	}
	return toHealth(rs), nil
}

// Announce tells a peer about a configuration version.
func (n *Transport) Announce(ctx context.Context, t Target, v VersionAnnouncement) error {
	return n.call(ctx, t, kindAnnounce, &wire.Version{Version: v.Version, Digest: v.Digest, Age: v.Age.Milliseconds(), Reach: fromReach(v.RelayRange)}, &wire.Version{})
}

// Records fetches what changed after a version.
func (n *Transport) Records(ctx context.Context, t Target, after uint64) ([]change.Record, error) {
	rs := &wire.Records{}
	if err := n.call(ctx, t, kindRecords, &wire.Since{Version: after}, rs); err != nil {
		return nil, err
	}
	return toRecords(rs), nil
}

// ClaimStatus asks the incarnation t.Incarnation whether it ran a claim. When
// another incarnation answers at that address the error wraps a GoneError.
func (n *Transport) ClaimStatus(ctx context.Context, t Target, id string) (claim.RunStatus, error) {
	rs := &wire.Word{}
	if err := n.call(ctx, t, kindClaim, &wire.Query{Claim: id}, rs); err != nil {
		return claim.StatusUnknown, err
	}
	return claim.RunStatus(rs.GetWord()), nil
}

// ErrNoAnswer reports that the issuer of a ticket did not answer, which says
// nothing about an earlier use of the ticket.
var ErrNoAnswer = errors.New("the issuer of the ticket does not answer")

// Forward hands work to the issuer of its ticket and returns the answer. The
// error is either the issuer's own fault.Error or wraps ErrNoAnswer.
func (n *Transport) Forward(ctx context.Context, t Target, w ForwardRequest) (ForwardResponse, error) {
	rs := &wire.Answer{}
	rq := &wire.Work{
		Account: w.Account, Service: w.Service, Key: w.Key, Method: w.Method, Path: w.Path,
		Headers: fromHeaders(w.Header), Body: w.Body,
	}
	if err := n.call(ctx, t, kindForward, rq, rs); err != nil {
		// The verdict of the call itself must not be taken for that of the work.
		return ForwardResponse{}, fmt.Errorf("%w: %v", ErrNoAnswer, err)
	}
	if rs.GetFault() != nil {
		return ForwardResponse{}, toFault(rs.GetFault())
	}
	return ForwardResponse{Status: int(rs.GetStatus()), Header: toHeaders(rs.GetHeaders()), Body: rs.GetBody(), Replayed: rs.GetReplayed()}, nil
}

// Report tells the home process of some accounts the demand of this process.
func (n *Transport) Report(ctx context.Context, t Target, r limit.Report) error {
	return n.call(ctx, t, kindReport, fromReport(r), &wire.Received{})
}

// Share gives a process parts of the limits of some accounts.
func (n *Transport) Share(ctx context.Context, t Target, s limit.Share) error {
	return n.call(ctx, t, kindShare, fromShare(s), &wire.Received{})
}

// SendEvents tells a peer what became known about members.
func (n *Transport) SendEvents(ctx context.Context, t Target, news member.EventMessage) (member.EventReply, error) {
	rs := &wire.Verdicts{}
	if err := n.call(ctx, t, kindNews, fromNews(news), rs); err != nil {
		return member.EventReply{}, err
	}
	return toVerdicts(rs), nil
}

// job is one incoming stream.
type job struct {
	stream  *yamux.Stream
	session *session
}
