package link

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/ending"
)

const (
	// answerPoll is how often a witness and the connection of the answer are checked while the answer goes on.
	answerPoll = 20 * time.Millisecond
	// witnessSettle is how long the end of a witness can precede that of the answer if their process ended.
	witnessSettle = 20 * time.Millisecond
	// witnessTimeout limits the wait for the first answer on a witness, and for that after the end of the answer.
	witnessTimeout = 150 * time.Millisecond
	// minWitnessPause and maxWitnessPause limit the pause before a lost witness is opened again.
	minWitnessPause = 50 * time.Millisecond
	maxWitnessPause = time.Second
	// minRenewal is the shortest time between two checks that keep a witness from being closed as idle.
	minRenewal = 300 * time.Millisecond
)

// Witness is a second connection to a target that is sending an answer without length or chunks. While the
// process that accepted it lives, the connection is open; when that process dies, it ends together with
// that of the answer, even if another process takes over the address at once.
type Witness struct {
	pool    *Pool
	address string
	maxIdle int
	// path is that of a health check: its answer shows that the process has accepted the connection. If it
	// is empty, nothing is sent.
	path string
	// freshLimit is the time after its last sign of life within which no other process can have replaced the one that
	// answers.
	freshLimit time.Duration
	// stop ends run, which then closes done. Until that, run alone uses the four fields below. ready is closed
	// once there is a connection, or none could be opened.
	stop  context.CancelFunc
	done  chan struct{}
	ready chan struct{}
	// conn is nil if there is no connection, and check is the check in progress on it, if there is one.
	conn  *Conn
	check *healthCheck
	// isConfirmed is set if the target has answered on conn, and isSingle if it closes connections after an answer:
	// then none is sent before the end.
	isConfirmed, isSingle bool
	// attached is closed by Attach.
	attached chan struct{}

	mu sync.Mutex
	// released and ended are set by Release and at the end of run: the later of them discards the connection.
	released, ended bool
	// answer is the connection of the answer; nil until the request is sent.
	answer net.Conn
	// endedBefore is set if the connection of the answer had ended when it was attached: the process that sent the
	// answer may have died before that, and the connection be to another one.
	endedBefore bool
	// wasReady is set if opening a connection had succeeded or failed before the request was sent, and wasLost if the
	// target closed it before there was an answer.
	wasReady, wasLost bool
	// openAt is the last time at which the process that answers is known to have lived.
	openAt time.Time
	// wasRefused and wasDropped are set if the last connection that was opened while the answer went on was refused, or
	// closed without an answer.
	wasRefused, wasDropped bool
}

// Witness opens a witness for the next answer of a target, or takes an idle connection that has carried a
// request. The caller must call Confirm or Release.
func (p *Pool) Witness(address, healthPath string, maxIdle int) ending.Witness {
	ctx, stop := context.WithCancel(context.Background())
	w := &Witness{
		pool: p, address: address, maxIdle: maxIdle, path: healthPath, freshLimit: freshLimit, stop: stop,
		done: make(chan struct{}), ready: make(chan struct{}), attached: make(chan struct{}),
	}
	w.takeIdle()
	go w.run(ctx)
	return w
}

// takeIdle takes an idle connection that has carried a request. It returns false if there is none.
func (w *Witness) takeIdle() bool {
	c := w.pool.popIdle(w.address)
	if c == nil {
		return false
	}
	if !c.proven || time.Now().After(c.idleUntil) || !IsIdle(c.Conn) || !w.isAnswerOpen() {
		_ = c.Close()
		return false
	}
	w.conn, w.isConfirmed = c, true
	return true
}

// Attach sets the connection of the answer whose end the witness is to prove. Only the first call has an effect.
func (w *Witness) Attach(answer net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.answer != nil {
		return
	}
	w.answer = answer
	w.endedBefore = hasPeerShutdown(answer)
	if !w.endedBefore {
		w.openAt = time.Now()
	}
	close(w.attached)
}

