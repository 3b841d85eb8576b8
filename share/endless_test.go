package share_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/share"
	"chestnutstep.example/chestnutstep/stand"
)

// TestEndlessCacheLists guards against bytes without end from a peer, which fill the memory of the
// entry.
func TestEndlessCacheLists(t *testing.T) {
	const maxHeapGrowth = 16 << 20
	for _, behaviour := range stand.EndlessBehaviours {
		x, err := stand.NewEndlessServer(behaviour)
		assert.NilError(t, err)
		growth := stand.MeasureHeap()
		_, _, err = share.FetchCacheLists(context.Background(), x.Address(), link.Dial)
		assert.Assert(t, err != nil, string(behaviour))
		n := growth()
		x.Close()
		assert.Assert(t, n < maxHeapGrowth, "%s: the heap grew by %d MB", behaviour, n>>20)
	}
}
