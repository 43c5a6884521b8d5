package peer

import (
	"bytes"
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/claim"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/limit"
	"github.com/cranberrybay/cranberrybay/member"
	"github.com/cranberrybay/cranberrybay/poison"
	"github.com/cranberrybay/cranberrybay/wire"
)

// FuzzFrame checks that no frame over the size limit of its kind is accepted, and
// that a frame is read with the values with which it was written.
func FuzzFrame(f *testing.F) {
	var b bytes.Buffer
	assert.NilError(f, writeFrame(&b, kindClaim, time.Second, &wire.Query{Claim: "c"}))
	f.Add(b.Bytes())
	f.Add([]byte{byte(kindCount), 0, 0, 0, 0, 0, 0, 0, 0})
	f.Add([]byte{2, 0, 0, 0, 1, 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, in []byte) {
		h, payload, err := readFrame(bytes.NewReader(in))
		if err != nil {
			assert.Assert(t, payload == nil && err.Error() != "")
			return
		}
		assert.Assert(t, h.kind < kindCount && len(payload) <= messageLimits[h.kind])
		assert.Assert(t, bytes.Equal(payload, in[headerSize:headerSize+len(payload)]))
		var q wire.Query
		if proto.Unmarshal(payload, &q) != nil {
			return
		}
		var out bytes.Buffer
		timeLeft := time.Duration(h.timeLeft) * time.Millisecond
		if err := writeFrame(&out, h.kind, timeLeft, &q); err != nil {
			assert.Assert(t, errors.Is(err, errInvalidFrame))
			return
		}
		back, _, err := readFrame(&out)
		assert.NilError(t, err)
		assert.Equal(t, back.kind, h.kind)
		assert.Equal(t, back.timeLeft, h.timeLeft)
	})
}

// assertFinite checks that amounts of limits are finite and not negative.
func assertFinite(t *testing.T, all limit.Amounts) {
	t.Helper()
	for _, v := range all {
		assert.Assert(t, v >= 0 && v <= math.MaxFloat32, "amount %v", v)
	}
}

// FuzzHandle checks that no message makes the receiver panic or is rejected without
// a reason, and that handlers get no negative age and no negative or infinite
// amounts.
func FuzzHandle(f *testing.F) {
	for k, m := range map[kind]proto.Message{
		kindPing:     pingPayloadToWire(member.PingPayload{Version: 1, Digest: 2, Self: &member.Member{Name: "a"}}),
		kindAnnounce: &wire.Version{Version: 1, Digest: 2, Age: 3, Reach: &wire.Reach{Relay: true, First: "a", Last: "b"}},
		kindRecords:  &wire.Since{Version: 1},
		kindClaim:    &wire.Query{Claim: "c"},
		kindForward:  &wire.Work{Account: "hotel", Headers: []*wire.Header{{Name: "a", Values: []string{"b"}}}, Body: []byte("x")},
		kindReport:   reportToWire(limit.Report{Incarnation: "r", Demands: []limit.Demand{{Account: "hotel"}}}),
		kindShare:    shareToWire(limit.Share{HomeIncarnation: "r", Accounts: []limit.AccountShare{{Account: "hotel"}}}),
		kindEvents:   eventsToWire(member.EventMessage{Events: []member.Event{{Member: member.Member{Name: "a"}}}}),
		kindSuspects: suspectsToWire(SuspectMessage{Records: []poison.Record{{Part: poison.Part{Service: "s", ID: "p"}, Terms: 1}}, PassTo: []string{"a"}}),
	} {
		b, err := proto.Marshal(m)
		assert.NilError(f, err)
		f.Add(uint8(k), b)
	}
	nan, err := proto.Marshal(&wire.Report{Demands: []*wire.Demand{{Rate: float32(math.NaN()), Tokens: float32(math.Inf(1)), Inflight: -1}}})
	assert.NilError(f, err)
	f.Add(uint8(kindReport), nan)
	f.Add(uint8(kindAnnounce), []byte{0x18, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, k uint8, payload []byte) {
		tr := &Transport{cfg: Config{Handlers: Handlers{
			Ping: func(_ context.Context, _ Remote, h member.PingPayload) (member.PingPayload, error) { return h, nil },
			Announce: func(_ context.Context, _ Remote, v VersionAnnouncement) error {
				assert.Assert(t, v.Age >= 0, "age %s", v.Age)
				return nil
			},
			Records:     func(context.Context, Remote, uint64) ([]change.Record, error) { return nil, nil },
			ClaimStatus: func(context.Context, Remote, string) (claim.RunStatus, error) { return claim.StatusUnknown, nil },
			Forward: func(_ context.Context, _ Remote, w ForwardRequest) (ForwardResponse, error) {
				return ForwardResponse{Status: 200, Header: w.Header, Body: w.Body}, nil
			},
			Report: func(_ context.Context, _ Remote, r limit.Report) error {
				for _, d := range r.Demands {
					assertFinite(t, d.Want)
				}
				return nil
			},
			Share: func(_ context.Context, _ Remote, s limit.Share) error {
				for _, p := range s.Accounts {
					assertFinite(t, p.Share)
					assert.Assert(t, p.Weight >= 0 && p.Weight <= math.MaxFloat32)
				}
				return nil
			},
			Suspects: func(_ context.Context, _ Remote, m SuspectMessage) ([]poison.Record, error) { return m.Records, nil },
			Events: func(_ context.Context, _ Remote, n member.EventMessage) (member.EventReply, error) {
				var v member.EventReply
				for _, e := range n.Events {
					v.Members = append(v.Members, e.Member)
				}
				return v, nil
			},
		}}}
		m, err := tr.dispatch(t.Context(), Remote{Name: "a"}, kind(k), payload)
		if err != nil {
			assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
			assert.Assert(t, err.Error() != "")
			return
		}
		_, err = proto.Marshal(m)
		assert.NilError(t, err, "the reply can't be sent")
	})
}

// FuzzRecords checks that records from a peer do not make the receiver panic and
// keep all fields when they are encoded again.
func FuzzRecords(f *testing.F) {
	b, err := proto.Marshal(recordsToWire([]change.Record{{Version: 1, Docs: []change.StoredDocument{{ID: "account/hotel", Text: "x", Time: time.Unix(1, 2).UTC()}}}}))
	assert.NilError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, payload []byte) {
		var m, back wire.Records
		if decode(payload, &m) != nil {
			return
		}
		again, err := proto.Marshal(recordsToWire(recordsFromWire(&m)))
		assert.NilError(t, err)
		assert.NilError(t, decode(again, &back))
		assert.Assert(t, proto.Equal(&back, recordsToWire(recordsFromWire(&m))))
	})
}
