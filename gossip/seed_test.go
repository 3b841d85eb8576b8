package gossip

import (
	"testing"
	"time"

	"chestnutstep.example/chestnutstep/config"

	"gotest.tools/v3/assert"
)

// TestSeedPeersReplacedByPublication guards against overloaded seed peers. All
// processes are configured with the same few peers. If they kept them as
// neighbours after the first publication, four agents would answer two thirds
// of the fleet's exchanges, and their targets would be slow after every start
// of the fleet.
func TestSeedPeersReplacedByPublication(t *testing.T) {
	const processCount = 300
	p := bigFleet(1)
	root, parts := config.Pack(p)
	store := &config.Store{}
	assert.NilError(t, store.Apply(time.Unix(0, 0), root, parts))
	var seeds []string
	for i := range 4 {
		seeds = append(seeds, p.Targets[i].Agent)
	}
	chosenBy := make(map[string]int)
	for i := range processCount {
		n := &Node{Store: &config.Store{}, Peers: seeds, Seed: uint64(i + 1)}
		n.init()
		n.nextNeighbour(time.Unix(0, 0))
		assert.Equal(t, len(n.neighbours.current), len(seeds))
		n.Store = store
		n.nextNeighbour(time.Unix(1, 0))
		assert.Equal(t, len(n.neighbours.current), maxNeighbours)
		for _, a := range n.neighbours.current {
			chosenBy[a]++
		}
	}
	for _, a := range seeds {
		// A random choice selects each about once.
		assert.Assert(t, chosenBy[a] <= 10, "%d of %d processes keep %s", chosenBy[a], processCount, a)
	}
}
