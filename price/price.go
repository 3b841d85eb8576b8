// Package price compares what a chat costs at different targets: to wait where
// its prompt prefix is cached, to import the KV cache from there, or to rebuild
// the prefix elsewhere. It also plans which chats a leaving target exports.
//
// Prices are in seconds of delay, as callers and engines pay in the same coin:
// a rebuilt prefix delays its own caller and, on a busy engine, all others there.
package price

import (
	"math"
	"time"
)

const (
	// ImportSetup is what an import costs besides its bytes: a call across failure
	// domains there and back, and the engines' work to start an export.
	ImportSetup = 20 * time.Millisecond
	// ImportMargin is how much cheaper than a rebuild an import must look. Link rates
	// are estimates that lag, and an import that is given up costs both.
	ImportMargin = 0.8
)

// Choice is where and how a chat goes on.
type Choice uint8

// The choices.
const (
	// Rebuild runs at the other target, which computes the prefix anew.
	Rebuild Choice = iota
	// Wait queues at the target that holds the prefix.
	Wait
	// Import runs at the other target, which first fetches the KV cache.
	Import
	// Late: nothing ends in time, and the caller should hear so at once.
	TooLate
)

// Inputs is what is known about one request when its prefix's holder is at its
// cap. Rates of 0 mean unknown: what needs them is not chosen.
type Inputs struct {
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens float64
	// HolderCached is how many of them the holder has.
	HolderCached float64
	// OtherCached is how many of them the other target has.
	OtherCached float64
	// HolderWait is the predicted wait at the holder.
	HolderWait time.Duration
	// OtherWait is the predicted wait at the other target.
	OtherWait time.Duration
	// Patience is the longest wait at the holder that the profile allows.
	Patience time.Duration
	// TimeLeft is the time limit that is left for the first token; 0 is unlimited.
	TimeLeft time.Duration
	// PrefillRate is the tokens a second that a target computes.
	PrefillRate float64
	// OtherLoad of the other target, 0 to 1: the part of a rebuild that delays
	// others there.
	OtherLoad float64
	// BytesPerToken is the bytes of KV cache for one token.
	BytesPerToken float64
	// LinkRate is the bytes a second that are free for imports.
	LinkRate float64
	// QueuedBytes is the bytes that wait for the link already.
	QueuedBytes float64
}

// Decision is the choice for a quote.
type Decision struct {
	Choice Choice
	// Delay is what the caller pays until its prompt is computed.
	Delay time.Duration
	// ImportTimeout is when an import is given up and rebuilt instead, after its start.
	// By then it has cost as much as a rebuild, so that a wrong guess about the
	// link at most doubles the price.
	ImportTimeout time.Duration
}

// Choose returns the cheapest way that ends in time.
//
// The load it answers is a chat whose holder is at its cap, near a low multiple
// of the mean a fifth of all requests. One rule for all goes wrong: always to
// wait makes quick questions queue for a prefix that takes milliseconds to
// rebuild; always to rebuild makes long plans compute histories that lie ready
// one millisecond away, and the engines compute the same thing twice just when
// they are busy.
func Choose(in Inputs) Decision {
	best := Decision{Choice: TooLate}
	lowest := math.Inf(1)
	for _, o := range []option{in.waitOption(), in.importOption(), in.rebuildOption()} {
		if o.price < lowest && in.meetsDeadline(o.delay) {
			lowest = o.price
			best = Decision{Choice: o.choice, Delay: toDuration(o.delay)}
		}
	}
	if best.Choice == Import {
		best.ImportTimeout = toDuration(in.prefillSeconds(in.PromptTokens - in.OtherCached))
	}
	return best
}

// option is a way to go on, in seconds: what it delays the caller, and the price
// with what it costs others.
type option struct {
	choice Choice
	delay  float64
	price  float64
}

// unavailable is the option that can't be taken.
func unavailable(c Choice) option {
	return option{choice: c, delay: math.Inf(1), price: math.Inf(1)}
}

func (in Inputs) waitOption() option {
	if in.HolderWait > in.Patience {
		return unavailable(Wait)
	}
	delay := in.HolderWait.Seconds() + in.prefillSeconds(in.PromptTokens-in.HolderCached)
	return option{Wait, delay, delay}
}

func (in Inputs) rebuildOption() option {
	work := in.prefillSeconds(in.PromptTokens - in.OtherCached)
	return option{Rebuild, in.OtherWait.Seconds() + work, in.OtherWait.Seconds() + work*(1+in.OtherLoad)}
}

// importOption computes the price of an import. It pays only on a link that carries KV
// cache faster than the engine computes it, Prefill times Token over Margin. The wait for the other target and the
// move overlap, as the KV cache is sent while the request queues.
func (in Inputs) importOption() option {
	missing := in.HolderCached - in.OtherCached
	if in.LinkRate <= 0 || in.BytesPerToken <= 0 || missing < MinTokens {
		return unavailable(Import)
	}
	move := ImportSetup.Seconds() + (in.QueuedBytes+missing*in.BytesPerToken)/in.LinkRate
	if move > ImportMargin*in.prefillSeconds(missing) {
		return unavailable(Import)
	}
	rest := in.prefillSeconds(in.PromptTokens - in.HolderCached)
	delay := max(in.OtherWait.Seconds(), move) + rest
	return option{Import, delay, delay + rest*in.OtherLoad}
}

// prefillSeconds is the seconds that a target takes for tokens. Without a known rate it
// counts as nothing, so that a rebuild is then always to be had.
func (in Inputs) prefillSeconds(tokens float64) float64 {
	if in.PrefillRate <= 0 {
		return 0
	}
	return max(0, tokens) / in.PrefillRate
}

func (in Inputs) meetsDeadline(delay float64) bool {
	return in.TimeLeft <= 0 || delay <= in.TimeLeft.Seconds()
}

// toDuration converts to a duration; more than a day is a day.
func toDuration(s float64) time.Duration {
	const day = 24 * 60 * 60
	return time.Duration(min(s, day) * float64(time.Second))
}
