package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/object"
	"github.com/cranberrybay/cranberrybay/table"
)

// roundTripFunc implements http.RoundTripper.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(rq *http.Request) (*http.Response, error) { return f(rq) }

// FuzzReplies guards against replies of the platform that make the process panic,
// that count as success although they can't be decoded, or that report a commit
// with an unknown result as failed.
func FuzzReplies(f *testing.F) {
	f.Add(200, []byte(`{"rows":[{"key":"a","value":"eA==","revision":3}]}`))
	f.Add(200, []byte(`{"rows":[{"key":"other","revision":0}]}`))
	f.Add(200, []byte(`{"revision":4}`))
	f.Add(200, []byte(`{}`))
	f.Add(200, []byte(`{"vms":[{"name":"a","address":"b"}],"keys":["k"],"rate":-1,"burst":2}`))
	f.Add(409, []byte("conflict"))
	f.Add(500, []byte("{"))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		if status < 200 || status > 599 || status/100 == 3 {
			return
		}
		cfg := Config{Address: "a:1", Client: &http.Client{Transport: roundTripFunc(func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(body))}, nil
		})}}
		ctx := context.Background()
		tc, oc := NewTableClient(cfg), NewObjectClient(cfg)
		rows, err := tc.Get(ctx, "a", "b")
		if err == nil {
			assert.Equal(t, len(rows), 2)
			assert.Assert(t, rows[0].Key() == "a" && rows[1].Key() == "b")
		} else {
			assert.Assert(t, errors.Is(err, table.ErrUnavailable), "%v", err)
		}
		if rows, err = tc.Scan(ctx, "a", "", 10); err != nil {
			assert.Assert(t, errors.Is(err, table.ErrUnavailable), "%v", err)
		}
		after := ""
		for _, r := range rows {
			assert.Assert(t, r.Key() > after && r.Key()[0] == 'a')
			after = r.Key()
		}
		// A repeated page must end the scan, which would not end otherwise.
		_, _ = tc.ScanAll(ctx, "a")
		var b table.Batch
		b.Put("a", nil)
		rev, err := tc.Commit(ctx, b)
		switch {
		case err == nil:
			assert.Assert(t, status == 200 && rev != table.Absent)
		case errors.Is(err, table.ErrConflict):
			assert.Equal(t, status, 409)
		case errors.Is(err, table.ErrUnavailable):
			assert.Equal(t, status, 503)
		default:
			assert.Assert(t, errors.Is(err, table.ErrUnknown), "%v", err)
		}
		if _, err = oc.Get(ctx, "k"); err != nil {
			assert.Assert(t, errors.Is(err, object.ErrNotFound) || errors.Is(err, object.ErrUnavailable), "%v", err)
		}
		if _, err = oc.List(ctx, "k"); err != nil {
			assert.Assert(t, errors.Is(err, object.ErrUnavailable), "%v", err)
		}
		if w, err := NewWeightStore(cfg).ReadLimits(ctx); err == nil {
			assert.Assert(t, w.Rate >= 0 && w.Burst >= 0)
		}
		_, err = NewVMList(cfg).Read(ctx)
		assert.Assert(t, err == nil || err.Error() != "")
	})
}

// TestRepeatedPage guards against a scan that does not end because the platform
// answers each page with the same rows.
func TestRepeatedPage(t *testing.T) {
	calls := 0
	var page RowsReply
	for i := range 500 {
		page.Rows = append(page.Rows, Row{Key: fmt.Sprintf("a%03d", i), Revision: 1})
	}
	body, err := json.Marshal(page)
	assert.NilError(t, err)
	cfg := Config{Address: "a:1", Client: &http.Client{Transport: roundTripFunc(func(*http.Request) (*http.Response, error) {
		if calls++; calls > 10 {
			return nil, errors.New("too many pages")
		}
		return &http.Response{StatusCode: 200, Body: io.NopCloser(bytes.NewReader(body))}, nil
	})}}
	_, err = NewTableClient(cfg).ScanAll(context.Background(), "a")
	assert.Assert(t, errors.Is(err, table.ErrUnavailable), "%v", err)
	assert.Equal(t, calls, 2)
}
