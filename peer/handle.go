package peer

import (
	"context"
	"net/http"
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

// VersionAnnouncement is a configuration version on its way through the membership.
type VersionAnnouncement struct {
	Version    uint64
	Digest     uint64
	Age        time.Duration     // since the version was known to be the newest
	RelayRange member.RelayRange // who passes the message on
}

// ForwardRequest is a request with a ticket that another process issued.
type ForwardRequest struct {
	Account string
	Service string
	Key     string // the ticket
	Method  string
	Path    string // path and query
	Header  http.Header
	Body    []byte
}

// ForwardResponse is the answer to Work.
type ForwardResponse struct {
	Status   int
	Header   http.Header
	Body     []byte
	Replayed bool // recorded from an earlier run
}

// Handlers serve incoming calls. A nil handler answers that the call was not
// run. Handlers run on a worker and must honour ctx; Forward runs on a
// goroutine of its own, since a request may take minutes.
type Handlers struct {
	Ping        func(ctx context.Context, from Remote, h member.Health) (member.Health, error)
	Announce    func(ctx context.Context, from Remote, v VersionAnnouncement) error
	Records     func(ctx context.Context, from Remote, after uint64) ([]change.Record, error)
	ClaimStatus func(ctx context.Context, from Remote, id string) (claim.RunStatus, error)
	Forward     func(ctx context.Context, from Remote, w ForwardRequest) (ForwardResponse, error)
	Report      func(ctx context.Context, from Remote, r limit.Report) error
	Share       func(ctx context.Context, from Remote, s limit.Share) error
	Events      func(ctx context.Context, from Remote, n member.EventMessage) (member.EventReply, error)
}

func notServed(reason string) error {
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Overload, Reason: reason, RetryAt: time.Now().Add(time.Second)})
}

// work serves incoming streams.
func (n *Transport) work() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case j := <-n.jobs:
			n.take(j)
		}
	}
}

// refuse answers a stream without reading it.
func (n *Transport) refuse(st *yamux.Stream) {
	n.wg.Go(func() {
		_ = st.SetDeadline(time.Now().Add(writeTimeout))
		n.reply(st, kindFault, encodeFault(notServed("entry process has too many calls")))
		_ = st.Close()
	})
}

func (n *Transport) reply(st *yamux.Stream, k kind, m proto.Message) {
	if err := writeFrame(st, k, 0, m); err != nil {
		return // the caller's deadline decides
	}
	n.counts.out(k, proto.Size(m))
}

// readTimeout bounds the reading of a request, so that a paused peer does not
// hold a worker.
const readTimeout = 2 * time.Second

// take reads one request and answers it.
func (n *Transport) take(j job) {
	_ = j.stream.SetDeadline(time.Now().Add(readTimeout))
	h, payload, err := readFrame(j.stream)
	if err != nil {
		_ = j.stream.Close()
		return
	}
	n.counts.in(h.kind, len(payload))
	left := min(time.Duration(h.left)*time.Millisecond, maxCallTime)
	ctx, cancel := context.WithTimeout(n.ctx, left)
	deadline, _ := ctx.Deadline()
	_ = j.stream.SetDeadline(deadline)
	run := func() {
		defer cancel()
		defer j.stream.Close()
		m, err := n.handle(ctx, j.session.remote, h.kind, payload)
		if err != nil {
			n.reply(j.stream, kindFault, encodeFault(err))
			return
		}
		n.reply(j.stream, h.kind, m)
	}
	if h.kind != kindForward {
		run()
		return
	}
	select {
	case n.forward <- struct{}{}:
		n.wg.Go(func() {
			defer func() { <-n.forward }()
			run()
		})
	default:
		cancel()
		n.refuse(j.stream)
	}
}

// handle decodes a request, calls its handler and encodes the reply.
func (n *Transport) handle(ctx context.Context, from Remote, k kind, payload []byte) (proto.Message, error) {
	h := n.cfg.Handlers
	switch {
	case k == kindPing && h.Ping != nil:
		return serve(payload, &wire.Health{}, func(m *wire.Health) (proto.Message, error) {
			out, err := h.Ping(ctx, from, toHealth(m))
			return fromHealth(out), err
		})
	case k == kindAnnounce && h.Announce != nil:
		return serve(payload, &wire.Version{}, func(m *wire.Version) (proto.Message, error) {
			v := VersionAnnouncement{Version: m.GetVersion(), Digest: m.GetDigest(), RelayRange: toReach(m.GetReach()), Age: toAge(m.GetAge())}
			return &wire.Version{}, h.Announce(ctx, from, v)
		})
	case k == kindRecords && h.Records != nil:
		return serve(payload, &wire.Since{}, func(m *wire.Since) (proto.Message, error) {
			out, err := h.Records(ctx, from, m.GetVersion())
			return fromRecords(out), err
		})
	case k == kindClaim && h.ClaimStatus != nil:
		return serve(payload, &wire.Query{}, func(m *wire.Query) (proto.Message, error) {
			w, err := h.ClaimStatus(ctx, from, m.GetClaim())
			return &wire.Word{Word: string(w)}, err
		})
	case k == kindForward && h.Forward != nil:
		return serve(payload, &wire.Work{}, func(m *wire.Work) (proto.Message, error) {
			out, err := h.Forward(ctx, from, ForwardRequest{
				Account: m.GetAccount(), Service: m.GetService(), Key: m.GetKey(), Method: m.GetMethod(), Path: m.GetPath(),
				Header: toHeaders(m.GetHeaders()), Body: m.GetBody(),
			})
			if err != nil {
				return &wire.Answer{Fault: encodeFault(err)}, nil
			}
			return &wire.Answer{Status: uint32(out.Status), Headers: fromHeaders(out.Header), Body: out.Body, Replayed: out.Replayed}, nil
		})
	case k == kindReport && h.Report != nil:
		return serve(payload, &wire.Report{}, func(m *wire.Report) (proto.Message, error) {
			return &wire.Received{}, h.Report(ctx, from, toReport(from.Name, m))
		})
	case k == kindShare && h.Share != nil:
		return serve(payload, &wire.Share{}, func(m *wire.Share) (proto.Message, error) {
			return &wire.Received{}, h.Share(ctx, from, toShare(from.Name, m))
		})
	case k == kindNews && h.Events != nil:
		return serve(payload, &wire.News{}, func(m *wire.News) (proto.Message, error) {
			out, err := h.Events(ctx, from, toNews(m))
			return fromVerdicts(out), err
		})
	}
	return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.NotFound, Reason: "entry process does not serve this call"})
}

// serve decodes a payload for a handler. A request that can't be decoded was
// not run.
func serve[M proto.Message](payload []byte, m M, handle func(M) (proto.Message, error)) (proto.Message, error) {
	if err := decode(payload, m); err != nil {
		return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Invalid, Reason: "the message can't be decoded", Cause: err})
	}
	return handle(m)
}
