package trial

import (
	"slices"
	"time"
)

// UnevenConfig describes a fleet without agents whose targets differ in speed for short times, and
// entries that place requests by readings of the targets' load. All entries have the same readings.
type UnevenConfig struct {
	Seed    uint64
	Policy  UnevenPolicy
	Targets int
	Slots   int
	// Rate is the number of requests per second.
	Rate float64
	// Engine is set if requests are streams that read a prompt before their first byte; otherwise the
	// first byte is sent at the end of the work.
	Engine bool
	// SlowRatio is the part of the targets that is slow at a time; 0 for equal targets.
	SlowRatio float64
	// Age is the age of the readings. A negative one stands for no readings: entries then know only
	// of their own requests.
	Age time.Duration
	// DomainRates is the part of the requests that arrives in each failure domain; nil for equal
	// parts.
	DomainRates []float64
	// PartWindow is the time over which the parts of targets are compared, long enough for some
	// hundred requests to each, so that random variation is small.
	PartWindow time.Duration
	// Patience is how long a request can wait for a slot, which limits the requests at a target.
	Patience time.Duration
	// Duration is the end of the load.
	Duration time.Duration
}

// UnevenPolicy is a way to choose the target.
type UnevenPolicy int

// Policies that are compared.
const (
	// WithoutSpeed places by the requests in progress and the caches that readings tell, as before
	// targets reported their speed and queue.
	WithoutSpeed UnevenPolicy = iota
	// WithSpeed also uses the speed and the queue that readings tell.
	WithSpeed
	// BestAtAge takes the target with the earliest first byte, with perfect knowledge but for the
	// targets' speed, which is as old as the readings.
	BestAtAge
	// Perfect takes the target with the earliest first byte, with perfect knowledge of this moment.
	Perfect
)

// UnevenResult holds the measurements of RunUneven.
type UnevenResult struct {
	// P50, P99 and P999 are quantiles of the time to the first byte.
	P50, P99, P999 time.Duration
	// LargestPart is the largest part of the requests in a PartWindow that a target received, as a
	// multiple of its fair part, which is in proportion to its speed at each moment.
	LargestPart float64
	// SlowPart is the part of the requests that began at a slow target. Misses is the part that read
	// a shared prefix.
	SlowPart, Misses float64
	// Refused is the number of requests that found the queue of their target full.
	Refused int
}

const (
	unevenEntries = 48
	unevenDomains = 3
	// slowTime is how long a target is slow at a time, and slowFactor how much longer work takes.
	slowTime   = 600 * time.Millisecond
	slowFactor = 2.5
	// callerDelay and domainDelay are the delays of one way from the caller to the entry and between
	// failure domains.
	callerDelay = time.Millisecond
	domainDelay = 1400 * time.Microsecond
	// plainWork is the usual time of work of a plain service. One of a hundred requests takes up to
	// longWork.
	plainWork  = 15 * time.Millisecond
	longWork   = 110 * time.Millisecond
	plainQueue = 24
	// streamTime is the mean duration of a stream after its first byte.
	streamTime = 2500 * time.Millisecond
	// unevenPrefixes is the number of prefixes in use, popularitySkew the exponent by which a few have
	// most requests, and newPrefixRatio the part of the requests that replaces one of them, whether it
	// is popular or not, by a new one.
	unevenPrefixes = 240
	popularitySkew = 2.5
	newPrefixRatio = 0.04
	unevenShared   = 6000
	unevenOwn      = 500
	// shortlistSize is the number of targets with room that a choice evaluates besides the holders of
	// the prefix, as in package board.
	shortlistSize = 16
	// sampleInterval is the resolution of readings.
	sampleInterval = 10 * time.Millisecond
)

// PlainFleet returns the plain service of the pairing fleet, see docs/hard-load.md.
func PlainFleet(seed uint64) UnevenConfig {
	return UnevenConfig{
		Seed: seed, Targets: 3, Slots: 6, Rate: 100.7, SlowRatio: 0.15,
		PartWindow: 10 * time.Second, Patience: 60 * time.Millisecond, Duration: 5 * time.Minute,
	}
}

// EngineFleet returns the engines of the pairing fleet.
func EngineFleet(seed uint64) UnevenConfig {
	return UnevenConfig{
		Seed: seed, Targets: 55, Slots: 64, Rate: 287, Engine: true, SlowRatio: 0.15,
		PartWindow: time.Minute, Patience: 500 * time.Millisecond, Duration: 5 * time.Minute,
	}
}

// UnevenAges lists the compared ages of readings; the last one stands for no readings.
var UnevenAges = []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, -1}

// UnevenRow holds the results for one age of the readings.
type UnevenRow struct {
	Age time.Duration
	// Equal is the result if all targets have the usual speed.
	Equal, WithoutSpeed, WithSpeed, BestAtAge, Perfect UnevenResult
}

// UnevenRows compares the policies by the age of the readings.
func UnevenRows(cfg UnevenConfig) []UnevenRow {
	var rows []UnevenRow
	run := func(policy UnevenPolicy, slowRatio float64) UnevenResult {
		c := cfg
		c.Policy, c.SlowRatio = policy, slowRatio
		return RunUneven(c)
	}
	for _, cfg.Age = range UnevenAges {
		rows = append(rows, UnevenRow{
			Age: cfg.Age, Equal: run(WithoutSpeed, 0), WithoutSpeed: run(WithoutSpeed, cfg.SlowRatio),
			WithSpeed: run(WithSpeed, cfg.SlowRatio), BestAtAge: run(BestAtAge, cfg.SlowRatio), Perfect: run(Perfect, cfg.SlowRatio),
		})
	}
	return rows
}

// RunUneven simulates cfg and returns its measurements.
func RunUneven(cfg UnevenConfig) UnevenResult {
	s := newUneven(cfg)
	s.every(sampleInterval, s.sample)
	s.every(cfg.PartWindow, s.closeWindow)
	s.after(0, s.arrive)
	s.runUntil(cfg.Duration)
	slices.Sort(s.firstBytes)
	r := s.result
	r.P50, r.P99, r.P999 = quantile(s.firstBytes, 0.5), quantile(s.firstBytes, 0.99), quantile(s.firstBytes, 0.999)
	r.SlowPart, r.Misses = ratio(s.slow, len(s.firstBytes)), ratio(s.misses, len(s.firstBytes))
	return r
}
