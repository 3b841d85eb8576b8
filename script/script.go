// Package script holds what scripted and random tests of several packages share:
// a loop over the lines of a script, fixed seeds, and the size of the heap.
package script

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"
)

// seed of all random tests. It is fixed so that CI gives the same verdict every
// time; a run with another one is a flag away.
const seed = "20261202"

// steps of a random state machine, on average: enough for a ticket to be minted,
// held, run, forgotten and asked for again.
const steps = "60"

// Main runs a package's tests, random ones with a fixed seed and this many cases
// each. Flags of the command line go first.
func Main(m *testing.M, cases int) {
	flags := map[string]string{
		"rapid.seed":       seed,
		"rapid.checks":     strconv.Itoa(cases),
		"rapid.steps":      steps,
		"rapid.nofailfile": "true",
	}
	for name, value := range flags {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// Epoch is when tests begin: far from the zero time, which stands for "unset".
var Epoch = time.Unix(1000, 0)

// RunLines runs each line of a script as one command, split into words, and returns
// the lines with what came of them. It plays "pass DURATION" itself, by moving
// the clock.
func RunLines(lines string, now *time.Time, step func(words []string) string) string {
	var out strings.Builder
	for line := range strings.Lines(lines) {
		words := strings.Fields(line)
		fmt.Fprintf(&out, "%s: %s\n", strings.Join(words, " "), runLine(words, now, step))
	}
	return out.String()
}

func runLine(words []string, now *time.Time, step func(words []string) string) string {
	if words[0] != "pass" {
		return step(words)
	}
	d, err := time.ParseDuration(words[1])
	if err != nil {
		return err.Error()
	}
	*now = now.Add(d)
	return "ok"
}

// HeapBytes returns the bytes in use after a collection, for benchmarks that print
// what something costs to keep.
func HeapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
