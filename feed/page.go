// Package feed spreads published facts from a few entries that read the source to all
// others. Each entry serves the facts that it holds, with their age; a follower watches one
// of the readers in place of the source, and reads the source itself as soon as no reader's
// answer is fresh enough. Revisions are the source's own, so that an entry goes on from any
// of them.
package feed

import (
	"bytes"
	"compress/flate"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/roster"
)

// Path of the watch that an entry serves to its peers. Its query holds "topic", "after", a
// revision (0 for all facts), "wait" and "fresh", both in milliseconds, and "direct", which
// asks for the facts of an entry that reads the source itself.
const Path = "/feed"

// Headers of an answer, beside a body of published facts.
const (
	// headerAge is the age that the facts had when the request came, if nothing changed
	// since, and headerSettle the time for which missing instances may come back, in
	// milliseconds.
	headerAge    = "Feed-Age"
	headerSettle = "Feed-Settle"
	// headerRevision is that up to which the facts are.
	headerRevision = "Feed-Revision"
	// headerCompressed is set where the body is compressed.
	headerCompressed = "Feed-Packed"
)

// minCompressSize is the size in bytes from which on a body is compressed.
const minCompressSize = 2 << 10

// page is an answer.
type page struct {
	age, settle time.Duration
	revision    uint64
	facts       []publishedFact
}

// publishedFact is a fact as it was published.
type publishedFact struct {
	_        struct{} `cbor:",toarray"`
	Kind     uint8
	Name     string
	Revision uint64
	Gone     bool
	Raw      []byte
}

// maxCopies is how many peers get all facts at a time: a copy may take a good part of a
// second of a host's link, and whoever has one can give it to the others.
const maxCopies = 2

// Server answers peers that follow this entry. Set the fields before use.
type Server struct {
	Roster *roster.Roster

	activeCopies atomic.Int32
	mu           sync.Mutex
	// latest is the newest body of each topic, which most followers ask for.
	latest [chestnutstep.TopicCount]body
}

// body is an encoded list of facts.
type body struct {
	after, revision uint64
	raw             []byte
	compressed      bool
}

// request is what a peer asks for.
type request struct {
	topic        chestnutstep.Topic
	after        uint64
	wait, maxAge time.Duration
	direct       bool
}

func parseRequest(q url.Values) (r request, err error) {
	var ok bool
	if r.topic, ok = chestnutstep.ParseTopic(q.Get("topic")); !ok {
		return r, errors.Newf("topic: %q is not known", q.Get("topic"))
	}
	if r.after, err = strconv.ParseUint(q.Get("after"), 10, 64); err != nil {
		return r, errors.Wrap(err, "after")
	}
	r.wait, r.maxAge = parseMilliseconds(q.Get("wait")), parseMilliseconds(q.Get("fresh"))
	r.direct = q.Get("direct") != ""
	return r, nil
}

// ServeHTTP answers with the facts after a revision as soon as there are any. It answers
// 503 while nothing is known, too many ask for all, or this entry has no news and can't follow
// the source itself; and 410 where the revision is too old.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req, err := parseRequest(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.Roster.Listed(req.topic) {
		http.Error(w, "no facts yet", http.StatusServiceUnavailable)
		return
	}
	if req.after == 0 {
		if s.activeCopies.Add(1) > maxCopies {
			s.activeCopies.Add(-1)
			http.Error(w, "busy", http.StatusServiceUnavailable)
			return
		}
		defer s.activeCopies.Add(-1)
	}
	requestedAt := clock.Now()
	s.waitForChanges(req, requestedAt, r.Context().Done())
	s.respond(w, req, requestedAt)
}

// waitForChanges waits for news as long as the peer does and the facts here stay fresh.
func (s *Server) waitForChanges(req request, requestedAt clock.Stamp, done <-chan struct{}) {
	for end := requestedAt.Add(req.wait); !s.hasChanges(req); {
		now := clock.Now()
		wait := min(end, s.Roster.Proof(req.topic).Add(req.maxAge)).Sub(now)
		if wait <= 0 {
			return
		}
		select {
		case <-done:
			return
		default:
		}
		s.Roster.WaitForUpdate(req.topic, req.after, wait, done)
	}
}

