// Package feed distributes published facts from a few entries that read the source, the readers, to
// all other entries, the followers. Each entry serves the facts that it holds together with their
// age. A follower watches one of the readers instead of the source, and reads the source itself as
// soon as no reader's response is fresh enough. Revisions are those of the source, so that an entry
// can continue from any reader.
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

// Path is the HTTP path at which an entry serves facts to its peers. The query has the parameters
// "topic"; "after", a revision (0 for all facts); "wait" and "fresh", both in milliseconds; and
// "direct", which requests facts only from an entry that reads the source itself.
const Path = "/feed"

// Headers of a response, whose body is a list of published facts.
const (
	// headerAge is the age of the facts at the arrival of the request, provided that nothing has
	// changed since. headerSettle is the time within which missing instances can return. Both are
	// in milliseconds.
	headerAge    = "Feed-Age"
	headerSettle = "Feed-Settle"
	// headerRevision is the revision up to which the facts are complete.
	headerRevision = "Feed-Revision"
	// headerCompressed is set if the body is compressed.
	headerCompressed = "Feed-Packed"
)

// minCompressSize is the minimum size in bytes of a body that is compressed.
const minCompressSize = 2 << 10

// page is a decoded response.
type page struct {
	age, settle time.Duration
	revision    uint64
	facts       []publishedFact
}

// publishedFact is a fact in the form in which it was published.
type publishedFact struct {
	_        struct{} `cbor:",toarray"`
	Kind     uint8
	Name     string
	Revision uint64
	Gone     bool
	Raw      []byte
}

// maxCopies is the number of peers that can get all facts concurrently. A copy can take a
// considerable part of a second of a host's link, and a peer that has received one can serve
// others.
const maxCopies = 2

// Server serves the facts of this entry to its followers. Its fields must be set before use.
type Server struct {
	Roster *roster.Roster

	activeCopies atomic.Int32
	mu           sync.Mutex
	// latest holds the most recent body of each topic, which most followers request.
	latest [chestnutstep.TopicCount]body
}

// body is an encoded list of facts.
type body struct {
	after, revision uint64
	raw             []byte
	compressed      bool
}

// request holds the parameters of a peer's request.
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

// ServeHTTP responds with the facts after a revision as soon as there are any. It responds with 503
// while the entry has no facts, to a request for all facts while maxCopies peers get them, and if
// there are no changes and the entry cannot follow the source itself. It responds with 410 if the
// history since the revision is no longer available.
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

// waitForChanges waits for changes until the wait of the request is over or the facts exceed the
// requested age.
func (s *Server) waitForChanges(req request, requestedAt clock.Stamp, done <-chan struct{}) {
	for end := requestedAt.Add(req.wait); !s.canRespond(req); {
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

// canRespond reports whether the request can be answered without waiting: there are changes, or no
// more will come because this entry does not follow the source.
func (s *Server) canRespond(req request) bool {
	return s.Roster.HasNewer(req.topic, req.after) || !s.Roster.IsFollowing(req.topic, req.direct)
}

// respond writes the facts after the requested revision.
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
	h["Date"] = nil // saves bytes: followers send requests continually
	h.Set(headerAge, strconv.FormatInt(age.Milliseconds()+1, 10))
	h.Set(headerSettle, strconv.FormatInt(b.SettleTime.Milliseconds(), 10))
	h.Set(headerRevision, strconv.FormatUint(b.Revision, 10))
	if encoded.compressed {
		h.Set(headerCompressed, "1")
	}
	// A failed write needs no handling here: the peer detects the truncated response.
	_, _ = w.Write(encoded.raw)
}

// encode returns the body of a response. The body is cached for all followers at the same revision.
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

// compress returns the DEFLATE encoding of raw.
func compress(raw []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic(err) // unreachable: the level is valid
	}
	_, _ = w.Write(raw) // writes to a bytes.Buffer do not fail
	_ = w.Close()
	return b.Bytes()
}

// decode parses a response. Its input is untrusted: it returns an error for a missing revision or
// age, or a body that is not a valid list of facts.
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
			return nil, errors.Wrap(err, "decompress facts")
		}
	}
	if len(raw) == 0 {
		return p, nil
	}
	return p, errors.Wrap(cbor.Unmarshal(raw, &p.facts), "decode facts")
}

// age returns the age of the facts of a topic at a time.
func (s *Server) age(at clock.Stamp, t chestnutstep.Topic) time.Duration {
	return at.Sub(s.Roster.Proof(t))
}

// parseMilliseconds parses a number of milliseconds. It returns 0 if text is not a valid number.
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
