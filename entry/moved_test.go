package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/fake"
)

// retryThroughOtherEntry serves a request, applies change to the cluster and the target that served
// it, and sends the request again through another entry. It returns the results of the retry's
// offers.
func retryThroughOtherEntry(t *testing.T, change func(p *cluster, first string)) string {
	t.Helper()
	p := newCluster(t)
	p.addAgent("label-2", "label", &fake.Engine{})
	var got offerRecorder
	p.onOffer = got.add
	p.addEntry()
	ask := []string{
		chestnutstep.HeaderProfile, "quick", chestnutstep.HeaderChat, "c", chestnutstep.HeaderIdempotencyKey, "id",
		chestnutstep.HeaderTimeout, "8s",
	}
	rs, body := p.send(0, "/v1/chat", `{"prompt":1,"output":1}`, ask...)
	assert.Equal(t, rs.StatusCode, http.StatusOK, body)
	first := rs.Header.Get(chestnutstep.HeaderHint)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p.hasMovedNotice("id", first) {
			return poll.Success()
		}
		return poll.Continue("no agent has recorded the moved request")
	})
	change(p, first)
	rs, body = p.send(2, "/v1/chat", `{"prompt":1,"output":1}`, ask...)
	assert.Equal(t, rs.StatusCode, http.StatusOK, body)
	got.mu.Lock()
	defer got.mu.Unlock()
	var list []string
	for _, o := range got.list {
		name := "next"
		if o.Target == first {
			name = "first"
		}
		list = append(list, strings.TrimSpace(fmt.Sprintf("%s %s %s", name, o.Answer, o.Reason)))
	}
	return strings.Join(list, ", ")
}

// TestUnresponsiveOwnerTimesOut guards against callers that wait for a frozen host because an
// earlier attempt ran there.
func TestUnresponsiveOwnerTimesOut(t *testing.T) {
	got := retryThroughOtherEntry(t, func(p *cluster, first string) {
		for i := range p.pub.Targets {
			if p.pub.Targets[i].Name == first {
				p.pub.Targets[i].Agent = startUnresponsiveAgent(t)
			}
		}
		p.publish()
	})
	assert.Equal(t, got, "first silent, next refuse moved, first silent, next accept")
}

// TestRemovedTargetIsNotAsked guards against offers to a removed target that a Moved record still
// names.
func TestRemovedTargetIsNotAsked(t *testing.T) {
	got := retryThroughOtherEntry(t, func(p *cluster, first string) {
		for i := range p.pub.Targets {
			if p.pub.Targets[i].Name == first {
				p.pub.Targets = append(p.pub.Targets[:i], p.pub.Targets[i+1:]...)
				break
			}
		}
		p.publish()
	})
	assert.Equal(t, got, "next refuse moved, next accept")
}

// TestRetryJoinsRunAtOwner guards against a second run of a request whose target was taken out
// of service, so that the retry reaches another target first.
func TestRetryJoinsRunAtOwner(t *testing.T) {
	got := retryThroughOtherEntry(t, func(p *cluster, first string) {
		for i := range p.pub.Targets {
			p.pub.Targets[i].Out = p.pub.Targets[i].Name == first
		}
		p.publish()
	})
	assert.Equal(t, got, "next refuse moved, first accept")
}
