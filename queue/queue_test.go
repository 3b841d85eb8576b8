package queue

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/script"
)

func TestMain(m *testing.M) { script.Main(m, 100) }

var (
	epoch = time.Unix(0, 0)
	later = epoch.Add(time.Hour)
)

func anyClass(chestnutstep.Class) bool { return true }

// workQueue is the queue under test: Queue or the naive fifo.
type workQueue interface {
	Push(now time.Time, w chestnutstep.Work) (*chestnutstep.Work, *Rejection)
	Pop(mayStart func(chestnutstep.Class) bool) (chestnutstep.Work, bool)
}

// fifo is a naive bounded queue: first come, first served.
type fifo struct {
	bound int
	works []chestnutstep.Work
}

func (f *fifo) Push(_ time.Time, w chestnutstep.Work) (*chestnutstep.Work, *Rejection) {
	if len(f.works) >= f.bound {
		return nil, &Rejection{Reason: chestnutstep.ReasonQueue}
	}
	f.works = append(f.works, w)
	return nil, nil
}

func (f *fifo) Pop(func(chestnutstep.Class) bool) (chestnutstep.Work, bool) {
	if len(f.works) == 0 {
		return chestnutstep.Work{}, false
	}
	w := f.works[0]
	f.works = f.works[1:]
	return w, true
}

// TestScripts runs the scripts in testdata: pushes of several workspaces, and the order in
// which a Queue or a fifo serves them.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var q workQueue
		n := 0
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "queue":
				q = scriptQueue(t, d)
			case "push":
				n++
				return push(t, q, d, epoch.Add(time.Duration(n)*time.Millisecond))
			case "pop":
				return pop(t, q, d)
			}
			return ""
		})
	})
}

func scriptQueue(t *testing.T, d *datadriven.TestData) workQueue {
	bound, heavy := 100, 1.0
	d.MaybeScanArgs(t, "bound", &bound)
	d.MaybeScanArgs(t, "big", &heavy)
	if d.HasArg("fifo") {
		return &fifo{bound: bound}
	}
	return &Queue{Capacity: bound, Weights: map[string]float64{"big": heavy}}
}

// push parses lines of "workspace class cost times" and pushes the requests.
func push(t *testing.T, q workQueue, d *datadriven.TestData, now time.Time) string {
	var out strings.Builder
	for _, line := range strings.Split(d.Input, "\n") {
		var ws string
		var class, times int
		var cost float64
		_, err := fmt.Sscan(line, &ws, &class, &cost, &times)
		assert.NilError(t, err)
		accepted := 0
		for i := range times {
			w := chestnutstep.Work{Workspace: ws, Class: chestnutstep.Class(class), Cost: cost, Deadline: later, WaitUntil: later}
			w.ID = fmt.Sprint(ws, class, now.UnixMilli(), "-", i)
			evicted, rejection := q.Push(now, w)
			if rejection != nil {
				fmt.Fprintf(&out, "%s refused: %s\n", ws, rejection.Reason)
				break
			}
			accepted++
			if evicted != nil {
				fmt.Fprintf(&out, "%s pushed out by %s\n", evicted.Workspace, ws)
			}
		}
		fmt.Fprintf(&out, "%s waits: %d\n", ws, accepted)
	}
	return out.String()
}

// pop pops n requests and prints runs of the same workspace, class and cost.
func pop(t *testing.T, q workQueue, d *datadriven.TestData) string {
	var n int
	d.ScanArgs(t, "n", &n)
	var runs []string
	count, last := 0, ""
	flush := func() {
		if count > 0 {
			runs = append(runs, fmt.Sprintf("%s x%d", last, count))
		}
	}
	for range n {
		w, ok := q.Pop(anyClass)
		if !ok {
			break
		}
		if name := fmt.Sprintf("%s class %d cost %v", w.Workspace, w.Class, w.Cost); name != last {
			flush()
			count, last = 0, name
		}
		count++
	}
	flush()
	return strings.Join(runs, "\n") + "\n"
}

