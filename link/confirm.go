package link

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep/ending"
)

const (
	// freshDelay is how long a witness may take to answer before a fresh connection is opened as well.
	freshDelay = 10 * time.Millisecond
	// freshLimit is shorter than any program takes to start.
	freshLimit = 50 * time.Millisecond
	// lateTimeout limits the wait for a late answer if nothing else proves whether the process lives.
	lateTimeout = time.Second
)

// Confirm returns the state of the process after the end of its answer. If quiet is set, it sends nothing.
func (w *Witness) Confirm(quiet bool) ending.Process {
	w.stop()
	<-w.done
	if w.wasLostBefore() {
		w.drop()
		return ending.Ended
	}
	if w.isLate() {
		w.drop()
	}
	if quiet || w.path == "" {
		return w.observe()
	}
	p := &proof{Witness: w, evidence: ending.Evidence{WasRefused: w.wasRefused, WasDropped: w.wasDropped}}
	return p.decide()
}

// wasLostBefore reports whether a connection ended before the request was sent, and the answer with it as
// far as is known. The connection that replaced it shows the process that is there now, which can be another.
func (w *Witness) wasLostBefore() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.wasLost && w.endedBefore
}

// isLate reports whether the connection was opened after the request was sent, and the answer had ended before its
// connection was known.
func (w *Witness) isLate() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.wasReady && w.endedBefore
}

// isPrompt reports whether no other process can be at the address by a time.
func (w *Witness) isPrompt(t time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.openAt.IsZero() && t.Sub(w.openAt) <= w.freshLimit
}

// observe decides by whether the connection stays open.
func (w *Witness) observe() ending.Process {
	if w.conn == nil {
		return ending.Unknown
	}
	defer w.drop()
	for end := time.Now().Add(witnessSettle); ; time.Sleep(time.Millisecond) {
		isLast := !time.Now().Before(end) // the connection is examined after the time, even if this process stood still
		if w.hasEnded() {
			return ending.Ended
		}
		if isLast {
			return ending.Lives
		}
	}
}

// proof collects the evidence on the process after the end of its answer.
type proof struct {
	*Witness
	evidence ending.Evidence
	// isAsked is set once the check in progress was sent after the end of the answer.
	isAsked bool
	fresh   *freshCheck
}

// decide returns the state of the process once the evidence is final, or the time for it has passed.
func (p *proof) decide() ending.Process {
	defer p.close()
	delay := freshDelay
	if p.conn == nil {
		if !p.isPrompt(time.Now()) {
			return ending.Unknown // a fresh connection would prove nothing
		}
		delay = 0
	} else {
		p.evidence.Witness = ending.WitnessOpen
		p.ask()
	}
	start := time.Now()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-p.checked():
			p.endAsked()
		case <-p.freshChanged():
		case <-timer.C:
			p.proceed(timer, time.Since(start))
		}
		p.look()
		state, final := p.evidence.Process()
		if final || p.isExhausted(state, time.Since(start)) {
			return state
		}
	}
}

// proceed opens a fresh connection if there is none, and sets the timer to the next limit.
func (p *proof) proceed(timer *time.Timer, elapsed time.Duration) {
	if p.fresh == nil {
		p.fresh = p.startFresh()
	}
	if elapsed < witnessTimeout {
		timer.Reset(witnessTimeout - elapsed)
		return
	}
	timer.Reset(lateTimeout - elapsed)
}

// isExhausted reports whether no more evidence is waited for.
func (p *proof) isExhausted(state ending.Process, elapsed time.Duration) bool {
	switch fresh := p.evidence.Fresh; {
	case elapsed >= lateTimeout:
		return true
	case p.conn == nil:
		return fresh > ending.FreshOpen || fresh == ending.FreshOpen && elapsed >= witnessTimeout
	default:
		return elapsed >= witnessTimeout && state == ending.Lives && fresh != ending.FreshUntried
	}
}

// ask sends a check, unless the target closes connections after each or still owes an answer.
func (p *proof) ask() {
	if p.check == nil && !p.isSingle {
		p.check, p.isAsked = p.conn.startHealthCheck(p.path), true
	}
}

