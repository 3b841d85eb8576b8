// Command review-rig plays the scripted cases of the review: it starts the entries of a small deployment as
// separate processes, emulates the store, the servers, the clients and the balancer, and compares what
// the clients got with what the servers ran.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// play runs one case and returns what broke the rule, one line each.
type play func(c *caseRun) ([]string, error)

// plays holds the cases by name; each registers itself.
var plays = make(map[string]play)

// caseRun is the environment of one case.
type caseRun struct {
	// trouble is false if the case runs without its disruption.
	trouble bool
	// dir is a temporary folder.
	dir    string
	record *record
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) == 4 && os.Args[1] == "serve" {
		serveProcess(os.Args[2], os.Args[3])
		return statusNotRun
	}
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig CASE FOLDER")
		return statusNotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer os.RemoveAll(dir)
	broken, err := plays[os.Args[1]](&caseRun{trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: rec})
	if err != nil {
		rec.print("could not run: %v", err)
		return statusNotRun
	}
	if len(broken) == 0 {
		rec.print("the rule held")
		return statusHeld
	}
	for _, line := range broken[:min(len(broken), 10)] {
		rec.print("broken: %s", line)
	}
	rec.print("the rule was broken: %d times", len(broken))
	return statusBroken
}
