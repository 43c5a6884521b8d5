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
	"github.com/cranberrybay/cranberrybay/poison"
	"github.com/cranberrybay/cranberrybay/wire"
)

// VersionAnnouncement announces a configuration version to the members.
type VersionAnnouncement struct {
	Version    uint64
	Digest     uint64
	Age        time.Duration     // time since the version was last confirmed to be the newest
	RelayRange member.RelayRange // members to which the receiver relays the announcement
}

// ForwardRequest is a request of a caller with a ticket that another process
// issued.
type ForwardRequest struct {
	Account string
	Service string
	Key     string // the ticket
	Method  string
	Path    string // with the query
	Header  http.Header
	Body    []byte
}

// ForwardResponse is the response to a ForwardRequest.
type ForwardResponse struct {
	Status   int
	Header   http.Header
	Body     []byte
	Replayed bool // the response was recorded when the request ran earlier
}

// Handlers handle incoming calls. Each field handles the calls that peers make
// with the method of Transport of the same name, and Events those made with
// SendEvents. When a handler is nil, its calls fail with the verdict NotRun.
// Handlers run on the workers of the Transport and must return when ctx ends.
// Forward runs on a separate goroutine, since a request may take minutes.
type Handlers struct {
	Ping        func(ctx context.Context, from Remote, h member.PingPayload) (member.PingPayload, error)
	Announce    func(ctx context.Context, from Remote, v VersionAnnouncement) error
	Records     func(ctx context.Context, from Remote, after uint64) ([]change.Record, error)
	ClaimStatus func(ctx context.Context, from Remote, id string) (claim.RunStatus, error)
	Forward     func(ctx context.Context, from Remote, r ForwardRequest) (ForwardResponse, error)
	Report      func(ctx context.Context, from Remote, r limit.Report) error
	Share       func(ctx context.Context, from Remote, s limit.Share) error
	Events      func(ctx context.Context, from Remote, events member.EventMessage) (member.EventReply, error)
	Suspects    func(ctx context.Context, from Remote, m SuspectMessage) ([]poison.Record, error)
}

// overloadError returns the error of a call that was rejected because the process
// is overloaded.
func overloadError(reason string) error {
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Overload, Reason: reason, RetryAt: time.Now().Add(time.Second)})
}

// runWorker serves incoming streams until the Transport is closed.
func (tr *Transport) runWorker() {
	for {
		select {
		case <-tr.ctx.Done():
			return
		case in := <-tr.incoming:
			tr.serveStream(in)
		}
	}
}

// rejectStream replies with an overload error. It reads nothing from the stream
// and does not block the caller.
func (tr *Transport) rejectStream(st *yamux.Stream) {
	tr.wg.Go(func() {
		_ = st.SetDeadline(time.Now().Add(writeTimeout))
		tr.reply(st, kindFault, faultToWire(overloadError("entry process has too many calls")))
		_ = st.Close()
	})
}

// reply writes the reply to a call.
func (tr *Transport) reply(st *yamux.Stream, k kind, m proto.Message) {
	if err := writeFrame(st, k, 0, m); err != nil {
		return // the peer's call ends with its deadline
	}
	tr.counters.countSent(k, proto.Size(m))
}

// readTimeout is the maximum time to read a request, so that a paused peer does
// not block a worker.
const readTimeout = 2 * time.Second

// serveStream reads the request on a stream, handles it and replies.
func (tr *Transport) serveStream(in incomingStream) {
	_ = in.stream.SetDeadline(time.Now().Add(readTimeout))
	h, payload, err := readFrame(in.stream)
	if err != nil {
		_ = in.stream.Close()
		return
	}
	tr.counters.countReceived(h.kind, len(payload))
	timeLeft := min(time.Duration(h.timeLeft)*time.Millisecond, maxCallTime)
	ctx, cancel := context.WithTimeout(tr.ctx, timeLeft)
	deadline, _ := ctx.Deadline()
	_ = in.stream.SetDeadline(deadline)
	run := func() {
		defer cancel()
		defer in.stream.Close()
		m, err := tr.dispatch(ctx, in.session.remote, h.kind, payload)
		if err != nil {
			tr.reply(in.stream, kindFault, faultToWire(err))
			return
		}
		tr.reply(in.stream, h.kind, m)
	}
	if h.kind != kindForward {
		run()
		return
	}
	select {
	case tr.forwards <- struct{}{}:
		tr.wg.Go(func() {
			defer func() { <-tr.forwards }()
			run()
		})
	default:
		cancel()
		tr.rejectStream(in.stream)
	}
}

// dispatch decodes a request, calls its handler and returns the reply message.
func (tr *Transport) dispatch(ctx context.Context, from Remote, k kind, payload []byte) (proto.Message, error) {
	h := tr.cfg.Handlers
	switch {
	case k == kindPing && h.Ping != nil:
		return decodeAndHandle(payload, &wire.Health{}, func(m *wire.Health) (proto.Message, error) {
			out, err := h.Ping(ctx, from, pingPayloadFromWire(m))
			return pingPayloadToWire(out), err
		})
	case k == kindAnnounce && h.Announce != nil:
		return decodeAndHandle(payload, &wire.Version{}, func(m *wire.Version) (proto.Message, error) {
			v := VersionAnnouncement{Version: m.GetVersion(), Digest: m.GetDigest(), RelayRange: relayRangeFromWire(m.GetReach()), Age: clampAge(m.GetAge())}
			return &wire.Version{}, h.Announce(ctx, from, v)
		})
	case k == kindRecords && h.Records != nil:
		return decodeAndHandle(payload, &wire.Since{}, func(m *wire.Since) (proto.Message, error) {
			out, err := h.Records(ctx, from, m.GetVersion())
			return recordsToWire(out), err
		})
	case k == kindClaim && h.ClaimStatus != nil:
		return decodeAndHandle(payload, &wire.Query{}, func(m *wire.Query) (proto.Message, error) {
			status, err := h.ClaimStatus(ctx, from, m.GetClaim())
			return &wire.Word{Word: string(status)}, err
		})
	case k == kindForward && h.Forward != nil:
		return decodeAndHandle(payload, &wire.Work{}, func(m *wire.Work) (proto.Message, error) {
			out, err := h.Forward(ctx, from, ForwardRequest{
				Account: m.GetAccount(), Service: m.GetService(), Key: m.GetKey(), Method: m.GetMethod(), Path: m.GetPath(),
				Header: headersFromWire(m.GetHeaders()), Body: m.GetBody(),
			})
			if err != nil {
				return &wire.Answer{Fault: faultToWire(err)}, nil
			}
			return &wire.Answer{Status: uint32(out.Status), Headers: headersToWire(out.Header), Body: out.Body, Replayed: out.Replayed}, nil
		})
	case k == kindReport && h.Report != nil:
		return decodeAndHandle(payload, &wire.Report{}, func(m *wire.Report) (proto.Message, error) {
			return &wire.Received{}, h.Report(ctx, from, reportFromWire(from.Name, m))
		})
	case k == kindShare && h.Share != nil:
		return decodeAndHandle(payload, &wire.Share{}, func(m *wire.Share) (proto.Message, error) {
			return &wire.Received{}, h.Share(ctx, from, shareFromWire(from.Name, m))
		})
	case k == kindEvents && h.Events != nil:
		return decodeAndHandle(payload, &wire.News{}, func(m *wire.News) (proto.Message, error) {
			out, err := h.Events(ctx, from, eventsFromWire(m))
			return eventReplyToWire(out), err
		})
	case k == kindSuspects && h.Suspects != nil:
		return decodeAndHandle(payload, &wire.Snapshot{}, func(m *wire.Snapshot) (proto.Message, error) {
			out, err := h.Suspects(ctx, from, suspectsFromWire(m))
			return suspectsToWire(SuspectMessage{Records: out}), err
		})
	}
	return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.NotFound, Reason: "entry process does not serve this call"})
}

// decodeAndHandle decodes a payload into m and calls handle with it. A request
// that can't be decoded fails with the verdict NotRun.
func decodeAndHandle[M proto.Message](payload []byte, m M, handle func(M) (proto.Message, error)) (proto.Message, error) {
	if err := decode(payload, m); err != nil {
		return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Invalid, Reason: "the message can't be decoded", Cause: err})
	}
	return handle(m)
}
