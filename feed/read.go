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
	// maxPageSize is the maximum size of a response body in bytes. It leaves room beyond the
	// largest configuration and the list of thousands of targets.
	maxPageSize = 8 << 20
	// idleTimeout is the longest pause within the response of a reader.
	idleTimeout = time.Second
)

// Read describes one completed call of a reader or of the source.
type Read struct {
	// Peer is the reader that was called; not valid for a call of the source.
	Peer netip.AddrPort
	// After is the revision after which changes were requested; 0 requests all facts.
	After    uint64
	Batch    chestnutstep.Batch
	Duration time.Duration
	Err      error
}

// ErrStale is the error of a read whose facts exceed the maximum age.
type ErrStale struct{ Age time.Duration }

// Error returns a text with the age.
func (err ErrStale) Error() string { return "facts are " + err.Age.String() + " old" }

// ErrStatus is the error of a reader's response with a status other than 200.
type ErrStatus struct {
	Status int
	Reason string
}

// Error returns a text with the status and the reason.
func (err ErrStatus) Error() string { return fmt.Sprintf("status %d: %s", err.Status, err.Reason) }

// query holds the parameters of a read from a reader.
type query struct {
	after  uint64
	wait   time.Duration
	direct bool
}

// readFromPeer reads from one reader. Facts that are too old are returned together with an
// ErrStale.
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

// reportRead passes a call to OnRead unless it succeeded without changes.
func (s *Source) reportRead(r Read) {
	if s.OnRead != nil && (r.Err != nil || len(r.Batch.Facts) > 0) {
		s.OnRead(r)
	}
}
