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
	// Setup is what an import costs besides its bytes: a call across failure
	// domains there and back, and the engines' work to start an export.
	Setup = 20 * time.Millisecond
	// Margin is how much cheaper than a rebuild an import must look. Link rates
	// are estimates that lag, and an import that is given up costs both.
	Margin = 0.8
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
	Late
)

// Quote is what is known about one request when its prefix's holder is at its
// cap. Rates of 0 mean unknown: what needs them is not chosen.
type Quote struct {
	// Prompt is the length of the prompt in tokens.
	Prompt float64
	// Cached is how many of them the holder has.
	Cached float64
	// There is how many of them the other target has.
	There float64
	// Queue is the predicted wait at the holder.
	Queue time.Duration
	// Other is the predicted wait at the other target.
	Other time.Duration
	// Patience is the longest wait at the holder that the profile allows.
	Patience time.Duration
	// Left is the time limit that is left for the first token; 0 is unlimited.
	Left time.Duration
	// Prefill is the tokens a second that a target computes.
	Prefill float64
	// Load of the other target, 0 to 1: the part of a rebuild that delays
	// others there.
	Load float64
	// Token is the bytes of KV cache for one token.
	Token float64
	// Link is the bytes a second that are free for imports.
	Link float64
	// Ahead is the bytes that wait for the link already.
	Ahead float64
}

// Price is the choice for a quote.
type Price struct {
	Choice Choice
	// Delay is what the caller pays until its prompt is computed.
	Delay time.Duration
	// Stop is when an import is given up and rebuilt instead, after its start.
	// By then it has cost as much as a rebuild, so that a wrong guess about the
	// link at most doubles the price.
	Stop time.Duration
}

// Choose returns the cheapest way that ends in time.
//
// The load it answers is a chat whose holder is at its cap, near a low multiple
// of the mean a fifth of all requests. One rule for all goes wrong: always to
// wait makes quick questions queue for a prefix that takes milliseconds to
// rebuild; always to rebuild makes long plans compute histories that lie ready
// one millisecond away, and the engines compute the same thing twice just when
// they are busy.
func Choose(q Quote) Price {
	best := Price{Choice: Late}
	lowest := math.Inf(1)
	for _, o := range []option{q.wait(), q.imports(), q.rebuild()} {
		if o.price < lowest && q.fits(o.delay) {
			lowest = o.price
			best = Price{Choice: o.choice, Delay: seconds(o.delay)}
		}
	}
	if best.Choice == Import {
		best.Stop = seconds(q.compute(q.Prompt - q.There))
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

// never is the option that can't be taken.
func never(c Choice) option {
	return option{choice: c, delay: math.Inf(1), price: math.Inf(1)}
}

func (q Quote) wait() option {
	if q.Queue > q.Patience {
		return never(Wait)
	}
	delay := q.Queue.Seconds() + q.compute(q.Prompt-q.Cached)
	return option{Wait, delay, delay}
}

func (q Quote) rebuild() option {
	work := q.compute(q.Prompt - q.There)
	return option{Rebuild, q.Other.Seconds() + work, q.Other.Seconds() + work*(1+q.Load)}
}

// imports computes the price of an import. It pays only on a link that carries KV
// cache faster than the engine computes it, Prefill times Token over Margin. The wait for the other target and the
// move overlap, as the KV cache is sent while the request queues.
func (q Quote) imports() option {
	more := q.Cached - q.There
	if q.Link <= 0 || q.Token <= 0 || more < MinTokens {
		return never(Import)
	}
	move := Setup.Seconds() + (q.Ahead+more*q.Token)/q.Link
	if move > Margin*q.compute(more) {
		return never(Import)
	}
	rest := q.compute(q.Prompt - q.Cached)
	delay := max(q.Other.Seconds(), move) + rest
	return option{Import, delay, delay + rest*q.Load}
}

// compute is the seconds that a target takes for tokens. Without a known rate it
// counts as nothing, so that a rebuild is then always to be had.
func (q Quote) compute(tokens float64) float64 {
	if q.Prefill <= 0 {
		return 0
	}
	return max(0, tokens) / q.Prefill
}

func (q Quote) fits(delay float64) bool {
	return q.Left <= 0 || delay <= q.Left.Seconds()
}

// seconds converts to a duration; more than a day is a day.
func seconds(s float64) time.Duration {
	const day = 24 * 60 * 60
	return time.Duration(min(s, day) * float64(time.Second))
}
