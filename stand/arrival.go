package stand

import (
	"net/http"
	"strconv"
	"time"
)

// Arrival is one request that reached a target, whether or not it ran.
type Arrival struct {
	// ID is the id of the request; empty for a call that is none.
	ID   string
	Path string
	At   time.Time
	// Pause is the time for which the answer asked the caller to stay away; 0 if it did not ask.
	Pause time.Duration
	// Leaving reports whether the answer announced that the target leaves.
	Leaving bool
	// Start numbers the starts of the target, see Stay.
	Start int
}

// Arrivals returns the requests that reached the target, in order.
func (t *Target) Arrivals() []Arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Arrival(nil), t.arrivals...)
}

// Rest makes the target shed all requests until the time d has passed, with what is left of that time
// as Retry-After.
func (t *Target) Rest(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restUntil = time.Now().Add(d)
}

// Leave makes the target announce in all answers that it leaves.
func (t *Target) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// Stay ends what Leave and Rest began, as the next start of the target.
func (t *Target) Stay() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving, t.restUntil = false, time.Time{}
	t.start++
}

// AddBehaviour appends the behaviour for one request to those that SetBehaviour set for the next ones.
func (t *Target) AddBehaviour(behaviour Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextBehaviours = append(t.nextBehaviours, behaviour)
}

// admit records a request and sets the headers that all answers have. It returns false if it has shed
// the request.
func (t *Target) admit(w http.ResponseWriter, r *http.Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := Arrival{ID: r.Header.Get("Attempt-Id"), Path: r.URL.Path, At: time.Now(), Leaving: t.leaving, Start: t.start}
	if t.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	a.Pause = max(t.restUntil.Sub(a.At), 0)
	t.arrivals = append(t.arrivals, a)
	if a.Pause == 0 {
		return true
	}
	t.requests++
	w.Header().Set("Retry-After", strconv.FormatFloat(a.Pause.Seconds(), 'f', 3, 64))
	t.shed(w)
	return false
}

// shed answers that the target does not run the request.
func (t *Target) shed(w http.ResponseWriter) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
