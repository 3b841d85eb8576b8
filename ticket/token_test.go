package ticket

import (
	"math/rand"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/script"
)

// FuzzToken checks that a token that parses is encoded to the same bytes, so that each ticket has
// exactly one text, and that no token but the minted one is accepted.
func FuzzToken(f *testing.F) {
	b := &Issuer{Target: "bay-1", Rand: rand.New(rand.NewSource(1))}
	minted := b.Mint(script.Epoch, "brand", 1)[0]
	for _, seed := range []string{"", minted, minted[:20], minted + "\n", minted + "A", strings.Repeat("A", 900)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, token string) {
		c, body, _, ok := parse(token)
		if !ok {
			return
		}
		assert.Equal(t, string(c.encode()), string(body))
		if token != minted {
			status := b.Hold(script.Epoch, token, "brand", "r")
			assert.Equal(t, status.State, chestnutstep.TicketInvalid)
			assert.Equal(t, status.Run, chestnutstep.RunMaybe)
		}
	})
}

// TestNamesThatDoNotFit guards against tokens with truncated names: a name longer than maxName gets no
// ticket, and the longest names that fit do.
func TestNamesThatDoNotFit(t *testing.T) {
	longest := strings.Repeat("w", maxName)
	b := &Issuer{Target: longest, Incarnation: longest}
	assert.Equal(t, len(b.Mint(script.Epoch, longest+"w", 1)), 0)
	token := b.Mint(script.Epoch, longest, 1)[0]
	assert.Equal(t, b.Hold(script.Epoch, token, longest, "r").State, chestnutstep.TicketHeld)
}