// checked returns a channel that is closed when the check in progress is done; nil if there is none.
func (p *proof) checked() <-chan struct{} {
	if p.check == nil {
		return nil
	}
	return p.check.done
}

// endAsked ends a check that is done. The answer to one that was sent before the end may have been sent before it as well.
func (p *proof) endAsked() {
	err := p.endCheck()
	switch {
	case p.isAsked && (err == nil || errors.Is(err, errNotKept)):
		p.evidence.Witness = ending.WitnessAnswered
		p.isConfirmed = err == nil
	case err == nil:
		p.ask()
	case isConnEnd(p.conn.Conn, err):
		p.evidence.Witness = ending.WitnessEnded
	default: // closed after the answer that it owed, or bytes that are none
		p.evidence.Witness = ending.NoWitness
		p.drop()
	}
}

// look adds what the two connections show at this moment.
func (p *proof) look() {
	if p.fresh != nil {
		state, openedAt := p.fresh.current()
		p.evidence.Fresh, p.evidence.IsPrompt = state, p.isPrompt(openedAt)
	}
	if p.evidence.Witness != ending.WitnessOpen {
		return
	}
	if p.check == nil && IsClosed(p.conn.Conn) {
		p.evidence.Witness = ending.WitnessEnded
		return
	}
	p.evidence.IsAcknowledged = p.check != nil && unackedBytes(p.conn) == 0
}

// close ends both connections, or keeps them for requests.
func (p *proof) close() {
	if p.fresh != nil {
		p.fresh.close(p.maxIdle)
	}
	if p.evidence.Witness == ending.WitnessAnswered {
		p.discard()
	}
	p.drop()
}

func (p *proof) startFresh() *freshCheck {
	ctx, stop := context.WithCancel(context.Background())
	f := &freshCheck{pool: p.pool, address: p.address, path: p.path, stop: stop, changed: make(chan struct{}, maxFreshChanges)}
	go f.run(ctx)
	return f
}

// freshChanged returns a channel with a value for each change of the fresh connection; nil if there is none.
func (p *proof) freshChanged() <-chan struct{} {
	if p.fresh == nil {
		return nil
	}
	return p.fresh.changed
}

// maxFreshChanges is how often the state of a fresh connection can change: it is opened, and answered.
const maxFreshChanges = 2

// freshCheck is a connection that is opened after the end of an answer, and a health check on it.
type freshCheck struct {
	pool          *Pool
	address, path string
	stop          context.CancelFunc
	changed       chan struct{}

	mu    sync.Mutex
	state ending.FreshState
	// openedAt is when the connection was open, or could not be opened.
	openedAt time.Time
	conn     *Conn
	// isKept is set if the target keeps the connection after its answer, and isStopped by close.
	isKept, isStopped bool
}

func (f *freshCheck) run(ctx context.Context) {
	c, err := f.pool.open(ctx, f.address, dialTimeout)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		f.set(ending.FreshRefused, false)
		return
	case isDropped(err):
		f.set(ending.FreshDropped, false)
		return
	case err != nil:
		f.set(ending.FreshUnreached, false)
		return
	}
	if !f.setConn(c) {
		c.reset()
		return
	}
	switch err := c.checkHealth(f.path, 0); {
	case err == nil, errors.Is(err, errNotKept):
		f.set(ending.FreshAnswered, err == nil)
	default:
		f.set(ending.FreshDropped, false)
	}
}

// setConn sets the connection once it is open. It returns false if f was closed before.
func (f *freshCheck) setConn(c *Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isStopped {
		return false
	}
	f.conn, f.openedAt, f.state = c, time.Now(), ending.FreshOpen
	f.changed <- struct{}{}
	return true
}

func (f *freshCheck) set(s ending.FreshState, isKept bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state, f.isKept = s, isKept
	if f.conn == nil {
		f.openedAt = time.Now()
	}
	f.changed <- struct{}{}
}

func (f *freshCheck) current() (ending.FreshState, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state, f.openedAt
}

// close keeps the connection for requests if the target has answered on it, and ends it otherwise.
func (f *freshCheck) close(maxIdle int) {
	f.stop()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isStopped = true
	switch {
	case f.conn == nil:
	case f.isKept:
		f.pool.keep(f.address, f.conn, maxIdle)
	default:
		f.conn.reset()
	}
}
