package agent

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/stand"
)

// TestEndlessAnswers guards against bytes without end in an answer to a request, a probe, a read of
// cache events or an export of a cache: they fill the memory of the agent.
func TestEndlessAnswers(t *testing.T) {
	const maxHeapGrowth = 16 << 20
	for _, behaviour := range stand.EndlessBehaviours {
		x, err := stand.NewEndlessServer(behaviour)
		assert.NilError(t, err)
		s := newHarness(t)
		s.agent.URL = "http://" + x.Address()
		s.agent.PooledClient, s.agent.UnpooledClient = Clients()
		growth := stand.MeasureHeap()
		_, _ = s.agent.probe()
		_, err = (&cacheEventReader{}).read(context.Background(), s.agent)
		assert.Assert(t, err != nil, string(behaviour))
		_, err = s.agent.readCache(context.Background(), chatKey{"w", "c"}, maxCacheSize/4)
		assert.Assert(t, err != nil, string(behaviour))
		readHead(t, s.agent, behaviour)
		n := growth()
		x.Close()
		assert.Assert(t, n < maxHeapGrowth, "%s: the heap grew by %d MB", behaviour, n>>20)
	}
}

// readHead sends a request and reads the head of its answer, and of a body as much as a log keeps.
func readHead(t *testing.T, a *Agent, behaviour stand.Behaviour) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, a.URL+"/x", nil)
	assert.NilError(t, err)
	rs, err := a.send(a.PooledClient, rq)
	if err != nil {
		return
	}
	defer rs.Body.Close()
	_, _ = io.CopyN(io.Discard, rs.Body, maxControlBytes)
	switch behaviour {
	case stand.EndlessStatus, stand.EndlessLine, stand.EndlessHead, stand.EndlessInterim:
		t.Errorf("%s: a head without end was read", behaviour)
	}
}
