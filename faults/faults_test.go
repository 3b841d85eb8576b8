package faults

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// programs is the directory with the programs under test.
var programs string

func TestMain(m *testing.M) {
	os.Exit(build(m))
}

// build compiles the programs that the scripts start, runs the tests and returns the
// exit code.
func build(m *testing.M) int {
	dir, err := os.MkdirTemp("", "programs")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programs = dir
	c := exec.Command("go", "build", "-o", dir, "../cmd/...")
	c.Stdout, c.Stderr = os.Stderr, os.Stderr
	if err := c.Run(); err != nil {
		return 1
	}
	return m.Run()
}

// TestFleet runs the scripts of testdata/fleet. They guard against lost, repeated and
// truncated answers while processes, targets or the platform fail.
func TestFleet(t *testing.T) {
	walk(t, "testdata/fleet")
}

// TestNaive runs some of the same faults against a plain reverse proxy. The expected
// output of these scripts records how the proxy fails, which shows the failures that
// the mechanisms of the fleet prevent.
func TestNaive(t *testing.T) {
	walk(t, "testdata/naive")
}

func walk(t *testing.T, dir string) {
	datadriven.Walk(t, dir, func(t *testing.T, path string) {
		runScenario(t, filepath.Clean(path))
	})
}
