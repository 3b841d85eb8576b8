package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/stand"
)

// newOrdered returns a testRelay whose streams have eight events; attempt "first" began one.
func newOrdered(t *testing.T, framing stand.Framing) *testRelay {
	t.Helper()
	g := newBuilds(t, "1", "1", "1")
	for _, x := range g.targets {
		x.Framing = framing
	}
	g.relay.Origins = fakeOrigins{"first": chestnutstep.NewBuildID("shop", "1")}
	return g
}

// received requests a stream after an event, 0 for all of it, and returns what the caller got: the ids, and
// whether the end of the answer was visibly broken.
func (g *testRelay) received(t *testing.T, kind string, after int, version string) string {
	t.Helper()
	g.requestCount++
	c, err := net.Dial("tcp", g.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(stallTimeout)))
	resume := ""
	if after > 0 {
		resume = fmt.Sprintf("Resumes: first\r\nLast-Event-Id: %d\r\n", after)
	}
	fmt.Fprintf(c, "POST /%s/stream/x HTTP/%s\r\nHost: %s\r\nAttempt-Id: o-%d\r\nCredential: %s\r\nDeadline-Ms: 3000\r\n%sContent-Length: 4\r\n\r\nbody",
		kind, version, host, g.requestCount, key, resume)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer"
	}
	raw, err := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Sprint(resp.StatusCode)
	}
	if err != nil {
		return "cut" + ids(string(raw))
	}
	return "whole" + ids(string(raw))
}

// isSound reports whether a caller that has the events up to after may get this: what follows, a beginning
// of it that is visibly broken, or a refusal.
func isSound(got string, after int) bool {
	result, list, _ := strings.Cut(got, " ")
	if result != "whole" && result != "cut" {
		return true
	}
	want := ""
	for id := after + 1; id <= 8; id++ {
		want += fmt.Sprintf(" %d", id)
	}
	if list != "" {
		list = " " + list
	}
	return list == want || result == "cut" && strings.HasPrefix(want, list)
}

// TestFirstEventFollowsWhatTheCallerHas guards against a stream that a caller takes up, or that a second
// target begins, at another event than the next one of this caller.
func TestFirstEventFollowsWhatTheCallerHas(t *testing.T) {
	for _, framing := range stand.Framings {
		for _, behaviour := range []stand.Behaviour{stand.FromStart, stand.Again, stand.Ahead} {
			for _, kind := range []string{"stream", "resume"} {
				for _, after := range []int{0, 2} {
					t.Run(fmt.Sprintf("%s/%s/%s/%d", framing, behaviour, kind, after), func(t *testing.T) {
						t.Parallel()
						g := newOrdered(t, framing)
						g.order.Set(behaviour)
						got := g.received(t, kind, after, "1.1")
						assert.Assert(t, isSound(got, after), got)
						g.order.Set(behaviour, behaviour, behaviour)
						got = g.received(t, kind, after, "1.1")
						assert.Assert(t, isSound(got, after), got)
						g.order.Set(stand.Cuts, behaviour)
						got = g.received(t, kind, 0, "1.1")
						assert.Assert(t, isSound(got, 0), got)
					})
				}
			}
		}
	}
}

// TestOnlyResumableStreamsAreTakenUp guards against a second run of a stream that must run once, behind the
// events of the first, and against a position that nothing can be compared with.
func TestOnlyResumableStreamsAreTakenUp(t *testing.T) {
	g := newOrdered(t, stand.Plain)
	for _, id := range []string{"2", "x", "-1"} {
		assert.Equal(t, g.doRequest(t, "stream", "Last-Event-Id: "+id+"\r\n"), "400", id)
	}
	for _, id := range []string{"x", "-1", "99999999999999999999"} {
		assert.Equal(t, g.doRequest(t, "resume", "Last-Event-Id: "+id+"\r\n"), "400", id)
	}
	arrived, _ := g.countRequests()
	assert.Equal(t, arrived, 0)
	for _, kind := range []string{"stream", "resume"} {
		assert.Equal(t, g.received(t, kind, 0, "1.1"), "whole 1 2 3 4 5 6 7 8")
		assert.Equal(t, g.doRequest(t, kind, "Last-Event-Id: 0\r\n"), "200 signed ids 1 2 3 4 5 6 7 8")
	}
}

// TestEmptyContinuationIsNotTheEnd guards against a stream that ends without its last events because the target
// that was to go on began behind them: its answer is whole, and empty.
func TestEmptyContinuationIsNotTheEnd(t *testing.T) {
	for _, framing := range stand.Framings {
		g := newOrdered(t, framing)
		g.order.Set(stand.Ahead)
		got := g.received(t, "resume", 7, "1.1")
		assert.Assert(t, isSound(got, 7), "%s: %s", framing, got)
		g.order.Set()
		assert.Equal(t, g.received(t, "resume", 8, "1.1"), "whole", "%s: nothing follows the last event", framing)
	}
}

// TestStreamIsContinuedByAStreamOnly guards against the body of another answer at the end of a stream.
func TestStreamIsContinuedByAStreamOnly(t *testing.T) {
	g := newOrdered(t, stand.Plain)
	g.order.Set(stand.Cuts, stand.NotFound)
	assert.Equal(t, g.received(t, "resume", 0, "1.1"), "cut 1 2")
}

// TestCommentsAndEventsWithoutIDPass guards against a good stream that is cut at a comment, or at an event
// that has no id.
func TestCommentsAndEventsWithoutIDPass(t *testing.T) {
	for _, kind := range []string{"stream", "resume"} {
		g := newOrdered(t, stand.Plain)
		g.order.Set(stand.Notes)
		want := ""
		for id := 1; id <= 8; id++ {
			want += stand.Event(id, "1") + stand.Note
		}
		assert.Equal(t, g.body(t, kind), want)
	}
}

// TestEventWithoutIDIsNotRepeated guards against an event without id that a second target sends again.
func TestEventWithoutIDIsNotRepeated(t *testing.T) {
	g := newOrdered(t, stand.Plain)
	g.order.Set(stand.CutsAtNote, stand.Notes)
	assert.Equal(t, g.received(t, "resume", 0, "1.1"), "cut 1")
	g.order.Set(stand.Cuts, stand.Notes)
	assert.Equal(t, g.received(t, "resume", 0, "1.1"), "whole 1 2 3 4 5 6 7 8")
}

// TestCutStreamOfOldCallerIsReset guards against a stream that looks whole to a caller of HTTP/1.0, for which
// it ends with its connection.
func TestCutStreamOfOldCallerIsReset(t *testing.T) {
	for _, framing := range stand.Framings {
		g := newOrdered(t, framing)
		assert.Equal(t, g.received(t, "stream", 0, "1.0"), "whole 1 2 3 4 5 6 7 8")
		for range 4 {
			g.order.Set(stand.Cuts)
			got := g.received(t, "stream", 0, "1.0")
			assert.Assert(t, !strings.HasPrefix(got, "whole"), got)
		}
	}
}

// buildStandin builds the program of the stand-ins.
func buildStandin(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "standin")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/standin").CombinedOutput()
	assert.NilError(t, err, string(out))
	return program
}

// dyingTarget is a relay before a single target that is a process.
type dyingTarget struct {
	*testRelay
	process *stand.Process
}

// newDyingTarget starts the target; kept makes its starts share one listening socket.
func newDyingTarget(t *testing.T, program string, framing stand.Framing, healthPath string, kept bool) *dyingTarget {
	t.Helper()
	p := &stand.Process{
		Program: program, File: filepath.Join(t.TempDir(), "runs"), Name: "i-0", Build: "1", Framing: framing,
		EventCount: 8, EventInterval: 20 * time.Millisecond, Inherits: kept,
	}
	t.Cleanup(p.Close)
	assert.NilError(t, p.Start())
	assert.NilError(t, p.WaitReady(t.Context()))
	g := newTestRelayOf(t, stallTimeout)
	g.healthPath = healthPath
	g.publish(buildRevision, key)
	g.roster.Apply(clock.Now(), chestnutstep.TopicTargets, chestnutstep.Batch{Revision: buildRevision, Facts: []chestnutstep.Fact{{
		Kind: chestnutstep.FactInstance, Name: p.Name, Revision: buildRevision,
		Instance: &chestnutstep.Instance{ID: p.Name, Service: "shop", Address: p.Address(), Domain: "d", Slots: 8, Build: "1"},
	}}}, true)
	return &dyingTarget{g, p}
}

// TestEndOfTargetIsNotTheEndOfItsAnswer guards against a part of an answer that looks whole because its
// target died by SIGKILL and is back at its address, at once or later, under the same name or another.
func TestEndOfTargetIsNotTheEndOfItsAnswer(t *testing.T) {
	program := buildStandin(t)
	for _, framing := range stand.Framings {
		for _, kind := range []string{"stream", "resume", "safe", "unsafe"} {
			for _, back := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond} {
				for _, name := range []string{"i-0", "i-1"} {
					for _, path := range []string{"", stand.HealthPath} {
						t.Run(fmt.Sprintf("%s/%s/%s/%s%s", framing, kind, back, name, path), func(t *testing.T) {
							t.Parallel()
							x := newDyingTarget(t, program, framing, path, back == 0)
							result := x.dieWithin(t, kind, back, name)
							assert.Assert(t, isSound(result, 0) && !strings.Contains(result, "whole 200"), result)
						})
					}
				}
			}
		}
	}
}

// dieWithin sends a request, kills the target in the middle of its answer and starts it again under a name.
func (x *dyingTarget) dieWithin(t *testing.T, kind string, back time.Duration, name string) string {
	t.Helper()
	got := make(chan string, 1)
	go x.sendTo(t, kind, got)
	x.awaitRun(t)
	time.Sleep(x.process.EventInterval / 2)
	x.process.Kill()
	time.Sleep(back)
	x.process.Name = name
	assert.NilError(t, x.process.Start())
	return <-got
}

