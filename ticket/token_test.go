package ticket

import (
	"math/rand"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
)

// FuzzToken feeds callers' bytes to the parser. A token that parses is written
// back the same, so that no two texts stand for one ticket, and none but the
// minted one passes the check.
func FuzzToken(f *testing.F) {
	b := &Booth{Target: "bay-1", Rand: rand.New(rand.NewSource(1))}
	minted := b.Mint(epoch, "brand", 1)[0]
	for _, seed := range []string{"", minted, minted[:20], minted + "\n", minted + "A", strings.Repeat("A", 900)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, token string) {
		c, body, _, ok := parse(token)
		if !ok {
			return
		}
		assert.Equal(t, string(c.body()), string(body))
		if token != minted {
			stub := b.Hold(epoch, token, "brand", "r")
			assert.Equal(t, stub.State, chestnutstep.TicketInvalid)
			assert.Equal(t, stub.Run, chestnutstep.RunMaybe)
		}
	})
}

func TestNamesThatDoNotFit(t *testing.T) {
	b := &Booth{Target: "bay-1"}
	assert.Equal(t, len(b.Mint(epoch, strings.Repeat("w", maxName+1), 1)), 0)
	longest := strings.Repeat("w", maxName)
	b = &Booth{Target: longest, Incarnation: longest}
	token := b.Mint(epoch, longest, 1)[0]
	assert.Equal(t, b.Hold(epoch, token, longest, "r").State, chestnutstep.TicketHeld)
}
