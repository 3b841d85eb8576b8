package agent

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/pause"
)

// TestControlCallKeepsNoRequestAway guards against callers who are refused after a pause because a call that
// nobody waits for is unanswered.
func TestControlCallKeepsNoRequestAway(t *testing.T) {
	s := newHarness(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	x := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-release
	}))
	defer x.Close()
	s.agent.pauses.Start(s.agent.stamp(), s.agent.instance(), time.Second)
	s.now = s.now.Add(2 * time.Second)
	done := make(chan error)
	go func() {
		rq, err := http.NewRequest(http.MethodGet, x.URL, nil)
		assert.Check(t, err)
		rs, err := s.agent.sendControl(http.DefaultClient, rq)
		if err == nil {
			err = rs.Body.Close()
		}
		done <- err
	}()
	<-arrived
	state := s.agent.pauses.State(s.agent.stamp(), s.agent.instance())
	close(release)
	assert.NilError(t, <-done)
	assert.Equal(t, state, pause.State{})
}
