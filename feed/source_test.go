package feed_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/feed"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/roster"
)

// gapSource is a source that has compacted its history.
type gapSource struct{}

func (gapSource) List(context.Context) (chestnutstep.Batch, error) {
	return chestnutstep.Batch{Revision: 9}, nil
}

func (gapSource) Watch(context.Context, uint64, time.Duration) (chestnutstep.Batch, error) {
	return chestnutstep.Batch{}, chestnutstep.ErrSource{Status: 410, Compacted: true}
}

// newFollowerID returns the ID of an entry that is not a reader.
func newFollowerID(members []feed.Member) netip.AddrPort {
	for port := uint16(7000); ; port++ {
		id := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 9, 9}), port)
		if !feed.Choose(feed.Member{ID: id}, members).IsReader {
			return id
		}
	}
}

// TestStaleCopyDoesNotHideGap guards against an entry that repeatedly reads stale facts from a peer
// after the source has compacted its history, and so never reads the changes that it missed.
func TestStaleCopyDoesNotHideGap(t *testing.T) {
	var members []feed.Member
	for i := range 2 {
		r := &roster.Roster{}
		out := chestnutstep.Fact{Kind: chestnutstep.FactDomainOut, Name: "z", Revision: 3}
		r.Apply(clock.Now(), chestnutstep.TopicRouting, chestnutstep.Batch{Revision: 3, Facts: []chestnutstep.Fact{out}}, true)
		r.RecordProof(chestnutstep.TopicRouting, clock.Now().Add(-time.Minute))
		server := httptest.NewServer(&feed.Server{Roster: r})
		t.Cleanup(server.Close)
		members = append(members, feed.Member{
			ID:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(i)}), 7000),
			FeedAddr: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
		})
	}
	s := &feed.Source{
		Topic: chestnutstep.TopicRouting, Source: gapSource{}, Decoder: decoder{}, Dial: link.Dial, Self: feed.Member{ID: newFollowerID(members)},
		Members:  func() []feed.Member { return members },
		Timing:   func() feed.Timing { return feed.NewTiming(bound) },
		Empty:    func() bool { return false },
		OnParent: func(netip.AddrPort, error) {},
		Breaker:  &feed.Breaker{},
	}
	_, err := s.Watch(context.Background(), 3, time.Millisecond)
	var gap chestnutstep.ErrSource
	assert.Assert(t, errors.As(err, &gap) && gap.Compacted, "%v", err)
	b, err := s.List(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, b.Revision, uint64(9))
}

// decoder returns facts without decoding them.
type decoder struct{}

func (decoder) Decode(kind chestnutstep.FactKind, name string, revision uint64, raw []byte) chestnutstep.Fact {
	return chestnutstep.Fact{Kind: kind, Name: name, Revision: revision, Raw: raw}
}
