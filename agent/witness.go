package agent

import (
	"net"
	"net/http"
	"net/url"
	"time"

	"chestnutstep.example/chestnutstep/ending"
)

// witnessWait is how long a call waits for its witness; the target is on the same host.
const witnessWait = 5 * time.Millisecond

// prepareWitness opens a witness of the target's process before the request is sent if the target has sent
// answers without length or chunks before: a short one ends too soon to open it after its head.
func (j *job) prepareWitness() {
	if j.agent.sendsUnframed.Load() {
		j.openWitness()
	}
	if j.witness != nil {
		j.witness.Await(witnessWait)
	}
}

// watchEnd attaches a witness to an answer without length or chunks.
func (j *job) watchEnd(rs *http.Response, conn net.Conn) {
	if isFramed(rs) || conn == nil {
		return
	}
	j.agent.sendsUnframed.Store(true)
	if j.witness == nil {
		j.openWitness()
	}
	if j.witness != nil {
		j.witness.Attach(conn)
	}
}

func (j *job) openWitness() {
	u, err := url.Parse(j.agent.URL)
	if err != nil || j.agent.Witness == nil {
		return // the request itself fails if the address is invalid
	}
	j.witness = j.agent.Witness(u.Host, u.Path+loadPath)
}

// isFramed reports whether an answer has a length or chunks.
func isFramed(rs *http.Response) bool { return rs.ContentLength >= 0 || len(rs.TransferEncoding) > 0 }

// confirmProcess returns whether the process that answered lives after the end of its answer.
func (j *job) confirmProcess() ending.Process {
	if j.witness == nil {
		return ending.Unknown
	}
	w := j.witness
	j.witness = nil
	return w.Confirm(j.agent.isPaused())
}

// releaseWitness ends a witness that was not needed.
func (j *job) releaseWitness() {
	if j.witness != nil {
		j.witness.Release()
		j.witness = nil
	}
}

// isPaused reports whether the target must receive nothing now.
func (a *Agent) isPaused() bool { return a.pauses.State(a.stamp(), a.instance()).Blocked() }
