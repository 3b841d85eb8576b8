package ticket

import (
	"fmt"
	"hash/fnv"
	"time"
)

// naiveScheme runs an action at a home target that records the keys that it ran. The home is chosen
// from each entry's own host list or, if stamped, is fixed and refuses keys older than memoryTTL or
// than its own start, by a clock that differs from that of the sender.
type naiveScheme struct {
	stamped     bool
	unreachable [entries][targets]bool
	seen        [targets][actions]bool
	now         time.Duration
	skew        [targets]time.Duration
	bootedAt    [targets]time.Duration
	stamps      [actions]time.Duration
	runs        [actions]int
}

// memoryTTL is how long the time-stamped scheme accepts a key.
const memoryTTL = DefaultSlotLength * DefaultOpenSlots

// send records when the key was created and returns the target to which the entry sends the action.
func (s *naiveScheme) send(action, entry int) (target int) {
	if s.stamps[action] == 0 {
		s.stamps[action] = s.now
	}
	if s.stamped {
		return action % targets
	}
	highest := uint32(0)
	for i := range targets {
		h := fnv.New32a()
		fmt.Fprint(h, action, "/", i)
		if !s.unreachable[entry][i] && h.Sum32() > highest {
			target, highest = i, h.Sum32()
		}
	}
	return target
}

func (s *naiveScheme) deliver(action, target int) {
	stamp, clock := s.stamps[action], s.now+s.skew[target]
	old := s.stamped && (stamp < s.bootedAt[target] || clock-stamp > memoryTTL)
	if !old && !s.seen[target][action] {
		s.seen[target][action] = true
		s.runs[action]++
	}
}

func (s *naiveScheme) restart(target int) {
	s.seen[target] = [actions]bool{}
	s.bootedAt[target] = s.now + s.skew[target]
}

// countRepeated returns the number of actions that ran more than once.
func countRepeated(runs [actions]int) int {
	n := 0
	for _, times := range runs {
		if times > 1 {
			n++
		}
	}
	return n
}
