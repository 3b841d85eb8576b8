package soak_test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/soak"
)

var program = flag.String("program", "", "chestnutstep binary of another commit for the stream soak")

var timeline = flag.String("timeline", "", "directory for the faults and wrong answers of each seed of the stream soak")

// TestStreamsOfKilledTargets guards against streams that lack an event, have one twice, or end as complete
// before their last event while targets die by SIGKILL and are back at their address at once.
func TestStreamsOfKilledTargets(t *testing.T) {
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir, "../cmd/chestnutstep", "../cmd/standin").CombinedOutput()
	assert.NilError(t, err, string(out))
	binary := filepath.Join(dir, "chestnutstep")
	if *program != "" {
		binary = *program
	}
	for seed := *first; seed < *first+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := &soak.Soak{
				Program: binary, Standin: filepath.Join(dir, "standin"), StreamsOnly: true,
				Dir: t.TempDir(), Seed: seed, Duration: *duration,
			}
			err := s.Run()
			t.Log(s.Summary())
			if *timeline != "" {
				report := strings.Join(append(append(append(s.Faults(), s.ProcessFaults()...), s.Wrong()...), s.Summary()), "\n")
				assert.NilError(t, os.WriteFile(filepath.Join(*timeline, fmt.Sprint(seed)), []byte(report+"\n"), 0o600))
			}
			if err != nil {
				keepLogs(t, s)
				t.Fatalf("seed %d: %v\nfaults: %s", seed, err, strings.Join(append(s.Faults(), s.ProcessFaults()...), ", "))
			}
		})
	}
}
