package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/stand"
)

// TestDirectExchangesReportedLoad guards against reported load that stays at the entry which got the
// answer, and against a log line for each answer of a target whose reports are invalid.
func TestDirectExchangesReportedLoad(t *testing.T) {
	store, x := stand.NewStore(), newTarget(t, "i-a")
	publish(store, 1, []string{"k"}, x)
	first := startDirect(t, store)
	second := startDirect(t, store, first.settings.PeerAddr)
	post := func() bool {
		return status(first.post("/book/1", "k", fmt.Sprint("r", time.Now().UnixNano()))) == http.StatusOK
	}
	x.SetLoad("5,2,8")
	assert.Assert(t, post())
	x.SetLoad("5,2,8,250")
	waitFor(t, func() bool { return post() && strings.Contains(second.out.text(), `"target_load_used"`) }, "the peer uses the load")
	assert.Assert(t, strings.Contains(second.out.text(), `"slow":1`))
	x.SetLoad("5,2,0,250")
	for range 5 {
		assert.Assert(t, post())
	}
	assert.Equal(t, strings.Count(first.out.text(), `"target_load_invalid"`), 1)
}
