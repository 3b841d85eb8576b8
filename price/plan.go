package price

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// SpareRatio is the part of the time left that a plan does not use: the last
	// exports must end before the target does, and a chat that is half exported
	// is worth nothing.
	SpareRatio = 0.1
	// MinTokens is the smallest prefix worth a move. A shorter one is rebuilt in
	// about the time that Setup alone takes.
	MinTokens = 256
)

// Chat is a chat whose KV cache a leaving target holds.
type Chat struct {
	Workspace string
	Name      string
	// Tokens of its prefix, the work that an export saves if it returns.
	Tokens float64
	// Bytes of its KV cache.
	Bytes float64
	// ReturnProbability is the probability that it comes back, 0 to 1.
	ReturnProbability float64
}

// valuePerByte is the tokens that a byte of the chat's KV cache is expected to save.
func (c Chat) valuePerByte() float64 { return c.ReturnProbability * c.Tokens / max(c.Bytes, 1) }

// Plan picks the chats that a target exports before it leaves, in the order in
// which to export them: the most work saved for each byte first, until the bytes
// that the link carries in the time left are used up. Exports that the target
// does not live to make are thereby the least valuable ones.
//
// The load it answers is a failure domain that goes out at short notice. Without
// a plan its chats all rebuild their prefixes at once on the targets that are
// left, which are busier than before.
//
// What it saves falls short of the best possible plan by less than its most
// valuable single chat.
func Plan(chats []Chat, linkRate float64, timeLeft time.Duration) []Chat {
	budget := linkRate * timeLeft.Seconds() * (1 - SpareRatio)
	order := slices.Clone(chats)
	slices.SortStableFunc(order, func(a, b Chat) int {
		return cmp.Compare(b.valuePerByte(), a.valuePerByte())
	})
	var plan []Chat
	for _, c := range order {
		if c.ReturnProbability <= 0 || c.Tokens < MinTokens || c.Bytes > budget {
			continue
		}
		budget -= c.Bytes
		plan = append(plan, c)
	}
	return plan
}

// ReturnProbability estimates the probability that a chat comes back after it was idle for a
// time, where a share of chats comes back at all, after pauses of this mean. A
// chat that has been quiet for several pauses has most likely ended, and its KV
// cache should not take the place of a fresh one's.
func ReturnProbability(idle, pause time.Duration, share float64) float64 {
	if pause <= 0 {
		return 0
	}
	returning := share * math.Exp(-idle.Seconds()/pause.Seconds())
	return returning / (returning + 1 - share)
}
