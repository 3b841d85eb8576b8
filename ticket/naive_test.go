package ticket

import (
	"fmt"
	"hash/fnv"
	"time"
)

// keyed is a naive scheme: an action's home remembers the keys that it ran. The
// home is that which each entry's own host list gives, or, with stamps, a fixed
// one that refuses keys older than the horizon or than its own start, by a clock
// that differs from the stamper's.
type keyed struct {
	stamped bool
	gone    [entries][targets]bool
	memory  [targets][actions]bool
	now     time.Duration
	skew    [targets]time.Duration
	booted  [targets]time.Duration
	stamps  [actions]time.Duration
	runs    [actions]int
}

// horizon is how long the time-stamped scheme accepts a key.
const horizon = DefaultSlot * DefaultSlots

// send notes when the key was made, and returns where the entry sends it.
func (s *keyed) send(action, entry int) (target int) {
	if s.stamps[action] == 0 {
		s.stamps[action] = s.now
	}
	if s.stamped {
		return action % targets
	}
	most := uint32(0)
	for i := range targets {
		h := fnv.New32a()
		fmt.Fprint(h, action, "/", i)
		if !s.gone[entry][i] && h.Sum32() > most {
			target, most = i, h.Sum32()
		}
	}
	return target
}

func (s *keyed) deliver(action, target int) {
	stamp, clock := s.stamps[action], s.now+s.skew[target]
	old := s.stamped && (stamp < s.booted[target] || clock-stamp > horizon)
	if !old && !s.memory[target][action] {
		s.memory[target][action] = true
		s.runs[action]++
	}
}

func (s *keyed) restart(target int) {
	s.memory[target] = [actions]bool{}
	s.booted[target] = s.now + s.skew[target]
}

// doubled counts the actions that ran more than once.
func doubled(runs [actions]int) int {
	n := 0
	for _, times := range runs {
		if times > 1 {
			n++
		}
	}
	return n
}
