package audit

import (
	"sync"
	"time"

	"chestnutstep.example/chestnutstep/event"
)

// defaultCapacity is the default number of records in memory. At half a kilobyte each they
// take half a megabyte, which holds the records caused by a failure domain of several
// hundred targets that leaves and returns.
const defaultCapacity = 1024

// Trail numbers records, chains them by hash, writes them to the log stream
// and keeps the newest in memory. Hosts have no disks, so only the log stream remains
// after the process has ended; the chain reveals lost lines.
type Trail struct {
	// Log receives each record as event 1010.
	Log *event.Log
	// Process is the name of the process in each record.
	Process string
	// Capacity is the number of records kept in memory; 1024 if 0.
	Capacity int
	// Now is the clock; time.Now if nil.
	Now func() time.Time

	mu   sync.Mutex
	seq  uint64
	prev string
	ring []Record
	next int
}

// Add completes a record with number, time and hashes, stores and logs it, and returns it.
// Log lines are in the order of the numbers.
func (t *Trail) Add(r Record) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	r.Process = t.Process
	r.Seq = t.seq
	r.Time = t.now()
	r.Prev = t.prev
	r.Hash = r.Sum()
	t.prev = r.Hash
	t.retain(r)
	t.Log.Emit(
		event.AuditRecord,
		event.Uint("seq", r.Seq),
		event.Str("at", r.Time.Format(time.RFC3339Nano)),
		event.Str("kind", string(r.Kind)),
		event.Str("subject", r.Subject),
		event.Str("cause", r.Cause),
		event.Str("before", r.Before),
		event.Str("after", r.After),
		event.Version(r.Version),
		event.Str("prev", r.Prev),
		event.Str("hash", r.Hash),
	)
	return r
}

// now removes the monotonic reading and the zone, so that a record has the same hash after it
// was written and read.
func (t *Trail) now() time.Time {
	now := time.Now
	if t.Now != nil {
		now = t.Now
	}
	return now().UTC().Round(0)
}

func (t *Trail) retain(r Record) {
	n := t.Capacity
	if n <= 0 {
		n = defaultCapacity
	}
	if len(t.ring) < n {
		t.ring = append(t.ring, r)
		return
	}
	t.ring[t.next] = r
	t.next = (t.next + 1) % n
}

// Last returns at most n of the newest records, oldest first; all that are
// in memory if n is 0.
func (t *Trail) Last(n int) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Record, 0, len(t.ring))
	all = append(all, t.ring[t.next:]...)
	all = append(all, t.ring[:t.next]...)
	if n > 0 && n < len(all) {
		all = all[len(all)-n:]
	}
	return all
}
