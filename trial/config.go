// Package trial is a discrete-event simulation that compares policies of the fleet. It runs
// the real decision code against simulated targets and a simulated clock, on a load generated
// from a Config, and returns the answers, waits and cache hits of the callers as a Result. The
// same Config always gives the same Result. It does not simulate a network: messages arrive at
// once and complete, and the only faults are those named in Config.
package trial

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/gate"
)

// Policy selects the decisions that a trial applies.
type Policy struct {
	// Naive sends each request to a random target, without caps or queues, and
	// retries failed requests immediately.
	Naive bool
	// FIFO replaces the gate by slots and an unbounded first-in, first-out queue.
	FIFO bool
	// Hint makes callers name the target that last served the chat.
	Hint bool
	// Home lets a request wait at the first target of its chat, for at most the
	// patience of its stream.
	Home bool
	// FollowMoved makes the first target of a chat name the target that last
	// served the chat.
	FollowMoved bool
	// ExactCache makes agents record the chats whose prefix is cached. A request then
	// waits for its patience only at targets that have its prefix cached.
	ExactCache bool
	// Drift sends some requests of a displaced chat back to its first target.
	Drift bool
	// Import copies the prefix of a displaced chat from the target that has it cached.
	Import bool
}

// FullPolicy is the policy that the fleet uses.
var FullPolicy = Policy{Hint: true, Home: true, ExactCache: true, Drift: true, Import: true}

// Stream describes the requests of one workspace and class.
type Stream struct {
	Workspace string
	Class     chestnutstep.Class
	// Rate is the mean number of requests per second. Arrivals are a Poisson process.
	Rate float64
	// From and Until bound the stream. If Until is zero, the stream ends with the trial.
	From, Until time.Duration
	// Chats is the number of chats that the requests belong to. With a Skew of 1 they
	// are drawn uniformly; a greater Skew favors the first chats.
	Chats int
	Skew  float64
	// Answer is the mean duration of an answer. Prefill is added to it when the target
	// does not have the prefix of the chat cached.
	Answer, Prefill time.Duration
	// Cost is the cost estimate in offers, in tokens.
	Cost float64
	// Timeout is the time limit of a request. Patience is how long it waits at a
	// target that is expected to have its prefix cached.
	Timeout, Patience time.Duration
	// CancelRatio is the share of requests that callers cancel after a random delay of
	// up to Answer.
	CancelRatio float64
}

// Config describes a load, a fleet, its faults and a policy.
type Config struct {
	Seed     uint64
	Duration time.Duration
	// Warmup is the initial time, in which caches fill, that is excluded from the results.
	Warmup  time.Duration
	Streams []Stream
	Policy  Policy

	Targets int
	Domains int
	Model   chestnutstep.Model
	// MaxTargets is the maximum number of targets that a request is offered to before it waits.
	MaxTargets int
	// CacheChats is the number of chats whose prefixes fit into the cache of a target.
	CacheChats int
	// Weights holds the fair-share weights of workspaces, by name.
	Weights map[string]float64

	// RestartInterval is the interval at which a random target restarts and loses its
	// requests and its cache; zero disables restarts. The target is down for DownTime.
	RestartInterval, DownTime time.Duration
	// FragileTime is how long after a start a target crashes if more than twice
	// Model.ColdCap requests run on it.
	FragileTime time.Duration
	// LeaveAt and ReturnAt are the times at which failure domain 0 is taken out of
	// service and returns with empty caches. If LeaveAt is zero, the domain stays in
	// service. Entries receive both changes after NoticeDelay.
	LeaveAt, ReturnAt, NoticeDelay time.Duration
	// WarmReturn makes the domain return with its caches intact and its targets warm.
	WarmReturn bool
	// SlowFactor is the factor by which target 0 slows down after a third of Duration;
	// zero disables the fault.
	SlowFactor float64
	// MeanError is the standard deviation of the relative error added to each mean.
	MeanError float64
	// ImportTime is the duration of an import, which replaces the prefill.
	ImportTime time.Duration

	// Entries is the number of entries that place requests without agents; zero
	// simulates a fleet with agents. Entries exchange reports every ReportInterval,
	// or not at all if it is zero.
	Entries        int
	ReportInterval time.Duration
}

func (c Config) newGate() chestnutstep.Gate {
	if c.Policy.FIFO || c.Entries > 0 {
		return &fifoGate{}
	}
	return &gate.Gate{}
}

// Result holds the measurements of a trial.
type Result struct {
	Streams []StreamResult
	All     StreamResult
	// Offers is the mean number of offers per request.
	Offers float64
	// MaxToMean is the highest number of running requests of a target divided by the
	// mean over targets in service, sampled every second: the maximum of the samples.
	// MaxToMean99 is their 99th percentile.
	MaxToMean, MaxToMean99 float64
	// OverCap counts the starts above the cap of the gate. OverRule counts the starts
	// above Multiple * (1+Margin) * the highest true mean of the last MeanHistory
	// seconds. OverTrueMean is the share of starts above Multiple * the true mean at
	// that moment, which agents can only estimate. Both ignore starts up to Model.Floor.
	OverCap, OverRule int
	OverTrueMean      float64
	// Crashes counts the crashes of fragile targets.
	Crashes int
	// ReturnedShare is the share of running requests on targets of failure domain 0
	// in the last minute.
	ReturnedShare float64
	// StartsAfterLeave counts the starts in failure domain 0 between NoticeDelay after
	// LeaveAt and ReturnAt.
	StartsAfterLeave int
	// Series lists the results per interval, including the warm-up.
	Series []Interval
}

// intervalLength is the time that one Interval covers: long enough for a hundred starts at a
// third of the recorded load.
const intervalLength = 10 * time.Second

// Interval holds the measurements of one interval of a trial.
type Interval struct {
	// Begin is the start of the interval, relative to the start of the load.
	Begin time.Duration
	// Reuse and Imported are shares of the starts of returning chats, as in StreamResult.
	Reuse, Imported float64
	// Wait is the mean time from the arrival of a request to its start.
	Wait time.Duration
	// MaxToMean is the maximum in this interval of the ratio described at Result.
	MaxToMean float64
}

// StreamResult holds the measurements of one stream.
type StreamResult struct {
	Workspace string
	Requests  int
	// InTime is the share of the requests without a planned cancellation that were
	// answered within their timeout.
	InTime float64
	// Reuse is the share of starts of returning chats whose prefix was cached at the target.
	Reuse float64
	// Imported is the share of starts of returning chats whose prefix was imported from
	// another target.
	Imported float64
	// WaitMean and Wait95 are the mean and the 95th percentile of the time from the
	// arrival of a request to its start.
	WaitMean, Wait95 time.Duration
	// Goodput is the number of answers in time per second.
	Goodput float64
}

const (
	// Margin is the relative amount by which an agent can overestimate the mean: 3.5
	// standard deviations of the error of relayed samples at a steady load.
	Margin = 0.15
	// MeanHistory is the number of seconds for which the estimate can include an earlier,
	// higher mean.
	MeanHistory = 10
)
