package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"chestnutstep.example/chestnutstep/member"
)

const (
	// rumoursMax bounds the news of hosts in one message, near two kilobytes.
	rumoursMax = 64
	// rumoursKept bounds what is remembered: the hosts of a large domain.
	rumoursKept = 2048
	// rumourTime is how long news goes round: several times what it needs to
	// reach thousands. After that a process learns from lists and refusals.
	rumourTime = 15 * time.Second
	// rumourSweep is the time between two looks for news that is over.
	rumourSweep = time.Second
)

// rumour is one piece of news about a host.
type rumour struct {
	host member.Host
	said time.Time
}

// rumours keeps the news that go round. When there is more than one message
// holds, each message carries a random choice: processes that all told the same
// first would leave the rest untold.
type rumours struct {
	list  []rumour
	place map[string]int // in list, by host
	swept time.Time
}

// add takes news and says whether it is: what goes round already is left as it
// is, or each process that reads the list would send it round again.
func (rs *rumours) add(now time.Time, h member.Host, age time.Duration) bool {
	rs.expire(now)
	if rs.place == nil {
		rs.place = make(map[string]int)
	}
	fresh := rumour{host: h, said: now.Add(-age)}
	if i, known := rs.place[h.Name]; known {
		news := rs.list[i].host != h
		if news {
			rs.list[i] = fresh
		}
		return news
	}
	if len(rs.list) < rumoursKept {
		rs.place[h.Name] = len(rs.list)
		rs.list = append(rs.list, fresh)
	}
	return true
}

// tell returns the news for one message.
func (rs *rumours) tell(now time.Time, r *rand.Rand) []rumour {
	rs.expire(now)
	n := min(rumoursMax, len(rs.list))
	for i := range n {
		rs.swap(i, i+r.IntN(len(rs.list)-i))
	}
	return slices.Clone(rs.list[:n])
}

func (rs *rumours) swap(i, j int) {
	rs.list[i], rs.list[j] = rs.list[j], rs.list[i]
	rs.place[rs.list[i].host.Name], rs.place[rs.list[j].host.Name] = i, j
}

func (rs *rumours) expire(now time.Time) {
	if now.Sub(rs.swept) < rumourSweep {
		return
	}
	rs.swept = now
	for i := len(rs.list) - 1; i >= 0; i-- {
		if now.Sub(rs.list[i].said) <= rumourTime {
			continue
		}
		last := len(rs.list) - 1
		rs.swap(i, last)
		delete(rs.place, rs.list[last].host.Name)
		rs.list = rs.list[:last]
	}
}
