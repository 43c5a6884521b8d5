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
	"github.com/cranberrybay/cranberrybay/intake"
	"github.com/cranberrybay/cranberrybay/pacer"
	"github.com/cranberrybay/cranberrybay/poison"
	"github.com/cranberrybay/cranberrybay/seal"
	"github.com/cranberrybay/cranberrybay/socket"
	"github.com/cranberrybay/cranberrybay/watch"
	"github.com/cranberrybay/cranberrybay/wire"
)

const (
	// fetchDialTimeout bounds opening a connection to a process that may be gone.
	fetchDialTimeout = 400 * time.Millisecond
	// fetchTimeout bounds a whole fetch. The answering process may still be reading
	// the platform's tables itself.
	fetchTimeout = 2500 * time.Millisecond
	// fetchPollInterval is the interval at which a starting process checks whether it
	// has the state that it was asked for.
	fetchPollInterval = 50 * time.Millisecond
	// maxFetchBytes and maxSnapshotBytes bound the messages. A snapshot of 4,000
	// servers takes 1.5 MB before compression.
	maxFetchBytes    = 4 << 10
	maxSnapshotBytes = 8 << 20
	// fetchReceive is the receive buffer of a fetch in bytes.
	fetchReceive = 128 << 10
	// snapshotReuse is how long an encoded snapshot is reused for several processes
	// that start together.
	snapshotReuse = 200 * time.Millisecond
	// nonceBytes is the size of the nonce that ties an answer to its fetch.
	nonceBytes = 16
	// maxConcurrentFetches bounds the fetches that are answered at the same time.
	maxConcurrentFetches = 128
)

// snapshot is the state of another process: the platform's tables and the entry
// processes that it knows.
type snapshot struct {
	tables   map[string]watch.State
	peers    []beat.Peer
	suspects []poison.Record // parts of prompts that may crash backend servers
	rates    []pacer.Record  // rates that backend servers name
	leavers  []intake.Record // backend servers that said that they leave
}

var errNotSettled = errors.New("the process does not know the platform's tables yet")

// stateFetcher fetches the state of other processes, and answers their fetches. A
// starting process does so to spare the platform a read of the whole tables.
type stateFetcher struct {
	self     beat.Peer
	sealer   *seal.Sealer
	members  *beat.Membership
	poison   *poison.Tracker
	pacer    *pacer.Pacer
	intake   *intake.Tracker
	follower func(table string) *watch.Follower
	tables   []string
	log      zerolog.Logger

	mu      sync.Mutex
	made    time.Duration // clock.Now when encoded was made
	encoded []byte        // the last snapshot
}

// fetch fetches the state of a process. With wait, that process may first finish
// reading the tables.
func (f *stateFetcher) fetch(ctx context.Context, address string, wait bool) (snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	d := net.Dialer{Timeout: fetchDialTimeout, Control: socket.Receive(fetchReceive)}
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return snapshot{}, err
	}
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	defer func() { _ = c.Close() }()
	q := &wire.Fetch{Nonce: make([]byte, nonceBytes), Wait: wait, From: &wire.Process{Name: f.self.Name, Domain: f.self.Domain}}
	_, _ = rand.Read(q.Nonce) // never fails
	sentAt := clock.Now()
	if err := f.write(c, seal.Fetch, q); err != nil {
		return snapshot{}, err
	}
	var s wire.State
	if err := f.read(c, seal.State, &s, maxSnapshotBytes); err != nil {
		return snapshot{}, err
	}
	if subtle.ConstantTimeCompare(s.Nonce, q.Nonce) != 1 {
		return snapshot{}, errors.New("nonce of the answer differs from that of the fetch")
	}
	return decodeSnapshot(&s, sentAt)
}

// write sends a sealed message, prefixed with its length.
func (f *stateFetcher) write(w io.Writer, kind seal.Kind, m proto.Message) error {
	e, err := f.sealer.Wrap(kind, m)
	if err != nil {
		return err
	}
	_, err = protodelim.MarshalTo(w, e)
	return err
}

// read receives a sealed message of at most maxBytes bytes.
func (f *stateFetcher) read(r io.Reader, kind seal.Kind, m proto.Message, maxBytes int64) error {
	var e wire.Envelope
	if err := (protodelim.UnmarshalOptions{MaxSize: maxBytes}).UnmarshalFrom(byteReader{r}, &e); err != nil {
		return err
	}
	if err := f.sealer.Unwrap(kind, &e, m); err != nil && !errors.Is(err, seal.ErrNewer) {
		return err
	}
	return nil
}

