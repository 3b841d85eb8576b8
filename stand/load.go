package stand

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Capacity is what a target can work on, and what it reports of that. The zero value limits and reports nothing.
type Capacity struct {
	// Slots is the number of requests that run concurrently; Queue is the number that may wait for a slot.
	Slots, Queue int
	// Work is the time that a request takes at Pace 100; at 250 it takes two and a half times as long.
	Work time.Duration
	Pace int
	// Report is sent in place of the true figures unless it is empty.
	Report string
}

// MissingReport as Capacity.Report omits the header.
const MissingReport = "missing"

// BadReports are reports that entries must ignore.
var BadReports = []string{
	MissingReport, "busy", "0,0", ",,,", "0;0;6;100", "-1,-2,-6,-100", "0,0,0,100", "0,0,6,0", "0,0,6,NaN", "0,0,6,1e308",
	"0,0,9223372036854775807,1", "99999999999999999999,99999999999999999999,6,100", "9000000,9000000,6,9000000",
}

const (
	headerServerLoad = "Server-Load"
	// slotPoll is the time between two attempts of a waiting request to get a slot.
	slotPoll = 5 * time.Millisecond
	// LongPath ends the paths of requests that take longWork at a target with a Capacity.
	LongPath = "/long"
	longWork = 5 * time.Second
)

// SetCapacity replaces the target's capacity. The first one must be set before the first request.
func (t *Target) SetCapacity(c Capacity) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.capacity = c
}

// reportLoad sets the header that reports the target's load.
func (t *Target) reportLoad(h http.Header) {
	if text := t.load.Load(); text != nil {
		h.Set(headerServerLoad, *text)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch c := t.capacity; {
	case c.Slots == 0 || c.Report == MissingReport:
	case c.Report != "":
		h.Set(headerServerLoad, c.Report)
	default:
		h.Set(headerServerLoad, fmt.Sprintf("%d,%d,%d,%d", t.running, t.waiting, c.Slots, c.Pace))
	}
}

// takeSlot waits for a slot. It returns false if the queue is full or the caller has left.
func (t *Target) takeSlot(w http.ResponseWriter, r *http.Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.capacity.Slots > 0 && t.running >= t.capacity.Slots && t.waiting >= t.capacity.Queue {
		t.shed(w)
		return false
	}
	t.waiting++
	defer func() { t.waiting-- }()
	for t.capacity.Slots > 0 && t.running >= t.capacity.Slots {
		t.mu.Unlock()
		t.wait(r, slotPoll)
		t.mu.Lock()
		if r.Context().Err() != nil {
			return false
		}
	}
	t.running++
	return true
}

// releaseSlot records the end of a run.
func (t *Target) releaseSlot(run *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	run.EndedAt = time.Now()
}

// work waits for as long as a request takes at the target's present pace.
func (t *Target) work(r *http.Request) {
	t.mu.Lock()
	c := t.capacity
	t.mu.Unlock()
	if c.Slots == 0 {
		return
	}
	d := c.Work * time.Duration(c.Pace) / 100
	if strings.HasSuffix(r.URL.Path, LongPath) {
		d = longWork
	}
	t.wait(r, d)
}

// body returns the body of an answer that is no stream.
func (t *Target) body(id string) string {
	if t.NamesItself {
		return NamedAnswer(t.Name, id)
	}
	return "answer to " + id
}

// NamedAnswer returns the answer of a target that names itself. Its length exceeds the buffers of an entry.
func NamedAnswer(name, id string) string {
	return "answer to " + id + strings.Repeat(" by "+name, 800)
}
