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
	"github.com/cranberrybay/cranberrybay/poison"
	"github.com/cranberrybay/cranberrybay/wire"
)

// callError returns the error of a failed call. The verdict is NotRun for a call
// that was never sent and MayHaveRun for one that was.
func callError(v fault.Verdict, name string, err error) error {
	return fault.New(fault.Config{Verdict: v, Code: fault.Unavailable, Reason: fmt.Sprintf("entry process %q does not answer", name), Cause: err})
}

// call sends the request rq to the target and decodes the reply into rs. It
// returns by the deadline of ctx, or after callTimeout when ctx has none, also
// when the exchange is still blocked.
func (tr *Transport) call(ctx context.Context, t Target, k kind, rq, rs proto.Message) error {
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
	var claimed atomic.Bool // set by the first of the write of the request and the deadline
	go func() {
		v, err := tr.exchange(ctx, t, k, rq, rs, &claimed)
		done <- result{v, err}
	}()
	select {
	case r := <-done:
		if r.err == nil {
			return nil
		}
		if e, ok := r.err.(*fault.Error); ok { // the peer reported the error itself
			return e
		}
		return callError(r.verdict, t.Name, r.err)
	case <-ctx.Done():
		if claimed.CompareAndSwap(false, true) {
			return callError(fault.NotRun, t.Name, ctx.Err()) // the request will not be written
		}
		return callError(fault.MayHaveRun, t.Name, ctx.Err())
	}
}

// openStream opens a stream to the target. When that fails, as on a session that
// the peer is closing, openStream retries once on another session.
func (tr *Transport) openStream(ctx context.Context, t Target) (*yamux.Stream, error) {
	for attempt := 0; ; attempt++ {
		s, err := tr.sessionTo(ctx, t)
		if err != nil {
			return nil, err
		}
		s.markUsed()
		st, err := s.mux.OpenStream()
		if err == nil {
			return st, nil
		}
		tr.unregister(s)
		if attempt > 0 || ctx.Err() != nil {
			return nil, fmt.Errorf("open stream: %w", err)
		}
	}
}

// exchange performs one call on a new stream. It sets claimed before it writes
// the request and gives up when claimed is set already. The verdict applies to
// the returned error.
func (tr *Transport) exchange(ctx context.Context, t Target, k kind, rq, rs proto.Message, claimed *atomic.Bool) (fault.Verdict, error) {
	st, err := tr.openStream(ctx, t)
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
	if size > messageLimits[k] {
		return fault.NotRun, fmt.Errorf("%w: %s message of %d bytes is over the limit of %d", errInvalidFrame, kindNames[k], size, messageLimits[k])
	}
	if !claimed.CompareAndSwap(false, true) {
		return fault.NotRun, ctx.Err()
	}
	if err := writeFrame(st, k, time.Until(deadline), rq); err != nil {
		return fault.MayHaveRun, err
	}
	tr.counters.countSent(k, size)
	h, payload, err := readFrame(st)
	if err != nil {
		return fault.MayHaveRun, err
	}
	tr.counters.countReceived(h.kind, len(payload))
	switch h.kind {
	case k:
		return fault.MayHaveRun, decode(payload, rs)
	case kindFault:
		return fault.MayHaveRun, decodeFault(payload)
	default:
		return fault.MayHaveRun, fmt.Errorf("%w: reply of kind %s to a call of kind %s", errInvalidFrame, kindNames[h.kind], kindNames[k])
	}
}

func decodeFault(payload []byte) error {
	f := &wire.Fault{}
	if err := decode(payload, f); err != nil {
		return err
	}
	return faultFromWire(f)
}

func faultFromWire(f *wire.Fault) *fault.Error {
	cfg := fault.Config{Verdict: verdictFromWire(f.GetVerdict()), Code: fault.Code(f.GetCode()), Reason: f.GetReason()}
	if f.GetRetry() > 0 {
		cfg.RetryAt = time.Now().Add(time.Duration(f.GetRetry()) * time.Millisecond)
	}
	return fault.New(cfg)
}

// faultToWire returns the message for an error of a call. The time of a retry is
// sent as a delay in milliseconds, at least 1, since 0 means none.
func faultToWire(err error) *wire.Fault {
	f := &wire.Fault{Verdict: uint32(fault.VerdictOf(err)), Code: string(fault.CodeOf(err)), Reason: err.Error()}
	if e, ok := err.(*fault.Error); ok {
		f.Reason = e.Reason()
	}
	if at, ok := fault.RetryAt(err); ok {
		f.Retry = max(1, time.Until(at).Milliseconds())
	}
	return f
}

// verdictFromWire returns the verdict for a number of the protocol. An unknown
// number gives MayHaveRun.
func verdictFromWire(n uint32) fault.Verdict {
	if v := fault.Verdict(n); n <= uint32(fault.Ran) {
		return v
	}
	return fault.MayHaveRun
}

