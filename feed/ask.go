package feed

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/fetch"
)

const (
	// pageMost bounds an answer in bytes: the largest configuration and the list of
	// thousands of targets, with room.
	pageMost = 8 << 20
	// idleLimit is the longest pause in the middle of a reader's answer.
	idleLimit = time.Second
)

// Read is one call of a reader or of the source.
type Read struct {
	// Peer that was asked; not valid for the source itself.
	Peer netip.AddrPort
	// After is the revision that the changes were asked after; 0 asks for all facts.
	After uint64
	Batch chestnutstep.Batch
	Took  time.Duration
	Err   error
}

// ErrStale is the error of facts that are too old to rely on.
type ErrStale struct{ Age time.Duration }

// Error states the age.
func (err ErrStale) Error() string { return "facts are " + err.Age.String() + " old" }

// ErrStatus is the error of a reader that has no answer.
type ErrStatus struct {
	Status int
	Reason string
}

// Error states the status and the reason.
func (err ErrStatus) Error() string { return fmt.Sprintf("status %d: %s", err.Status, err.Reason) }

// query is what a reader is asked for.
type query struct {
	after  uint64
	wait   time.Duration
	direct bool
}

// ask reads from one reader. Facts that are too old are an error, and are returned.
func (s *Source) ask(ctx context.Context, m Member, q query) (chestnutstep.Batch, error) {
	pace := s.Pace()
	asked := clock.Now()
	b, err := s.get(ctx, m, q, pace)
	if age := clock.Now().Sub(asked) + b.Age; err == nil && age > pace.Fresh && !(q.after == 0 && s.Empty()) {
		err = ErrStale{age}
	}
	s.onRead(Read{Peer: m.ID, After: q.after, Batch: b, Took: clock.Now().Sub(asked), Err: err})
	return b, err
}

func (s *Source) get(ctx context.Context, m Member, q query, pace Pace) (b chestnutstep.Batch, err error) {
	values := url.Values{
		"topic": {s.Topic.String()},
		"after": {strconv.FormatUint(q.after, 10)},
		"wait":  {strconv.FormatInt(q.wait.Milliseconds(), 10)},
		"fresh": {strconv.FormatInt(pace.Fresh.Milliseconds(), 10)},
	}
	if q.direct {
		values.Set("direct", "1")
	}
	u := url.URL{Scheme: "http", Host: m.Feed.String(), Path: Path, RawQuery: values.Encode()}
	a, err := fetch.Get(ctx, s.client, u.String(), fetch.Limits{First: q.wait + pace.Slack, Idle: idleLimit, Most: pageMost})
	b.TimeToFirstByte, b.Bytes = a.First, len(a.Body)
	if err != nil {
		return b, err
	}
	if a.Status != http.StatusOK {
		return b, ErrStatus{a.Status, strings.TrimSpace(string(a.Body))}
	}
	p, err := decode(a.Header, a.Body)
	if err != nil {
		return b, err
	}
	p.fill(&b, s.Decoder)
	return b, nil
}

// onRead reports a call, unless it found that nothing has changed.
func (s *Source) onRead(r Read) {
	if s.OnRead != nil && (r.Err != nil || len(r.Batch.Facts) > 0) {
		s.OnRead(r)
	}
}
