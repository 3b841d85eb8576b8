package agent

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/answer"
)

const (
	// readBufferSize is the buffer for one read of the target's answer: a token's
	// event is a few hundred bytes, a plain answer a few kilobytes.
	readBufferSize = 16 << 10
	// maxResumes is how often a stream that broke is continued at a target that
	// still lives. A third break in one answer is no passing fault.
	maxResumes = 2
	// endTimeout is how long the end of the connection may take after a stream's
	// last event. The target is on the same host and has nothing left to send.
	endTimeout = 100 * time.Millisecond
	// replayTimeout bounds the reading of an answer that the engine has kept, half
	// of the time that is left does as well. An engine that is slow to send it
	// would be as slow to answer a new run.
	replayTimeout = 2 * time.Second
)

// copy moves the answer into the log, and continues a stream that breaks
// while the target lives.
func (j *job) copy(ctx context.Context, rs *http.Response) callResult {
	body := rs.Body
	tail := &tail{terminator: j.agent.streamTerminator(rs)}
	for try := 0; ; try++ {
		err := j.copyBody(body, tail)
		if tail.isEnded() || err == nil && tail.isComplete() {
			j.log.Finish()
			j.readToEnd(body)
			return servedResult
		}
		if err == nil {
			break
		}
		if ended, ok := contextResult(ctx); ok {
			return ended
		}
		if try == maxResumes {
			break
		}
		next := j.resume(ctx, rs, tail.size)
		if next == nil {
			break
		}
		defer next.Close()
		body = next
	}
	return callResult{outcome: chestnutstep.OutcomeFailed, reason: chestnutstep.ReasonShort, run: chestnutstep.RunYes}
}

// readToEnd reads a whole answer's body to its end, as the connection is only used again then. An error costs that
// connection and nothing else.
func (j *job) readToEnd(body io.Reader) {
	limit := time.AfterFunc(endTimeout, j.cancelCall)
	defer limit.Stop()
	_, _ = io.Copy(io.Discard, body)
}

// copyBody moves what comes into the log, up to the stream's last event or the end of the body.
func (j *job) copyBody(body io.Reader, t *tail) error {
	buf := make([]byte, readBufferSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			t.add(buf[:n])
			if err := j.log.Append(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) || t.isEnded() {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// resume asks an engine that still has the same boot id to go on from an
// offset. A target that restarted has forgotten the stream.
func (j *job) resume(ctx context.Context, rs *http.Response, offset int64) io.ReadCloser {
	next := j.openStream(ctx, rs.Header.Get(chestnutstep.HeaderBootID), offset)
	if next == nil {
		return nil
	}
	return next.Body
}

// replay serves the answer of an earlier run that the engine still has: one that
// came too late for its caller is done, and need not be run again. It returns
// false unless that answer is whole, and its own.
func (j *job) replay(ctx context.Context) bool {
	if !j.mayReplay {
		return false
	}
	remaining := j.deadline.Sub(j.agent.Clock())
	ctx, cancel := context.WithTimeout(ctx, min(remaining/2, replayTimeout))
	defer cancel()
	rs := j.openStream(ctx, j.agent.bootID(), 0)
	if rs == nil {
		return false
	}
	defer rs.Body.Close()
	tail := &tail{terminator: j.agent.streamTerminator(rs)}
	// An error shows in a tail that has not ended.
	body, _ := io.ReadAll(io.LimitReader(rs.Body, answer.DefaultMaxBytes))
	tail.add(body)
	if !tail.isEnded() || !j.isLastRun() {
		return false
	}
	h := answerHead(rs)
	j.recordHead(h)
	j.log.SetHead(h)
	if err := j.log.Append(body); err != nil {
		return false
	}
	j.log.Finish()
	return true
}

// isLastRun says that nothing else has run under the job's id since it started.
func (j *job) isLastRun() bool {
	j.agent.mu.Lock()
	defer j.agent.mu.Unlock()
	return j.agent.isLastRun(j.agent.Clock(), j)
}

// isLastRun says that the job, or an earlier one of the same request, was the last
// to run under its id.
func (a *Agent) isLastRun(now time.Time, j *job) bool {
	return a.lastRuns.get(j.offer.Id, now) == j.key
}

// bootID is the target's boot id as it was last seen.
func (a *Agent) bootID() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.health.bootID
}

// openStream asks an engine for a stream of the job's id from an offset on, or
// returns nil where that is not to be had.
func (j *job) openStream(ctx context.Context, bootID string, offset int64) *http.Response {
	if bootID == "" || j.agent.modelKind() != chestnutstep.KindEngine {
		return nil
	}
	q := url.Values{"request": {j.offer.Id}, "offset": {strconv.FormatInt(offset, 10)}}
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, j.agent.URL+"/control/resume?"+q.Encode(), nil)
	if err != nil {
		return nil
	}
	next, err := j.agent.PooledClient.Do(rq)
	if err != nil {
		return nil
	}
	if next.StatusCode != http.StatusOK || next.Header.Get(chestnutstep.HeaderBootID) != bootID || !j.isOwnAnswer(next) {
		next.Body.Close()
		return nil
	}
	return next
}

// cancelOnTarget tells an engine that nobody wants the answer any more. The place at the
// target is only free when it has stopped.
func (j *job) cancelOnTarget() {
	if j.agent.modelKind() != chestnutstep.KindEngine {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	at := j.agent.URL + "/control/cancel?" + url.Values{"request": {j.offer.Id}}.Encode()
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, at, nil)
	if err != nil {
		return
	}
	rs, err := j.agent.PooledClient.Do(rq)
	if err != nil {
		return
	}
	rs.Body.Close()
}
