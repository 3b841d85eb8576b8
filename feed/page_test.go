package feed

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/roster"
)

// TestDecodeAnything guards against answers that are cut or no answers at all.
func TestDecodeAnything(t *testing.T) {
	s := &Server{Roster: &roster.Roster{}}
	facts := []chestnutstep.Fact{{Kind: chestnutstep.FactRouting, Revision: 7, Raw: []byte(strings.Repeat("configuration ", 1000))}}
	b, err := s.encode(request{topic: chestnutstep.TopicRouting, after: 3}, chestnutstep.Batch{Revision: 7, Facts: facts})
	assert.NilError(t, err)
	assert.Assert(t, b.packed && len(b.raw) < 1000, "%d bytes", len(b.raw))
	good := http.Header{headerAge: {"12"}, headerSettle: {"0"}, headerRevision: {"7"}, headerPacked: {"1"}}
	p, err := decode(good, b.raw)
	assert.NilError(t, err)
	assert.Equal(t, string(p.facts[0].Raw), string(facts[0].Raw))
	rapid.Check(t, func(t *rapid.T) {
		cut := b.raw[:rapid.IntRange(1, len(b.raw)-1).Draw(t, "cut")]
		if p, err := decode(good, cut); err == nil {
			assert.Equal(t, string(p.facts[0].Raw), string(facts[0].Raw))
		}
		header := http.Header{}
		for _, name := range []string{headerAge, headerSettle, headerRevision, headerPacked} {
			header.Set(name, rapid.SampledFrom([]string{"", "1", "-1", "x", "99999999999999999999"}).Draw(t, name))
		}
		_, _ = decode(header, rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))
	})
}
