package relay

import (
	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/roster"
)

// checkEnd returns an error if the end of an answer may be that of its target: an answer with neither
// a length nor chunks ends with its connection, and so does a target. The caller must not take what
// it received for the whole answer.
func (q *request) checkEnd(t *roster.Target, a *link.Response) error {
	if !a.IsCloseDelimited() {
		return nil
	}
	if q.isEndPlanned(t) {
		q.endProof = "planned"
		return nil
	}
	q.awaitProof(UnfinishedRun{Target: t, Suspects: q.suspects(), Events: q.stream.events})
	if !q.Crashes.HasEnded(clock.Now(), t) {
		q.endProof = "listens"
		return nil
	}
	e := q.truncatedErr(a, errors.New("the target ended with its answer"))
	e.PeerClosed = e.Reason == chestnutstep.ReasonShort
	return e
}
