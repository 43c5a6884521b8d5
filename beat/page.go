package beat

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/watch"
	"github.com/cranberrybay/cranberrybay/wire"
)

const (
	// alertEvery is how often the same backend server is told dead: as long as the
	// others avoid it.
	alertEvery = 1500 * time.Millisecond
	// maxAlerts bounds the backend servers that are remembered as told.
	maxAlerts = 1000
	// maxPage bounds the changes that are relayed, in bytes; the others read larger
	// ones themselves.
	maxPage = 48 << 10
	// maxUnpacked bounds an unpacked message: a table of 4,000 servers takes 2.5 MB.
	maxUnpacked = 8 << 20
)

// ReportDead tells all processes at once that a backend server does not answer, unless one
// has just told it.
func (r *Membership) ReportDead(server string) {
	now, h := clock.Now(), Hash(server)
	r.mu.Lock()
	if at, ok := r.alerts[h]; ok && now-at < alertEvery {
		r.mu.Unlock()
		return
	}
	r.alerts[h] = now
	r.mu.Unlock()
	r.publish(nil, []uint64{h})
}

// alerted notes what another process found dead.
func (r *Membership) alerted(servers []uint64) {
	if len(servers) == 0 {
		return
	}
	now := clock.Now()
	r.mu.Lock()
	for _, h := range servers {
		r.alerts[h] = now
	}
	if len(r.alerts) > maxAlerts {
		clear(r.alerts)
	}
	r.mu.Unlock()
	if r.cfg.OnDead != nil {
		r.cfg.OnDead(servers)
	}
}

// ShareChanges sends changes that this process polled to all others at once.
func (r *Membership) ShareChanges(p Page) {
	x, err := EncodePage(p)
	if err != nil {
		r.cfg.Log.Error().Err(err).Str("table", p.Table).Msg("changes not shared")
		return
	}
	if len(x.Rows) <= maxPage { // the others hear of longer ones and read them
		r.publish([]*wire.Page{x}, nil)
	}
}

// EncodePage returns a page as it is sent. Its rows are compressed: the configuration
// and the entries of many servers shrink to a tenth.
func EncodePage(p Page) (*wire.Page, error) {
	rows := &wire.Rows{}
	for _, row := range p.Rows {
		rows.Rows = append(rows.Rows, &wire.Row{Key: row.Key, Value: row.Value, Revision: row.Revision, Deleted: row.Deleted})
	}
	raw, err := proto.Marshal(rows)
	if err != nil {
		return nil, fmt.Errorf("encode rows: %w", err)
	}
	return &wire.Page{
		Table: p.Table, After: p.After, Changed: p.Changed, Revision: p.Revision, Clock: p.Clock.Milliseconds(), Rows: Compress(raw),
	}, nil
}

// DecodePage decodes a page.
func DecodePage(x *wire.Page) (Page, error) {
	p := Page{Watermark: Watermark{Table: x.GetTable(), Changed: x.GetChanged(), Clock: time.Duration(x.GetClock()) * time.Millisecond}, After: x.GetAfter(), Revision: x.GetRevision()}
	raw, err := Decompress(x.GetRows())
	if err != nil {
		return p, err
	}
	var rows wire.Rows
	if err := proto.Unmarshal(raw, &rows); err != nil {
		return p, fmt.Errorf("decode rows: %w", err)
	}
	for _, row := range rows.Rows {
		p.Rows = append(p.Rows, watch.Row{Key: row.Key, Value: row.Value, Revision: row.Revision, Deleted: row.Deleted})
	}
	return p, nil
}

// writers keeps compressors, each of which takes half a megabyte.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic("flate: " + err.Error()) // the level is a constant
	}
	return w
}}

// Compress compresses a value.
func Compress(value []byte) []byte {
	var b bytes.Buffer
	w := writers.Get().(*flate.Writer) //nolint:forcetypeassert // of the pool's New
	defer writers.Put(w)
	w.Reset(&b)
	_, err := w.Write(value)
	if err = errors.Join(err, w.Close()); err != nil {
		panic("compress: " + err.Error()) // a buffer takes everything
	}
	return b.Bytes()
}

var errLong = errors.New("unpacked value is too long")

// Decompress undoes Pack, for values of at most 8 MB.
func Decompress(value []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value)), maxUnpacked+1))
	if err != nil {
		return nil, fmt.Errorf("unpack: %w", err)
	}
	if len(out) > maxUnpacked {
		return nil, errLong
	}
	return out, nil
}
