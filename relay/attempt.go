package relay

import (
	"context"
	"net/http"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/ending"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/roster"
)

// attempt is the state of one attempt at a target. Two attempts of a request can run exchange at the
// same time; all other methods that change the request are called by its own goroutine.
type attempt struct {
	*request
	// ctx ends with the request or when the attempt is canceled.
	ctx    context.Context
	cancel context.CancelFunc
	choice *board.Choice
	target *roster.Target
	// atTarget is the attempt as the board counts it.
	atTarget *board.Attempt
	// sentAt is when the attempt began; isHedge reports whether it began while another one ran.
	sentAt  clock.Stamp
	isHedge bool
	// canRepeat reports whether the request may be sent to another target if this one is silent.
	canRepeat bool
	// proof is closed when it is known whether the target of a broken connection has ended; nil if its
	// connection did not break.
	proof <-chan struct{}
	// answerHead is the head of the answer; zero if there is none.
	answerHead answerHead
	// witness is the witness of the answer if that has neither a length nor chunks.
	witness ending.Witness
	// endState is, for the log, the state of the target after an answer without length or chunks.
	endState string
	// isCloseDelimited reports whether the end of the answer does not prove that the target lives.
	isCloseDelimited bool
	// servedIn is the time until the caller had the answer, without that until a racing attempt has ended.
	servedIn time.Duration
	// memoryWaited is how long the answer has waited for memory.
	memoryWaited time.Duration
	// answer is the answer if it was read to its end and is not a stream.
	answer *bufferedAnswer
}

// start records the start of an attempt. number counts the targets to which the request was sent, this
// one included.
func (q *request) start(c *board.Choice, number int) *attempt {
	x := &attempt{request: q, choice: c, target: c.Target, sentAt: clock.Now()}
	x.canRepeat = q.route.IsIdempotent() && number < q.route.MaxAttempts
	q.triedTargets = append(q.triedTargets, x.target.ID)
	if len(q.triedTargets) == 1 {
		q.recordArrival(x.sentAt)
	}
	q.stream.events, q.stream.firstID = 0, 0
	x.atTarget = q.Board.Start(x.sentAt, x.target, q.service, q.callerHeaders.Parts, c.ReusableTokens(), q.requester())
	q.logSend(c, number)
	q.countTokens(c)
	if c.NewConnection {
		q.Meters.Verified.Add(1, q.service.Name)
	}
	x.ctx, x.cancel = context.WithCancel(q.ctx)
	return x
}

// recordArrival adds the request to what retries and hedges are paid from.
func (q *request) recordArrival(now clock.Stamp) {
	q.Budgets.Deposit(time.Now(), q.service.Name)
	if q.Hedger != nil {
		q.Hedger.Arrive(now, q.service.Name, q.isHedgeable())
	}
}

// end releases what an attempt holds, after its result was recorded.
func (x *attempt) end() {
	x.releaseWitness()
	x.cancel()
}

// exchange sends the request and reads the answer. Events of a stream go to the caller at once, other
// answers are kept.
func (x *attempt) exchange() error {
	witness := x.prepareWitness(x.target)
	answer, err := x.send(witness)
	if err != nil {
		x.witness = witness
		return err
	}
	return x.forward(answer, witness)
}

// forward passes the events of a stream on to the caller, and keeps other answers.
func (x *attempt) forward(answer *link.Response, witness ending.Witness) error {
	x.watchEnd(answer, witness)
	x.isCloseDelimited = answer.IsCloseDelimited()
	x.answerHead = answerHead{answer.Status, answer.Framing(), x.Codec.TargetHeaders(answer.Status, answer.Header)}
	if x.isOwnAnswer() {
		x.RecordAnswer(x.target, x.callerHeaders.ID, x.answerHead.TargetHeaders)
	}
	if err := x.validate(answer, x.answerHead.TargetHeaders); err != nil {
		answer.Close(false)
		return err
	}
	if !x.route.IsIdempotent() {
		x.releaseMemory() // no other target gets the request now
	}
	if x.route.Kind == chestnutstep.RouteStream && answer.Status == http.StatusOK {
		return x.forwardEvents(answer)
	}
	return x.collect(answer)
}

// finish records the result of an attempt, and sends a complete answer to the caller. If done is true,
// the caller has received its answer.
func (x *attempt) finish(err error) (done bool, _ error) {
	if err != nil {
		x.fail(err)
		x.awaitProof(x.proof)
		return false, err
	}
	x.deliver()
	x.serve()
	x.clear()
	x.recordDone()
	return true, nil
}

// fail records an attempt without a usable answer.
func (x *attempt) fail(err error) {
	if x.answer != nil {
		x.failureAnswer = x.answer
	}
	x.recordFailure(err)
}

// deliver sends a complete answer to the caller, unless its events were sent before.
func (x *attempt) deliver() {
	if x.answer != nil {
		x.answer.write(x.w)
		x.dropAnswer(x.answer)
	}
}

// serve records an attempt whose answer the caller has received.
func (x *attempt) serve() {
	now := clock.Now()
	x.atTarget.End(now, board.Served)
	x.observe(now)
	x.attempts.Record(chestnutstep.RunYes)
	x.servedIn = time.Since(x.startedAt)
}

// clear records that the content was served to its end.
func (x *attempt) clear() {
	if !x.isCloseDelimited {
		x.Crashes.RecordServed(clock.Now(), x.suspects())
	}
}
