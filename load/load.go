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
	// PromptTokens is the caller's new text in tokens, Output the answer's length.
	PromptTokens, OutputTokens int
	// CancelAfter gives up after so many tokens; 0 reads to the end.
	CancelAfter int
}

// Chat is one caller's conversation.
type Chat struct {
	Workspace string
	Name      string
	// HistoryTokens is how many tokens the first prompt brings along.
	HistoryTokens int
	Turns         []Turn
}

// Plan describes a load.
type Plan struct {
	Seed  uint64
	Chats int
	// Turns is the mean number of turns of a chat, Pause the mean pause.
	Turns int
	Pause time.Duration
	// StartSpread spreads the chats' first turns.
	StartSpread time.Duration
	// Workspaces with Skew: the share of the n-th is proportional to n^-Skew.
	Workspaces []string
	Skew       float64
	// HistoryTokens and Output are means, in tokens.
	HistoryTokens, OutputTokens int
	// CancelRatio is the share of requests that are given up before the end.
	CancelRatio float64
}

// meanPromptTokens is the mean length of a question.
const meanPromptTokens = 40

// GenerateChats draws the chats of a plan. The same plan gives the same chats.
func (p Plan) GenerateChats() []Chat {
	r := rand.New(rand.NewPCG(p.Seed, 0))
	chats := make([]Chat, p.Chats)
	for i := range chats {
		chats[i] = p.chat(r, i)
	}
	return chats
}

func (p Plan) chat(r *rand.Rand, n int) Chat {
	c := Chat{
		Workspace:     p.workspace(r),
		Name:          fmt.Sprintf("chat-%d-%d", p.Seed, n),
		HistoryTokens: drawExponential(r, p.HistoryTokens),
		Turns:         make([]Turn, drawExponential(r, p.Turns)),
	}
	for i := range c.Turns {
		c.Turns[i] = p.turn(r)
	}
	c.Turns[0].Pause = time.Duration(r.Float64() * float64(p.StartSpread))
	return c
}

func (p Plan) turn(r *rand.Rand) Turn {
	t := Turn{
		Pause:        time.Duration(r.ExpFloat64() * float64(p.Pause)),
		PromptTokens: drawExponential(r, meanPromptTokens),
		OutputTokens: drawExponential(r, p.OutputTokens),
	}
	if r.Float64() < p.CancelRatio {
		t.CancelAfter = 1 + r.IntN(t.OutputTokens)
	}
	return t
}

// drawExponential is an exponential number of the given mean, at least 1.
func drawExponential(r *rand.Rand, mean int) int {
	return 1 + int(r.ExpFloat64()*float64(max(mean-1, 0)))
}

func (p Plan) workspace(r *rand.Rand) string {
	var sum float64
	for i := range p.Workspaces {
		sum += p.workspaceWeight(i)
	}
	at := r.Float64() * sum
	for i, name := range p.Workspaces {
		at -= p.workspaceWeight(i)
		if at < 0 {
			return name
		}
	}
	return p.Workspaces[len(p.Workspaces)-1]
}

func (p Plan) workspaceWeight(n int) float64 {
	return math.Pow(float64(n+1), -p.Skew)
}
