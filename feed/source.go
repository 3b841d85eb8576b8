package feed

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
)

const (
	// failedPeerBackoff is how long a peer is not called after a failure, and stalePeerBackoff
	// after facts that were too old.
	failedPeerBackoff = 3 * time.Second
	stalePeerBackoff  = time.Second
	// maxParentAttempts is the number of readers tried before the source.
	maxParentAttempts = 2
	// copyPollInterval is how often an entry without facts checks for a peer that has some.
	copyPollInterval = 10 * time.Millisecond
	// listTimeout bounds the reading of all facts.
	listTimeout = 2 * time.Second
	// idleConnTimeout is how long an idle connection to a reader is kept.
	idleConnTimeout = 5 * time.Second
)

// Source reads the facts of a topic from a reader or from the underlying source; it implements
// chestnutstep.Source. Its exported fields must be set before the first call.
type Source struct {
	Topic   chestnutstep.Topic
	Source  chestnutstep.Source
	Decoder chestnutstep.Decoder
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
	// Self is this entry. Members returns the other entries.
	Self    Member
	Members func() []Member
	// Timing returns the intervals in force.
	Timing func() Timing
	// Empty reports whether this entry has no facts of the topic. Old facts are preferred to none.
	Empty func() bool
	// PeerWithFacts returns a peer that has facts. CopyTimeout returns how long after its start an
	// entry without facts waits for such a peer before it lists the source. Nil disables copies.
	PeerWithFacts func() (Member, bool)
	CopyTimeout   func() time.Duration
	// OnParent is called when the entry follows another reader, or the source itself; parent is not
	// valid in the latter case. err is the failure of the previous reader.
	OnParent func(parent netip.AddrPort, err error)
	// OnRead is called for each call that returned changes or failed.
	OnRead func(Read)
	// Breaker suspends calls of the source; it is shared by the topics of one source.
	Breaker *Breaker

	once   sync.Once
	client *http.Client
	// backoffUntil holds the time until which a peer is not called.
	backoffUntil map[netip.AddrPort]clock.Stamp
	parent       netip.AddrPort
	parentErr    error
	// copyDone reports whether the wait for a copy from a peer is over.
	copyDone bool
}

var _ chestnutstep.Source = (*Source)(nil)

// List reads all facts from a peer or from the source.
func (s *Source) List(ctx context.Context) (chestnutstep.Batch, error) {
	return s.read(ctx, 0, listTimeout, s.Source.List)
}

// Watch waits until there are changes after a revision, or the wait is over.
func (s *Source) Watch(ctx context.Context, after uint64, wait time.Duration) (chestnutstep.Batch, error) {
	return s.read(ctx, after, min(wait, s.Timing().peerWait(s.Topic)), func(ctx context.Context) (chestnutstep.Batch, error) {
		return s.Source.Watch(ctx, after, wait)
	})
}

// sourceCall reads from the source itself.
type sourceCall func(context.Context) (chestnutstep.Batch, error)

// read calls the source first for a reader or an entry without facts, and the readers first
// otherwise. If the first choice fails, it tries the other one. An entry without facts tries to copy
// them from a peer before. Only the source can report a gap in the history, because a reader that
// has just started has less of it.
func (s *Source) read(ctx context.Context, after uint64, wait time.Duration, call sourceCall) (chestnutstep.Batch, error) {
	s.once.Do(s.initialize)
	if s.PeerWithFacts != nil && s.Empty() {
		if b, ok := s.copy(ctx); ok {
			return b, nil
		}
	}
	now := clock.Now()
	c := Choose(s.Self, s.availableMembers(now))
	if (c.IsReader || s.Empty()) && s.Breaker.allows(now) {
		b, err := s.readSource(ctx, after, call)
		if err == nil || isGap(err) || ctx.Err() != nil {
			return b, err
		}
		b, followErr := s.readFromParents(ctx, c, after, wait)
		if followErr != nil {
			return b, err
		}
		s.Breaker.trip(clock.Now())
		return b, nil
	}
	b, err := s.readFromParents(ctx, c, after, wait)
	if err == nil || ctx.Err() != nil || !s.Breaker.allows(clock.Now()) {
		return b, err
	}
	b, err = s.readSource(ctx, after, call)
	if err != nil && !isGap(err) && ctx.Err() == nil {
		s.Breaker.trip(clock.Now())
	}
	return b, err
}

