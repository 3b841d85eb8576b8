package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/stand"
)

// buildRevision is the revision of the list of targets that newBuilds publishes.
const buildRevision = 2

// newBuilds returns a testRelay with one target of each of the given builds.
func newBuilds(t *testing.T, builds ...string) *testRelay {
	t.Helper()
	var names []string
	for i := range builds {
		names = append(names, fmt.Sprint("i-", i))
	}
	g := newTestRelayOf(t, stallTimeout, names...)
	for i, x := range g.targets {
		x.Build, x.EventCount = builds[i], 8
	}
	g.listBuilds(buildRevision, builds...)
	return g
}

// listBuilds publishes the targets with the given builds. A target with the build "-" is not listed.
func (g *testRelay) listBuilds(revision uint64, builds ...string) {
	b := chestnutstep.Batch{Revision: revision}
	for i, x := range g.targets {
		if builds[i] == "-" {
			continue
		}
		b.Facts = append(b.Facts, chestnutstep.Fact{
			Kind: chestnutstep.FactInstance, Name: x.Name, Revision: revision,
			Instance: &chestnutstep.Instance{ID: x.Name, Service: "shop", Address: x.Address(), Domain: "d", Slots: 8, Build: builds[i]},
		})
	}
	g.roster.Apply(clock.Now(), chestnutstep.TopicTargets, b, true)
}

// stream requests a stream that can be resumed and returns the status and what was received of the
// body.
func stream(t *testing.T, entry *httptest.Server, id string, headers ...string) (status int, text string, err error) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, entry.URL+"/resume/stream/x", strings.NewReader("body of "+id))
	assert.NilError(t, err)
	r.Host, r.Close = host, true
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Credential", key)
	r.Header.Set("Deadline-Ms", "3000")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

// TestBrokenStreamContinuesAtItsBuild guards against a stream that the entry continues at another
// software version than the one that began it.
func TestBrokenStreamContinuesAtItsBuild(t *testing.T) {
	g := newBuilds(t, "1", "1", "2", "2")
	for n := range 24 {
		g.order.Set(stand.Cuts)
		status, text, err := stream(t, g.server, fmt.Sprint("s-", n))
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, ids(text), " 1 2 3 4 5 6 7 8")
		assert.Equal(t, len(stand.Builds(text)), 1, text)
	}
}

// TestBrokenStreamEndsWithoutItsBuild guards against a stream that is continued at another build, or
// held until its deadline, if no other target of its build is left, or if its build is unknown.
func TestBrokenStreamEndsWithoutItsBuild(t *testing.T) {
	for _, builds := range [][]string{{"1", "2", "3"}, {"", "", ""}} {
		g := newBuilds(t, builds...)
		for n := range 6 {
			g.order.Set(stand.Cuts)
			began := time.Now()
			status, text, err := stream(t, g.server, fmt.Sprint("s-", n))
			assert.Equal(t, status, http.StatusOK)
			assert.Assert(t, err != nil, "the stream looks complete: %s", text)
			assert.Equal(t, ids(text), " 1 2", "builds %q", builds)
			assert.Assert(t, time.Since(began) < time.Second)
		}
	}
}
