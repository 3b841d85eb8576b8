package feed

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

const (
	// minReaders is the minimum number of readers, because one of them can be cut off from the
	// source.
	minReaders = 2
	// entriesPerReader is the number of entries per reader.
	entriesPerReader = 25

	// sourceWaitRatio, as a fraction of the bound, is how long a watch of the source waits, with
	// maxSourceWait as its limit. The return of a watch proves that nothing had changed when it
	// began.
	sourceWaitRatio = 0.25
	maxSourceWait   = time.Second
	// peerWaitRatio, as a fraction of the bound, is how long a watch of a reader waits, and
	// peerWaitRoutingRatio one for the configuration. The wait for targets is shorter because an
	// unresponsive reader must not delay them as long.
	peerWaitRatio        = 0.15
	peerWaitRoutingRatio = 0.3
	// maxAgeRatio, as a fraction of the bound, is the maximum age of a reader's response. The
	// remaining time is enough for a call of the source.
	maxAgeRatio = 0.7
	// batchDelayRatio, as a fraction of the bound, is the pause after changes, so that the
	// following changes are read by one call, and minBatchDelay its minimum.
	batchDelayRatio = 0.125
	minBatchDelay   = 250 * time.Millisecond
	// slackRatio, as a fraction of the bound, is how long the response of a reader can take beyond
	// the wait.
	slackRatio = 0.15
	// defaultBound applies if no bound is set.
	defaultBound = 2 * time.Second
)

// Readers returns the number of entries of a fleet that read the source themselves. The others
// follow them, so that a change costs one call of the source per reader, whatever the number of
// entries.
func Readers(entries int) int { return max(minReaders, (entries+entriesPerReader-1)/entriesPerReader) }

// Timing holds the intervals of reading, derived from the time within which a change must be in
// force at every entry.
type Timing struct {
	// SourceWait is how long a watch of the source waits. PeerWait and PeerWaitRouting are how long
	// a watch of a reader waits, for targets and for the configuration.
	SourceWait, PeerWait, PeerWaitRouting time.Duration
	// MaxAge is the maximum age of a reader's response, and Slack the time that it can take beyond
	// its wait.
	MaxAge, Slack time.Duration
	// BatchDelay is the pause after changes.
	BatchDelay time.Duration
}

// NewTiming returns the intervals for a bound; 0 for the default bound.
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

func (tm Timing) peerWait(t chestnutstep.Topic) time.Duration {
	if t == chestnutstep.TopicRouting {
		return tm.PeerWaitRouting
	}
	return tm.PeerWait
}

func scale(d time.Duration, ratio float64) time.Duration { return time.Duration(ratio * float64(d)) }
