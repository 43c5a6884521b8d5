// Package plat implements HTTP clients for the services of the platform: table
// service, object store, VM list and weight store. Package node uses them; package
// platform implements the platform protocols that package edge uses.
package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cranberrybay/cranberrybay/reply"
	"github.com/cranberrybay/cranberrybay/socket"
	"github.com/cranberrybay/cranberrybay/table"
	"github.com/cranberrybay/cranberrybay/watch"
)

// maxReply and maxReplyHead bound the body and the head of one reply of the platform, in bytes.
const (
	maxReply     = 64 << 20
	maxReplyHead = 64 << 10
	// receiveBuffer is that of a connection to the platform in bytes.
	receiveBuffer = 128 << 10
)

// Row is the JSON form of a table row.
type Row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
}

// GetRequest is the body of POST /table/get.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest is the body of POST /table/scan.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// RowsReply is the answer to POST /table/get and POST /table/scan.
type RowsReply struct {
	Rows []Row `json:"rows"`
}

// CommitReply is the answer to POST /table/commit.
type CommitReply struct {
	Revision uint64 `json:"revision"`
}

// Config configures the clients of this package.
type Config struct {
	Address string         // host:port
	Client  *http.Client   // nil for a client with the default transport
	OddVMs  *watch.OddRows // keeps the entries of the VM list that name no VM; nil keeps none
}

// callTimeout bounds each call of the platform.
const callTimeout = 3 * time.Second

// client makes HTTP calls to the platform.
type client struct {
	base string
	http *http.Client
}

func newClient(cfg Config) *client {
	hc := cfg.Client
	if hc == nil {
		hc = &http.Client{Transport: &http.Transport{DialContext: reply.Dial((&net.Dialer{Control: socket.Receive(receiveBuffer)}).DialContext), MaxIdleConnsPerHost: 16, DisableCompression: true, MaxResponseHeaderBytes: maxReplyHead}}
	}
	return &client{base: "http://" + cfg.Address, http: hc}
}

// call makes one HTTP call and returns the status and the body of the reply. The
// error wraps errNotSent if the request was certainly not sent, and errReplyLost
// if it may have been.
func (c *client) call(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("platform request %s: %w: %w", path, errNotSent, err)
	}
	rq.Header.Set("Content-Type", "application/json")
	rs, err := c.http.Do(rq)
	if err != nil {
		var oe *net.OpError
		if errors.As(err, &oe) && oe.Op == "dial" {
			return 0, nil, fmt.Errorf("platform call %s: %w: %w", path, errNotSent, err)
		}
		return 0, nil, fmt.Errorf("platform call %s: %w: %w", path, errReplyLost, err)
	}
	defer rs.Body.Close()
	if err := reply.Check(rs); err != nil {
		return 0, nil, fmt.Errorf("platform reply %s: %w: %w", path, errReplyLost, err)
	}
	b, err := io.ReadAll(io.LimitReader(rs.Body, maxReply+1))
	if err == nil && len(b) > maxReply {
		err = fmt.Errorf("the reply is over %d MiB", maxReply>>20)
	}
	if err != nil {
		return 0, nil, fmt.Errorf("platform reply %s: %w: %w", path, errReplyLost, err)
	}
	return rs.StatusCode, b, nil
}

var (
	errNotSent   = errors.New("request was not sent")
	errReplyLost = errors.New("reply was lost")
)

// NewTableClient returns a client of the table service.
func NewTableClient(cfg Config) *table.Client {
	c := newClient(cfg)
	return table.New(table.Config{Get: c.get, Scan: c.scan, Commit: c.commit})
}

func (c *client) get(ctx context.Context, keys ...string) ([]table.Row, error) {
	rows, err := c.readRows(ctx, "/table/get", GetRequest{Keys: keys})
	if err != nil {
		return nil, err
	}
	if len(rows) != len(keys) {
		return nil, fmt.Errorf("%w: got %d rows for %d keys", table.ErrUnavailable, len(rows), len(keys))
	}
	for i, r := range rows {
		if r.Key() != keys[i] {
			return nil, fmt.Errorf("%w: got row %q for key %q", table.ErrUnavailable, r.Key(), keys[i])
		}
	}
	return rows, nil
}

