package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
)

// request is a caller's request and its state.
type request struct {
	stream    int
	chat      string
	arrivedAt time.Duration
	timeout   time.Duration
	answer    time.Duration
	// cancelAfter is the time from arrival to cancellation by the caller; 0 means never.
	cancelAfter time.Duration
	// first is true for the first request of a chat.
	first bool

	work  chestnutstep.Work
	ranks []*chestnutstep.Target
	next  int
	tries int
	home  *target
	// source is the target to import the prefix from, if it is not home.
	source     *target
	assignedTo *target
	remaining  time.Duration
	// retryDelay is the delay before a refused caller retries.
	retryDelay time.Duration
	finished   bool
	hasStarted bool
	// run is the attempt on the board of its entry; nil in a fleet with agents.
	run *board.Attempt
}

// generateRequests generates the load, sorted by arrival. The load depends only on the seed, the
// streams and the duration, so that all policies get the same requests at the same times.
func generateRequests(cfg Config) []*request {
	var all []*request
	for i, s := range cfg.Streams {
		r := rand.New(rand.NewPCG(cfg.Seed, uint64(i)))
		all = append(all, s.generate(r, i, cfg.Duration)...)
	}
	slices.SortStableFunc(all, func(a, b *request) int { return int(a.arrivedAt - b.arrivedAt) })
	seenChats := make(map[string]bool)
	for i, x := range all {
		x.first = !seenChats[x.chat]
		seenChats[x.chat] = true
		x.work.ID = fmt.Sprint("r", i)
	}
	return all
}

func (s Stream) generate(r *rand.Rand, stream int, end time.Duration) []*request {
	if s.Until > 0 {
		end = min(end, s.Until)
	}
	var list []*request
	for at := s.From; ; {
		at += time.Duration(r.ExpFloat64() / s.Rate * float64(time.Second))
		if at >= end {
			return list
		}
		list = append(list, s.request(r, stream, at))
	}
}

func (s Stream) request(r *rand.Rand, stream int, at time.Duration) *request {
	chat := int(float64(s.Chats) * math.Pow(r.Float64(), max(1, s.Skew)))
	x := &request{
		stream:    stream,
		chat:      fmt.Sprintf("%s-%d-%d", s.Workspace, s.Class, chat),
		arrivedAt: at,
		timeout:   s.Timeout,
		answer:    time.Duration((0.25 + 0.75*r.ExpFloat64()) * float64(s.Answer)),
	}
	if cancelDelay := r.Float64() * float64(s.Answer); r.Float64() < s.CancelRatio {
		x.cancelAfter = time.Duration(cancelDelay) + time.Millisecond
	}
	x.work = chestnutstep.Work{Workspace: s.Workspace, Class: s.Class, Cost: s.Cost}
	return x
}
