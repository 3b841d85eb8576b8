// Package trial plays a recorded load against the decisions of the fleet, on
// in-memory targets and a clock of its own, and counts what callers get. It is
// a bench for comparing policies on the same load, and no simulation of a
// cluster: messages arrive at once and whole, and faults are the few named in
// Config.
package trial

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/gate"
)

// Policy is which of the decisions are switched on.
type Policy struct {
	// Naive sends each request to a random target that seems in service, without
	// caps or queues, and sends again at once what broke.
	Naive bool
	// FIFO replaces the gate by slots and an endless line, first come, first
	// served.
	FIFO bool
	// Hint has callers name the target that served the chat last.
	Hint bool
	// Home lets a chat wait for its patience at its first target.
	Home bool
	// FollowMoved has the first target of a chat name the target that took it last.
	FollowMoved bool
	// ExactCache has agents remember which chats they served since the last restart:
	// a chat may then wait wherever its prefix is, and nowhere else.
	ExactCache bool
	// Drift takes some requests of a chat that was displaced to its first target.
	Drift bool
	// Import moves a spilled chat's prefix from the target that holds it.
	Import bool
}

// FullPolicy is the policy of the fleet: every decision on.
var FullPolicy = Policy{Hint: true, Home: true, ExactCache: true, Drift: true, Import: true}

// Stream is one workspace's requests of one kind.
type Stream struct {
	Workspace string
	Class     chestnutstep.Class
	// Rate is the requests a second, at random moments.
	Rate float64
	// From and Until bound the stream; until the end if zero.
	From, Until time.Duration
	// Chats that the requests belong to, drawn evenly at Skew 1; with greater
	// Skew the first chats take more.
	Chats int
	Skew  float64
	// Answer is the mean time that an answer takes, Prefill what it takes more
	// when the chat's prefix is not in the target's cache.
	Answer, Prefill time.Duration
	// Cost is the estimate that offers carry, in tokens.
	Cost float64
	// Timeout of time, and Patience at the first target.
	Timeout, Patience time.Duration
	// CancelRatio is the share that is given up before its answer is whole.
	CancelRatio float64
}

// Config is a load, a fleet, its faults and a policy.
type Config struct {
	Seed     uint64
	Duration time.Duration
	// Warmup is how long caches fill and targets warm up before anything counts.
	Warmup  time.Duration
	Streams []Stream
	Policy  Policy

	Targets int
	Domains int
	Model   chestnutstep.Model
	// MaxTargets bounds the targets that a request is offered to before it waits.
	MaxTargets int
	// CacheChats is how many chats' prefixes a target keeps.
	CacheChats int
	// Weights of workspaces.
	Weights map[string]float64

	// RestartInterval is how often some target restarts, losing what it ran and kept;
	// never if zero. It is down for Down.
	RestartInterval, DownTime time.Duration
	// FragileTime is how long a started target falls over above twice Model.Cold.
	FragileTime time.Duration
	// LeaveAt and Return are when failure domain 0 is taken out and brought back
	// with empty caches; never if zero. Entries hear of it Lag later.
	LeaveAt, ReturnAt, NoticeDelay time.Duration
	// WarmReturn brings the domain back with its caches kept and targets warm.
	WarmReturn bool
	// SlowFactor is how many times slower target 0 is from a third of the time on.
	SlowFactor float64
	// MeanError is the standard deviation of an error put on each mean.
	MeanError float64
	// ImportTime is what an import takes instead of the prefill.
	ImportTime time.Duration

	// Entries, where there are any, place requests without agents, by what they
	// tell each other each Talk; never if that is zero.
	Entries        int
	ReportInterval time.Duration
}

func (c Config) newGate() chestnutstep.Gate {
	if c.Policy.FIFO || c.Entries > 0 {
		return &fifoGate{}
	}
	return &gate.Gate{}
}

// Result is what callers got.
type Result struct {
	Streams []StreamResult
	All     StreamResult
	// Offers for each request.
	Offers float64
	// MaxToMean is the highest load of a target against the mean of the moment,
	// in the worst second and in 99 of 100 seconds.
	MaxToMean, MaxToMean99 float64
	// OverCap counts starts beyond the cap in force, OverRule those beyond the
	// rule: the multiple, with the margin of the estimate, of the highest true
	// mean of the last seconds. OverTrue is the share of starts beyond the
	// multiple of the true mean of that very moment, which no one can know.
	OverCap, OverRule int
	OverTrueMean      float64
	// Crashes of fragile targets.
	Crashes int
	// ReturnedShare is failure domain 0's share of what runs in the last minute.
	ReturnedShare float64
	// StartsAfterLeave counts starts in the domain that was taken out, two seconds on.
	StartsAfterLeave int
	// Series is what callers got from one span to the next, the warming up included.
	Series []Interval
}

// intervalLength is the time that one Span covers: long enough for a hundred starts at a
// third of the recorded load.
const intervalLength = 10 * time.Second

// Interval is what callers got in a span of time.
type Interval struct {
	// Begin is when the span began, from the beginning of the load.
	Begin time.Duration
	// Reuse and Imported are shares of the starts of returning chats.
	Reuse, Imported float64
	// Wait is the mean from request to start.
	Wait time.Duration
	// MaxToMean is the highest load of a target against the mean, at the span's worst.
	MaxToMean float64
}

// StreamResult is what the callers of a stream got.
type StreamResult struct {
	Workspace string
	Requests  int
	// InTime is the share of the requests not given up that were answered
	// within their limit.
	InTime float64
	// Reuse is the share of starts of returning chats that found their prefix.
	Reuse float64
	// Imported is the share whose prefix came from another target.
	Imported float64
	// Wait from the request to its start, of those that started.
	WaitMean, Wait95 time.Duration
	// Goodput is answers in time a second.
	Goodput float64
}

const (
	// Margin is what an agent's estimate of the mean may be too high: three and a
	// half standard deviations of what relayed samples err at a steady load.
	Margin = 0.15
	// MeanHistory is how long the estimate may rest on an earlier, higher mean.
	MeanHistory = 10
)