func (c *client) scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	rows, err := c.readRows(ctx, "/table/scan", ScanRequest{Prefix: prefix, After: after, Limit: limit})
	if err != nil {
		return nil, err
	}
	if len(rows) > limit {
		return nil, fmt.Errorf("%w: got %d rows, asked for %d at most", table.ErrUnavailable, len(rows), limit)
	}
	// Rows out of order or outside of the range could keep a scan of all pages from
	// ever ending.
	for _, r := range rows {
		if r.Key() <= after || !strings.HasPrefix(r.Key(), prefix) {
			return nil, fmt.Errorf("%w: got row %q below %q after %q", table.ErrUnavailable, r.Key(), prefix, after)
		}
		after = r.Key()
	}
	return rows, nil
}

// readRows makes a call that returns rows. A failed call gives
// table.ErrUnavailable and never table.ErrUnknown, since a read has no effect.
func (c *client) readRows(ctx context.Context, path string, body any) ([]table.Row, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", path, err)
	}
	status, reply, err := c.call(ctx, http.MethodPost, path, b)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", table.ErrUnavailable, err)
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", table.ErrUnavailable, status)
	}
	var out RowsReply
	if json.Unmarshal(reply, &out) != nil {
		if out, err = decodeEachRow(reply); err != nil {
			return nil, fmt.Errorf("%w: decode %s: %w", table.ErrUnavailable, path, err)
		}
	}
	rows := make([]table.Row, len(out.Rows))
	for i, r := range out.Rows {
		rows[i] = table.NewRow(r.Key, r.Value, r.Revision)
	}
	return rows, nil
}

// decodeEachRow decodes a reply in which some values can't be decoded. Their rows have none. It fails if
// the key or the revision of a row can't be decoded.
func decodeEachRow(reply []byte) (RowsReply, error) {
	var raw struct {
		Rows []struct {
			Key      string          `json:"key"`
			Value    json.RawMessage `json:"value"`
			Revision uint64          `json:"revision"`
		} `json:"rows"`
	}
	if err := json.Unmarshal(reply, &raw); err != nil {
		return RowsReply{}, err
	}
	out := RowsReply{Rows: make([]Row, len(raw.Rows))}
	for i, r := range raw.Rows {
		out.Rows[i] = Row{Key: r.Key, Revision: r.Revision}
		if json.Unmarshal(r.Value, &out.Rows[i].Value) != nil {
			out.Rows[i].Value = nil
		}
	}
	return out, nil
}

func (c *client) commit(ctx context.Context, batch table.Batch) (uint64, error) {
	b, err := json.Marshal(batch)
	if err != nil {
		return 0, fmt.Errorf("encode commit: %w", err)
	}
	status, reply, err := c.call(ctx, http.MethodPost, "/table/commit", b)
	switch {
	case errors.Is(err, errNotSent):
		return 0, fmt.Errorf("%w: %w", table.ErrUnavailable, err)
	case err != nil:
		return 0, fmt.Errorf("%w: %w", table.ErrUnknown, err)
	case status == http.StatusConflict:
		return 0, table.ErrConflict
	case status == http.StatusServiceUnavailable:
		return 0, fmt.Errorf("%w: status %d", table.ErrUnavailable, status)
	case status != http.StatusOK:
		return 0, fmt.Errorf("%w: status %d", table.ErrUnknown, status)
	}
	var out CommitReply
	if err := json.Unmarshal(reply, &out); err != nil {
		return 0, fmt.Errorf("%w: decode commit: %w", table.ErrUnknown, err)
	}
	if out.Revision == table.Absent {
		return 0, fmt.Errorf("%w: the reply has no revision", table.ErrUnknown)
	}
	return out.Revision, nil
}
