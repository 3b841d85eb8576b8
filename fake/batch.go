package fake

import (
	"time"
)

// prefillChunk is how many prompt tokens one step computes beside the tokens
// it generates: engines split long prompts so that they do not stop the others.
const prefillChunk = 512

// loop runs the steps of the batch while there is work. Each step gives every
// running answer one token, so all slow down as the batch grows.
func (e *Engine) loop() {
	next := time.Now()
	for {
		d, ok := e.plan()
		if !ok {
			return
		}
		// Steps are timed against an absolute schedule: a sleep that overshoots
		// by a timer tick would otherwise add up over a long answer.
		next = next.Add(d)
		if late := time.Since(next); late > d {
			next = time.Now()
		}
		time.Sleep(time.Until(next))
		e.step()
	}
}

// plan fills the batch from the queue and returns how long the step takes.
func (e *Engine) plan() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.queue) > 0 && len(e.batch) < e.Slots {
		e.batch = append(e.batch, e.pop())
	}
	if len(e.batch) == 0 {
		e.looping = false
		return 0, false
	}
	d := e.Base + e.Slope*time.Duration(len(e.batch))
	d += e.Prefill * time.Duration(e.prefill())
	return time.Duration(float64(d) * e.faults.slow()), true
}

// prefill computes the next chunk of the prompts, first come first served.
func (e *Engine) prefill() int {
	room := prefillChunk
	for _, s := range e.batch {
		n := min(room, s.uncached)
		s.uncached -= n
		room -= n
	}
	return prefillChunk - room
}

func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	rest := e.batch[:0]
	for _, s := range e.batch {
		switch {
		case s.over:
		case !s.due():
			rest = append(rest, s)
		case s.step():
			e.finish(s, s.outcome())
		default:
			s.wake()
			rest = append(rest, s)
		}
	}
	clear(e.batch[len(rest):])
	e.batch = rest
}

// finish ends an answer: what it computed stays in the cache.
func (e *Engine) finish(s *stream, outcome string) {
	if s.over {
		return
	}
	s.over = true
	if outcome != OutcomeCrashed {
		e.cache.store(s.key, s.prompt-s.uncached+s.tokens)
	}
	if outcome == OutcomeDone {
		e.served++
	}
	e.Journal.end(s.log, outcome)
	s.wake()
	e.remember(s)
}

// kept is how many ended answers can still be resumed.
const kept = 256

func (e *Engine) remember(s *stream) {
	e.ended = append(e.ended, s.request)
	if len(e.ended) <= kept {
		return
	}
	delete(e.streams, e.ended[0])
	e.ended = e.ended[1:]
}

// pop takes the most urgent waiting request, the oldest of its class.
func (e *Engine) pop() *stream {
	best := 0
	for i, s := range e.queue {
		if s.class < e.queue[best].class {
			best = i
		}
	}
	s := e.queue[best]
	e.queue = append(e.queue[:best], e.queue[best+1:]...)
	return s
}
