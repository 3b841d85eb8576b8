package feed

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/roster"
)

// TestDecodeAnything guards against a panic or wrong facts on truncated responses and arbitrary
// bytes.
func TestDecodeAnything(t *testing.T) {
	s := &Server{Roster: &roster.Roster{}}
	facts := []chestnutstep.Fact{{Kind: chestnutstep.FactRouting, Revision: 7, Raw: []byte(strings.Repeat("configuration ", 1000))}}
	b, err := s.encode(request{topic: chestnutstep.TopicRouting, after: 3}, chestnutstep.Batch{Revision: 7, Facts: facts})
	assert.NilError(t, err)
	assert.Assert(t, b.compressed && len(b.raw) < 1000, "%d bytes", len(b.raw))
	good := http.Header{headerAge: {"12"}, headerSettle: {"0"}, headerRevision: {"7"}, headerCompressed: {"1"}}
	p, err := decode(good, b.raw)
	assert.NilError(t, err)
	assert.Equal(t, string(p.facts[0].Raw), string(facts[0].Raw))
	rapid.Check(t, func(t *rapid.T) {
		cut := b.raw[:rapid.IntRange(1, len(b.raw)-1).Draw(t, "cut")]
		if p, err := decode(good, cut); err == nil {
			assert.Equal(t, string(p.facts[0].Raw), string(facts[0].Raw))
		}
		header := http.Header{}
		for _, name := range []string{headerAge, headerSettle, headerRevision, headerCompressed} {
			header.Set(name, rapid.SampledFrom([]string{"", "1", "-1", "x", "99999999999999999999"}).Draw(t, name))
		}
		_, _ = decode(header, rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))
	})
}

// requestTargets requests targets from a server and returns the status.
func requestTargets(s *Server, query string) int {
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, Path+"?topic=targets&"+query, nil))
	return w.Code
}

// TestLostReaderRejectsFollowers guards against followers that wait for changes from a reader that
// gets none itself.
func TestLostReaderRejectsFollowers(t *testing.T) {
	s := &Server{Roster: &roster.Roster{}}
	s.Roster.Apply(clock.Now(), chestnutstep.TopicTargets, chestnutstep.Batch{Revision: 3}, true)
	s.Roster.RecordProof(chestnutstep.TopicTargets, clock.Now())
	answered := make(chan int)
	go func() { answered <- requestTargets(s, "after=3&wait=3600000&fresh=7200000") }()
	time.Sleep(20 * time.Millisecond)
	s.Roster.MarkLost(chestnutstep.TopicTargets)
	assert.Equal(t, <-answered, http.StatusServiceUnavailable)
	assert.Equal(t, requestTargets(s, "after=3&wait=3600000&fresh=7200000"), http.StatusServiceUnavailable)
	removed := chestnutstep.Fact{Kind: chestnutstep.FactInstance, Name: "i-a", Revision: 4, Deleted: true}
	s.Roster.Apply(clock.Now(), chestnutstep.TopicTargets, chestnutstep.Batch{Revision: 4, Facts: []chestnutstep.Fact{removed}}, false)
	s.Roster.MarkLost(chestnutstep.TopicTargets)
	assert.Equal(t, requestTargets(s, "after=3&wait=3600000&fresh=7200000"), http.StatusOK, "changes are served regardless")
}

// TestReadersDoNotFollowEachOther guards against readers that have lost the source and wait for
// each other's changes.
func TestReadersDoNotFollowEachOther(t *testing.T) {
	s := &Server{Roster: &roster.Roster{}}
	follower := chestnutstep.Batch{Revision: 3, Age: time.Millisecond}
	s.Roster.Apply(clock.Now(), chestnutstep.TopicTargets, follower, true)
	s.Roster.RecordProof(chestnutstep.TopicTargets, clock.Now())
	assert.Equal(t, requestTargets(s, "after=3&wait=3600000&fresh=7200000&direct=1"), http.StatusServiceUnavailable)
	assert.Equal(t, requestTargets(s, "after=3&wait=1&fresh=7200000"), http.StatusOK)
}
