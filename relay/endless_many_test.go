package relay_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/stand"
)

// TestEndlessTargetHoldsNobody guards against requests that wait until their deadline because one of three targets sends
// bytes without end to many of them at once.
func TestEndlessTargetHoldsNobody(t *testing.T) {
	const count = 120
	for _, behaviour := range []stand.Behaviour{stand.EndlessBody, stand.EndlessEvent, stand.EndlessHead} {
		for _, kind := range []string{"safe", "unsafe", "resume"} {
			t.Run(fmt.Sprintf("%s/%s", behaviour, kind), func(t *testing.T) {
				g := newTestRelayWithTimeout(t, stallTimeout)
				g.targets[0].SetBehaviour(behaviour)
				growth := stand.MeasureHeap()
				var all sync.WaitGroup
				var mu sync.Mutex
				statuses := make(map[int]int)
				longest := time.Duration(0)
				for n := range count {
					all.Go(func() {
						start := time.Now()
						x := sendOne(t, g.server.Listener.Addr().String(), kind, fmt.Sprintf("req-%d", n), nil)
						mu.Lock()
						defer mu.Unlock()
						statuses[x.status]++
						longest = max(longest, time.Since(start))
					})
				}
				all.Wait()
				t.Logf("%v, longest %v, the heap grew by %d KB", statuses, longest, growth()>>10)
				assert.Equal(t, statuses[http.StatusGatewayTimeout], 0, "%v", statuses)
			})
		}
	}
}