// TestQueueAgreesWithPlainList guards against internal counts that diverge from the waiting
// requests after any sequence of pushes, pops, cancellations, expirations and evictions.
func TestQueueAgreesWithPlainList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &Queue{Capacity: 12, Weights: map[string]float64{"a": 2, "b": 0.5}}
		list := map[string]chestnutstep.Work{}
		now, n := epoch, 0
		remove := func(id string) {
			_, ok := list[id]
			assert.Assert(t, ok, "%s removed twice or never waiting", id)
			delete(list, id)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				w := chestnutstep.Work{ID: fmt.Sprint(n), Deadline: later}
				n++
				w.Workspace = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")
				w.Class = chestnutstep.Class(rapid.IntRange(0, 3).Draw(t, "class"))
				w.Cost = float64(rapid.IntRange(0, 5000).Draw(t, "cost"))
				w.WaitUntil = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "patience")) * time.Second)
				evicted, rejection := q.Push(now, w)
				if evicted != nil {
					remove(evicted.ID)
				}
				if rejection == nil {
					list[w.ID] = w
				}
			},
			"pop": func(t *rapid.T) {
				limit := chestnutstep.Class(rapid.IntRange(0, 2).Draw(t, "limit"))
				if w, ok := q.Pop(func(c chestnutstep.Class) bool { return c <= limit }); ok {
					assert.Assert(t, w.Class <= limit)
					remove(w.ID)
				}
			},
			"cancel": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(0, n).Draw(t, "id"))
				_, waits := list[id]
				assert.Equal(t, q.Remove(id), waits)
				delete(list, id)
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "s")) * time.Second)
				for w, ok := q.Expire(now); ok; w, ok = q.Expire(now) {
					assert.Assert(t, !w.WaitUntil.After(now))
					remove(w.ID)
				}
			},
			"": func(t *rapid.T) {
				checkCounts(t, q, list)
			},
		})
	})
}

// TestBackloggedWorkspacesShareByWeight guards against a workspace with waiting work that falls
// behind its weighted share: its callers would wait longer than those of another workspace with
// the same weight.
func TestBackloggedWorkspacesShareByWeight(t *testing.T) {
	weights := map[string]float64{"a": 1, "b": 2, "c": 5}
	const longest = 5000
	rapid.Check(t, func(t *rapid.T) {
		q := &Queue{Capacity: 1000, Weights: weights}
		for i := range 240 {
			w := chestnutstep.Work{ID: fmt.Sprint(i), Deadline: later, WaitUntil: later, Class: 1}
			w.Workspace = string("abc"[i%3])
			w.Cost = rapid.Float64Range(1, longest).Draw(t, "cost")
			q.Push(epoch, w)
		}
		served := map[string]float64{}
		for range rapid.IntRange(1, 70).Draw(t, "pops") {
			w, _ := q.Pop(anyClass)
			served[w.Workspace] += w.Cost / weights[w.Workspace]
		}
		for a, wa := range weights {
			for b, wb := range weights {
				assert.Assert(t, served[a]-served[b] <= longest/wa+longest/wb, "%s %v, %s %v", a, served[a], b, served[b])
			}
		}
	})
}

func checkCounts(t *rapid.T, q *Queue, list map[string]chestnutstep.Work) {
	assert.Equal(t, q.Len(), len(list))
	assert.Assert(t, q.Len() <= q.Capacity)
	var counts [chestnutstep.ClassCount]int
	var costs [chestnutstep.ClassCount]float64
	for _, w := range list {
		w = normalize(w)
		counts[w.Class]++
		costs[w.Class] += w.Cost
	}
	for c := range q.classes {
		assert.Equal(t, q.classes[c].count, counts[c])
		diff := q.classes[c].cost - costs[c]
		assert.Assert(t, diff < 1e-6 && diff > -1e-6)
	}
}
