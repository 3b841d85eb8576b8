package trial

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
)

// TestScenarios runs the scripts in testdata. "streams" sets the load, "play" runs one policy on
// it and prints the results, and "expect" compares results of earlier plays with bounds or with
// each other.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		figures := map[string]float64{}
		streams := ""
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "streams":
				streams = d.Input
			case "play":
				r := Run(scriptConfig(t, d, streams))
				return recordFigures(figures, d.CmdArgs[0].Key, r)
			case "expect":
				for _, line := range strings.Split(d.Input, "\n") {
					expect(t, d, figures, line)
				}
			}
			return ""
		})
	})
}

func parseFloat(t *testing.T, s string) float64 {
	f, err := strconv.ParseFloat(s, 64)
	assert.NilError(t, err)
	return f
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

// scriptConfig parses "play NAME key=value...".
func scriptConfig(t *testing.T, d *datadriven.TestData, streams string) Config {
	arg := func(key string, value float64) float64 {
		d.MaybeScanArgs(t, key, &value)
		return value
	}
	cfg := Config{
		Seed:        7,
		Duration:    seconds(arg("for", 120)),
		Warmup:      seconds(arg("warm", 20)),
		Policy:      Policy{Hint: true, Home: true},
		Targets:     int(arg("targets", 6)),
		Domains:     3,
		MaxTargets:  int(arg("tries", 4)),
		CacheChats:  int(arg("cache", 300)),
		FragileTime: seconds(arg("fragile", 0)),
		DownTime:    5 * time.Second,
		SlowFactor:  arg("slow", 0),
		LeaveAt:     seconds(arg("leave", 0)),
		ReturnAt:    seconds(arg("return", 0)),
		NoticeDelay: 2 * time.Second,
		Weights:     map[string]float64{"big": arg("big", 1)},
	}
	slots := int(arg("slots", 16))
	cfg.Model = chestnutstep.Model{
		Name: "m", Multiple: arg("multiple", 1.25), Floor: 4, Slots: slots,
		QueueLimit: int(arg("queue", 32)), ColdCap: int(arg("cold", float64(slots))),
	}
	switch d.CmdArgs[0].Key {
	case "whole":
		cfg.Policy = FullPolicy
	case "random":
		cfg.Policy = Policy{Naive: true}
	case "fifo":
		cfg.Policy = Policy{FIFO: true}
	}
	for _, line := range strings.Split(streams, "\n") {
		cfg.Streams = append(cfg.Streams, scriptStream(t, line, arg("times", 1)))
	}
	return cfg
}

// scriptStream parses "WORKSPACE key=value...".
func scriptStream(t *testing.T, line string, times float64) Stream {
	words := strings.Fields(line)
	v := map[string]float64{"class": 1, "chats": 200, "skew": 1, "answer": 2, "prefill": 0.5, "cost": 200, "limit": 20, "patience": 1}
	for _, word := range words[1:] {
		key, value, _ := strings.Cut(word, "=")
		v[key] = parseFloat(t, value)
	}
	return Stream{
		Workspace: words[0], Class: chestnutstep.Class(v["class"]), Rate: v["rate"] * times,
		From: seconds(v["from"]), Until: seconds(v["until"]), Chats: int(v["chats"]), Skew: v["skew"],
		Answer: seconds(v["answer"]), Prefill: seconds(v["prefill"]), Cost: v["cost"],
		Timeout: seconds(v["limit"]), Patience: seconds(v["patience"]), CancelRatio: v["cancel"],
	}
}

// recordFigures stores the results of a play for "expect" and returns them as text.
func recordFigures(figures map[string]float64, name string, r Result) string {
	var out strings.Builder
	for i, s := range append(r.Streams, r.All) {
		subject := fmt.Sprintf("%s.%d", s.Workspace, i)
		if i == len(r.Streams) {
			subject = "all"
		}
		key := name + "." + subject + "."
		figures[key+"intime"] = 100 * s.InTime
		figures[key+"wait95"] = s.Wait95.Seconds()
		figures[key+"goodput"] = s.Goodput
		figures[key+"reuse"] = 100 * s.Reuse
		fmt.Fprintf(&out, "%-10s in time %3.0f%%  goodput %5.1f/s  wait95 %4.1f s  reuse %3.0f%%\n",
			subject, 100*s.InTime, s.Goodput, s.Wait95.Seconds(), 100*s.Reuse)
	}
	figures[name+".largest"] = r.MaxToMean99
	figures[name+".offers"] = r.Offers
	figures[name+".after"] = float64(r.StartsAfterLeave)
	figures[name+".crashes"] = float64(r.Crashes)
	figures[name+".overcap"] = float64(r.OverCap)
	fmt.Fprintf(&out, "largest/mean %.1f  offers %.1f  crashes %d  over cap %d  after leaving %d\n", r.MaxToMean99, r.Offers, r.Crashes, r.OverCap, r.StartsAfterLeave)
	return out.String()
}

// expect checks "FIGURE < VALUE" or "FIGURE > VALUE". VALUE is a number or a figure, optionally
// times a number, as in "a.goodput > b.goodput * 0.9".
func expect(t *testing.T, d *datadriven.TestData, figures map[string]float64, line string) {
	words := strings.Fields(line)
	value := func(word string) float64 {
		if f, ok := figures[word]; ok {
			return f
		}
		return parseFloat(t, word)
	}
	bound := value(words[2])
	if len(words) == 5 {
		bound *= parseFloat(t, words[4])
	}
	got, ok := figures[words[0]]
	if !ok || (words[1] == "<") != (got < bound) || got == bound {
		t.Errorf("%s: %s: got %v, bound %v", d.Pos, line, got, bound)
	}
}
