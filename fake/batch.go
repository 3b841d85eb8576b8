package fake

import (
	"time"
)

// prefillChunk is the number of prompt tokens that one step computes in
// addition to the tokens it generates. Like real engines, the fake splits long
// prompts into chunks so that they do not stall the other requests of the batch.
const prefillChunk = 512

// loop runs the steps of the batch while there is work. Each step generates one
// token for every running request, and a step takes longer as the batch grows.
func (e *Engine) loop() {
	next := time.Now()
	for {
		d, ok := e.planStep()
		if !ok {
			return
		}
		// Steps follow an absolute schedule: otherwise the overshoot of each
		// sleep, up to a timer tick, would accumulate over a long answer.
		next = next.Add(d)
		if behind := time.Since(next); behind > d {
			next = time.Now()
		}
		time.Sleep(time.Until(next))
		e.step()
	}
}

// planStep fills the batch from the queue and returns how long the step takes.
func (e *Engine) planStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.queue) > 0 && len(e.batch) < e.Slots {
		e.batch = append(e.batch, e.pop())
	}
	if len(e.batch) == 0 {
		e.loopRunning = false
		return 0, false
	}
	d := e.BaseStep + e.StepPerRequest*time.Duration(len(e.batch))
	d += e.PrefillPerToken * time.Duration(e.prefillTokens())
	return time.Duration(float64(d) * e.faults.slowdown()), true
}

// prefillTokens computes the next chunk of the prompts in order of arrival and
// returns its size in tokens.
func (e *Engine) prefillTokens() int {
	budget := prefillChunk
	for _, s := range e.batch {
		n := min(budget, s.uncached)
		s.uncached -= n
		budget -= n
	}
	return prefillChunk - budget
}

func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	unfinished := e.batch[:0]
	for _, s := range e.batch {
		switch {
		case s.finished:
		case !s.advance():
			unfinished = append(unfinished, s)
		case s.step():
			e.finish(s, s.outcome())
		default:
			s.notify()
			unfinished = append(unfinished, s)
		}
	}
	clear(e.batch[len(unfinished):])
	e.batch = unfinished
}

// finish ends an answer and records its outcome. Unless the engine crashed, the
// computed tokens stay in the prefix cache.
func (e *Engine) finish(s *stream, outcome string) {
	if s.finished {
		return
	}
	s.finished = true
	if outcome != OutcomeCrashed {
		e.cache.store(s.key, s.prompt-s.uncached+s.tokens)
	}
	if outcome == OutcomeDone {
		e.served++
	}
	e.Journal.end(s.execution, outcome)
	s.notify()
	e.recordEnded(s)
}

// maxEndedStreams is the number of ended answers that can still be resumed.
const maxEndedStreams = 256

func (e *Engine) recordEnded(s *stream) {
	e.ended = append(e.ended, s.request)
	if len(e.ended) <= maxEndedStreams {
		return
	}
	delete(e.streams, e.ended[0])
	e.ended = e.ended[1:]
}

// pop removes the most urgent request from the queue: the one with the lowest
// priority value, and of these the oldest.
func (e *Engine) pop() *stream {
	best := 0
	for i, s := range e.queue {
		if s.priority < e.queue[best].priority {
			best = i
		}
	}
	s := e.queue[best]
	e.queue = append(e.queue[:best], e.queue[best+1:]...)
	return s
}
