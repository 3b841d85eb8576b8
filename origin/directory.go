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

// askInterval is the pause before a question is repeated: a datagram can be lost.
const askInterval = 30 * time.Millisecond

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
	// questions holds the questions that wait for answers, by stream.
	questions map[StreamID][]*question
}

// question is a request of this entry for the record of a stream.
type question struct {
	// unanswered is the number of entries that have not answered yet.
	unanswered map[netip.AddrPort]bool
	// done is closed when a record arrived, or all entries have answered that they have none.
	done chan struct{}
}

// message is a datagram between directories.
type message struct {
	_    struct{} `cbor:",toarray"`
	From netip.AddrPort
	// Records are new records, or answers to questions.
	Records []Record
	// Asked are streams whose records the sender asks for.
	Asked []StreamID
	// Unknown are streams that the receiver asked for and of which the sender has no record.
	Unknown []StreamID
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
// entry has a record, or none that has one answers within the timeout.
func (d *Directory) Find(ctx context.Context, attempt string, timeout time.Duration) (chestnutstep.BuildID, bool) {
	stream := NewStreamID(attempt)
	if b, ok := d.store.Find(stream); ok {
		return b, true
	}
	q := d.ask(stream)
	defer d.forget(stream, q)
	limit, repeat := time.NewTimer(timeout), time.NewTicker(askInterval)
	defer limit.Stop()
	defer repeat.Stop()
	for {
		d.sendQuestion(stream, q)
		select {
		case <-repeat.C:
			continue
		case <-q.done:
		case <-limit.C:
		case <-ctx.Done():
		}
		return d.store.Find(stream)
	}
}

// ask registers a question to the entries that can hold the record of a stream.
func (d *Directory) ask(stream StreamID) *question {
	q := &question{unanswered: make(map[netip.AddrPort]bool), done: make(chan struct{})}
	for _, m := range Holders(stream, d.all(), maxAsked) {
		if m.Addr != d.Self.Addr {
			q.unanswered[m.Addr] = true
		}
	}
	if len(q.unanswered) == 0 {
		close(q.done)
		return q
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.questions == nil {
		d.questions = make(map[StreamID][]*question)
	}
	d.questions[stream] = append(d.questions[stream], q)
	return q
}

func (d *Directory) sendQuestion(stream StreamID, q *question) {
	d.mu.Lock()
	to := make([]netip.AddrPort, 0, len(q.unanswered))
	for a := range q.unanswered {
		to = append(to, a)
	}
	d.mu.Unlock()
	d.send(message{Asked: []StreamID{stream}}, to...)
}

// forget removes a question.
func (d *Directory) forget(stream StreamID, q *question) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.questions[stream]
	for i := range list {
		if list[i] == q {
			list = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(d.questions, stream)
		return
	}
	d.questions[stream] = list
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
		d.settle(r.Stream, m.From, true)
	}
	for _, stream := range m.Unknown {
		d.settle(stream, m.From, false)
	}
	if len(m.Asked) > 0 {
		d.answer(m.From, m.Asked)
	}
	return nil
}

func (d *Directory) answer(to netip.AddrPort, asked []StreamID) {
	var m message
	for _, stream := range asked {
		if b, ok := d.store.Find(stream); ok {
			m.Records = append(m.Records, Record{Stream: stream, Build: b})
		} else {
			m.Unknown = append(m.Unknown, stream)
		}
	}
	d.send(m, to)
}

// settle applies an answer to the questions about a stream.
func (d *Directory) settle(stream StreamID, from netip.AddrPort, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, q := range d.questions[stream] {
		open := len(q.unanswered) > 0
		delete(q.unanswered, from)
		if found {
			clear(q.unanswered)
		}
		if open && len(q.unanswered) == 0 {
			close(q.done)
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
