package price

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// SpareRatio is the part of the time left that a plan does not use. The last exports must
	// end before the target does, because a partially exported chat has no value.
	SpareRatio = 0.1
	// MinTokens is the smallest prefix that is moved. Rebuilding a shorter one takes about as
	// long as ImportSetup alone.
	MinTokens = 256
)

// Chat is a chat whose KV cache a leaving target holds.
type Chat struct {
	Workspace string
	Name      string
	// Tokens is the length of its prefix: the work that an export saves if the chat returns.
	Tokens float64
	// Bytes is the size of its KV cache.
	Bytes float64
	// ReturnProbability is the probability that the chat returns, from 0 to 1.
	ReturnProbability float64
}

// valuePerByte returns the expected number of tokens saved per byte of the chat's KV cache.
func (c Chat) valuePerByte() float64 { return c.ReturnProbability * c.Tokens / max(c.Bytes, 1) }

// Plan selects the chats that a target exports before it leaves, in the order of export: most
// expected tokens saved per byte first, until the bytes that the link carries in the time left
// are used up. If the target ends early, the least valuable exports are lost.
//
// Without a plan, the chats of a failure domain that leaves at short notice all rebuild their
// prefixes at once on the remaining targets, which are busier than before.
//
// The expected savings fall short of the optimal plan by less than the most valuable single
// chat.
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

// ReturnProbability estimates the probability that a chat returns after it was idle for a time.
// returnRatio is the part of chats that return at all, and pause the mean pause of those. A chat
// that was idle for several pauses has most likely ended, and its KV cache should not displace
// one that is likely to be used.
func ReturnProbability(idle, pause time.Duration, returnRatio float64) float64 {
	if pause <= 0 {
		return 0
	}
	returning := returnRatio * math.Exp(-idle.Seconds()/pause.Seconds())
	return returning / (returning + 1 - returnRatio)
}
