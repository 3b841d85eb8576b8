package gossip

import (
	"slices"
	"time"

	"chestnutstep.example/chestnutstep/member"
)

const (
	// rumoursMax bounds the news of hosts in one message: a whole failure domain
	// of hundreds of hosts goes round in a few exchanges, and a message stays
	// near two kilobytes.
	rumoursMax = 64
	// rumoursKept bounds what is remembered: the hosts of a large domain.
	rumoursKept = 2048
	// rumourTime is how long news goes round: several times what it needs to
	// reach thousands. After that a process learns from lists and refusals.
	rumourTime = 15 * time.Second
)

// rumour is one piece of news about a host.
type rumour struct {
	host member.Host
	said time.Time
	told int
}

// rumours keeps the news that go round.
type rumours struct {
	list []rumour
}

// add takes news and says whether it is: what goes round already is left as it
// is, or each process that reads the list would send it round again.
func (rs *rumours) add(now time.Time, h member.Host, age time.Duration) bool {
	rs.expire(now)
	if slices.ContainsFunc(rs.list, func(r rumour) bool { return r.host == h }) {
		return false
	}
	rs.list = slices.DeleteFunc(rs.list, func(r rumour) bool { return r.host.Name == h.Name })
	if len(rs.list) < rumoursKept {
		rs.list = append(rs.list, rumour{host: h, said: now.Add(-age)})
	}
	return true
}

// tell returns the news that were told least often.
func (rs *rumours) tell(now time.Time) []rumour {
	rs.expire(now)
	slices.SortStableFunc(rs.list, func(a, b rumour) int { return a.told - b.told })
	n := min(rumoursMax, len(rs.list))
	for i := range n {
		rs.list[i].told++
	}
	return slices.Clone(rs.list[:n])
}

func (rs *rumours) expire(now time.Time) {
	rs.list = slices.DeleteFunc(rs.list, func(r rumour) bool { return now.Sub(r.said) > rumourTime })
}
