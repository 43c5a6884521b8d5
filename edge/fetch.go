package edge

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/cranberrybay/cranberrybay/beat"
	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/seal"
	"github.com/cranberrybay/cranberrybay/watch"
	"github.com/cranberrybay/cranberrybay/wire"
)

const (
	// fetchDial bounds opening the connection to a process that may be gone.
	fetchDial = 400 * time.Millisecond
	// fetchTimeout bounds the whole of a fetch: the receiver may be reading the
	// platform's tables itself.
	fetchTimeout = 2500 * time.Millisecond
	// fetchTick is the interval in which a process that starts looks whether it knows
	// what it was asked for.
	fetchTick = 50 * time.Millisecond
	// maxFetch and maxSnapshot bound messages, in bytes: a snapshot of 4,000 servers
	// takes 1.5 MB before it is compressed.
	maxFetch    = 4 << 10
	maxSnapshot = 8 << 20
	// snapshotAge is how long a snapshot serves several processes that start together.
	snapshotAge = 200 * time.Millisecond
	// nonceBytes makes an answer one to this fetch.
	nonceBytes = 16
	// maxFetches bounds the fetches that are answered at once.
	maxFetches = 128
)

// snapshot is what another process knows.
type snapshot struct {
	tables map[string]watch.State
	peers  []beat.Peer
}

var errNotSettled = errors.New("the process does not know the platform's tables yet")

// fetcher asks other processes for what they know, and answers them.
type fetcher struct {
	self   beat.Peer
	sealer *seal.Sealer
	ring   *beat.Membership
	follow func(name string) *watch.Follower
	tables []string
	log    zerolog.Logger

	mu   sync.Mutex
	made time.Duration // clock.Now when packed was made
	pack []byte        // the last snapshot
}

// fetch asks a process.
func (f *fetcher) fetch(ctx context.Context, address string, wait bool) (snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	d := net.Dialer{Timeout: fetchDial}
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return snapshot{}, err
	}
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	defer func() { _ = c.Close() }()
	q := &wire.Fetch{Nonce: make([]byte, nonceBytes), Wait: wait, From: &wire.Process{Name: f.self.Name, Domain: f.self.Domain}}
	_, _ = rand.Read(q.Nonce) // never fails
	asked := clock.Now()
	if err := f.write(c, seal.Fetch, q); err != nil {
		return snapshot{}, err
	}
	var s wire.State
	if err := f.read(c, seal.State, &s, maxSnapshot); err != nil {
		return snapshot{}, err
	}
	if subtle.ConstantTimeCompare(s.Nonce, q.Nonce) != 1 {
		return snapshot{}, errors.New("answer to another fetch")
	}
	return decodeSnapshot(&s, asked)
}

// write sends a sealed message with its length.
func (f *fetcher) write(w io.Writer, kind seal.Kind, m proto.Message) error {
	e, err := f.sealer.Wrap(kind, m)
	if err != nil {
		return err
	}
	_, err = protodelim.MarshalTo(w, e)
	return err
}

// read receives a sealed message of at most so many bytes.
func (f *fetcher) read(r io.Reader, kind seal.Kind, m proto.Message, most int64) error {
	var e wire.Envelope
	if err := (protodelim.UnmarshalOptions{MaxSize: most}).UnmarshalFrom(byteReader{r}, &e); err != nil {
		return err
	}
	if err := f.sealer.Unwrap(kind, &e, m); err != nil && !errors.Is(err, seal.ErrNewer) {
		return err
	}
	return nil
}

// byteReader reads single bytes, as protodelim does for a length.
type byteReader struct{ io.Reader }

func (b byteReader) ReadByte() (byte, error) {
	var one [1]byte
	_, err := io.ReadFull(b.Reader, one[:])
	return one[0], err
}

// decodeSnapshot decodes an answer. All changes up to a table's clock were known when
// the snapshot was made, which was not before the fetch was sent less what the answer
// says was held; counted from then, the age is never too low.
func decodeSnapshot(s *wire.State, asked time.Duration) (snapshot, error) {
	out := snapshot{tables: map[string]watch.State{}}
	var w wire.Snapshot
	if err := proto.Unmarshal(s.Snapshot, &w); err != nil {
		return out, fmt.Errorf("decode snapshot: %w", err)
	}
	for _, t := range w.Tables {
		p, err := beat.DecodePage(t.GetPage())
		if err != nil {
			return out, err
		}
		age := time.Duration(max(t.Age, 0)+max(s.Held, 0)) * time.Millisecond
		out.tables[p.Table] = watch.State{
			Page:     watch.Page{Rows: p.Rows, Revision: p.Revision, Whole: true, Clock: p.Clock},
			Complete: t.Complete, Changed: p.Changed, At: asked - age,
		}
	}
	for _, p := range w.Processes {
		out.peers = append(out.peers, beat.Peer{Name: p.Name, Address: p.Address, CallerAddress: p.Callers, Domain: p.Domain, Weight: p.Weight})
	}
	return out, nil
}

// serve answers fetches until the listener is closed.
func (f *fetcher) serve(ln net.Listener) {
	slots := make(chan struct{}, maxFetches)
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.log.Warn().Err(err).Msg("accept fetch")
			time.Sleep(fetchTick)
			continue
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				f.answer(c)
			}()
		default:
			_ = c.Close()
		}
	}
}

// answer answers one fetch.
func (f *fetcher) answer(c net.Conn) {
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(fetchTimeout)); err != nil {
		return
	}
	var q wire.Fetch
	if err := f.read(c, seal.Fetch, &q, maxFetch); err != nil {
		f.log.Warn().Err(err).Str("from", c.RemoteAddr().String()).Msg("fetch not answered")
		return
	}
	end := time.Now().Add(fetchTimeout)
	raw, made, err := f.snapshot()
	for q.Wait && errors.Is(err, errNotSettled) && time.Now().Before(end) {
		time.Sleep(fetchTick)
		raw, made, err = f.snapshot()
	}
	if err == nil {
		err = f.write(c, seal.State, &wire.State{Nonce: q.Nonce, Snapshot: raw, Held: (clock.Now() - made).Milliseconds() + 1})
	}
	if err != nil {
		f.log.Info().Err(err).Str("peer", q.GetFrom().GetName()).Msg("fetch not answered")
	}
}

// snapshot returns what this process knows and when that was put together.
func (f *fetcher) snapshot() (raw []byte, made time.Duration, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pack != nil && clock.Now()-f.made < snapshotAge {
		return f.pack, f.made, nil
	}
	w := &wire.Snapshot{}
	now := clock.Now()
	for _, name := range f.tables {
		fw := f.follow(name)
		if fw == nil {
			return nil, 0, errNotSettled
		}
		s, ok := fw.State()
		if !ok {
			return nil, 0, errNotSettled
		}
		page, err := beat.EncodePage(beat.Page{Watermark: beat.Watermark{Table: name, Changed: s.Changed, Clock: s.Clock}, Revision: s.Revision, Rows: s.Rows})
		if err != nil {
			return nil, 0, err
		}
		w.Tables = append(w.Tables, &wire.Table{Page: page, Complete: s.Complete, Age: (now - s.At).Milliseconds() + 1})
	}
	for _, p := range f.ring.Peers() {
		w.Processes = append(w.Processes, &wire.Process{Name: p.Name, Address: p.Address, Callers: p.CallerAddress, Domain: p.Domain, Weight: p.Weight})
	}
	raw, err = proto.Marshal(w)
	if err != nil {
		return nil, 0, fmt.Errorf("encode snapshot: %w", err)
	}
	f.pack, f.made = raw, now
	return f.pack, f.made, nil
}
