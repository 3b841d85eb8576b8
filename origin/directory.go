package origin

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
)

var _ chestnutstep.Origins = (*Directory)(nil)

// lookupRetryInterval is the pause before a lookup is repeated: a datagram can be lost.
const lookupRetryInterval = 30 * time.Millisecond

// Directory keeps the records of streams together with the other entries. It implements
// chestnutstep.Origins. The fields must be set before use.
type Directory struct {
	Self Member
	// Members returns the other entries.
	Members func() []Member
	// Send sends a datagram to another entry, which passes it to its Receive. It can be lost.
	Send func(to netip.AddrPort, b []byte)

	store Store

	mu sync.Mutex
	// lookups holds the lookups in progress, by stream.
	lookups map[StreamID][]*lookup
}

// lookup is the search of this entry for the record of a stream.
type lookup struct {
	// unanswered holds the entries that have not replied yet.
	unanswered map[netip.AddrPort]bool
	// done is closed when a record has arrived, or all entries have replied that they have none.
	done chan struct{}
}

// message is a datagram between directories.
type message struct {
	_    struct{} `cbor:",toarray"`
	From netip.AddrPort
	// Records are new records, or replies to lookups.
	Records []Record
	// Lookups are streams whose records the sender requests.
	Lookups []StreamID
	// NotFound are streams that the receiver looked up and of which the sender has no record.
	NotFound []StreamID
}

// Record records that a build of a service began the stream of an attempt, here and at the entries
// that hold the record.
func (d *Directory) Record(attempt, service, build string) {
	r := Record{Stream: NewStreamID(attempt), Build: chestnutstep.NewBuildID(service, build)}
	d.store.Add(clock.Now(), r)
	var to []netip.AddrPort
	for _, m := range Holders(r.Stream, d.all(), copies) {
		if m.Addr != d.Self.Addr {
			to = append(to, m.Addr)
		}
	}
	d.send(message{Records: []Record{r}}, to...)
}

// Find returns which of a service's builds began the stream of an attempt. It returns false if no
// entry has a record, or none that has one replies within the timeout.
func (d *Directory) Find(ctx context.Context, attempt string, timeout time.Duration) (chestnutstep.BuildID, bool) {
	stream := NewStreamID(attempt)
	if b, ok := d.store.Find(stream); ok {
		return b, true
	}
	l := d.startLookup(stream)
	defer d.endLookup(stream, l)
	limit, repeat := time.NewTimer(timeout), time.NewTicker(lookupRetryInterval)
	defer limit.Stop()
	defer repeat.Stop()
	for {
		d.sendLookup(stream, l)
		select {
		case <-repeat.C:
			continue
		case <-l.done:
		case <-limit.C:
		case <-ctx.Done():
		}
		return d.store.Find(stream)
	}
}

// startLookup registers a lookup at the entries that can hold the record of a stream.
func (d *Directory) startLookup(stream StreamID) *lookup {
	l := &lookup{unanswered: make(map[netip.AddrPort]bool), done: make(chan struct{})}
	for _, m := range Holders(stream, d.all(), maxQueried) {
		if m.Addr != d.Self.Addr {
			l.unanswered[m.Addr] = true
		}
	}
	if len(l.unanswered) == 0 {
		close(l.done)
		return l
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lookups == nil {
		d.lookups = make(map[StreamID][]*lookup)
	}
	d.lookups[stream] = append(d.lookups[stream], l)
	return l
}

func (d *Directory) sendLookup(stream StreamID, l *lookup) {
	d.mu.Lock()
	to := make([]netip.AddrPort, 0, len(l.unanswered))
	for a := range l.unanswered {
		to = append(to, a)
	}
	d.mu.Unlock()
	d.send(message{Lookups: []StreamID{stream}}, to...)
}

// endLookup removes a lookup.
func (d *Directory) endLookup(stream StreamID, l *lookup) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.lookups[stream]
	for i := range list {
		if list[i] == l {
			list = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(d.lookups, stream)
		return
	}
	d.lookups[stream] = list
}

// Receive handles a datagram of another entry. It returns an error if the datagram is not valid.
func (d *Directory) Receive(now clock.Stamp, b []byte) error {
	var m message
	if err := cbor.Unmarshal(b, &m); err != nil {
		return errors.Wrap(err, "decode records of streams")
	}
	if !m.From.IsValid() {
		return errors.New("decode records of streams: sender address is missing or invalid")
	}
	for _, r := range m.Records {
		d.store.Add(now, r)
		d.applyReply(r.Stream, m.From, true)
	}
	for _, stream := range m.NotFound {
		d.applyReply(stream, m.From, false)
	}
	if len(m.Lookups) > 0 {
		d.reply(m.From, m.Lookups)
	}
	return nil
}

func (d *Directory) reply(to netip.AddrPort, streams []StreamID) {
	var m message
	for _, stream := range streams {
		if b, ok := d.store.Find(stream); ok {
			m.Records = append(m.Records, Record{Stream: stream, Build: b})
		} else {
			m.NotFound = append(m.NotFound, stream)
		}
	}
	d.send(m, to)
}

// applyReply applies a reply to the lookups of a stream.
func (d *Directory) applyReply(stream StreamID, from netip.AddrPort, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.lookups[stream] {
		open := len(l.unanswered) > 0
		delete(l.unanswered, from)
		if found {
			clear(l.unanswered)
		}
		if open && len(l.unanswered) == 0 {
			close(l.done)
		}
	}
}

// all returns this entry and the others.
func (d *Directory) all() []Member { return append(d.Members(), d.Self) }

func (d *Directory) send(m message, to ...netip.AddrPort) {
	m.From = d.Self.Addr
	b, err := cbor.Marshal(m)
	if err != nil {
		return // numbers and an address always have an encoding
	}
	for _, a := range to {
		d.Send(a, b)
	}
}
