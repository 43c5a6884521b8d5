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
	// deadReportInterval is the least time between two reports of the same dead server. It
	// is shorter than the 2 s for which package relay avoids a reported server, so that a
	// server that is found dead again after that is reported again.
	deadReportInterval = 1500 * time.Millisecond
	// maxDeadReports bounds the remembered reports; beyond it all are forgotten.
	maxDeadReports = 1000
	// maxPageBytes bounds the compressed rows of a page that is sent to other processes,
	// which read larger ones from the platform themselves.
	maxPageBytes = 48 << 10
	// maxDecompressed bounds a decompressed message in bytes. A table of 4,000 servers
	// takes 2.5 MB.
	maxDecompressed = 8 << 20
)

// ReportDead tells all processes at once that a backend server does not answer, unless
// this was reported within deadReportInterval.
func (ms *Membership) ReportDead(server string) {
	now, h := clock.Now(), ServerHash(server)
	ms.mu.Lock()
	if at, ok := ms.deadReports[h]; ok && now-at < deadReportInterval {
		ms.mu.Unlock()
		return
	}
	ms.deadReports[h] = now
	ms.mu.Unlock()
	ms.broadcast(notice{dead: []uint64{h}})
}

// applyDeadReports records servers that another process reported dead.
func (ms *Membership) applyDeadReports(servers []uint64) {
	if len(servers) == 0 {
		return
	}
	now := clock.Now()
	ms.mu.Lock()
	for _, h := range servers {
		ms.deadReports[h] = now
	}
	if len(ms.deadReports) > maxDeadReports {
		clear(ms.deadReports)
	}
	ms.mu.Unlock()
	if ms.cfg.OnDead != nil {
		ms.cfg.OnDead(servers)
	}
}

// ShareChanges sends changes that this process polled to all other processes.
func (ms *Membership) ShareChanges(p Page) {
	x, err := EncodePage(p)
	if err != nil {
		ms.cfg.Log.Error().Err(err).Str("table", p.Table).Msg("changes not shared")
		return
	}
	n := notice{pages: []*wire.Page{x}}
	if len(x.Rows) > maxPageBytes { // the others see the watermark and read the platform
		n.pages = nil
	}
	switch {
	case !ms.IsHub():
		n.seen = []*wire.Seen{encodeWatermark(p.Watermark)}
		ms.tellDomain(n)
	case len(n.pages) > 0:
		ms.broadcast(n)
	}
}

// ShareWatermark tells the processes of this failure domain what this process learned from an answer of
// the platform without changes.
func (ms *Membership) ShareWatermark(w Watermark) {
	ms.tellDomain(notice{seen: []*wire.Seen{encodeWatermark(w)}})
}

// tellDomain sends a notice to the processes of this failure domain without the help of the hub, which may
// be gone. The hub forwards it to the other failure domains only.
func (ms *Membership) tellDomain(n notice) {
	ms.mu.Lock()
	b := ms.newNotice(n)
	ms.mu.Unlock()
	ms.send(b, ms.toMembers())
}

func encodeWatermark(w Watermark) *wire.Seen {
	return &wire.Seen{Table: w.Table, Changed: w.Changed, Clock: w.Clock.Milliseconds()}
}

// EncodePage converts a page to its wire form. After and Changed are the revisions of the
// table's last change before the page and with it. The rows are compressed, which shrinks the
// configuration and the entries of many servers to a tenth.
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

// DecodePage converts a page from its wire form.
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

// flateWriters pools compressors, each of which takes half a megabyte.
var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic("flate: " + err.Error()) // the level is a constant
	}
	return w
}}

// Compress compresses a value with DEFLATE.
func Compress(value []byte) []byte {
	var b bytes.Buffer
	w := flateWriters.Get().(*flate.Writer) //nolint:forcetypeassert // the pool's New returns this type
	defer flateWriters.Put(w)
	w.Reset(&b)
	_, err := w.Write(value)
	if err = errors.Join(err, w.Close()); err != nil {
		panic("compress: " + err.Error()) // writes to a bytes.Buffer never fail
	}
	return b.Bytes()
}

var errTooLong = errors.New("decompressed value is longer than 8 MiB")

// Decompress reverses Compress for values of at most maxDecompressed bytes.
func Decompress(value []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value)), maxDecompressed+1))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	if len(out) > maxDecompressed {
		return nil, errTooLong
	}
	return out, nil
}
