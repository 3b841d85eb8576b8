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
	// avoidFor is how long a peer is not asked that failed, and avoidStale one whose facts
	// were too old.
	avoidFor   = 3 * time.Second
	avoidStale = time.Second
	// parentsTried bounds the readers that are asked before the source is.
	parentsTried = 2
	// copyTick is how often an entry without facts looks for a peer that has some.
	copyTick = 10 * time.Millisecond
	// listLimit bounds the fetching of all facts.
	listLimit = 2 * time.Second
	// idleTime is how long a connection to a reader is kept between two calls.
	idleTime = 5 * time.Second
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
	// Pace in force.
	Pace func() Pace
	// Empty reports whether this entry holds no facts of the topic: old ones are better.
	Empty func() bool
	// Informed returns a peer that holds facts, and CopyWait is for how long after its start an
	// entry without facts waits for one before it lists the source. Nil for never.
	Informed func() (Member, bool)
	CopyWait func() time.Duration
	// OnParent is called when the entry follows another reader, or none: then parent is
	// not valid. Err is what was wrong with the one before.
	OnParent func(parent netip.AddrPort, err error)
	// OnRead is called for each call that brought changes or failed.
	OnRead func(Read)
	// Gate to the source; shared by the topics of one source.
	Gate *Gate

	once   sync.Once
	client *http.Client
	// avoided gives until when a peer is not asked.
	avoided map[netip.AddrPort]clock.Stamp
	parent  netip.AddrPort
	failure error
	// waited says that the wait for a peer's copy is over.
	waited bool
}

var _ chestnutstep.Source = (*Source)(nil)

// List reads all facts.
func (s *Source) List(ctx context.Context) (chestnutstep.Batch, error) {
	return s.read(ctx, 0, listLimit, s.Source.List)
}

// Watch waits until there are changes after a revision, or the time is over.
func (s *Source) Watch(ctx context.Context, after uint64, wait time.Duration) (chestnutstep.Batch, error) {
	return s.read(ctx, after, min(wait, s.Pace().poll(s.Topic)), func(ctx context.Context) (chestnutstep.Batch, error) {
		return s.Source.Watch(ctx, after, wait)
	})
}

// call reads from the source itself.
type call func(context.Context) (chestnutstep.Batch, error)

// read asks the source first or the readers first, and the others if that fails. That the
// history is gone only the source itself can say: a reader that has just started knows less.
func (s *Source) read(ctx context.Context, after uint64, wait time.Duration, source call) (chestnutstep.Batch, error) {
	s.once.Do(s.begin)
	if s.Informed != nil && s.Empty() {
		if b, ok := s.copy(ctx); ok {
			return b, nil
		}
	}
	now := clock.Now()
	c := Choose(s.Self, s.members(now))
	if (c.Reader || s.Empty()) && s.Gate.open(now) {
		b, err := s.readSource(ctx, after, source)
		if err == nil || isGap(err) || ctx.Err() != nil {
			return b, err
		}
		b, followed := s.follow(ctx, c, after, wait)
		if followed != nil {
			return b, err
		}
		s.Gate.shut(clock.Now())
		return b, nil
	}
	b, err := s.follow(ctx, c, after, wait)
	if err == nil || ctx.Err() != nil || !s.Gate.open(clock.Now()) {
		return b, err
	}
	b, err = s.readSource(ctx, after, source)
	if err != nil && !isGap(err) && ctx.Err() == nil {
		s.Gate.shut(clock.Now())
	}
	return b, err
}

// copy takes all facts from a peer. Where all entries of a large fleet start at the same
// moment, each would list the source: hundreds of lists of thousands of targets take seconds of
// its link, and callers are refused until the list is there.
func (s *Source) copy(ctx context.Context) (chestnutstep.Batch, bool) {
	for began := clock.Now(); ctx.Err() == nil; clock.Sleep(ctx, copyTick) {
		if m, ok := s.Informed(); ok {
			b, err := s.ask(ctx, m, query{wait: listLimit})
			if err == nil {
				s.setParent(m.ID)
				return b, true
			}
			s.failure = errors.Wrapf(err, "copy of %s", m.ID)
		}
		if s.waited || clock.Now().Sub(began) >= s.CopyWait() {
			break
		}
	}
	s.waited = true
	return chestnutstep.Batch{}, false
}

func (s *Source) begin() {
	s.avoided = make(map[netip.AddrPort]clock.Stamp)
	s.client = &http.Client{Transport: &http.Transport{
		DialContext: s.Dial, DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTime,
	}}
}

// members are the other entries but for those that are avoided.
func (s *Source) members(now clock.Stamp) []Member {
	var list []Member
	for _, m := range s.Members() {
		if now >= s.avoided[m.ID] {
			list = append(list, m)
		}
	}
	for id, until := range s.avoided {
		if now >= until {
			delete(s.avoided, id)
		}
	}
	return list
}

// readSource asks the source itself.
func (s *Source) readSource(ctx context.Context, after uint64, source call) (chestnutstep.Batch, error) {
	asked := clock.Now()
	b, err := source(ctx)
	s.onRead(Read{After: after, Batch: b, Took: clock.Now().Sub(asked), Err: err})
	if err == nil {
		s.setParent(netip.AddrPort{})
	}
	return b, err
}

// follow asks the first few readers. The error is that of the last one. A reader that can't
// read the source itself follows one that can: two that follow each other would wait in vain.
func (s *Source) follow(ctx context.Context, c Choice, after uint64, wait time.Duration) (b chestnutstep.Batch, err error) {
	err = errors.New("no reader is known")
	for _, m := range c.Parents[:min(parentsTried, len(c.Parents))] {
		b, err = s.ask(ctx, m, query{after: after, wait: wait, direct: c.Reader})
		if err == nil {
			s.setParent(m.ID)
			return b, nil
		}
		if ctx.Err() != nil {
			return b, err
		}
		s.failure = errors.Wrapf(err, "reader %s", m.ID)
		s.avoid(m, err)
		if after > 0 && len(b.Facts) > 0 {
			return b, nil // old, and yet news here
		}
	}
	return b, err
}

func (s *Source) avoid(m Member, err error) {
	d := avoidFor
	var stale ErrStale
	var status ErrStatus
	if errors.As(err, &stale) || errors.As(err, &status) {
		d = avoidStale
	}
	s.avoided[m.ID] = clock.Now().Add(d)
}

// setParent notes whom the entry follows.
func (s *Source) setParent(id netip.AddrPort) {
	if id == s.parent {
		return
	}
	s.parent = id
	s.OnParent(id, s.failure)
	s.failure = nil
}

func isGap(err error) bool {
	var e chestnutstep.ErrSource
	return errors.As(err, &e) && e.Compacted
}
