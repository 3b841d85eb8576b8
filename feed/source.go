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
	// failedPeerBackoff is how long a peer is not asked that failed, and avoidStale one whose facts
	// were too old.
	failedPeerBackoff = 3 * time.Second
	stalePeerBackoff  = time.Second
	// maxParentAttempts bounds the readers that are asked before the source is.
	maxParentAttempts = 2
	// copyPollInterval is how often an entry without facts looks for a peer that has some.
	copyPollInterval = 10 * time.Millisecond
	// listTimeout bounds the fetching of all facts.
	listTimeout = 2 * time.Second
	// idleConnTimeout is how long a connection to a reader is kept between two calls.
	idleConnTimeout = 5 * time.Second
)

// Source reads the facts of a topic from a reader or from the source of all; it implements
// chestnutstep.Source. Set the fields before the first call.
type Source struct {
	Topic   chestnutstep.Topic
	Source  chestnutstep.Source
	Decoder chestnutstep.Decoder
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
	// Self is this entry, and Members the others.
	Self    Member
	Members func() []Member
	// Timing in force.
	Timing func() Timing
	// Empty reports whether this entry holds no facts of the topic: old ones are better.
	Empty func() bool
	// PeerWithFacts returns a peer that holds facts, and CopyWait is for how long after its start an
	// entry without facts waits for one before it lists the source. Nil for never.
	PeerWithFacts func() (Member, bool)
	CopyTimeout   func() time.Duration
	// OnParent is called when the entry follows another reader, or none: then parent is
	// not valid. Err is what was wrong with the one before.
	OnParent func(parent netip.AddrPort, err error)
	// OnRead is called for each call that brought changes or failed.
	OnRead func(Read)
	// Breaker to the source; shared by the topics of one source.
	Breaker *Breaker

	once   sync.Once
	client *http.Client
	// backoffUntil gives until when a peer is not asked.
	backoffUntil map[netip.AddrPort]clock.Stamp
	parent       netip.AddrPort
	parentErr    error
	// copyDone says that the wait for a peer's copy is over.
	copyDone bool
}

var _ chestnutstep.Source = (*Source)(nil)

// List reads all facts.
func (s *Source) List(ctx context.Context) (chestnutstep.Batch, error) {
	return s.read(ctx, 0, listTimeout, s.Source.List)
}

// Watch waits until there are changes after a revision, or the time is over.
func (s *Source) Watch(ctx context.Context, after uint64, wait time.Duration) (chestnutstep.Batch, error) {
	return s.read(ctx, after, min(wait, s.Timing().peerWait(s.Topic)), func(ctx context.Context) (chestnutstep.Batch, error) {
		return s.Source.Watch(ctx, after, wait)
	})
}

// sourceCall reads from the source itself.
type sourceCall func(context.Context) (chestnutstep.Batch, error)

// read asks the source first or the readers first, and the others if that fails. That the
// history is gone only the source itself can say: a reader that has just started knows less.
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

// copy takes all facts from a peer. Where all entries of a large fleet start at the same
// moment, each would list the source: hundreds of lists of thousands of targets take seconds of
// its link, and callers are refused until the list is there.
func (s *Source) copy(ctx context.Context) (chestnutstep.Batch, bool) {
	for start := clock.Now(); ctx.Err() == nil; clock.Sleep(ctx, copyPollInterval) {
		if m, ok := s.PeerWithFacts(); ok {
			b, err := s.readFromPeer(ctx, m, query{wait: listTimeout})
			if err == nil {
				s.setParent(m.ID)
				return b, true
			}
			s.parentErr = errors.Wrapf(err, "copy of %s", m.ID)
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
	}}
}

// availableMembers are the other entries but for those that are avoided.
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

// readSource asks the source itself.
func (s *Source) readSource(ctx context.Context, after uint64, call sourceCall) (chestnutstep.Batch, error) {
	requestedAt := clock.Now()
	b, err := call(ctx)
	s.reportRead(Read{After: after, Batch: b, Duration: clock.Now().Sub(requestedAt), Err: err})
	if err == nil {
		s.setParent(netip.AddrPort{})
	}
	return b, err
}

// readFromParents asks the first few readers. The error is that of the last one. A reader that can't
// read the source itself follows one that can: two that follow each other would wait in vain.
func (s *Source) readFromParents(ctx context.Context, c Choice, after uint64, wait time.Duration) (b chestnutstep.Batch, err error) {
	err = errors.New("no reader is known")
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
			return b, nil // old, and yet news here
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

// setParent notes whom the entry follows.
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