// Ping sends the ping payload of this process to a peer and returns that of the peer.
func (tr *Transport) Ping(ctx context.Context, t Target, h member.PingPayload) (member.PingPayload, error) {
	rs := &wire.Health{}
	if err := tr.call(ctx, t, kindPing, pingPayloadToWire(h), rs); err != nil {
		return member.PingPayload{}, err
	}
	return pingPayloadFromWire(rs), nil
}

// Announce announces a configuration version to a peer. On the wire the relay range,
// which the peer relays the announcement to, is the message Reach.
func (tr *Transport) Announce(ctx context.Context, t Target, v VersionAnnouncement) error {
	return tr.call(ctx, t, kindAnnounce, &wire.Version{Version: v.Version, Digest: v.Digest, Age: v.Age.Milliseconds(), Reach: relayRangeToWire(v.RelayRange)}, &wire.Version{})
}

// Records fetches the records of the changes after a configuration version.
func (tr *Transport) Records(ctx context.Context, t Target, after uint64) ([]change.Record, error) {
	rs := &wire.Records{}
	if err := tr.call(ctx, t, kindRecords, &wire.Since{Version: after}, rs); err != nil {
		return nil, err
	}
	return recordsFromWire(rs), nil
}

// ClaimStatus asks the incarnation t.Incarnation whether it ran the request of a
// claim. When another incarnation answers at the address, the error wraps a
// ReplacedError.
func (tr *Transport) ClaimStatus(ctx context.Context, t Target, id string) (claim.RunStatus, error) {
	rs := &wire.Word{}
	if err := tr.call(ctx, t, kindClaim, &wire.Query{Claim: id}, rs); err != nil {
		return claim.StatusUnknown, err
	}
	return claim.RunStatus(rs.GetWord()), nil
}

// ErrNoAnswer reports that the issuer of a ticket did not answer a forwarded
// request. The ticket may still have been used earlier.
var ErrNoAnswer = errors.New("the issuer of the ticket does not answer")

// Forward sends a request to the process that issued its ticket and returns the
// response. The error is either a fault.Error from the issuer or wraps
// ErrNoAnswer.
func (tr *Transport) Forward(ctx context.Context, t Target, r ForwardRequest) (ForwardResponse, error) {
	rs := &wire.Answer{}
	rq := &wire.Work{
		Account: r.Account, Service: r.Service, Key: r.Key, Method: r.Method, Path: r.Path,
		Headers: headersToWire(r.Header), Body: r.Body,
	}
	if err := tr.call(ctx, t, kindForward, rq, rs); err != nil {
		// The error is formatted with %v, so that the verdict of the call is not
		// mistaken for the verdict of the request: the issuer may have run the
		// request earlier.
		return ForwardResponse{}, fmt.Errorf("%w: %v", ErrNoAnswer, err)
	}
	if rs.GetFault() != nil {
		return ForwardResponse{}, faultFromWire(rs.GetFault())
	}
	return ForwardResponse{Status: int(rs.GetStatus()), Header: headersFromWire(rs.GetHeaders()), Body: rs.GetBody(), Replayed: rs.GetReplayed()}, nil
}

// Report sends the demand of this process for some accounts to their home
// process.
func (tr *Transport) Report(ctx context.Context, t Target, r limit.Report) error {
	return tr.call(ctx, t, kindReport, reportToWire(r), &wire.Received{})
}

// Share sends a process its shares of the limits of some accounts.
func (tr *Transport) Share(ctx context.Context, t Target, s limit.Share) error {
	return tr.call(ctx, t, kindShare, shareToWire(s), &wire.Received{})
}

// SendEvents sends membership events to a peer.
func (tr *Transport) SendEvents(ctx context.Context, t Target, events member.EventMessage) (member.EventReply, error) {
	rs := &wire.Verdicts{}
	if err := tr.call(ctx, t, kindEvents, eventsToWire(events), rs); err != nil {
		return member.EventReply{}, err
	}
	return eventReplyFromWire(rs), nil
}

// SuspectMessage carries evidence against requests that crash backend servers.
type SuspectMessage struct {
	Records []poison.Record
	PassTo  []string // names of the processes to which the receiver passes the records on
}

// Suspects sends evidence to a peer and returns the evidence that the peer has.
func (tr *Transport) Suspects(ctx context.Context, t Target, m SuspectMessage) ([]poison.Record, error) {
	rs := &wire.Snapshot{}
	if err := tr.call(ctx, t, kindSuspects, suspectsToWire(m), rs); err != nil {
		return nil, err
	}
	return suspectsFromWire(rs).Records, nil
}

// incomingStream is a stream opened by a peer, with the session that it belongs
// to.
type incomingStream struct {
	stream  *yamux.Stream
	session *session
}
