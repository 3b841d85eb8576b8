package matrix

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// cell is one row of the matrix.
type cell struct {
	profile string
	step    string
	faults  []string
	// expected lists how the caller's last try may end.
	expected []string
	// runs is the most that the request may have run at all targets together.
	runs int
	// naive says what the naive version does in this cell: broken, fine where it
	// was seen to do as well, or - where it has no such step.
	naive string
}

func (c cell) name() string {
	return c.profile + "/" + c.step + "/" + strings.Join(c.faults, "+")
}

// Marks in the place of wanted: cells that need a process to kill or to freeze
// are run by package faults; others are not run at all, and why is said beside
// them.
const (
	elsewhere = "elsewhere"
	notRun    = "notrun"
)

func readCells(t *testing.T) []cell {
	t.Helper()
	f, err := os.Open("testdata/cells")
	assert.NilError(t, err)
	defer f.Close()
	var list []cell
	for lines := bufio.NewScanner(f); lines.Scan(); {
		w := strings.Fields(lines.Text())
		if len(w) == 0 || w[0] == "#" {
			continue
		}
		assert.Equal(t, len(w), 6, "%q", lines.Text())
		runs, err := strconv.Atoi(w[4])
		assert.NilError(t, err)
		list = append(list, cell{w[0], w[1], strings.Split(w[2], "+"), strings.Split(w[3], "|"), runs, w[5]})
	}
	return list
}

// tally counts how cells ended.
type tally struct {
	mu                                sync.Mutex
	passed, failed, elsewhere, notRun int
	naiveRuns, naiveFailures          int
	results                           map[string]string
}

func (n *tally) add(counter *int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	*counter++
}

// setResult notes how a cell ended, for the printed matrix.
func (n *tally) setResult(c cell, sign string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.results[c.name()] = sign
}

// print writes a table for each profile, a row for each fault, a column for
// each step.
func (n *tally) print(cells []cell) {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	for _, profile := range []string{ProfileChat, ProfileBook, profileOrder} {
		steps, faults := axes(cells, profile)
		fmt.Fprintf(w, "\n%s\t%s\n", profile, strings.Join(steps, "\t"))
		for _, f := range faults {
			fmt.Fprint(w, f)
			for _, step := range steps {
				fmt.Fprint(w, "\t", n.results[profile+"/"+step+"/"+f])
			}
			fmt.Fprintln(w)
		}
	}
	_ = w.Flush()
}

// axes lists the steps and faults of a profile's cells, in their order.
func axes(cells []cell, profile string) (steps, faults []string) {
	for _, c := range cells {
		if c.profile != profile {
			continue
		}
		if !slices.Contains(steps, c.step) {
			steps = append(steps, c.step)
		}
		if f := strings.Join(c.faults, "+"); !slices.Contains(faults, f) {
			faults = append(faults, f)
		}
	}
	return steps, faults
}

// Each fault happens at each step of a request. Callers see it as an answer
// that stays away, breaks off or comes twice; operators as a doubled booking.
// A cell passes when the far end agrees: what ran, how often, and what bytes
// the caller got. The same cell shows what the naive version makes of it.
func TestMatrix(t *testing.T) {
	n := &tally{results: make(map[string]string)}
	cells := readCells(t)
	t.Run("cell", func(t *testing.T) {
		for _, c := range cells {
			t.Run(c.name(), func(t *testing.T) {
				t.Parallel()
				n.runCell(t, c)
			})
		}
	})
	n.print(cells)
	fmt.Printf("fault matrix: %d cells passed, %d failed, %d run elsewhere, %d not run; the naive version broke %d of %d\n",
		n.passed, n.failed, n.elsewhere, n.notRun, n.naiveFailures, n.naiveRuns)
}

func (n *tally) runCell(t *testing.T, c cell) {
	switch c.expected[0] {
	case elsewhere:
		n.add(&n.elsewhere)
		n.setResult(c, "else")
		t.Skip("run by package faults")
	case notRun:
		n.add(&n.notRun)
		n.setResult(c, "notrun")
		t.Skip("not run")
	}
	if err := c.runOn(func() *Stack { return &Stack{} }); err != nil {
		n.add(&n.failed)
		n.setResult(c, "FAIL")
		t.Errorf("%s: %v", c.name(), err)
	} else {
		n.add(&n.passed)
		n.setResult(c, "ok")
	}
	n.compare(t, c)
}

// maxScenarioTries is how often a cell is staged until its step comes.
const maxScenarioTries = 5

// runOn plays the cell. On a busy machine the pieces of an answer run together,
// and a request may pass a step in the middle without standing there: then the
// fault has not happened, the play shows nothing either way, and the cell is
// staged anew.
func (c cell) runOn(stack func() *Stack) error {
	return retryScenario(func() *scenario { return &scenario{cell: c, stack: stack()} })
}

// retryScenario runs new plays until one comes to its step.
func retryScenario(stage func() *scenario) error {
	var err error
	for range maxScenarioTries {
		err = stage().run()
		var missed ErrStepNotReached
		if !errors.As(err, &missed) {
			return err
		}
	}
	return err
}

// compare plays the cell by the naive version. A cell that shows what a
// mechanism is for has to break it each time. That it is fine in another is not
// asked for: there its own races decide, which is no matter of the fleet.
func (n *tally) compare(t *testing.T, c cell) {
	if c.naive == "-" {
		return
	}
	n.add(&n.naiveRuns)
	err := c.runOn(func() *Stack { return &Stack{Naive: true} })
	if err != nil {
		n.add(&n.naiveFailures)
		t.Log("naive version:", err)
	}
	if c.naive == "broken" {
		assert.Assert(t, err != nil, "the naive version got through: the cell shows nothing")
	}
}
