package soak_test

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/soak"
)

var (
	first       = flag.Uint64("first", 1, "first seed of the soak")
	seeds       = flag.Uint64("seeds", 2, "how many seeds, one after the other")
	cleanBreaks = flag.Bool("clean", false, "play -first and -seeds with clean breaks, in place of the kept seeds")
	duration    = flag.Duration("for", 4*time.Second, "how long faults happen")
)

// TestSoak guards against requests that run too often, are misdelivered or are
// accepted with a revoked key while faults overlap: processes are killed, paused and
// restarted, the store fails for single entries, connections stall in one direction
// or break, targets misbehave, leave and join, and keys are revoked. Every request is
// then compared with the runs recorded by the targets.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "chestnutstep")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/chestnutstep").CombinedOutput()
	assert.NilError(t, err, string(out))
	list := keptSeeds(t)
	for s := *first; s < *first+*seeds; s++ {
		list = append(list, s)
	}
	for _, seed := range list {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := &soak.Soak{Program: program, Dir: t.TempDir(), Seed: seed, Duration: *duration}
			if err := s.Run(); err != nil {
				keepLogs(t, s)
				t.Fatalf("seed %d: %v\nfaults: %s", seed, err, strings.Join(s.Faults(), ", "))
			}
		})
	}
}

// TestSoakWithCleanBreaks guards against an answer that looks whole because its target closed all connections
// within it. Seeds 713 and 3006 failed before there was a witness.
func TestSoakWithCleanBreaks(t *testing.T) {
	program := filepath.Join(t.TempDir(), "chestnutstep")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/chestnutstep").CombinedOutput()
	assert.NilError(t, err, string(out))
	list := []uint64{713, 3006}
	if *cleanBreaks {
		list = nil
		for s := *first; s < *first+*seeds; s++ {
			list = append(list, s)
		}
	}
	for _, seed := range list {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := &soak.Soak{Program: program, Dir: t.TempDir(), Seed: seed, Duration: *duration, CleanBreaks: true}
			if err := s.Run(); err != nil {
				keepLogs(t, s)
				t.Fatalf("seed %d: %v\nfaults: %s", seed, err, strings.Join(s.Faults(), ", "))
			}
		})
	}
}

// TestSoakHardLoad guards against second sends, refusals and kept returns that break a guarantee while targets are
// short of slots, uneven and report their load wrongly, beside the faults of TestSoak.
func TestSoakHardLoad(t *testing.T) {
	program := filepath.Join(t.TempDir(), "chestnutstep")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/chestnutstep").CombinedOutput()
	assert.NilError(t, err, string(out))
	for seed := *first; seed < *first+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := &soak.Soak{Program: program, Dir: t.TempDir(), Seed: seed, Duration: *duration, HardLoad: true}
			err := s.Run()
			t.Log(s.Summary())
			if err != nil {
				keepLogs(t, s)
				t.Fatalf("seed %d: %v\nfaults: %s", seed, err, strings.Join(s.Faults(), ", "))
			}
		})
	}
}

// keptSeeds returns the seeds of testdata/seeds, which have failed before; that file
// states their causes.
func keptSeeds(t *testing.T) []uint64 {
	t.Helper()
	f, err := os.Open("testdata/seeds")
	assert.NilError(t, err)
	defer f.Close()
	var list []uint64
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var seed uint64
		if _, err := fmt.Sscan(lines.Text(), &seed); err == nil {
			list = append(list, seed)
		}
	}
	return list
}

// keepLogs copies the logs of a failed run to a directory that is not removed after
// the test.
func keepLogs(t *testing.T, s *soak.Soak) {
	t.Helper()
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", s.Seed))
	if err != nil {
		t.Log(err)
		return
	}
	files, _ := filepath.Glob(filepath.Join(s.Dir, "*.log"))
	for _, f := range files {
		raw, err := os.ReadFile(f)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, filepath.Base(f)), raw, 0o600)
		}
		if err != nil {
			t.Log(err)
		}
	}
	t.Log("logs kept in ", dir)
}
