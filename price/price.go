// Package price compares the costs of a chat at different targets: waiting where its prompt
// prefix is cached, importing the KV cache from there, or rebuilding the prefix elsewhere. It
// also plans which chats a leaving target exports.
//
// Prices are in seconds of delay, the same unit for callers and engines: a rebuilt prefix
// delays its own caller and, on a busy engine, all other requests there.
package price

import (
	"math"
	"time"
)

const (
	// ImportSetup is the fixed cost of an import: a round trip between failure domains, and the
	// time that the engines need to start an export.
	ImportSetup = 20 * time.Millisecond
	// ImportMargin is the maximum duration of an import, as a part of the time to rebuild the
	// same tokens. Link rates are estimates that lag, and an abandoned import costs its own time
	// plus the rebuild.
	ImportMargin = 0.8
)

// Choice is where and how a chat continues.
type Choice uint8

// Choices of Choose.
const (
	// Rebuild runs at the other target, which recomputes the prefix.
	Rebuild Choice = iota
	// Wait queues at the target that holds the prefix.
	Wait
	// Import runs at the other target, which first fetches the KV cache.
	Import
	// TooLate means that no option meets the deadline; the caller should get an error at once.
	TooLate
)

// Inputs describes one request whose prefix holder is at its cap. A rate of 0 is unknown, and
// excludes the options that need it.
type Inputs struct {
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens float64
	// HolderCached is the number of prompt tokens cached by the holder.
	HolderCached float64
	// OtherCached is the number of prompt tokens cached by the other target.
	OtherCached float64
	// HolderWait is the predicted wait at the holder.
	HolderWait time.Duration
	// OtherWait is the predicted wait at the other target.
	OtherWait time.Duration
	// Patience is the longest wait at the holder that the profile allows.
	Patience time.Duration
	// TimeLeft is the time left until the first token is due; 0 is unlimited.
	TimeLeft time.Duration
	// PrefillRate is the number of tokens that a target computes per second.
	PrefillRate float64
	// OtherLoad is the load of the other target, from 0 to 1: the part of a rebuild that delays
	// other requests there.
	OtherLoad float64
	// BytesPerToken is the size of the KV cache of one token in bytes.
	BytesPerToken float64
	// LinkRate is the link bandwidth available for imports, in bytes per second.
	LinkRate float64
	// QueuedBytes is the number of bytes already queued for the link.
	QueuedBytes float64
}

// Decision is the result of Choose.
type Decision struct {
	Choice Choice
	// Delay is the time until the caller's prompt is computed.
	Delay time.Duration
	// ImportTimeout is the time after its start when an import is abandoned and the prefix is
	// rebuilt instead. By then it has cost as much as a rebuild, so that a wrong estimate of
	// the link rate at most doubles the price.
	ImportTimeout time.Duration
}

// Choose returns the cheapest option that meets the deadline.
//
// Near a low multiple of the mean load, the holder of a chat's prefix is at its cap for a fifth
// of all requests. A fixed rule fails: always waiting makes short questions queue for a prefix
// that takes milliseconds to rebuild; always rebuilding makes long plans recompute histories
// that an import would provide in one millisecond, so that engines compute the same prefix twice
// just when they are busy.
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

// option is one way to continue: its delay for the caller, and its price including the cost to
// other requests, in seconds.
type option struct {
	choice Choice
	delay  float64
	price  float64
}

// unavailable returns an option that cannot be chosen.
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

// importOption computes the price of an import. An import only pays on a link that carries KV
// cache faster than the engine computes it: LinkRate above PrefillRate times BytesPerToken
// divided by ImportMargin. The wait at the other target and the transfer overlap, because the KV
// cache is sent while the request waits.
func (in Inputs) importOption() option {
	missing := in.HolderCached - in.OtherCached
	if in.LinkRate <= 0 || in.BytesPerToken <= 0 || missing < MinTokens {
		return unavailable(Import)
	}
	transfer := ImportSetup.Seconds() + (in.QueuedBytes+missing*in.BytesPerToken)/in.LinkRate
	if transfer > ImportMargin*in.prefillSeconds(missing) {
		return unavailable(Import)
	}
	rest := in.prefillSeconds(in.PromptTokens - in.HolderCached)
	delay := max(in.OtherWait.Seconds(), transfer) + rest
	return option{Import, delay, delay + rest*in.OtherLoad}
}

// prefillSeconds returns the seconds that a target takes to compute a number of tokens. It is 0
// if the rate is unknown, so that a rebuild is always possible.
func (in Inputs) prefillSeconds(tokens float64) float64 {
	if in.PrefillRate <= 0 {
		return 0
	}
	return max(0, tokens) / in.PrefillRate
}

func (in Inputs) meetsDeadline(delay float64) bool {
	return in.TimeLeft <= 0 || delay <= in.TimeLeft.Seconds()
}

// toDuration converts seconds to a duration of at most one day.
func toDuration(s float64) time.Duration {
	const day = 24 * 60 * 60
	return time.Duration(min(s, day) * float64(time.Second))
}
