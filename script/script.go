// Package script contains helpers for scripted and randomized tests of several
// packages: a runner for scripts with one command per line, a fixed seed for
// random tests, and a measurement of the heap. Random tests run the same cases
// every time unless a flag changes the seed.
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

// seed is the seed of all random tests. It is fixed, so that CI gives the same
// result every time; the flag -rapid.seed sets another one.
const seed = "20261202"

// steps is the mean number of steps of a random state machine test. It is
// enough for a ticket to be minted, held, run, forgotten and requested again.
const steps = "60"

// Main runs the tests of a package, with a fixed seed and the given number of
// cases for each random test. Flags on the command line take precedence. It
// doesn't return.
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

// Epoch is the start time of tests. It differs from the zero time, which stands
// for an unset time.
var Epoch = time.Unix(1000, 0)

// RunLines runs each line of a script as a command, split into words, and
// returns the lines with their results. It handles the command "pass DURATION"
// itself by advancing now.
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

// HeapBytes returns the bytes of heap in use after a garbage collection, for
// benchmarks that report the memory of a data structure.
func HeapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
