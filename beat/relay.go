package beat

import (
	"bytes"
	"compress/gzip"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/watch"
	"github.com/cranberrybay/cranberrybay/wire"
)

// Hash returns the hash of a backend server's name, as heartbeats carry it.
func Hash(server string) uint64 { return xxhash.Sum64String(server) }

// Alert tells all peers at once that a backend server does not answer, unless a
// peer has just told it.
func (r *Ring) Alert(server string) {
	now, h := clock.Now(), Hash(server)
	r.mu.Lock()
	if at, ok := r.alerts[h]; ok && now-at < alertEvery {
		r.mu.Unlock()
		return
	}
	r.alerts[h] = now
	r.mu.Unlock()
	r.send(r.compose(nil, []uint64{h}), true)
}

// alerted hands on what a peer found dead.
func (r *Ring) alerted(servers []uint64) {
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
	if r.cfg.Dead != nil {
		r.cfg.Dead(servers)
	}
}

// Share sends changes that this process polled to the peers of its failure domain
// at once. The other domains have readers of their own.
func (r *Ring) Share(p Page) {
	x := &wire.Page{Table: p.Table, After: p.After, Changed: p.Changed, Revision: p.Revision, Clock: p.Clock.Milliseconds()}
	size := 0
	for _, row := range p.Rows {
		value, packed := pack(row.Value)
		x.Rows = append(x.Rows, &wire.Row{Key: row.Key, Value: value, Packed: packed, Revision: row.Revision, Deleted: row.Deleted})
		size += len(row.Key) + len(value)
	}
	if size > maxPage {
		x = nil // the peers hear of the change and read it
	}
	r.send(r.compose(x, nil), false)
}

// packFrom is the length from which a value is compressed: a configuration has
// some 60 KB and shrinks to a tenth.
const packFrom = 1 << 10

func pack(value []byte) (out []byte, packed bool) {
	if len(value) < packFrom {
		return value, false
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write(value)
	if cerr := w.Close(); err != nil || cerr != nil {
		return value, false // a buffer takes everything
	}
	return b.Bytes(), true
}

// maxValue bounds an unpacked value: the platform's own bound on a row and more.
const maxValue = 4 << 20

func unpack(x *wire.Row) ([]byte, error) {
	if !x.Packed {
		return x.Value, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(x.Value))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxValue))
}

// relay hands on what a reader knows.
func (r *Ring) relay(b *wire.Beat) {
	for _, p := range b.Pages {
		if r.cfg.Offer == nil {
			break
		}
		page := Page{Seen: Seen{Table: p.Table, Changed: p.Changed, Clock: time.Duration(p.Clock) * time.Millisecond}, After: p.After, Revision: p.Revision}
		if err := readRows(p, &page); err != nil {
			r.cfg.Log.Warn().Err(err).Str("peer", b.Name).Str("table", p.Table).Msg("relayed changes can't be read")
			continue // the followers miss them and poll
		}
		r.cfg.Offer(page)
	}
	for _, x := range b.Seen {
		if r.cfg.Heard != nil {
			r.cfg.Heard(Seen{Table: x.Table, Changed: x.Changed, Clock: time.Duration(x.Clock) * time.Millisecond})
		}
	}
}

func readRows(p *wire.Page, page *Page) error {
	for _, row := range p.Rows {
		value, err := unpack(row)
		if err != nil {
			return err
		}
		page.Rows = append(page.Rows, watch.Row{Key: row.Key, Value: value, Revision: row.Revision, Deleted: row.Deleted})
	}
	return nil
}
