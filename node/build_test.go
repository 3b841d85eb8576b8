package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/stand"
)

const (
	// buildEvents is the number of events of a stream, and buildEventInterval the time between two
	// of them. The caller of a stream leaves its entry after buildEventsRead events.
	buildEvents        = 30
	buildEventInterval = 5 * time.Millisecond
	buildEventsRead    = 4
)

// startBuilds starts entries before one target of each build, and waits until they know each other.
func startBuilds(t *testing.T, entries int, builds ...string) []*direct {
	t.Helper()
	store := stand.NewStore()
	var targets []*stand.Target
	for i, build := range builds {
		x := newTarget(t, fmt.Sprint("i-", i))
		x.Build, x.EventCount, x.EventInterval = build, buildEvents, buildEventInterval
		targets = append(targets, x)
	}
	publish(store, 1, []string{"k"}, targets...)
	list := []*direct{startDirect(t, store)}
	for len(list) < entries {
		list = append(list, startDirect(t, store, list[0].settings.PeerAddr))
	}
	for _, d := range list {
		waitFor(t, func() bool { return strings.Contains(d.out.text(), fmt.Sprintf(`"peers":%d`, entries-1)) }, "the entries have found each other")
	}
	return list
}

// stream requests a stream that can be resumed.
func (d *direct) stream(t *testing.T, id string, headers ...string) *http.Response {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+d.settings.CallerAddr+"/tell/stream/x", strings.NewReader("body"))
	assert.NilError(t, err)
	r.Host, r.Close = "shop.example", true
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Credential", "k")
	r.Header.Set("Deadline-Ms", "3000")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	return resp
}

// readEvents reads n events.
func readEvents(t *testing.T, r io.Reader, n int) string {
	t.Helper()
	br, text := bufio.NewReader(r), ""
	for range n * strings.Count(stand.Event(1, "1"), "\n") {
		line, err := br.ReadString('\n')
		assert.NilError(t, err)
		text += line
	}
	return text
}

// takeUp begins a stream at one entry, leaves it, and takes it up at another one. It returns the
// status of the second attempt, and all that was received.
func takeUp(t *testing.T, from, to *direct, id string) (status int, text string) {
	t.Helper()
	first := from.stream(t, id)
	assert.Equal(t, first.StatusCode, http.StatusOK)
	text = readEvents(t, first.Body, buildEventsRead)
	first.Body.Close()
	second := to.stream(t, id+"-again", "Last-Event-Id", fmt.Sprint(buildEventsRead), "Resumes", id)
	defer second.Body.Close()
	rest, err := io.ReadAll(second.Body)
	assert.NilError(t, err)
	if second.StatusCode == http.StatusOK {
		text += string(rest)
	}
	return second.StatusCode, text
}

// TestStreamIsTakenUpAtItsBuild guards against a stream that another entry continues at another
// software version than the one that began it, and against one that no entry continues although a
// target of its version is there.
func TestStreamIsTakenUpAtItsBuild(t *testing.T) {
	entries := startBuilds(t, 4, "1", "1", "1", "2", "2", "2")
	const streams = 24
	taken := 0
	for n := range streams {
		status, text := takeUp(t, entries[n%4], entries[(n+1+n/4%3)%4], fmt.Sprint("s-", n))
		assert.Assert(t, len(stand.Builds(text)) == 1, "stream %d went on at another build: %q", n, stand.Builds(text))
		if status == http.StatusOK {
			taken++
			assert.Equal(t, strings.Count(text, "data: "), buildEvents)
		}
	}
	assert.Assert(t, taken*10 >= streams*9, "%d of %d streams were taken up", taken, streams)
}

// TestUnknownStreamIsNotTakenUp guards against a stream that goes on at any software version because
// no entry has a record of it.
func TestUnknownStreamIsNotTakenUp(t *testing.T) {
	entries := startBuilds(t, 2, "1", "2")
	for n := range 6 {
		for _, resumes := range []string{"", fmt.Sprint("gone-", n)} {
			headers := []string{"Last-Event-Id", "4"}
			if resumes != "" {
				headers = append(headers, "Resumes", resumes)
			}
			resp := entries[n%2].stream(t, fmt.Sprint("u-", n, resumes), headers...)
			resp.Body.Close()
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
			assert.Assert(t, resp.Header.Get("Retry-After") != "")
		}
	}
}

// TestEntryOutOfStepTakesUpNoStream guards against a stream that goes on at another software version because the entry,
// cut off for a moment, does not know the targets that have joined meanwhile.
func TestEntryOutOfStepTakesUpNoStream(t *testing.T) {
	store := stand.NewStore()
	old, joined := newTarget(t, "i-0"), newTarget(t, "i-1")
	old.Build, joined.Build = "1", "2"
	publish(store, 1, []string{"k"}, old)
	d := startDirect(t, store)
	takeUpUnknown := func(id string) int {
		resp := d.stream(t, id, "Last-Event-Id", "1", "Resumes", "gone")
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			assert.Assert(t, resp.Header.Get("Retry-After") != "")
		}
		return resp.StatusCode
	}
	for n := range 5 {
		assert.Equal(t, takeUpUnknown(fmt.Sprint("sole-", n)), http.StatusOK)
	}
	for _, failure := range []stand.Failure{stand.Unresponsive, stand.Reset, stand.Unavailable, stand.AnswerLost} {
		d.storeServer.SetFailure(failure)
		publish(store, 2, []string{"k"}, old, joined)
		assert.Equal(t, takeUpUnknown("cut-"+string(failure)), http.StatusServiceUnavailable, "%s", failure)
		d.storeServer.SetFailure(stand.NoFailure)
	}
}
