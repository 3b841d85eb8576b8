package soak

import (
	"time"

	"chestnutstep.example/chestnutstep/stand"
)

const (
	// hardCallerCount callers are too many for all targets in a shortage and not for two otherwise.
	hardCallerCount = 24
	// One in slowEvery targets has slowPace at a time, and one in badReportEvery sends a bad report.
	slowPace       = 250
	slowEvery      = 7
	badReportEvery = 4
	// One in leaveEvery requests takes long, and its caller leaves within maxStay.
	leaveEvery = 20
	maxStay    = 250 * time.Millisecond
)

var (
	usualCapacity = stand.Capacity{Slots: targetSlots, Queue: targetSlots, Work: 20 * time.Millisecond, Pace: 100}
	shortCapacity = stand.Capacity{Slots: 1, Queue: 0, Work: 80 * time.Millisecond, Pace: 100}
)

// strainTargets makes some targets slow and some reports bad in a run with HardLoad; in its middle half all are short of
// slots. It has random numbers of its own, so that the other faults of a seed stay what they are.
func (s *Soak) strainTargets(elapsed time.Duration) {
	for i := 0; i < len(s.targets) && s.HardLoad; i++ {
		c := usualCapacity
		if elapsed > s.Duration/4 && elapsed < s.Duration*3/4 {
			c = shortCapacity
		}
		if s.strain.IntN(slowEvery) == 0 {
			c.Pace = slowPace
		}
		if s.strain.IntN(badReportEvery) == 0 {
			c.Report = stand.BadReports[s.strain.IntN(len(stand.BadReports))]
		}
		s.targets[i].SetCapacity(c)
	}
}

// sendUnderLoad sends a request whose caller may leave. After a refusal, callers with an even number come back when
// told, if that is within a third of the remaining time, and all others at once.
func (c *caller) sendUnderLoad() {
	req := c.newRequest(requestKinds[c.rand.IntN(len(requestKinds))])
	if c.rand.IntN(leaveEvery) == 0 {
		req.path, req.stays = stand.LongPath, time.Duration(1+c.rand.Int64N(int64(maxStay)))
	}
	c.do(req)
	first := req
	for n := 0; n < maxReturns && refusalStatuses[req.status] && first.path != stand.LongPath; n++ {
		if told := req.retryAfter; c.number%2 == 0 && told > 0 && told < (callerTimeout-time.Since(first.sentAt))/3 {
			time.Sleep(told)
		}
		next := c.newRequest(req.kind)
		next.key, next.content, next.entry = first.key, first.id, c.soak.entries[(req.entry.number+1)%entryCount]
		next.timeout = callerTimeout - time.Since(first.sentAt)
		c.client.CloseIdleConnections()
		c.do(next)
		req = next
	}
}
