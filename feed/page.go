// Package feed spreads published facts from a few entries that read the source to all
// others. Each entry serves the facts that it holds, with their age; a follower watches one
// of the readers in place of the source, and reads the source itself as soon as no reader's
// answer is fresh enough. Revisions are the source's own, so that an entry goes on from any
// of them.
package feed

import (
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/roster"
)

// Path of the watch that an entry serves to its peers. Its query holds "after", a revision
// (0 for all facts), "wait" and "fresh", both in milliseconds.
const Path = "/feed"

// page is the answer to a watch.
type page struct {
	_ struct{} `cbor:",toarray"`
	// Age of the facts and Settle, the time for which missing instances may come back, in
	// milliseconds.
	Age      int64
	Settle   int64
	Revision uint64
	Facts    []published
}

// published is a fact as it was published.
type published struct {
	_        struct{} `cbor:",toarray"`
	Kind     uint8
	Name     string
	Revision uint64
	Gone     bool
	Raw      []byte
}

// Server answers peers that follow this entry. Set the fields before use.
type Server struct {
	Roster *roster.Roster
}

// ServeHTTP answers with the facts after a revision as soon as there are any. It answers
// 503 while nothing is known, and 410 where the revision is too old.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	if s.Roster.View() == nil {
		http.Error(w, "no facts yet", http.StatusServiceUnavailable)
		return
	}
	wait := min(milliseconds(query.Get("wait")), milliseconds(query.Get("fresh"))-s.age())
	s.Roster.Await(after, wait, r.Context().Done())
	age := s.age()
	b, ok := s.Roster.Since(clock.Now(), after)
	if !ok {
		http.Error(w, "history is gone", http.StatusGone)
		return
	}
	p := page{Age: age.Milliseconds() + 1, Settle: b.Settle.Milliseconds(), Revision: b.Revision}
	for _, f := range b.Facts {
		p.Facts = append(p.Facts, published{Kind: uint8(f.Kind), Name: f.Name, Revision: f.Revision, Gone: f.Gone, Raw: f.Raw})
	}
	raw, err := cbor.Marshal(p)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// An error here is the reader's: it sees that the answer is cut.
	_, _ = w.Write(raw)
}

func (s *Server) age() time.Duration { return clock.Now().Sub(s.Roster.Proof()) }

// milliseconds reads a number of a query; 0 for one that can't be read.
func milliseconds(text string) time.Duration {
	n, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// batch decodes a page.
func (p *page) batch(d chestnutstep.Decoder) chestnutstep.Batch {
	b := chestnutstep.Batch{
		Revision: p.Revision,
		Age:      time.Duration(p.Age) * time.Millisecond,
		Settle:   time.Duration(p.Settle) * time.Millisecond,
	}
	for _, x := range p.Facts {
		kind := chestnutstep.FactKind(x.Kind)
		if x.Gone {
			b.Facts = append(b.Facts, chestnutstep.Fact{Kind: kind, Name: x.Name, Revision: x.Revision, Gone: true})
			continue
		}
		b.Facts = append(b.Facts, d.Decode(kind, x.Name, x.Revision, x.Raw))
	}
	return b
}
