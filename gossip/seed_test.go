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
func TestSettingsPeersAreNotKept(t *testing.T) {
	const askers = 300
	p := bigFleet(1)
	root, parts := config.Pack(p)
	store := &config.Store{}
	assert.NilError(t, store.Apply(time.Unix(0, 0), root, parts))
	var seeds []string
	for i := range 4 {
		seeds = append(seeds, p.Targets[i].Agent)
	}
	asked := make(map[string]int)
	for i := range askers {
		n := &Node{Store: &config.Store{}, Peers: seeds, Seed: uint64(i + 1)}
		n.init()
		n.neighbour(time.Unix(0, 0))
		assert.Equal(t, len(n.circle.places), len(seeds))
		n.Store = store
		n.neighbour(time.Unix(1, 0))
		assert.Equal(t, len(n.circle.places), circleSize)
		for _, a := range n.circle.places {
			asked[a]++
		}
	}
	for _, a := range seeds {
		// Chance gives each about one.
		assert.Assert(t, asked[a] <= 10, "%d of %d processes keep %s", asked[a], askers, a)
	}
}
