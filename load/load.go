// Package load is a load generator. It sends the requests of chats that return
// after pauses, with a share of requests that are canceled before they finish.
// A plan with a seed determines the load, so that two versions can be compared
// under the same load. A report counts all results that callers get.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Turn is one request of a chat.
type Turn struct {
	// Pause is the time since the end of the previous turn.
	Pause time.Duration
	// PromptTokens is the number of tokens of the caller's new text,
	// OutputTokens that of the answer.
	PromptTokens, OutputTokens int
	// CancelAfter is the number of tokens after which the caller cancels; 0
	// means that it reads to the end.
	CancelAfter int
}

// Chat is the conversation of one caller.
type Chat struct {
	Workspace string
	Name      string
	// HistoryTokens is the number of tokens that precede the first prompt.
	HistoryTokens int
	Turns         []Turn
}

// Plan describes a load.
type Plan struct {
	Seed  uint64
	Chats int
	// Turns is the mean number of turns of a chat, Pause the mean pause between
	// them.
	Turns int
	Pause time.Duration
	// StartSpread is the period over which the chats start.
	StartSpread time.Duration
	// Workspaces are the workspaces of the chats. The share of the n-th one is
	// proportional to n^-Skew.
	Workspaces []string
	Skew       float64
	// HistoryTokens and OutputTokens are means in tokens.
	HistoryTokens, OutputTokens int
	// CancelRatio is the share of requests that are canceled before the end.
	CancelRatio float64
}

// meanPromptTokens is the mean length of a prompt in tokens.
const meanPromptTokens = 40

// GenerateChats returns the chats of a plan. Equal plans give equal chats.
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

// drawExponential draws an exponentially distributed number, at least 1.
// Rounding down makes its mean up to 0.5 lower than the given one.
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
