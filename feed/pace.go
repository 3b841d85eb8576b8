package feed

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

const (
	// readersLeast is how many entries read the source itself, at least: one of them may
	// be cut off from it.
	readersLeast = 2
	// readerEach is for how many entries there is one reader.
	readerEach = 25

	// waitPart of the bound on changes is how long a watch of the source waits, and
	// waitMost its limit. Its return proves that nothing had changed when it began.
	waitPart = 0.25
	waitMost = time.Second
	// pollPart of the bound is how long a watch of a reader waits, and pollRoutingPart one
	// for the configuration: a silent reader delays targets more than it may.
	pollPart        = 0.15
	pollRoutingPart = 0.3
	// freshPart of the bound is the age from which on a reader's answer is not relied on:
	// what is left is enough for a call of the source.
	freshPart = 0.7
	// restPart of the bound is the rest after changes, which are then read by one call, and
	// restLeast its least.
	restPart  = 0.125
	restLeast = 250 * time.Millisecond
	// slackPart of the bound is what an answer of a reader may take beyond its wait.
	slackPart = 0.15
	// boundDefault stands in where no bound is set.
	boundDefault = 2 * time.Second
)

// Readers is how many of a fleet's entries read the source itself. The others follow them:
// a change costs a call by each reader, whatever the number of entries.
func Readers(entries int) int { return max(readersLeast, (entries+readerEach-1)/readerEach) }

// Pace are the times of reading, derived from the time in which a change has to be in force
// at every entry.
type Pace struct {
	// Wait of a watch of the source, and Poll of one of a reader, for targets and for the
	// configuration.
	Wait, Poll, PollRouting time.Duration
	// Fresh is the greatest age of a reader's answer, and Slack what it may take beyond
	// Poll.
	Fresh, Slack time.Duration
	// Rest after changes.
	Rest time.Duration
}

// NewPace derives the times from a bound; 0 for the default one.
func NewPace(bound time.Duration) Pace {
	if bound <= 0 {
		bound = boundDefault
	}
	return Pace{
		Wait:        min(part(bound, waitPart), waitMost),
		Poll:        part(bound, pollPart),
		PollRouting: part(bound, pollRoutingPart),
		Fresh:       part(bound, freshPart),
		Slack:       part(bound, slackPart),
		Rest:        max(part(bound, restPart), restLeast),
	}
}

func (p Pace) poll(t chestnutstep.Topic) time.Duration {
	if t == chestnutstep.TopicRouting {
		return p.PollRouting
	}
	return p.Poll
}

func part(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }
