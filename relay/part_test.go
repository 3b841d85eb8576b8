package relay_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/stand"
)

const (
	// deadlyPart is the id of the part that ends each target that runs a request with it.
	deadlyPart = "bad"
	// commonPart is the id of a part that all requests share.
	commonPart = "c0"
	// maxLostToPart is the maximum number of targets that one part may end: three, and one more that
	// was on its way.
	maxLostToPart = 4
)

// prompts are lists of the parts of deadly prompts. Their last part is unique.
var prompts = map[string]string{
	"first":  deadlyPart + ":200,%x:10",
	"second": commonPart + ":100," + deadlyPart + ":200,%x:10",
	"nested": deadlyPart + ":200," + commonPart + ":100,%x:10",
}

// setDeadlyParts makes parts end every target at the given step.
func (f *cluster) setDeadlyParts(step stand.KillStep, byReset bool, parts ...string) {
	for _, x := range f.targets {
		x.EventCount = 8
		x.KillRule = &stand.KillRule{Parts: parts, Step: step, Reset: byReset}
	}
}

// sendPrompt sends a request whose body and last part no other request has.
func (f *cluster) sendPrompt(t *testing.T, entry int, kind, parts string) string {
	t.Helper()
	f.roster.ConfirmVersion(clock.Now()) // as a reachable source does; the plays last longer than one confirmation
	f.requestCount++
	prompt := fmt.Sprintf(parts, 0xf0000+f.requestCount)
	id := fmt.Sprintf("visit-%d", f.requestCount)
	return send(t, f.entries[entry%len(f.entries)], kind, id, "body of "+id, "Prefix-Hash: "+prompt+"\r\n")
}

// TestDeadlyPartIsStopped guards against a part of the prompts that ends one target after the other
// although no two requests with it are alike, and against sound requests that are refused because
// they share their other parts.
func TestDeadlyPartIsStopped(t *testing.T) {
	for _, kind := range []string{"stream", "resume"} {
		for _, step := range stand.KillSteps {
			for place, parts := range prompts {
				t.Run(fmt.Sprintf("%s/%s/%s", kind, step, place), func(t *testing.T) {
					t.Parallel()
					f := newCluster(t)
					f.setDeadlyParts(step, step == stand.AtMiddle, deadlyPart)
					last := ""
					for n := range 14 {
						last = f.sendPrompt(t, n, kind, parts)
						got := f.sendPrompt(t, n, kind, commonPart+":100,%x:10")
						assert.Assert(t, strings.HasPrefix(got, "200 signed"), "a sound request got %s", got)
						time.Sleep(3 * gossipInterval)
					}
					assert.Assert(t, f.lostTargets() <= maxLostToPart, "%d targets lost", f.lostTargets())
					assert.Equal(t, last, "503 come-back")
				})
			}
		}
	}
}

// TestTwoDeadlyPartsAreStopped guards against two parts that hide each other.
func TestTwoDeadlyPartsAreStopped(t *testing.T) {
	f := newCluster(t)
	other := "bad2"
	f.setDeadlyParts(stand.AtHead, false, deadlyPart, other)
	for n := range 20 {
		f.sendPrompt(t, n, "stream", commonPart+":100,"+[]string{deadlyPart, other}[n%2]+":200,%x:10")
		f.sendPrompt(t, n, "stream", commonPart+":100,%x:10")
		time.Sleep(3 * gossipInterval)
	}
	assert.Assert(t, f.lostTargets() <= 2*maxLostToPart, "%d targets lost", f.lostTargets())
}

// TestPartsOfJointlyLostTargetsAreServed guards against parts that are refused because several
// targets on which they were in use ended together, for another reason.
func TestPartsOfJointlyLostTargetsAreServed(t *testing.T) {
	f := newCluster(t)
	for _, x := range f.targets {
		x.EventCount, x.EventInterval = 50, 10*time.Millisecond
	}
	const rare, requests = "a1:100,%x:10", 24
	done := make(chan string, requests)
	for n := range requests {
		id := fmt.Sprint("joint-", n)
		go func() {
			done <- send(t, f.entries[n%len(f.entries)], "stream", id, id, "Prefix-Hash: "+fmt.Sprintf(rare, 0xe0000+n)+"\r\n")
		}()
	}
	f.waitArrived(t, requests)
	for _, x := range f.targets[:6] {
		x.Kill(true)
	}
	for range requests {
		<-done
	}
	time.Sleep(3 * gossipInterval)
	for n := range 6 {
		got := f.sendPrompt(t, n, "stream", rare)
		assert.Assert(t, strings.HasPrefix(got, "200 signed"), "a sound request got %s", got)
	}
}