// hasChanges says whether the peer gets its answer at once.
func (s *Server) hasChanges(req request) bool {
	return s.Roster.HasNewer(req.topic, req.after) || !s.Roster.IsFollowing(req.topic, req.direct)
}

// respond writes what is known.
func (s *Server) respond(w http.ResponseWriter, req request, requestedAt clock.Stamp) {
	age := max(s.age(requestedAt, req.topic), time.Millisecond)
	b, ok := s.Roster.Since(clock.Now(), req.topic, req.after)
	if !ok {
		http.Error(w, "history is gone", http.StatusGone)
		return
	}
	if len(b.Facts) == 0 && !s.Roster.IsFollowing(req.topic, req.direct) {
		http.Error(w, "the source is lost", http.StatusServiceUnavailable)
		return
	}
	encoded, err := s.encode(req, b)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h["Date"] = nil // saves bytes: followers ask all the time
	h.Set(headerAge, strconv.FormatInt(age.Milliseconds()+1, 10))
	h.Set(headerSettle, strconv.FormatInt(b.SettleTime.Milliseconds(), 10))
	h.Set(headerRevision, strconv.FormatUint(b.Revision, 10))
	if encoded.compressed {
		h.Set(headerCompressed, "1")
	}
	// An error here is the reader's: it sees that the answer is cut.
	_, _ = w.Write(encoded.raw)
}

// encode returns the body of an answer. It is the same for all followers that are as far.
func (s *Server) encode(req request, b chestnutstep.Batch) (body, error) {
	if len(b.Facts) == 0 {
		return body{}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	last := &s.latest[req.topic]
	if last.revision == b.Revision && last.after == req.after && last.raw != nil {
		return *last, nil
	}
	list := make([]publishedFact, 0, len(b.Facts))
	for _, f := range b.Facts {
		list = append(list, publishedFact{Kind: uint8(f.Kind), Name: f.Name, Revision: f.Revision, Gone: f.Deleted, Raw: f.Raw})
	}
	raw, err := cbor.Marshal(list)
	if err != nil {
		return body{}, errors.Wrap(err, "encode facts")
	}
	*last = body{after: req.after, revision: b.Revision, raw: raw}
	if len(raw) >= minCompressSize {
		last.raw, last.compressed = compress(raw), true
	}
	return *last, nil
}

// compress compresses.
func compress(raw []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a valid one
	}
	_, _ = w.Write(raw) // a bytes.Buffer takes all
	_ = w.Close()
	return b.Bytes()
}

// decode reads an answer.
func decode(h http.Header, raw []byte) (*page, error) {
	p := &page{age: parseMilliseconds(h.Get(headerAge)), settle: parseMilliseconds(h.Get(headerSettle))}
	var err error
	if p.revision, err = strconv.ParseUint(h.Get(headerRevision), 10, 64); err != nil {
		return nil, errors.Wrap(err, headerRevision)
	}
	if p.age <= 0 {
		return nil, errors.Newf("%s: %q", headerAge, h.Get(headerAge))
	}
	if h.Get(headerCompressed) != "" {
		if raw, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(raw)), maxPageSize)); err != nil {
			return nil, errors.Wrap(err, "unpack facts")
		}
	}
	if len(raw) == 0 {
		return p, nil
	}
	return p, errors.Wrap(cbor.Unmarshal(raw, &p.facts), "decode facts")
}

// age is how old the facts of a topic were at a moment.
func (s *Server) age(at clock.Stamp, t chestnutstep.Topic) time.Duration {
	return at.Sub(s.Roster.Proof(t))
}

// parseMilliseconds reads a number of a query; 0 for one that can't be read.
func parseMilliseconds(text string) time.Duration {
	n, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// fillBatch decodes the facts of a page into a batch.
func (p *page) fillBatch(b *chestnutstep.Batch, d chestnutstep.Decoder) {
	b.Revision, b.Age, b.SettleTime = p.revision, p.age, p.settle
	for _, x := range p.facts {
		kind := chestnutstep.FactKind(x.Kind)
		if x.Gone {
			b.Facts = append(b.Facts, chestnutstep.Fact{Kind: kind, Name: x.Name, Revision: x.Revision, Deleted: true})
			continue
		}
		b.Facts = append(b.Facts, d.Decode(kind, x.Name, x.Revision, x.Raw))
	}
}