// run keeps a connection open until Confirm or Release, and opens another one if the target has closed it while
// the answer goes on.
func (w *Witness) run(ctx context.Context) {
	defer w.end()
	isOpen := w.conn != nil || w.open(ctx)
	close(w.ready)
	if !isOpen { // the target was down, or full, before the request was sent
		isOpen = w.awaitAttached(ctx) && w.isAnswerOpen() && w.open(ctx)
	}
	for pause := minWitnessPause; ; pause = min(2*pause, maxWitnessPause) {
		if isOpen && !w.watch(ctx) || !w.waitOpen(ctx, pause) {
			return
		}
		isOpen = w.takeIdle() || w.open(ctx) // an idle connection is one to the process that answers, as both are open
	}
}

// awaitAttached waits until the request was sent. It returns false if w is stopped.
func (w *Witness) awaitAttached(ctx context.Context) bool {
	select {
	case <-w.attached:
		return true
	case <-ctx.Done():
		return false
	}
}

// waitOpen waits while the answer goes on. It returns false if that has ended, or w is stopped.
func (w *Witness) waitOpen(ctx context.Context, d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); {
		if !w.isAnswerOpen() || !clock.Sleep(ctx, answerPoll) {
			return false
		}
	}
	return w.isAnswerOpen()
}

// end closes done, and discards the connection if it was released before.
func (w *Witness) end() {
	w.mu.Lock()
	w.ended = true
	released := w.released
	w.mu.Unlock()
	close(w.done)
	if released {
		w.discard()
	}
}

// Await waits until there is a connection on which the target has answered, or the limit has passed.
func (w *Witness) Await(limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-w.ready:
	case <-t.C:
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.openAt = time.Now()
	select {
	case <-w.ready: // also if this process stood still for the whole limit
		w.wasReady = true
	default:
	}
}

// open opens a connection and sends a health check on it. It returns false, and there is no connection, if
// none can be opened or the answer ended before: another process can have accepted the connection then.
func (w *Witness) open(ctx context.Context) bool {
	c, err := w.pool.open(ctx, w.address, dialTimeout)
	if err != nil {
		w.recordAttempt(errors.Is(err, syscall.ECONNREFUSED) && w.isAttached(), isDropped(err))
		return false
	}
	if !w.isAnswerOpen() || ctx.Err() != nil {
		c.reset()
		return false
	}
	c.usedAt = time.Now()
	c.idleUntil = c.usedAt.Add(defaultIdleTimeout)
	w.conn, w.isConfirmed = c, false
	if w.path == "" || w.isSingle {
		return true
	}
	return w.awaitFirst(ctx)
}

