package gossip

import (
	"testing"
	"time"

	"chestnutstep.example/chestnutstep/config"

	"gotest.tools/v3/assert"
)

// All processes of a fleet are started with the same few peers in their
// settings. If they kept them as neighbours once they know the publication, four
// agents would answer two exchanges of three of the whole fleet, and users of
// those four targets would notice slow answers after every start of the fleet.
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
		// Chance gives each about one.
		assert.Assert(t, chosenBy[a] <= 10, "%d of %d processes keep %s", chosenBy[a], processCount, a)
	}
}
