// Package load plays recorded loads: chats that return after pauses, most of
// whose requests are cancelled before they finish. A load is fixed by its
// seed, so that two versions are compared on the same one, and everything that
// callers got is counted.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Turn is one request of a chat.
type Turn struct {
	// Pause before it, since the turn before ended.
	Pause time.Duration
	// Ask is the caller's new text in tokens, Output the answer's length.
	Ask, Output int
	// Cancel gives up after so many tokens; 0 reads to the end.
	Cancel int
}

// Chat is one caller's conversation.
type Chat struct {
	Workspace string
	Name      string
	// History is how many tokens the first prompt brings along.
	History int
	Turns   []Turn
}

// Plan describes a load.
type Plan struct {
	Seed  uint64
	Chats int
	// Turns is the mean number of turns of a chat, Pause the mean pause.
	Turns int
	Pause time.Duration
	// Start spreads the chats' first turns.
	Start time.Duration
	// Workspaces with Skew: the share of the n-th is proportional to n^-Skew.
	Workspaces []string
	Skew       float64
	// History and Output are means, in tokens.
	History, Output int
	// Cancel is the share of requests that are given up before the end.
	Cancel float64
}

// askTokens is the mean length of a question.
const askTokens = 40

// Record draws the chats of a plan. The same plan gives the same chats.
func (p Plan) Record() []Chat {
	r := rand.New(rand.NewPCG(p.Seed, 0))
	chats := make([]Chat, p.Chats)
	for i := range chats {
		chats[i] = p.chat(r, i)
	}
	return chats
}

func (p Plan) chat(r *rand.Rand, n int) Chat {
	c := Chat{
		Workspace: p.workspace(r),
		Name:      fmt.Sprintf("chat-%d-%d", p.Seed, n),
		History:   draw(r, p.History),
		Turns:     make([]Turn, draw(r, p.Turns)),
	}
	for i := range c.Turns {
		c.Turns[i] = p.turn(r)
	}
	c.Turns[0].Pause = time.Duration(r.Float64() * float64(p.Start))
	return c
}

func (p Plan) turn(r *rand.Rand) Turn {
	t := Turn{
		Pause:  time.Duration(r.ExpFloat64() * float64(p.Pause)),
		Ask:    draw(r, askTokens),
		Output: draw(r, p.Output),
	}
	if r.Float64() < p.Cancel {
		t.Cancel = 1 + r.IntN(t.Output)
	}
	return t
}

// draw is an exponential number of the given mean, at least 1.
func draw(r *rand.Rand, mean int) int {
	return 1 + int(r.ExpFloat64()*float64(max(mean-1, 0)))
}

func (p Plan) workspace(r *rand.Rand) string {
	var sum float64
	for i := range p.Workspaces {
		sum += p.share(i)
	}
	at := r.Float64() * sum
	for i, name := range p.Workspaces {
		at -= p.share(i)
		if at < 0 {
			return name
		}
	}
	return p.Workspaces[len(p.Workspaces)-1]
}

func (p Plan) share(n int) float64 {
	return math.Pow(float64(n+1), -p.Skew)
}
