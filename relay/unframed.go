package relay

import (
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/ending"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/pause"
	"chestnutstep.example/chestnutstep/roster"
)

const (
	// witnessWait is how long a request waits for its witness: some round trips within a region.
	witnessWait = 20 * time.Millisecond
	// unsafeWitnessWait is the same for requests whose answer is lost without a witness.
	unsafeWitnessWait = 100 * time.Millisecond
)

// framingState is what is known of the answers of a service.
type framingState uint8

const (
	// untried services have not answered yet; one request to them has a witness.
	untried framingState = iota
	// allFramed services have sent only answers with a length or chunks.
	allFramed
	// someUnframed services have sent at least one with neither.
	someUnframed
)

// prepareWitness opens a witness before the request is sent, if it is the first to its service or the service
// has sent answers with neither a length nor chunks: they can end too soon to open it after their head. It
// returns nil otherwise.
func (q *request) prepareWitness(t *roster.Target) ending.Witness {
	if state, known := q.framings.LoadOrStore(q.service.Name, untried); known && state != someUnframed {
		return nil
	}
	w := q.newWitness(t)
	if q.route.IsIdempotent() {
		w.Await(witnessWait)
	} else {
		w.Await(unsafeWitnessWait)
	}
	return w
}

func (q *request) newWitness(t *roster.Target) ending.Witness {
	path := q.service.HealthPath
	if q.isPaused(t) {
		path = ""
	}
	return q.Pool.Witness(t.Address, path, link.MaxIdle(q.service.MaxConnections, q.Board.EntryCount()))
}

// watchEnd attaches a witness to an answer without length or chunks, and releases it otherwise.
func (x *attempt) watchEnd(a *link.Response, w ending.Witness) {
	if !a.IsCloseDelimited() {
		x.framings.CompareAndSwap(x.service.Name, untried, allFramed)
		if w != nil {
			w.Release()
		}
		return
	}
	x.framings.Store(x.service.Name, someUnframed)
	if w == nil {
		w = x.newWitness(x.target)
	}
	w.Attach(a.Conn())
	x.witness = w
}

// releaseWitness ends the witness of an attempt that failed.
func (x *attempt) releaseWitness() {
	if x.witness != nil {
		x.witness.Release()
		x.witness = nil
	}
}

// isPaused reports whether a target must receive nothing now.
func (q *request) isPaused(t *roster.Target) bool {
	return q.Pauses.State(clock.Now(), pause.InstanceOf(&t.Instance)).Blocked()
}

// checkEnd returns an error unless it is proven that an answer that was read to its end is whole.
func (x *attempt) checkEnd(a *link.Response) error {
	end := ending.End{Framing: ending.Framed}
	if a.IsCloseDelimited() {
		end.Framing = ending.Unframed
		end.Process = x.witness.Confirm(x.isPaused(x.target))
		x.witness = nil
		x.endState = end.Process.String()
		x.Meters.Ends.Add(1, x.endState)
	}
	if ending.Judge(end) == ending.Whole {
		return nil
	}
	e := x.truncatedErr(a, errors.New("the target ended with its answer"))
	e.PeerClosed = e.Reason == chestnutstep.ReasonShort
	return e
}