// byteReader implements io.ByteReader, which protodelim needs to read a length, without
// reading ahead.
type byteReader struct{ io.Reader }

func (b byteReader) ReadByte() (byte, error) {
	var one [1]byte
	_, err := io.ReadFull(b.Reader, one[:])
	return one[0], err
}

// decodeSnapshot decodes an answer. The snapshot may have been encoded for an earlier
// fetch; s.Held is its age when the answer was sent. Each table has an age of its own
// at the time of encoding. Subtracting both ages from sentAt, the time at which the
// fetch was sent, never makes a table look newer than it is.
func decodeSnapshot(s *wire.State, sentAt time.Duration) (snapshot, error) {
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
			Complete: t.Complete, Changed: p.Changed, At: sentAt - age,
		}
	}
	for _, p := range w.Processes {
		out.peers = append(out.peers, beat.Peer{Name: p.Name, Address: p.Address, CallerAddress: p.Callers, Domain: p.Domain, Weight: p.Weight})
	}
	held := time.Duration(max(s.Held, 0)) * time.Millisecond
	out.suspects, out.rates, out.leavers = beat.DecodeSuspects(w.Suspects, held), beat.DecodeRates(w.Rates, held), beat.DecodeLeavers(w.Leavers, held)
	return out, nil
}

// serve answers fetches until the listener is closed.
func (f *stateFetcher) serve(ln net.Listener) {
	slots := make(chan struct{}, maxConcurrentFetches)
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.log.Warn().Err(err).Msg("failed to accept a state fetch")
			time.Sleep(fetchPollInterval)
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
func (f *stateFetcher) answer(c net.Conn) {
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(fetchTimeout)); err != nil {
		return
	}
	var q wire.Fetch
	if err := f.read(c, seal.Fetch, &q, maxFetchBytes); err != nil {
		f.log.Warn().Err(err).Str("from", c.RemoteAddr().String()).Msg("state fetch not answered")
		return
	}
	end := time.Now().Add(fetchTimeout)
	raw, made, err := f.encodedSnapshot()
	for q.Wait && errors.Is(err, errNotSettled) && time.Now().Before(end) {
		time.Sleep(fetchPollInterval)
		raw, made, err = f.encodedSnapshot()
	}
	if err == nil {
		err = f.write(c, seal.State, &wire.State{Nonce: q.Nonce, Snapshot: raw, Held: (clock.Now() - made).Milliseconds() + 1})
	}
	if err != nil {
		f.log.Info().Err(err).Str("peer", q.GetFrom().GetName()).Msg("state fetch not answered")
	}
}

// encodedSnapshot returns the state of this process, encoded, and when that was done.
func (f *stateFetcher) encodedSnapshot() (raw []byte, made time.Duration, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.encoded != nil && clock.Now()-f.made < snapshotReuse {
		return f.encoded, f.made, nil
	}
	w := &wire.Snapshot{}
	now := clock.Now()
	for _, name := range f.tables {
		follower := f.follower(name)
		if follower == nil {
			return nil, 0, errNotSettled
		}
		s, ok := follower.State()
		if !ok {
			return nil, 0, errNotSettled
		}
		page, err := beat.EncodePage(beat.Page{Watermark: beat.Watermark{Table: name, Changed: s.Changed, Clock: s.Clock}, Revision: s.Revision, Rows: s.Rows})
		if err != nil {
			return nil, 0, err
		}
		w.Tables = append(w.Tables, &wire.Table{Page: page, Complete: s.Complete, Age: (now - s.At).Milliseconds() + 1})
	}
	for _, p := range f.members.Peers() {
		w.Processes = append(w.Processes, &wire.Process{Name: p.Name, Address: p.Address, Callers: p.CallerAddress, Domain: p.Domain, Weight: p.Weight})
	}
	w.Suspects, w.Rates, w.Leavers = beat.EncodeSuspects(f.poison.Records()), beat.EncodeRates(f.pacer.Records()), beat.EncodeLeavers(f.intake.Records())
	raw, err = proto.Marshal(w)
	if err != nil {
		return nil, 0, fmt.Errorf("encode snapshot: %w", err)
	}
	f.encoded, f.made = raw, now
	return f.encoded, f.made, nil
}
