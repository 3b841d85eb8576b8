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

// TestHostsOfLeavingDomain guards against events that spread late or never when
// a whole failure domain leaves and its hosts don't fit into one message. If
// each process sent the same events first, the agents of the other hosts would
// continue to take requests that fail once the hosts are gone.
func TestHostsOfLeavingDomain(t *testing.T) {
	for _, forwarding := range []bool{false, true} {
		unawareAgents := unawareByRound(t, forwarding)
		t.Logf("%d hosts, %d processes, forwarding %v: agents not aware of their own host after each %v: %v",
			leaving, nodes, forwarding, eventPushInterval, unawareAgents)
		assert.Equal(t, len(unawareAgents) <= 6, forwarding)
	}
}

const (
	nodes    = 300
	leaving  = 900
	sources  = 3 // watchers that read the list first
	perRound = int(eventPushInterval / hostPushInterval)
)

// unawareByRound returns the number of agents that have not received the event
// of their own host, after each round.
func unawareByRound(t *testing.T, forwarding bool) []int {
	r := rand.New(rand.NewPCG(5, 5))
	now := time.Unix(0, 0)
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprint(i))
	}
	neighbours, logs := make([]neighbourSet, nodes), make([]hostEventLog, nodes)
	callers := make([][]int, nodes)
	for i := range neighbours {
		neighbours[i].setCandidates(nil, names)
		neighbours[i].fill(r)
		for _, a := range neighbours[i].current {
			j := index(t, a)
			callers[j] = append(callers[j], i)
		}
	}
	// Each source also sends events to the agents directly, one every
	// hostPushInterval in its own random order. The agent of host i is process
	// i modulo nodes.
	var orders [sources][]int
	for s := range sources {
		orders[s] = r.Perm(leaving)
		for i := range leaving {
			logs[s].add(now, host(i), 0)
		}
	}
	var unawareAgents []int
	for n := leaving; n > 0 && len(unawareAgents) < 12; unawareAgents = append(unawareAgents, n) {
		for s := range orders {
			for _, i := range orders[s][len(unawareAgents)*perRound : (len(unawareAgents)+1)*perRound] {
				logs[i%nodes].add(now, host(i), 0)
			}
		}
		now = now.Add(eventPushInterval)
		exchangeRound(t, r, now, neighbours, callers, logs, forwarding)
		n = countUnaware(logs)
	}
	return unawareAgents
}

func countUnaware(logs []hostEventLog) (n int) {
	for i := range leaving {
		if _, ok := logs[owner(host(i))].index[host(i).Name]; !ok {
			n++
		}
	}
	return n
}

// owner returns the index of the process on a host.
func owner(h member.Host) int {
	var i int
	_, _ = fmt.Sscanf(h.Name, "h%d", &i)
	return i % nodes
}

func host(i int) member.Host { return member.Host{Name: fmt.Sprint("h", i), Leaving: true} }

// exchangeRound simulates one push by every process to its neighbours and
// callers, all at the same time.
func exchangeRound(t *testing.T, r *rand.Rand, now time.Time, neighbours []neighbourSet, callers [][]int, logs []hostEventLog, forwarding bool) {
	received := make([][]hostEvent, len(logs))
	for i := range logs {
		to := slices.Clone(callers[i])
		for _, a := range neighbours[i].current {
			to = append(to, index(t, a))
		}
		for _, j := range to {
			received[j] = append(received[j], logs[i].sample(now, r)...)
		}
	}
	for i, list := range received {
		for _, x := range list {
			if logs[i].add(now, x.host, now.Sub(x.occurredAt)) && forwarding && isForwarder(fmt.Sprint(i), x.host.Name) {
				logs[owner(x.host)].add(now, x.host, now.Sub(x.occurredAt))
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