// isDropped reports whether a dial failed because the target, which had accepted the connection, closed it before this
// process noticed that it was open.
func isDropped(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// awaitFirst sends the first check on a connection, and waits for a while for its answer.
func (w *Witness) awaitFirst(ctx context.Context) bool {
	w.check = w.conn.startHealthCheck(w.path)
	limit := time.NewTimer(witnessTimeout)
	defer limit.Stop()
	select {
	case <-w.check.done:
	case <-limit.C:
		return true
	case <-ctx.Done():
		return true
	}
	err := w.endCheck()
	switch {
	case err == nil:
		w.recordAttempt(false, false)
		return true
	case errors.Is(err, errNotKept) && !w.isSingle:
		w.isSingle = true
		w.drop()
		return w.open(ctx)
	case !w.isAnswerOpen():
		return true // it has ended with the answer, which Confirm must know
	default:
		w.recordAttempt(false, isConnEnd(w.conn.Conn, err))
		w.drop()
		return false
	}
}

// endCheck ends a check that is done, and returns its error.
func (w *Witness) endCheck() error {
	err := w.check.err
	w.check = nil
	if err == nil {
		w.isConfirmed = true
		renewal := max(time.Until(w.conn.idleUntil), minRenewal)
		if idle := w.pool.idleTimeOf(w.address); idle > 0 {
			renewal = min(renewal, max(idle/2, minRenewal))
		}
		w.conn.idleUntil = time.Now().Add(renewal)
	}
	return err
}

// recordAttempt records what became of a connection that was opened while the answer went on.
func (w *Witness) recordAttempt(wasRefused, wasDropped bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wasRefused, w.wasDropped = wasRefused, wasDropped
}

// watch waits until the target has closed the connection, and for as long again as the answer may take to end with
// it. It returns false if the answer has ended, or w is stopped.
func (w *Witness) watch(ctx context.Context) bool {
	for !w.hasEnded() {
		if !clock.Sleep(ctx, answerPoll) {
			return false
		}
		w.isAnswerOpen()
		if w.check == nil && time.Now().After(w.conn.idleUntil) && !w.renew(ctx) {
			return false
		}
	}
	closedAt := time.Now()
	if !clock.Sleep(ctx, witnessSettle) || !w.isAnswerOpen() {
		return false
	}
	if idle := closedAt.Sub(w.conn.usedAt); w.check == nil && idle >= minRenewal {
		w.pool.setIdleTime(w.address, idle)
	}
	w.recordLost()
	w.drop()
	return true
}

// hasEnded reports whether the target has closed the connection, also behind an answer that came late.
func (w *Witness) hasEnded() bool {
	if w.check == nil {
		return IsClosed(w.conn.Conn)
	}
	select {
	case <-w.check.done:
		return w.endCheck() != nil
	default:
		return false
	}
}

// renew keeps the connection from being closed as idle: by another check, or if none is sent before the end, by
// another connection if there can be one. It returns false if w is stopped.
func (w *Witness) renew(ctx context.Context) bool {
	if w.path != "" && !w.isSingle {
		w.check = w.conn.startHealthCheck(w.path)
		return true
	}
	old := w.conn
	if !w.open(ctx) {
		w.conn = old
		w.conn.idleUntil = time.Now().Add(defaultIdleTimeout)
		return ctx.Err() == nil
	}
	if IsClosed(old.Conn) { // the new one can be to another process
		w.recordLost()
	}
	old.reset()
	return true
}

// recordLost records that the target has closed the connection. What replaces it proves nothing, unless the answer
// was open when that was opened.
func (w *Witness) recordLost() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wasLost = w.wasLost || w.answer == nil
}

// isAttached reports whether the request was sent.
func (w *Witness) isAttached() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answer != nil
}

// isAnswerOpen reports whether the target has not yet closed the connection of the answer, as far as there is one.
func (w *Witness) isAnswerOpen() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.answer == nil {
		return true
	}
	now := time.Now()
	if hasPeerShutdown(w.answer) {
		return false
	}
	w.openAt = now
	return true
}

// Release ends a witness that is not needed. It does not wait.
func (w *Witness) Release() {
	w.mu.Lock()
	w.released = true
	ended := w.ended
	w.mu.Unlock()
	w.stop()
	if ended {
		w.discard()
	}
}

// discard keeps the connection for requests if the target has answered on it and owes no other answer, and closes it
// otherwise.
func (w *Witness) discard() {
	if w.conn != nil && w.isConfirmed && w.check == nil {
		w.pool.keep(w.address, w.conn, w.maxIdle)
		w.conn = nil
	}
	w.drop()
}

// drop closes the connection.
func (w *Witness) drop() {
	if w.conn != nil {
		w.conn.reset()
	}
	w.conn, w.check = nil, nil
}

// keep keeps a connection with an answered health check for requests, unless a late answer on it could pass for that
// of a request.
func (p *Pool) keep(address string, c *Conn, maxIdle int) {
	if c.unnamed {
		c.reset()
		return
	}
	p.put(address, c, 0, maxIdle)
}

// idleTimeOf returns the time after which the target at an address closes idle connections; 0 if it is not known.
func (p *Pool) idleTimeOf(address string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleTimes[address]
}

func (p *Pool) setIdleTime(address string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idleTimes == nil {
		p.idleTimes = make(map[string]time.Duration)
	}
	p.idleTimes[address] = d
}

// hasPeerShutdown reports whether the peer has closed its side of the connection, even if bytes before that
// are still to be read, or the connection was closed here.
func hasPeerShutdown(c net.Conn) bool {
	return pollEvents(c, unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// pollEvents returns the events of a connection without waiting; POLLERR if it was closed here.
func pollEvents(c net.Conn, events int16) (got int16) {
	err := control(c, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		if n, err := unix.Poll(fds, 0); err == nil && n > 0 {
			got = fds[0].Revents
		}
	})
	if err != nil {
		return unix.POLLERR
	}
	return got
}
