package gossip

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/member"
)

// The platform lists a whole failure domain as leaving at one moment, more hosts
// than fit into a message. If each process told the same ones first, the rest
// would go round last or never, and a user would notice requests that fail on
// hosts that are gone.
func TestDomainLeaves(t *testing.T) {
	for _, helping := range []bool{false, true} {
		left := domainLeaves(t, helping)
		t.Logf("%d hosts, %d processes, helping %v: agents not aware of their own host after each %v: %v",
			leaving, nodes, helping, newsPause, left)
		assert.Equal(t, len(left) <= 6, helping)
	}
}

const (
	nodes    = 300
	leaving  = 900
	sources  = 3 // watchers that read the list first
	perRound = int(newsPause / tellPause)
)

// domainLeaves returns how many agents don't know that their host leaves, after
// each round.
func domainLeaves(t *testing.T, helping bool) []int {
	r := rand.New(rand.NewPCG(5, 5))
	now := time.Unix(0, 0)
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprint(i))
	}
	circles, news := make([]circle, nodes), make([]rumours, nodes)
	callers := make([][]int, nodes)
	for i := range circles {
		circles[i].set(nil, names)
		circles[i].fill(r)
		for _, a := range circles[i].places {
			j := index(t, a)
			callers[j] = append(callers[j], i)
		}
	}
	// Each source tells the agents themselves besides, one every tellPause in an
	// order of its own. The agent of host i is process i modulo nodes.
	var orders [sources][]int
	for s := range sources {
		orders[s] = r.Perm(leaving)
		for i := range leaving {
			news[s].add(now, host(i), 0)
		}
	}
	var left []int
	for n := leaving; n > 0 && len(left) < 12; left = append(left, n) {
		for s := range orders {
			for _, i := range orders[s][len(left)*perRound : (len(left)+1)*perRound] {
				news[i%nodes].add(now, host(i), 0)
			}
		}
		now = now.Add(newsPause)
		round(t, r, now, circles, callers, news, helping)
		n = unaware(news)
	}
	return left
}

func unaware(news []rumours) (n int) {
	for i := range leaving {
		if _, ok := news[owner(host(i))].place[host(i).Name]; !ok {
			n++
		}
	}
	return n
}

// owner is the process on a host.
func owner(h member.Host) int {
	var i int
	_, _ = fmt.Sscanf(h.Name, "h%d", &i)
	return i % nodes
}

func host(i int) member.Host { return member.Host{Name: fmt.Sprint("h", i), Leaving: true} }

// round lets every process push to its neighbours once, all at the same time.
func round(t *testing.T, r *rand.Rand, now time.Time, circles []circle, callers [][]int, news []rumours, helping bool) {
	told := make([][]rumour, len(news))
	for i := range news {
		to := slices.Clone(callers[i])
		for _, a := range circles[i].places {
			to = append(to, index(t, a))
		}
		for _, j := range to {
			told[j] = append(told[j], news[i].tell(now, r)...)
		}
	}
	for i, list := range told {
		for _, x := range list {
			if news[i].add(now, x.host, now.Sub(x.said)) && helping && helps(fmt.Sprint(i), x.host.Name) {
				news[owner(x.host)].add(now, x.host, now.Sub(x.said))
			}
		}
	}
}

func index(t *testing.T, address string) int {
	var i int
	_, err := fmt.Sscan(address, &i)
	assert.NilError(t, err)
	return i
}
