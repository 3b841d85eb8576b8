package feed

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

const (
	// minReaders is how many entries read the source itself, at least: one of them may
	// be cut off from it.
	minReaders = 2
	// entriesPerReader is for how many entries there is one reader.
	entriesPerReader = 25

	// sourceWaitRatio of the bound on changes is how long a watch of the source waits, and
	// waitMost its limit. Its return proves that nothing had changed when it began.
	sourceWaitRatio = 0.25
	maxSourceWait   = time.Second
	// peerWaitRatio of the bound is how long a watch of a reader waits, and pollRoutingPart one
	// for the configuration: a silent reader delays targets more than it may.
	peerWaitRatio        = 0.15
	peerWaitRoutingRatio = 0.3
	// maxAgeRatio of the bound is the age from which on a reader's answer is not relied on:
	// what is left is enough for a call of the source.
	maxAgeRatio = 0.7
	// batchDelayRatio of the bound is the rest after changes, which are then read by one call, and
	// restLeast its least.
	batchDelayRatio = 0.125
	minBatchDelay   = 250 * time.Millisecond
	// slackRatio of the bound is what an answer of a reader may take beyond its wait.
	slackRatio = 0.15
	// defaultBound stands in where no bound is set.
	defaultBound = 2 * time.Second
)

// Readers is how many of a fleet's entries read the source itself. The others follow them:
// a change costs a call by each reader, whatever the number of entries.
func Readers(entries int) int { return max(minReaders, (entries+entriesPerReader-1)/entriesPerReader) }

// Timing are the times of reading, derived from the time in which a change has to be in force
// at every entry.
type Timing struct {
	// SourceWait of a watch of the source, and Poll of one of a reader, for targets and for the
	// configuration.
	SourceWait, PeerWait, PeerWaitRouting time.Duration
	// MaxAge is the greatest age of a reader's answer, and Slack what it may take beyond
	// Poll.
	MaxAge, Slack time.Duration
	// BatchDelay after changes.
	BatchDelay time.Duration
}

// NewTiming derives the times from a bound; 0 for the default one.
func NewTiming(bound time.Duration) Timing {
	if bound <= 0 {
		bound = defaultBound
	}
	return Timing{
		SourceWait:      min(scale(bound, sourceWaitRatio), maxSourceWait),
		PeerWait:        scale(bound, peerWaitRatio),
		PeerWaitRouting: scale(bound, peerWaitRoutingRatio),
		MaxAge:          scale(bound, maxAgeRatio),
		Slack:           scale(bound, slackRatio),
		BatchDelay:      max(scale(bound, batchDelayRatio), minBatchDelay),
	}
}

func (p Timing) peerWait(t chestnutstep.Topic) time.Duration {
	if t == chestnutstep.TopicRouting {
		return p.PeerWaitRouting
	}
	return p.PeerWait
}

func scale(d time.Duration, ratio float64) time.Duration { return time.Duration(ratio * float64(d)) }
