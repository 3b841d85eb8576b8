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
	// maxPageSize bounds an answer in bytes: the largest configuration and the list of
	// thousands of targets, with room.
	maxPageSize = 8 << 20
	// idleTimeout is the longest pause in the middle of a reader's answer.
	idleTimeout = time.Second
)

// Read is one call of a reader or of the source.
type Read struct {
	// Peer that was asked; not valid for the source itself.
	Peer netip.AddrPort
	// After is the revision that the changes were asked after; 0 asks for all facts.
	After    uint64
	Batch    chestnutstep.Batch
	Duration time.Duration
	Err      error
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

// readFromPeer reads from one reader. Facts that are too old are an error, and are returned.
func (s *Source) readFromPeer(ctx context.Context, m Member, q query) (chestnutstep.Batch, error) {
	timing := s.Timing()
	requestedAt := clock.Now()
	b, err := s.fetchPage(ctx, m, q, timing)
	if age := clock.Now().Sub(requestedAt) + b.Age; err == nil && age > timing.MaxAge && !(q.after == 0 && s.Empty()) {
		err = ErrStale{age}
	}
	s.reportRead(Read{Peer: m.ID, After: q.after, Batch: b, Duration: clock.Now().Sub(requestedAt), Err: err})
	return b, err
}

func (s *Source) fetchPage(ctx context.Context, m Member, q query, timing Timing) (b chestnutstep.Batch, err error) {
	values := url.Values{
		"topic": {s.Topic.String()},
		"after": {strconv.FormatUint(q.after, 10)},
		"wait":  {strconv.FormatInt(q.wait.Milliseconds(), 10)},
		"fresh": {strconv.FormatInt(timing.MaxAge.Milliseconds(), 10)},
	}
	if q.direct {
		values.Set("direct", "1")
	}
	u := url.URL{Scheme: "http", Host: m.FeedAddr.String(), Path: Path, RawQuery: values.Encode()}
	a, err := fetch.Get(ctx, s.client, u.String(), fetch.Limits{FirstByteTimeout: q.wait + timing.Slack, IdleTimeout: idleTimeout, MaxBytes: maxPageSize})
	b.TimeToFirstByte, b.Bytes = a.TimeToFirstByte, len(a.Body)
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
	p.fillBatch(&b, s.Decoder)
	return b, nil
}

// reportRead reports a call, unless it found that nothing has changed.
func (s *Source) reportRead(r Read) {
	if s.OnRead != nil && (r.Err != nil || len(r.Batch.Facts) > 0) {
		s.OnRead(r)
	}
}
