package ticket

import (
	"flag"
	"os"
	"testing"
	"time"
)

var epoch = time.Unix(1000, 0)

// TestMain fixes the seeds, so that CI gives the same verdict every time.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed": "20261202", "rapid.checks": "5000", "rapid.steps": "60", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