// copy reads all facts from a peer. If all entries of a large fleet started at the same time and
// each listed the source, hundreds of lists of thousands of targets would occupy its link for
// seconds, and callers would be rejected until the list has arrived.
func (s *Source) copy(ctx context.Context) (chestnutstep.Batch, bool) {
	for start := clock.Now(); ctx.Err() == nil; clock.Sleep(ctx, copyPollInterval) {
		if m, ok := s.PeerWithFacts(); ok {
			b, err := s.readFromPeer(ctx, m, query{wait: listTimeout})
			if err == nil {
				s.setParent(m.ID)
				return b, true
			}
			s.parentErr = errors.Wrapf(err, "copy from %s", m.ID)
		}
		if s.copyDone || clock.Now().Sub(start) >= s.CopyTimeout() {
			break
		}
	}
	s.copyDone = true
	return chestnutstep.Batch{}, false
}

func (s *Source) initialize() {
	s.backoffUntil = make(map[netip.AddrPort]clock.Stamp)
	s.client = &http.Client{Transport: &http.Transport{
		DialContext: s.Dial, DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleConnTimeout,
		MaxResponseHeaderBytes: chestnutstep.MaxHeadBytes,
	}}
}

// availableMembers returns the other entries except those in backoff.
func (s *Source) availableMembers(now clock.Stamp) []Member {
	var list []Member
	for _, m := range s.Members() {
		if now >= s.backoffUntil[m.ID] {
			list = append(list, m)
		}
	}
	for id, until := range s.backoffUntil {
		if now >= until {
			delete(s.backoffUntil, id)
		}
	}
	return list
}

// readSource reads from the source itself.
func (s *Source) readSource(ctx context.Context, after uint64, call sourceCall) (chestnutstep.Batch, error) {
	requestedAt := clock.Now()
	b, err := call(ctx)
	s.reportRead(Read{After: after, Batch: b, Duration: clock.Now().Sub(requestedAt), Err: err})
	if err == nil {
		s.setParent(netip.AddrPort{})
	}
	return b, err
}

// readFromParents tries the first maxParentAttempts readers. The error is that of the last one. A
// reader that cannot read the source follows only an entry that can: two readers that follow each
// other would both wait for changes that neither receives.
func (s *Source) readFromParents(ctx context.Context, c Choice, after uint64, wait time.Duration) (b chestnutstep.Batch, err error) {
	err = errors.New("no reader available")
	for _, m := range c.Parents[:min(maxParentAttempts, len(c.Parents))] {
		b, err = s.readFromPeer(ctx, m, query{after: after, wait: wait, direct: c.IsReader})
		if err == nil {
			s.setParent(m.ID)
			return b, nil
		}
		if ctx.Err() != nil {
			return b, err
		}
		s.parentErr = errors.Wrapf(err, "reader %s", m.ID)
		s.backOff(m, err)
		if after > 0 && len(b.Facts) > 0 {
			return b, nil // stale, but newer than the facts here
		}
	}
	return b, err
}

func (s *Source) backOff(m Member, err error) {
	d := failedPeerBackoff
	var stale ErrStale
	var status ErrStatus
	if errors.As(err, &stale) || errors.As(err, &status) {
		d = stalePeerBackoff
	}
	s.backoffUntil[m.ID] = clock.Now().Add(d)
}

// setParent records the reader that the entry follows and reports a change.
func (s *Source) setParent(id netip.AddrPort) {
	if id == s.parent {
		return
	}
	s.parent = id
	s.OnParent(id, s.parentErr)
	s.parentErr = nil
}

func isGap(err error) bool {
	var e chestnutstep.ErrSource
	return errors.As(err, &e) && e.Compacted
}
