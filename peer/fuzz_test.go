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
	"github.com/cranberrybay/cranberrybay/wire"
)

// FuzzFrame guards against a frame over the bound of its kind and one that
// reads back otherwise than it was written.
func FuzzFrame(f *testing.F) {
	var b bytes.Buffer
	assert.NilError(f, writeFrame(&b, kindClaim, time.Second, &wire.Query{Claim: "c"}))
	f.Add(b.Bytes())
	f.Add([]byte{byte(kinds), 0, 0, 0, 0, 0, 0, 0, 0})
	f.Add([]byte{2, 0, 0, 0, 1, 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, in []byte) {
		h, payload, err := readFrame(bytes.NewReader(in))
		if err != nil {
			assert.Assert(t, payload == nil && err.Error() != "")
			return
		}
		assert.Assert(t, h.kind < kinds && len(payload) <= bounds[h.kind])
		assert.Assert(t, bytes.Equal(payload, in[headerSize:headerSize+len(payload)]))
		var q wire.Query
		if proto.Unmarshal(payload, &q) != nil {
			return
		}
		var out bytes.Buffer
		left := time.Duration(h.left) * time.Millisecond
		if err := writeFrame(&out, h.kind, left, &q); err != nil {
			assert.Assert(t, errors.Is(err, errFrame))
			return
		}
		back, _, err := readFrame(&out)
		assert.NilError(t, err)
		assert.Equal(t, back.kind, h.kind)
		assert.Equal(t, back.left, h.left)
	})
}

// amounts asserts that amounts of limits can be added up.
func amounts(t *testing.T, all limit.Amounts) {
	t.Helper()
	for _, v := range all {
		assert.Assert(t, v >= 0 && v <= math.MaxFloat32, "amount %v", v)
	}
}

// FuzzHandle guards against a message that makes the receiver panic, is refused
// without a reason, or states a negative age or amounts that are not finite.
func FuzzHandle(f *testing.F) {
	for k, m := range map[kind]proto.Message{
		kindPing:     fromHealth(member.Health{Version: 1, Digest: 2, Self: &member.Member{Name: "a"}}),
		kindAnnounce: &wire.Version{Version: 1, Digest: 2, Age: 3, Reach: &wire.Reach{Relay: true, First: "a", Last: "b"}},
		kindRecords:  &wire.Since{Version: 1},
		kindClaim:    &wire.Query{Claim: "c"},
		kindForward:  &wire.Work{Account: "hotel", Headers: []*wire.Header{{Name: "a", Values: []string{"b"}}}, Body: []byte("x")},
		kindReport:   fromReport(limit.Report{Incarnation: "r", Demands: []limit.Demand{{Account: "hotel"}}}),
		kindShare:    fromShare(limit.Share{HomeIncarnation: "r", Accounts: []limit.AccountShare{{Account: "hotel"}}}),
		kindNews:     fromNews(member.EventMessage{Events: []member.Event{{Member: member.Member{Name: "a"}}}}),
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
		n := &Transport{cfg: Config{Handlers: Handlers{
			Ping: func(_ context.Context, _ Remote, h member.Health) (member.Health, error) { return h, nil },
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
					amounts(t, d.Want)
				}
				return nil
			},
			Share: func(_ context.Context, _ Remote, s limit.Share) error {
				for _, p := range s.Accounts {
					amounts(t, p.Share)
					assert.Assert(t, p.Weight >= 0 && p.Weight <= math.MaxFloat32)
				}
				return nil
			},
			Events: func(_ context.Context, _ Remote, n member.EventMessage) (member.EventReply, error) {
				var v member.EventReply
				for _, e := range n.Events {
					v.Members = append(v.Members, e.Member)
				}
				return v, nil
			},
		}}}
		m, err := n.handle(t.Context(), Remote{Name: "a"}, kind(k), payload)
		if err != nil {
			assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
			assert.Assert(t, err.Error() != "")
			return
		}
		_, err = proto.Marshal(m)
		assert.NilError(t, err, "the reply can't be sent")
	})
}

// FuzzRecords guards against records of a peer that make the receiver panic.
func FuzzRecords(f *testing.F) {
	b, err := proto.Marshal(fromRecords([]change.Record{{Version: 1, Docs: []change.StoredDocument{{ID: "account/hotel", Text: "x", Time: time.Unix(1, 2).UTC()}}}}))
	assert.NilError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, payload []byte) {
		var m, back wire.Records
		if decode(payload, &m) != nil {
			return
		}
		again, err := proto.Marshal(fromRecords(toRecords(&m)))
		assert.NilError(t, err)
		assert.NilError(t, decode(again, &back))
		assert.Assert(t, proto.Equal(&back, fromRecords(toRecords(&m))))
	})
}
