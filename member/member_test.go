package member

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// trackerAPI is implemented by Tracker and by the naive version.
type trackerAPI interface {
	ApplyList(now time.Time, list []Host) ([]Host, bool)
	ApplyReport(now time.Time, h Host, age time.Duration) bool
	RecordRefusal(now time.Time, host string)
	RecordFailure(now time.Time, host string)
	RecordSuccess(now time.Time, host string)
	IsLeaving(now time.Time, host string) bool
	IsSuspect(now time.Time, host string) bool
	AllowProbe(now time.Time, host string) bool
}

// naiveTracker applies the last event without any hold or backoff.
type naiveTracker struct{ leaving, down map[string]bool }

func (n *naiveTracker) ApplyList(_ time.Time, list []Host) ([]Host, bool) {
	seen := make(map[string]bool)
	for _, h := range list {
		n.leaving[h.Name], seen[h.Name] = h.Leaving, true
	}
	for host := range n.leaving {
		n.leaving[host] = n.leaving[host] || !seen[host]
	}
	return nil, true
}

func (n *naiveTracker) ApplyReport(_ time.Time, h Host, _ time.Duration) bool {
	n.leaving[h.Name] = h.Leaving
	return true
}
func (n *naiveTracker) RecordRefusal(_ time.Time, host string)   { n.leaving[host] = true }
func (n *naiveTracker) RecordFailure(_ time.Time, host string)   { n.down[host] = true }
func (n *naiveTracker) RecordSuccess(_ time.Time, host string)   { n.down[host] = false }
func (n *naiveTracker) IsLeaving(_ time.Time, host string) bool  { return n.leaving[host] }
func (n *naiveTracker) IsSuspect(_ time.Time, host string) bool  { return n.down[host] }
func (n *naiveTracker) AllowProbe(_ time.Time, host string) bool { return n.down[host] }

// TestTracker guards against hosts that are used or avoided wrongly because lists are outdated and
// disagree, hosts are unstable, and platform services restart. Each line of a script in testdata is
// an event at a time or a query. "swings" counts how often the state of a host changed during the
// script, in comparison with the naive version, which applies the last event.
func TestTracker(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var p *scriptRun
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "start" {
				p = newScriptRun()
				return ""
			}
			var out strings.Builder
			for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
				p.runLine(t, &out, strings.Fields(line))
			}
			return out.String()
		})
	})
}

// scriptRun applies the same events to a Tracker and to the naive version.
type scriptRun struct {
	now      time.Time
	trackers [2]trackerAPI
	states   [2]map[string]string
	swings   [2]map[string]int
}

func newScriptRun() *scriptRun {
	p := &scriptRun{now: time.Unix(0, 0)}
	p.trackers = [2]trackerAPI{new(Tracker), &naiveTracker{make(map[string]bool), make(map[string]bool)}}
	for i := range p.trackers {
		p.states[i], p.swings[i] = make(map[string]string), make(map[string]int)
	}
	return p
}

func (p *scriptRun) runLine(t *testing.T, out *strings.Builder, f []string) {
	d, err := time.ParseDuration(f[0])
	if err != nil {
		t.Fatal(err)
	}
	p.now = time.Unix(0, 0).Add(d)
	event, args := f[1], f[2:]
	switch event {
	case "swings":
		fmt.Fprintf(out, "%s %s: %d, naive %d\n", f[0], args[0], p.swings[0][args[0]], p.swings[1][args[0]])
		return
	case "probe":
		fmt.Fprintf(out, "%s %s: probe %v\n", f[0], args[0], p.trackers[0].AllowProbe(p.now, args[0]))
		return
	}
	for i, tracker := range p.trackers {
		if !applyEvent(tracker, p.now, event, args) && i == 0 && event != "show" {
			fmt.Fprintf(out, "%s %s: no news\n", f[0], event)
		}
		p.countSwings(i)
	}
	if event == "show" {
		for _, h := range args {
			fmt.Fprintf(out, "%s %s: %s; naive %s\n", f[0], h, describe(p.trackers[0], p.now, h), describe(p.trackers[1], p.now, h))
		}
	}
}

// applyEvent applies an event and reports whether it was accepted or changed the state.
func applyEvent(tracker trackerAPI, now time.Time, event string, args []string) bool {
	switch event {
	case "list":
		_, ok := tracker.ApplyList(now, parseHosts(args))
		return ok
	case "hear":
		h := parseHosts(args[:1])[0]
		age, _ := time.ParseDuration(args[1])
		return tracker.ApplyReport(now, h, age)
	case "refuse":
		tracker.RecordRefusal(now, args[0])
	case "fail":
		tracker.RecordFailure(now, args[0])
	case "answer":
		tracker.RecordSuccess(now, args[0])
	}
	return true
}

// parseHosts parses names; a trailing dash marks a host as leaving.
func parseHosts(args []string) []Host {
	var list []Host
	for _, a := range args {
		name, leaving := strings.CutSuffix(a, "-")
		list = append(list, Host{Name: name, Leaving: leaving})
	}
	return list
}

func (p *scriptRun) countSwings(i int) {
	for _, h := range []string{"a", "b", "c", "d"} {
		is := describe(p.trackers[i], p.now, h)
		if was, ok := p.states[i][h]; ok && was != is {
			p.swings[i][h]++
		}
		p.states[i][h] = is
	}
}

func describe(tracker trackerAPI, now time.Time, host string) string {
	switch {
	case tracker.IsLeaving(now, host):
		return "leaving"
	case tracker.IsSuspect(now, host):
		return "suspect"
	}
	return "well"
}
