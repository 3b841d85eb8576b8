package member

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// believer is what the scripts drive: the list or the naive version.
type believer interface {
	Learn(now time.Time, list []Host) ([]Host, bool)
	Hear(now time.Time, h Host, age time.Duration) bool
	Refuse(now time.Time, host string)
	Fail(now time.Time, host string)
	Answer(now time.Time, host string)
	Leaving(now time.Time, host string) bool
	Suspect(now time.Time, host string) bool
	Probe(now time.Time, host string) bool
}

// naive believes whatever it heard last.
type naive struct{ leaving, down map[string]bool }

func (n *naive) Learn(_ time.Time, list []Host) ([]Host, bool) {
	seen := make(map[string]bool)
	for _, h := range list {
		n.leaving[h.Name], seen[h.Name] = h.Leaving, true
	}
	for host := range n.leaving {
		n.leaving[host] = n.leaving[host] || !seen[host]
	}
	return nil, true
}

func (n *naive) Hear(_ time.Time, h Host, _ time.Duration) bool {
	n.leaving[h.Name] = h.Leaving
	return true
}
func (n *naive) Refuse(_ time.Time, host string)       { n.leaving[host] = true }
func (n *naive) Fail(_ time.Time, host string)         { n.down[host] = true }
func (n *naive) Answer(_ time.Time, host string)       { n.down[host] = false }
func (n *naive) Leaving(_ time.Time, host string) bool { return n.leaving[host] }
func (n *naive) Suspect(_ time.Time, host string) bool { return n.down[host] }
func (n *naive) Probe(_ time.Time, host string) bool   { return n.down[host] }

// The scripts in testdata play lists that lag and disagree, hosts that flap and
// services that forget. Each line is an event at a time, or asks for beliefs;
// "swings" counts how often the belief about a host changed during the script,
// beside the count of the naive version, which believes what it heard last.
func TestList(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var p *play
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "start" {
				p = newPlay()
				return ""
			}
			var out strings.Builder
			for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
				p.line(t, &out, strings.Fields(line))
			}
			return out.String()
		})
	})
}

// play drives a list and the naive version with the same events.
type play struct {
	now    time.Time
	both   [2]believer
	belief [2]map[string]string
	swings [2]map[string]int
}

func newPlay() *play {
	p := &play{now: time.Unix(0, 0)}
	p.both = [2]believer{new(List), &naive{make(map[string]bool), make(map[string]bool)}}
	for i := range p.both {
		p.belief[i], p.swings[i] = make(map[string]string), make(map[string]int)
	}
	return p
}

func (p *play) line(t *testing.T, out *strings.Builder, f []string) {
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
		fmt.Fprintf(out, "%s %s: probe %v\n", f[0], args[0], p.both[0].Probe(p.now, args[0]))
		return
	}
	for i, b := range p.both {
		if !apply(b, p.now, event, args) && i == 0 && event != "show" {
			fmt.Fprintf(out, "%s %s: no news\n", f[0], event)
		}
		p.note(i)
	}
	if event == "show" {
		for _, h := range args {
			fmt.Fprintf(out, "%s %s: %s; naive %s\n", f[0], h, describe(p.both[0], p.now, h), describe(p.both[1], p.now, h))
		}
	}
}

// apply says whether the event was believed to be news.
func apply(b believer, now time.Time, event string, args []string) bool {
	switch event {
	case "list":
		_, ok := b.Learn(now, hosts(args))
		return ok
	case "hear":
		h := hosts(args[:1])[0]
		age, _ := time.ParseDuration(args[1])
		return b.Hear(now, h, age)
	case "refuse":
		b.Refuse(now, args[0])
	case "fail":
		b.Fail(now, args[0])
	case "answer":
		b.Answer(now, args[0])
	}
	return true
}

// hosts reads names; a dash at the end says that the host is leaving.
func hosts(args []string) []Host {
	var list []Host
	for _, a := range args {
		name, leaving := strings.CutSuffix(a, "-")
		list = append(list, Host{Name: name, Leaving: leaving})
	}
	return list
}

func (p *play) note(i int) {
	for _, h := range []string{"a", "b", "c", "d"} {
		is := describe(p.both[i], p.now, h)
		if was, ok := p.belief[i][h]; ok && was != is {
			p.swings[i][h]++
		}
		p.belief[i][h] = is
	}
}

func describe(b believer, now time.Time, host string) string {
	switch {
	case b.Leaving(now, host):
		return "leaving"
	case b.Suspect(now, host):
		return "suspect"
	}
	return "well"
}