// sendTo sends a request and passes on what its caller got.
func (x *dyingTarget) sendTo(t *testing.T, kind string, got chan<- string) {
	if kind == "stream" || kind == "resume" {
		got <- x.received(t, kind, 0, "1.1")
		return
	}
	out := x.doRequest(t, kind)
	if strings.HasPrefix(out, "200 signed") && out != "200 signed whole" && out != "200 signed cut" {
		out = "whole 200 with another body"
	}
	got <- out
}

// awaitRun waits until the target has begun to run a request.
func (x *dyingTarget) awaitRun(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(stallTimeout); ; time.Sleep(time.Millisecond) {
		list, err := x.process.Runs()
		assert.NilError(t, err)
		if len(list) > 0 {
			return
		}
		assert.Assert(t, time.Now().Before(end), "no run")
	}
}

// TestEndWithinTheFirstMoment guards against the beginning of an answer that looks whole because its target died
// before there was a witness.
func TestEndWithinTheFirstMoment(t *testing.T) {
	for _, kind := range []string{"stream", "resume"} {
		t.Run(kind, func(t *testing.T) {
			g := newOrdered(t, stand.ByClose)
			for n := range 4 {
				g.order.Set(stand.Dies)
				got := g.received(t, kind, 0, "1.1")
				assert.Assert(t, isSound(got, 0), "request %d: %s", n, got)
				g.order.Set()
				assert.Equal(t, g.received(t, kind, 0, "1.1"), "whole 1 2 3 4 5 6 7 8")
			}
		})
	}
}

// TestStreamOfReplacedBuildIsNotContinued guards against a stream that two builds write because its target was
// started again under its name as another build, and is still listed as the former one.
func TestStreamOfReplacedBuildIsNotContinued(t *testing.T) {
	program := buildStandin(t)
	x := newDyingTarget(t, program, stand.Plain, stand.HealthPath, false)
	x.process.Kill()
	x.process.Build = "2"
	assert.NilError(t, x.process.Start())
	assert.NilError(t, x.process.WaitReady(t.Context()))
	other := stand.NewTarget("i-1")
	t.Cleanup(other.Close)
	other.Build, other.EventCount = "1", 8
	got := make(chan string, 1)
	go func() {
		_, text, _ := stream(t, x.server, "replaced", "Resumes", "first") // it may be cut
		got <- strings.Join(stand.Builds(text), " ")
	}()
	x.awaitRun(t)
	time.Sleep(x.process.EventInterval / 2)
	x.roster.Apply(clock.Now(), chestnutstep.TopicTargets, chestnutstep.Batch{Revision: buildRevision + 1, Facts: []chestnutstep.Fact{{
		Kind: chestnutstep.FactInstance, Name: "i-1", Revision: buildRevision + 1,
		Instance: &chestnutstep.Instance{ID: "i-1", Service: "shop", Address: other.Address(), Domain: "d", Slots: 8, Build: "1"},
	}}}, false)
	x.process.Kill()
	assert.Equal(t, <-got, "2")
}

// TestLeavingTargetEndsWithinItsAnswer guards against the beginning of an answer that looks whole because its
// target is listed as leaving when it ends.
func TestLeavingTargetEndsWithinItsAnswer(t *testing.T) {
	program := buildStandin(t)
	for _, framing := range stand.Framings {
		x := newDyingTarget(t, program, framing, stand.HealthPath, false)
		got := make(chan string, 1)
		go x.sendTo(t, "stream", got)
		x.awaitRun(t)
		x.roster.Apply(clock.Now(), chestnutstep.TopicTargets, chestnutstep.Batch{Revision: buildRevision + 1, Facts: []chestnutstep.Fact{{
			Kind: chestnutstep.FactInstance, Name: "i-0", Revision: buildRevision + 1,
			Instance: &chestnutstep.Instance{ID: "i-0", Service: "shop", Address: x.process.Address(), Domain: "d", Slots: 8, Build: "1", Leaving: true},
		}}}, false)
		x.process.Kill()
		result := <-got
		assert.Assert(t, isSound(result, 0), "%s: %s", framing, result)
	}
}

// TestWholeAnswersOfLivingProcess guards against a whole answer that counts as broken because nothing proves its
// end in time.
func TestWholeAnswersOfLivingProcess(t *testing.T) {
	program := buildStandin(t)
	for i := range 2 * len(stand.Framings) {
		framing, path := stand.Framings[i/2], []string{"", stand.HealthPath}[i%2]
		x := newDyingTarget(t, program, framing, path, false)
		for _, kind := range []string{"stream", "safe", "unsafe", "resume", "unsafe", "stream", "safe"} {
			got := make(chan string, 1)
			x.sendTo(t, kind, got)
			result := <-got
			assert.Assert(t, result == "whole 1 2 3 4 5 6 7 8" || result == "200 signed whole", "%s %s: %s", framing, kind, result)
		}
	}
}
